#include <stdlib.h>

#include "common/standin_datagram.h"
#include "network/standin_relay.h"
#include "standin_process.h"
#include "suite.h"

#define SEED 20261204
#define FLOWS 1000
#define LISTEN "@1:7000"
#define TARGET "@2:7000"
#define CONTROL "@3:7901"

static const struct am_address caller = { 0x7f502903, 4000 };
static const struct am_address service = { 0x7f502904, 8001 };

/* Writes a ticket-mode datagram of flow ID, up or down.  */
static size_t
make_datagram (uint8_t *buf, size_t size, uint64_t id, bool up)
{
  struct am_proxy_header h = { up ? caller : service, up ? service : caller };
  struct am_packet p = { .type = AM_PACKET_PING, .connection_id = id };
  size_t len = 0;

  am_proxy_encode (&h, buf);
  ck_assert_int_eq (am_packet_encode (&p, buf + AM_PROXY_HEADER_SIZE,
                                      size - AM_PROXY_HEADER_SIZE, &len),
                    AM_OK);
  return AM_PROXY_HEADER_SIZE + len;
}

static bool
passes (struct standin_faults *f, uint64_t id, bool up)
{
  uint8_t buf[256];
  size_t len = make_datagram (buf, sizeof buf, id, up);

  return standin_faults_decide (f, up, buf, len).copies > 0;
}

static void
command (struct standin_faults *f, const char *name, const char *value)
{
  char first[32];
  char second[32];
  char *words[] = { first, second };
  json_t *answer;

  snprintf (first, sizeof first, "%s", name);
  snprintf (second, sizeof second, "%s", value);
  answer = standin_faults_command (f, words, *value ? 2 : 1);
  ck_assert_ptr_nonnull (answer);
  json_decref (answer);
}

/* Silence must hit the asked share of the flows seen so far, always the same
   ones and both ways, and no flow opened later.  */
START_TEST (test_silence_drops_only_old_ids)
{
  struct standin_faults f;
  bool silent[FLOWS + 1] = { false };
  int count = 0;

  standin_faults_init (&f, SEED);
  for (uint64_t id = 1; id <= FLOWS; id++)
    ck_assert (passes (&f, id, true));
  command (&f, "silence", "50");
  for (uint64_t id = 1; id <= FLOWS; id++)
    {
      silent[id] = !passes (&f, id, true);
      count += silent[id];
    }
  ck_assert_int_gt (count, FLOWS * 4 / 10);
  ck_assert_int_lt (count, FLOWS * 6 / 10);
  for (uint64_t id = 1; id <= FLOWS; id++)
    ck_assert_int_eq (passes (&f, id, false), !silent[id]);
  for (uint64_t id = FLOWS + 1; id <= 2 * FLOWS; id++)
    ck_assert (passes (&f, id, true) && passes (&f, id, false));
  command (&f, "restore", "");
  for (uint64_t id = 1; id <= FLOWS; id++)
    ck_assert (passes (&f, id, true));
  standin_faults_finish (&f);
}
END_TEST

/* An opaque flow is known by its caller's address alone, which is the source
   on the way up and the destination on the way down.  */
START_TEST (test_opaque_flow_is_its_caller)
{
  uint8_t up[AM_PROXY_HEADER_SIZE + 1] = { 0 };
  uint8_t down[AM_PROXY_HEADER_SIZE + 1] = { 0 };
  struct am_proxy_header h = { caller, service };
  struct am_proxy_header back = { service, caller };

  am_proxy_encode (&h, up);
  am_proxy_encode (&back, down);
  ck_assert_uint_ne (standin_flow_of (up, sizeof up, 1), 0);
  ck_assert_uint_eq (standin_flow_of (up, sizeof up, 1),
                     standin_flow_of (down, sizeof down, 0));
}
END_TEST

/* A one-way cut that also drops the other way would be a full partition.  */
START_TEST (test_cut_is_one_way)
{
  struct standin_faults f;

  standin_faults_init (&f, SEED);
  command (&f, "cut-up", "");
  ck_assert (!passes (&f, 1, true));
  ck_assert (passes (&f, 1, false));
  command (&f, "restore", "");
  command (&f, "cut-down", "");
  ck_assert (passes (&f, 1, true));
  ck_assert (!passes (&f, 1, false));
  command (&f, "cut", "");
  ck_assert (!passes (&f, 1, true));
  standin_faults_finish (&f);
}
END_TEST

/* Loss and duplication must have the asked share, and the same seed must give
   the same faults.  */
START_TEST (test_shares_follow_the_seed)
{
  struct standin_faults f[2];
  uint8_t buf[256];
  size_t len = make_datagram (buf, sizeof buf, 1, true);
  int lost = 0;
  int doubled = 0;

  for (int i = 0; i < 2; i++)
    {
      standin_faults_init (&f[i], SEED);
      command (&f[i], "loss", "0.1");
      command (&f[i], "duplicate", "0.2");
    }
  for (int i = 0; i < 10000; i++)
    {
      struct standin_fate a = standin_faults_decide (&f[0], true, buf, len);
      struct standin_fate b = standin_faults_decide (&f[1], true, buf, len);

      ck_assert_uint_eq (a.copies, b.copies);
      lost += a.copies == 0;
      doubled += a.copies == 2;
    }
  ck_assert (lost > 800 && lost < 1200);
  ck_assert (doubled > 1500 && doubled < 2100);
  standin_faults_finish (&f[0]);
  standin_faults_finish (&f[1]);
}
END_TEST

/* Replies of the target must reach the sender they answer, from the address
   that the sender wrote to.  */
START_TEST (test_replies_find_their_way)
{
  pid_t pid
      = process_start ("standin-relay", "--proto udp --listen " LISTEN
                                        "=" TARGET " --control " CONTROL);
  int target = udp_bind (TARGET);
  int senders[2] = { udp_bind ("@5:4001"), udp_bind ("@5:4002") };
  struct am_address from;
  struct am_address relay = process_address (LISTEN);
  char buf[64];

  process_command (CONTROL, "stats");
  for (int i = 0; i < 2; i++)
    {
      char text[AM_ADDRESS_TEXT_SIZE];

      udp_send (senders[i], LISTEN, "hello", 5);
      ck_assert_int_eq (
          udp_receive (target, buf, sizeof buf, PROCESS_WAIT_MS, &from), 5);
      udp_send (target, am_address_format (from, text), "reply", 5);
      ck_assert_int_eq (
          udp_receive (senders[i], buf, sizeof buf, PROCESS_WAIT_MS, &from),
          5);
      ck_assert (am_address_equal (from, relay));
    }
  process_command (CONTROL, "cut");
  udp_send (senders[0], LISTEN, "hello", 5);
  ck_assert_int_eq (
      udp_receive (target, buf, sizeof buf, PROCESS_SILENCE_MS, NULL), -1);
  process_stop (pid);
}
END_TEST

/* A cut stream must keep its bytes and deliver them in order after it, as a
   partition does to TCP.  */
START_TEST (test_cut_stream_goes_on)
{
  pid_t pid
      = process_start ("standin-relay", "--proto tcp --listen " LISTEN
                                        "=" TARGET " --control " CONTROL);
  struct sockaddr_in sa = process_sockaddr (TARGET);
  int server = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  int client;
  int accepted;
  char buf[8] = { 0 };

  setsockopt (server, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  ck_assert_int_eq (bind (server, (struct sockaddr *)&sa, sizeof sa), 0);
  ck_assert_int_eq (listen (server, 1), 0);
  process_command (CONTROL, "cut");
  client = tcp_connect (LISTEN);
  accepted = accept (server, NULL, NULL);
  ck_assert_int_ge (accepted, 0);
  ck_assert_int_eq (send (client, "ab", 2, 0), 2);
  ck_assert_int_eq (
      udp_receive (accepted, buf, sizeof buf, PROCESS_SILENCE_MS, NULL), -1);
  process_command (CONTROL, "restore");
  ck_assert_int_eq (recv (accepted, buf, 2, MSG_WAITALL), 2);
  ck_assert_str_eq (buf, "ab");
  process_stop (pid);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay");
  TCase *tc = tcase_create ("relay");

  tcase_set_timeout (tc, 30);
  tcase_add_test (tc, test_silence_drops_only_old_ids);
  tcase_add_test (tc, test_opaque_flow_is_its_caller);
  tcase_add_test (tc, test_cut_is_one_way);
  tcase_add_test (tc, test_shares_follow_the_seed);
  tcase_add_test (tc, test_replies_find_their_way);
  tcase_add_test (tc, test_cut_stream_goes_on);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
