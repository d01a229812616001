/* Load that the flows of one peer put on targets, as last reported by it.  */

#ifndef AM_FLOW_PEER_LOAD_H
#define AM_FLOW_PEER_LOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "flow/target_table.h"

/* Maximum number of targets that a peer reports on.  */
#define AM_PEER_LOAD_MAX 64

/* Report on one target.  */
struct am_load_report
{
  uint32_t ticket; /* of the target */
  struct am_target_load load;
  bool unresponsive;    /* the target is unresponsive to the reporting VM */
  bool data_unanswered; /* also to data that callers retransmit */
};

struct am_peer_load
{
  size_t count;
  struct am_load_report reports[AM_PEER_LOAD_MAX];
};

/* Replaces the previous reports of PEER by the COUNT REPORTS, and adjusts
   peers_load, reporting_peers, data_reporting_peers and data_reported_since_us
   of the targets in T.
   Reports on unknown targets and reports beyond AM_PEER_LOAD_MAX are
   dropped.  */
void am_peer_load_set (struct am_peer_load *peer, struct am_target_table *t,
                       const struct am_load_report *reports, size_t count,
                       uint64_t now_us);

/* Writes the load that this VM's own flows put on the targets in T, and which
   of them are unresponsive, to REPORTS, which has room for AM_PEER_LOAD_MAX
   of them.  Unresponsive targets come first, then those with requests in
   progress, as the rest may not fit.  Returns the number of reports
   written.  */
size_t am_peer_load_collect (const struct am_target_table *t,
                             struct am_load_report *reports, uint64_t now_us);

#endif
