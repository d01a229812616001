/* Whether the platform's routers may send callers to this VM.

   A VM that cannot keep up delays every packet it is sent; the routers give
   its flows to others while it says that it is not ready.  */

#ifndef AM_FLOW_READINESS_H
#define AM_FLOW_READINESS_H

#include <stdbool.h>
#include <stdint.h>

/* A loop that comes this much late delays callers by more than they notice;
   several times in a row, so that one slow step does not count.  */
#define AM_READINESS_LAG_US 120000u
#define AM_READINESS_LAG_COUNT 4

/* After overload the VM stays out for this time, so that it does not go in
   and out with each change of load.  */
#define AM_READINESS_COOLDOWN_US 4000000u

struct am_readiness
{
  bool stopping;
  uint32_t lag_count;     /* late loops in a row */
  uint64_t rest_until_us; /* overloaded until then */
};

void am_readiness_init (struct am_readiness *r);

/* The loop came LAG_US late at a regular timer.  */
void am_readiness_lag (struct am_readiness *r, uint64_t lag_us,
                       uint64_t now_us);

/* Returns true if callers may be sent here: HAS_ROUTES and HAS_TARGETS, not
   stopping, not overloaded.  */
bool am_readiness_ready (const struct am_readiness *r, bool has_routes,
                         bool has_targets, uint64_t now_us);

#endif
