#include "core/lending/slot_lease_message.h"

#include "base/error.h"
#include "core/lending/quota.h"
#include "wire/bytes.h"
#include "wire/peer.h"

#define HEADER_SIZE 16
#define ITEM_SIZE 8

static size_t
encode (const struct am_slot_lease_message *m, uint8_t *buf)
{
  buf[0] = m->op;
  buf[1] = m->count;
  am_put_u16 (buf + 2, m->value);
  am_put_u32 (buf + 4, m->service_id);
  am_put_u32 (buf + 8, m->number);
  am_put_u16 (buf + 12, m->idle);
  am_put_u16 (buf + 14, m->renew);
  for (size_t i = 0; i < m->count; i++)
    {
      am_put_u32 (buf + HEADER_SIZE + i * ITEM_SIZE, m->items[i].lease_id);
      am_put_u32 (buf + HEADER_SIZE + i * ITEM_SIZE + 4,
                  m->items[i].upstream_id);
    }
  return HEADER_SIZE + m->count * (size_t)ITEM_SIZE;
}

int
am_slot_lease_decode (struct am_slot_lease_message *m, const uint8_t *buf,
                      size_t len)
{
  if (len < HEADER_SIZE)
    return AM_E_SHORT;
  m->op = buf[0];
  m->count = buf[1];
  if (m->op < AM_SLOT_LEASE_REQUEST || m->op > AM_SLOT_LEASE_RELEASE_ACK
      || m->count > AM_SLOT_LEASE_ITEMS_MAX)
    return AM_E_FORMAT;
  if (len != HEADER_SIZE + m->count * (size_t)ITEM_SIZE)
    return AM_E_FORMAT;
  m->value = am_get_u16 (buf + 2);
  m->service_id = am_get_u32 (buf + 4);
  m->number = am_get_u32 (buf + 8);
  m->idle = am_get_u16 (buf + 12);
  m->renew = am_get_u16 (buf + 14);
  for (size_t i = 0; i < m->count; i++)
    {
      m->items[i].lease_id = am_get_u32 (buf + HEADER_SIZE + i * ITEM_SIZE);
      m->items[i].upstream_id
          = am_get_u32 (buf + HEADER_SIZE + i * ITEM_SIZE + 4);
    }
  return AM_OK;
}

bool
am_slot_lease_message_contains (const struct am_slot_lease_message *m,
                                uint32_t lease_id)
{
  for (size_t i = 0; i < m->count; i++)
    {
      if (m->items[i].lease_id == lease_id)
        return true;
    }
  return false;
}

void
am_slot_lease_send (struct am_board *b, uint32_t to,
                    const struct am_slot_lease_message *m)
{
  uint8_t body[HEADER_SIZE + AM_SLOT_LEASE_ITEMS_MAX * ITEM_SIZE];
  uint8_t buf[AM_PEER_HEADER_SIZE + sizeof body];
  struct am_peer_header h = { .type = AM_PEER_CREDIT,
                              .sender_id = b->self.id,
                              .sender_boot_id = b->self.boot_id,
                              .service_id = m->service_id };
  struct am_member *member = am_board_member (b, to);
  struct am_action a = { .type = AM_ACTION_PEER, .data = buf };
  size_t len;

  if (!member)
    return;
  len = encode (m, body);
  if (am_peer_encode (&h, b->peer_key, body, len, buf, sizeof buf, &a.len))
    return;
  a.to = member->peer;
  am_board_emit (b, &a);
}

bool
am_token_bucket_take (struct am_token_bucket *k, uint64_t now_us, double rate,
                      double burst)
{
  k->tokens += (double)(now_us - k->at_us) / 1e6 * rate;
  k->at_us = now_us;
  if (k->tokens > burst)
    k->tokens = burst;
  if (k->tokens < 1)
    return false;
  k->tokens -= 1;
  return true;
}
