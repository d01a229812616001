/* Opening of flows by ticket: the pending OPENs of this forwarder.

   An OPEN is asked at one upstream after the other until one accepts, the
   attempts are used up or the time is over.

     state    event                     becomes
     (none)   OPEN                      asked, or refused to the caller
     asked    OPEN again                asked (ignored)
     asked    OPENED by that upstream   opened: ticket to the caller
     asked    refusal by that upstream  asked at another, or refused
     asked    no answer in time         asked at another, or refused
     opened   OPEN again                opened: the same ticket again
     opened   OPENED by another         opened: CLOSE to that other
     opened   retention is over         (none)  */

#ifndef AM_CORE_OPENING_H
#define AM_CORE_OPENING_H

#include "core/board.h"

/* An upstream that has not answered an OPEN after this time is passed over.
   A round trip inside a region is about 2 ms.  */
#define AM_OPEN_ATTEMPT_TIMEOUT_US 250000u

/* Most upstreams asked for one OPEN.  */
#define AM_OPEN_ATTEMPTS_MAX 4

/* How long an opened flow's ticket is kept for a repeated OPEN.  Callers
   repeat after a few hundred milliseconds.  */
#define AM_OPEN_RETENTION_US 3000000u

/* Bound of the table; beyond it OPEN is refused with AM_E_LIMIT.  */
#define AM_FLOW_SETUPS_MAX 65536

/* Set up and free B->opens.  am_flow_setup_init returns AM_OK or AM_E_MEMORY.
 */
int am_flow_setup_init (struct am_board *b);
void am_flow_setup_finish (struct am_board *b);

/* Handles an OPEN of a flow.  Every refusal is sent to the caller as RESET.
   Returns AM_OK or the error that the refusal carries.  */
int am_flow_setup_open (struct am_board *b, struct am_service *s,
                        struct am_address caller, uint64_t connection_id);

/* Counts one OPEN of CALLER against its bound (core/placement/open_rate.h), at
   the entry VM that serves it: one outside the home set passes OPEN on without
   a look. Returns AM_OK or AM_E_RATE.  */
int am_flow_setup_admit (struct am_board *b, const struct am_service *s,
                         struct am_address caller);

/* Upstream U accepted or, for the reason ERROR, refused the flow.  Return
   true if an OPEN was waiting for it.  */
bool am_flow_setup_accepted (struct am_board *b, struct am_upstream *u,
                             struct am_address caller, uint64_t connection_id);
bool am_flow_setup_refused (struct am_board *b, struct am_upstream *u,
                            struct am_address caller, uint64_t connection_id,
                            int error);

/* U is about to be freed: what waits for it is asked elsewhere.  */
void am_flow_setup_upstream_removed (struct am_board *b,
                                     struct am_upstream *u);

/* S is about to be freed: its entries are dropped.  */
void am_flow_setup_service_removed (struct am_board *b, struct am_service *s);

/* Passes over upstreams that did not answer; forgets old entries.  */
void am_flow_setup_tick (struct am_board *b);

/* Returns how many OPENs wait for an upstream.  */
size_t am_flow_setup_pending (const struct am_board *b);

#endif
