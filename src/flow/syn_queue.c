#include "flow/syn_queue.h"

#include <string.h>

#include "base/error.h"
#include "base/hash.h"

/* Factor on the counts of SYNs that left, by priority, with each that leaves:
   about the last hundred count.  */
#define TAKEN_DECAY 0.99

/* Of a count of SYNs that a caller was served.  */
#define SERVED_BITS 16

/* Combinations of service, priority and transmission that are queried during
   one call; others wait.  */
#define QUERIES_MAX 16

/* ---- order -------------------------------------------------------- */

static uint32_t
caller_class (struct am_address caller)
{
  uint64_t hash = am_hash_bytes (&caller.ip, sizeof caller.ip, 0);

  return (uint32_t)(hash % AM_SYN_QUEUE_CALLER_CLASSES);
}

static bool
before_by_arrival (const struct am_syn_queue *q, const struct am_queued_syn *a,
                   const struct am_queued_syn *b, uint64_t now_us)
{
  (void)q;
  (void)now_us;
  return a->enqueued_us < b->enqueued_us;
}

static int64_t
aged_priority (const struct am_queued_syn *w, uint64_t now_us)
{
  return (int64_t)w->priority
         - (int64_t)((now_us - w->enqueued_us) / AM_SYN_QUEUE_AGEING_US);
}

static bool
before_by_age (const struct am_syn_queue *q, const struct am_queued_syn *a,
               const struct am_queued_syn *b, uint64_t now_us)
{
  int64_t x = aged_priority (a, now_us);
  int64_t y = aged_priority (b, now_us);

  return x != y ? x < y : before_by_arrival (q, a, b, now_us);
}

/* Returns true if few of the SYNs that left had the priority of W.  */
static bool
is_below_floor (const struct am_syn_queue *q, const struct am_queued_syn *w)
{
  double all = 0;

  for (size_t i = 0; i < AM_ROUTE_PRIORITY_COUNT; i++)
    all += q->taken[i];
  return q->taken[w->priority] * AM_SYN_QUEUE_FLOOR < all;
}

static bool
before_by_floor (const struct am_syn_queue *q, const struct am_queued_syn *a,
                 const struct am_queued_syn *b, uint64_t now_us)
{
  bool x = is_below_floor (q, a);
  bool y = is_below_floor (q, b);

  (void)now_us;
  if (x != y)
    return x;
  if (a->priority != b->priority)
    return a->priority < b->priority;
  return a->deadline_us < b->deadline_us;
}

static bool
before_by_fairness (const struct am_syn_queue *q,
                    const struct am_queued_syn *a,
                    const struct am_queued_syn *b, uint64_t now_us)
{
  uint16_t x = q->served[a->caller];
  uint16_t y = q->served[b->caller];

  (void)now_us;
  if (a->priority != b->priority)
    return a->priority < b->priority;
  return x != y ? x < y : a->deadline_us < b->deadline_us;
}

const struct am_syn_queue_policy am_syn_queue_first_come
    = { "first_come", before_by_arrival };
const struct am_syn_queue_policy am_syn_queue_ageing
    = { "ageing", before_by_age };
const struct am_syn_queue_policy am_syn_queue_floor
    = { "floor", before_by_floor };
const struct am_syn_queue_policy am_syn_queue_fair
    = { "fair", before_by_fairness };

static void
halve_served (struct am_syn_queue *q, uint64_t now_us)
{
  uint64_t halvings = (now_us - q->halved_us) / AM_SYN_QUEUE_CALLER_HALF_US;

  if (!halvings)
    return;
  q->halved_us = now_us;
  for (size_t i = 0; i < AM_SYN_QUEUE_CALLER_CLASSES; i++)
    q->served[i] = halvings < SERVED_BITS ? q->served[i] >> halvings : 0;
}

/* Counts W, which leaves to be served.  */
static void
count_taken (struct am_syn_queue *q, const struct am_queued_syn *w,
             uint64_t now_us)
{
  uint16_t *count = &q->served[w->caller];

  halve_served (q, now_us);
  if (*count < UINT16_MAX)
    ++*count;
  for (size_t i = 0; i < AM_ROUTE_PRIORITY_COUNT; i++)
    q->taken[i] *= TAKEN_DECAY;
  q->taken[w->priority]++;
}

/* ---- queue -------------------------------------------------------- */

void
am_syn_queue_init (struct am_syn_queue *q,
                   const struct am_syn_queue_policy *policy)
{
  memset (q, 0, sizeof *q);
  q->policy = policy;
}

static bool
is_same_attempt (const struct am_packet *a, const struct am_packet *b)
{
  return a->seq == b->seq && am_address_equal (a->caller, b->caller)
         && am_address_equal (a->destination, b->destination);
}

/* Returns the index of the entry of the attempt of P, or the number of entries
   if there is none.  */
static size_t
find (const struct am_syn_queue *q, const struct am_packet *p)
{
  size_t i = 0;

  while (i < q->count && !is_same_attempt (&q->entries[i].packet, p))
    i++;
  return i;
}

bool
am_syn_queue_holds (const struct am_syn_queue *q, const struct am_packet *p)
{
  return find (q, p) < q->count;
}

/* Returns the entry that would leave last.  */
static struct am_queued_syn *
find_last (struct am_syn_queue *q, uint64_t now_us)
{
  struct am_queued_syn *last = &q->entries[0];

  for (size_t i = 1; i < q->count; i++)
    if (q->policy->before (q, last, &q->entries[i], now_us))
      last = &q->entries[i];
  return last;
}

/* Returns an entry for W, which is not queued yet, or NULL if the queue is
   full and W would leave it last.  An earlier deadline alone does not displace
   another SYN.  */
static struct am_queued_syn *
make_room (struct am_syn_queue *q, const struct am_queued_syn *w,
           uint64_t now_us)
{
  struct am_queued_syn *last;
  struct am_queued_syn same = *w;

  if (q->count < AM_SYN_QUEUE_MAX)
    return &q->entries[q->count++];
  last = find_last (q, now_us);
  same.deadline_us = last->deadline_us;
  if (q->has_displaced || !q->policy->before (q, &same, last, now_us))
    return NULL;
  q->displaced = *last;
  q->displaced.deadline_us = now_us;
  q->has_displaced = true;
  return last;
}

int
am_syn_queue_add (struct am_syn_queue *q, const struct am_packet *p,
                  uint32_t service, uint32_t priority, const uint8_t *data,
                  size_t len, uint64_t now_us, uint64_t deadline_us)
{
  size_t i = find (q, p);
  struct am_queued_syn *w = i < q->count ? &q->entries[i] : NULL;
  struct am_queued_syn entry = { .packet = *p,
                                 .service = service,
                                 .priority = priority,
                                 .caller = caller_class (p->caller),
                                 .first_unseen = p->ack != 0,
                                 .enqueued_us = now_us,
                                 .deadline_us = deadline_us,
                                 .len = len };

  if (len > sizeof entry.data)
    return AM_E_TOO_LARGE;
  memcpy (entry.data, data, len);
  if (w)
    {
      entry.first_unseen = entry.first_unseen && w->first_unseen;
      entry.enqueued_us = w->enqueued_us;
      if (w->deadline_us < deadline_us)
        entry.deadline_us = w->deadline_us;
    }
  else
    w = make_room (q, &entry, now_us);
  if (!w)
    return AM_E_QUEUE_FULL;
  *w = entry;
  return AM_OK;
}

size_t
am_syn_queue_ahead (const struct am_syn_queue *q, const struct am_packet *p,
                    uint32_t service, uint32_t priority, uint64_t now_us,
                    uint64_t deadline_us)
{
  struct am_queued_syn w = { .packet = *p,
                             .service = service,
                             .priority = priority,
                             .caller = caller_class (p->caller),
                             .enqueued_us = now_us,
                             .deadline_us = deadline_us };
  size_t n = 0;

  for (size_t i = 0; i < q->count; i++)
    n += q->entries[i].service == service
         && !q->policy->before (q, &w, &q->entries[i], now_us);
  return n;
}

/* Results of the query, cached for one call: it scans every target.  */
struct query_cache
{
  size_t count;
  struct am_queued_syn const *entries[QUERIES_MAX];
  bool results[QUERIES_MAX];
};

static bool
is_alike (const struct am_queued_syn *a, const struct am_queued_syn *b)
{
  return a->service == b->service && a->priority == b->priority
         && !a->packet.ack == !b->packet.ack
         && a->first_unseen == b->first_unseen;
}

static bool
may_leave (struct query_cache *c, const struct am_queued_syn *w,
           am_syn_queue_may_leave query, void *userdata)
{
  for (size_t i = 0; i < c->count; i++)
    if (is_alike (c->entries[i], w))
      return c->results[i];
  if (c->count == QUERIES_MAX)
    return false;
  c->entries[c->count] = w;
  c->results[c->count] = query (userdata, w);
  return c->results[c->count++];
}

/* Returns an entry whose deadline has passed, or NULL.  */
static struct am_queued_syn *
find_expired (struct am_syn_queue *q, uint64_t now_us)
{
  for (size_t i = 0; i < q->count; i++)
    if (now_us >= q->entries[i].deadline_us)
      return &q->entries[i];
  return NULL;
}

static struct am_queued_syn *
find_first (struct am_syn_queue *q, uint64_t now_us,
            am_syn_queue_may_leave query, void *userdata)
{
  struct am_queued_syn *first = NULL;
  struct query_cache cache = { 0 };

  for (size_t i = 0; i < q->count; i++)
    {
      struct am_queued_syn *next = &q->entries[i];

      if (first && !q->policy->before (q, next, first, now_us))
        continue;
      if (may_leave (&cache, next, query, userdata))
        first = next;
    }
  return first;
}

bool
am_syn_queue_take (struct am_syn_queue *q, uint64_t now_us,
                   am_syn_queue_may_leave query, void *userdata,
                   struct am_queued_syn *w)
{
  struct am_queued_syn *next;

  if (q->has_displaced)
    {
      *w = q->displaced;
      q->has_displaced = false;
      return true;
    }
  next = find_expired (q, now_us);
  if (!next)
    {
      next = find_first (q, now_us, query, userdata);
      if (!next)
        return false;
      count_taken (q, next, now_us);
    }
  *w = *next;
  *next = q->entries[--q->count];
  return true;
}
