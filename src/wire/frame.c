#include "wire/frame.h"

#include <sodium.h>

#include "base/error.h"
#include "wire/bytes.h"

#define LENGTH_SIZE 4
#define MAC_SIZE (AM_FRAME_HEADER_SIZE - LENGTH_SIZE)

void
am_frame_seal (const uint8_t *key, const uint8_t *payload, size_t len,
               uint8_t *header)
{
  am_put_u32 (header, (uint32_t)len);
  crypto_generichash (header + LENGTH_SIZE, MAC_SIZE, payload, len, key,
                      AM_PEER_KEY_SIZE);
}

int
am_frame_open (const uint8_t *key, const uint8_t *buf, size_t len,
               const uint8_t **payload, size_t *payload_len, size_t *used)
{
  uint8_t mac[MAC_SIZE];
  size_t n;

  if (len < AM_FRAME_HEADER_SIZE)
    return AM_E_SHORT;
  n = am_get_u32 (buf);
  if (n > AM_FRAME_PAYLOAD_MAX)
    return AM_E_TOO_LARGE;
  if (len - AM_FRAME_HEADER_SIZE < n)
    return AM_E_SHORT;
  crypto_generichash (mac, MAC_SIZE, buf + AM_FRAME_HEADER_SIZE, n, key,
                      AM_PEER_KEY_SIZE);
  if (sodium_memcmp (mac, buf + LENGTH_SIZE, MAC_SIZE) != 0)
    return AM_E_AUTH;
  *payload = buf + AM_FRAME_HEADER_SIZE;
  *payload_len = n;
  *used = AM_FRAME_HEADER_SIZE + n;
  return AM_OK;
}
