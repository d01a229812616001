/* Choice of the target for a new flow.

   The load pattern it answers: many entry VMs place short and long flows on
   targets of two slots each.  Long flows pile up where they were opened, so
   open flows count beside requests in progress; a data centre that is cut off
   takes every flow that crosses its border with it, so the VM's own data
   centre is left only when its targets are far busier than others.  */

#ifndef AM_FLOW_PLACEMENT_H
#define AM_FLOW_PLACEMENT_H

#include <stdint.h>

#include "base/rng.h"
#include "flow/target_table.h"

/* Load in units of one request in progress a slot.  */

/* An open flow has a request in progress for this part of its time.  */
#define AM_PLACEMENT_OPEN_FLOW_LOAD 0.04

/* A target of another data centre is taken only if it is less loaded by
   this.  */
#define AM_PLACEMENT_REMOTE_PENALTY 2.5

/* A target that warms up takes this much longer.  */
#define AM_PLACEMENT_WARM_UP_FACTOR 1.6

struct am_placement
{
  struct am_rng *rng;            /* breaks ties */
  uint32_t service;              /* am_hash_name */
  uint32_t data_centre;          /* of this VM, am_hash_name */
  const struct am_target *avoid; /* left an earlier SYN unanswered; or
                                    NULL */
  uint64_t now_us;
};

/* Returns the target for a new flow, or NULL if no target of the service
   takes flows.  A silent target is returned only if there is no other.  */
struct am_target *am_placement_choose (struct am_target_table *t,
                                       const struct am_placement *p);

/* Returns the requests in progress a slot, over the targets of the service in
   the data centre that take flows; of all data centres if there is none in
   this one.  */
double am_placement_load_per_slot (const struct am_target_table *t,
                                   const struct am_placement *p);

#endif
