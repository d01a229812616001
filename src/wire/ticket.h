/* Ticket: the binding of a flow or request, carried by every packet.

   AM_TICKET_SIZE bytes, big endian:

     offset size field
     0      1    version 1
     1      1    kind (enum am_open_kind)
     2      1    request class
     3      1    reserved, zero
     4      4    key id
     8      4    service id
     12     4    upstream id (zero in a request ticket)
     16     4    upstream incarnation (zero in a request ticket)
     20     4    issuer: id of the entry VM
     24     8    boot id of the issuing forwarder
     32     8    serial, unique within the boot id
     40     8    issue time, milliseconds of the issuer's monotonic clock
     48     16   keyed BLAKE2b over the fields above, the caller's IP address,
                 the service address and the connection id

   The caller's port is not part of the MAC, so that a caller may change it.
 */

#ifndef AM_WIRE_TICKET_H
#define AM_WIRE_TICKET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/address.h"
#include "wire/packet.h"

#define AM_TICKET_VERSION 1
#define AM_TICKET_KEY_SIZE 32
#define AM_TICKET_MAC_SIZE 16

struct am_ticket
{
  uint8_t kind; /* enum am_open_kind */
  uint8_t request_class;
  uint32_t key_id;
  uint32_t service_id;
  uint32_t upstream_id;
  uint32_t upstream_incarnation;
  uint32_t issuer_id;
  uint64_t issuer_boot_id;
  uint64_t serial;
  uint64_t issued_ms;
};

/* What the MAC binds a ticket to besides its own fields.  */
struct am_ticket_scope
{
  uint32_t caller_ip;
  struct am_address service;
  uint64_t connection_id;
};

/* Writes T with its MAC under KEY (AM_TICKET_KEY_SIZE bytes) to BUF
   (AM_TICKET_SIZE bytes).  */
void am_ticket_seal (const struct am_ticket *t,
                     const struct am_ticket_scope *scope, const uint8_t *key,
                     uint8_t *buf);

/* Reads the fields of a ticket without checking its MAC, to learn the key
   id.  Returns AM_OK, AM_E_VERSION or AM_E_FORMAT.  */
int am_ticket_peek (struct am_ticket *t, const uint8_t *buf);

/* Returns true if the tickets at A and B (AM_TICKET_SIZE bytes each) are the
   same.  Takes the same time wherever they differ.  */
bool am_ticket_equal (const uint8_t *a, const uint8_t *b);

/* Reads a ticket and checks its MAC under KEY.  Returns AM_OK, AM_E_VERSION,
   AM_E_FORMAT or AM_E_AUTH.  */
int am_ticket_open (struct am_ticket *t, const struct am_ticket_scope *scope,
                    const uint8_t *key, const uint8_t *buf);

#endif
