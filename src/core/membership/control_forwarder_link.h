/* Link to the forwarder: its reports, and the snapshots for it.

   A snapshot is sent at each change, at most ten a second.  An agent never
   sends an empty or older one to a forwarder that has a newer one.  At each
   connection it asks for the snapshot in force (StatusRequest), which the
   forwarder answers with Snapshot before its next Report; a service or the
   keys in it that are newer than the agent's records go into the agent's
   snapshots as they are.  To a forwarder that serves already, nothing is sent
   until the agent has joined, so that it never takes the other members away.
 */

#ifndef AM_CORE_CONTROL_LINK_H
#define AM_CORE_CONTROL_LINK_H

#include "core/control_board.h"

#define AM_SNAPSHOT_INTERVAL_MIN_US (AM_SECOND_US / 10)

/* A forwarder that is away this long takes nothing new: the VM is announced
   as leaving until the forwarder is back.  */
#define AM_FORWARDER_GRACE_US (2 * AM_SECOND_US)

void am_forwarder_link_init (struct am_control *c);
void am_forwarder_link_finish (struct am_control *c);

void am_forwarder_link_connected (struct am_control *c);
void am_forwarder_link_lost (struct am_control *c);

/* Handles a message of the forwarder.  Returns AM_OK, AM_E_FORMAT or
   AM_E_MEMORY.  */
int am_forwarder_link_receive (struct am_control *c,
                               const Amaranth__Envelope *e);

/* Sends a snapshot if one is due.  */
void am_forwarder_link_tick (struct am_control *c);

#endif
