/* UDP socket on a libuv loop.  */

#ifndef AM_IO_UDP_PORT_H
#define AM_IO_UDP_PORT_H

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "base/address.h"

/* Called for each datagram; DATA is valid during the call.  */
typedef void (*am_udp_receive) (void *userdata, struct am_address from,
                                const uint8_t *data, size_t len);

struct am_udp_port
{
  uv_poll_t poll;
  int fd;
  am_udp_receive receive;
  void *userdata;
  uint64_t send_drops; /* datagrams that the socket did not take */
};

/* Binds P to ADDRESS and starts to receive.  The receive callback runs on
   LOOP's thread.  Returns AM_OK, AM_E_IO, or AM_E_EXISTS if the address is in
   use.  */
int am_udp_open (struct am_udp_port *p, uv_loop_t *loop,
                 struct am_address address, am_udp_receive receive,
                 void *userdata);

/* Sends one datagram without blocking.  A full socket drops it.  Returns
   AM_OK or AM_E_IO.  */
int am_udp_send (struct am_udp_port *p, struct am_address to, const void *data,
                 size_t len);

/* Stop and go on receiving.  Datagrams wait in the socket meanwhile.  */
void am_udp_pause (struct am_udp_port *p);
void am_udp_resume (struct am_udp_port *p);

/* Returns the bound address.  */
struct am_address am_udp_address (const struct am_udp_port *p);

/* Closes P.  Its memory may be reused once the loop has run again.  */
void am_udp_close (struct am_udp_port *p);

#endif
