/* Failure detector of the SWIM type, with piggybacked gossip.

   Each second one member is probed with a PING, in a random order that visits
   all members.  The PING is retransmitted until an ACK arrives.  Without an
   ACK after AM_PROBE_DIRECT_TIMEOUT_US, three other members are requested to
   ping it (indirect probe), in two rounds.  Without any ACK at the end of the
   second the member is suspected; if answers to this VM's recent probes were
   often late (am_control.probe_late), so that its own links probably lose
   datagrams, the member is probed a second time first.

   Datagrams carry updates up to AM_GOSSIP_MAX bytes.  An urgent update is also
   sent to AM_FANOUT members at once, within a byte budget that is independent
   of the number of members.  */

#ifndef AM_CORE_CONTROL_SWIM_H
#define AM_CORE_CONTROL_SWIM_H

#include "core/control_board.h"

#define AM_PROBE_PERIOD_US AM_SECOND_US
#define AM_PROBE_DIRECT_TIMEOUT_US (400 * UINT64_C (1000))

/* Members to which PING_REQUEST is sent in each round of an indirect probe.
 */
#define AM_PROBE_INDIRECT_PEERS 3

/* Value of am_control.probe_late if all probes are late.  probe_late is the
   moving average of the share of answered probes whose first PING was not
   answered in time.  */
#define AM_PROBE_LATE_SCALE 1024u

/* Handles a gossip message with source address FROM.  Returns AM_OK,
   AM_E_FORMAT or AM_E_MEMORY.  */
int am_swim_receive (struct am_control *c, struct am_address from,
                     const Amaranth__Gossip *g);

/* Starts, continues and ends probes, and flushes urgent updates.  */
void am_swim_tick (struct am_control *c);

/* If an urgent update is queued and the budget allows, sends the queued
   updates to AM_FANOUT random members.  */
void am_swim_flush_urgent (struct am_control *c);

#endif
