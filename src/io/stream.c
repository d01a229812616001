#include "io/stream.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/socket_address.h"
#include "wire/bytes.h"
#include "wire/frame.h"
#include "wire/packet.h"

#define BACKLOG 512
#define BUFFER_START 4096
#define SEND_QUEUE_MAX (16u << 20)
#define STREAMS_MAX_DEFAULT 4096

struct write
{
  uv_write_t request;
  uint8_t data[];
};

struct connect
{
  uv_connect_t request;
};

static size_t
seal_frame (const uint8_t *key, const uint8_t *message, size_t len,
            uint8_t *header)
{
  am_frame_seal (key, message, len, header);
  return AM_FRAME_HEADER_SIZE;
}

static size_t
seal_packet (const uint8_t *key, const uint8_t *message, size_t len,
             uint8_t *header)
{
  (void)key;
  (void)message;
  am_put_u32 (header, (uint32_t)len);
  return AM_STREAM_PREFIX_SIZE;
}

static int
split_packet (const uint8_t *key, const uint8_t *buf, size_t len,
              const uint8_t **message, size_t *message_len, size_t *used)
{
  (void)key;
  return am_stream_split (buf, len, message, message_len, used);
}

const struct am_stream_format am_stream_frames = { am_frame_open, seal_frame };
const struct am_stream_format am_stream_packets
    = { split_packet, seal_packet };

static void
on_closed (uv_handle_t *handle)
{
  struct am_stream *s = handle->data;

  s->callbacks.closed (s->userdata, s, s->error);
  free (s->buffer);
  free (s);
}

static void
fail (struct am_stream *s, int error)
{
  if (s->closing)
    return;
  s->error = error;
  am_stream_close (s);
}

void
am_stream_close (struct am_stream *s)
{
  if (s->closing)
    return;
  s->closing = true;
  uv_close ((uv_handle_t *)&s->tcp, on_closed);
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  struct am_stream *s = handle->data;

  (void)suggested;
  if (s->size - s->used < BUFFER_START / 2)
    {
      size_t size = s->size ? s->size * 2 : BUFFER_START;
      uint8_t *grown = realloc (s->buffer, size);

      if (grown)
        {
          s->buffer = grown;
          s->size = size;
        }
    }
  *buf = uv_buf_init ((char *)s->buffer + s->used,
                      (unsigned)(s->size - s->used));
}

/* Hands out every whole message in the buffer.  */
static void
take_messages (struct am_stream *s)
{
  size_t taken = 0;

  while (!s->closing)
    {
      const uint8_t *message;
      size_t len;
      size_t used;
      int err = s->format->split (s->key, s->buffer + taken, s->used - taken,
                                  &message, &len, &used);

      if (err == AM_E_SHORT)
        break;
      if (err)
        {
          fail (s, err);
          return;
        }
      s->callbacks.message (s->userdata, s, message, len);
      taken += used;
    }
  memmove (s->buffer, s->buffer + taken, s->used - taken);
  s->used -= taken;
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  struct am_stream *s = stream->data;

  (void)buf;
  if (n == 0 || s->closing)
    return;
  if (n < 0)
    {
      fail (s, n == UV_EOF ? AM_OK : AM_E_CONNECTION);
      return;
    }
  s->used += (size_t)n;
  take_messages (s);
}

static struct am_stream *
stream_new (uv_loop_t *loop, const struct am_stream_format *format,
            const uint8_t *key, const struct am_stream_callbacks *callbacks,
            void *userdata)
{
  struct am_stream *s = calloc (1, sizeof *s);

  if (!s)
    return NULL;
  am_list_init (&s->node);
  s->format = format;
  s->key = key;
  s->callbacks = *callbacks;
  s->userdata = userdata;
  uv_tcp_init (loop, &s->tcp);
  s->tcp.data = s;
  return s;
}

static void
start (struct am_stream *s)
{
  s->established = true;
  uv_tcp_nodelay (&s->tcp, 1);
  if (uv_read_start ((uv_stream_t *)&s->tcp, on_alloc, on_read) != 0)
    fail (s, AM_E_CONNECTION);
}

static void
on_connection (uv_stream_t *server, int status)
{
  struct am_listener *l = server->data;
  struct am_stream *s;

  if (status < 0)
    return;
  s = stream_new (l->tcp.loop, l->format, l->key, &l->callbacks, l->userdata);
  if (!s)
    return;
  if (uv_accept (server, (uv_stream_t *)&s->tcp) != 0)
    {
      fail (s, AM_E_CONNECTION);
      return;
    }
  start (s);
  if (s->callbacks.connected && !s->closing)
    s->callbacks.connected (s->userdata, s);
}

int
am_listener_open (struct am_listener *l, uv_loop_t *loop,
                  struct am_address address,
                  const struct am_stream_format *format, const uint8_t *key,
                  const struct am_stream_callbacks *callbacks, void *userdata)
{
  struct sockaddr_in sa = am_address_to_socket (address);
  int err;

  memset (l, 0, sizeof *l);
  l->format = format;
  l->key = key;
  l->callbacks = *callbacks;
  l->userdata = userdata;
  l->streams_max = STREAMS_MAX_DEFAULT;
  uv_tcp_init (loop, &l->tcp);
  l->tcp.data = l;
  err = uv_tcp_bind (&l->tcp, (const struct sockaddr *)&sa, 0);
  if (!err)
    err = uv_listen ((uv_stream_t *)&l->tcp, BACKLOG, on_connection);
  if (err)
    {
      uv_close ((uv_handle_t *)&l->tcp, NULL);
      return err == UV_EADDRINUSE ? AM_E_EXISTS : AM_E_IO;
    }
  return AM_OK;
}

void
am_listener_close (struct am_listener *l)
{
  if (!uv_is_closing ((uv_handle_t *)&l->tcp))
    uv_close ((uv_handle_t *)&l->tcp, NULL);
}

static void
on_connected (uv_connect_t *request, int status)
{
  struct am_stream *s = request->data;

  free (request);
  if (s->closing)
    return;
  if (status < 0)
    {
      fail (s, AM_E_CONNECTION);
      return;
    }
  start (s);
  if (s->callbacks.connected && !s->closing)
    s->callbacks.connected (s->userdata, s);
}

struct am_stream *
am_stream_connect (uv_loop_t *loop, struct am_address address,
                   const struct am_stream_format *format, const uint8_t *key,
                   const struct am_stream_callbacks *callbacks, void *userdata)
{
  struct sockaddr_in sa = am_address_to_socket (address);
  struct am_stream *s = stream_new (loop, format, key, callbacks, userdata);
  uv_connect_t *request = malloc (sizeof *request);

  if (!s || !request)
    {
      free (request);
      if (s)
        fail (s, AM_E_MEMORY);
      return NULL;
    }
  request->data = s;
  if (uv_tcp_connect (request, &s->tcp, (const struct sockaddr *)&sa,
                      on_connected)
      != 0)
    {
      free (request);
      fail (s, AM_E_CONNECTION);
      return NULL;
    }
  return s;
}

static void
on_written (uv_write_t *request, int status)
{
  struct am_stream *s = request->data;

  free (request);
  if (status < 0 && status != UV_ECANCELED)
    fail (s, AM_E_CONNECTION);
}

int
am_stream_send (struct am_stream *s, const uint8_t *data, size_t len)
{
  struct write *w;
  uv_buf_t buf;
  size_t header;

  if (s->closing)
    return AM_E_CONNECTION;
  if (s->tcp.write_queue_size + len > SEND_QUEUE_MAX)
    return AM_E_LIMIT;
  w = malloc (sizeof *w + AM_FRAME_HEADER_SIZE + len);
  if (!w)
    return AM_E_MEMORY;
  header = s->format->seal (s->key, data, len, w->data);
  if (len)
    memcpy (w->data + header, data, len);
  w->request.data = s;
  buf = uv_buf_init ((char *)w->data, (unsigned)(header + len));
  if (uv_write (&w->request, (uv_stream_t *)&s->tcp, &buf, 1, on_written) != 0)
    {
      free (w);
      fail (s, AM_E_CONNECTION);
      return AM_E_CONNECTION;
    }
  return AM_OK;
}
