/* Address validation: whether an address still belongs to an upstream of a
   service.

   Every datagram from an upstream names its service in the PROXY header.  Such
   a datagram from the upstream's address validates that address for
   AM_VALIDATION_LIFETIME_US.  While the address is not validated, no packets
   of callers are sent to the upstream, only PROBE packets that request a
   REPORT.

   The lifetime is far below the quarantine of a retired address
   (AM_RECORD_QUARANTINE_S).  On an entry VM that has missed the retirement the
   validation has therefore expired before another service may use the address,
   and it is not renewed, since replies from there name the other service.
   This takes no agreement with peers or with the store, so an entry VM that is
   cut off from them continues to serve the upstreams that it can reach.

   The state is in am_upstream.validation; its member `denied` is set while the
   validation is revoked.  */

#ifndef AM_CORE_ADDRESS_VALIDATION_H
#define AM_CORE_ADDRESS_VALIDATION_H

#include "core/board.h"

/* How long an address counts as validated after a datagram from it.  */
#define AM_VALIDATION_LIFETIME_US 20000000u

/* A home VM probes an upstream that has sent nothing for this time.  It is far
   enough below the lifetime that several probes, 2 s apart
   (AM_PROBE_INTERVAL_US), may be lost before the validation expires.  */
#define AM_VALIDATION_REFRESH_US 5000000u

/* Minimum interval between two probes to the same upstream that are sent
   because of packets to its address while it is not validated.  */
#define AM_VALIDATION_PROBE_INTERVAL_US 200000u

/* Validates the address of U as of now and ends a revocation.  To be called
   for each datagram from U that names its service, and when a snapshot adds U.
 */
void am_validation_renew (const struct am_board *b, struct am_upstream *u);

/* Revokes the validation of the upstreams at ADDRESS, of all services, until
   am_validation_renew is called for them.  To be called for a reply to a PROBE
   from ADDRESS that names a service not known here.  */
void am_validation_revoke (struct am_board *b, struct am_address address);

/* Returns true if the address of U is validated.  */
bool am_validation_is_current (const struct am_board *b,
                               const struct am_upstream *u);

/* Returns true if U should be probed to renew its validation: it has sent
   nothing for AM_VALIDATION_REFRESH_US, or its validation was revoked.  */
bool am_validation_renewal_due (const struct am_board *b,
                                const struct am_upstream *u);

/* To be called before a packet of a caller is sent to U.  Returns true if the
   address of U is validated.  If not, the packet must not be sent to U: counts
   it (counter unconfirmed) and sends a PROBE to U, at most one in each
   AM_VALIDATION_PROBE_INTERVAL_US.  */
bool am_validation_check_or_probe (struct am_board *b, struct am_upstream *u);

#endif
