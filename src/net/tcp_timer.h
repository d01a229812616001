/* A TCP handle with a timer: the two parts of a connection that are closed
   together.  */

#ifndef AM_NET_TCP_TIMER_H
#define AM_NET_TCP_TIMER_H

#include <uv.h>

struct am_tcp_timer
{
  uv_tcp_t tcp;     /* its data points to this */
  uv_timer_t timer; /* as above */
  unsigned open;    /* handles not closed yet */
  void (*closed) (struct am_tcp_timer *t);
};

void am_tcp_timer_init (struct am_tcp_timer *t, uv_loop_t *loop,
                        void (*closed) (struct am_tcp_timer *t));

/* Closes both handles; CLOSED is called once they are, and may free T.  */
void am_tcp_timer_close (struct am_tcp_timer *t);

/* Lends the room that all connections of the process read into: a read
   callback uses its bytes before it returns.  */
void am_tcp_timer_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf);

#endif
