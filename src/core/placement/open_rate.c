#include "core/placement/open_rate.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"

/* Capacity of a token bucket, in seconds at its rate.  */
#define BURST_SECONDS 2.0

/* Ratio of the share of one entry VM to an equal part of the rate.  */
#define SHARE_SLACK 1.5

#define US_PER_SECOND 1e6

struct key
{
  uint32_t service_id;
  uint32_t ip;
};

struct am_open_bucket
{
  struct am_list node;
  UT_hash_handle hh;
  struct key key;
  double tokens;
  uint64_t at_us; /* last refill */
};

void
am_open_rate_init (struct am_open_rate *t)
{
  t->buckets = NULL;
  am_list_init (&t->callers);
}

void
am_open_rate_finish (struct am_open_rate *t)
{
  am_list_each_safe (c, next, &t->callers, struct am_open_bucket, node)
  {
    HASH_DEL (t->buckets, c);
    free (c);
  }
  am_open_rate_init (t);
}

/* Returns the rate that this VM enforces for S, in OPEN packets per second. */
static double
share_of (const struct am_service *s)
{
  double rate = s->open_rate;
  double share
      = s->home_count ? rate * SHARE_SLACK / (double)s->home_count : rate;

  if (share < AM_OPEN_SHARE_MIN)
    share = AM_OPEN_SHARE_MIN;
  return share < rate ? share : rate;
}

/* Returns the bucket of KEY, added with BURST tokens if necessary, or NULL if
   memory is exhausted.  */
static struct am_open_bucket *
find_or_add (struct am_open_rate *t, struct key key, double burst,
             uint64_t now_us)
{
  struct am_open_bucket *c;

  HASH_FIND (hh, t->buckets, &key, sizeof key, c);
  if (c)
    return c;
  if (HASH_COUNT (t->buckets) >= AM_OPEN_CALLERS_MAX)
    {
      c = am_container_of (am_list_pop_front (&t->callers),
                           struct am_open_bucket, node);
      HASH_DEL (t->buckets, c);
    }
  else
    c = calloc (1, sizeof *c);
  if (!c)
    return NULL;
  memset (c, 0, sizeof *c);
  am_list_init (&c->node);
  c->key = key;
  c->tokens = burst;
  c->at_us = now_us;
  HASH_ADD (hh, t->buckets, key, sizeof c->key, c);
  return c;
}

int
am_open_rate_take (struct am_open_rate *t, const struct am_service *s,
                   uint32_t ip, uint64_t now_us)
{
  double rate = share_of (s);
  double burst = rate * BURST_SECONDS;
  struct am_open_bucket *c
      = find_or_add (t, (struct key){ s->id, ip }, burst, now_us);

  if (!c)
    return AM_E_RATE;
  am_list_remove (&c->node);
  am_list_push_back (&t->callers, &c->node);
  c->tokens += (double)(now_us - c->at_us) * rate / US_PER_SECOND;
  if (c->tokens > burst)
    c->tokens = burst;
  c->at_us = now_us;
  if (c->tokens < 1.0)
    return AM_E_RATE;
  c->tokens -= 1.0;
  return AM_OK;
}
