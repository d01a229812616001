/* Outgoing datagrams of one socket, handed to the system many at a time.

   Used where a stand-in carries tens of thousands of packets a second: one
   system call for each packet costs more than all other work.  */

#ifndef AM_STANDIN_BATCH_H
#define AM_STANDIN_BATCH_H

#include <netinet/in.h>
#include <sys/uio.h>
#include <uv.h>

#include "io/udp_port.h"

#define STANDIN_BATCH_MAX 64
#define STANDIN_BATCH_DATAGRAM 2048

struct standin_batch
{
  struct am_udp_port *port; /* not owned */
  uv_prepare_t prepare;
  unsigned count;
  uint64_t sent;
  uint64_t dropped; /* the socket did not take them */
  struct sockaddr_in to[STANDIN_BATCH_MAX];
  size_t len[STANDIN_BATCH_MAX];
  uint8_t data[STANDIN_BATCH_MAX][STANDIN_BATCH_DATAGRAM];
};

/* Sets up B for PORT; what was added is sent before the loop waits.  */
void standin_batch_init (struct standin_batch *b, uv_loop_t *loop,
                         struct am_udp_port *port);

/* Returns room for one datagram to TO, or NULL if LEN is too large.  The
   caller fills LEN bytes at once.  */
uint8_t *standin_batch_add (struct standin_batch *b, struct am_address to,
                            size_t len);

/* Sends what was added.  */
void standin_batch_flush (struct standin_batch *b);

#endif
