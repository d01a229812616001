/* Flow setup for the ticket binding: the OPENs that this forwarder handles.
   B->opens is the table of flow setups, with one record for each OPEN.

   An OPEN is sent to one upstream after another until one accepts it or
   AM_OPEN_ATTEMPTS_MAX upstreams have refused it or not answered.  Each time
   it is sent is one attempt.

     state    event                        next state and action
     (none)   OPEN                         pending: OPEN to an upstream;
                                           or (none): RESET to the caller
     pending  OPEN retransmitted           pending: ignored
     pending  OPENED by the upstream       opened: ticket to the caller
     pending  refused by the upstream      pending: OPEN to another upstream;
                                           or (none): RESET to the caller
     pending  attempt timed out            the same as a refusal
     opened   OPEN retransmitted           opened: same ticket to the caller
     either   OPENED by another upstream   unchanged: CLOSE to that upstream
     opened   retention time over          (none)  */

#ifndef AM_CORE_FLOW_SETUP_H
#define AM_CORE_FLOW_SETUP_H

#include "core/board.h"

/* Time-out of one attempt: an upstream that has not answered an OPEN by then
   is counted as failed and another one is tried.  A round trip inside a region
   takes about 2 ms.  */
#define AM_OPEN_ATTEMPT_TIMEOUT_US 250000u

/* Maximum number of upstreams that are tried for one OPEN.  */
#define AM_OPEN_ATTEMPTS_MAX 4

/* How long the ticket of an opened flow is kept for a retransmitted OPEN.
   Callers retransmit after a few hundred milliseconds.  */
#define AM_OPEN_RETENTION_US 3000000u

/* Maximum number of records in the table, pending and opened; when it is
   reached, OPEN is refused with AM_E_LIMIT.  */
#define AM_FLOW_SETUPS_MAX 65536

/* Set up and free B->opens.  am_flow_setup_init returns AM_OK or AM_E_MEMORY.
   am_flow_setup_finish does nothing if B->opens is NULL.  */
int am_flow_setup_init (struct am_board *b);
void am_flow_setup_finish (struct am_board *b);

/* Handles an OPEN packet of the flow CONNECTION_ID from CALLER to S.  AM_OK
   means that it was sent to an upstream, or that it is a retransmission; the
   flow is opened when an upstream accepts it.  Otherwise sends the caller a
   RESET and returns the error that it carries: AM_E_RATE (limit of CALLER),
   AM_E_LIMIT (table full, out of memory, or no quota left) or
   AM_E_NO_UPSTREAM.  */
int am_flow_setup_open (struct am_board *b, struct am_service *s,
                        struct am_address caller, uint64_t connection_id);

/* Counts one OPEN of CALLER to S against its rate limit
   (core/placement/open_rate.h).  To be called on the entry VM that serves the
   OPEN, not on one outside the home set that forwards it.  Returns AM_OK or
   AM_E_RATE.  */
int am_flow_setup_admit (struct am_board *b, const struct am_service *s,
                         struct am_address caller);

/* Handle the answer of U to an OPEN: it accepted the flow, or refused it with
   the reason ERROR (AM_E_*).  Return false if the flow has no record here, or,
   for a refusal, if it is already opened.  */
bool am_flow_setup_accepted (struct am_board *b, struct am_upstream *u,
                             struct am_address caller, uint64_t connection_id);
bool am_flow_setup_refused (struct am_board *b, struct am_upstream *u,
                            struct am_address caller, uint64_t connection_id,
                            int error);

/* Drops the references to U, which is about to be freed.  An OPEN that is
   pending at U is refused with AM_E_UPSTREAM_UNKNOWN.  */
void am_flow_setup_upstream_removed (struct am_board *b,
                                     struct am_upstream *u);

/* Removes the records of S, which is about to be freed, without a RESET to the
   callers.  */
void am_flow_setup_service_removed (struct am_board *b, struct am_service *s);

/* Handles attempts that have timed out and removes opened records after
   AM_OPEN_RETENTION_US.  To be called periodically; both take effect only in
   such a call.  */
void am_flow_setup_tick (struct am_board *b);

/* Returns the number of OPENs that wait for the answer of an upstream.  */
size_t am_flow_setup_pending (const struct am_board *b);

#endif
