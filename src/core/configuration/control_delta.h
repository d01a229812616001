/* Deltas: changes that are sent to the forwarder instead of a full snapshot.

   A delta is based on the snapshot sent last, and is sent only if the
   forwarder has acknowledged that snapshot on this connection.  Otherwise the
   full snapshot is sent: after a rejection, after a restart of either side,
   and while an acknowledgement is outstanding.  */

#ifndef AM_CORE_CONTROL_DELTA_H
#define AM_CORE_CONTROL_DELTA_H

#include "core/control_board.h"

/* The forwarder sends a Report every second; a delta that is not acknowledged
   by then was lost or is not supported.  */
#define AM_DELTA_ACK_US (3 * AM_SECOND_US)

void am_delta_finish (struct am_control *c);

/* The connection is new.  */
void am_delta_reset (struct am_control *c);

/* Sets the digest of SNAP, the next snapshot.  Returns AM_OK or
   AM_E_MEMORY.  */
int am_delta_mark (struct am_control *c, Amaranth__Snapshot *snap);

/* Sends a delta if that is allowed and shorter than the snapshot.  Returns
   false if SNAP has to be sent in full.  */
bool am_delta_send (struct am_control *c, const Amaranth__Snapshot *snap);

/* SNAP was sent or is unchanged: the next delta is based on it.  */
void am_delta_keep (struct am_control *c);

/* The forwarder has activated the snapshot with DIGEST.  */
void am_delta_acknowledged (struct am_control *c, uint64_t digest);

/* The forwarder rejected a snapshot or a delta.  */
void am_delta_failed (struct am_control *c, const Amaranth__Failure *f);

#endif
