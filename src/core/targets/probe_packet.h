/* PROBE packets.  They are sent with 0.0.0.0:0 as the caller address, which no
   caller has, so that the reply is recognized under every binding.  */

#ifndef AM_CORE_PROBE_PACKET_H
#define AM_CORE_PROBE_PACKET_H

#include "core/board.h"

/* Sends a PROBE to U.  A missing reply is not counted as a failure, unless the
   caller tracks it, as core/targets/probe.h does.  */
void am_probe_send (struct am_board *b, const struct am_upstream *u);

/* Returns true if CALLER is the caller address of probes.  */
bool am_probe_is_source (struct am_address caller);

#endif
