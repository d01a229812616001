#include "net/http_client.h"

#include <http_parser.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/error.h"
#include "base/list.h"
#include "base/socket_address.h"
#include "net/tcp_timer.h"

/* In place of the name or value of a header that is too long; part of none
   that is looked for.  */
#define TOO_LONG "?"

/* Room for a request with its headers.  */
#define REQUEST_SIZE (AM_HTTP_PATH_SIZE + AM_HTTP_SENT_BODY_MAX + 256)

/* A connection frees itself once its handles are closed, so that a client can
   drop it at any time.  */
struct am_http_connection
{
  struct am_tcp_timer end;
  uv_connect_t connect;
  uv_write_t write;
  struct am_http_client *client; /* NULL once dropped */
  bool connected;
  char request[REQUEST_SIZE];
  size_t request_len;
  http_parser parser;
  uint8_t *body; /* owned */
  size_t body_len;
  size_t body_size;
  char field[AM_HTTP_HEADER_SIZE]; /* name of the header being read */
  char value[AM_HTTP_HEADER_SIZE]; /* of the header that is looked for */
  bool in_value;
  bool has_value;
  struct am_http_limits limits;
  uint64_t end_ms; /* of the loop's clock; the answer must be there then */
  int error;
  bool begun;
  bool complete;
  bool reusable; /* for another call */
};

static struct am_http_connection *
connection_of (struct am_tcp_timer *end)
{
  return am_container_of (end, struct am_http_connection, end);
}

static void
on_closed (struct am_tcp_timer *end)
{
  struct am_http_connection *n = connection_of (end);

  free (n->body);
  free (n);
}

static void
drop (struct am_http_client *c)
{
  struct am_http_connection *n = c->connection;

  if (!n)
    return;
  c->connection = NULL;
  n->client = NULL;
  am_tcp_timer_close (&n->end);
}

void
am_http_client_init (struct am_http_client *c, uv_loop_t *loop,
                     struct am_address server)
{
  memset (c, 0, sizeof *c);
  c->loop = loop;
  c->server = server;
}

void
am_http_client_reset (struct am_http_client *c)
{
  c->done = NULL;
  drop (c);
}

bool
am_http_client_busy (const struct am_http_client *c)
{
  return c->done != NULL;
}

bool
am_http_client_connecting (const struct am_http_client *c)
{
  return c->done && c->connection && !c->connection->connected;
}

/* Ends the call of C.  The connection outlives the callback, which may begin
   another call.  */
static void
finish (struct am_http_client *c, const struct am_http_answer *a)
{
  am_http_done done = c->done;

  c->done = NULL;
  if (done)
    done (c->userdata, a);
}

static void
fail (struct am_http_connection *n, int error)
{
  struct am_http_client *c = n->client;
  struct am_http_answer a = { .error = error, .begun = n->begun };

  if (!c)
    return;
  drop (c);
  finish (c, &a);
}

/* ---- parser ------------------------------------------------------- */

static int
reserve_body (struct am_http_connection *n, size_t len)
{
  size_t size = n->body_size ? n->body_size : 4096;
  uint8_t *grown;

  while (size < len)
    size *= 2;
  if (size == n->body_size)
    return AM_OK;
  grown = realloc (n->body, size);
  if (!grown)
    return AM_E_MEMORY;
  n->body = grown;
  n->body_size = size;
  return AM_OK;
}

/* Appends LEN bytes of DATA to the text OUT of AM_HTTP_HEADER_SIZE.  If they
   do not fit, OUT becomes TOO_LONG, with which whatever follows begins.  */
static void
append_text (char *out, const char *data, size_t len)
{
  size_t n = strlen (out);

  if (n + len >= AM_HTTP_HEADER_SIZE || memchr (data, '\0', len))
    {
      memcpy (out, TOO_LONG, sizeof TOO_LONG);
      return;
    }
  memcpy (out + n, data, len);
  out[n + len] = '\0';
}

static int
on_header_field (http_parser *p, const char *data, size_t len)
{
  struct am_http_connection *n = p->data;

  if (n->in_value)
    n->field[0] = '\0';
  n->in_value = false;
  append_text (n->field, data, len);
  return 0;
}

static int
on_header_value (http_parser *p, const char *data, size_t len)
{
  struct am_http_connection *n = p->data;
  const char *wanted = n->client ? n->client->header : NULL;

  if (!wanted || strcasecmp (n->field, wanted) != 0)
    {
      n->in_value = true;
      return 0;
    }
  if (!n->in_value)
    n->value[0] = '\0';
  n->in_value = true;
  n->has_value = true;
  append_text (n->value, data, len);
  return 0;
}

static int
on_headers_complete (http_parser *p)
{
  struct am_http_connection *n = p->data;
  bool stated = p->content_length != ULLONG_MAX;

  if (!stated || p->content_length <= n->limits.body_max)
    return 0;
  n->error = AM_E_TOO_LARGE;
  return -1;
}

static int
on_body (http_parser *p, const char *data, size_t len)
{
  struct am_http_connection *n = p->data;

  if (n->body_len + len > n->limits.body_max)
    n->error = AM_E_TOO_LARGE;
  else
    n->error = reserve_body (n, n->body_len + len + 1);
  if (n->error)
    return 1;
  memcpy (n->body + n->body_len, data, len);
  n->body_len += len;
  n->body[n->body_len] = '\0';
  return 0;
}

static int
on_message_complete (http_parser *p)
{
  struct am_http_connection *n = p->data;

  n->complete = true;
  http_parser_pause (p, 1);
  return 0;
}

static const http_parser_settings parser_settings
    = { .on_header_field = on_header_field,
        .on_header_value = on_header_value,
        .on_headers_complete = on_headers_complete,
        .on_body = on_body,
        .on_message_complete = on_message_complete };

/* The whole answer is here.  */
static void
deliver (struct am_http_connection *n)
{
  struct am_http_client *c = n->client;
  struct am_http_answer a
      = { .begun = true,
          .status = (int)n->parser.status_code,
          .body = n->body_len ? n->body : (const uint8_t *)"",
          .body_len = n->body_len,
          .header = n->has_value ? n->value : NULL };
  uint8_t *body = n->body;

  uv_timer_stop (&n->end.timer);
  n->body = NULL;
  n->body_size = 0;
  if (!n->reusable || !http_should_keep_alive (&n->parser))
    drop (c);
  finish (c, &a);
  free (body);
}

static void
parse (struct am_http_connection *n, const char *data, size_t len)
{
  size_t used = http_parser_execute (&n->parser, &parser_settings, data, len);

  /* Bytes after the answer, such as a second copy of it, would be read as the
     answer to the next call.  */
  n->reusable = used == len;
  if (n->complete)
    deliver (n);
  else if (used != len || HTTP_PARSER_ERRNO (&n->parser) != HPE_OK)
    fail (n, n->error ? n->error : AM_E_FORMAT);
}

/* ---- connection --------------------------------------------------- */

static void
on_timeout (uv_timer_t *timer)
{
  struct am_http_connection *n = connection_of (timer->data);

  fail (n, AM_E_TIMEOUT);
}

/* Gives the call of N another WAIT_MS, but not more than is left of its whole
   time.  */
static void
restart_timer (struct am_http_connection *n, uint32_t wait_ms)
{
  uint64_t now_ms = uv_now (n->end.timer.loop);
  uint64_t left_ms = n->end_ms > now_ms ? n->end_ms - now_ms : 0;

  uv_timer_start (&n->end.timer, on_timeout,
                  wait_ms < left_ms ? wait_ms : left_ms, 0);
}

static void
on_read (uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
  struct am_http_connection *n = connection_of (stream->data);

  if (!n->client || len == 0)
    return;
  if (len < 0 || !am_http_client_busy (n->client))
    {
      fail (n, AM_E_CONNECTION);
      return;
    }
  n->begun = true;
  restart_timer (n, n->limits.stall_ms);
  parse (n, buf->base, (size_t)len);
}

static void
on_written (uv_write_t *write, int status)
{
  struct am_http_connection *n = write->data;

  if (status < 0)
    fail (n, AM_E_CONNECTION);
}

static void
send_request (struct am_http_connection *n)
{
  uv_buf_t buf = uv_buf_init (n->request, (unsigned)n->request_len);

  n->write.data = n;
  if (uv_write (&n->write, (uv_stream_t *)&n->end.tcp, &buf, 1, on_written))
    fail (n, AM_E_CONNECTION);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  struct am_http_connection *n = connect->data;

  if (!n->client)
    return;
  if (status < 0
      || uv_read_start ((uv_stream_t *)&n->end.tcp, am_tcp_timer_alloc,
                        on_read))
    {
      fail (n, AM_E_CONNECTION);
      return;
    }
  n->connected = true;
  uv_tcp_nodelay (&n->end.tcp, 1);
  send_request (n);
}

static struct am_http_connection *
connection_new (struct am_http_client *c)
{
  struct am_http_connection *n = calloc (1, sizeof *n);

  if (!n)
    return NULL;
  n->client = c;
  am_tcp_timer_init (&n->end, c->loop, on_closed);
  n->connect.data = n;
  return n;
}

static int
connect_to (struct am_http_connection *n, struct am_address server)
{
  struct sockaddr_in sa = am_address_to_socket (server);

  if (uv_tcp_connect (&n->connect, &n->end.tcp, (const struct sockaddr *)&sa,
                      on_connected))
    return AM_E_CONNECTION;
  return AM_OK;
}

/* Prepares N for the next answer.  */
static void
begin_answer (struct am_http_connection *n)
{
  http_parser_init (&n->parser, HTTP_RESPONSE);
  n->parser.data = n;
  n->body_len = 0;
  n->error = AM_OK;
  n->field[0] = '\0';
  n->value[0] = '\0';
  n->in_value = false;
  n->has_value = false;
  n->begun = false;
  n->complete = false;
}

/* Prepares C for a call.  Returns AM_OK, AM_E_STATE or AM_E_MEMORY.  */
static int
begin_call (struct am_http_client *c)
{
  if (c->done)
    return AM_E_STATE;
  if (!c->connection)
    c->connection = connection_new (c);
  if (!c->connection)
    return AM_E_MEMORY;
  begin_answer (c->connection);
  return AM_OK;
}

/* Sends the request that C's connection holds.  */
static void
start_call (struct am_http_client *c, const struct am_http_limits *limits,
            am_http_done done, void *userdata)
{
  struct am_http_connection *n = c->connection;

  c->done = done;
  c->userdata = userdata;
  n->limits = *limits;
  n->end_ms = uv_now (c->loop) + limits->total_ms;
  restart_timer (n, limits->begin_ms);
  if (n->connected)
    send_request (n);
  else if (connect_to (n, c->server))
    uv_timer_start (&n->end.timer, on_timeout, 0, 0);
}

static struct am_http_limits
limits_of_timeout (uint32_t timeout_ms)
{
  return (struct am_http_limits){ .begin_ms = timeout_ms,
                                  .stall_ms = timeout_ms,
                                  .total_ms = timeout_ms,
                                  .body_max = AM_HTTP_BODY_MAX };
}

int
am_http_get_within (struct am_http_client *c, const char *path,
                    const struct am_http_limits *limits, am_http_done done,
                    void *userdata)
{
  char address[AM_ADDRESS_TEXT_SIZE];
  int err = begin_call (c);

  if (err)
    return err;
  c->connection->request_len
      = (size_t)snprintf (c->connection->request, REQUEST_SIZE,
                          "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path,
                          am_address_format (c->server, address));
  start_call (c, limits, done, userdata);
  return AM_OK;
}

int
am_http_get (struct am_http_client *c, const char *path, uint32_t timeout_ms,
             am_http_done done, void *userdata)
{
  struct am_http_limits limits = limits_of_timeout (timeout_ms);

  return am_http_get_within (c, path, &limits, done, userdata);
}

int
am_http_post (struct am_http_client *c, const char *path, const char *body,
              uint32_t timeout_ms, am_http_done done, void *userdata)
{
  char address[AM_ADDRESS_TEXT_SIZE];
  size_t len = strlen (body);
  struct am_http_limits limits = limits_of_timeout (timeout_ms);
  int err;

  if (len > AM_HTTP_SENT_BODY_MAX)
    return AM_E_TOO_LARGE;
  err = begin_call (c);
  if (err)
    return err;
  c->connection->request_len = (size_t)snprintf (
      c->connection->request, REQUEST_SIZE,
      "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
      "Content-Length: %zu\r\n\r\n%s",
      path, am_address_format (c->server, address), len, body);
  start_call (c, &limits, done, userdata);
  return AM_OK;
}
