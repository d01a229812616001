#include "flow/flow_rate.h"

#include <math.h>

void
am_flow_rate_init (struct am_flow_rate *r)
{
  *r = (struct am_flow_rate){ 0 };
}

static double
recent (const struct am_flow_rate *r, uint64_t now_us)
{
  double age_us = (double)(now_us - r->updated_us);

  return r->recent * exp (-age_us / AM_FLOW_RATE_US);
}

void
am_flow_rate_add (struct am_flow_rate *r, uint64_t now_us)
{
  r->recent = recent (r, now_us) + 1;
  r->updated_us = now_us;
}

double
am_flow_rate_per_us (const struct am_flow_rate *r, uint64_t now_us)
{
  return recent (r, now_us) / AM_FLOW_RATE_US;
}
