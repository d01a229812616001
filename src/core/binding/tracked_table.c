#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "core/binding/tracked.h"

/* Maximum number of flows that one pass of expiry examines.  */
#define EXPIRE_MAX 4096

uint32_t
am_tracked_bucket_of (const struct am_service *s, struct am_address caller)
{
  uint64_t key = am_address_key (caller);

  return (uint32_t)(am_hash_bytes (&key, sizeof key, s->id)
                    % AM_TRACKED_BUCKETS);
}

bool
am_tracked_is_owner (const struct am_board *b,
                     const struct am_tracked_bucket *k)
{
  return k->owner_id == b->self.id || k->owner_id == 0;
}

struct am_tracked_flow *
am_tracked_find (struct am_tracked *t, struct am_address caller)
{
  uint64_t key = am_address_key (caller);
  struct am_tracked_flow *f;

  HASH_FIND (hh, t->flows, &key, sizeof key, f);
  return f;
}

static void
set_exception (struct am_tracked *t, struct am_tracked_flow *f, bool exception)
{
  if (f->exception == exception)
    return;
  f->exception = exception;
  if (exception)
    t->buckets[f->bucket].exceptions++;
  else
    t->buckets[f->bucket].exceptions--;
}

void
am_tracked_queue_copy (struct am_tracked *t, struct am_tracked_flow *f)
{
  am_list_remove (&f->copy_node);
  am_list_push_back (&t->copy_queue, &f->copy_node);
}

void
am_tracked_remove (struct am_tracked *t, struct am_tracked_flow *f)
{
  set_exception (t, f, false);
  am_list_remove (&f->node);
  am_list_remove (&f->copy_node);
  HASH_DEL (t->flows, f);
  free (f);
}

struct am_tracked_flow *
am_tracked_add (struct am_board *b, struct am_service *s,
                struct am_address caller)
{
  struct am_tracked *t = s->binding_state;
  struct am_tracked_flow *f;

  if (HASH_COUNT (t->flows) >= AM_TRACKED_FLOWS_MAX)
    am_tracked_remove (t, am_container_of (t->by_idle_time.next,
                                           struct am_tracked_flow, node));
  f = calloc (1, sizeof *f);
  if (!f)
    return NULL;
  am_list_init (&f->node);
  am_list_init (&f->copy_node);
  f->key = am_address_key (caller);
  f->bucket = am_tracked_bucket_of (s, caller);
  f->added_us = b->now_us;
  HASH_ADD (hh, t->flows, key, sizeof f->key, f);
  am_tracked_touch (b, t, f);
  return f;
}

void
am_tracked_touch (struct am_board *b, struct am_tracked *t,
                  struct am_tracked_flow *f)
{
  f->seen_us = b->now_us;
  am_list_remove (&f->node);
  am_list_push_back (&t->by_idle_time, &f->node);
}

struct am_upstream *
am_tracked_find_upstream (struct am_service *s, uint32_t id,
                          uint32_t incarnation)
{
  struct am_upstream *u = am_service_upstream (s, id);

  if (!u || u->incarnation != incarnation
      || u->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_RETIRED)
    return NULL;
  return u;
}

bool
am_tracked_is_newer (struct am_service *s, uint32_t id, uint32_t incarnation)
{
  const struct am_upstream *u = am_service_upstream (s, id);

  return id != 0 && (!u || u->incarnation < incarnation);
}

struct am_upstream *
am_tracked_flow_upstream (struct am_service *s,
                          const struct am_tracked_flow *f)
{
  return am_tracked_find_upstream (s, f->upstream_id, f->incarnation);
}

bool
am_tracked_is_unresolved (const struct am_board *b, struct am_service *s,
                          const struct am_tracked_flow *f)
{
  return f->unresolved_since_us != 0
         && b->now_us - f->unresolved_since_us < AM_TRACKED_UNRESOLVED_US
         && am_tracked_is_newer (s, f->upstream_id, f->incarnation);
}

void
am_tracked_bind (struct am_board *b, struct am_service *s,
                 struct am_tracked_flow *f, uint32_t id, uint32_t incarnation)
{
  struct am_tracked *t = s->binding_state;
  struct am_tracked_bucket *k = &t->buckets[f->bucket];
  bool exception = am_tracked_is_owner (b, k) && id != k->default_id;

  f->upstream_id = id;
  f->incarnation = incarnation;
  f->provisional = false;
  if (am_tracked_find_upstream (s, id, incarnation))
    f->unresolved_since_us = 0;
  else if (!f->unresolved_since_us)
    f->unresolved_since_us = b->now_us;
  if (exception && !f->exception)
    {
      b->counters.tracked_exceptions++;
      am_tracked_queue_copy (t, f);
    }
  set_exception (t, f, exception);
}

bool
am_tracked_is_provisional (const struct am_board *b,
                           const struct am_tracked_flow *f)
{
  return f->provisional && b->now_us - f->added_us < AM_TRACKED_BACKUP_SYNC_US;
}

/* ---- buckets ------------------------------------------------------ */

static uint64_t
bucket_key (const struct am_service *s, uint32_t bucket)
{
  return (uint64_t)s->id << 32 | bucket;
}

static uint32_t
pick_default (const struct am_service *s, uint64_t key)
{
  const struct am_upstream *best = NULL;
  double best_score = -HUGE_VAL;

  am_list_each (u, &s->upstreams, struct am_upstream, node)
  {
    double score;

    if (u->state != AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE
        || u->health.ejected)
      continue;
    score = am_hash_rendezvous_weighted (key, u->id, u->weight);
    if (score > best_score)
      {
        best = u;
        best_score = score;
      }
  }
  return best ? best->id : 0;
}

static void
pick_owners (const struct am_service *s, uint64_t key, uint32_t *owner,
             uint32_t *backup)
{
  uint64_t first = 0;
  uint64_t second = 0;

  *owner = 0;
  *backup = 0;
  for (size_t i = 0; i < s->home_count; i++)
    {
      uint32_t id = s->home_set[i]->id;
      uint64_t score = am_hash_rendezvous (key, id);

      if (*owner == 0 || score > first)
        {
          second = first;
          *backup = *owner;
          first = score;
          *owner = id;
        }
      else if (*backup == 0 || score > second)
        {
          second = score;
          *backup = id;
        }
    }
}

/* Returns the member that a new owner queries about flows it does not know:
   the FORMER owner, or none (0) if it has failed, left or is this VM; without
   a former owner the BACKUP, which owned the bucket before this entry VM
   joined.  */
static uint32_t
pick_former (struct am_board *b, uint32_t former, uint32_t backup)
{
  const struct am_member *m = am_board_member (b, former);

  if (former != b->self.id && m
      && m->state != AMARANTH__MEMBER_STATE__MEMBER_DEAD
      && m->state != AMARANTH__MEMBER_STATE__MEMBER_LEFT)
    return former;
  return former ? 0 : backup;
}

/* Records the boot id of OWNER.  Returns true if K's owner has restarted, and
   thus has an empty table.  */
static bool
update_owner_boot_id (struct am_board *b, struct am_tracked_bucket *k,
                      uint32_t owner)
{
  const struct am_member *m = am_board_member (b, owner);
  uint64_t boot_id = m ? m->boot_id : 0;
  bool restarted = owner == k->owner_id && owner != b->self.id && boot_id
                   && k->owner_boot_id && boot_id != k->owner_boot_id;

  if (boot_id || owner != k->owner_id)
    k->owner_boot_id = boot_id;
  return restarted;
}

static bool
has_failed_or_left (struct am_board *b, uint32_t id)
{
  const struct am_member *m = am_board_member (b, id);

  return !m || m->state == AMARANTH__MEMBER_STATE__MEMBER_DEAD
         || m->state == AMARANTH__MEMBER_STATE__MEMBER_LEFT;
}

/* Returns true if the owner of K has failed or left, and OWNER, the new one,
   was not its backup for long enough to have received the exceptions.  */
static bool
lacks_copies (struct am_board *b, const struct am_tracked_bucket *k,
              uint32_t owner)
{
  if (owner == k->owner_id || k->owner_id == 0
      || !has_failed_or_left (b, k->owner_id))
    return false;
  return owner != k->backup_id
         || b->now_us - k->backup_since_us < AM_TRACKED_BACKUP_SYNC_US;
}

static void
set_backup (struct am_board *b, struct am_tracked_bucket *k, uint32_t backup)
{
  if (backup != k->backup_id)
    k->backup_since_us = b->now_us;
  k->backup_id = backup;
}

static void
recompute_bucket (struct am_board *b, struct am_service *s, uint32_t bucket)
{
  struct am_tracked *t = s->binding_state;
  struct am_tracked_bucket *k = &t->buckets[bucket];
  uint64_t key = bucket_key (s, bucket);
  uint32_t default_id = pick_default (s, key);
  uint32_t owner;
  uint32_t backup;

  pick_owners (s, key, &owner, &backup);
  k->copies_missing = lacks_copies (b, k, owner);
  set_backup (b, k, backup);
  k->exceptions = 0;
  k->owner_restarted = update_owner_boot_id (b, k, owner);
  if (default_id == k->default_id && owner == k->owner_id
      && !k->owner_restarted)
    return;
  if (owner != k->owner_id)
    {
      k->former_id = pick_former (b, k->owner_id, backup);
      k->owner_since_us = b->now_us;
      k->queries_peers = k->copies_missing && owner == b->self.id;
    }
  k->default_id = default_id;
  k->owner_id = owner;
  k->epoch++;
  k->changed = true;
}

static uint64_t
digest_inputs (const struct am_service *s)
{
  uint64_t digest = 0;

  am_list_each (u, &s->upstreams, struct am_upstream, node)
  {
    uint64_t fields[] = { u->id, u->incarnation, u->weight,
                          (uint64_t)u->state << 1 | u->health.ejected };

    digest = am_hash_bytes (fields, sizeof fields, digest);
  }
  for (size_t i = 0; i < s->home_count; i++)
    {
      uint64_t fields[] = { s->home_set[i]->id, s->home_set[i]->boot_id };

      digest = am_hash_bytes (fields, sizeof fields, digest);
    }
  return digest | 1;
}

/* Recounts the exceptions and queues copies of them: to the backup; to the new
   owner of buckets that this entry VM no longer owns; and to an owner that has
   restarted or lacks copies, even if this entry VM never owned the bucket. */
static void
recount_exceptions (struct am_board *b, struct am_service *s)
{
  struct am_tracked *t = s->binding_state;

  am_list_each_safe (f, next, &t->by_idle_time, struct am_tracked_flow, node)
  {
    const struct am_tracked_bucket *k = &t->buckets[f->bucket];
    bool at_other = f->upstream_id != k->default_id;
    bool was_owned = f->owned;

    f->exception = false;
    f->owned = was_owned && am_tracked_is_owner (b, k);
    if (!am_tracked_flow_upstream (s, f)
        && !am_tracked_is_unresolved (b, s, f))
      {
        am_tracked_remove (t, f);
        continue;
      }
    if (!at_other)
      {
        am_list_remove (&f->copy_node);
        continue;
      }
    if (am_tracked_is_owner (b, k))
      set_exception (t, f, true);
    f->hint = k->copies_missing && !was_owned;
    if (am_tracked_is_owner (b, k) || was_owned || k->owner_restarted
        || (k->copies_missing && !am_tracked_is_provisional (b, f)))
      am_tracked_queue_copy (t, f);
  }
}

void
am_tracked_recompute (struct am_board *b, struct am_service *s)
{
  struct am_tracked *t = s->binding_state;
  uint64_t digest = digest_inputs (s);

  if (digest == t->inputs_digest)
    return;
  t->inputs_digest = digest;
  for (uint32_t i = 0; i < AM_TRACKED_BUCKETS; i++)
    recompute_bucket (b, s, i);
  recount_exceptions (b, s);
  am_board_decision (b, 0, "event=buckets service=%s flows=%u revision=%llu",
                     s->name, HASH_COUNT (t->flows),
                     (unsigned long long)s->revision);
}

/* ---- time --------------------------------------------------------- */

static void
report_unresponsive (struct am_board *b, struct am_service *s,
                     struct am_tracked_flow *f)
{
  const struct am_upstream *u = am_service_upstream (s, f->upstream_id);

  if (f->reported_unresponsive
      || f->unanswered < AM_TRACKED_UNRESPONSIVE_PACKETS
      || b->now_us - f->unanswered_since_us < AM_TRACKED_UNRESPONSIVE_US)
    return;
  f->reported_unresponsive = true;
  b->counters.silent++;
  am_board_decision (
      b, f->key,
      "event=silent flow=%llu service=%s upstream=%s unanswered=%u "
      "revision=%llu",
      (unsigned long long)f->key, s->name, u ? u->name : "-", f->unanswered,
      (unsigned long long)s->revision);
}

void
am_tracked_expire (struct am_board *b, struct am_service *s)
{
  struct am_tracked *t = s->binding_state;
  int looked = 0;

  am_list_each_safe (f, next, &t->by_idle_time, struct am_tracked_flow, node)
  {
    if (b->now_us - f->seen_us < AM_TRACKED_IDLE_US || looked++ >= EXPIRE_MAX)
      break;
    am_tracked_remove (t, f);
  }
  looked = 0;
  for (struct am_list *n = t->by_idle_time.prev; n != &t->by_idle_time;
       n = n->prev)
    {
      struct am_tracked_flow *f
          = am_container_of (n, struct am_tracked_flow, node);

      if (b->now_us - f->seen_us > AM_TRACKED_UNRESPONSIVE_US
          || looked++ >= EXPIRE_MAX)
        break;
      report_unresponsive (b, s, f);
    }
}
