/* Active probing: PROBE to the upstreams of the services this entry VM is home
   to, by up to AM_PROBERS_PER_UPSTREAM home VMs for each upstream.  */

#ifndef AM_CORE_PROBE_H
#define AM_CORE_PROBE_H

#include "core/board.h"

#define AM_PROBERS_PER_UPSTREAM 3
#define AM_PROBE_INTERVAL_US 2000000u

/* A probe without an answer after this time is a failure.  */
#define AM_PROBE_TIMEOUT_US 1000000u

/* Sends the probes that are due and counts the ones without answer.  */
void am_probe_tick (struct am_board *b);

/* Handles the reply DATA (without PROXY header) of U.  Returns AM_OK or a
   typed error of am_packet_decode.  */
int am_probe_reply (struct am_board *b, struct am_upstream *u,
                    const uint8_t *data, size_t len);

#endif
