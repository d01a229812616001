/* HTTP client and server: calls, time-outs, bad peers, bounds.  */

#include <arpa/inet.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/error.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "own_address.h"
#include "suite.h"

#define PORT 7101
#define RAW_PORT 7102
#define LARGE (1u << 20)

static uv_loop_t loop;
static struct am_http_server server;
static struct am_http_client client;
static struct am_http_answer last;
static char last_body[64];
static unsigned answer_count;

static struct am_address
address (uint16_t port)
{
  return (struct am_address){ own_ip (1), port };
}

static void
on_request (void *userdata, const char *path, struct am_http_reply *reply)
{
  (void)userdata;
  reply->status = strncmp (path, "/missing", 8) == 0 ? 404 : 200;
  if (strcmp (path, "/large") == 0)
    {
      reply->body = malloc (LARGE);
      memset (reply->body, 'x', LARGE);
      reply->body_len = LARGE;
    }
  else if (reply->status == 200)
    {
      reply->body = (uint8_t *)strdup (path);
      reply->body_len = strlen (path);
    }
}

static void
on_answer (void *userdata, const struct am_http_answer *a)
{
  (void)userdata;
  last = *a;
  snprintf (last_body, sizeof last_body, "%s",
            a->body ? (const char *)a->body : "");
  answer_count++;
  uv_stop (&loop);
}

static void
begin (void)
{
  answer_count = 0;
  uv_loop_init (&loop);
  ck_assert_int_eq (
      am_http_server_open (&server, &loop, address (PORT), on_request, NULL),
      AM_OK);
  am_http_client_init (&client, &loop, address (PORT));
}

static void
end (void)
{
  am_http_client_reset (&client);
  am_http_server_close (&server);
  uv_run (&loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&loop), 0);
}

static void
get (const char *path, uint32_t timeout_ms)
{
  ck_assert_int_eq (am_http_get (&client, path, timeout_ms, on_answer, NULL),
                    AM_OK);
  uv_run (&loop, UV_RUN_DEFAULT);
}

/* Guards against answers that are lost or mixed up on one connection.  */
START_TEST (test_calls_on_one_connection)
{
  struct am_http_connection *first;

  get ("/one", 1000);
  ck_assert_int_eq (last.error, AM_OK);
  ck_assert_int_eq (last.status, 200);
  ck_assert_str_eq (last_body, "/one");
  first = client.connection;
  get ("/missing", 1000);
  ck_assert_int_eq (last.status, 404);
  ck_assert_uint_eq (last.body_len, 0);
  get ("/two?x=1", 1000);
  ck_assert_str_eq (last_body, "/two?x=1");
  ck_assert_ptr_eq (client.connection, first);
  ck_assert_int_eq (am_http_get (&client, "/a", 1000, on_answer, NULL), AM_OK);
  ck_assert_int_eq (am_http_get (&client, "/b", 1000, on_answer, NULL),
                    AM_E_STATE);
}
END_TEST

/* Guards against bodies that come in many reads.  */
START_TEST (test_large_answer)
{
  get ("/large", 5000);
  ck_assert_int_eq (last.error, AM_OK);
  ck_assert_uint_eq (last.body_len, LARGE);
}
END_TEST

/* A server that accepts and does what the test says: TEXT is sent, then
   nothing.  */
static int
raw_server (void)
{
  struct sockaddr_in sa = { .sin_family = AF_INET,
                            .sin_port = htons (RAW_PORT),
                            .sin_addr = { htonl (own_ip (1)) } };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  ck_assert_int_eq (bind (fd, (struct sockaddr *)&sa, sizeof sa), 0);
  ck_assert_int_eq (listen (fd, 5), 0);
  return fd;
}

static void
answer_raw (uv_timer_t *timer)
{
  const char *const *words = timer->data;
  int fd = accept (atoi (words[0]), NULL, NULL);

  ck_assert_int_ge (fd, 0);
  ck_assert_int_ge (write (fd, words[1], strlen (words[1])), 0);
  if (words[2])
    close (fd);
}

static char posted[256];

/* Reads a whole request, which comes in one packet, and answers it.  */
static void
read_post (uv_timer_t *timer)
{
  static const char answer[] = "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n";
  int fd = accept (*(int *)timer->data, NULL, NULL);
  ssize_t len = read (fd, posted, sizeof posted - 1);

  ck_assert_int_gt (len, 0);
  posted[len] = '\0';
  ck_assert_int_ge (write (fd, answer, strlen (answer)), 0);
}

/* Guards against a body that is not announced, cut off or too long.  */
START_TEST (test_post)
{
  char long_body[AM_HTTP_SENT_BODY_MAX + 2];
  int fd = raw_server ();
  uv_timer_t timer;

  am_http_client_init (&client, &loop, address (RAW_PORT));
  uv_timer_init (&loop, &timer);
  timer.data = &fd;
  uv_timer_start (&timer, read_post, 20, 0);
  ck_assert_int_eq (
      am_http_post (&client, "/write", "{\"a\":1}", 1000, on_answer, NULL),
      AM_OK);
  uv_run (&loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (last.status, 200);
  ck_assert_int_eq (strncmp (posted, "POST /write HTTP/1.1\r\n", 22), 0);
  ck_assert_ptr_nonnull (strstr (posted, "Content-Length: 7\r\n"));
  ck_assert_ptr_nonnull (strstr (posted, "\r\n\r\n{\"a\":1}"));
  memset (long_body, 'x', sizeof long_body - 1);
  long_body[sizeof long_body - 1] = '\0';
  ck_assert_int_eq (
      am_http_post (&client, "/write", long_body, 1000, on_answer, NULL),
      AM_E_TOO_LARGE);
  uv_close ((uv_handle_t *)&timer, NULL);
  close (fd);
}
END_TEST

/* Asks the raw server, which sends TEXT and, if CLOSE, ends.  */
static void
get_raw (const char *text, bool close_it)
{
  char number[16];
  const char *words[3] = { number, text, close_it ? "" : NULL };
  int fd = raw_server ();
  uv_timer_t timer;

  snprintf (number, sizeof number, "%d", fd);
  am_http_client_init (&client, &loop, address (RAW_PORT));
  uv_timer_init (&loop, &timer);
  timer.data = (void *)words;
  uv_timer_start (&timer, answer_raw, 20, 0);
  get ("/", 200);
  uv_close ((uv_handle_t *)&timer, NULL);
  uv_run (&loop, UV_RUN_NOWAIT);
  close (fd);
}

/* Guards against a call that never ends: silence, half an answer, garbage, a
   connection that is closed, nobody who listens.  */
START_TEST (test_bad_servers)
{
  get_raw ("", false);
  ck_assert_int_eq (last.error, AM_E_TIMEOUT);
  get_raw ("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", false);
  ck_assert_int_eq (last.error, AM_E_TIMEOUT);
  get_raw ("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true);
  ck_assert_int_eq (last.error, AM_E_CONNECTION);
  get_raw ("garbage\r\n\r\n", false);
  ck_assert_int_eq (last.error, AM_E_FORMAT);
  get_raw ("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", false);
  ck_assert_int_eq (last.error, AM_E_TOO_LARGE);
  am_http_client_init (&client, &loop, address (RAW_PORT));
  get ("/", 1000);
  ck_assert_int_eq (last.error, AM_E_CONNECTION);
  ck_assert_uint_eq (answer_count, 6);
  ck_assert (!am_http_client_busy (&client));
}
END_TEST

static char last_header[AM_HTTP_HEADER_SIZE];

static void
keep_header (void *userdata, const struct am_http_answer *a)
{
  on_answer (userdata, a);
  snprintf (last_header, sizeof last_header, "%s",
            a->header ? a->header : "none");
}

/* Guards against a header that is missed, cut off, or kept from an earlier
   answer.  */
START_TEST (test_header_of_answers)
{
  static const char *const cases[][2]
      = { { "Store-Era: 7\r\n", "7" },
          { "store-era:12\r\nX: 3\r\n", "12" },
          { "X-Store-Era: 3\r\n", "none" },
          { "", "none" },
          { "Store-Era: \r\n", "" },
          { "Store-Era: 1234567890123456789012345678901234567890\r\n", "?" },
          { "Store-Era: 1\r\nStore-Era: 2\r\n", "2" } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      char number[16];
      char text[256];
      const char *words[3] = { number, text, NULL };
      int fd = raw_server ();
      uv_timer_t timer;

      snprintf (text, sizeof text,
                "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", cases[i][0]);
      snprintf (number, sizeof number, "%d", fd);
      am_http_client_init (&client, &loop, address (RAW_PORT));
      client.header = "Store-Era";
      uv_timer_init (&loop, &timer);
      timer.data = (void *)words;
      uv_timer_start (&timer, answer_raw, 20, 0);
      ck_assert_int_eq (am_http_get (&client, "/", 1000, keep_header, NULL),
                        AM_OK);
      uv_run (&loop, UV_RUN_DEFAULT);
      ck_assert_str_eq (last_header, cases[i][1]);
      am_http_client_reset (&client);
      uv_close ((uv_handle_t *)&timer, NULL);
      uv_run (&loop, UV_RUN_NOWAIT);
      close (fd);
    }
}
END_TEST

#define PIECES 5
#define PIECE "0123456789"
#define PIECE_MS 100

/* A server that sends its answer in pieces, PIECE_MS apart.  */
struct slow_server
{
  int listening;
  int fd;
  unsigned sent;
};

static void
send_piece (uv_timer_t *timer)
{
  static const char head[] = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n";
  struct slow_server *s = timer->data;

  if (!s->sent++)
    {
      s->fd = accept (s->listening, NULL, NULL);
      ck_assert_int_ge (write (s->fd, head, strlen (head)), 0);
    }
  if (s->sent <= PIECES)
    ck_assert_int_ge (send (s->fd, PIECE, strlen (PIECE), MSG_NOSIGNAL), 0);
}

static void
get_slowly (struct am_http_limits limits)
{
  struct slow_server s = { .listening = raw_server () };
  uv_timer_t timer;

  am_http_client_init (&client, &loop, address (RAW_PORT));
  uv_timer_init (&loop, &timer);
  timer.data = &s;
  uv_timer_start (&timer, send_piece, PIECE_MS, PIECE_MS);
  ck_assert_int_eq (
      am_http_get_within (&client, "/", &limits, on_answer, NULL), AM_OK);
  uv_run (&loop, UV_RUN_DEFAULT);
  uv_close ((uv_handle_t *)&timer, NULL);
  uv_run (&loop, UV_RUN_NOWAIT);
  close (s.fd);
  close (s.listening);
}

/* Guards against a call that is given up while its answer is coming, and
   against one that never ends: an answer that begins late, stalls, takes long
   as a whole, or is larger than wanted.  */
START_TEST (test_limits)
{
  static const struct
  {
    struct am_http_limits limits;
    int error;
    bool begun;
  } cases[] = { { { 300, 300, 5000, 50 }, AM_OK, true },
                { { 20, 300, 5000, 50 }, AM_E_TIMEOUT, false },
                { { 300, 20, 5000, 50 }, AM_E_TIMEOUT, true },
                { { 300, 300, 250, 50 }, AM_E_TIMEOUT, true },
                { { 300, 300, 5000, 49 }, AM_E_TOO_LARGE, true } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      get_slowly (cases[i].limits);
      ck_assert_int_eq (last.error, cases[i].error);
      ck_assert_int_eq (last.begun, cases[i].begun);
      am_http_client_reset (&client);
    }
}
END_TEST

/* Guards against a second copy of an answer that is read as the answer to the
   next call on the same connection.  */
START_TEST (test_connection_with_second_copy_is_closed)
{
  get_raw ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none", false);
  ck_assert_int_eq (last.error, AM_OK);
  ck_assert_ptr_nonnull (client.connection);
  am_http_client_reset (&client);
  get_raw ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
           "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\no",
           false);
  ck_assert_int_eq (last.error, AM_OK);
  ck_assert_str_eq (last_body, "one");
  ck_assert_ptr_null (client.connection);
}
END_TEST

/* Guards against an answer that comes to the next call: it belongs to a call
   that was given up.  */
START_TEST (test_reset_call_is_not_answered)
{
  am_http_get (&client, "/given-up", 1000, on_answer, NULL);
  am_http_client_reset (&client);
  get ("/next", 1000);
  ck_assert_str_eq (last_body, "/next");
  ck_assert_uint_eq (answer_count, 1);
}
END_TEST

static int
raw_client (const char *text)
{
  struct sockaddr_in sa = own_sockaddr (address (PORT));
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  ck_assert_int_eq (connect (fd, (struct sockaddr *)&sa, sizeof sa), 0);
  ck_assert_int_ge (write (fd, text, strlen (text)), 0);
  return fd;
}

/* Guards against clients that hang, send garbage or leave, and take service
   from the others.  */
START_TEST (test_bad_clients)
{
  char path[AM_HTTP_PATH_SIZE + 64];
  int hanging = raw_client ("GET / HTTP/1.1\r\nHost");
  int garbage = raw_client ("\x01\x02\x03\r\n\r\n");
  int gone = raw_client ("GET /large HTTP/1.1\r\n\r\n");
  int post = raw_client ("POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  char answer[64] = { 0 };

  memset (path, 'a', sizeof path);
  memcpy (path, "GET /", 5);
  path[sizeof path - 1] = '\0';
  close (gone);
  close (raw_client (path));
  get ("/still", 1000);
  ck_assert_str_eq (last_body, "/still");
  ck_assert_int_gt (read (post, answer, sizeof answer - 1), 0);
  ck_assert_ptr_nonnull (strstr (answer, "405"));
  ck_assert_int_eq (read (garbage, answer, sizeof answer), 0);
  close (hanging);
  close (garbage);
  close (post);
}
END_TEST

/* Guards against descriptors that clients can use up.  */
START_TEST (test_connections_are_bounded)
{
  int fds[AM_HTTP_SERVER_CONNECTIONS + 20];
  size_t n = sizeof fds / sizeof fds[0];

  for (size_t i = 0; i < n; i++)
    {
      fds[i] = raw_client ("GET / HT");
      uv_run (&loop, UV_RUN_NOWAIT);
    }
  for (int i = 0; i < 20; i++)
    uv_run (&loop, UV_RUN_NOWAIT);
  ck_assert_uint_le (server.connection_count, AM_HTTP_SERVER_CONNECTIONS);
  for (size_t i = 0; i < n; i++)
    close (fds[i]);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("http");
  TCase *tc = tcase_create ("http");

  tcase_set_timeout (tc, 30);
  tcase_add_checked_fixture (tc, begin, end);
  tcase_add_test (tc, test_calls_on_one_connection);
  tcase_add_test (tc, test_large_answer);
  tcase_add_test (tc, test_post);
  tcase_add_test (tc, test_bad_servers);
  tcase_add_test (tc, test_header_of_answers);
  tcase_add_test (tc, test_limits);
  tcase_add_test (tc, test_connection_with_second_copy_is_closed);
  tcase_add_test (tc, test_reset_call_is_not_answered);
  tcase_add_test (tc, test_bad_clients);
  tcase_add_test (tc, test_connections_are_bounded);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
