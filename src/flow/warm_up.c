#include "flow/warm_up.h"

#include "base/hash.h"

/* Of the flows per second that are planned, one in this number is the first of
   an admitter, which its interval does not delay.  */
#define FLOWS_PER_ADMITTER 4

/* A lower rate than this would leave a target without the few requests that
   warm it up.  */
#define RATE_MIN_PER_S 0.5

#define SECOND_US 1e6

struct am_warm_up_plan
am_warm_up_plan (const struct am_warm_up_bounds *b, double per_s)
{
  double planned = (per_s * b->overage + b->slack) / 2;
  struct am_warm_up_plan plan
      = { .admitters = (uint32_t)(planned / FLOWS_PER_ADMITTER) };
  double rate;

  if (!plan.admitters)
    plan.admitters = 1;
  rate = planned - plan.admitters;
  if (rate > per_s)
    rate = per_s;
  if (rate < RATE_MIN_PER_S)
    rate = RATE_MIN_PER_S;
  plan.interval_us = (uint64_t)(SECOND_US * plan.admitters / rate);
  return plan;
}

/* Returns the rate that is stated for T, 0 if it has no limit at NOW_US.  */
static double
limit_per_s (const struct am_warm_up *w, const struct am_target *t,
             uint64_t now_us)
{
  const struct am_service *s;

  if (!w || !w->bounds.stated || now_us >= t->warm_up_end_us)
    return 0;
  s = am_route_table_service (w->routes, t->spec.service);
  return s ? s->warm_up_per_s : 0;
}

/* Returns true if fewer than ADMITTERS VMs of T's data centre have a higher
   score for T than this VM.  */
static bool
is_admitter (const struct am_warm_up *w, const struct am_target *t,
             uint32_t admitters)
{
  const struct am_fleet *f = w->fleet;
  uint64_t own = am_hash_bytes (&t->spec.id, sizeof t->spec.id, f->name_hash);
  uint32_t better = 0;

  if (t->spec.data_centre != f->data_centre)
    return false;
  am_list_each (p, &f->peers, struct am_peer, node)
  {
    if (p->data_centre != f->data_centre)
      continue;
    better
        += am_hash_bytes (&t->spec.id, sizeof t->spec.id, p->name_hash) > own;
    if (better >= admitters)
      return false;
  }
  return true;
}

bool
am_warm_up_admits (const struct am_warm_up *w, const struct am_target *t,
                   uint64_t now_us)
{
  double per_s = limit_per_s (w, t, now_us);
  struct am_warm_up_plan plan;

  if (per_s <= 0)
    return true;
  if (now_us < t->warm_up_next_us
      || now_us - w->fleet->started_us < AM_WARM_UP_HOLD_US)
    return false;
  plan = am_warm_up_plan (&w->bounds, per_s);
  return is_admitter (w, t, plan.admitters);
}

void
am_warm_up_admitted (const struct am_warm_up *w, struct am_target *t,
                     uint64_t now_us)
{
  double per_s = limit_per_s (w, t, now_us);

  if (per_s > 0)
    t->warm_up_next_us
        = now_us + am_warm_up_plan (&w->bounds, per_s).interval_us;
}
