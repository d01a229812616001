/* Decoded header of one packet from a caller to a target.

   Independent of the datagram format: the adapter parses a datagram into this
   structure and builds a reset from it.  The decision code uses no other
   form.  */

#ifndef AM_FLOW_PACKET_H
#define AM_FLOW_PACKET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/address.h"

struct am_packet
{
  struct am_address caller;
  struct am_address destination; /* address and port of a route */
  bool opens;                    /* SYN */
  bool acknowledges;             /* ACK: ack is valid */
  bool finishes;                 /* FIN */
  bool resets;                   /* RST */
  uint32_t ticket;               /* last one that the caller received on this
                                    flow; 0: none */
  uint32_t seq;                  /* of the first byte of the data */
  uint32_t ack;      /* next byte expected; of a SYN: retransmission
                        number, 0 for the first transmission */
  uint16_t data_len; /* bytes */
};

#endif
