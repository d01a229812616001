/* Deltas: what is sent to the forwarder in the place of a whole snapshot.

   A delta builds on the snapshot sent last, and is sent only if the forwarder
   has acknowledged that one on this connection.  In every other case, and
   after a refusal, the whole snapshot is sent: after a restart of either
   side, and while an acknowledgement is missing.  */

#ifndef AM_CORE_CONTROL_DELTA_H
#define AM_CORE_CONTROL_DELTA_H

#include "core/control_board.h"

/* A Report comes each second; a delta not acknowledged by then was lost or is
   not understood.  */
#define AM_DELTA_ACK_US (3 * AM_SECOND_US)

void am_delta_finish (struct am_control *c);

/* The connection is new.  */
void am_delta_reset (struct am_control *c);

/* Sets the digest of SNAP, the next snapshot.  Returns AM_OK or
   AM_E_MEMORY.  */
int am_delta_mark (struct am_control *c, Amaranth__Snapshot *snap);

/* Sends what changed, if a delta is allowed and is the shorter way.  Returns
   false if SNAP has to be sent whole.  */
bool am_delta_send (struct am_control *c, const Amaranth__Snapshot *snap);

/* SNAP was sent, or is the same as before: the next delta builds on it.  */
void am_delta_keep (struct am_control *c);

/* The forwarder has the snapshot DIGEST in force.  */
void am_delta_acknowledged (struct am_control *c, uint64_t digest);

/* The forwarder refused something.  */
void am_delta_failed (struct am_control *c, const Amaranth__Failure *f);

#endif
