#include <check.h>
#include <stdlib.h>

#include "standin_process.h"
#include "wire/packet.h"
#include "wire/ticket.h"

#define SERVICE "127.80.44.1:8001"
#define COMMON                                          \
  "--service s=" SERVICE ":ticket --history /dev/null " \
  "--address 127.80.44.100 --seconds 30 --ping-ms 1000 "

static pid_t caller;
static int service;
static uint8_t buf[AM_PACKET_SIZE_MAX];

static void
start (const char *arguments)
{
  char line[512];

  snprintf (line, sizeof line, COMMON "%s", arguments);
  service = udp_bind (SERVICE);
  caller = process_start ("standin-caller", line);
}

/* Waits for a packet of TYPE and skips others.  */
static struct am_address
expect (uint8_t type, struct am_packet *p)
{
  struct am_address from;

  for (;;)
    {
      ssize_t n
          = udp_receive (service, buf, sizeof buf, PROCESS_WAIT_MS, &from);

      ck_assert_msg (n > 0, "no packet of type %d", type);
      ck_assert_int_eq (am_packet_decode (p, buf, (size_t)n), AM_OK);
      if (p->type == type)
        return from;
    }
}

static void
reply (struct am_address to, const struct am_packet *p)
{
  uint8_t out[AM_PACKET_SIZE_MAX];
  char text[AM_ADDRESS_TEXT_SIZE];
  size_t len = 0;

  ck_assert_int_eq (am_packet_encode (p, out, sizeof out, &len), AM_OK);
  udp_send (service, am_address_format (to, text), out, len);
}

/* Answers with a ticket for UPSTREAM, different for each SERIAL.  */
static void
reply_ticket (struct am_address to, uint64_t id, uint32_t upstream,
              uint64_t serial)
{
  uint8_t key[AM_TICKET_KEY_SIZE] = { 1 };
  uint8_t ticket[AM_TICKET_SIZE];
  struct am_ticket t = { .upstream_id = upstream, .serial = serial };
  struct am_ticket_scope scope = { .connection_id = id };
  struct am_packet p
      = { .type = AM_PACKET_OPENED, .connection_id = id, .ticket = ticket };

  am_ticket_seal (&t, &scope, key, ticket);
  reply (to, &p);
}

static void
reply_reset (struct am_address to, uint64_t id, int error)
{
  struct am_reason_body reason = { error };
  uint8_t body[AM_REASON_BODY_SIZE];
  struct am_packet p = { .type = AM_PACKET_RESET,
                         .connection_id = id,
                         .body = body,
                         .body_len = sizeof body };

  am_reason_body_encode (&reason, body);
  reply (to, &p);
}

/* A RESET must make the caller open under a new id; a late refusal of an OPEN
   must not end an open flow.  */
START_TEST (test_reset_opens_anew)
{
  struct am_packet p;
  struct am_address from;
  uint64_t id;

  start ("--flows s:1");
  from = expect (AM_PACKET_OPEN, &p);
  id = p.connection_id;
  reply_ticket (from, id, 1, 1);
  expect (AM_PACKET_PING, &p);
  reply_reset (from, id, AM_E_RATE);
  expect (AM_PACKET_PING, &p);
  ck_assert_uint_eq (p.connection_id, id);
  reply_reset (from, id, AM_E_FLOW_UNKNOWN);
  expect (AM_PACKET_OPEN, &p);
  ck_assert_uint_ne (p.connection_id, id);
  process_stop (caller);
}
END_TEST

/* A second ticket for another upstream must be closed, one for the same
   upstream must not: its CLOSE would end the flow itself.  */
START_TEST (test_duplicate_ticket_is_closed)
{
  struct am_packet p;
  struct am_ticket t;
  struct am_address from;
  uint64_t id;

  start ("--flows s:1");
  from = expect (AM_PACKET_OPEN, &p);
  id = p.connection_id;
  reply_ticket (from, id, 1, 1);
  reply_ticket (from, id, 1, 2);
  reply_ticket (from, id, 2, 3);
  expect (AM_PACKET_CLOSE, &p);
  ck_assert_int_eq (am_ticket_peek (&t, p.ticket), AM_OK);
  ck_assert_uint_eq (t.upstream_id, 2);
  process_stop (caller);
}
END_TEST

/* A caller that lost a segment must ask for that one alone, and take the
   answer as whole only with it.  */
START_TEST (test_missing_segment_is_asked_for)
{
  struct am_packet p;
  struct am_request_body head;
  struct am_segment_body s = { .count = 2, .total_len = AM_SEGMENT_SIZE + 9 };
  uint8_t body[AM_SEGMENT_BODY_SIZE + AM_SEGMENT_SIZE] = { 0 };
  struct am_packet answer = { .type = AM_PACKET_ANSWER, .body = body };
  struct am_address from;
  uint64_t id;

  start ("--closed s:0:one_time:1");
  from = expect (AM_PACKET_OPEN, &p);
  id = p.connection_id;
  reply_ticket (from, id, 0, 1);
  expect (AM_PACKET_REQUEST, &p);
  s.index = 1;
  am_segment_body_encode (&s, body);
  answer.connection_id = id;
  answer.body_len = AM_SEGMENT_BODY_SIZE + 9;
  reply (from, &answer);
  do
    {
      expect (AM_PACKET_REQUEST, &p);
      ck_assert_int_eq (am_request_body_decode (&head, p.body, p.body_len),
                        AM_OK);
    }
  while (head.received == 0);
  ck_assert_uint_eq (head.received, 2);
  s.index = 0;
  am_segment_body_encode (&s, body);
  answer.body_len = AM_SEGMENT_BODY_SIZE + AM_SEGMENT_SIZE;
  reply (from, &answer);
  do
    expect (AM_PACKET_OPEN, &p);
  while (p.connection_id == id);
  kill (caller, SIGKILL);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("caller_standin");
  TCase *tc = tcase_create ("caller");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tc, 30);
  tcase_add_test (tc, test_reset_opens_anew);
  tcase_add_test (tc, test_duplicate_ticket_is_closed);
  tcase_add_test (tc, test_missing_segment_is_asked_for);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
