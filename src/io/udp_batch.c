#include "io/udp_batch.h"

#include <string.h>
#include <sys/socket.h>

#include "base/error.h"
#include "base/socket_address.h"

static void
on_prepare (uv_prepare_t *handle)
{
  am_udp_batch_flush (handle->data);
}

int
am_udp_batch_init (struct am_udp_batch *b, uv_loop_t *loop,
                   struct am_udp_port *port)
{
  b->port = port;
  b->count = 0;
  if (uv_prepare_init (loop, &b->prepare) != 0)
    return AM_E_IO;
  b->prepare.data = b;
  uv_prepare_start (&b->prepare, on_prepare);
  return AM_OK;
}

uint8_t *
am_udp_batch_room (struct am_udp_batch *b, struct am_address to, size_t len)
{
  struct sockaddr_in sa = am_address_to_socket (to);

  if (len > AM_UDP_BATCH_DATAGRAM)
    return NULL;
  if (b->count == AM_UDP_BATCH)
    am_udp_batch_flush (b);
  b->to[b->count] = sa;
  b->sizes[b->count] = len;
  return b->data[b->count++];
}

void
am_udp_batch_cut (struct am_udp_batch *b, size_t len)
{
  b->sizes[b->count - 1] = len;
}

int
am_udp_batch_add (struct am_udp_batch *b, struct am_address to,
                  const void *data, size_t len)
{
  uint8_t *room = am_udp_batch_room (b, to, len);

  if (!room)
    return AM_E_TOO_LARGE;
  memcpy (room, data, len);
  return AM_OK;
}

void
am_udp_batch_flush (struct am_udp_batch *b)
{
  struct mmsghdr messages[AM_UDP_BATCH];
  struct iovec vectors[AM_UDP_BATCH];
  size_t done = 0;

  memset (messages, 0, b->count * sizeof messages[0]);
  for (size_t i = 0; i < b->count; i++)
    {
      vectors[i].iov_base = b->data[i];
      vectors[i].iov_len = b->sizes[i];
      messages[i].msg_hdr.msg_iov = &vectors[i];
      messages[i].msg_hdr.msg_iovlen = 1;
      messages[i].msg_hdr.msg_name = &b->to[i];
      messages[i].msg_hdr.msg_namelen = sizeof b->to[i];
    }
  while (done < b->count)
    {
      int n = sendmmsg (b->port->fd, messages + done,
                        (unsigned)(b->count - done), MSG_DONTWAIT);

      if (n > 0)
        {
          done += (size_t)n;
          continue;
        }
      b->port->send_drops++;
      done++;
    }
  b->count = 0;
}

void
am_udp_batch_finish (struct am_udp_batch *b)
{
  am_udp_batch_flush (b);
  uv_prepare_stop (&b->prepare);
  uv_close ((uv_handle_t *)&b->prepare, NULL);
}
