/* Readiness of this VM, as reported to the platform's routers, which
   distribute the callers' flows among the entry VMs.

   An overloaded VM delays every packet it receives.  While it reports that it
   is not ready, the routers send its flows to other VMs.

   All times are microseconds of the monotonic clock.  */

#ifndef AM_FLOW_READINESS_H
#define AM_FLOW_READINESS_H

#include <stdbool.h>
#include <stdint.h>

/* The VM counts as overloaded after AM_READINESS_LAG_COUNT consecutive
   iterations of the event loop that were late by AM_READINESS_LAG_US or more.
   Such a delay is noticeable to callers; a single slow iteration does not
   count.  */
#define AM_READINESS_LAG_US 120000u
#define AM_READINESS_LAG_COUNT 4

/* After an overload the VM stays not ready for this time, so that readiness
   does not flap with each change of load.  */
#define AM_READINESS_COOLDOWN_US 4000000u

struct am_readiness
{
  bool stopping;                /* shutting down */
  uint32_t late_count;          /* consecutive late iterations */
  uint64_t overloaded_until_us; /* end of the cool-down */
};

void am_readiness_init (struct am_readiness *r);

/* Records that the event loop served a periodic timer LAG_US late.  */
void am_readiness_record_lag (struct am_readiness *r, uint64_t lag_us,
                              uint64_t now_us);

/* Returns true if callers may be sent to this VM: it HAS_ROUTES and
   HAS_TARGETS, is not stopping and is not overloaded.  */
bool am_readiness_ready (const struct am_readiness *r, bool has_routes,
                         bool has_targets, uint64_t now_us);

#endif
