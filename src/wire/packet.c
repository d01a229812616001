#include "wire/packet.h"

#include <stdbool.h>
#include <string.h>

#include "base/error.h"
#include "wire/bytes.h"

static int
decode (struct am_packet *p, const uint8_t *buf, size_t len, size_t max,
        bool body_len_is_exact)
{
  size_t ticket_len;
  size_t body_len;

  if (len < AM_PACKET_HEADER_SIZE)
    return AM_E_SHORT;
  if (len > max)
    return AM_E_TOO_LARGE;
  if (am_get_u16 (buf) != AM_PACKET_MAGIC)
    return AM_E_FORMAT;
  if (buf[2] != AM_PACKET_VERSION)
    return AM_E_VERSION;
  if (buf[3] < AM_PACKET_OPEN || buf[3] > AM_PACKET_REPORT)
    return AM_E_FORMAT;
  ticket_len = am_get_u16 (buf + 16);
  if (ticket_len != 0 && ticket_len != AM_TICKET_SIZE)
    return AM_E_FORMAT;
  if (len - AM_PACKET_HEADER_SIZE < ticket_len)
    return AM_E_SHORT;
  body_len = len - AM_PACKET_HEADER_SIZE - ticket_len;
  if (body_len_is_exact ? am_get_u16 (buf + 18) != body_len
                        : am_get_u16 (buf + 18) != (body_len & UINT16_MAX))
    return AM_E_FORMAT;
  p->type = buf[3];
  p->connection_id = am_get_u64 (buf + 4);
  p->sequence = am_get_u32 (buf + 12);
  p->ticket = ticket_len ? buf + AM_PACKET_HEADER_SIZE : NULL;
  p->body = buf + AM_PACKET_HEADER_SIZE + ticket_len;
  p->body_len = body_len;
  return AM_OK;
}

int
am_packet_decode (struct am_packet *p, const uint8_t *buf, size_t len)
{
  return decode (p, buf, len, AM_PACKET_SIZE_MAX, true);
}

int
am_packet_decode_stream (struct am_packet *p, const uint8_t *buf, size_t len)
{
  return decode (p, buf, len, AM_STREAM_PACKET_MAX, false);
}

int
am_packet_encode (const struct am_packet *p, uint8_t *buf, size_t size,
                  size_t *len)
{
  size_t ticket_len = p->ticket ? AM_TICKET_SIZE : 0;
  size_t total = AM_PACKET_HEADER_SIZE + ticket_len + p->body_len;

  if (total > size)
    return AM_E_TOO_LARGE;
  am_put_u16 (buf, AM_PACKET_MAGIC);
  buf[2] = AM_PACKET_VERSION;
  buf[3] = p->type;
  am_put_u64 (buf + 4, p->connection_id);
  am_put_u32 (buf + 12, p->sequence);
  am_put_u16 (buf + 16, (uint16_t)ticket_len);
  am_put_u16 (buf + 18, (uint16_t)p->body_len);
  if (ticket_len)
    memcpy (buf + AM_PACKET_HEADER_SIZE, p->ticket, ticket_len);
  if (p->body_len)
    memcpy (buf + AM_PACKET_HEADER_SIZE + ticket_len, p->body, p->body_len);
  *len = total;
  return AM_OK;
}

void
am_open_body_encode (const struct am_open_body *b, uint8_t *buf)
{
  buf[0] = b->kind;
  buf[1] = b->request_class;
}

int
am_open_body_decode (struct am_open_body *b, const uint8_t *buf, size_t len)
{
  if (len < AM_OPEN_BODY_SIZE)
    return AM_E_SHORT;
  if (buf[0] > AM_OPEN_REQUEST)
    return AM_E_FORMAT;
  b->kind = buf[0];
  b->request_class = buf[1];
  return AM_OK;
}

void
am_load_encode (const struct am_load *l, uint8_t *buf)
{
  am_put_u16 (buf, l->busy);
  am_put_u16 (buf + 2, l->queued);
  am_put_u16 (buf + 4, l->connections);
  am_put_u16 (buf + 6, l->flags);
}

int
am_load_decode (struct am_load *l, const uint8_t *buf, size_t len)
{
  if (len < AM_LOAD_SIZE)
    return AM_E_SHORT;
  l->busy = am_get_u16 (buf);
  l->queued = am_get_u16 (buf + 2);
  l->connections = am_get_u16 (buf + 4);
  l->flags = am_get_u16 (buf + 6);
  return AM_OK;
}

void
am_reason_body_encode (const struct am_reason_body *b, uint8_t *buf)
{
  am_put_u32 (buf, (uint32_t)b->error);
}

int
am_reason_body_decode (struct am_reason_body *b, const uint8_t *buf,
                       size_t len)
{
  if (len < AM_REASON_BODY_SIZE)
    return AM_E_SHORT;
  b->error = (int32_t)am_get_u32 (buf);
  return AM_OK;
}

void
am_outcome_body_encode (const struct am_outcome_body *b, uint8_t *buf)
{
  buf[0] = b->outcome;
  am_put_u32 (buf + 1, (uint32_t)b->error);
}

int
am_outcome_body_decode (struct am_outcome_body *b, const uint8_t *buf,
                        size_t len)
{
  if (len < AM_OUTCOME_BODY_SIZE)
    return AM_E_SHORT;
  if (buf[0] != AM_OUTCOME_NOT_RUN && buf[0] != AM_OUTCOME_UNKNOWN)
    return AM_E_FORMAT;
  b->outcome = buf[0];
  b->error = (int32_t)am_get_u32 (buf + 1);
  return AM_OK;
}

void
am_request_body_encode (const struct am_request_body *b, uint8_t *buf)
{
  am_put_u32 (buf, b->deadline_ms);
  am_put_u64 (buf + 4, b->received);
}

int
am_request_body_decode (struct am_request_body *b, const uint8_t *buf,
                        size_t len)
{
  if (len < AM_REQUEST_BODY_SIZE)
    return AM_E_SHORT;
  b->deadline_ms = am_get_u32 (buf);
  b->received = am_get_u64 (buf + 4);
  return AM_OK;
}

uint32_t
am_request_sequence (uint8_t class_id, uint64_t age_us)
{
  uint64_t age_ms = age_us / 1000 + (age_us % 1000 != 0);

  if (age_ms > AM_REQUEST_AGE_MAX_MS)
    age_ms = AM_REQUEST_AGE_MAX_MS;
  return (uint32_t)(age_ms + 1) << 8 | class_id;
}

bool
am_request_age (uint32_t *age_ms, uint32_t sequence)
{
  if (!(sequence >> 8))
    return false;
  *age_ms = (sequence >> 8) - 1;
  return true;
}

void
am_run_body_encode (const struct am_run_body *b, uint8_t *buf)
{
  am_put_u32 (buf, b->remaining_ms);
  am_put_u32 (buf + 4, b->service_id);
  buf[8] = b->request_class;
  am_put_u64 (buf + 9, b->not_after_ms);
}

int
am_run_body_decode (struct am_run_body *b, const uint8_t *buf, size_t len)
{
  if (len < AM_RUN_BODY_SIZE)
    return AM_E_SHORT;
  b->remaining_ms = am_get_u32 (buf);
  b->service_id = am_get_u32 (buf + 4);
  b->request_class = buf[8];
  b->not_after_ms = am_get_u64 (buf + 9);
  return AM_OK;
}

void
am_segment_body_encode (const struct am_segment_body *b, uint8_t *buf)
{
  buf[0] = b->index;
  buf[1] = b->count;
  am_put_u32 (buf + 2, b->total_len);
}

int
am_segment_body_decode (struct am_segment_body *b, const uint8_t *buf,
                        size_t len)
{
  if (len < AM_SEGMENT_BODY_SIZE)
    return AM_E_SHORT;
  if (buf[1] == 0 || buf[1] > AM_SEGMENTS_MAX || buf[0] >= buf[1])
    return AM_E_FORMAT;
  b->index = buf[0];
  b->count = buf[1];
  b->total_len = am_get_u32 (buf + 2);
  if (b->total_len > AM_ANSWER_SIZE_MAX)
    return AM_E_FORMAT;
  return AM_OK;
}

int
am_stream_split (const uint8_t *buf, size_t len, const uint8_t **packet,
                 size_t *packet_len, size_t *used)
{
  size_t n;

  if (len < AM_STREAM_PREFIX_SIZE)
    return AM_E_SHORT;
  n = am_get_u32 (buf);
  if (n > AM_STREAM_PACKET_MAX)
    return AM_E_TOO_LARGE;
  if (len - AM_STREAM_PREFIX_SIZE < n)
    return AM_E_SHORT;
  *packet = buf + AM_STREAM_PREFIX_SIZE;
  *packet_len = n;
  *used = AM_STREAM_PREFIX_SIZE + n;
  return AM_OK;
}
