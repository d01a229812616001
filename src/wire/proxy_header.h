/* PROXY protocol version 2 header for one IPv4 datagram.

   It precedes every datagram between fabric, forwarder and upstream and
   carries the two ends of the flow, so that no hop needs flow state.
   Source: "The PROXY protocol, versions 1 & 2", section 2.2.  */

#ifndef AM_WIRE_PROXY_HEADER_H
#define AM_WIRE_PROXY_HEADER_H

#include <stddef.h>
#include <stdint.h>

#include "base/address.h"

/* Size in bytes of the header that am_proxy_encode writes.  */
#define AM_PROXY_HEADER_SIZE 28

struct am_proxy_header
{
  struct am_address source;
  struct am_address destination;
};

/* Writes H to BUF, which holds at least AM_PROXY_HEADER_SIZE bytes.  */
void am_proxy_encode (const struct am_proxy_header *h, uint8_t *buf);

/* Reads a header from the LEN bytes at BUF.  Sets *USED to its size, any
   type-length-value fields included.  Returns AM_OK, AM_E_SHORT, AM_E_FORMAT
   or AM_E_VERSION.  */
int am_proxy_decode (struct am_proxy_header *h, const uint8_t *buf, size_t len,
                     size_t *used);

#endif
