#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "standin_process.h"
#include "suite.h"
#include "wire/packet.h"
#include "wire/ticket.h"

#define SERVICE "@1:8001"
#define COMMON                                          \
  "--service s=" SERVICE ":ticket --history /dev/null " \
  "--address @2 --seconds 30 --ping-ms 1000 "

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
reply_with (struct am_address to, uint8_t type, uint64_t id,
            const uint8_t *body, size_t len)
{
  struct am_packet p
      = { .type = type, .connection_id = id, .body = body, .body_len = len };

  reply (to, &p);
}

static void
reply_reset (struct am_address to, uint64_t id, int error)
{
  struct am_reason_body reason = { error };
  uint8_t body[AM_REASON_BODY_SIZE];

  am_reason_body_encode (&reason, body);
  reply_with (to, AM_PACKET_RESET, id, body, sizeof body);
}

/* Starts a caller and answers its first OPEN with a ticket for UPSTREAM.
   Returns the id of the connection.  */
static uint64_t
start_opened (const char *arguments, uint32_t upstream,
              struct am_address *from)
{
  struct am_packet p;

  start (arguments);
  *from = expect (AM_PACKET_OPEN, &p);
  reply_ticket (*from, p.connection_id, upstream, 1);
  return p.connection_id;
}

/* A RESET must make the caller open under a new id; a late refusal of an OPEN
   must not end an open flow.  */
START_TEST (test_reset_opens_anew)
{
  struct am_packet p;
  struct am_address from;
  uint64_t id;

  id = start_opened ("--flows s:1", 1, &from);
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

  id = start_opened ("--flows s:1", 1, &from);
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
  struct am_address from;
  uint64_t id;

  id = start_opened ("--closed s:0:one_time:1", 0, &from);
  expect (AM_PACKET_REQUEST, &p);
  s.index = 1;
  am_segment_body_encode (&s, body);
  reply_with (from, AM_PACKET_ANSWER, id, body, AM_SEGMENT_BODY_SIZE + 9);
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
  reply_with (from, AM_PACKET_ANSWER, id, body, sizeof body);
  do
    expect (AM_PACKET_OPEN, &p);
  while (p.connection_id == id);
  kill (caller, SIGKILL);
}
END_TEST

static void
reply_outcome (struct am_address to, uint64_t id, enum am_outcome outcome,
               int error)
{
  struct am_outcome_body o = { .outcome = (uint8_t)outcome, .error = error };
  uint8_t body[AM_OUTCOME_BODY_SIZE];

  am_outcome_body_encode (&o, body);
  reply_with (to, AM_PACKET_OUTCOME, id, body, sizeof body);
}

/* Takes the OPEN of one attempt and ends it.  */
static void
end_attempt (enum am_outcome outcome, int error)
{
  struct am_packet p;
  struct am_address from = expect (AM_PACKET_OPEN, &p);
  uint64_t id = p.connection_id;

  reply_ticket (from, id, 0, 1);
  expect (AM_PACKET_REQUEST, &p);
  reply_outcome (from, id, outcome, error);
}

static int
count_in (const char *path, const char *text)
{
  FILE *in = fopen (path, "r");
  char line[512];
  int n = 0;

  ck_assert_ptr_nonnull (in);
  while (fgets (line, sizeof line, in))
    n += strstr (line, text) != NULL;
  fclose (in);
  return n;
}

/* A repeatable request that was UNKNOWN and, opened again, NOT-RUN may have
   run; one that the retry budget gave up must not be opened again, as that
   would undo the budget.  */
START_TEST (test_unknown_stays_unknown)
{
  char path[] = "/tmp/caller-history-XXXXXX";
  char arguments[128];
  struct am_packet p;
  int fd = mkstemp (path);

  ck_assert_int_ge (fd, 0);
  close (fd);
  snprintf (arguments, sizeof arguments,
            "--closed s:0:repeatable:1 --history %s", path);
  start (arguments);
  end_attempt (AM_OUTCOME_UNKNOWN, AM_E_CONNECTION);
  end_attempt (AM_OUTCOME_NOT_RUN, AM_E_QUEUE_FULL);
  end_attempt (AM_OUTCOME_UNKNOWN, AM_E_BUDGET);
  expect (AM_PACKET_OPEN, &p);
  process_stop (caller);
  ck_assert_int_eq (count_in (path, "\"ev\":\"request\""), 3);
  ck_assert_int_eq (count_in (path, "\"UNKNOWN\",\"reason\":\"queue_full"), 1);
  ck_assert_int_eq (count_in (path, "\"UNKNOWN\",\"reason\":\"budget"), 1);
  unlink (path);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("caller_standin");
  TCase *tc = tcase_create ("caller");

  tcase_set_timeout (tc, 30);
  tcase_add_test (tc, test_reset_opens_anew);
  tcase_add_test (tc, test_duplicate_ticket_is_closed);
  tcase_add_test (tc, test_missing_segment_is_asked_for);
  tcase_add_test (tc, test_unknown_stays_unknown);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
