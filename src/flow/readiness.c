#include "flow/readiness.h"

void
am_readiness_init (struct am_readiness *r)
{
  *r = (struct am_readiness){ 0 };
}

void
am_readiness_record_lag (struct am_readiness *r, uint64_t lag_us,
                         uint64_t now_us)
{
  if (lag_us < AM_READINESS_LAG_US)
    {
      r->late_count = 0;
      return;
    }
  r->late_count++;
  if (r->late_count >= AM_READINESS_LAG_COUNT)
    r->overloaded_until_us = now_us + AM_READINESS_COOLDOWN_US;
}

bool
am_readiness_ready (const struct am_readiness *r, bool has_routes,
                    bool has_targets, uint64_t now_us)
{
  if (r->stopping || !has_routes || !has_targets)
    return false;
  return now_us >= r->overloaded_until_us;
}
