/* IPv4 address and port in host byte order.  */

#ifndef AM_BASE_ADDRESS_H
#define AM_BASE_ADDRESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct am_address
{
  uint32_t ip;   /* host byte order */
  uint16_t port; /* host byte order */
};

/* Enough for "255.255.255.255:65535" and the final NUL.  */
#define AM_ADDRESS_TEXT_SIZE 22

static inline bool
am_address_equal (struct am_address a, struct am_address b)
{
  return a.ip == b.ip && a.port == b.port;
}

/* Packs A into one integer, for use as a key.  */
static inline uint64_t
am_address_key (struct am_address a)
{
  return (uint64_t)a.ip << 16 | a.port;
}

/* Parses "A.B.C.D:PORT" into A.  Returns AM_OK or AM_E_FORMAT.  */
int am_address_parse (struct am_address *a, const char *text);

/* Writes A as "A.B.C.D:PORT" to BUF (at least AM_ADDRESS_TEXT_SIZE bytes) and
   returns BUF.  */
char *am_address_format (struct am_address a, char *buf);

#endif
