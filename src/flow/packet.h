/* One packet between a caller and an upstream, as the entry VM sees it.

   The adapter fills it from the datagram and writes it back; the decisions
   know only this form.  */

#ifndef AM_FLOW_PACKET_H
#define AM_FLOW_PACKET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/address.h"

struct am_packet
{
  struct am_address caller;
  struct am_address route; /* address and port that the caller addresses */
  bool opens;              /* asks to open a flow */
  bool acknowledges;       /* ACK is valid */
  bool finishes;           /* the caller sends nothing after this */
  bool resets;
  uint32_t ticket;   /* last value received on this flow; 0: none */
  uint32_t seq;      /* of the first byte of the data */
  uint32_t ack;      /* next byte expected; of a SYN: number of the copy */
  uint16_t data_len; /* bytes */
};

#endif
