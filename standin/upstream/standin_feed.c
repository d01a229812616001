#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "caller/standin_caller.h"
#include "wire/ticket.h"

#define US_PER_MS 1000u
#define US_PER_SECOND 1000000u

/* An OPEN without an answer is sent again after this time, doubling.  */
#define OPEN_FIRST_US 200000u
#define OPEN_LAST_US 1000000u

/* Pause after a refused OPEN, and the spread added to it.  */
#define REFUSED_US 100000u
#define REFUSED_SPREAD_US 200000u

/* A ping is sent this many times in its interval until it is answered, so
   that single losses do not count as silence.  */
#define PING_TRIES 4

/* Intervals without a PONG after which the caller opens anew by its own timer,
   whatever else arrives: alerts may still come down a path that lost the way
   up.  The entry VMs report silence one interval before.  */
#define SILENT_INTERVALS 4.5

/* Every second interval carries DATA up.  */
#define DATA_EVERY 2

enum feed_state
{
  FEED_OPENING,
  FEED_OPEN,
};

struct standin_feed
{
  struct standin_timer timer;
  UT_hash_handle hh;
  struct standin_caller_service *service;
  struct am_udp_port *port;
  struct am_udp_port own[2]; /* opaque: the flow is its address and port; a
                                re-opened one changes to the other */
  uint64_t id;
  enum feed_state state;
  uint8_t ticket[AM_TICKET_SIZE];
  uint64_t started_us; /* first OPEN of this id */
  uint64_t broken_us;  /* when the flow before it ended, 0: none */
  uint64_t backoff_us;
  uint64_t heard_us;
  uint64_t pong_us;
  uint32_t ping_sequence;
  uint8_t ping_tries;
  bool answered;
  uint8_t unanswered;
  uint32_t data_sequence;
  uint32_t alert_sequence;
};

/* ---- sending ----------------------------------------------------------- */

static void
send_packet (struct standin_feed *f, uint8_t type, uint32_t sequence,
             const uint8_t *ticket, const uint8_t *body, size_t len)
{
  struct am_packet p = { .type = type,
                         .connection_id = f->id,
                         .sequence = sequence,
                         .ticket = ticket,
                         .body = body,
                         .body_len = len };

  standin_caller_send (f->port, f->service, &p);
}

/* Sends a text message: the payload of an opaque flow or the body of DATA. */
static void
send_message (struct standin_feed *f, char letter, uint32_t sequence,
              size_t pad)
{
  struct standin_message m = { .letter = letter,
                               .flow = f->id,
                               .sequence = sequence,
                               .time_us = standin_now_us () };
  uint8_t buf[STANDIN_MESSAGE_MAX];
  size_t len = standin_message_encode (&m, pad, buf);

  if (f->service->opaque)
    am_udp_send (f->port, f->service->address, buf, len);
  else
    send_packet (f, AM_PACKET_DATA, sequence, f->ticket, buf, len);
}

static void
send_open (struct standin_feed *f)
{
  struct am_open_body open = { AM_OPEN_FLOW, 0 };
  uint8_t body[AM_OPEN_BODY_SIZE];

  if (f->service->opaque)
    {
      send_message (f, STANDIN_OPEN, 0, 0);
      return;
    }
  am_open_body_encode (&open, body);
  send_packet (f, AM_PACKET_OPEN, 0, NULL, body, sizeof body);
}

static void
send_ping (struct standin_feed *f)
{
  if (f->service->opaque)
    send_message (f, STANDIN_PING, f->ping_sequence, 0);
  else
    send_packet (f, AM_PACKET_PING, f->ping_sequence, f->ticket,
                 &f->unanswered, 1);
}

static void
send_data (struct standin_feed *f)
{
  struct standin_caller *c = f->service->caller;

  f->data_sequence++;
  standin_history_event (&c->history, "sent",
                         "\"flow\":\"%" PRIu64 "\",\"seq\":%" PRIu32, f->id,
                         f->data_sequence);
  send_message (f, STANDIN_DATA, f->data_sequence, c->options.payload_bytes);
}

static void
send_close (struct standin_feed *f, const uint8_t *ticket)
{
  if (f->service->opaque)
    send_message (f, STANDIN_CLOSE, 0, 0);
  else
    send_packet (f, AM_PACKET_CLOSE, 0, ticket, NULL, 0);
}

/* ---- life of a flow -------------------------------------------------------
 */

static void
set_timer (struct standin_feed *f, uint64_t due_us)
{
  standin_timer_set (&f->service->caller->wheel, &f->timer, due_us);
}

/* Gives F a new id and sends its first OPEN.  */
static void
begin (struct standin_feed *f)
{
  struct standin_caller *c = f->service->caller;

  f->id = standin_caller_id (c);
  HASH_ADD (hh, c->feeds, id, sizeof f->id, f);
  f->state = FEED_OPENING;
  f->started_us = standin_now_us ();
  f->backoff_us = OPEN_FIRST_US;
  f->unanswered = 0;
  f->answered = true;
  f->ping_sequence = 0;
  f->ping_tries = PING_TRIES;
  f->data_sequence = 0;
  f->alert_sequence = 0;
  standin_history_event (&c->history, "open",
                         "\"flow\":\"%" PRIu64 "\",\"service\":\"%s\"", f->id,
                         f->service->name);
  send_open (f);
  set_timer (f, f->started_us + f->backoff_us);
}

static void
note_gap (struct standin_feed *f, uint64_t now_us)
{
  struct standin_feed_counts *n = &f->service->caller->feed_counts;

  if (now_us - f->heard_us > n->max_gap_us)
    n->max_gap_us = now_us - f->heard_us;
  f->heard_us = now_us;
}

static void on_opaque (void *userdata, struct am_address from,
                       const uint8_t *data, size_t len);

/* Opens the socket of an opaque flow that is not in use, and closes the other
   one.  Returns AM_OK or AM_E_IO.  */
static int
change_port (struct standin_feed *f)
{
  struct am_udp_port *old = f->port;
  struct am_udp_port *next = &f->own[old == &f->own[0]];
  struct am_address address = am_udp_address (old);
  int err;

  address.port = 0;
  err = am_udp_open (next, &f->service->caller->program.loop, address,
                     on_opaque, f);
  if (err)
    return err;
  f->port = next;
  if (old == &f->own[0] || old == &f->own[1])
    am_udp_close (old);
  return AM_OK;
}

/* The flow ended against the caller's wish: opens it anew.  */
static void
break_flow (struct standin_feed *f, int error)
{
  struct standin_caller *c = f->service->caller;
  struct standin_feed_counts *n = &c->feed_counts;
  uint64_t old = f->id;
  uint64_t now = standin_now_us ();

  n->broken++;
  if (-error < STANDIN_REASONS)
    n->reasons[-error]++;
  standin_history_event (&c->history, "broken",
                         "\"flow\":\"%" PRIu64 "\",\"reason\":\"%s\"", old,
                         am_error_name (error));
  note_gap (f, now);
  HASH_DEL (c->feeds, f);
  f->broken_us = now;
  if (f->service->opaque)
    change_port (f);
  begin (f);
  standin_history_event (&c->history, "reopen",
                         "\"flow\":\"%" PRIu64 "\",\"old\":\"%" PRIu64
                         "\",\"reason\":\"%s\"",
                         f->id, old, am_error_name (error));
}

static void
set_open (struct standin_feed *f)
{
  struct standin_caller *c = f->service->caller;
  struct standin_feed_counts *n = &c->feed_counts;
  uint64_t now = standin_now_us ();

  f->state = FEED_OPEN;
  f->heard_us = now;
  f->pong_us = now;
  n->opened++;
  standin_values_add (&n->open_us, now - f->started_us);
  if (f->broken_us)
    {
      n->reopened++;
      standin_values_add (&n->reopen_us, now - f->broken_us);
    }
  f->broken_us = 0;
  standin_history_event (
      &c->history, "opened",
      "\"flow\":\"%" PRIu64 "\",\"service\":\"%s\",\"ms\":%.3f", f->id,
      f->service->name, (double)(now - f->started_us) / US_PER_MS);
  set_timer (f, now
                    + (uint64_t)(am_rng_unit (&c->rng)
                                 * (double)(c->options.ping_ms * US_PER_MS)));
}

/* Sends the present ping again, or begins the next one.  */
static void
ping (struct standin_feed *f, uint64_t now_us)
{
  struct standin_caller *c = f->service->caller;
  uint64_t interval_us = c->options.ping_ms * US_PER_MS;

  if (f->ping_tries < PING_TRIES && !f->answered)
    {
      f->ping_tries++;
      send_ping (f);
    }
  else if (f->ping_tries >= PING_TRIES)
    {
      if (!f->answered && f->unanswered < UINT8_MAX)
        f->unanswered++;
      f->ping_sequence++;
      f->ping_tries = 1;
      f->answered = false;
      send_ping (f);
      if (f->ping_sequence % DATA_EVERY == 0)
        send_data (f);
    }
  else
    f->ping_tries++;
  set_timer (f, now_us + interval_us / PING_TRIES);
}

static void
fire (struct standin_timer *t, uint64_t now_us)
{
  struct standin_feed *f = am_container_of (t, struct standin_feed, timer);
  struct standin_caller *c = f->service->caller;
  double silent_us
      = SILENT_INTERVALS * (double)(c->options.ping_ms * US_PER_MS);

  if (f->state == FEED_OPENING)
    {
      f->backoff_us *= 2;
      if (f->backoff_us > OPEN_LAST_US)
        f->backoff_us = OPEN_LAST_US;
      send_open (f);
      set_timer (f, now_us + f->backoff_us);
    }
  else if ((double)(now_us - f->pong_us) > silent_us)
    {
      send_close (f, f->ticket);
      break_flow (f, AM_E_TIMEOUT);
    }
  else
    ping (f, now_us);
}

/* ---- receiving
 * ------------------------------------------------------------------ */

static void
take_alert (struct standin_feed *f, const struct standin_message *m)
{
  struct standin_caller *c = f->service->caller;
  struct standin_feed_counts *n = &c->feed_counts;
  uint64_t now = standin_now_us ();
  uint64_t latency = now > m->time_us ? now - m->time_us : 0;

  if (m->letter != STANDIN_ALERT)
    return;
  send_message (f, STANDIN_ACK, m->sequence, 0);
  if (m->sequence <= f->alert_sequence)
    {
      n->alerts_repeated++;
      return;
    }
  n->alerts_missed += m->sequence - f->alert_sequence - 1;
  f->alert_sequence = m->sequence;
  n->alerts++;
  standin_values_add (&n->alert_us, latency);
  standin_history_event (&c->history, "alert",
                         "\"flow\":\"%" PRIu64 "\",\"seq\":%" PRIu32
                         ",\"upstream\":\"%s\",\"service\":\"%s\","
                         "\"latency_us\":%" PRIu64,
                         f->id, m->sequence, m->upstream, m->service, latency);
}

static void
take_pong (struct standin_feed *f, uint32_t sequence)
{
  f->unanswered = 0;
  f->pong_us = standin_now_us ();
  if (sequence == f->ping_sequence)
    f->answered = true;
}

/* Returns true if ERROR refuses an OPEN and says nothing about an open
   flow.  */
static bool
refuses_open (int error)
{
  switch (error)
    {
    case AM_E_RATE:
    case AM_E_LIMIT:
    case AM_E_NO_UPSTREAM:
    case AM_E_STOPPING:
    case AM_E_DRAINING:
    case AM_E_SHED:
    case AM_E_TIMEOUT:
    case AM_E_QUEUE_FULL:
      return true;
    default:
      return false;
    }
}

static void
take_reset (struct standin_feed *f, int error)
{
  struct standin_caller *c = f->service->caller;

  if (f->state == FEED_OPENING)
    {
      c->feed_counts.refused++;
      set_timer (f, standin_now_us () + REFUSED_US
                        + am_rng_below (&c->rng, REFUSED_SPREAD_US));
    }
  else if (!refuses_open (error))
    break_flow (f, error);
}

/* A second ticket for an open flow is closed, unless it leads to the same
   upstream: there the flow is one, and a CLOSE would end it.  */
static void
take_duplicate (struct standin_feed *f, const uint8_t *ticket)
{
  struct am_ticket own;
  struct am_ticket other;

  if (memcmp (ticket, f->ticket, AM_TICKET_SIZE) == 0)
    return;
  f->service->caller->feed_counts.duplicate_tickets++;
  if (am_ticket_peek (&own, f->ticket) == AM_OK
      && am_ticket_peek (&other, ticket) == AM_OK
      && (own.upstream_id != other.upstream_id
          || own.upstream_incarnation != other.upstream_incarnation))
    send_close (f, ticket);
}

static void
take_opened (struct standin_feed *f, const struct am_packet *p)
{
  if (!p->ticket)
    return;
  if (f->state == FEED_OPEN)
    {
      take_duplicate (f, p->ticket);
      return;
    }
  memcpy (f->ticket, p->ticket, AM_TICKET_SIZE);
  set_open (f);
}

static void
take_packet (struct standin_feed *f, const struct am_packet *p)
{
  struct am_reason_body reason = { AM_E_INTERNAL };
  struct standin_message m;

  switch (p->type)
    {
    case AM_PACKET_OPENED:
      take_opened (f, p);
      break;
    case AM_PACKET_PONG:
      take_pong (f, p->sequence);
      break;
    case AM_PACKET_RENEWED:
      if (p->ticket && f->state == FEED_OPEN)
        {
          memcpy (f->ticket, p->ticket, AM_TICKET_SIZE);
          f->service->caller->feed_counts.renewed++;
        }
      break;
    case AM_PACKET_DATA:
      if (standin_message_decode (&m, p->body, p->body_len) == AM_OK)
        take_alert (f, &m);
      break;
    case AM_PACKET_RESET:
      am_reason_body_decode (&reason, p->body, p->body_len);
      take_reset (f, reason.error);
      break;
    case AM_PACKET_CLOSE:
      if (f->state == FEED_OPEN)
        break_flow (f, AM_E_CONNECTION);
      break;
    default:
      break;
    }
}

bool
standin_feeds_packet (struct standin_caller *c, const struct am_packet *p)
{
  struct standin_feed *f;

  HASH_FIND (hh, c->feeds, &p->connection_id, sizeof p->connection_id, f);
  if (!f)
    return false;
  if (f->state == FEED_OPEN && p->type != AM_PACKET_RESET)
    note_gap (f, standin_now_us ());
  take_packet (f, p);
  return true;
}

/* A datagram of an opaque flow.  */
static void
on_opaque (void *userdata, struct am_address from, const uint8_t *data,
           size_t len)
{
  struct standin_feed *f = userdata;
  struct standin_message m;

  if (!am_address_equal (from, f->service->address)
      || standin_message_decode (&m, data, len) != AM_OK || m.flow != f->id)
    return;
  if (m.letter == STANDIN_REFUSED)
    {
      take_reset (f, -(int)m.sequence);
      return;
    }
  if (f->state == FEED_OPENING && m.letter == STANDIN_OPENED)
    set_open (f);
  if (f->state != FEED_OPEN)
    return;
  note_gap (f, standin_now_us ());
  if (m.letter == STANDIN_PONG)
    take_pong (f, m.sequence);
  else
    take_alert (f, &m);
}

/* ---- start and stop
 * ---------------------------------------------------------------- */

static void
start_feed (struct standin_caller_service *s)
{
  struct standin_caller *c = s->caller;
  struct standin_feed *f = calloc (1, sizeof *f);
  uint32_t source = s->flows_started % STANDIN_SOURCES;

  if (!f)
    return;
  f->service = s;
  f->port = &c->sources[source];
  f->own[0].fd = -1;
  f->own[1].fd = -1;
  standin_timer_init (&f->timer, fire);
  if (s->opaque && change_port (f) != AM_OK)
    {
      free (f);
      return;
    }
  begin (f);
}

void
standin_feeds_start (struct standin_caller *c, uint64_t now_us)
{
  double rate = (double)c->options.open_rate;

  c->open_tokens += rate * (double)(now_us - c->open_at_us) / US_PER_SECOND;
  c->open_at_us = now_us;
  if (c->open_tokens > rate)
    c->open_tokens = rate;
  for (size_t i = 0; i < c->service_count; i++)
    {
      struct standin_caller_service *s = &c->services[i];

      while (s->flows_started < s->flows_wanted && c->open_tokens >= 1)
        {
          c->open_tokens--;
          start_feed (s);
          s->flows_started++;
        }
    }
}

void
standin_feeds_stop (struct standin_caller *c)
{
  struct standin_feed *f = c->feeds;

  HASH_CLEAR (hh, c->feeds);
  while (f)
    {
      struct standin_feed *next = f->hh.next;

      standin_timer_cancel (&f->timer);
      if (f->state == FEED_OPEN)
        {
          note_gap (f, standin_now_us ());
          send_close (f, f->ticket);
        }
      standin_history_event (&c->history, "close", "\"flow\":\"%" PRIu64 "\"",
                             f->id);
      c->feed_counts.closed++;
      if (f->service->opaque)
        am_udp_close (f->port);
      am_list_push_back (&c->finished, &f->timer.node);
      f = next;
    }
}

json_t *
standin_feeds_summary (struct standin_caller *c)
{
  struct standin_feed_counts *n = &c->feed_counts;
  json_t *reasons = json_object ();

  standin_reasons_summary (reasons, n->reasons);
  return json_pack (
      "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:f,s:o,s:o,s:o,s:o}",
      "opened", (json_int_t)n->opened, "refused", (json_int_t)n->refused,
      "broken", (json_int_t)n->broken, "reopened", (json_int_t)n->reopened,
      "closed", (json_int_t)n->closed, "renewed", (json_int_t)n->renewed,
      "alerts", (json_int_t)n->alerts, "alerts_repeated",
      (json_int_t)n->alerts_repeated, "alerts_missed",
      (json_int_t)n->alerts_missed, "duplicate_tickets",
      (json_int_t)n->duplicate_tickets, "max_gap_ms",
      (double)n->max_gap_us / US_PER_MS, "reasons", reasons, "open_us",
      standin_values_summary (&n->open_us), "alert_us",
      standin_values_summary (&n->alert_us), "reopen_us",
      standin_values_summary (&n->reopen_us));
}
