/* Datagram between forwarders (peer port).

     offset size field
     0      1    version 1
     1      1    type (enum am_peer_type)
     2      2    reserved, zero
     4      4    id of the sending entry VM
     8      8    boot id of the sending forwarder
     16     4    service id, 0 if none
     20     16   keyed BLAKE2b under the peer key over bytes 0 to 19 and the
                 body
     36     n    body

   The body of AM_PEER_FORWARD is a datagram as it came from the fabric, PROXY
   header included.  */

#ifndef AM_WIRE_PEER_H
#define AM_WIRE_PEER_H

#include <stddef.h>
#include <stdint.h>

#define AM_PEER_VERSION 1
#define AM_PEER_HEADER_SIZE 36
#define AM_PEER_BODY_MAX 1436

enum am_peer_type
{
  AM_PEER_FORWARD = 1, /* caller's datagram for the issuer or owner */
  AM_PEER_CREDIT = 2,  /* borrow, lend, return: core/lending/quota.h */
  AM_PEER_BINDING = 3, /* message of the service's flow binding */
  AM_PEER_OWNER
  = 4, /* owner of ticketless requests: core/ownership/ticketless.h */
};

struct am_peer_header
{
  uint8_t type; /* enum am_peer_type */
  uint32_t sender_id;
  uint64_t sender_boot_id;
  uint32_t service_id;
};

/* Writes header, MAC and BODY to BUF of SIZE bytes and sets *LEN.  Returns
   AM_OK or AM_E_TOO_LARGE.  */
int am_peer_encode (const struct am_peer_header *h, const uint8_t *key,
                    const uint8_t *body, size_t body_len, uint8_t *buf,
                    size_t size, size_t *len);

/* Checks and reads a datagram; *BODY points into BUF.  Returns AM_OK,
   AM_E_SHORT, AM_E_VERSION, AM_E_FORMAT, AM_E_TOO_LARGE or AM_E_AUTH.  */
int am_peer_decode (struct am_peer_header *h, const uint8_t *key,
                    const uint8_t *buf, size_t len, const uint8_t **body,
                    size_t *body_len);

#endif
