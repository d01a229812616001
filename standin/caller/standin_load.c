#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/error.h"
#include "base/hash.h"
#include "caller/standin_caller.h"

#define US_PER_MS 1000u
#define US_PER_SECOND 1000000u

/* Retransmissions back off to this many times the first interval.  */
#define BACKOFF_MAX 8

/* Pause after a refused OPEN, and the spread added to it.  */
#define REFUSED_US 50000u
#define REFUSED_SPREAD_US 100000u

/* Lifetime of a ticketless request's id: no copy is sent later.  */
#define LIFETIME_US 10000000u

/* How long after its deadline a caller still waits for an outcome.  */
#define PATIENCE_US 3000000u

#define REQ_SIZE 48
#define RAN_REQ_SIZE 64

enum request_state
{
  REQUEST_OPENING,
  REQUEST_SENT,
};

struct standin_request
{
  struct standin_timer timer;
  UT_hash_handle hh;
  struct standin_load *load;
  struct am_udp_port *port;
  uint64_t id;
  char req[REQ_SIZE];
  enum request_state state;
  uint8_t ticket[AM_TICKET_SIZE];
  uint64_t started_us;
  uint64_t sent_us; /* first sending under ID */
  uint64_t deadline_us;
  uint64_t backoff_us;
  bool cancel;
  bool uncertain;    /* was UNKNOWN before it was opened again */
  uint64_t received; /* bitmap of segments */
  uint8_t segments;  /* 0: none yet */
  uint32_t total_len;
  uint8_t *answer;
};

static struct standin_caller *
caller_of (const struct standin_request *r)
{
  return r->load->service->caller;
}

/* ---- sending ------------------------------------------------------------ */

static void
send_open (struct standin_request *r)
{
  struct am_open_body open = { AM_OPEN_REQUEST, r->load->request_class };
  uint8_t body[AM_OPEN_BODY_SIZE];
  struct am_packet p = { .type = AM_PACKET_OPEN,
                         .connection_id = r->id,
                         .body = body,
                         .body_len = sizeof body };

  am_open_body_encode (&open, body);
  standin_caller_send (r->port, r->load->service, &p);
}

static const uint8_t *
ticket_of (const struct standin_request *r)
{
  return r->load->service->opaque ? NULL : r->ticket;
}

static void
send_request (struct standin_request *r)
{
  struct standin_caller *c = caller_of (r);
  struct am_request_body head
      = { (uint32_t)c->options.deadline_ms, r->received };
  uint8_t body[AM_REQUEST_BODY_SIZE + AM_REQUEST_SIZE_MAX];
  size_t pad = c->options.payload_bytes;
  struct am_packet p = { .type = AM_PACKET_REQUEST,
                         .connection_id = r->id,
                         .ticket = ticket_of (r),
                         .body = body };
  int len;

  if (!p.ticket)
    p.sequence = am_request_sequence (r->load->request_class,
                                      standin_now_us () - r->sent_us);
  if (pad > AM_REQUEST_SIZE_MAX)
    pad = AM_REQUEST_SIZE_MAX;
  am_request_body_encode (&head, body);
  memset (body + AM_REQUEST_BODY_SIZE, '.', AM_REQUEST_SIZE_MAX);
  len = snprintf ((char *)body + AM_REQUEST_BODY_SIZE, AM_REQUEST_SIZE_MAX,
                  "%s\n%s\n", r->req,
                  r->load->one_time ? "one_time" : "repeatable");
  body[AM_REQUEST_BODY_SIZE + len] = '.';
  p.body_len = AM_REQUEST_BODY_SIZE + ((size_t)len > pad ? (size_t)len : pad);
  standin_caller_send (r->port, r->load->service, &p);
}

static void
send_cancel (struct standin_request *r)
{
  struct am_packet p = { .type = AM_PACKET_CANCEL,
                         .connection_id = r->id,
                         .ticket = ticket_of (r) };

  standin_caller_send (r->port, r->load->service, &p);
}

/* ---- life of a request -----------------------------------------------------
 */

static void
set_timer (struct standin_request *r, uint64_t due_us)
{
  standin_timer_set (&caller_of (r)->wheel, &r->timer, due_us);
}

static void
forget_segments (struct standin_request *r)
{
  free (r->answer);
  r->answer = NULL;
  r->received = 0;
  r->segments = 0;
}

static void
send_first (struct standin_request *r)
{
  struct standin_caller *c = caller_of (r);

  send_request (r);
  if (!r->cancel)
    return;
  c->request_counts.cancelled++;
  send_cancel (r);
}

/* Opens a ticket, or sends the request without one, under a new connection id.
 */
static void
begin (struct standin_request *r, uint64_t now_us)
{
  struct standin_caller *c = caller_of (r);

  forget_segments (r);
  r->id = standin_caller_id (c);
  HASH_ADD (hh, c->requests, id, sizeof r->id, r);
  r->sent_us = now_us;
  r->backoff_us = c->options.retransmit_ms * US_PER_MS;
  if (r->load->service->opaque)
    {
      r->state = REQUEST_SENT;
      send_first (r);
    }
  else
    {
      r->state = REQUEST_OPENING;
      send_open (r);
    }
  set_timer (r, now_us + r->backoff_us);
}

static void
finish (struct standin_request *r)
{
  struct standin_caller *c = caller_of (r);

  r->load->in_progress--;
  standin_timer_cancel (&r->timer);
  HASH_DEL (c->requests, r);
  forget_segments (r);
  free (r);
}

static void
give_up (struct standin_request *r)
{
  struct standin_caller *c = caller_of (r);

  c->request_counts.gave_up++;
  standin_history_event (&c->history, "gave_up", "\"req\":\"%s\"", r->req);
  finish (r);
}

static void
back_off (struct standin_request *r)
{
  uint64_t most
      = caller_of (r)->options.retransmit_ms * US_PER_MS * BACKOFF_MAX;

  r->backoff_us *= 2;
  if (r->backoff_us > most)
    r->backoff_us = most;
}

static void
fire (struct standin_timer *t, uint64_t now_us)
{
  struct standin_request *r
      = am_container_of (t, struct standin_request, timer);
  uint64_t patience = r->state == REQUEST_SENT ? PATIENCE_US : 0;

  if (now_us > r->deadline_us + patience
      || (r->load->service->opaque && now_us > r->sent_us + LIFETIME_US))
    {
      give_up (r);
      return;
    }
  back_off (r);
  if (r->state == REQUEST_OPENING)
    send_open (r);
  else
    {
      caller_of (r)->request_counts.retransmitted++;
      if (r->cancel)
        send_cancel (r);
      send_request (r);
    }
  set_timer (r, now_us + r->backoff_us);
}

/* ---- receiving
 * ------------------------------------------------------------------- */

static void
take_ticket (struct standin_request *r, const struct am_packet *p)
{
  struct standin_caller *c = caller_of (r);

  if (r->state != REQUEST_OPENING || !p->ticket)
    return;
  memcpy (r->ticket, p->ticket, AM_TICKET_SIZE);
  r->state = REQUEST_SENT;
  r->backoff_us = c->options.retransmit_ms * US_PER_MS;
  send_first (r);
  set_timer (r, standin_now_us () + r->backoff_us);
}

static void
take_reset (struct standin_request *r)
{
  struct standin_caller *c = caller_of (r);

  if (r->state == REQUEST_OPENING)
    set_timer (r, standin_now_us () + REFUSED_US
                      + am_rng_below (&c->rng, REFUSED_SPREAD_US));
}

/* Reads the first words of an answer: the request it is for and the upstream
   that ran it.  */
static void
read_answer (const struct standin_request *r, char *ran_req, char *upstream)
{
  char line[RAN_REQ_SIZE + STANDIN_NAME_SIZE];
  size_t len = r->total_len < sizeof line ? r->total_len : sizeof line - 1;

  memcpy (line, r->answer, len);
  line[len] = '\0';
  ran_req[0] = '\0';
  upstream[0] = '\0';
  if (sscanf (line, "%63[A-Za-z0-9-] %63[A-Za-z0-9._-]", ran_req, upstream)
      < 1)
    snprintf (ran_req, RAN_REQ_SIZE, "unreadable");
}

static void
complete (struct standin_request *r)
{
  struct standin_caller *c = caller_of (r);
  struct standin_request_counts *n = &c->request_counts;
  char ran_req[RAN_REQ_SIZE];
  char upstream[STANDIN_NAME_SIZE];

  read_answer (r, ran_req, upstream);
  n->answered++;
  if (strcmp (ran_req, r->req) != 0)
    n->crossed++;
  standin_values_add (&n->latency_us, standin_now_us () - r->started_us);
  standin_history_event (
      &c->history, "answer",
      "\"req\":\"%s\",\"bytes\":%" PRIu32 ",\"digest\":\"%016" PRIx64
      "\",\"upstream\":\"%s\",\"ran_req\":\"%s\"",
      r->req, r->total_len, am_hash_bytes (r->answer, r->total_len, 0),
      upstream, ran_req);
  finish (r);
}

static bool
make_room (struct standin_request *r, const struct am_segment_body *s)
{
  if (r->segments == s->count && r->total_len == s->total_len)
    return true;
  forget_segments (r);
  if (s->total_len > AM_ANSWER_SIZE_MAX)
    return false;
  r->answer = malloc (s->total_len ? s->total_len : 1);
  if (!r->answer)
    return false;
  r->segments = s->count;
  r->total_len = s->total_len;
  return true;
}

static void
take_segment (struct standin_request *r, const struct am_packet *p)
{
  struct am_segment_body s;
  const uint8_t *data = p->body + AM_SEGMENT_BODY_SIZE;
  size_t len;
  size_t at;
  uint64_t all;

  if (r->state != REQUEST_SENT
      || am_segment_body_decode (&s, p->body, p->body_len) != AM_OK
      || s.index >= s.count || !make_room (r, &s))
    return;
  len = p->body_len - AM_SEGMENT_BODY_SIZE;
  at = (size_t)s.index * AM_SEGMENT_SIZE;
  if (at + len > s.total_len)
    return;
  memcpy (r->answer + at, data, len);
  r->received |= (uint64_t)1 << s.index;
  all = s.count == AM_SEGMENTS_MAX ? UINT64_MAX : ((uint64_t)1 << s.count) - 1;
  if (r->received == all)
    complete (r);
}

/* A repeatable request whose issuer lost it opens again.  One that the issuer
   gave up for want of budget does not: that would be the retry which the
   budget denied.  */
static bool
open_again (struct standin_request *r, const struct am_outcome_body *o)
{
  struct standin_caller *c = caller_of (r);
  uint64_t now = standin_now_us ();

  if (r->load->one_time || o->outcome != AM_OUTCOME_UNKNOWN
      || o->error == AM_E_BUDGET || now >= r->deadline_us)
    return false;
  c->request_counts.reopened++;
  r->uncertain = true;
  HASH_DEL (c->requests, r);
  begin (r, now);
  return true;
}

static void
take_outcome (struct standin_request *r, const struct am_packet *p)
{
  struct standin_caller *c = caller_of (r);
  struct standin_request_counts *n = &c->request_counts;
  struct am_outcome_body o;
  bool not_run;

  if (r->state != REQUEST_SENT
      || am_outcome_body_decode (&o, p->body, p->body_len) != AM_OK
      || open_again (r, &o))
    return;
  not_run = o.outcome == AM_OUTCOME_NOT_RUN && !r->uncertain;
  if (not_run)
    n->not_run++;
  else
    n->unknown++;
  if (o.error <= 0 && -o.error < STANDIN_REASONS)
    n->reasons[-o.error]++;
  standin_history_event (&c->history, "outcome",
                         "\"req\":\"%s\",\"outcome\":\"%s\",\"reason\":\"%s\"",
                         r->req, not_run ? "NOT-RUN" : "UNKNOWN",
                         am_error_name (o.error));
  finish (r);
}

bool
standin_loads_packet (struct standin_caller *c, const struct am_packet *p)
{
  struct standin_request *r;

  HASH_FIND (hh, c->requests, &p->connection_id, sizeof p->connection_id, r);
  if (!r)
    return false;
  if (p->type == AM_PACKET_OPENED)
    take_ticket (r, p);
  else if (p->type == AM_PACKET_ANSWER)
    take_segment (r, p);
  else if (p->type == AM_PACKET_OUTCOME)
    take_outcome (r, p);
  else if (p->type == AM_PACKET_RESET)
    take_reset (r);
  return true;
}

/* ---- load
 * ----------------------------------------------------------------------------
 */

static bool
may_send (const struct standin_caller *c)
{
  return !c->stopping_us
         && (!c->options.request_count
             || c->request_counts.sent < c->options.request_count);
}

static void
start_request (struct standin_load *l, uint64_t now_us)
{
  struct standin_caller *c = l->service->caller;
  struct standin_request *r = calloc (1, sizeof *r);

  if (!r)
    return;
  standin_timer_init (&r->timer, fire);
  r->load = l;
  r->port = &c->sources[c->request_number % STANDIN_SOURCES];
  r->started_us = now_us;
  r->deadline_us = now_us + c->options.deadline_ms * US_PER_MS;
  r->cancel
      = c->options.cancel > 0 && am_rng_unit (&c->rng) < c->options.cancel;
  snprintf (r->req, sizeof r->req, "%ld-%" PRIu64, (long)getpid (),
            ++c->request_number);
  c->request_counts.sent++;
  l->in_progress++;
  standin_history_event (&c->history, "request",
                         "\"req\":\"%s\",\"service\":\"%s\",\"class\":%d,"
                         "\"kind\":\"%s\",\"deadline_ms\":%" PRIu64,
                         r->req, l->service->name, l->request_class,
                         l->one_time ? "one_time" : "repeatable",
                         c->options.deadline_ms);
  begin (r, now_us);
}

/* Time to the next request of an open load: exponential, as of many
   independent callers.  */
static uint64_t
next_interval (struct standin_load *l)
{
  double u = 1 - am_rng_unit (&l->service->caller->rng);

  return (uint64_t)(-log (u) / l->per_second * US_PER_SECOND);
}

void
standin_loads_start (struct standin_caller *c, uint64_t now_us)
{
  for (size_t i = 0; i < c->load_count; i++)
    {
      struct standin_load *l = &c->loads[i];

      while (l->in_progress < l->concurrency && may_send (c))
        start_request (l, now_us);
      if (l->concurrency || l->per_second <= 0)
        continue;
      if (!l->next_us)
        l->next_us = now_us + next_interval (l);
      while (l->next_us <= now_us && may_send (c))
        {
          start_request (l, now_us);
          l->next_us += next_interval (l);
        }
    }
}

bool
standin_loads_idle (const struct standin_caller *c)
{
  return c->requests == NULL;
}

json_t *
standin_loads_summary (struct standin_caller *c)
{
  struct standin_request_counts *n = &c->request_counts;
  json_t *reasons = json_object ();

  standin_reasons_summary (reasons, n->reasons);
  return json_pack (
      "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:o,s:o}", "sent",
      (json_int_t)n->sent, "answered", (json_int_t)n->answered, "not_run",
      (json_int_t)n->not_run, "unknown", (json_int_t)n->unknown, "gave_up",
      (json_int_t)n->gave_up, "reopened", (json_int_t)n->reopened, "cancelled",
      (json_int_t)n->cancelled, "retransmitted", (json_int_t)n->retransmitted,
      "crossed", (json_int_t)n->crossed, "reasons", reasons, "latency_us",
      standin_values_summary (&n->latency_us));
}
