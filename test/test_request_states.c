/* Every event in every state of a request, in the transition table and at the
   forwarder that issued the ticket.  */

#include "base/error.h"
#include "core/requests/request_table.h"
#include "core_board.h"
#include "wire/proxy_header.h"

struct issuer
{
  struct am_board board;
  struct am_service *service;
  struct am_upstream *upstream;
  struct am_request_arrival arrival;
  char outcome; /* A, N, U of the last reply; '-': none */
  char stream;  /* R, C: last packet to the upstream; '-': none */
  size_t segments;
  unsigned retried; /* lines of this decision */
};

enum event
{
  REQUEST,
  CANCEL,
  ANSWER,
  REFUSED,
  UNSURE, /* OUTCOME with UNKNOWN from the upstream */
  LOST,
  DEADLINE,
  RETENTION,
  REMOVED, /* the service */
  EVENTS
};

#define RETRIED "event=request_retried "

static void
emit (void *userdata, const struct am_action *a)
{
  struct issuer *x = userdata;
  struct am_packet p;

  if (a->type == AM_ACTION_LOG)
    x->retried += a->len > strlen (RETRIED)
                  && memcmp (a->data, RETRIED, strlen (RETRIED)) == 0;
  if (a->type == AM_ACTION_STREAM
      && !am_packet_decode_stream (&p, a->data, a->len))
    x->stream = p.type == AM_PACKET_REQUEST ? 'R' : 'C';
  if (a->type != AM_ACTION_CALLER
      || am_packet_decode (&p, a->data + AM_PROXY_HEADER_SIZE,
                           a->len - AM_PROXY_HEADER_SIZE))
    return;
  x->segments += p.type == AM_PACKET_ANSWER;
  if (p.type == AM_PACKET_ANSWER)
    x->outcome = 'A';
  else
    x->outcome = p.body[0] == AM_OUTCOME_NOT_RUN ? 'N' : 'U';
}

static void
issuer_init (struct issuer *x, bool one_time)
{
  struct board_options o = { .vms = 1,
                             .upstreams = 1,
                             .slots = 1,
                             .connections = 1,
                             .class_count = 1,
                             .classes = { { .one_time = one_time } } };
  struct am_sink sink = { emit, x };

  memset (x, 0, sizeof *x);
  x->service = board_make (&x->board, 1, &o, &sink);
  x->upstream = am_service_upstream (x->service, am_hash_name ("u-0"));
  x->board.now_us = 1000000;
  x->arrival = (struct am_request_arrival){ .service = x->service,
                                            .connection_id = 5 };
  am_requests_issue (&x->board, x->service, 0, &x->arrival.ticket);
}

static void
reply (struct issuer *x, uint8_t outcome, size_t answer_len)
{
  static uint8_t body[AM_LOAD_SIZE + AM_ANSWER_SIZE_MAX];
  struct am_outcome_body o = { outcome, AM_E_SHED };
  struct am_packet p
      = { .type = outcome ? AM_PACKET_OUTCOME : AM_PACKET_ANSWER,
          .connection_id = 5,
          .sequence = (uint32_t)x->arrival.ticket.serial,
          .body = body,
          .body_len
          = AM_LOAD_SIZE + (outcome ? AM_OUTCOME_BODY_SIZE : answer_len) };

  if (outcome)
    am_outcome_body_encode (&o, body + AM_LOAD_SIZE);
  ck_assert_int_eq (am_requests_upstream_packet (&x->board, x->upstream, &p),
                    AM_OK);
}

static void
pass (struct issuer *x, uint64_t us)
{
  x->board.now_us += us;
  am_requests_tick (&x->board);
}

static void
apply (struct issuer *x, enum event e)
{
  x->outcome = '-';
  x->stream = '-';
  if (e == REQUEST)
    am_requests_receive (&x->board, &x->arrival);
  else if (e == CANCEL)
    am_requests_cancel (&x->board, x->service, x->arrival.caller, 5,
                        &x->arrival.ticket);
  else if (e == ANSWER || e == REFUSED || e == UNSURE)
    reply (x,
           e == ANSWER    ? 0
           : e == REFUSED ? AM_OUTCOME_NOT_RUN
                          : AM_OUTCOME_UNKNOWN,
           10);
  else if (e == LOST)
    am_requests_connection_lost (&x->board, x->service->id, x->upstream->id);
  else if (e == REMOVED)
    am_requests_service_removed (&x->board, x->service);
  else
    pass (x, e == DEADLINE ? 5000001 : 11000000);
}

/* Brings a new issuer to the state with LETTER.  */
static void
bring_to (struct issuer *x, char letter)
{
  x->upstream->health.avoid_until_us = letter == 'q' ? UINT64_MAX : 0;
  if (letter != 'n')
    apply (x, letter == 'N' ? CANCEL : REQUEST);
  if (letter == 'a' || letter == 'f')
    apply (x, ANSWER);
  if (letter == 'U')
    apply (x, DEADLINE);
  if (letter == 'f')
    apply (x, RETENTION);
}

static char
state_of (struct issuer *x)
{
  struct am_request *r
      = am_request_table_find (x->board.requests, x->arrival.ticket.serial);

  if (r)
    return "nqsaNUf"[r->state];
  return am_serial_state (&x->board.requests->serials,
                          x->arrival.ticket.serial)
                 == AM_SERIAL_USED
             ? 'f'
             : 'n';
}

/* State and reply after each event, in the order of enum event.  */
struct row
{
  char state;
  const char *after[EVENTS];
};

static const struct row one_time_rows[] = {
  { 'n', { "s-", "NN", "n-", "n-", "n-", "n-", "n-", "n-", "n-" } },
  { 'q', { "q-", "NN", "q-", "q-", "q-", "q-", "NN", "NN", "fN" } },
  { 's', { "s-", "s-", "aA", "q-", "UU", "UU", "UU", "UU", "fU" } },
  { 'a', { "aA", "a-", "a-", "a-", "a-", "a-", "a-", "f-", "f-" } },
  { 'N', { "NN", "NN", "N-", "N-", "N-", "N-", "N-", "f-", "f-" } },
  { 'U', { "UU", "UU", "U-", "U-", "U-", "U-", "U-", "f-", "f-" } },
  { 'f', { "fU", "fU", "f-", "f-", "f-", "f-", "f-", "f-", "f-" } },
};

/* A repeatable request differs where it may have run: it is retried at once,
   or queued while the upstream is avoided.  */
static const struct row repeatable_sent
    = { 's', { "s-", "s-", "aA", "q-", "s-", "q-", "UU", "UU", "fU" } };

static void
check_row (const struct row *row, bool one_time)
{
  for (int e = 0; e < EVENTS; e++)
    {
      struct issuer x;

      issuer_init (&x, one_time);
      bring_to (&x, row->state);
      ck_assert_int_eq (state_of (&x), row->state);
      apply (&x, (enum event)e);
      ck_assert_msg (
          state_of (&x) == row->after[e][0] && x.outcome == row->after[e][1],
          "state %c event %d: %c%c", row->state, e, state_of (&x), x.outcome);
      if (row->state == 's' && e == CANCEL)
        ck_assert_int_eq (x.stream, 'C');
      board_free (&x.board);
    }
}

/* Guards against a transition that the design's table does not allow.  */
START_TEST (test_every_event_in_every_state)
{
  for (size_t i = 0; i < sizeof one_time_rows / sizeof one_time_rows[0]; i++)
    {
      check_row (&one_time_rows[i], true);
      check_row (one_time_rows[i].state == 's' ? &repeatable_sent
                                               : &one_time_rows[i],
                 false);
    }
}
END_TEST

/* Guards against a change of the transition table: checks which pairs change
   state, and that a final state is left only when the request is removed.  */
START_TEST (test_table)
{
  static const char *const rows[] = {
    /* accept refuse send answer shed lost retry deadline cancel forget */
    "qN-----NN-", "-Ns----NN-", "---aqUqU--", "---------f",
    "---------f", "---------f", "----------",
  };

  for (int s = 0; s < AM_REQUEST_STATES; s++)
    {
      for (int e = 0; e < AM_REQUEST_EVENTS; e++)
        {
          enum am_request_state to = am_request_next (
              (enum am_request_state)s, (enum am_request_event)e, false);
          char expected = rows[s][e];

          ck_assert_int_eq ((int)to == s ? '-' : "nqsaNUf"[to], expected);
          if (expected == 'N')
            ck_assert_int_eq (am_request_next ((enum am_request_state)s,
                                               (enum am_request_event)e, true),
                              AM_REQUEST_UNKNOWN);
        }
    }
}
END_TEST

/* Guards against lost segments: a retransmitted REQUEST gets exactly the
   segments that it does not mark as received.  */
START_TEST (test_segments_are_sent_again)
{
  struct issuer x;

  issuer_init (&x, true);
  apply (&x, REQUEST);
  reply (&x, 0, AM_ANSWER_SIZE_MAX);
  ck_assert_uint_eq (x.segments, AM_SEGMENTS_MAX);
  x.arrival.body.received = ~(uint64_t)5;
  apply (&x, REQUEST);
  ck_assert_uint_eq (x.segments, AM_SEGMENTS_MAX + 2);
  board_free (&x.board);
}
END_TEST

/* Guards against an unbounded answer cache, and against an evicted answer that
   is neither sent completely nor reported as UNKNOWN.  */
START_TEST (test_answer_cache_is_bounded)
{
  struct issuer x;
  struct am_ticket first;

  issuer_init (&x, true);
  first = x.arrival.ticket;
  for (size_t i = 0; i <= AM_ANSWER_CACHE_BYTES / AM_ANSWER_SIZE_MAX; i++)
    {
      apply (&x, REQUEST);
      reply (&x, 0, AM_ANSWER_SIZE_MAX);
      ck_assert_uint_le (x.board.requests->answer_bytes,
                         AM_ANSWER_CACHE_BYTES);
      am_requests_issue (&x.board, x.service, 0, &x.arrival.ticket);
    }
  x.arrival.ticket = first;
  apply (&x, REQUEST);
  ck_assert_int_eq (x.outcome, 'U');
  board_free (&x.board);
}
END_TEST

/* Guards against a serial that is accepted again once it is below the window,
   and against a ticket accepted after its use window.  */
START_TEST (test_serials)
{
  struct issuer x;
  struct am_ticket late;

  issuer_init (&x, true);
  am_requests_issue (&x.board, x.service, 0, &late);
  for (uint32_t i = 0; i < AM_SERIAL_WINDOW_SIZE; i++)
    {
      struct am_ticket t;

      am_requests_issue (&x.board, x.service, 0, &t);
    }
  apply (&x, REQUEST);
  ck_assert_int_eq (x.outcome, 'U');
  x.arrival.ticket.serial = UINT64_MAX;
  apply (&x, REQUEST);
  ck_assert_int_eq (x.outcome, 'U');
  am_requests_issue (&x.board, x.service, 0, &x.arrival.ticket);
  pass (&x, AM_TICKET_USE_WINDOW_MS * 1000 + 1000);
  apply (&x, REQUEST);
  ck_assert_int_eq (x.outcome, 'N');
  board_free (&x.board);
}
END_TEST

/* Guards against an exit that interrupts a request, or that comes before an
   issued ticket expires or a lost answer can be requested again.  */
START_TEST (test_stop_waits)
{
  struct issuer x;
  struct am_ticket t;

  issuer_init (&x, true);
  x.board.stopping = true;
  x.board.stopping_since_us = x.board.now_us;
  ck_assert_int_eq (am_requests_issue (&x.board, x.service, 0, &t),
                    AM_E_STOPPING);
  apply (&x, REQUEST);
  pass (&x, 3000000);
  ck_assert (!am_requests_may_exit (&x.board));
  apply (&x, ANSWER);
  pass (&x, 900000);
  ck_assert (!am_requests_may_exit (&x.board));
  pass (&x, 200000);
  ck_assert (am_requests_may_exit (&x.board));
  board_free (&x.board);
}
END_TEST

/* Guards against a queue wait that is not measured, or that includes the time
   at an upstream that refused.  */
START_TEST (test_queue_wait)
{
  const struct am_histogram *h;
  struct issuer x;

  issuer_init (&x, true);
  h = &x.board.queue_wait;
  apply (&x, REQUEST);
  ck_assert_uint_eq (h->total, 1);
  pass (&x, 400000);
  apply (&x, REFUSED);
  while (h->total == 1 && x.board.now_us < 3000000)
    pass (&x, 10000);
  ck_assert_uint_eq (h->total, 2);
  ck_assert_uint_gt (h->sum_ns, 0);
  ck_assert_uint_lt (h->sum_ns, 400000000);
  board_free (&x.board);
}
END_TEST

/* Guards against a retry without a log line.  */
START_TEST (test_retry_is_logged)
{
  struct issuer x;

  issuer_init (&x, false);
  x.board.log_decisions = true;
  apply (&x, REQUEST);
  ck_assert_uint_eq (x.retried, 0);
  apply (&x, LOST);
  ck_assert_uint_eq (x.retried, 1);
  ck_assert_uint_eq (x.board.counters.retries, 1);
  board_free (&x.board);
}
END_TEST

int
main (void)
{
  const TTest *const tests[] = { test_every_event_in_every_state,
                                 test_table,
                                 test_segments_are_sent_again,
                                 test_answer_cache_is_bounded,
                                 test_serials,
                                 test_stop_waits,
                                 test_queue_wait,
                                 test_retry_is_logged };

  return RUN_TESTS ("request_states", tests);
}
