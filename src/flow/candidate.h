/* Targets that a new flow may go to, and their load.

   Load is measured in requests in progress.  A flow has a request in progress
   while its SYN or a request is unanswered.  Recent ones are surely so: others
   may have been answered unseen, or have failed.  */

#ifndef AM_FLOW_CANDIDATE_H
#define AM_FLOW_CANDIDATE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"
#include "flow/evacuation.h"
#include "flow/remote_load.h"
#include "flow/target_table.h"
#include "flow/warm_up.h"

/* A new flow, and what this VM knows beside the targets themselves.  */
struct am_placement
{
  struct am_rng *rng;       /* breaks ties; not owned */
  uint32_t service;         /* hash by am_hash_name */
  uint32_t data_centre;     /* of this VM; hash by am_hash_name */
  uint32_t connections_max; /* that a target holds; 0: not stated */
  double better_share; /* part of the new flows of the service whose priority
                          is better */
  uint32_t vms;        /* live ones in this data centre, this one too; 0
                          counts as 1 */
  double crossing;     /* what leaving the data centre costs, in requests
                          per slot */
  const struct am_evacuations *evacuations; /* NULL: none */
  const struct am_warm_up *warm_up;         /* NULL: no limits */
  const struct am_remote_loads *remote;     /* NULL: no reports */
  double unreported_flows; /* opened by peers since their reports, all
                              together; an estimate */
  uint64_t now_us;         /* monotonic clock */
};

/* Returns true if T accepts the flow: it is AM_TARGET_READY, of the service,
   not ambiguous, not in an evacuated data centre, within its warm-up limit and
   not full.  */
bool am_candidate_accepts (const struct am_target *t,
                           const struct am_placement *p);

/* Returns true if the data centre of T is evacuated by the orders in E; false
   if E is NULL.  */
bool am_candidate_evacuated (const struct am_target *t,
                             const struct am_evacuations *e);

/* Returns the requests in progress at T by all flows that this VM knows of,
   the recent ones of them, and the recent ones of flows through this VM.  */
double am_candidate_requests (const struct am_target *t);
double am_candidate_recent (const struct am_target *t);
double am_candidate_own_recent (const struct am_target *t);

/* Returns the number of VMs among which the data centre's room is divided.  */
uint32_t am_candidate_vms (const struct am_placement *p);

/* Returns the slots of T, at least 1.  */
uint32_t am_candidate_slots (const struct am_target *t);

#endif
