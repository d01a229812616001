/* Target selection for new flows: lightly loaded targets, with locality.

   Many entry VMs place short and long flows on targets of two slots each.
   Long flows accumulate on the targets that they were opened on, so the load
   of a target includes its open flows as well as its requests in progress.  A
   network partition breaks every flow between data centres, so a target in
   another data centre is selected only if those in the VM's own are far
   busier.

   What a VM knows of the flows of its peers is as old as their reports.  If
   all VMs selected the least loaded target, it would receive all of their
   flows until the next reports: dozens of requests on two slots.  So the VM
   estimates how many flows its peers have opened since their reports, and
   computes the level to which these would raise the load of the least loaded
   targets if they were spread evenly.  A target is then selected with a
   probability proportional to the difference between this level and its load.
   With recent reports or few peers this is the least loaded target; with old
   ones all targets are equal but those that are busy.  After M. Dahlin,
   "Interpreting stale load information", 2000.

   That level decides among the targets of one data centre, not whether a flow
   leaves it: most of the unreported flows have ended meanwhile.  For this the
   VM counts no more of them than twice the requests that were in service at
   the reports.

   Load is measured in requests in progress per slot.  A flow has a request in
   progress while its SYN or a request is unanswered.  */

#ifndef AM_FLOW_PLACEMENT_H
#define AM_FLOW_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"
#include "flow/evacuation.h"
#include "flow/target_table.h"
#include "flow/warm_up.h"

/* Load of an open flow, requests in progress: the fraction of its time in
   which it has one.  */
#define AM_PLACEMENT_OPEN_FLOW_LOAD 0.04

/* Added to the load of a target in another data centre, requests per slot.  */
#define AM_PLACEMENT_REMOTE_PENALTY 2.5

/* Factor on the load of a target that is warming up: it takes this much longer
   per request.  */
#define AM_PLACEMENT_WARM_UP_FACTOR 1.6

struct am_placement
{
  struct am_rng *rng;   /* breaks ties; not owned */
  uint32_t service;     /* hash by am_hash_name */
  uint32_t data_centre; /* of this VM; hash by am_hash_name */
  const struct am_evacuations *evacuations; /* NULL: none */
  const struct am_warm_up *warm_up;         /* NULL: no limits */
  double unreported_flows; /* opened by peers since their reports, all
                              together; an estimate */
  uint64_t now_us;         /* monotonic clock */
};

/* Returns a lightly loaded target for a new flow, or NULL if no target of the
   service is AM_TARGET_READY, not ambiguous, in a data centre that is not
   evacuated and within its warm-up limit.  Returns a target that is
   unresponsive and not due for a retry only if there is no other.  */
struct am_target *am_placement_choose (struct am_target_table *t,
                                       const struct am_placement *p);

/* Returns true if the data centre of T is evacuated by the orders in E; false
   if E is NULL.  */
bool am_placement_evacuated (const struct am_target *t,
                             const struct am_evacuations *e);

/* Returns the number of requests in progress per slot, over the usable targets
   (am_liveness_usable) of the service in the VM's own data centre; over those
   of all data centres if it has none; 0 if there is none at all.  */
double am_placement_load_per_slot (const struct am_target_table *t,
                                   const struct am_placement *p);

#endif
