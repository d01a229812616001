#include "net/http_server.h"

#include <http_parser.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/socket_address.h"
#include "net/tcp_timer.h"

#define HEAD_SIZE 160
/* When the queue of new connections is full, the SYN of a client is dropped,
   and it sends another only a second later.  */
#define BACKLOG 256

struct connection
{
  struct am_list node; /* in am_http_server.connections */
  struct am_http_server *server;
  struct am_tcp_timer end;
  bool closing;
  bool is_get;
  http_parser parser;
  char path[AM_HTTP_PATH_SIZE];
  size_t path_len;
};

/* One answer on its way.  */
struct sending
{
  uv_write_t write;
  struct connection *connection;
  bool last;
  uint8_t *body; /* owned */
  char head[HEAD_SIZE];
};

static struct connection *
connection_of (struct am_tcp_timer *end)
{
  return am_container_of (end, struct connection, end);
}

static void
on_closed (struct am_tcp_timer *end)
{
  free (connection_of (end));
}

static void
close_connection (struct connection *n)
{
  if (n->closing)
    return;
  n->closing = true;
  am_list_remove (&n->node);
  n->server->connection_count--;
  am_tcp_timer_close (&n->end);
}

static void
on_idle (uv_timer_t *timer)
{
  close_connection (connection_of (timer->data));
}

/* ---- answer ------------------------------------------------------- */

static void
on_written (uv_write_t *write, int status)
{
  struct sending *s = write->data;
  struct connection *n = s->connection;

  if (status < 0 || s->last)
    close_connection (n);
  free (s->body);
  free (s);
}

static const char *
reason (int status)
{
  switch (status)
    {
    case 200:
      return "OK";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    default:
      return "Service Unavailable";
    }
}

/* Sends R and takes its body.  */
static void
send_reply (struct connection *n, struct am_http_reply *r, bool last)
{
  struct sending *s = calloc (1, sizeof *s);
  uv_buf_t bufs[2];
  int len;

  if (!s)
    {
      free (r->body);
      close_connection (n);
      return;
    }
  s->write.data = s;
  s->connection = n;
  s->last = last;
  s->body = r->body;
  len = snprintf (s->head, sizeof s->head,
                  "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n%s\r\n", r->status,
                  reason (r->status), r->body_len,
                  last ? "Connection: close\r\n" : "");
  bufs[0] = uv_buf_init (s->head, (unsigned)len);
  bufs[1] = uv_buf_init ((char *)r->body, (unsigned)r->body_len);
  if (uv_write (&s->write, (uv_stream_t *)&n->end.tcp, bufs,
                r->body_len ? 2 : 1, on_written))
    {
      free (s->body);
      free (s);
      close_connection (n);
    }
}

/* ---- request ------------------------------------------------------ */

static int
on_message_begin (http_parser *p)
{
  struct connection *n = p->data;

  n->path_len = 0;
  return 0;
}

static int
on_url (http_parser *p, const char *data, size_t len)
{
  struct connection *n = p->data;

  if (n->path_len + len >= sizeof n->path)
    return 1;
  memcpy (n->path + n->path_len, data, len);
  n->path_len += len;
  n->path[n->path_len] = '\0';
  return 0;
}

static int
on_message_complete (http_parser *p)
{
  struct connection *n = p->data;
  struct am_http_server *s = n->server;
  struct am_http_reply r = { .status = 405 };

  if (n->closing)
    return 1;
  if (p->method == HTTP_GET)
    s->handler (s->userdata, n->path, &r);
  uv_timer_again (&n->end.timer);
  send_reply (n, &r, !http_should_keep_alive (p));
  return 0;
}

static const http_parser_settings parser_settings
    = { .on_message_begin = on_message_begin,
        .on_url = on_url,
        .on_message_complete = on_message_complete };

static void
on_read (uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
  struct connection *n = connection_of (stream->data);
  size_t used;

  if (len == 0 || n->closing)
    return;
  if (len < 0)
    {
      close_connection (n);
      return;
    }
  used = http_parser_execute (&n->parser, &parser_settings, buf->base,
                              (size_t)len);
  if (used != (size_t)len)
    close_connection (n);
}

static void
on_connection (uv_stream_t *stream, int status)
{
  struct am_http_server *s = stream->data;
  struct connection *n;

  if (status < 0)
    return;
  n = calloc (1, sizeof *n);
  if (!n)
    return;
  n->server = s;
  am_tcp_timer_init (&n->end, s->loop, on_closed);
  am_list_push_back (&s->connections, &n->node);
  s->connection_count++;
  http_parser_init (&n->parser, HTTP_REQUEST);
  n->parser.data = n;
  if (uv_accept (stream, (uv_stream_t *)&n->end.tcp)
      || s->connection_count > AM_HTTP_SERVER_CONNECTIONS
      || uv_read_start ((uv_stream_t *)&n->end.tcp, am_tcp_timer_alloc,
                        on_read))
    {
      close_connection (n);
      return;
    }
  uv_tcp_nodelay (&n->end.tcp, 1);
  uv_timer_start (&n->end.timer, on_idle, AM_HTTP_SERVER_IDLE_MS,
                  AM_HTTP_SERVER_IDLE_MS);
}

int
am_http_server_open (struct am_http_server *s, uv_loop_t *loop,
                     struct am_address address, am_http_handler handler,
                     void *userdata)
{
  struct sockaddr_in sa = am_address_to_socket (address);
  int err;

  memset (s, 0, sizeof *s);
  s->loop = loop;
  s->handler = handler;
  s->userdata = userdata;
  am_list_init (&s->connections);
  if (uv_tcp_init (loop, &s->tcp))
    return AM_E_IO;
  s->tcp.data = s;
  err = uv_tcp_bind (&s->tcp, (const struct sockaddr *)&sa, 0);
  if (!err)
    err = uv_listen ((uv_stream_t *)&s->tcp, BACKLOG, on_connection);
  if (!err)
    return AM_OK;
  uv_close ((uv_handle_t *)&s->tcp, NULL);
  return err == UV_EADDRINUSE ? AM_E_EXISTS : AM_E_IO;
}

void
am_http_server_close (struct am_http_server *s)
{
  am_list_each_safe (n, next, &s->connections, struct connection, node)
      close_connection (n);
  uv_close ((uv_handle_t *)&s->tcp, NULL);
}
