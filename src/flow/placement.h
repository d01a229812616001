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
   the reports.  The load of a target in another data centre is that which its
   own VMs report, flows of this VM there, and what leaving costs.

   Load is measured in requests in progress per slot.  A flow has a request in
   progress while its SYN or a request is unanswered.  */

#ifndef AM_FLOW_PLACEMENT_H
#define AM_FLOW_PLACEMENT_H

#include "flow/candidate.h"

/* Load of an open flow, requests in progress: the fraction of its time in
   which it has one.  */
#define AM_PLACEMENT_OPEN_FLOW_LOAD 0.04

/* Added to the load of a target in another data centre, requests per slot, if
   am_placement.crossing is not known.  */
#define AM_PLACEMENT_REMOTE_PENALTY 2.5

/* Smallest value of am_placement.crossing: however long requests take, a flow
   does not leave for less than half a request per slot.  Reports on other data
   centres are older than those on the own one.  */
#define AM_PLACEMENT_REMOTE_PENALTY_MIN 0.5

/* Factor on the load of a target that is warming up: it takes this much longer
   per request.  */
#define AM_PLACEMENT_WARM_UP_FACTOR 1.6

/* Returns a lightly loaded target for a new flow, or NULL if none accepts it
   (am_candidate_accepts).  Returns a target that is unresponsive and not due
   for a retry only if there is no other, and one in a data centre that is not
   open to the flow (flow/admission.h) only if none is open.  */
struct am_target *am_placement_choose (struct am_target_table *t,
                                       const struct am_placement *p);

/* Returns the number of requests in progress per slot, over the usable targets
   (am_liveness_usable) of the service in the VM's own data centre; over those
   of all data centres if it has none; 0 if there is none at all.  */
double am_placement_load_per_slot (const struct am_target_table *t,
                                   const struct am_placement *p);

#endif
