#include "flow/digest_schedule.h"

#include "flow/fleet.h"

static uint64_t
clamp (uint64_t value, uint64_t min, uint64_t max)
{
  if (value < min)
    return min;
  return value < max ? value : max;
}

static uint64_t
loads_interval_us (const struct am_digest_inputs *in)
{
  return clamp (in->peers * AM_DIGEST_LOAD_PER_PEER_US, AM_DIGEST_LOAD_MIN_US,
                AM_DIGEST_LOAD_MAX_US);
}

void
am_digest_schedule_init (struct am_digest_schedule *s, uint64_t now_us)
{
  *s = (struct am_digest_schedule){ .started_us = now_us };
}

uint64_t
am_digest_local_interval_us (const struct am_digest_inputs *in)
{
  uint64_t interval = loads_interval_us (in);

  if (in->reads && interval > AM_FLEET_READER_INTERVAL_US)
    return AM_FLEET_READER_INTERVAL_US;
  return interval;
}

uint64_t
am_digest_seeds_interval_us (const struct am_digest_schedule *s,
                             uint64_t now_us)
{
  return clamp ((now_us - s->started_us) / 2, AM_DIGEST_SEEDS_MIN_US,
                AM_DIGEST_SEEDS_MAX_US);
}

struct am_digest_plan
am_digest_schedule_due (const struct am_digest_schedule *s,
                        const struct am_digest_inputs *in, bool advanced,
                        uint64_t now_us)
{
  uint64_t quiet_us = now_us - s->local_us;
  bool liveness = in->liveness_changes != s->reported_changes
                  && quiet_us >= AM_DIGEST_LIVENESS_US;
  struct am_digest_plan plan = { 0 };

  plan.loads = liveness || now_us - s->loads_us >= loads_interval_us (in);
  /* The interval grows while a VM that has started gets to know its peers, and
     these count it as dead if it does not keep the one that it named.  */
  plan.local = plan.loads || advanced || quiet_us >= s->promised_us
               || quiet_us >= am_digest_local_interval_us (in);
  plan.remote = in->reads && now_us - s->remote_us >= AM_DIGEST_REMOTE_US;
  if (in->peers)
    plan.seeds
        = now_us - s->seeds_us >= am_digest_seeds_interval_us (s, now_us);
  else
    plan.seeds = plan.local;
  return plan;
}

void
am_digest_schedule_sent (struct am_digest_schedule *s,
                         const struct am_digest_plan *plan,
                         const struct am_digest_inputs *in, uint64_t now_us)
{
  if (plan->local)
    {
      s->local_us = now_us;
      s->promised_us = am_digest_local_interval_us (in);
    }
  if (plan->loads)
    {
      s->loads_us = now_us;
      s->reported_changes = in->liveness_changes;
    }
  if (plan->remote)
    s->remote_us = now_us;
  if (plan->seeds)
    s->seeds_us = now_us;
}
