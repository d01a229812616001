#include "io/udp_port.h"

#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/error.h"
#include "base/socket_address.h"

#define DATAGRAM_SIZE 2048

/* One system call takes up to this many datagrams; more would delay the
   loop's other handles.  */
#define BATCH 32

/* Bursts of many callers overflow the default buffer of 208 KiB.  */
#define SOCKET_BUFFER_BYTES (4 << 20)

static void
on_readable (uv_poll_t *handle, int status, int events)
{
  struct am_udp_port *p = handle->data;
  static _Thread_local uint8_t buffers[BATCH][DATAGRAM_SIZE];
  struct mmsghdr messages[BATCH];
  struct iovec vectors[BATCH];
  struct sockaddr_in senders[BATCH];
  int n;

  (void)events;
  if (status < 0)
    return;
  memset (messages, 0, sizeof messages);
  for (int i = 0; i < BATCH; i++)
    {
      vectors[i].iov_base = buffers[i];
      vectors[i].iov_len = DATAGRAM_SIZE;
      messages[i].msg_hdr.msg_iov = &vectors[i];
      messages[i].msg_hdr.msg_iovlen = 1;
      messages[i].msg_hdr.msg_name = &senders[i];
      messages[i].msg_hdr.msg_namelen = sizeof senders[i];
    }
  n = recvmmsg (p->fd, messages, BATCH, MSG_DONTWAIT, NULL);
  for (int i = 0; i < n && p->fd >= 0; i++)
    p->receive (p->userdata, am_address_from_socket (&senders[i]), buffers[i],
                messages[i].msg_len);
}

int
am_udp_open (struct am_udp_port *p, uv_loop_t *loop, struct am_address address,
             am_udp_receive receive, void *userdata)
{
  struct sockaddr_in sa = am_address_to_socket (address);
  int size = SOCKET_BUFFER_BYTES;

  memset (p, 0, sizeof *p);
  p->receive = receive;
  p->userdata = userdata;
  p->fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (p->fd < 0)
    return AM_E_IO;
  setsockopt (p->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  setsockopt (p->fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
  if (bind (p->fd, (struct sockaddr *)&sa, sizeof sa) != 0)
    {
      int err = errno == EADDRINUSE ? AM_E_EXISTS : AM_E_IO;

      close (p->fd);
      p->fd = -1;
      return err;
    }
  if (uv_poll_init (loop, &p->poll, p->fd) != 0)
    {
      close (p->fd);
      p->fd = -1;
      return AM_E_IO;
    }
  p->poll.data = p;
  uv_poll_start (&p->poll, UV_READABLE, on_readable);
  return AM_OK;
}

int
am_udp_send (struct am_udp_port *p, struct am_address to, const void *data,
             size_t len)
{
  struct sockaddr_in sa = am_address_to_socket (to);

  if (sendto (p->fd, data, len, MSG_DONTWAIT, (struct sockaddr *)&sa,
              sizeof sa)
      < 0)
    {
      p->send_drops++;
      return AM_E_IO;
    }
  return AM_OK;
}

void
am_udp_pause (struct am_udp_port *p)
{
  uv_poll_stop (&p->poll);
}

void
am_udp_resume (struct am_udp_port *p)
{
  uv_poll_start (&p->poll, UV_READABLE, on_readable);
}

struct am_address
am_udp_address (const struct am_udp_port *p)
{
  struct sockaddr_in sa = { 0 };
  socklen_t len = sizeof sa;

  getsockname (p->fd, (struct sockaddr *)&sa, &len);
  return am_address_from_socket (&sa);
}

void
am_udp_close (struct am_udp_port *p)
{
  if (p->fd < 0)
    return;
  uv_poll_stop (&p->poll);
  uv_close ((uv_handle_t *)&p->poll, NULL);
  close (p->fd);
  p->fd = -1;
}
