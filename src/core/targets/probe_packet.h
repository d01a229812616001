/* The packet of a probe.  It is sent for the caller 0.0.0.0:0, which no caller
   has; so the reply is told apart whatever the service's binding is.  */

#ifndef AM_CORE_PROBE_PACKET_H
#define AM_CORE_PROBE_PACKET_H

#include "core/board.h"

/* Sends a probe to U that is not counted as a failure if it has no answer.  */
void am_probe_send (struct am_board *b, const struct am_upstream *u);

/* Returns true if CALLER is the address that probes are sent for.  */
bool am_probe_is_source (struct am_address caller);

#endif
