/* Replies about requests to callers, and packets about them to upstreams.  */

#ifndef AM_CORE_REQUEST_REPLY_H
#define AM_CORE_REQUEST_REPLY_H

#include "core/board.h"
#include "core/requests/request_table.h"

/* Tells the caller the final state of R.  Of an answer the segments that
   RECEIVED does not mark are sent; an answer no longer held is UNKNOWN.  */
void am_reply_final (struct am_board *b, const struct am_request *r,
                     uint64_t received);

/* Sends the segments of the answer of LEN bytes that RECEIVED does not mark.
 */
void am_reply_segments (struct am_board *b, const struct am_request *r,
                        const uint8_t *answer, size_t len, uint64_t received);

/* Sends an OUTCOME for which no request is held.  */
void am_reply_outcome (struct am_board *b, const struct am_service *s,
                       struct am_address caller, uint64_t connection_id,
                       uint64_t serial, enum am_outcome outcome, int error);

/* Hands R's payload to the upstream whose slot it holds.  */
void am_request_forward (struct am_board *b, const struct am_request *r);

/* Passes a CANCEL of R on to its upstream.  */
void am_request_forward_cancel (struct am_board *b,
                                const struct am_request *r);

#endif
