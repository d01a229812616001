/* PROBE packets.  They are sent with 0.0.0.0:0 as the caller address, which no
   caller has, so that the reply is recognized under every binding.  */

#ifndef AM_CORE_PROBE_PACKET_H
#define AM_CORE_PROBE_PACKET_H

#include "core/board.h"

/* Sends a PROBE to U.  The time of sending is not recorded, so a missing reply
   is not counted as a failure; core/targets/probe.h records the time for its
   probes and counts those that time out.  */
void am_probe_send (struct am_board *b, const struct am_upstream *u);

/* Returns true if CALLER is 0.0.0.0:0, the caller address in probes and in
   replies to them.  */
bool am_probe_is_source (struct am_address caller);

#endif
