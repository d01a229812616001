/* The pool of connections to upstreams: which end of a connection is told as
   lost (requests may have run) and which as unopened (nothing has left).  */

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/pool.h"
#include "own_address.h"
#include "suite.h"
#include "wire/packet.h"

#define TURNS 400
#define TURN_US 5000u

static const struct am_pool_key key = { 1, 2 };

struct state
{
  uv_loop_t loop;
  struct am_pool pool;
  uint64_t now_us;
  int lost;
  int unopened;
};

static bool
on_packet (void *userdata, struct am_pool_key k, const uint8_t *data,
           size_t len)
{
  (void)userdata;
  (void)k;
  (void)data;
  (void)len;
  return true;
}

static void
on_lost (void *userdata, struct am_pool_key k)
{
  ck_assert_int_eq (memcmp (&k, &key, sizeof k), 0);
  ((struct state *)userdata)->lost++;
}

static void
on_unopened (void *userdata, struct am_pool_key k)
{
  ck_assert_int_eq (memcmp (&k, &key, sizeof k), 0);
  ((struct state *)userdata)->unopened++;
}

static void
state_init (struct state *t)
{
  static const struct am_pool_callbacks callbacks
      = { .packet = on_packet, .lost = on_lost, .unopened = on_unopened };

  memset (t, 0, sizeof *t);
  t->now_us = 1000000;
  uv_loop_init (&t->loop);
  am_pool_init (&t->pool, &t->loop, &callbacks, t);
}

static void
state_finish (struct state *t)
{
  am_pool_finish (&t->pool);
  uv_run (&t->loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&t->loop), 0);
}

/* Runs the loop until an end was told, or for TURNS.  */
static void
turn (struct state *t, int turns)
{
  for (int i = 0; i < turns && t->lost + t->unopened == 0; i++)
    {
      usleep (1000);
      t->now_us += TURN_US;
      uv_run (&t->loop, UV_RUN_NOWAIT);
      am_pool_tick (&t->pool, t->now_us);
    }
}

static struct am_address
address (uint16_t port)
{
  return (struct am_address){ own_ip (1), port };
}

static void
send_request (struct state *t, uint16_t port)
{
  uint8_t buf[256];
  struct am_packet p = { .type = AM_PACKET_REQUEST, .connection_id = 7 };
  size_t len;

  ck_assert_int_eq (am_packet_encode (&p, buf, sizeof buf, &len), 0);
  am_pool_send (&t->pool, key, address (port), t->now_us, buf, len);
}

static int
listen_at (uint16_t port, int backlog)
{
  struct sockaddr_in sa = own_sockaddr (address (port));
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int one = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  ck_assert_int_eq (bind (fd, (struct sockaddr *)&sa, sizeof sa), 0);
  ck_assert_int_eq (listen (fd, backlog), 0);
  return fd;
}

/* Guards against UNKNOWN for a request that met an upstream without a
   listener.  */
START_TEST (test_refused_connection_is_unopened)
{
  struct state t;

  state_init (&t);
  send_request (&t, 9101);
  send_request (&t, 9101);
  turn (&t, TURNS);
  ck_assert_int_eq (t.unopened, 1);
  ck_assert_int_eq (t.lost, 0);
  state_finish (&t);
}
END_TEST

/* Guards against a second run of a request that a connection took.  */
START_TEST (test_closed_connection_is_lost)
{
  int listener = listen_at (9102, 8);
  struct state t;
  int fd;

  state_init (&t);
  send_request (&t, 9102);
  turn (&t, 20);
  fd = accept (listener, NULL, NULL);
  ck_assert_int_ge (fd, 0);
  close (fd);
  close (listener);
  turn (&t, TURNS);
  ck_assert_int_eq (t.lost, 1);
  ck_assert_int_eq (t.unopened, 0);
  state_finish (&t);
}
END_TEST

/* Guards against a request that waits for its deadline, and is then UNKNOWN,
   at an upstream VM that answers no SYN (a full backlog does the same).  */
START_TEST (test_silent_address_is_given_up)
{
  int listener = listen_at (9103, 0);
  struct sockaddr_in sa = own_sockaddr (address (9103));
  int fillers[4];
  struct state t;
  uint64_t begun_us;

  for (int i = 0; i < 4; i++)
    {
      fillers[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect (fillers[i], (struct sockaddr *)&sa, sizeof sa);
    }
  state_init (&t);
  begun_us = t.now_us;
  send_request (&t, 9103);
  turn (&t, TURNS);
  ck_assert_int_eq (t.unopened, 1);
  ck_assert_int_eq (t.lost, 0);
  ck_assert_uint_ge (t.now_us - begun_us, AM_POOL_CONNECT_US);
  state_finish (&t);
  for (int i = 0; i < 4; i++)
    close (fillers[i]);
  close (listener);
}
END_TEST

/* Guards against a second run after a change of the upstream's address: the
   request under way at the old address is not covered by "unopened".  */
START_TEST (test_changed_address_is_lost)
{
  int listener = listen_at (9104, 8);
  struct state t;

  state_init (&t);
  send_request (&t, 9104);
  turn (&t, 20);
  send_request (&t, 9105);
  turn (&t, TURNS);
  ck_assert_int_eq (t.lost, 1);
  ck_assert_int_eq (t.unopened, 0);
  state_finish (&t);
  close (listener);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("pool");
  TCase *tc = tcase_create ("pool");

  tcase_set_timeout (tc, 30);
  tcase_add_test (tc, test_refused_connection_is_unopened);
  tcase_add_test (tc, test_closed_connection_is_lost);
  tcase_add_test (tc, test_silent_address_is_given_up);
  tcase_add_test (tc, test_changed_address_is_lost);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
