/* Proof that an address still belongs to an upstream of a service.

   Whatever an upstream sends names its service in the PROXY header.  A
   datagram of this kind from the upstream's address proves that the address is
   the service's; it counts for AM_VALIDATION_LIFETIME_US.  Without a proof no
   packet of a caller goes to the upstream, only a PROBE that asks for one.

   The life of a proof is far below the quarantine of a retired address
   (AM_RECORD_QUARANTINE_S).  So an entry VM that missed the retirement has no
   proof any more when another service takes the address, and gets none after,
   since the answers there name the other service.  No agreement with peers or
   store is needed, and an entry VM that is cut off from them goes on serving
   the upstreams that it reaches.  */

#ifndef AM_CORE_CONFIRM_H
#define AM_CORE_CONFIRM_H

#include "core/board.h"

#define AM_VALIDATION_LIFETIME_US 20000000u

/* A home VM probes an upstream that has sent nothing for this time: several
   probes, 2 s apart, may be lost before the proof has ended.  */
#define AM_VALIDATION_REFRESH_US 5000000u

/* Pause between two probes that packets without proof cause.  */
#define AM_VALIDATION_PROBE_INTERVAL_US 200000u

/* Notes a datagram of U under the address of its service.  A snapshot that
   adds U counts as one.  */
void am_validation_renew (const struct am_board *b, struct am_upstream *u);

/* Notes an answer to a PROBE from ADDRESS under the address of a service that
   is not known here: upstreams at ADDRESS lose their proof.  */
void am_validation_revoke (struct am_board *b, struct am_address address);

/* Returns true if U has a proof.  */
bool am_validation_is_current (const struct am_board *b,
                               const struct am_upstream *u);

/* Returns true if the proof of U is to be renewed.  */
bool am_validation_renewal_due (const struct am_board *b,
                                const struct am_upstream *u);

/* As am_validation_is_current; if not, asks U for a proof.  */
bool am_validation_check_or_probe (struct am_board *b, struct am_upstream *u);

#endif
