#include "flow/target_table.h"

#include <stdlib.h>

#include "base/error.h"
#include "base/hash.h"

/* Makes the ticket differ from other hashes of the same id.  */
#define TICKET_SEED 0x7469636bu

void
am_target_table_init (struct am_target_table *t)
{
  for (size_t i = 0; i < AM_TARGET_BUCKETS; i++)
    {
      am_list_init (&t->tickets[i]);
      am_list_init (&t->ids[i]);
    }
  am_list_init (&t->targets);
  t->count = 0;
  t->ready_count = 0;
  t->data_centre = 0;
}

static void
destroy (struct am_target_table *t, struct am_target *g)
{
  am_list_remove (&g->by_ticket);
  am_list_remove (&g->by_id);
  am_list_remove (&g->node);
  t->count--;
  free (g);
}

void
am_target_table_finish (struct am_target_table *t)
{
  am_list_each_safe (g, next, &t->targets, struct am_target, node)
      destroy (t, g);
}

uint32_t
am_target_ticket (uint64_t id)
{
  uint32_t h = (uint32_t)am_hash_bytes (&id, sizeof id, TICKET_SEED);

  return h ? h : 1;
}

static struct am_list *
ticket_bucket (struct am_target_table *t, uint32_t ticket)
{
  return &t->tickets[ticket % AM_TARGET_BUCKETS];
}

static struct am_list *
id_bucket (struct am_target_table *t, uint64_t id)
{
  return &t->ids[am_target_ticket (id) % AM_TARGET_BUCKETS];
}

struct am_target *
am_target_by_id (struct am_target_table *t, uint64_t id)
{
  am_list_each (g, id_bucket (t, id), struct am_target,
                by_id) if (g->spec.id == id) return g;
  return NULL;
}

struct am_target *
am_target_by_ticket (struct am_target_table *t, uint32_t ticket,
                     uint32_t service)
{
  struct am_target *any = NULL;

  am_list_each (g, ticket_bucket (t, ticket), struct am_target, by_ticket)
  {
    if (g->ticket != ticket)
      continue;
    if (g->spec.service == service)
      return g;
    if (!any || any->ambiguous)
      any = g;
  }
  return any;
}

/* Orders by time of start, then by id.  */
static bool
is_older (const struct am_target *a, const struct am_target *b)
{
  if (a->spec.started_ms != b->spec.started_ms)
    return a->spec.started_ms < b->spec.started_ms;
  return a->spec.id < b->spec.id;
}

/* Of the targets that share TICKET only the oldest one receives flows: it may
   have some already.  Every entry VM comes to the same result
   independently.  */
static void
mark_ambiguous (struct am_target_table *t, uint32_t ticket)
{
  struct am_target *oldest = NULL;

  am_list_each (g, ticket_bucket (t, ticket), struct am_target, by_ticket)
  {
    if (g->ticket == ticket && (!oldest || is_older (g, oldest)))
      oldest = g;
  }
  am_list_each (g, ticket_bucket (t, ticket), struct am_target, by_ticket)
  {
    if (g->ticket == ticket)
      g->ambiguous = g != oldest;
  }
}

static struct am_target *
add (struct am_target_table *t, uint64_t id)
{
  struct am_target *g = calloc (1, sizeof *g);

  if (!g)
    return NULL;
  g->spec.id = id;
  g->ticket = am_target_ticket (id);
  g->state = AM_TARGET_REMOVED;
  am_list_push_back (ticket_bucket (t, g->ticket), &g->by_ticket);
  am_list_push_back (id_bucket (t, id), &g->by_id);
  am_list_push_back (&t->targets, &g->node);
  t->count++;
  return g;
}

static void
set_state (struct am_target_table *t, struct am_target *g,
           enum am_target_state state)
{
  if (g->state == AM_TARGET_READY)
    t->ready_count--;
  if (state == AM_TARGET_READY)
    t->ready_count++;
  g->state = state;
}

/* Resets what was observed of an earlier process with the same id, but for the
   load: the flow table has its flows until they expire.  */
static void
reset_observations (struct am_target *g)
{
  g->last_progress_us = 0;
  g->last_accepted_us = 0;
  g->unanswered_since_us = 0;
  g->retry_us = 0;
  g->last_unanswered_us = 0;
  g->unanswered_count = 0;
  g->first_data_unanswered_us = 0;
  g->last_data_unanswered_us = 0;
  g->data_unanswered_count = 0;
}

static bool
is_present (const struct am_target *g)
{
  return g->state != AM_TARGET_REMOVED && !g->absent_since_us;
}

int
am_target_table_put (struct am_target_table *t, const struct am_target_spec *s,
                     uint64_t now_us, struct am_target **target)
{
  struct am_target *g = am_target_by_id (t, s->id);

  if (g && is_present (g) && g->spec.registration != s->registration)
    return AM_E_EXISTS;
  if (!g)
    g = add (t, s->id);
  if (!g)
    return AM_E_MEMORY;
  if (g->spec.started_ms != s->started_ms)
    reset_observations (g);
  if (g->state == AM_TARGET_REMOVED)
    g->retry_us = 0;
  g->spec = *s;
  mark_ambiguous (t, g->ticket);
  g->absent_since_us = 0;
  g->unusable_since_us = 0;
  g->warm_up_end_us = now_us + (uint64_t)s->warm_up_ms * 1000u;
  set_state (t, g, s->draining ? AM_TARGET_DRAINING : AM_TARGET_READY);
  if (target)
    *target = g;
  return AM_OK;
}

bool
am_target_is_ahead_of (const struct am_target *g,
                       const struct am_target_spec *s)
{
  if (s->started_ms != g->spec.started_ms)
    return s->started_ms < g->spec.started_ms;
  if (s->seq != g->spec.seq)
    return s->seq < g->spec.seq;
  return !is_present (g) || (g->spec.draining && !s->draining);
}

/* Returns the target ID if it is present under REGISTRATION, otherwise
   NULL.  */
static struct am_target *
find_present (struct am_target_table *t, uint64_t id, uint64_t registration)
{
  struct am_target *g = am_target_by_id (t, id);

  if (!g || !is_present (g) || g->spec.registration != registration)
    return NULL;
  return g;
}

void
am_target_table_mark_absent (struct am_target_table *t, uint64_t id,
                             uint64_t registration, uint64_t now_us)
{
  struct am_target *g = find_present (t, id, registration);

  if (g)
    g->absent_since_us = now_us;
}

void
am_target_table_mark_unusable (struct am_target_table *t, uint64_t id,
                               uint64_t registration, uint64_t now_us)
{
  struct am_target *g = find_present (t, id, registration);

  if (!g || g->unusable_since_us)
    return;
  g->unusable_since_us = now_us;
  set_state (t, g, AM_TARGET_DRAINING);
}

static bool
is_expired (const struct am_target *g, uint64_t now_us)
{
  return g->state == AM_TARGET_REMOVED
         && now_us - g->removed_us > AM_TARGET_RETENTION_US;
}

/* Returns true if the registration of G is gone, or will not come back.  */
static bool
is_unregistered (const struct am_target *g, uint64_t now_us)
{
  return g->absent_since_us
         || (g->unusable_since_us
             && now_us - g->unusable_since_us >= AM_TARGET_UNUSABLE_US);
}

static void
destroy_expired (struct am_target_table *t, struct am_target *g,
                 const struct am_target_events *events)
{
  uint32_t ticket = g->ticket;

  if (events->expired)
    events->expired (events->userdata, g);
  destroy (t, g);
  mark_ambiguous (t, ticket);
}

void
am_target_table_sweep (struct am_target_table *t, uint64_t now_us,
                       uint64_t grace_end_us,
                       const struct am_target_events *events)
{
  am_list_each_safe (g, next, &t->targets, struct am_target, node)
  {
    if (is_expired (g, now_us))
      destroy_expired (t, g, events);
    else if (g->state != AM_TARGET_REMOVED && now_us >= grace_end_us
             && is_unregistered (g, now_us))
      {
        set_state (t, g, AM_TARGET_REMOVED);
        g->removed_us = now_us;
        if (events->removed)
          events->removed (events->userdata, g);
      }
  }
}
