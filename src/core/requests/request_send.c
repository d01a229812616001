#include "core/requests/request_send.h"

#include <string.h>

#include "base/error.h"
#include "core/ownership/ticketless.h"

#define REQUEST_PACKET_SIZE_MAX \
  (AM_PACKET_HEADER_SIZE + AM_RUN_BODY_SIZE + AM_REQUEST_SIZE_MAX)

void
am_reply_outcome (struct am_board *b, const struct am_service *s,
                  struct am_address caller, uint64_t connection_id,
                  uint64_t serial, enum am_outcome outcome, int error)
{
  struct am_outcome_body o = { .outcome = (uint8_t)outcome, .error = error };
  uint8_t body[AM_OUTCOME_BODY_SIZE];
  struct am_packet p = { .type = AM_PACKET_OUTCOME,
                         .connection_id = connection_id,
                         .sequence = (uint32_t)serial,
                         .body = body,
                         .body_len = sizeof body };

  am_outcome_body_encode (&o, body);
  am_board_send_caller (b, s->address, caller, &p);
}

static void
send_segment (struct am_board *b, const struct am_request *r,
              const struct am_segment_body *seg, const uint8_t *data,
              size_t len)
{
  uint8_t body[AM_SEGMENT_BODY_SIZE + AM_SEGMENT_SIZE];
  struct am_packet p = { .type = AM_PACKET_ANSWER,
                         .connection_id = r->connection_id,
                         .sequence = (uint32_t)r->serial,
                         .body = body,
                         .body_len = AM_SEGMENT_BODY_SIZE + len };

  am_segment_body_encode (seg, body);
  if (len)
    memcpy (body + AM_SEGMENT_BODY_SIZE, data, len);
  am_board_send_caller (b, r->service->address, r->caller, &p);
}

void
am_reply_segments (struct am_board *b, const struct am_request *r,
                   const uint8_t *answer, size_t len, uint64_t received)
{
  size_t count = (len + AM_SEGMENT_SIZE - 1) / AM_SEGMENT_SIZE;
  struct am_segment_body seg = { .total_len = (uint32_t)len };

  if (count == 0)
    count = 1;
  seg.count = (uint8_t)count;
  for (size_t i = 0; i < count; i++)
    {
      size_t at = i * AM_SEGMENT_SIZE;
      size_t n = len - at < AM_SEGMENT_SIZE ? len - at : AM_SEGMENT_SIZE;

      seg.index = (uint8_t)i;
      if (!(received >> i & 1))
        send_segment (b, r, &seg, answer + at, n);
    }
}

void
am_reply_final (struct am_board *b, const struct am_request *r,
                uint64_t received)
{
  enum am_outcome outcome = r->state == AM_REQUEST_NOT_RUN
                                ? AM_OUTCOME_NOT_RUN
                                : AM_OUTCOME_UNKNOWN;
  int error = r->state == AM_REQUEST_ANSWERED ? AM_E_FORGOTTEN : r->error;

  b->requests->last_reply_us = b->now_us;
  if (r->state == AM_REQUEST_ANSWERED && r->answer)
    am_reply_segments (b, r, r->answer, r->answer_len, received);
  else
    am_reply_outcome (b, r->service, r->caller, r->connection_id, r->serial,
                      outcome, error);
}

static void
send_upstream (struct am_board *b, const struct am_request *r,
               const struct am_packet *p)
{
  uint8_t buf[REQUEST_PACKET_SIZE_MAX];
  struct am_action a = { .type = AM_ACTION_STREAM,
                         .to = r->upstream->address,
                         .service_id = r->service->id,
                         .upstream_id = r->upstream->id,
                         .tag = r->serial,
                         .data = buf };

  if (am_packet_encode (p, buf, sizeof buf, &a.len) == AM_OK)
    am_board_emit (b, &a);
}

void
am_request_forward (struct am_board *b, const struct am_request *r)
{
  uint8_t body[AM_RUN_BODY_SIZE + AM_REQUEST_SIZE_MAX];
  uint64_t left_ms = (r->deadline_us - b->now_us) / 1000;
  struct am_run_body run = { .remaining_ms = left_ms ? (uint32_t)left_ms : 1,
                             .service_id = r->service->id,
                             .request_class = (uint8_t)r->class_id };
  struct am_packet p = { .type = AM_PACKET_REQUEST,
                         .connection_id = r->connection_id,
                         .sequence = (uint32_t)r->serial,
                         .body = body,
                         .body_len = AM_RUN_BODY_SIZE + r->payload_len };

  if (r->owned)
    {
      uint64_t until_us = am_ticketless_not_after_us (b, r->service->id);

      run.not_after_ms = b->wall_ms + (until_us - b->now_us) / 1000;
    }
  am_run_body_encode (&run, body);
  if (r->payload_len)
    memcpy (body + AM_RUN_BODY_SIZE, r->payload, r->payload_len);
  send_upstream (b, r, &p);
}

void
am_request_forward_cancel (struct am_board *b, const struct am_request *r)
{
  struct am_packet p = { .type = AM_PACKET_CANCEL,
                         .connection_id = r->connection_id,
                         .sequence = (uint32_t)r->serial };

  send_upstream (b, r, &p);
}
