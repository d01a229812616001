/* Rate of new flows, as a mean that forgets exponentially.

   Times are microseconds of the monotonic clock.  */

#ifndef AM_FLOW_FLOW_RATE_H
#define AM_FLOW_FLOW_RATE_H

#include <stdint.h>

/* Time constant of the mean: long enough for a VM with one new flow a second,
   short enough to follow a burst.  */
#define AM_FLOW_RATE_US 2000000u

struct am_flow_rate
{
  double recent;       /* flows, each worth less the older it is */
  uint64_t updated_us; /* RECENT is as of then */
};

void am_flow_rate_init (struct am_flow_rate *r);

/* Records a new flow.  */
void am_flow_rate_add (struct am_flow_rate *r, uint64_t now_us);

/* Returns flows per microsecond.  */
double am_flow_rate_per_us (const struct am_flow_rate *r, uint64_t now_us);

#endif
