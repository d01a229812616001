#include "core/ownership/service_leases.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "base/log.h"
#include "core/membership/control_members.h"
#include "core/ownership/lease_value.h"

/* Interval at which a valid grant is sent again, because a message to a
   forwarder that has just connected may be lost.  */
#define NOTIFY_INTERVAL_US AM_SECOND_US

static struct am_service_lease *
find (const struct am_control *c, uint32_t service_id)
{
  struct am_service_lease *o;

  HASH_FIND (hh, c->owners, &service_id, sizeof service_id, o);
  return o;
}

void
am_service_leases_finish (struct am_control *c)
{
  struct am_service_lease *o = c->owners;

  HASH_CLEAR (hh, c->owners);
  while (o)
    {
      struct am_service_lease *next = o->hh.next;

      free (o);
      o = next;
    }
}

/* ---- actions ------------------------------------------------------ */

static void
notify_forwarder (struct am_service_lease *o)
{
  const struct am_lease_grant *g = &o->lease.grant;
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;
  Amaranth__OwnerGrant m = AMARANTH__OWNER_GRANT__INIT;
  struct am_address nowhere = { 0 };

  m.service_id = o->service_id;
  m.boot_id = g->boot_id;
  m.epoch = g->epoch;
  m.until_us = g->until_us;
  m.first = g->first;
  m.same = g->same;
  m.handed = g->handed;
  m.leaving = o->lease.state == AM_LEASE_LEAVING;
  e.body_case = AMARANTH__ENVELOPE__BODY_OWNER_GRANT;
  e.owner_grant = &m;
  o->notified_us = o->control->now_us;
  am_control_emit (o->control, AM_CONTROL_SEND_FORWARDER, nowhere, 0, &e);
}

static void
send_promise (struct am_service_lease *o, const struct am_lease_action *a)
{
  const struct am_vm *v = am_members_find (o->control, a->to);
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;
  Amaranth__OwnerPromise p = AMARANTH__OWNER_PROMISE__INIT;

  if (!v)
    return;
  p.service_id = o->service_id;
  p.epoch = a->epoch;
  p.question = a->call;
  p.from_id = o->control->self.id;
  p.promised = a->type == AM_LEASE_PROMISE;
  e.body_case = AMARANTH__ENVELOPE__BODY_OWNER_PROMISE;
  e.owner_promise = &p;
  am_control_emit (o->control, AM_CONTROL_SEND_GOSSIP, am_vm_gossip (v), 0,
                   &e);
}

static void
call_store (struct am_service_lease *o, const struct am_lease_action *a)
{
  char text[AM_LEASE_VALUE_SIZE];
  struct am_control_owner_call call = { .service_id = o->service_id,
                                        .name = o->name,
                                        .type = a->type,
                                        .call = a->call,
                                        .session = a->session,
                                        .value = text };
  struct am_control_action out
      = { .type = AM_CONTROL_OWNER_CALL, .owner_call = &call };

  call.len = am_lease_value_format (a->value, text);
  o->control->counters.owner_calls++;
  o->control->sink.emit (o->control->sink.userdata, &out);
}

static void
on_action (void *userdata, const struct am_lease_action *a)
{
  if (a->type == AM_LEASE_NOTIFY_FORWARDER)
    notify_forwarder (userdata);
  else if (a->type == AM_LEASE_REQUEST_PROMISE || a->type == AM_LEASE_PROMISE)
    send_promise (userdata, a);
  else
    call_store (userdata, a);
}

/* ---- inputs ------------------------------------------------------- */

static void
apply_read_result (struct am_service_lease *o,
                   const struct am_control_owner_result *r)
{
  struct am_lease_read_result e = { .error = r->error,
                                    .locked = r->locked,
                                    .lock_index = r->lock_index };

  if (e.error == AM_OK)
    e.error = am_lease_value_parse (&e.value, r->value, r->len);
  am_lease_read_done (&o->lease, o->control->now_us, r->call, &e);
}

int
am_service_leases_store_result (struct am_control *c,
                                const struct am_control_owner_result *r)
{
  struct am_service_lease *o = find (c, r->service_id);

  if (!o)
    return AM_E_NOT_FOUND;
  if (r->type == AM_LEASE_READ)
    apply_read_result (o, r);
  else if (r->type == AM_LEASE_CREATE)
    am_lease_session_created (&o->lease, c->now_us, r->call, r->error,
                              r->session);
  else
    am_lease_call_done (&o->lease, c->now_us, r->call, r->error);
  return AM_OK;
}

int
am_service_leases_promise_message (struct am_control *c,
                                   const Amaranth__OwnerPromise *p)
{
  struct am_service_lease *o = find (c, p->service_id);

  if (!o)
    return AM_E_NOT_FOUND;
  if (p->promised)
    am_lease_promise_received (&o->lease, c->now_us, p->from_id, p->question);
  else
    am_lease_promise_requested (&o->lease, c->now_us, p->from_id, p->question,
                                p->epoch);
  return AM_OK;
}

int
am_service_leases_forwarder_stopped (struct am_control *c,
                                     const Amaranth__OwnerGivenUp *g)
{
  struct am_service_lease *o = find (c, g->service_id);

  if (!o || o->lease.grant.epoch != g->epoch)
    return AM_E_NOT_FOUND;
  am_lease_forwarder_stopped (&o->lease, c->now_us, g->handed_to);
  return AM_OK;
}

/* ---- time --------------------------------------------------------- */

struct home
{
  uint32_t ids[AM_LEASE_ELIGIBLE_MAX];
  uint64_t scores[AM_LEASE_ELIGIBLE_MAX];
  size_t count;
};

static void
add_home (struct home *h, const Amaranth__Service *s, const struct am_vm *v)
{
  uint64_t score = am_hash_rendezvous (s->id, v->id);
  size_t at;

  if ((v->state != AMARANTH__MEMBER_STATE__MEMBER_ALIVE
       && v->state != AMARANTH__MEMBER_STATE__MEMBER_SUSPECT)
      || strcmp (v->region, s->region) != 0)
    return;
  if (h->count == AM_LEASE_ELIGIBLE_MAX && score <= h->scores[h->count - 1])
    return;
  if (h->count < AM_LEASE_ELIGIBLE_MAX)
    h->count++;
  for (at = h->count - 1; at > 0 && h->scores[at - 1] < score; at--)
    {
      h->scores[at] = h->scores[at - 1];
      h->ids[at] = h->ids[at - 1];
    }
  h->scores[at] = score;
  h->ids[at] = v->id;
}

/* Computes the home set as am_home_set does.  */
static void
set_home (struct am_control *c, struct am_service_lease *o,
          const Amaranth__Service *s)
{
  struct home h = { .count = 0 };

  add_home (&h, s, &c->self);
  am_list_each (v, &c->vms.all, struct am_vm, node) { add_home (&h, s, v); }
  am_lease_set_home (&o->lease, h.ids, h.count);
}

static struct am_service_lease *
add (struct am_control *c, const Amaranth__Service *s)
{
  struct am_service_lease *o = calloc (1, sizeof *o);
  struct am_lease_sink sink = { on_action, o };

  if (!o)
    return NULL;
  o->service_id = s->id;
  o->control = c;
  snprintf (o->name, sizeof o->name, "%s", s->name);
  am_lease_init (&o->lease, c->self.id, c->spread.started_us, &sink);
  HASH_ADD (hh, c->owners, service_id, sizeof o->service_id, o);
  return o;
}

static bool
needs_owner (const struct am_control *c, const Amaranth__Service *s)
{
  return s && !s->retired && s->n_classes > 0
         && s->binding == AMARANTH__BINDING__BINDING_TRACKED
         && strcmp (s->region, c->self.region) == 0;
}

static bool
is_stopping (const struct am_control *c)
{
  return c->stopping_us || c->link.life != AMARANTH__LIFE_STATE__LIFE_SERVING;
}

static void
tick_one (struct am_control *c, struct am_service_lease *o)
{
  if (c->link.up && c->link.reported)
    am_lease_set_forwarder (&o->lease, c->now_us, c->link.boot_id);
  if (!o->is_configured || is_stopping (c))
    am_lease_stop (&o->lease, c->now_us);
  else
    am_lease_resume (&o->lease);
  am_lease_tick (&o->lease, c->now_us);
  if (o->lease.grant.until_us > c->now_us
      && c->now_us - o->notified_us >= NOTIFY_INTERVAL_US)
    notify_forwarder (o);
  if (o->lease.state == o->logged_state)
    return;
  o->logged_state = o->lease.state;
  if (o->logged_state >= AM_LEASE_HOLDING || o->lease.value.epoch)
    am_control_log (c, AM_LOG_INFO,
                    "event=owner service=%s state=%s epoch=%llu", o->name,
                    am_lease_state_name (o->lease.state),
                    (unsigned long long)o->lease.value.epoch);
}

void
am_service_leases_tick (struct am_control *c)
{
  struct am_config_entry *e;
  struct am_config_entry *next_entry;
  struct am_service_lease *o;
  struct am_service_lease *next;

  HASH_ITER (hh, c->owners, o, next) { o->is_configured = false; }
  HASH_ITER (by_name, c->config.by_name, e, next_entry)
  {
    if (!needs_owner (c, e->service))
      continue;
    o = find (c, e->service->id);
    if (!o)
      o = add (c, e->service);
    if (!o)
      continue;
    o->is_configured = true;
    set_home (c, o, e->service);
  }
  HASH_ITER (hh, c->owners, o, next) { tick_one (c, o); }
}

bool
am_service_leases_may_exit (const struct am_control *c)
{
  const struct am_service_lease *o;
  const struct am_service_lease *next;

  HASH_ITER (hh, c->owners, o, next)
  {
    if (!am_lease_may_exit (&o->lease))
      return false;
  }
  return true;
}
