/* Datagrams of one UDP port gathered for one system call.

   A system call for each datagram was the largest part of the forwarder's time
   a packet.  Datagrams wait at most until the loop polls again.  */

#ifndef AM_IO_UDP_BATCH_H
#define AM_IO_UDP_BATCH_H

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "base/address.h"
#include "io/udp_port.h"

#define AM_UDP_BATCH 64
#define AM_UDP_BATCH_DATAGRAM 2048

struct am_udp_batch
{
  struct am_udp_port *port; /* not owned */
  uv_prepare_t prepare;
  size_t count;
  size_t sizes[AM_UDP_BATCH];
  struct sockaddr_in to[AM_UDP_BATCH];
  uint8_t data[AM_UDP_BATCH][AM_UDP_BATCH_DATAGRAM];
};

/* Sets up B for PORT, which must be open, on LOOP.  Returns AM_OK or
   AM_E_IO.  */
int am_udp_batch_init (struct am_udp_batch *b, uv_loop_t *loop,
                       struct am_udp_port *port);

/* Returns room for one datagram of LEN bytes to TO, which the caller fills at
   once; a full batch is sent first.  NULL: LEN is too large.  */
uint8_t *am_udp_batch_room (struct am_udp_batch *b, struct am_address to,
                            size_t len);

/* Shortens the datagram last added to LEN bytes.  */
void am_udp_batch_cut (struct am_udp_batch *b, size_t len);

/* Adds one datagram (copied); a full batch is sent first.  Returns AM_OK or
   AM_E_TOO_LARGE.  */
int am_udp_batch_add (struct am_udp_batch *b, struct am_address to,
                      const void *data, size_t len);

/* Sends what was added.  What the socket does not take is dropped and counted
   in the port's send_drops.  */
void am_udp_batch_flush (struct am_udp_batch *b);

/* Sends what was added and closes B.  Its memory may be reused once the loop
   has run again.  */
void am_udp_batch_finish (struct am_udp_batch *b);

#endif
