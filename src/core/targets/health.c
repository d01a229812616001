#include "core/placement/choice.h"

/* Back-off after a refusal; it doubles from the minimum to the maximum.  */
#define BACKOFF_MIN_US 50000u
#define BACKOFF_MAX_US 2000000u

/* How long an upstream is avoided after a failed connection or a response
   time-out; it doubles from the minimum to the maximum.  Longer than the
   back-off, since a one-time request whose attempt fails may end with an
   unknown outcome.  */
#define AVOID_MIN_US 250000u
#define AVOID_MAX_US 5000000u

/* Jitter of both, as a fraction: plus or minus a quarter.  */
#define JITTER 0.25

/* A new sample has a weight of 1/8 in the smoothed response time.  */
#define ANSWER_SMOOTHING 8u

/* Fraction of the full load at the begin of slow start.  */
#define SLOW_START_MIN 0.1

static uint64_t
jittered (struct am_board *b, uint64_t us)
{
  double factor = 1 - JITTER + 2 * JITTER * am_rng_unit (&b->rng);

  return (uint64_t)((double)us * factor);
}

static void
avoid_for (struct am_board *b, struct am_upstream *u, uint64_t us)
{
  uint64_t until = b->now_us + jittered (b, us);

  if (until > u->health.avoid_until_us)
    u->health.avoid_until_us = until;
}

void
am_health_ok (struct am_board *b, struct am_upstream *u, uint64_t answer_us)
{
  struct am_upstream_health *h = &u->health;

  h->failures = 0;
  if (b->now_us >= h->avoid_until_us)
    h->backoff_us = 0;
  if (h->answer_us == 0)
    h->answer_us = answer_us;
  else
    h->answer_us = (h->answer_us * (ANSWER_SMOOTHING - 1) + answer_us)
                   / ANSWER_SMOOTHING;
}

void
am_health_refused (struct am_board *b, struct am_upstream *u)
{
  struct am_upstream_health *h = &u->health;

  b->counters.shed++;
  if (h->backoff_us && b->now_us < h->avoid_until_us)
    return;
  h->backoff_us = h->backoff_us ? h->backoff_us * 2 : BACKOFF_MIN_US;
  if (h->backoff_us > BACKOFF_MAX_US)
    h->backoff_us = BACKOFF_MAX_US;
  avoid_for (b, u, h->backoff_us);
}

void
am_health_failed (struct am_board *b, struct am_upstream *u)
{
  uint64_t us = AVOID_MIN_US;

  for (uint32_t i = 0; i < u->health.failures && us < AVOID_MAX_US; i++)
    us *= 2;
  u->health.failures++;
  avoid_for (b, u, us < AVOID_MAX_US ? us : AVOID_MAX_US);
}

double
am_slow_start_factor (const struct am_board *b, const struct am_upstream *u)
{
  uint64_t ramp_us = (uint64_t)u->service->slow_start_ms * 1000;
  uint64_t age_us = b->now_us - u->joined_us;

  if (u->joined_us == 0 || b->now_us < u->joined_us || age_us >= ramp_us)
    return 1;
  return SLOW_START_MIN
         + (1 - SLOW_START_MIN) * (double)age_us / (double)ramp_us;
}
