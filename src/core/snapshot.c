#include "core/snapshot.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "core/binding.h"
#include "core/choice.h"
#include "core/credit.h"
#include "core/key_ring.h"
#include "core/request.h"
#include "core/snapshot_check.h"

#define PING_INTERVAL_MS_DEFAULT 1000
#define PING_MISSES_DEFAULT 3
#define SLOW_START_MS_DEFAULT 10000
#define OPEN_RATE_DEFAULT 200
#define WEIGHT_DEFAULT 100
#define DEADLINE_MS_DEFAULT 5000
#define QUEUE_LIMIT_DEFAULT 64

static void
copy_name (char *to, const char *from)
{
  snprintf (to, AM_NAME_SIZE, "%s", from);
}

static uint32_t
or_default (uint32_t value, uint32_t fallback)
{
  return value ? value : fallback;
}

/* ---- upstreams ---------------------------------------------------- */

static void
drop_upstream (struct am_board *b, struct am_service *s, struct am_upstream *u)
{
  am_requests_upstream_gone (b, u);
  s->binding->upstream_gone (b, s, u);
  am_board_decision (b, 0, "event=upstream_dropped service=%s upstream=%s",
                     s->name, u->name);
  HASH_DELETE (by_id, s->upstreams_by_id, u);
  HASH_DELETE (by_address, s->upstreams_by_address, u);
  am_list_remove (&u->node);
  free (u);
}

static void
link_by_id (struct am_service *s, struct am_upstream *u)
{
  struct am_list *at = &s->upstreams;

  am_list_each (other, &s->upstreams, struct am_upstream, node)
  {
    if (other->id > u->id)
      {
        at = &other->node;
        break;
      }
  }
  am_list_insert_between (&u->node, at->prev, at);
}

static struct am_upstream *
add_upstream (struct am_service *s, const Amaranth__Upstream *in)
{
  struct am_upstream *u = calloc (1, sizeof *u);

  if (!u)
    return NULL;
  u->id = in->id;
  u->service = s;
  u->address.ip = in->ip;
  u->address.port = (uint16_t)in->port;
  u->address_key = am_address_key (u->address);
  u->incarnation = in->incarnation;
  u->state = AMARANTH__UPSTREAM_STATE__UPSTREAM_RETIRED;
  link_by_id (s, u);
  HASH_ADD (by_id, s->upstreams_by_id, id, sizeof u->id, u);
  HASH_ADD (by_address, s->upstreams_by_address, address_key,
            sizeof u->address_key, u);
  return u;
}

/* Drops upstreams that the record no longer has, and those behind whose
   address or name is another VM now: their state says nothing about it.  */
static void
drop_changed_upstreams (struct am_board *b, struct am_service *s,
                        const Amaranth__Service *in)
{
  am_list_each (u, &s->upstreams, struct am_upstream, node)
  {
    u->present = false;
  }
  for (size_t i = 0; i < in->n_upstreams; i++)
    {
      const Amaranth__Upstream *n = in->upstreams[i];
      struct am_upstream *u = am_service_upstream (s, n->id);

      if (u)
        u->present = u->incarnation == n->incarnation && u->address.ip == n->ip
                     && u->address.port == n->port;
    }
  am_list_each_safe (u, next, &s->upstreams, struct am_upstream, node)
  {
    if (!u->present)
      drop_upstream (b, s, u);
  }
}

static void
log_state (struct am_board *b, const struct am_upstream *u)
{
  const char *state = "unknown";

  if (u->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE)
    state = "active";
  else if (u->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_LEAVING)
    state = "leaving";
  else if (u->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_RETIRED)
    state = "retired";
  am_board_decision (
      b, 0,
      "event=upstream_state service=%s upstream=%s state=%s revision=%llu",
      u->service->name, u->name, state,
      (unsigned long long)u->service->revision);
}

static void
update_upstream (struct am_board *b, struct am_upstream *u,
                 const Amaranth__Upstream *in, bool ramp)
{
  bool was_active = u->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE;
  bool changed = u->state != in->state;

  copy_name (u->name, in->name);
  copy_name (u->data_centre, in->data_centre);
  u->state = in->state;
  u->slots = in->slots;
  u->connections = in->connections;
  u->weight = or_default (in->weight, WEIGHT_DEFAULT);
  if (changed)
    log_state (b, u);
  if (!was_active && ramp
      && in->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE)
    u->joined_us = b->now_us;
}

static int
apply_upstreams (struct am_board *b, struct am_service *s,
                 const Amaranth__Service *in, bool ramp)
{
  drop_changed_upstreams (b, s, in);
  for (size_t i = 0; i < in->n_upstreams; i++)
    {
      struct am_upstream *u = am_service_upstream (s, in->upstreams[i]->id);

      if (!u)
        u = add_upstream (s, in->upstreams[i]);
      if (!u)
        return AM_E_MEMORY;
      update_upstream (b, u, in->upstreams[i], ramp);
    }
  return AM_OK;
}

/* ---- services ----------------------------------------------------- */

static void
drop_service (struct am_board *b, struct am_service *s)
{
  am_requests_service_gone (b, s);
  am_list_each_safe (u, next, &s->upstreams, struct am_upstream, node)
  {
    drop_upstream (b, s, u);
  }
  s->binding->finish (b, s);
  am_board_decision (b, 0, "event=service_dropped service=%s revision=%llu",
                     s->name, (unsigned long long)s->revision);
  HASH_DELETE (by_id, b->services_by_id, s);
  HASH_DELETE (by_address, b->services_by_address, s);
  am_list_remove (&s->node);
  free (s);
}

static struct am_service *
add_service (struct am_board *b, const Amaranth__Service *in)
{
  struct am_service *s = calloc (1, sizeof *s);

  if (!s)
    return NULL;
  s->id = in->id;
  s->address.ip = in->ip;
  s->address.port = (uint16_t)in->port;
  s->address_key = am_address_key (s->address);
  copy_name (s->name, in->name);
  am_list_init (&s->upstreams);
  s->binding = am_binding_strategy (in->binding);
  if (s->binding->init (b, s))
    {
      free (s);
      return NULL;
    }
  am_list_push_back (&b->services, &s->node);
  HASH_ADD (by_id, b->services_by_id, id, sizeof s->id, s);
  HASH_ADD (by_address, b->services_by_address, address_key,
            sizeof s->address_key, s);
  return s;
}

static void
apply_classes (struct am_service *s, const Amaranth__Service *in)
{
  s->class_count = in->n_classes;
  for (size_t i = 0; i < in->n_classes; i++)
    {
      const Amaranth__RequestClass *from = in->classes[i];
      struct am_class *c = &s->classes[i];

      c->id = from->id;
      copy_name (c->name, from->name);
      c->one_time = from->kind == AMARANTH__REQUEST_KIND__ONE_TIME;
      c->weight = or_default (from->weight, 1);
      c->priority = from->priority;
      c->deadline_ms = or_default (from->deadline_ms, DEADLINE_MS_DEFAULT);
      c->queue_limit = or_default (from->queue_limit, QUEUE_LIMIT_DEFAULT);
    }
}

static void
apply_address (struct am_board *b, struct am_service *s,
               const Amaranth__Service *in)
{
  struct am_address a = { in->ip, (uint16_t)in->port };

  if (am_address_equal (a, s->address))
    return;
  HASH_DELETE (by_address, b->services_by_address, s);
  s->address = a;
  s->address_key = am_address_key (a);
  HASH_ADD (by_address, b->services_by_address, address_key,
            sizeof s->address_key, s);
}

static int
apply_binding (struct am_board *b, struct am_service *s,
               const Amaranth__Service *in)
{
  const struct am_binding_ops *ops = am_binding_strategy (in->binding);

  if (ops == s->binding)
    return AM_OK;
  s->binding->finish (b, s);
  s->binding = ops;
  return ops->init (b, s);
}

static int
apply_service (struct am_board *b, const Amaranth__Service *in, bool ramp)
{
  struct am_service *s = am_board_service (b, in->id);
  int err;

  if (s && in->revision < s->revision)
    {
      am_board_decision (
          b, 0, "event=service_kept service=%s revision=%llu offered=%llu",
          s->name, (unsigned long long)s->revision,
          (unsigned long long)in->revision);
      return AM_OK;
    }
  if (!s)
    s = add_service (b, in);
  if (!s)
    return AM_E_MEMORY;
  apply_address (b, s, in);
  s->revision = in->revision;
  copy_name (s->name, in->name);
  copy_name (s->region, in->region);
  s->objective = in->objective;
  s->retired = in->retired;
  s->ping_interval_ms
      = or_default (in->ping_interval_ms, PING_INTERVAL_MS_DEFAULT);
  s->ping_misses = or_default (in->ping_misses, PING_MISSES_DEFAULT);
  s->slow_start_ms = or_default (in->slow_start_ms, SLOW_START_MS_DEFAULT);
  s->open_rate = or_default (in->open_rate, OPEN_RATE_DEFAULT);
  s->retry_budget = in->retry_budget;
  s->lending = in->lending;
  s->choice = am_choice_policy (in->policy);
  apply_classes (s, in);
  err = apply_binding (b, s, in);
  if (err)
    return err;
  return apply_upstreams (b, s, in, ramp);
}

static const Amaranth__Service *
find_service (const Amaranth__Snapshot *snap, uint32_t id)
{
  for (size_t i = 0; i < snap->n_services; i++)
    if (snap->services[i]->id == id)
      return snap->services[i];
  return NULL;
}

static const Amaranth__Service *
find_service_at (const Amaranth__Snapshot *snap, struct am_address a)
{
  for (size_t i = 0; i < snap->n_services; i++)
    if (snap->services[i]->ip == a.ip && snap->services[i]->port == a.port)
      return snap->services[i];
  return NULL;
}

/* Returns true if IN is not older than what is in force.  */
static bool
is_applicable (struct am_board *b, const Amaranth__Service *in)
{
  const struct am_service *s = am_board_service (b, in->id);

  return !s || in->revision >= s->revision;
}

/* Drops services whose address now belongs to another, so that a packet for
   the other can never follow the old one's state, and retired services that
   are no longer mentioned.  */
static void
drop_old_services (struct am_board *b, const Amaranth__Snapshot *snap)
{
  am_list_each_safe (s, next, &b->services, struct am_service, node)
  {
    const Amaranth__Service *by_id = find_service (snap, s->id);
    const Amaranth__Service *at = find_service_at (snap, s->address);

    if (by_id)
      continue;
    if (s->retired || (at && is_applicable (b, at)))
      drop_service (b, s);
  }
}

/* Returns true if IN's address is in force for another service of which the
   snapshot offers only an older revision: then the snapshot is out of date
   about the address and IN waits for a newer one.  */
static bool
is_address_kept (struct am_board *b, const Amaranth__Snapshot *snap,
                 const Amaranth__Service *in)
{
  struct am_address a = { in->ip, (uint16_t)in->port };
  const struct am_service *holder = am_board_service_at (b, a);
  const Amaranth__Service *offered;

  if (!holder || holder->id == in->id)
    return false;
  offered = find_service (snap, holder->id);
  return !offered || offered->revision < holder->revision;
}

static int
apply_services (struct am_board *b, const Amaranth__Snapshot *snap)
{
  bool ramp = !am_list_empty (&b->services);

  drop_old_services (b, snap);
  for (size_t i = 0; i < snap->n_services; i++)
    {
      int err = AM_OK;

      if (!is_address_kept (b, snap, snap->services[i]))
        err = apply_service (b, snap->services[i], ramp);
      if (err)
        return err;
    }
  return AM_OK;
}

/* ---- members, keys, verdicts -------------------------------------- */

static struct am_member *
add_member (struct am_board *b, uint32_t id)
{
  struct am_member *m = calloc (1, sizeof *m);
  struct am_list *at = &b->members;

  if (!m)
    return NULL;
  m->id = id;
  am_list_each (other, &b->members, struct am_member, node)
  {
    if (other->id > id)
      {
        at = &other->node;
        break;
      }
  }
  am_list_insert_between (&m->node, at->prev, at);
  HASH_ADD (by_id, b->members_by_id, id, sizeof m->id, m);
  return m;
}

static void
drop_member (struct am_board *b, struct am_member *m)
{
  HASH_DELETE (by_id, b->members_by_id, m);
  am_list_remove (&m->node);
  free (m);
}

static int
apply_member (struct am_board *b, const Amaranth__Member *in)
{
  struct am_member *m = am_board_member (b, in->id);

  if (!m)
    m = add_member (b, in->id);
  if (!m)
    return AM_E_MEMORY;
  copy_name (m->name, in->name);
  copy_name (m->data_centre, in->data_centre);
  copy_name (m->region, in->region);
  m->peer.ip = in->ip;
  m->peer.port = (uint16_t)in->peer_port;
  m->state = in->state;
  m->boot_id = in->boot_id;
  m->present = true;
  m->missing_since_us = 0;
  return AM_OK;
}

static bool
is_gone (const struct am_member *m)
{
  return m->state == AMARANTH__MEMBER_STATE__MEMBER_DEAD
         || m->state == AMARANTH__MEMBER_STATE__MEMBER_LEFT;
}

static int
apply_members (struct am_board *b, const Amaranth__Snapshot *snap)
{
  am_list_each (m, &b->members, struct am_member, node) { m->present = false; }
  for (size_t i = 0; i < snap->n_members; i++)
    {
      int err = apply_member (b, snap->members[i]);

      if (err)
        return err;
    }
  if (!b->members_since_us && HASH_CNT (by_id, b->members_by_id) > 1)
    b->members_since_us = b->now_us ? b->now_us : 1;
  am_list_each_safe (m, next, &b->members, struct am_member, node)
  {
    if (m->present)
      continue;
    if (is_gone (m))
      drop_member (b, m);
    else if (!m->missing_since_us)
      m->missing_since_us = b->now_us ? b->now_us : 1;
  }
  return AM_OK;
}

static void
apply_keys (struct am_board *b, const Amaranth__Snapshot *snap)
{
  struct am_key keys[AM_KEYS_MAX];

  if (snap->n_keys == 0)
    return;
  memset (keys, 0, sizeof keys);
  for (size_t i = 0; i < snap->n_keys; i++)
    {
      keys[i].id = snap->keys[i]->id;
      keys[i].state = snap->keys[i]->state;
      memcpy (keys[i].secret, snap->keys[i]->secret.data, AM_TICKET_KEY_SIZE);
    }
  am_key_ring_replace (b, keys, snap->n_keys);
}

static void
log_ejections (struct am_board *b)
{
  am_list_each (s, &b->services, struct am_service, node)
  {
    am_list_each (u, &s->upstreams, struct am_upstream, node)
    {
      if (u->health.ejected == u->health.was_ejected)
        continue;
      am_board_decision (
          b, 0,
          "event=ejection service=%s upstream=%s ejected=%d revision=%llu",
          s->name, u->name, u->health.ejected,
          (unsigned long long)s->revision);
    }
  }
}

static void
apply_verdicts (struct am_board *b, const Amaranth__Snapshot *snap)
{
  am_list_each (s, &b->services, struct am_service, node)
  {
    am_list_each (u, &s->upstreams, struct am_upstream, node)
    {
      u->health.was_ejected = u->health.ejected;
      u->health.ejected = false;
    }
  }
  for (size_t i = 0; i < snap->n_verdicts; i++)
    {
      const Amaranth__Verdict *v = snap->verdicts[i];
      struct am_service *s = am_board_service (b, v->service_id);
      struct am_upstream *u
          = s ? am_service_upstream (s, v->upstream_id) : NULL;

      if (u)
        u->health.ejected = v->ejected;
    }
  log_ejections (b);
}

/* ---- whole -------------------------------------------------------- */

static void
derive (struct am_board *b)
{
  am_list_each (s, &b->services, struct am_service, node)
  {
    s->home_count = am_home_set (b, s, s->home_set);
    s->home = false;
    for (size_t i = 0; i < s->home_count; i++)
      if (s->home_set[i]->id == b->self.id)
        s->home = true;
  }
  am_credit_recompute (b);
  am_list_each (s, &b->services, struct am_service, node)
  {
    s->binding->changed (b, s);
  }
}

/* The home sets point to members; none may be dropped while they do.  */
static void
forget_home_sets (struct am_board *b)
{
  am_list_each (s, &b->services, struct am_service, node)
  {
    s->home_count = 0;
  }
}

static int
apply (struct am_board *b, const Amaranth__Snapshot *snap)
{
  int err = am_snapshot_check (snap);

  if (err)
    return err;
  forget_home_sets (b);
  err = apply_members (b, snap);
  if (!err)
    err = apply_services (b, snap);
  apply_keys (b, snap);
  apply_verdicts (b, snap);
  derive (b);
  if (!err)
    b->snapshot_digest = snap->digest;
  return err;
}

int
am_snapshot_apply (struct am_board *b, const uint8_t *data, size_t len)
{
  Amaranth__Snapshot *snap = amaranth__snapshot__unpack (NULL, len, data);
  int err;

  err = snap ? apply (b, snap) : AM_E_FORMAT;
  if (err)
    b->counters.snapshots_refused++;
  else
    b->counters.snapshots++;
  if (snap)
    am_board_decision (
        b, 0,
        "event=snapshot digest=%016llx services=%zu members=%zu result=%s",
        (unsigned long long)snap->digest, snap->n_services, snap->n_members,
        am_error_name (err));
  amaranth__snapshot__free_unpacked (snap, NULL);
  return err;
}

void
am_snapshot_tick (struct am_board *b)
{
  bool dropped = false;

  am_list_each (m, &b->members, struct am_member, node)
  {
    if (m->missing_since_us
        && b->now_us - m->missing_since_us >= AM_MEMBER_KEEP_US)
      dropped = true;
  }
  if (!dropped)
    return;
  forget_home_sets (b);
  am_list_each_safe (m, next, &b->members, struct am_member, node)
  {
    if (m->missing_since_us
        && b->now_us - m->missing_since_us >= AM_MEMBER_KEEP_US)
      drop_member (b, m);
  }
  derive (b);
}

void
am_snapshot_finish (struct am_board *b)
{
  am_list_each (s, &b->services, struct am_service, node)
  {
    s->binding->finish (b, s);
  }
}
