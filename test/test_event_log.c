#include "core_fixture.h"

#include <sys/stat.h>
#include <unistd.h>

#include "core/action_digest.h"
#include "io/event_log.h"

#define FILE_NAME AM_BINARY_DIR "/test_event_log.events"

static void
digest (void *userdata, const struct am_action *a)
{
  am_action_digest_add (userdata, a);
}

static struct am_dispatch_options
make_options (struct am_action_digest *d)
{
  struct am_dispatch_options o
      = { .self = { .id = 1, .name = "vm", .region = "r", .boot_id = 99 },
          .seed = 5,
          .peer_key = fixture_peer_key,
          .log_decisions = true,
          .sink = { digest, d } };

  return o;
}

/* Records a run that opens flows and gives its digest.  */
static void
record (struct am_action_digest *d)
{
  static struct net net;
  struct am_dispatch_options o = make_options (d);
  struct am_event_log l;
  struct config config;
  uint8_t buf[4096];
  struct am_event e = { .type = AM_EVENT_SNAPSHOT, .data = buf };

  ck_assert_int_eq (am_event_log_create (&l, FILE_NAME, &o), AM_OK);
  ck_assert_int_eq (am_dispatch_init (&net.nodes[0], &o), AM_OK);
  config_init (&config, AMARANTH__BINDING__BINDING_TICKET, 3, 2);
  e.len = amaranth__snapshot__pack (&config.snapshot, buf);
  e.now_us = 1;
  ck_assert_int_eq (am_event_log_write (&l, &e), AM_OK);
  am_dispatch_event (&net.nodes[0], &e);
  e.type = AM_EVENT_CALLER;
  for (uint64_t i = 0; i < 100; i++)
    {
      struct am_proxy_header h = { fixture_caller, fixture_service };
      uint8_t body[AM_OPEN_BODY_SIZE] = { 0 };
      struct am_packet p = { .type = AM_PACKET_OPEN,
                             .connection_id = i,
                             .body = body,
                             .body_len = sizeof body };

      am_proxy_encode (&h, buf);
      am_packet_encode (&p, buf + AM_PROXY_HEADER_SIZE, AM_PACKET_SIZE_MAX,
                        &e.len);
      e.len += AM_PROXY_HEADER_SIZE;
      e.type = i % 10 ? AM_EVENT_CALLER : AM_EVENT_TICK;
      e.now_us += 5000;
      ck_assert_int_eq (am_event_log_write (&l, &e), AM_OK);
      (void)am_dispatch_event (&net.nodes[0], &e);
    }
  am_event_log_close (&l);
  am_dispatch_finish (&net.nodes[0]);
}

/* Guards against a recording that does not reproduce the run, and against keys
   in a file that others may read.  */
START_TEST (test_replay_gives_same_actions)
{
  static struct am_dispatch d;
  struct am_action_digest first = { 0, 0 };
  struct am_action_digest second = { 0, 0 };
  struct am_dispatch_options o = make_options (&second);
  uint8_t peer_key[AM_PEER_KEY_SIZE];
  struct am_event_log l;
  struct am_event e;
  struct stat st;
  size_t events = 0;
  int err;

  record (&first);
  ck_assert_int_eq (stat (FILE_NAME, &st), 0);
  ck_assert_uint_eq (st.st_mode & 077, 0);
  memset (&o.self, 0, sizeof o.self);
  o.seed = 0;
  ck_assert_int_eq (am_event_log_open (&l, FILE_NAME, &o, peer_key), AM_OK);
  ck_assert_int_eq (am_dispatch_init (&d, &o), AM_OK);
  while ((err = am_event_log_read (&l, &e)) == AM_OK)
    {
      (void)am_dispatch_event (&d, &e);
      events++;
    }
  ck_assert_int_eq (err, AM_E_NOT_FOUND);
  ck_assert_uint_eq (events, 101);
  ck_assert_uint_gt (first.actions, 100);
  ck_assert_uint_eq (first.actions, second.actions);
  ck_assert_uint_eq (first.value, second.value);
  am_dispatch_finish (&d);
  am_event_log_close (&l);
  unlink (FILE_NAME);
}
END_TEST

/* Guards against a cut or foreign file taken for a whole recording.  */
START_TEST (test_cut_file)
{
  struct am_action_digest d = { 0, 0 };
  struct am_dispatch_options o = make_options (&d);
  uint8_t peer_key[AM_PEER_KEY_SIZE];
  struct am_event_log l;
  struct am_event e;
  struct stat st;
  int err;

  record (&d);
  ck_assert_int_eq (stat (FILE_NAME, &st), 0);
  ck_assert_int_eq (truncate (FILE_NAME, st.st_size - 1), 0);
  ck_assert_int_eq (am_event_log_open (&l, FILE_NAME, &o, peer_key), AM_OK);
  while ((err = am_event_log_read (&l, &e)) == AM_OK)
    continue;
  ck_assert_int_eq (err, AM_E_SHORT);
  am_event_log_close (&l);
  ck_assert_int_eq (truncate (FILE_NAME, 10), 0);
  ck_assert_int_eq (am_event_log_open (&l, FILE_NAME, &o, peer_key),
                    AM_E_SHORT);
  unlink (FILE_NAME);
  ck_assert_int_eq (am_event_log_open (&l, FILE_NAME, &o, peer_key), AM_E_IO);
}
END_TEST

RUN_TESTS ("event_log", test_replay_gives_same_actions, test_cut_file)
