/* Snapshot of the agent's state, as sent to its forwarder: services, members,
   verdicts and keys.  */

#ifndef AM_CORE_CONTROL_SNAPSHOT_H
#define AM_CORE_CONTROL_SNAPSHOT_H

#include "core/control_board.h"

struct am_snapshot_builder
{
  Amaranth__Snapshot snapshot; /* refers to C and to what follows */
  Amaranth__Member *members;
  Amaranth__Verdict *verdicts;
};

/* Builds the snapshot of the present state of C, which it refers to.  Of an
   earlier snapshot that the forwarder reported it includes what is newer than
   the records of C; once nothing is, C drops it.  Returns AM_OK or
   AM_E_MEMORY; finish B in either case.  */
int am_snapshot_builder_init (struct am_snapshot_builder *b,
                              struct am_control *c);
void am_snapshot_builder_finish (struct am_snapshot_builder *b);

/* Frees the earlier snapshot that the forwarder reported, if there is one.  */
void am_snapshot_drop_earlier (struct am_control *c);

#endif
