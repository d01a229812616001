#include "core/ownership/handover.h"

#include <string.h>

#include "base/error.h"
#include "core/ownership/ticketless.h"
#include "wire/bytes.h"

#define HEADER_SIZE 17u
#define ID_SIZE 17u
#define ACK_SIZE 11u

/* A successor that has not acknowledged all parts within this time counts as
   having no table; the key is released nevertheless.  */
#define TIMEOUT_US 1500000u
#define RESEND_US 200000u

static const struct am_member *
successor (const struct am_board *b, const struct am_service *s)
{
  for (size_t i = 0; i < s->home_count; i++)
    {
      const struct am_member *m = s->home_set[i];

      if (m->id != b->self.id
          && m->state == AMARANTH__MEMBER_STATE__MEMBER_ALIVE)
        return m;
    }
  return NULL;
}

static void
put_id (uint8_t *p, const struct am_dedup_entry *i)
{
  am_put_u64 (p, i->key.connection_id);
  am_put_u32 (p + 8, (uint32_t)i->key.ip);
  p[12] = (uint8_t)i->outcome;
  am_put_u32 (p + 13, (uint32_t)i->error);
}

static void
put_header (const struct am_board *b, const struct am_ticketless *o,
            uint8_t *p, uint16_t index)
{
  const struct am_dedup *g = &o->dedup;
  uint64_t until = g->grace_until_us > g->drain_until_us ? g->grace_until_us
                                                         : g->drain_until_us;
  uint64_t left_us = until > b->now_us ? until - b->now_us : 0;

  p[0] = AM_OWNER_MESSAGE_TABLE;
  am_put_u64 (p + 1, o->outgoing.epoch);
  am_put_u16 (p + 9, index);
  am_put_u16 (p + 11, o->outgoing.total);
  am_put_u32 (p + 13, (uint32_t)(left_us / 1000) + (left_us > 0));
}

static void
send_part (struct am_board *b, const struct am_ticketless *o,
           const struct am_member *m, uint16_t index, const uint8_t *ids,
           size_t count)
{
  uint8_t body[HEADER_SIZE + AM_HANDOVER_IDS_PER_PART * ID_SIZE];

  put_header (b, o, body, index);
  memcpy (body + HEADER_SIZE, ids, count * ID_SIZE);
  am_board_send_peer (b, m, AM_PEER_OWNER, o->service_id, body,
                      HEADER_SIZE + count * ID_SIZE);
}

/* Sends all parts that are not acknowledged.  */
static void
send_parts (struct am_board *b, struct am_ticketless *o)
{
  const struct am_member *m = am_board_member (b, o->outgoing.peer_id);
  uint8_t ids[AM_HANDOVER_IDS_PER_PART * ID_SIZE];
  uint16_t index = 0;
  size_t n = 0;

  o->outgoing.sent_us = b->now_us;
  if (!m)
    return;
  am_list_each (i, &o->dedup.by_age, struct am_dedup_entry, node)
  {
    put_id (ids + n++ * ID_SIZE, i);
    if (n < AM_HANDOVER_IDS_PER_PART)
      continue;
    if (!o->outgoing.seen[index])
      send_part (b, o, m, index, ids, n);
    index++;
    n = 0;
  }
  if (index < o->outgoing.total && !o->outgoing.seen[index])
    send_part (b, o, m, index, ids, n);
}

bool
am_handover_begin (struct am_board *b, struct am_ticketless *o)
{
  const struct am_service *s = am_board_service (b, o->service_id);
  const struct am_member *m = s ? successor (b, s) : NULL;
  size_t parts = HASH_COUNT (o->dedup.ids) / AM_HANDOVER_IDS_PER_PART + 1;

  if (!m || parts > AM_HANDOVER_PARTS_MAX)
    return false;
  memset (&o->outgoing, 0, sizeof o->outgoing);
  o->outgoing.epoch = o->dedup.epoch;
  o->outgoing.peer_id = m->id;
  o->outgoing.since_us = b->now_us;
  o->outgoing.total = (uint16_t)parts;
  send_parts (b, o);
  return true;
}

bool
am_handover_poll (struct am_board *b, struct am_ticketless *o, uint32_t *to)
{
  *to = o->outgoing.count == o->outgoing.total ? o->outgoing.peer_id : 0;
  if (*to || b->now_us - o->outgoing.since_us >= TIMEOUT_US)
    {
      o->outgoing.epoch = 0;
      return true;
    }
  if (b->now_us - o->outgoing.sent_us >= RESEND_US)
    send_parts (b, o);
  return false;
}

static bool
mark_part (struct am_handover *p, uint16_t index)
{
  if (p->seen[index])
    return false;
  p->seen[index] = true;
  p->count++;
  return true;
}

static int
import_ids (struct am_board *b, struct am_ticketless *o, const uint8_t *body,
            size_t len)
{
  for (size_t at = HEADER_SIZE; at < len; at += ID_SIZE)
    {
      struct am_dedup_key key = { .connection_id = am_get_u64 (body + at),
                                  .ip = am_get_u32 (body + at + 8) };
      int err;

      if (body[at + 12] > AM_DEDUP_LOST)
        return AM_E_FORMAT;
      err = am_dedup_import (&o->dedup, b->now_us, &key,
                             (enum am_dedup_outcome)body[at + 12],
                             (int32_t)am_get_u32 (body + at + 13));
      if (err)
        return err;
    }
  return AM_OK;
}

static void
acknowledge (struct am_board *b, const struct am_ticketless *o,
             uint32_t sender_id, const uint8_t *part)
{
  const struct am_member *m = am_board_member (b, sender_id);
  uint8_t body[ACK_SIZE];

  if (!m)
    return;
  memcpy (body, part, sizeof body);
  body[0] = AM_OWNER_MESSAGE_ACK;
  am_board_send_peer (b, m, AM_PEER_OWNER, o->service_id, body, sizeof body);
}

int
am_handover_receive_part (struct am_board *b, struct am_ticketless *o,
                          uint32_t sender_id, const uint8_t *body, size_t len)
{
  struct am_handover *p = &o->incoming;
  uint64_t epoch;
  uint16_t index;
  uint16_t total;
  int err;

  if (len < HEADER_SIZE || (len - HEADER_SIZE) % ID_SIZE)
    return AM_E_FORMAT;
  epoch = am_get_u64 (body + 1);
  index = am_get_u16 (body + 9);
  total = am_get_u16 (body + 11);
  if (!epoch || total > AM_HANDOVER_PARTS_MAX || index >= total)
    return AM_E_FORMAT;
  if (p->epoch != epoch || p->peer_id != sender_id || p->total != total)
    *p = (struct am_handover){ .epoch = epoch,
                               .peer_id = sender_id,
                               .total = total };
  err = p->seen[index] ? AM_OK : import_ids (b, o, body, len);
  if (err)
    return err;
  if (mark_part (p, index) && p->count == total)
    {
      am_dedup_import_done (&o->dedup, b->now_us, epoch,
                            am_get_u32 (body + 13) * (uint64_t)1000);
      o->grant_wait_until_us = b->now_us + AM_TICKETLESS_GRANT_WAIT_US;
    }
  acknowledge (b, o, sender_id, body);
  return AM_OK;
}

int
am_handover_receive_ack (struct am_ticketless *o, uint32_t sender_id,
                         const uint8_t *body, size_t len)
{
  uint16_t index;

  if (len != ACK_SIZE)
    return AM_E_FORMAT;
  index = am_get_u16 (body + 9);
  if (!o->outgoing.epoch || o->outgoing.epoch != am_get_u64 (body + 1)
      || o->outgoing.peer_id != sender_id || index >= o->outgoing.total)
    return AM_E_FORMAT;
  mark_part (&o->outgoing, index);
  return AM_OK;
}
