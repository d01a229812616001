/* Encodes and sends packets of requests: ANSWER and OUTCOME to callers,
   REQUEST and CANCEL to upstreams.  Functions am_reply_* send to callers,
   am_request_forward* to upstreams.  */

#ifndef AM_CORE_REQUEST_SEND_H
#define AM_CORE_REQUEST_SEND_H

#include "core/board.h"
#include "core/requests/request_table.h"

/* Sends the caller the outcome of R, which is in a final state.  Of an answer
   it sends the segments that the caller lacks: bit I of RECEIVED, counted from
   the least significant, is set if the caller has segment I.  An answer that
   is no longer cached is reported as UNKNOWN with AM_E_FORGOTTEN.  */
void am_reply_final (struct am_board *b, const struct am_request *r,
                     uint64_t received);

/* Sends the segments of ANSWER, LEN bytes long, whose bits in RECEIVED are
   clear, as described at am_reply_final.  */
void am_reply_segments (struct am_board *b, const struct am_request *r,
                        const uint8_t *answer, size_t len, uint64_t received);

/* Sends an OUTCOME packet with OUTCOME and the reason ERROR (AM_E_*).  To be
   used directly only for a serial whose request is not in the table.  */
void am_reply_outcome (struct am_board *b, const struct am_service *s,
                       struct am_address caller, uint64_t connection_id,
                       uint64_t serial, enum am_outcome outcome, int error);

/* Forwards R to the upstream whose slot it holds.  */
void am_request_forward (struct am_board *b, const struct am_request *r);

/* Forwards a CANCEL of R to its upstream.  */
void am_request_forward_cancel (struct am_board *b,
                                const struct am_request *r);

#endif
