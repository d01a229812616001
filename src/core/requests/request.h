/* Requests handled by this forwarder: admission, sending, retries, outcome.

   The state table is in docs/design.md, section 4.4.  Only the forwarder
   process that issued a request ticket handles its request, and has it run at
   most once if its class is one-time.

   The outcome of a request is how it ended: ANSWERED, NOT-RUN or UNKNOWN.  The
   first is reported to the caller in ANSWER packets that hold the answer of
   the upstream, the others in an OUTCOME packet.  In this folder "reply" means
   either of these packets, "connection" a connection of this forwarder to an
   upstream, and "connection id" the caller's number for its flow or request.
 */

#ifndef AM_CORE_REQUEST_H
#define AM_CORE_REQUEST_H

#include "core/board.h"

/* Time after its issue, in milliseconds, within which a request ticket must
   first be used.  */
#define AM_TICKET_USE_WINDOW_MS 1000u

/* Time in milliseconds for which an outcome is retained to answer
   retransmissions.  */
#define AM_OUTCOME_RETENTION_MS 10000u

/* Time in milliseconds for which a stopping forwarder still answers
   retransmissions.  */
#define AM_STOP_LINGER_MS 1000u

/* A received REQUEST.  */
struct am_request_arrival
{
  struct am_service *service;
  struct am_address caller;
  uint64_t connection_id;
  struct am_ticket ticket; /* verified; issued by this process */
  struct am_request_body body;
  const uint8_t *payload;
  size_t payload_len;
  bool owned; /* arrived without a ticket and was admitted by this VM as owner
                 of the service (core/ownership/ticketless.h); TICKET is that
                 of am_requests_make_ticket */
};

/* Allocates B->requests and B->lending.  Returns AM_OK or AM_E_MEMORY.  */
int am_requests_init (struct am_board *b);

/* Frees B->requests, all requests, the services' queues and B->lending.  Sends
   nothing.  */
void am_requests_finish (struct am_board *b);

/* Issues a request ticket for a caller, for REQUEST_CLASS of S: sets every
   field of T except the key id.  The ticket is not signed by this.  Returns
   AM_OK, AM_E_STOPPING (this forwarder is stopping) or AM_E_FIELD_VALUE (no
   such class).  */
int am_requests_issue (struct am_board *b, struct am_service *s,
                       uint8_t request_class, struct am_ticket *t);

/* Handles a REQUEST, first or retransmitted.  The outcome is sent to the
   caller now or when the request ends; for a retransmission after that, it is
   sent again.  Copies the payload.  Returns AM_OK if the request is admitted,
   in progress or answered, else the error code in the OUTCOME that this call
   has sent.  */
int am_requests_receive (struct am_board *b,
                         const struct am_request_arrival *a);

/* Fills T as am_requests_issue does, with a newly allocated serial, but does
   not check whether the class exists or this forwarder is stopping, and does
   not delay its exit.  Used directly for a REQUEST that came without a ticket
   and was admitted by the owner.  */
void am_requests_make_ticket (struct am_board *b, const struct am_service *s,
                              uint8_t request_class, struct am_ticket *t);

/* Returns true if the request with SERIAL is in the table: queued, sent, or
   ended and not yet removed.  */
bool am_requests_known (const struct am_board *b, uint64_t serial);

/* Handles a CANCEL for the request of ticket T.  A queued request, or one not
   received yet, ends as NOT-RUN, or as UNKNOWN if it may have run; for a sent
   one the CANCEL is forwarded to its upstream.  */
void am_requests_cancel (struct am_board *b, struct am_service *s,
                         struct am_address caller, uint64_t connection_id,
                         const struct am_ticket *t);

/* Handles a packet from the connection to upstream U: ANSWER or OUTCOME.  Its
   sequence is the low 32 bits of the serial, its connection id the caller's.
   Returns AM_OK, also if no sent request matches, or AM_E_FORMAT.  */
int am_requests_upstream_packet (struct am_board *b, struct am_upstream *u,
                                 const struct am_packet *p);

/* The connection to the upstream was lost: sent one-time requests become
   UNKNOWN, repeatable ones are queued again within the retry budget.  */
void am_requests_connection_lost (struct am_board *b, uint32_t service_id,
                                  uint32_t upstream_id);

/* The connection to the upstream could not be opened, and no byte of the
   requests forwarded since the last am_requests_connection_lost has been sent:
   sent requests are queued again.  An embedding program that does not know
   whether bytes were sent calls am_requests_connection_lost.  */
void am_requests_connection_failed (struct am_board *b, uint32_t service_id,
                                    uint32_t upstream_id);

/* Upstream U is about to be freed: handles its sent requests as
   am_requests_connection_lost does and drops its leased slots.  */
void am_requests_upstream_removed (struct am_board *b, struct am_upstream *u);

/* Service S is about to be freed: its queued requests end as NOT-RUN, or as
   UNKNOWN if they may have run; its sent ones as UNKNOWN.  Frees them all and
   the queue of S, and drops the leased slots of its upstreams.  */
void am_requests_service_removed (struct am_board *b, struct am_service *s);

/* Sends queued requests to free slots, ends requests whose deadline has passed
   and frees those whose retention time has passed.  Called at each tick of the
   forwarder and after each event that may free a slot.  */
void am_requests_tick (struct am_board *b);

/* Returns the number of requests that are queued or sent.  */
size_t am_requests_in_progress (const struct am_board *b);

/* Returns true if a stopping forwarder may exit: no request is in progress, no
   issued ticket can still be used (AM_TICKET_USE_WINDOW_MS) and
   AM_STOP_LINGER_MS has passed since the stop began and since the last reply.
 */
bool am_requests_may_exit (const struct am_board *b);

#endif
