#include "net/tcp_timer.h"

#define READ_SIZE 65536

void
am_tcp_timer_init (struct am_tcp_timer *t, uv_loop_t *loop,
                   void (*closed) (struct am_tcp_timer *t))
{
  t->open = 2;
  t->closed = closed;
  uv_tcp_init (loop, &t->tcp);
  uv_timer_init (loop, &t->timer);
  t->tcp.data = t;
  t->timer.data = t;
}

static void
on_closed (uv_handle_t *handle)
{
  struct am_tcp_timer *t = handle->data;

  if (--t->open == 0)
    t->closed (t);
}

void
am_tcp_timer_close (struct am_tcp_timer *t)
{
  uv_close ((uv_handle_t *)&t->tcp, on_closed);
  uv_close ((uv_handle_t *)&t->timer, on_closed);
}

void
am_tcp_timer_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  static char room[READ_SIZE];

  (void)handle;
  (void)size;
  *buf = uv_buf_init (room, sizeof room);
}
