/* Interleavings of events at one issuer with a model of its upstreams: every
   schedule up to EXHAUSTIVE_DEPTH events and random longer ones.

   A REQUEST and a CANCEL may be delivered at any step and any number of times,
   which covers loss, duplication, delay and reordering.  A failing schedule is
   printed; AM_SCHEDULE="UPSTREAMS EVENT EVENT ..." runs it again.  */

#include <stdio.h>

#include "base/error.h"
#include "core/requests/request_table.h"
#include "core_board.h"
#include "wire/proxy_header.h"

#define EXHAUSTIVE_DEPTH 6
#define RANDOM_SCHEDULES 100000
#define RANDOM_DEPTH 40
#define REQUESTS 2 /* 0 is one-time, 1 is repeatable */
#define UPSTREAMS_MAX 2
#define FIFO_SIZE 64
#define VISITED_SIZE (1u << 18)

/* Delivered to the issuer: REQUEST (R), CANCEL (C).  Upstream: receives a
   packet and runs or cancels the request (U), refuses the next REQUEST (X),
   ends its oldest run with an ANSWER (A) or as UNKNOWN (K); its packet is
   delivered (D), its connection is lost (L) or, before it received a packet,
   could not be opened (N).  Tick (T), process suspended past the deadline (P),
   retention time passes (F), crash and restart under a new boot id (B).  */
#define EVENT_LIST(X) \
  X (R0)              \
  X (R1)              \
  X (C0)              \
  X (C1)              \
  X (U0)              \
  X (U1)              \
  X (X0)              \
  X (X1)              \
  X (A0)              \
  X (A1)              \
  X (K0)              \
  X (K1)              \
  X (D0)              \
  X (D1)              \
  X (L0)              \
  X (L1)              \
  X (N0)              \
  X (N1)              \
  X (T)               \
  X (P)               \
  X (F)               \
  X (B)

enum event
{
#define EVENT_ENUM(name) EVENT_##name,
  EVENT_LIST (EVENT_ENUM) EVENTS
};

static const char *const event_names[] = {
#define EVENT_NAME(name) #name,
  EVENT_LIST (EVENT_NAME)
};

struct item
{
  uint8_t type;
  uint8_t outcome;
  uint32_t request;
  uint32_t sequence;
};

struct fifo
{
  struct item items[FIFO_SIZE];
  size_t count;
};

struct upstream
{
  struct fifo in; /* from the issuer */
  struct fifo running;
  struct fifo out;
  bool established; /* received a packet since its connection was last lost */
};

struct model
{
  struct am_board board;
  struct am_service *service;
  struct board_options options;
  struct am_ticket tickets[REQUESTS];
  uint64_t boot_id;
  uint32_t upstream_count;
  struct upstream upstreams[UPSTREAMS_MAX];
  uint32_t runs[REQUESTS];
  bool accepted[REQUESTS];    /* by the current process */
  bool reported[REQUESTS][3]; /* ANSWER, NOT-RUN, UNKNOWN */
  const char *fault;
};

static uint64_t visited[VISITED_SIZE];
static size_t state_count;

static void
push (struct fifo *f, struct item item)
{
  if (f->count < FIFO_SIZE)
    f->items[f->count++] = item;
}

static struct item
pop (struct fifo *f)
{
  struct item item = f->items[0];

  memmove (f->items, f->items + 1, --f->count * sizeof *f->items);
  return item;
}

static void
check_outcomes (struct model *m, uint32_t i)
{
  const bool *reported = m->reported[i];

  if (reported[AM_OUTCOME_NOT_RUN] && m->runs[i])
    m->fault = "NOT-RUN of a request that ran";
  if (reported[0] && reported[AM_OUTCOME_NOT_RUN])
    m->fault = "both ANSWER and NOT-RUN";
  if (i == 0 && m->runs[i] > 1)
    m->fault = "one-time request ran twice";
}

static void
record_outcome (struct model *m, const struct am_packet *p)
{
  uint32_t i = (uint32_t)p->connection_id - 100;
  struct am_outcome_body o = { 0 };

  if (p->type == AM_PACKET_OUTCOME)
    am_outcome_body_decode (&o, p->body, p->body_len);
  else if (p->body_len != AM_SEGMENT_BODY_SIZE + 1
           || p->body[AM_SEGMENT_BODY_SIZE] != i)
    m->fault = "answer to another request";
  if (o.outcome == 0 && m->reported[i][AM_OUTCOME_UNKNOWN])
    m->fault = "ANSWER after UNKNOWN";
  if (o.outcome == AM_OUTCOME_NOT_RUN && m->reported[i][AM_OUTCOME_UNKNOWN])
    m->fault = "NOT-RUN after UNKNOWN";
  m->reported[i][o.outcome] = true;
  check_outcomes (m, i);
}

static void
emit (void *userdata, const struct am_action *a)
{
  struct model *m = userdata;
  struct am_packet p;

  if (a->type == AM_ACTION_CALLER
      && !am_packet_decode (&p, a->data + AM_PROXY_HEADER_SIZE,
                            a->len - AM_PROXY_HEADER_SIZE))
    record_outcome (m, &p);
  if (a->type == AM_ACTION_STREAM
      && !am_packet_decode_stream (&p, a->data, a->len))
    push (&m->upstreams[a->to.ip - 0x7f320001].in,
          (struct item){ .type = p.type,
                         .request = (uint32_t)p.connection_id - 100,
                         .sequence = p.sequence });
}

static void
boot (struct model *m)
{
  struct am_sink sink = { emit, m };
  uint64_t now_us = m->board.now_us;

  memset (&m->board, 0, sizeof m->board);
  m->service = board_make (&m->board, 1, &m->options, &sink);
  m->board.self.boot_id = ++m->boot_id;
  m->board.now_us = now_us;
}

static void
model_init (struct model *m, uint32_t upstreams)
{
  memset (m, 0, sizeof *m);
  m->upstream_count = upstreams;
  m->options = (struct board_options){ .vms = 1,
                                       .upstreams = upstreams,
                                       .slots = 1,
                                       .connections = 1,
                                       .seed = 7,
                                       .class_count = 2 };
  m->options.classes[0] = (struct am_class){ .id = 0, .one_time = true };
  m->options.classes[1] = (struct am_class){ .id = 1 };
  boot (m);
  m->board.now_us = 1000000;
  for (uint8_t i = 0; i < REQUESTS; i++)
    am_requests_issue (&m->board, m->service, i, &m->tickets[i]);
}

/* As the dispatcher does, reports UNKNOWN for a ticket of another process.  */
static void
deliver (struct model *m, uint32_t i, bool cancel)
{
  struct am_address caller = { 0x7f320301, 4000 };
  uint8_t payload = (uint8_t)i;
  struct am_request_arrival a = { .service = m->service,
                                  .caller = caller,
                                  .connection_id = 100 + i,
                                  .ticket = m->tickets[i],
                                  .payload = &payload,
                                  .payload_len = 1 };

  if (m->tickets[i].issuer_boot_id != m->boot_id)
    {
      m->reported[i][AM_OUTCOME_UNKNOWN] = true;
      return;
    }
  if (cancel)
    am_requests_cancel (&m->board, m->service, caller, 100 + i,
                        &m->tickets[i]);
  else
    am_requests_receive (&m->board, &a);
  m->accepted[i] |= !cancel;
}

static void
take (struct model *m, struct upstream *u, bool refuse)
{
  struct item item = pop (&u->in);

  u->established = true;
  if (item.type != AM_PACKET_REQUEST)
    return;
  if (refuse)
    {
      item.type = AM_PACKET_OUTCOME;
      item.outcome = AM_OUTCOME_NOT_RUN;
      push (&u->out, item);
      return;
    }
  m->runs[item.request]++;
  check_outcomes (m, item.request);
  push (&u->running, item);
}

static void
end_run (struct upstream *u, uint8_t outcome)
{
  struct item item = pop (&u->running);

  item.type = outcome ? AM_PACKET_OUTCOME : AM_PACKET_ANSWER;
  item.outcome = outcome;
  push (&u->out, item);
}

static void
deliver_back (struct model *m, struct upstream *u, struct am_upstream *target)
{
  struct item item = pop (&u->out);
  uint8_t body[AM_LOAD_SIZE + AM_OUTCOME_BODY_SIZE] = { 0 };
  struct am_outcome_body o = { item.outcome, AM_E_SHED };
  struct am_packet p = { .type = item.type,
                         .connection_id = 100 + item.request,
                         .sequence = item.sequence,
                         .body = body,
                         .body_len = AM_LOAD_SIZE + 1 };

  body[AM_LOAD_SIZE] = (uint8_t)item.request;
  if (item.outcome)
    {
      am_outcome_body_encode (&o, body + AM_LOAD_SIZE);
      p.body_len = sizeof body;
    }
  am_requests_upstream_packet (&m->board, target, &p);
}

static void
cut (struct upstream *u)
{
  u->in.count = 0;
  u->running.count = 0;
  u->out.count = 0;
  u->established = false;
}

static void
pass_time (struct model *m, uint64_t us, bool tick)
{
  m->board.now_us += us;
  if (!tick)
    return;
  am_quota_tick (&m->board);
  am_requests_tick (&m->board);
}

static void
crash (struct model *m)
{
  board_free (&m->board);
  for (uint32_t i = 0; i < m->upstream_count; i++)
    cut (&m->upstreams[i]);
  memset (m->accepted, 0, sizeof m->accepted);
  boot (m);
}

static bool
enabled (const struct model *m, enum event e)
{
  const struct upstream *u;

  if (e < EVENT_U0 || e >= EVENT_T)
    return true;
  if ((uint32_t)(e - EVENT_U0) % 2 >= m->upstream_count)
    return false;
  u = &m->upstreams[(e - EVENT_U0) % 2];
  switch ((e - EVENT_U0) / 2)
    {
    case 0:
      return u->in.count > 0;
    case 1:
      return u->in.count > 0 && u->in.items[0].type == AM_PACKET_REQUEST;
    case 2:
    case 3:
      return u->running.count > 0;
    case 4:
      return u->out.count > 0;
    case 6:
      return u->in.count > 0 && !u->established;
    default:
      return u->in.count + u->running.count + u->out.count > 0;
    }
}

static void
apply_upstream (struct model *m, enum event e)
{
  uint32_t n = (e - EVENT_U0) % 2;
  struct upstream *u = &m->upstreams[n];
  char name[16];
  struct am_upstream *target;

  snprintf (name, sizeof name, "u-%u", n);
  target = am_service_upstream (m->service, am_hash_name (name));
  switch ((e - EVENT_U0) / 2)
    {
    case 0:
    case 1:
      take (m, u, (e - EVENT_U0) / 2 == 1);
      break;
    case 2:
      end_run (u, 0);
      break;
    case 3:
      end_run (u, AM_OUTCOME_UNKNOWN);
      break;
    case 4:
      deliver_back (m, u, target);
      break;
    case 6:
      cut (u);
      am_requests_connection_failed (&m->board, m->service->id, target->id);
      break;
    default:
      cut (u);
      am_requests_connection_lost (&m->board, m->service->id, target->id);
      break;
    }
}

static void
apply (struct model *m, enum event e)
{
  if (e < EVENT_U0)
    deliver (m, e % 2, e >= EVENT_C0);
  else if (e < EVENT_T)
    apply_upstream (m, e);
  else if (e == EVENT_T)
    pass_time (m, 400000, true);
  else if (e == EVENT_P)
    pass_time (m, 6000000, false);
  else if (e == EVENT_F)
    pass_time (m, 11000000, true);
  else
    crash (m);
}

/* After the last event: lets time pass, after which no request may be in
   progress and no slot busy.  */
static void
settle (struct model *m)
{
  pass_time (m, 6000000, true);
  pass_time (m, 3000000, true);
  if (am_requests_in_progress (&m->board))
    m->fault = "request without an outcome";
  am_list_each (u, &m->service->upstreams, struct am_upstream, node)
  {
    if (u->use.busy)
      m->fault = "slot never freed";
  }
  for (uint32_t i = 0; i < REQUESTS; i++)
    {
      if (m->accepted[i] && !m->reported[i][0] && !m->reported[i][1]
          && !m->reported[i][2])
        m->fault = "accepted request without a reply";
    }
}

static void
note_state (struct model *m)
{
  uint64_t key[2 + REQUESTS + 2 * UPSTREAMS_MAX] = { m->upstream_count };
  size_t n = 1;
  uint64_t h;

  for (uint32_t i = 0; i < REQUESTS; i++)
    {
      struct am_request *r
          = am_request_table_find (m->board.requests, m->tickets[i].serial);
      bool *reported = m->reported[i];

      key[n++]
          = (r ? r->state + 1u : 0u) | m->runs[i] << 4
            | (uint64_t)(reported[0] | reported[1] << 1 | reported[2] << 2)
                  << 32
            | (uint64_t)(r && r->upstream) << 40;
    }
  for (uint32_t i = 0; i < m->upstream_count; i++)
    key[n++] = m->upstreams[i].in.count | m->upstreams[i].running.count << 8
               | m->upstreams[i].out.count << 16;
  h = am_hash_bytes (key, sizeof key, 1) | 1;
  for (size_t at = h % VISITED_SIZE;; at = (at + 1) % VISITED_SIZE)
    {
      if (visited[at] == h || state_count > VISITED_SIZE / 2)
        return;
      if (visited[at])
        continue;
      visited[at] = h;
      state_count++;
      return;
    }
}

static void
report_fault (const struct model *m, const enum event *events, size_t n)
{
  printf ("fault: %s\nAM_SCHEDULE=\"%u", m->fault, m->upstream_count);
  for (size_t i = 0; i < n; i++)
    printf (" %s", event_names[events[i]]);
  printf ("\"\n");
  ck_abort_msg ("%s", m->fault);
}

static void
run (uint32_t upstreams, const enum event *events, size_t n)
{
  struct model m;

  model_init (&m, upstreams);
  for (size_t i = 0; i < n && !m.fault; i++)
    {
      if (!enabled (&m, events[i]))
        continue;
      apply (&m, events[i]);
      note_state (&m);
    }
  if (!m.fault)
    settle (&m);
  if (m.fault)
    report_fault (&m, events, n);
  board_free (&m.board);
}

/* Advances EVENTS to the next schedule in which every event is enabled at its
   position; the first and the last of the list always are.  Returns false
   after the last schedule.  */
static bool
next_schedule (uint32_t upstreams, enum event *events)
{
  struct model m;
  size_t at = EXHAUSTIVE_DEPTH;

  while (at > 0 && events[at - 1] + 1 == EVENTS)
    at--;
  if (at == 0)
    return false;
  at--;
  for (size_t i = at + 1; i < EXHAUSTIVE_DEPTH; i++)
    events[i] = EVENT_R0;
  model_init (&m, upstreams);
  for (size_t i = 0; i < at; i++)
    apply (&m, events[i]);
  do
    events[at]++;
  while (!enabled (&m, events[at]));
  board_free (&m.board);
  return true;
}

/* Guards against a one-time request that runs twice, a false NOT-RUN, a second
   outcome and a request without one, in every short schedule.  */
START_TEST (test_all_short_schedules)
{
  size_t schedules = 0;

  for (uint32_t upstreams = 1; upstreams <= UPSTREAMS_MAX; upstreams++)
    {
      enum event events[EXHAUSTIVE_DEPTH] = { EVENT_R0 };

      do
        {
          run (upstreams, events, EXHAUSTIVE_DEPTH);
          schedules++;
        }
      while (next_schedule (upstreams, events));
    }
  printf ("exhaustive depth=%d schedules=%zu states=%zu\n", EXHAUSTIVE_DEPTH,
          schedules, state_count);
}
END_TEST

/* The same in long random schedules.  */
START_TEST (test_random_schedules)
{
  struct am_rng rng;

  am_rng_init (&rng, 20261204);
  for (int n = 0; n < RANDOM_SCHEDULES; n++)
    {
      enum event events[RANDOM_DEPTH];

      for (int i = 0; i < RANDOM_DEPTH; i++)
        {
          /* Events that reset most of the state are chosen less often.  */
          events[i] = am_rng_below (&rng, EVENTS);
          if (events[i] >= EVENT_P && am_rng_below (&rng, 4))
            events[i] = am_rng_below (&rng, EVENT_P);
        }
      run (1 + (uint32_t)n % UPSTREAMS_MAX, events, RANDOM_DEPTH);
    }
  printf ("random depth=%d schedules=%d states=%zu\n", RANDOM_DEPTH,
          RANDOM_SCHEDULES, state_count);
}
END_TEST

static void
replay (const char *text)
{
  enum event events[256];
  size_t n = 0;
  char *copy = strdup (text);
  char *word = strtok (copy, " ");
  uint32_t upstreams = word ? (uint32_t)atoi (word) : 1;

  while (word && (word = strtok (NULL, " ")) && n < 256)
    {
      for (int e = 0; e < EVENTS; e++)
        {
          if (strcmp (word, event_names[e]) == 0)
            events[n++] = (enum event)e;
        }
    }
  free (copy);
  run (upstreams, events, n);
}

/* Runs the schedule in AM_SCHEDULE, if there is one.  */
START_TEST (test_replay)
{
  const char *text = getenv ("AM_SCHEDULE");

  if (text)
    replay (text);
}
END_TEST

int
main (void)
{
  const TTest *const tests[]
      = { test_replay, test_all_short_schedules, test_random_schedules };

  return RUN_TESTS ("explore_request", tests);
}
