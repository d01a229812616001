#include "standin_batch.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>

static void
on_prepare (uv_prepare_t *handle)
{
  standin_batch_flush (handle->data);
}

void
standin_batch_init (struct standin_batch *b, uv_loop_t *loop,
                    struct am_udp_port *port)
{
  b->port = port;
  b->count = 0;
  b->sent = 0;
  b->dropped = 0;
  uv_prepare_init (loop, &b->prepare);
  b->prepare.data = b;
  uv_prepare_start (&b->prepare, on_prepare);
}

uint8_t *
standin_batch_add (struct standin_batch *b, struct am_address to, size_t len)
{
  struct sockaddr_in sa = { .sin_family = AF_INET,
                            .sin_port = htons (to.port),
                            .sin_addr = { htonl (to.ip) } };

  if (len > STANDIN_BATCH_DATAGRAM)
    return NULL;
  if (b->count == STANDIN_BATCH_MAX)
    standin_batch_flush (b);
  b->to[b->count] = sa;
  b->len[b->count] = len;
  return b->data[b->count++];
}

void
standin_batch_flush (struct standin_batch *b)
{
  struct mmsghdr messages[STANDIN_BATCH_MAX];
  struct iovec vectors[STANDIN_BATCH_MAX];
  unsigned done = 0;

  if (!b->count)
    return;
  memset (messages, 0, b->count * sizeof *messages);
  for (unsigned i = 0; i < b->count; i++)
    {
      vectors[i].iov_base = b->data[i];
      vectors[i].iov_len = b->len[i];
      messages[i].msg_hdr.msg_iov = &vectors[i];
      messages[i].msg_hdr.msg_iovlen = 1;
      messages[i].msg_hdr.msg_name = &b->to[i];
      messages[i].msg_hdr.msg_namelen = sizeof b->to[i];
    }
  while (done < b->count)
    {
      int n = sendmmsg (b->port->fd, messages + done, b->count - done,
                        MSG_DONTWAIT);

      if (n > 0)
        {
          b->sent += (unsigned)n;
          done += (unsigned)n;
        }
      else
        {
          b->dropped++;
          done++;
        }
    }
  b->count = 0;
}
