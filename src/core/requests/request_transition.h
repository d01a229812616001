/* Steps of a request through the state table, and sending from the queues.
   Used by the files of core/requests/request.h only.  */

#ifndef AM_CORE_REQUEST_STEP_H
#define AM_CORE_REQUEST_STEP_H

#include "core/board.h"
#include "core/requests/request_table.h"

/* Applies EVENT to R for the reason ERROR.  On reaching a final state the
   caller is told, unless it was answered, which the user of this function
   does.  Returns false if the event changes nothing.  */
bool am_request_apply_event (struct am_board *b, struct am_request *r,
                             enum am_request_event event, int error);

/* Puts R in front of its queue by EVENT; ends it if it was cancelled or its
   deadline has passed.  */
void am_request_requeue (struct am_board *b, struct am_request *r,
                         enum am_request_event event);

/* R, handed to an upstream, may or may not have run: UNKNOWN, or a retry
   within the budget if it is repeatable.  */
void am_request_retry_or_fail (struct am_board *b, struct am_request *r,
                               int error);

/* Sends queued requests of S while upstreams have free slots.  */
void am_request_send_queued (struct am_board *b, struct am_service *s);

#endif
