/* Whether this VM's replica of the store lags behind what readers claim.

   Changes come all the time, so a replica that receives them is often behind
   the newest claim for a moment.  It lags if it has not reached a revision
   some time after that was claimed.

   Times are microseconds of the monotonic clock.  */

#ifndef AM_FLOW_REPLICA_LAG_H
#define AM_FLOW_REPLICA_LAG_H

#include <stdbool.h>
#include <stdint.h>

#include "flow/revision.h"

/* Time in which a replica reaches a revision by the changes that peers send;
   after it, all items are requested.  */
#define AM_REPLICA_LAG_US 700000u

struct am_replica_lag
{
  am_revision revision; /* claimed and not reached yet; 0: none */
  uint64_t claimed_us;  /* when it was first claimed */
};

void am_replica_lag_init (struct am_replica_lag *l);

/* Records that this VM's replica is complete up to REVISION, and that the
   highest revision that a reader claims is CLAIMED (0: no claim).  */
void am_replica_lag_update (struct am_replica_lag *l, am_revision revision,
                            am_revision claimed, uint64_t now_us);

/* Returns true if the replica has not reached a revision that was claimed
   AM_REPLICA_LAG_US ago.  */
bool am_replica_lags (const struct am_replica_lag *l, uint64_t now_us);

#endif
