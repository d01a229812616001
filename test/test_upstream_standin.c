#include <stdbool.h>
#include <stdlib.h>

#include "base/hash.h"
#include "common/standin_datagram.h"
#include "standin_process.h"
#include "suite.h"
#include "wire/bytes.h"

#define TARGET "@1:9000"
#define SERVICE "@2:8001"
#define OTHER_SERVICE "@2:8002"
#define VM "@3:7000"
#define CONTROL "@4:7901"

/* Far longer than a test step, so that a running request stays running.  */
#define SERVICE_MS "1000"

static const char record[]
    = "schema: 2\nkind: service\nname: s\nregion: r\naddress: " SERVICE
      "\nbinding: ticket\nobjective: broken_flows\npolicy: local\nupstreams:\n"
      "  - name: s-1\n    address: " TARGET "\n    data_centre: a\n"
      "    incarnation: 1\n    state: active\n    slots: 2\n"
      "    connections: 2\n";

static pid_t upstream;
static int vm;
static char folder[64];
static char history[96];

static void
start (void)
{
  char file[96];
  char arguments[512];
  char text[1024];
  FILE *out;

  snprintf (folder, sizeof folder, "/tmp/amaranthcroft-test-XXXXXX");
  ck_assert_ptr_nonnull (mkdtemp (folder));
  snprintf (file, sizeof file, "%s/s.yaml", folder);
  snprintf (history, sizeof history, "%s/h.jsonl", folder);
  out = fopen (file, "we");
  ck_assert_ptr_nonnull (out);
  fputs (own_text (text, sizeof text, record), out);
  fclose (out);
  snprintf (arguments, sizeof arguments,
            "--record %s --history %s --control " CONTROL
            " --service-ms " SERVICE_MS " --queue 1",
            file, history);
  vm = udp_bind (VM);
  upstream = process_start ("standin-upstream", arguments);
  process_command (CONTROL, "stats");
  unlink (file);
}

static void
stop (void)
{
  process_stop (upstream);
  unlink (history);
  rmdir (folder);
}

/* ---- flows -----------------------------------------------------------------
 */

static void
send_packet (uint8_t type, uint64_t id, const char *service)
{
  struct am_proxy_header h = { { 0x0a000001, 5000 }, { 0, 0 } };
  struct am_packet p = { .type = type, .connection_id = id };
  uint8_t buf[256];
  size_t len = 0;

  h.destination = process_address (service);
  am_proxy_encode (&h, buf);
  am_packet_encode (&p, buf + AM_PROXY_HEADER_SIZE,
                    sizeof buf - AM_PROXY_HEADER_SIZE, &len);
  udp_send (vm, TARGET, buf, len + AM_PROXY_HEADER_SIZE);
}

/* Receives a reply for flow ID.  Returns its type, or 0 if none comes; sets
 *ERROR to the reason after its load, if there is one.  */
static int
receive (uint64_t id, int wait_ms, struct am_load *load, int *error)
{
  static uint8_t buf[STANDIN_DATAGRAM_MAX];
  struct am_proxy_header h;
  struct am_packet p;
  struct am_reason_body reason = { 0 };
  size_t used;
  ssize_t n = udp_receive (vm, buf, sizeof buf, wait_ms, NULL);

  if (n < 0)
    return 0;
  ck_assert_int_eq (am_proxy_decode (&h, buf, (size_t)n, &used), AM_OK);
  ck_assert_uint_eq (h.destination.port, 5000);
  ck_assert_int_eq (am_packet_decode (&p, buf + used, (size_t)n - used),
                    AM_OK);
  ck_assert_uint_eq (p.connection_id, id);
  ck_assert_int_eq (am_load_decode (load, p.body, p.body_len), AM_OK);
  am_reason_body_decode (&reason, p.body + AM_LOAD_SIZE,
                         p.body_len - AM_LOAD_SIZE);
  *error = reason.error;
  return p.type;
}

static int
exchange (uint8_t type, uint64_t id, struct am_load *load, int *error)
{
  send_packet (type, id, SERVICE);
  return receive (id, PROCESS_WAIT_MS, load, error);
}

/* Flows beyond the limit must be refused, a repeated OPEN must not count
   twice, and a closed flow must free its place.  */
START_TEST (test_connections_limit)
{
  struct am_load load;
  int error;

  ck_assert_int_eq (exchange (AM_PACKET_OPEN, 1, &load, &error),
                    AM_PACKET_OPENED);
  exchange (AM_PACKET_OPEN, 1, &load, &error);
  ck_assert_uint_eq (load.connections, 1);
  exchange (AM_PACKET_OPEN, 2, &load, &error);
  ck_assert_int_eq (exchange (AM_PACKET_OPEN, 3, &load, &error),
                    AM_PACKET_RESET);
  ck_assert_int_eq (error, AM_E_LIMIT);
  send_packet (AM_PACKET_CLOSE, 1, SERVICE);
  ck_assert_int_eq (exchange (AM_PACKET_OPEN, 3, &load, &error),
                    AM_PACKET_OPENED);
}
END_TEST

/* A packet of an unknown flow must be told so, or a forgotten flow would go
   silent.  */
START_TEST (test_unknown_flow)
{
  struct am_load load;
  int error;

  exchange (AM_PACKET_OPEN, 1, &load, &error);
  ck_assert_int_eq (exchange (AM_PACKET_PING, 1, &load, &error),
                    AM_PACKET_PONG);
  process_command (CONTROL, "forget s-1 100");
  ck_assert_int_eq (exchange (AM_PACKET_PING, 1, &load, &error),
                    AM_PACKET_RESET);
  ck_assert_int_eq (error, AM_E_FLOW_UNKNOWN);
}
END_TEST

/* What is meant for another service must never be served, and must be seen in
   the history.  */
START_TEST (test_wrong_service)
{
  struct am_load load;
  int error;

  send_packet (AM_PACKET_OPEN, 1, OTHER_SERVICE);
  ck_assert_int_eq (receive (1, PROCESS_SILENCE_MS, &load, &error), 0);
  ck_assert_ptr_nonnull (
      strstr (process_command (CONTROL, "stats"), "\"wrong_service\":1"));
}
END_TEST

/* A draining target keeps its flows, refuses new ones and says so.  */
START_TEST (test_drain)
{
  struct am_load load;
  int error;

  exchange (AM_PACKET_OPEN, 1, &load, &error);
  process_command (CONTROL, "drain s-1");
  ck_assert_int_eq (exchange (AM_PACKET_PING, 1, &load, &error),
                    AM_PACKET_PONG);
  ck_assert_uint_eq (load.flags & AM_LOAD_DRAINING, AM_LOAD_DRAINING);
  ck_assert_int_eq (exchange (AM_PACKET_OPEN, 2, &load, &error),
                    AM_PACKET_RESET);
  ck_assert_int_eq (error, AM_E_DRAINING);
}
END_TEST

/* ---- requests
 * --------------------------------------------------------------- */

static void
send_frame (int fd, uint8_t type, uint32_t sequence, uint32_t remaining_ms)
{
  struct am_run_body run
      = { .remaining_ms = remaining_ms, .service_id = am_hash_name ("s") };
  uint8_t body[AM_RUN_BODY_SIZE + 32];
  uint8_t buf[256];
  struct am_packet p = {
    .type = type, .connection_id = 1, .sequence = sequence, .body = body
  };
  size_t len = 0;

  am_run_body_encode (&run, body);
  p.body_len = AM_RUN_BODY_SIZE
               + (size_t)snprintf ((char *)body + AM_RUN_BODY_SIZE, 32,
                                   "r-%u\none_time\n", sequence);
  am_packet_encode (&p, buf + AM_STREAM_PREFIX_SIZE,
                    sizeof buf - AM_STREAM_PREFIX_SIZE, &len);
  am_put_u32 (buf, (uint32_t)len);
  len += AM_STREAM_PREFIX_SIZE;
  ck_assert_int_eq (send (fd, buf, len, 0), (ssize_t)len);
}

/* Receives one frame for SEQUENCE; returns its type and sets *ERROR.  */
static int
receive_frame (int fd, uint32_t sequence, int *error)
{
  static uint8_t buf[AM_STREAM_PACKET_MAX];
  uint8_t prefix[AM_STREAM_PREFIX_SIZE];
  struct am_outcome_body outcome = { 0 };
  struct am_packet p;
  size_t len;

  ck_assert_int_eq (recv (fd, prefix, sizeof prefix, MSG_WAITALL),
                    sizeof prefix);
  len = am_get_u32 (prefix);
  ck_assert_uint_le (len, sizeof buf);
  ck_assert_int_eq (recv (fd, buf, len, MSG_WAITALL), (ssize_t)len);
  ck_assert_int_eq (am_packet_decode_stream (&p, buf, len), AM_OK);
  ck_assert_uint_eq (p.sequence, sequence);
  if (p.type == AM_PACKET_OUTCOME)
    {
      ck_assert_int_eq (am_outcome_body_decode (&outcome,
                                                p.body + AM_LOAD_SIZE,
                                                p.body_len - AM_LOAD_SIZE),
                        AM_OK);
      ck_assert_int_eq (outcome.outcome, AM_OUTCOME_NOT_RUN);
    }
  *error = outcome.error;
  return p.type;
}

/* Only what did not run may be told NOT-RUN: beyond slots and queue, past its
   deadline, cancelled while it waits.  What runs is not cancelled.  */
START_TEST (test_refusals_did_not_run)
{
  int fd = tcp_connect (TARGET);
  int error;

  send_frame (fd, AM_PACKET_REQUEST, 1, 0);
  ck_assert_int_eq (receive_frame (fd, 1, &error), AM_PACKET_OUTCOME);
  ck_assert_int_eq (error, AM_E_DEADLINE);
  for (uint32_t i = 2; i <= 5; i++)
    send_frame (fd, AM_PACKET_REQUEST, i, 60000);
  ck_assert_int_eq (receive_frame (fd, 5, &error), AM_PACKET_OUTCOME);
  ck_assert_int_eq (error, AM_E_SHED);
  send_frame (fd, AM_PACKET_CANCEL, 2, 0);
  send_frame (fd, AM_PACKET_CANCEL, 4, 0);
  ck_assert_int_eq (receive_frame (fd, 4, &error), AM_PACKET_OUTCOME);
  ck_assert_int_eq (error, AM_E_CANCELLED);
  ck_assert_ptr_nonnull (
      strstr (process_command (CONTROL, "stats"), "\"ran\":2"));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("upstream_standin");
  TCase *tc = tcase_create ("upstream");

  tcase_set_timeout (tc, 30);
  tcase_add_checked_fixture (tc, start, stop);
  tcase_add_test (tc, test_connections_limit);
  tcase_add_test (tc, test_unknown_flow);
  tcase_add_test (tc, test_wrong_service);
  tcase_add_test (tc, test_drain);
  tcase_add_test (tc, test_refusals_did_not_run);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
