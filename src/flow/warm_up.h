/* Limit of new flows at targets that warm up.

   A target that has just started bears few requests.  If a service states how
   many, and the settings by how much that may be exceeded, all VMs together
   stay within the limit, in any span of a second: also while a release
   replaces all targets of a service, or a data centre is taken back after an
   evacuation with targets that are cold.

   No VM asks another one.  Each target that warms up gets flows from a few VMs
   of its data centre alone, its admitters: those with the highest rendezvous
   scores for it.  Every VM computes the same ones from the VMs that it knows,
   also those that it has not heard of lately: a VM that is cut off from its
   peers does not take their place.  An admitter spaces its flows evenly.  The
   admitters plan for half of the limit, so that the limit holds while VMs
   disagree on them for a moment.

   Times are microseconds of the monotonic clock.  */

#ifndef AM_FLOW_WARM_UP_H
#define AM_FLOW_WARM_UP_H

#include <stdbool.h>
#include <stdint.h>

#include "flow/fleet.h"
#include "flow/route_table.h"
#include "flow/target_table.h"

/* A VM that has started does not know its peers yet, and would take itself for
   an admitter of all targets: it admits none for this time, in which the
   digests of its peers reach it.  */
#define AM_WARM_UP_HOLD_US 2000000u

/* How far the stated rate may be exceeded: in each second a target gets at
   most its rate times OVERAGE, and SLACK more.  */
struct am_warm_up_bounds
{
  bool stated; /* false: there is no limit */
  double overage;
  double slack;
};

struct am_warm_up
{
  struct am_warm_up_bounds bounds;
  const struct am_fleet *fleet;        /* not owned */
  const struct am_route_table *routes; /* not owned; states the rates */
};

/* Admission at one target, the same on each admitter.  */
struct am_warm_up_plan
{
  uint32_t admitters;
  uint64_t interval_us; /* between two flows of one admitter */
};

/* Returns the plan for targets that bear PER_S requests per second.  */
struct am_warm_up_plan am_warm_up_plan (const struct am_warm_up_bounds *b,
                                        double per_s);

/* Returns true if this VM may open a flow at T now: T does not warm up, has no
   limit, or this VM is one of its admitters and its last flow there was long
   enough ago.  */
bool am_warm_up_admits (const struct am_warm_up *w, const struct am_target *t,
                        uint64_t now_us);

/* Records that this VM opens a flow at T.  */
void am_warm_up_admitted (const struct am_warm_up *w, struct am_target *t,
                          uint64_t now_us);

#endif
