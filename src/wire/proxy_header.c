#include "wire/proxy_header.h"

#include <string.h>

#include "base/error.h"
#include "wire/bytes.h"

#define SIGNATURE_SIZE 12
#define FIXED_SIZE 16
#define IPV4_ADDRESSES_SIZE 12
#define VERSION_2_PROXY 0x21
#define VERSION_MASK 0xf0
#define VERSION_2 0x20
#define IPV4_DATAGRAM 0x12

static const uint8_t signature[SIGNATURE_SIZE] = { 0x0d, 0x0a, 0x0d, 0x0a,
                                                   0x00, 0x0d, 0x0a, 0x51,
                                                   0x55, 0x49, 0x54, 0x0a };

void
am_proxy_encode (const struct am_proxy_header *h, uint8_t *buf)
{
  memcpy (buf, signature, SIGNATURE_SIZE);
  buf[12] = VERSION_2_PROXY;
  buf[13] = IPV4_DATAGRAM;
  am_put_u16 (buf + 14, IPV4_ADDRESSES_SIZE);
  am_put_u32 (buf + 16, h->source.ip);
  am_put_u32 (buf + 20, h->destination.ip);
  am_put_u16 (buf + 24, h->source.port);
  am_put_u16 (buf + 26, h->destination.port);
}

int
am_proxy_decode (struct am_proxy_header *h, const uint8_t *buf, size_t len,
                 size_t *used)
{
  size_t body;

  if (len < FIXED_SIZE)
    return AM_E_SHORT;
  if (memcmp (buf, signature, SIGNATURE_SIZE) != 0)
    return AM_E_FORMAT;
  if ((buf[12] & VERSION_MASK) != VERSION_2)
    return AM_E_VERSION;
  if (buf[12] != VERSION_2_PROXY || buf[13] != IPV4_DATAGRAM)
    return AM_E_FORMAT;
  body = am_get_u16 (buf + 14);
  if (body < IPV4_ADDRESSES_SIZE)
    return AM_E_FORMAT;
  if (len - FIXED_SIZE < body)
    return AM_E_SHORT;
  h->source.ip = am_get_u32 (buf + 16);
  h->destination.ip = am_get_u32 (buf + 20);
  h->source.port = am_get_u16 (buf + 24);
  h->destination.port = am_get_u16 (buf + 26);
  *used = FIXED_SIZE + body;
  return AM_OK;
}
