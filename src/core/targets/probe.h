/* Active health checks: PROBE packets to the upstreams of those services whose
   home set this entry VM is in.  The AM_PROBERS_PER_UPSTREAM home VMs with the
   highest rendezvous score for an upstream probe it; the others do so only to
   renew their validation of its address (core/targets/address_validation.h).
   The reply is a REPORT packet, which carries the load of the upstream.  */

#ifndef AM_CORE_PROBE_H
#define AM_CORE_PROBE_H

#include "core/board.h"

/* Number of home VMs that probe an upstream regularly.  */
#define AM_PROBERS_PER_UPSTREAM 3

/* Interval between two regular probes of an upstream by one VM.  */
#define AM_PROBE_INTERVAL_US 2000000u

/* A probe without a reply after this time counts as a failure
   (am_health_failed).  */
#define AM_PROBE_TIMEOUT_US 1000000u

/* Sends the probes that are due and counts those that have timed out.  To be
   called periodically.  */
void am_probe_tick (struct am_board *b);

/* Handles the reply of U to a probe: the LEN bytes at DATA after the PROXY
   header.  Returns AM_OK, AM_E_FORMAT if it is not a REPORT, or an error of
   am_packet_decode or am_record_reported_load.  */
int am_probe_reply (struct am_board *b, struct am_upstream *u,
                    const uint8_t *data, size_t len);

#endif
