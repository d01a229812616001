/* State transitions of a request with their side effects, and sending from the
   queues.  Private to core/requests.  */

#ifndef AM_CORE_REQUEST_TRANSITION_H
#define AM_CORE_REQUEST_TRANSITION_H

#include "core/board.h"
#include "core/requests/request_table.h"

/* Applies EVENT to R.  ERROR is the reason if R ends without an answer, else
   AM_OK.  In a final state the outcome is sent to the caller, except in
   ANSWERED, where the calling code sends the answer.  Returns false if the
   state does not change.  */
bool am_request_apply_event (struct am_board *b, struct am_request *r,
                             enum am_request_event event, int error);

/* Applies EVENT, AM_REQUEST_ON_SHED or AM_REQUEST_ON_RETRY, and puts R at the
   front of its queue.  If it was cancelled or its deadline has passed, it ends
   at once as NOT-RUN, or as UNKNOWN if it may have run.  */
void am_request_requeue (struct am_board *b, struct am_request *r,
                         enum am_request_event event);

/* Handles a sent request R that may have run.  Queues it again if it is
   repeatable, not cancelled, before its deadline and within the retry budget.
   Else ends it as UNKNOWN for the reason ERROR, or AM_E_BUDGET if the budget
   is exhausted.  */
void am_request_retry_or_fail (struct am_board *b, struct am_request *r,
                               int error);

/* Sends queued requests of S while its upstreams have free slots.  */
void am_request_send_queued (struct am_board *b, struct am_service *s);

#endif
