#include "core/membership/control_members.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"

#define MEMBERS_MAX 4096

/* An update is sent this many times, plus as many for each decimal digit of
   the number of members.  With 4 per digit alone, one of 7 members missed an
   update until it was repeated.  */
#define TRANSMIT_FACTOR 4

static const char *const state_names[]
    = { "alive", "suspect", "dead", "leaving", "left" };

static int
rank (Amaranth__MemberState s)
{
  switch (s)
    {
    case AMARANTH__MEMBER_STATE__MEMBER_SUSPECT:
      return 1;
    case AMARANTH__MEMBER_STATE__MEMBER_LEAVING:
      return 2;
    case AMARANTH__MEMBER_STATE__MEMBER_DEAD:
      return 3;
    case AMARANTH__MEMBER_STATE__MEMBER_LEFT:
      return 4;
    default:
      return 0;
    }
}

static bool
state_live (Amaranth__MemberState s)
{
  return rank (s) < rank (AMARANTH__MEMBER_STATE__MEMBER_DEAD);
}

bool
am_vm_live (const struct am_vm *v)
{
  return state_live (v->state);
}

static int
replace_string (char **at, const char *text)
{
  char *copy;

  if (*at && strcmp (*at, text) == 0)
    return AM_OK;
  copy = strdup (text);
  if (!copy)
    return AM_E_MEMORY;
  free (*at);
  *at = copy;
  return AM_OK;
}

static void
free_strings (struct am_vm *v)
{
  free (v->name);
  free (v->data_centre);
  free (v->region);
}

int
am_members_init (struct am_control *c, const struct am_control_options *o)
{
  struct am_vm *s = &c->self;

  am_list_init (&c->vms.all);
  am_list_init (&c->vms.queue);
  am_list_init (&s->node);
  am_list_init (&s->queue);
  s->id = o->self.id;
  s->ip = o->self.ip;
  s->agent_port = o->self.agent_port;
  s->control_port = o->self.control_port;
  s->peer_port = o->self.peer_port;
  s->incarnation = o->incarnation;
  s->state = AMARANTH__MEMBER_STATE__MEMBER_ALIVE;
  if (replace_string (&s->name, o->self.name)
      || replace_string (&s->data_centre, o->self.data_centre)
      || replace_string (&s->region, o->self.region))
    return AM_E_MEMORY;
  return AM_OK;
}

static void
drop (struct am_control *c, struct am_vm *v)
{
  struct am_vms *t = &c->vms;

  for (size_t i = 0; i < t->count; i++)
    if (t->order[i] == v)
      {
        t->order[i] = t->order[t->count - 1];
        break;
      }
  t->count--;
  if (am_vm_live (v))
    t->live--;
  HASH_DELETE (by_id, t->by_id, v);
  am_list_remove (&v->node);
  am_list_remove (&v->queue);
  free_strings (v);
  free (v);
}

void
am_members_finish (struct am_control *c)
{
  am_list_each_safe (v, next, &c->vms.all, struct am_vm, node) { drop (c, v); }
  free (c->vms.order);
  free_strings (&c->self);
}

struct am_vm *
am_members_find (struct am_control *c, uint32_t id)
{
  struct am_vm *v;

  HASH_FIND (by_id, c->vms.by_id, &id, sizeof id, v);
  return v;
}

struct am_vm *
am_members_find_by_address (struct am_control *c, struct am_address a)
{
  am_list_each (v, &c->vms.all, struct am_vm, node)
  {
    if (am_address_equal (am_vm_gossip (v), a))
      return v;
  }
  return NULL;
}

uint32_t
am_members_transmit_limit (const struct am_control *c)
{
  uint32_t digits = 2;

  for (size_t n = c->vms.live + 1; n >= 10; n /= 10)
    digits++;
  return digits * TRANSMIT_FACTOR;
}

void
am_members_queue_update (struct am_control *c, struct am_vm *v)
{
  v->transmits = am_members_transmit_limit (c);
  am_list_remove (&v->queue);
  am_list_push_front (&c->vms.queue, &v->queue);
  c->urgent = true;
}

static int
grow_order (struct am_vms *t)
{
  size_t size = t->order_size ? 2 * t->order_size : 16;
  struct am_vm **order;

  if (t->count < t->order_size)
    return AM_OK;
  order = realloc (t->order, size * sizeof (struct am_vm *));
  if (!order)
    return AM_E_MEMORY;
  t->order = order;
  t->order_size = size;
  return AM_OK;
}

/* Adds member ID, in state left, at a random position of the probe order.
   Returns NULL if the table is full or memory fails.  */
static struct am_vm *
add (struct am_control *c, uint32_t id)
{
  struct am_vms *t = &c->vms;
  struct am_vm *v;
  size_t at;

  if (t->count >= MEMBERS_MAX || grow_order (t))
    return NULL;
  v = calloc (1, sizeof *v);
  if (!v)
    return NULL;
  v->id = id;
  v->state = AMARANTH__MEMBER_STATE__MEMBER_LEFT;
  am_list_init (&v->queue);
  am_list_push_back (&t->all, &v->node);
  HASH_ADD (by_id, t->by_id, id, sizeof v->id, v);
  at = am_rng_below (&c->rng, (uint32_t)t->count + 1);
  t->order[t->count] = t->order[at];
  t->order[at] = v;
  t->count++;
  return v;
}

static void
set_state (struct am_control *c, struct am_vm *v, Amaranth__MemberState state,
           const char *reason)
{
  bool was_live = am_vm_live (v);
  bool live = state_live (state);

  c->vms.live += (size_t)live - (size_t)was_live;
  v->since_us = c->now_us;
  v->suspect_until_us = state == AMARANTH__MEMBER_STATE__MEMBER_SUSPECT
                            ? c->now_us + AM_SUSPICION_TIMEOUT_US
                            : 0;
  v->state = state;
  c->counters.member_changes++;
  c->link.dirty = true;
  am_control_log (c, AM_LOG_INFO,
                  "event=member id=%u name=%s state=%s incarnation=%llu "
                  "boot_id=%016llx reason=%s",
                  v->id, v->name ? v->name : "", state_names[state],
                  (unsigned long long)v->incarnation,
                  (unsigned long long)v->boot_id, reason);
}

static int
copy_strings (struct am_vm *v, const Amaranth__Member *m)
{
  if (replace_string (&v->name, m->name)
      || replace_string (&v->data_centre, m->data_centre)
      || replace_string (&v->region, m->region))
    return AM_E_MEMORY;
  return AM_OK;
}

/* Copies M with STATE to V.  A boot id of 0 does not replace the known one: an
   agent that has just started does not know its forwarder's boot id yet, and
   the forwarder may have kept running.  */
static int
apply_update (struct am_control *c, struct am_vm *v, const Amaranth__Member *m,
              Amaranth__MemberState state)
{
  if (copy_strings (v, m))
    return AM_E_MEMORY;
  v->ip = m->ip;
  v->agent_port = (uint16_t)m->agent_port;
  v->control_port = (uint16_t)m->control_port;
  v->peer_port = (uint16_t)m->peer_port;
  v->incarnation = m->incarnation;
  if (m->boot_id)
    v->boot_id = m->boot_id;
  v->config_digest = m->config_digest;
  set_state (c, v, state, "update");
  c->verdicts.stale = true;
  return AM_OK;
}

/* Adds a member that was not known.  One from a table exchange is not
   disseminated: other members know it already, and when a whole fleet started
   such updates used up minutes of the budget.  */
static int
add_new (struct am_control *c, const Amaranth__Member *m,
         enum am_update_source source)
{
  struct am_vm *v = add (c, m->id);

  if (!v || apply_update (c, v, m, m->state))
    return AM_E_MEMORY;
  if (source == AM_UPDATE_GOSSIP)
    am_members_queue_update (c, v);
  return AM_OK;
}

static bool
supersedes (const struct am_vm *v, uint64_t incarnation,
            Amaranth__MemberState state)
{
  if (incarnation != v->incarnation)
    return incarnation > v->incarnation;
  return rank (state) > rank (v->state);
}

static int
update_self (struct am_control *c, const Amaranth__Member *m,
             Amaranth__MemberState state)
{
  if (!supersedes (&c->self, m->incarnation, state))
    return AM_OK;
  if (m->incarnation == c->self.incarnation && state == c->self.state)
    return AM_OK;
  c->self.incarnation = m->incarnation + 1;
  c->counters.refutations++;
  am_control_log (c, AM_LOG_NOTICE, "event=refuted state=%s incarnation=%llu",
                  state_names[state], (unsigned long long)c->self.incarnation);
  am_members_queue_update (c, &c->self);
  return AM_OK;
}

static bool
valid (const Amaranth__Member *m)
{
  return m->id != 0 && m->ip != 0 && m->agent_port <= UINT16_MAX
         && m->control_port <= UINT16_MAX && m->peer_port <= UINT16_MAX
         && (unsigned)m->state <= AMARANTH__MEMBER_STATE__MEMBER_LEFT
         && m->incarnation < UINT64_MAX && strlen (m->name) < 64
         && strlen (m->data_centre) < 64 && strlen (m->region) < 64;
}

int
am_members_update (struct am_control *c, const Amaranth__Member *m,
                   enum am_update_source source)
{
  Amaranth__MemberState state = m->state;
  struct am_vm *v;

  if (!valid (m))
    return AM_E_FORMAT;
  if (source == AM_UPDATE_TABLE_EXCHANGE
      && state == AMARANTH__MEMBER_STATE__MEMBER_DEAD)
    state = AMARANTH__MEMBER_STATE__MEMBER_SUSPECT;
  if (m->id == c->self.id)
    return update_self (c, m, state);
  v = am_members_find (c, m->id);
  if (!v)
    {
      if (!state_live (m->state))
        return AM_OK;
      return add_new (c, m, source);
    }
  if (!am_vm_live (v) && !state_live (m->state))
    return AM_OK;
  if (supersedes (v, m->incarnation, state))
    {
      if (apply_update (c, v, m, state))
        return AM_E_MEMORY;
      am_members_queue_update (c, v);
      return AM_OK;
    }
  if (m->incarnation == v->incarnation && state_live (m->state))
    v->config_digest = m->config_digest;
  return AM_OK;
}

void
am_members_suspect (struct am_control *c, struct am_vm *v)
{
  if (v->suspect_until_us || !am_vm_live (v))
    return;
  if (v->state == AMARANTH__MEMBER_STATE__MEMBER_LEAVING)
    {
      v->suspect_until_us = c->now_us + AM_SUSPICION_TIMEOUT_US;
      return;
    }
  set_state (c, v, AMARANTH__MEMBER_STATE__MEMBER_SUSPECT, "probe");
  am_members_queue_update (c, v);
}

void
am_members_confirm_alive (struct am_control *c, struct am_vm *v)
{
  (void)c;
  if (v->state == AMARANTH__MEMBER_STATE__MEMBER_LEAVING)
    v->suspect_until_us = 0;
}

void
am_members_set_self (struct am_control *c, Amaranth__MemberState state,
                     uint64_t boot_id)
{
  if (c->self.state == state && c->self.boot_id == boot_id)
    return;
  c->self.state = state;
  c->self.boot_id = boot_id;
  c->self.incarnation++;
  c->link.dirty = true;
  am_members_queue_update (c, &c->self);
  am_control_log (c, AM_LOG_NOTICE,
                  "event=self state=%s boot_id=%016llx incarnation=%llu",
                  state_names[state], (unsigned long long)boot_id,
                  (unsigned long long)c->self.incarnation);
}

void
am_members_tick (struct am_control *c)
{
  am_list_each_safe (v, next, &c->vms.all, struct am_vm, node)
  {
    if (am_vm_live (v) && v->suspect_until_us
        && c->now_us >= v->suspect_until_us)
      {
        set_state (c, v, AMARANTH__MEMBER_STATE__MEMBER_DEAD, "silent");
        c->verdicts.stale = true;
        am_members_queue_update (c, v);
      }
    else if (!am_vm_live (v)
             && c->now_us - v->since_us >= AM_DEAD_RETENTION_US)
      {
        c->counters.members_forgotten++;
        c->link.dirty = true;
        drop (c, v);
      }
  }
}

void
am_members_fill_message (const struct am_vm *v, Amaranth__Member *m)
{
  amaranth__member__init (m);
  m->id = v->id;
  m->name = v->name;
  m->data_centre = v->data_centre;
  m->region = v->region;
  m->ip = v->ip;
  m->agent_port = v->agent_port;
  m->control_port = v->control_port;
  m->peer_port = v->peer_port;
  m->incarnation = v->incarnation;
  m->state = v->state;
  m->boot_id = v->boot_id;
  m->config_digest = v->config_digest;
}

size_t
am_members_random (struct am_control *c, uint32_t except, struct am_vm **out,
                   size_t n)
{
  struct am_vms *t = &c->vms;
  size_t found = 0;
  size_t start;

  if (t->count == 0)
    return 0;
  for (size_t tries = 0; tries < 4 * n && found < n; tries++)
    {
      struct am_vm *v = t->order[am_rng_below (&c->rng, (uint32_t)t->count)];
      bool taken = !am_vm_live (v) || v->id == except;

      for (size_t i = 0; i < found; i++)
        taken = taken || out[i] == v;
      if (!taken)
        out[found++] = v;
    }
  start = am_rng_below (&c->rng, (uint32_t)t->count);
  for (size_t k = 0; k < t->count && found < n; k++)
    {
      struct am_vm *v = t->order[(start + k) % t->count];
      bool taken = !am_vm_live (v) || v->id == except;

      for (size_t i = 0; i < found; i++)
        taken = taken || out[i] == v;
      if (!taken)
        out[found++] = v;
    }
  return found;
}
