/* Connection of the agent, the process that holds the configuration and the
   member list of its VM, to the forwarder on the same VM, which forwards
   packets: receives the forwarder's reports and sends it snapshots, that is
   configuration, members and verdicts.

   A snapshot is sent after each change, at most ten per second.  An agent
   never replaces a forwarder's active snapshot by an empty or older one.  On
   each connection the agent requests the forwarder's active snapshot
   (StatusRequest); the forwarder answers with Snapshot before its next Report.
   If a service or the keys in that answer are newer than the agent's records,
   the agent's snapshots include them unchanged.  A forwarder that already has
   a snapshot is sent nothing until the agent has joined; an earlier snapshot
   would lack the other members.  The agent has joined when a peer has answered
   it or no peer answers.  */

#ifndef AM_CORE_CONTROL_FORWARDER_LINK_H
#define AM_CORE_CONTROL_FORWARDER_LINK_H

#include "core/control_board.h"

/* Minimum interval between two snapshots.  */
#define AM_SNAPSHOT_INTERVAL_MIN_US (AM_SECOND_US / 10)

/* A VM whose forwarder has been disconnected for this time is announced as
   leaving, so that it is given no new work, until the forwarder reconnects. */
#define AM_FORWARDER_GRACE_US (2 * AM_SECOND_US)

/* Starts in the disconnected state.  */
void am_forwarder_link_init (struct am_control *c);
void am_forwarder_link_finish (struct am_control *c);

/* Handles a new connection: requests the forwarder's active snapshot.  */
void am_forwarder_link_connected (struct am_control *c);

/* Handles the end of the connection; no effect if there is none.  */
void am_forwarder_link_lost (struct am_control *c);

/* Handles a message from the forwarder.  Returns AM_OK, AM_E_FORMAT or
   AM_E_MEMORY.  */
int am_forwarder_link_receive (struct am_control *c,
                               const Amaranth__Envelope *e);

/* Sends a snapshot if one is due.  Announces this VM as leaving when the
   forwarder has been disconnected for AM_FORWARDER_GRACE_US, unless the agent
   is stopping.  */
void am_forwarder_link_tick (struct am_control *c);

#endif
