/* Decoded header of one packet from a caller to an upstream.

   Independent of the datagram format: the adapter parses a datagram into this
   structure and encodes a reply from it.  The decision code uses no other
   form.  */

#ifndef AM_FLOW_PACKET_H
#define AM_FLOW_PACKET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/address.h"

struct am_packet
{
  struct am_address caller;
  struct am_address route; /* destination address and port */
  bool opens;              /* SYN */
  bool acknowledges;       /* ACK: ack is valid */
  bool finishes;           /* FIN */
  bool resets;             /* RST */
  uint32_t ticket;         /* last value received on this flow; 0: none */
  uint32_t seq;            /* of the first byte of the data */
  uint32_t ack;            /* next byte expected; of a SYN: number of the
                              retransmission, 0 for the first transmission */
  uint16_t data_len;       /* bytes */
};

#endif
