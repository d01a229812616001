#include "wire/peer.h"

#include <sodium.h>
#include <string.h>

#include "base/error.h"
#include "wire/bytes.h"

#define FIELDS_SIZE 20
#define MAC_SIZE (AM_PEER_HEADER_SIZE - FIELDS_SIZE)
#define KEY_SIZE 32

static void
peer_mac (const uint8_t *key, const uint8_t *fields, const uint8_t *body,
          size_t body_len, uint8_t *mac)
{
  crypto_generichash_state st;

  crypto_generichash_init (&st, key, KEY_SIZE, MAC_SIZE);
  crypto_generichash_update (&st, fields, FIELDS_SIZE);
  crypto_generichash_update (&st, body, body_len);
  crypto_generichash_final (&st, mac, MAC_SIZE);
}

int
am_peer_encode (const struct am_peer_header *h, const uint8_t *key,
                const uint8_t *body, size_t body_len, uint8_t *buf,
                size_t size, size_t *len)
{
  if (body_len > AM_PEER_BODY_MAX || size < AM_PEER_HEADER_SIZE + body_len)
    return AM_E_TOO_LARGE;
  buf[0] = AM_PEER_VERSION;
  buf[1] = h->type;
  am_put_u16 (buf + 2, 0);
  am_put_u32 (buf + 4, h->sender_id);
  am_put_u64 (buf + 8, h->sender_boot_id);
  am_put_u32 (buf + 16, h->service_id);
  peer_mac (key, buf, body, body_len, buf + FIELDS_SIZE);
  if (body_len)
    memcpy (buf + AM_PEER_HEADER_SIZE, body, body_len);
  *len = AM_PEER_HEADER_SIZE + body_len;
  return AM_OK;
}

int
am_peer_decode (struct am_peer_header *h, const uint8_t *key,
                const uint8_t *buf, size_t len, const uint8_t **body,
                size_t *body_len)
{
  uint8_t mac[MAC_SIZE];

  if (len < AM_PEER_HEADER_SIZE)
    return AM_E_SHORT;
  if (len > AM_PEER_HEADER_SIZE + AM_PEER_BODY_MAX)
    return AM_E_TOO_LARGE;
  if (buf[0] != AM_PEER_VERSION)
    return AM_E_VERSION;
  if (buf[1] < AM_PEER_FORWARD || buf[1] > AM_PEER_OWNER || buf[2] || buf[3])
    return AM_E_FORMAT;
  *body = buf + AM_PEER_HEADER_SIZE;
  *body_len = len - AM_PEER_HEADER_SIZE;
  peer_mac (key, buf, *body, *body_len, mac);
  if (sodium_memcmp (mac, buf + FIELDS_SIZE, MAC_SIZE) != 0)
    return AM_E_AUTH;
  h->type = buf[1];
  h->sender_id = am_get_u32 (buf + 4);
  h->sender_boot_id = am_get_u64 (buf + 8);
  h->service_id = am_get_u32 (buf + 16);
  return AM_OK;
}
