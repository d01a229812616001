/* Failure detector in the style of SWIM, and the gossip that rides on it.

   Each second one member, in a random order that visits all, gets a PING,
   which is repeated for want of an ACK.  Without an ACK after
   AM_PROBE_DIRECT_TIMEOUT_US three others are asked to ping it, twice; without
   any ACK at the end of the second it is suspected, or probed once more first
   if the own links lose datagrams.  Datagrams carry updates up to
   AM_GOSSIP_MAX bytes.  An urgent update is also sent at once to AM_FANOUT
   members, within a budget of bytes that does not depend on the size of the
   fleet.  */

#ifndef AM_CORE_CONTROL_PROBE_H
#define AM_CORE_CONTROL_PROBE_H

#include "core/control_board.h"

#define AM_PROBE_PERIOD_US AM_SECOND_US
#define AM_PROBE_DIRECT_TIMEOUT_US (400 * UINT64_C (1000))
#define AM_PROBE_INDIRECT_PEERS 3

/* Value of am_control.probe_late if every first PING had no answer.  */
#define AM_PROBE_LATE_SCALE 1024u

/* Handles a gossip message from FROM.  Returns AM_OK, AM_E_FORMAT or
   AM_E_MEMORY.  */
int am_swim_receive (struct am_control *c, struct am_address from,
                     const Amaranth__Gossip *g);

/* Starts and ends probes and flushes urgent updates.  */
void am_swim_tick (struct am_control *c);

/* Sends the queued updates to AM_FANOUT random members now, if the budget
   allows.  */
void am_swim_flush_urgent (struct am_control *c);

#endif
