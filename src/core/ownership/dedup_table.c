#include "core/ownership/dedup_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"

void
am_dedup_init (struct am_dedup *o, uint64_t now_us, uint64_t boot_id)
{
  memset (o, 0, sizeof *o);
  o->boot_id = boot_id;
  o->last_event_us = now_us;
  am_list_init (&o->by_age);
}

static void
remove_entry (struct am_dedup *o, struct am_dedup_entry *i)
{
  HASH_DEL (o->ids, i);
  am_list_remove (&i->node);
  free (i);
}

void
am_dedup_finish (struct am_dedup *o)
{
  am_list_each_safe (i, next, &o->by_age, struct am_dedup_entry, node)
  {
    remove_entry (o, i);
  }
}

static void
extend_grace (struct am_dedup *o, uint64_t now_us, uint64_t until_us)
{
  o->acquired_us = now_us;
  if (o->grace_until_us < until_us)
    o->grace_until_us = until_us;
}

/* Records the time of an event and detects a suspension of the process before
   it.  */
static void
record_event_time (struct am_dedup *o, uint64_t now_us)
{
  if (now_us - o->last_event_us > AM_DEDUP_SUSPENSION_MIN_US)
    o->drain_until_us = now_us + AM_DEDUP_DRAIN_US;
  o->last_event_us = now_us;
}

/* Returns true if every id that a previous owner may have executed and that
   may still be retransmitted is in this table, or is covered by the grace
   time.  */
static bool
is_continuous (struct am_dedup *o, uint64_t now_us,
               const struct am_lease_grant *g)
{
  if (g->first)
    return true;
  if (g->same && o->epoch && o->epoch + 1 == g->epoch)
    return true;
  if (!g->handed || o->imported_epoch + 1 != g->epoch || !o->imported_epoch)
    return false;
  extend_grace (o, now_us, o->imported_grace_until_us);
  return true;
}

int
am_dedup_apply_grant (struct am_dedup *o, uint64_t now_us,
                      const struct am_lease_grant *g)
{
  record_event_time (o, now_us);
  if (g->boot_id != o->boot_id)
    return AM_E_ISSUER_GONE;
  if (g->epoch < o->epoch)
    return AM_E_REVISION;
  if (g->until_us && g->epoch > o->epoch)
    {
      if (!is_continuous (o, now_us, g))
        extend_grace (o, now_us, now_us + AM_DEDUP_RETENTION_US);
      o->epoch = g->epoch;
    }
  if (g->epoch == o->epoch)
    o->until_us = g->until_us;
  return AM_OK;
}

static struct am_dedup_entry *
find (const struct am_dedup *o, const struct am_dedup_key *key)
{
  struct am_dedup_entry *i;

  HASH_FIND (hh, o->ids, key, sizeof *key, i);
  return i;
}

static struct am_dedup_entry *
add_entry (struct am_dedup *o, uint64_t now_us, const struct am_dedup_key *key)
{
  struct am_dedup_entry *i;

  if (HASH_COUNT (o->ids) >= AM_DEDUP_IDS_MAX)
    return NULL;
  i = calloc (1, sizeof *i);
  if (!i)
    return NULL;
  i->key = *key;
  i->arrived_us = now_us;
  am_list_push_back (&o->by_age, &i->node);
  HASH_ADD (hh, o->ids, key, sizeof i->key, i);
  return i;
}

/* Returns true if an id that is not in the table may have been executed by a
   previous owner, or by this one before its entry was removed.  The stated age
   of a request that was queued in the socket of a suspended process is not
   conclusive.  */
static bool
may_have_run (const struct am_dedup *o, uint64_t now_us, uint64_t age_us)
{
  if (now_us < o->drain_until_us)
    return true;
  if (age_us == AM_DEDUP_AGE_UNKNOWN)
    return now_us < o->grace_until_us;
  if (age_us > AM_DEDUP_ID_LIFETIME_US)
    return true;
  return now_us < o->grace_until_us
         && now_us < o->acquired_us + age_us + AM_DEDUP_TRANSIT_MAX_US;
}

enum am_dedup_result
am_dedup_admit (struct am_dedup *o, uint64_t now_us,
                const struct am_dedup_key *key, uint64_t age_us,
                struct am_dedup_entry **id)
{
  struct am_dedup_entry *i = find (o, key);

  record_event_time (o, now_us);
  *id = NULL;
  if (now_us >= o->until_us)
    return AM_DEDUP_NOT_OWNER;
  if (!i && may_have_run (o, now_us, age_us))
    return AM_DEDUP_UNKNOWN;
  *id = i ? i : add_entry (o, now_us, key);
  if (i)
    return AM_DEDUP_DUPLICATE;
  return *id ? AM_DEDUP_NEW : AM_DEDUP_UNKNOWN;
}

bool
am_dedup_contains (const struct am_dedup *o, const struct am_dedup_key *key)
{
  return find (o, key) != NULL;
}

uint64_t
am_dedup_not_after (const struct am_dedup *o, uint64_t now_us)
{
  return now_us < o->until_us ? o->until_us : 0;
}

void
am_dedup_set_outcome (struct am_dedup *o, const struct am_dedup_key *key,
                      enum am_dedup_outcome outcome, int error)
{
  struct am_dedup_entry *i = find (o, key);

  if (!i || i->outcome != AM_DEDUP_PENDING)
    return;
  i->outcome = outcome;
  i->error = error;
}

bool
am_dedup_may_forward (struct am_dedup *o, uint64_t now_us)
{
  record_event_time (o, now_us);
  return now_us >= o->until_us && now_us >= o->drain_until_us;
}

int
am_dedup_import (struct am_dedup *o, uint64_t now_us,
                 const struct am_dedup_key *key, enum am_dedup_outcome outcome,
                 int error)
{
  struct am_dedup_entry *i = find (o, key);

  if (!i && HASH_COUNT (o->ids) >= AM_DEDUP_IDS_MAX)
    return AM_E_LIMIT;
  if (!i)
    i = add_entry (o, now_us, key);
  if (!i)
    return AM_E_MEMORY;
  /* A request pending there may have been executed; its answer does not come
     here.  */
  i->outcome = outcome == AM_DEDUP_PENDING ? AM_DEDUP_LOST : outcome;
  i->error = outcome == AM_DEDUP_PENDING ? AM_E_ISSUER_GONE : error;
  return AM_OK;
}

void
am_dedup_import_done (struct am_dedup *o, uint64_t now_us, uint64_t epoch,
                      uint64_t grace_us)
{
  o->imported_epoch = epoch;
  o->imported_grace_until_us = grace_us ? now_us + grace_us : 0;
}

void
am_dedup_tick (struct am_dedup *o, uint64_t now_us)
{
  record_event_time (o, now_us);
  am_list_each_safe (i, next, &o->by_age, struct am_dedup_entry, node)
  {
    if (now_us - i->arrived_us < AM_DEDUP_RETENTION_US)
      return;
    if (i->outcome != AM_DEDUP_PENDING)
      remove_entry (o, i);
  }
}
