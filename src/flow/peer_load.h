/* What one peer last said of the load that its flows put on targets.  */

#ifndef AM_FLOW_PEER_LOAD_H
#define AM_FLOW_PEER_LOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "flow/target_table.h"

/* Targets in one report.  */
#define AM_PEER_LOAD_MAX 64

struct am_load_report
{
  uint32_t ticket; /* of the target */
  struct am_target_load load;
  bool silent; /* the peer hears nothing from it */
};

struct am_peer_load
{
  size_t count;
  struct am_load_report reports[AM_PEER_LOAD_MAX];
};

/* Replaces what PEER said before by REPORTS, and the peers' load of the
   targets in T with it.  Reports beyond AM_PEER_LOAD_MAX are dropped.  */
void am_peer_load_set (struct am_peer_load *peer, struct am_target_table *t,
                       const struct am_load_report *reports, size_t count);

/* Writes the load of the targets in T by this VM's own flows, and which of
   them are silent, to REPORTS, which has room for AM_PEER_LOAD_MAX; the silent
   ones first, as the rest may be cut off.  Returns their number.  */
size_t am_peer_load_collect (const struct am_target_table *t,
                             struct am_load_report *reports, uint64_t now_us);

#endif
