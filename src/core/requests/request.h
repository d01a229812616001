/* Requests pinned to this forwarder: admission, sending, retries, outcome.

   The state table is in docs/design.md, section 4.4.  Only the process that
   issued a request ticket runs it, at most once if its class is one-time.  */

#ifndef AM_CORE_REQUEST_H
#define AM_CORE_REQUEST_H

#include "core/board.h"

/* How long after its issue a request ticket may first be used.  */
#define AM_TICKET_USE_WINDOW_MS 1000u

/* How long an outcome is held for retransmissions.  */
#define AM_OUTCOME_RETENTION_MS 10000u

/* How long a stopping forwarder keeps answering retransmissions.  */
#define AM_STOP_LINGER_MS 1000u

struct am_request_arrival
{
  struct am_service *service;
  struct am_address caller;
  uint64_t connection_id;
  struct am_ticket ticket; /* verified; issued by this process */
  struct am_request_body body;
  const uint8_t *payload;
  size_t payload_len;
  bool owned; /* without a ticket; TICKET holds class, service and serial */
};

/* Sets up B->requests.  Returns AM_OK or AM_E_MEMORY.  */
int am_requests_init (struct am_board *b);
void am_requests_finish (struct am_board *b);

/* Issues a request ticket for CLASS of S, if this forwarder may issue: fills
   the fields of T but the key id.  Returns AM_OK, AM_E_STOPPING or
   AM_E_FIELD_VALUE (no such class).  */
int am_requests_issue (struct am_board *b, struct am_service *s,
                       uint8_t request_class, struct am_ticket *t);

/* Handles a REQUEST, first or repeated.  Every result is sent to the caller
   as ANSWER or OUTCOME.  Returns AM_OK or the typed error that the outcome
   carries.  */
int am_requests_receive (struct am_board *b,
                         const struct am_request_arrival *a);

/* Fills T for a ticketless REQUEST of CLASS, admitted by the owner, under a
   serial of its own.  */
void am_requests_make_ticket (struct am_board *b, const struct am_service *s,
                              uint8_t request_class, struct am_ticket *t);

/* Returns true if the request of SERIAL is known still.  */
bool am_requests_known (const struct am_board *b, uint64_t serial);

/* Handles a CANCEL for the request of ticket T.  */
void am_requests_cancel (struct am_board *b, struct am_service *s,
                         struct am_address caller, uint64_t connection_id,
                         const struct am_ticket *t);

/* Handles a packet (ANSWER or OUTCOME; its sequence is the low 32 bits of the
   serial, its connection id the caller's) from upstream U's connection.
   Returns AM_OK or AM_E_FORMAT.  */
int am_requests_upstream_packet (struct am_board *b, struct am_upstream *u,
                                 const struct am_packet *p);

/* The connection to the upstream was lost: sent one-time requests become
   UNKNOWN, repeatable ones are queued again within the budget.  */
void am_requests_connection_lost (struct am_board *b, uint32_t service_id,
                                  uint32_t upstream_id);

/* The connection to the upstream could not be opened, and no byte of what was
   handed over since the last am_requests_connection_lost has left: sent
   requests are queued again.  A driver that cannot tell calls
   am_requests_connection_lost.
 */
void am_requests_connection_failed (struct am_board *b, uint32_t service_id,
                                    uint32_t upstream_id);

/* Upstream U is about to be freed.  */
void am_requests_upstream_removed (struct am_board *b, struct am_upstream *u);

/* Service S is about to be freed: its requests end as the table says.  */
void am_requests_service_removed (struct am_board *b, struct am_service *s);

/* Sends what may be sent, ends what has passed its deadline, forgets what has
   passed its retention.  Called at each tick and after each event that may
   free a slot.  */
void am_requests_tick (struct am_board *b);

/* Returns how many requests are queued or sent.  */
size_t am_requests_in_progress (const struct am_board *b);

/* Returns true if a stopping forwarder may exit: nothing in progress, no
   issued ticket can still be used, the linger time is over.  */
bool am_requests_may_exit (const struct am_board *b);

#endif
