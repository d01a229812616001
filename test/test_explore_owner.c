/* Ownership of ticketless requests under seeded random schedules of faults.

   The simulation has four entry VMs, each with an agent (lease) and a
   forwarder (deduplication table), a model of the store with Consul's
   sessions, and a model of the upstreams.  Each agent regards three of the VMs
   as home VMs.  Faults: suspended or restarted processes, VMs cut off from the
   store, store outages, calls that take effect after they failed, lost
   promises, and retransmissions that are late or arrive through another VM.
   AM_SEED replays one schedule.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/rng.h"
#include "core/ownership/dedup_table.h"
#include "suite.h"

#define NODES 4
#define HOME 3
#define IDS 400
#define IDS_MAX 3000
#define BURST 12
#define SESSIONS_MAX 4096
#define SCHEDULES 300u
#define MS UINT64_C (1000)
#define SECOND UINT64_C (1000000)
/* Half of the schedules begin with newly started VMs.  */
#define START_NEW_US (5 * SECOND)
#define START_OLD_US (100 * SECOND)
#define LENGTH_US (240 * SECOND)
#define SKEW_US (500u * MS)

enum kind
{
  EV_AGENT_TICK,
  EV_FORWARDER_TICK,
  EV_STORE,
  EV_RESULT,
  EV_PROMISE_REQUEST,
  EV_PROMISE,
  EV_GRANT,
  EV_FORWARDER_STOPPED,
  EV_FORWARDER_BOOT,
  EV_REQUEST,
  EV_SEND,
  EV_UPSTREAM,
  EV_ANSWER,
  EV_FAULT,
  EV_CRASH,      /* of the owner's forwarder */
  EV_NEXT_OWNER, /* the next owner without agents */
  EV_SUSPEND,    /* of a forwarder */
};

struct event
{
  uint64_t at_us;
  uint64_t order;
  enum kind kind;
  unsigned node;
  uint64_t process; /* agent or forwarder process that it is for */
  enum am_lease_action_type type;
  uint64_t call;
  uint64_t session;
  struct am_lease_value value;
  struct am_lease_read_result entry;
  struct am_lease_grant grant;
  bool leaving;
  int error;
  unsigned from;
  unsigned id;
  unsigned hops;
  uint64_t age_us;
  bool ran;
  uint64_t not_after_us;
};

struct node
{
  struct am_lease lease;
  struct am_dedup dedup;
  uint64_t agent; /* process numbers */
  uint64_t boot;
  uint64_t agent_suspended_us; /* until */
  uint64_t forwarder_suspended_us;
  uint64_t store_cut_until_us; /* from the store */
  unsigned index;
};

struct world
{
  struct am_rng rng;
  uint64_t now_us;
  uint64_t order;
  struct event *heap;
  size_t heap_count;
  size_t heap_size;
  struct node nodes[NODES];
  uint64_t processes;

  bool exists;
  uint64_t lock_index;
  uint64_t holder; /* session; 0: none */
  struct am_lease_value value;
  uint64_t session_end_us[SESSIONS_MAX];
  uint64_t sessions;
  uint64_t outage_until_us;

  unsigned ids;
  unsigned runs[IDS_MAX];
  bool not_run_sent[IDS_MAX];
  unsigned unknown_sent;
  unsigned faults; /* one in this many seconds; 0: none */
  bool no_agents;
  uint64_t start_us;
};

static struct world *world;

static uint64_t
below (uint64_t n)
{
  return am_rng_below (&world->rng, (uint32_t)n);
}

static bool
one_in (unsigned n)
{
  return below (n) == 0;
}

/* Transit time of a request on one network path: often the maximum.  */
static uint64_t
transit_us (void)
{
  return one_in (2) ? below (SECOND) : SECOND - below (50 * MS);
}

/* ---- events by time ----------------------------------------------- */

static bool
is_before (const struct event *a, const struct event *b)
{
  return a->at_us < b->at_us || (a->at_us == b->at_us && a->order < b->order);
}

static void
push (struct event e, uint64_t at_us)
{
  struct world *w = world;
  size_t i = w->heap_count++;

  if (w->heap_count > w->heap_size)
    {
      w->heap_size = w->heap_size * 2 + 1024;
      w->heap = realloc (w->heap, w->heap_size * sizeof *w->heap);
    }
  e.at_us = at_us;
  e.order = ++w->order;
  for (; i && is_before (&e, &w->heap[(i - 1) / 2]); i = (i - 1) / 2)
    w->heap[i] = w->heap[(i - 1) / 2];
  w->heap[i] = e;
}

static struct event
pop (void)
{
  struct world *w = world;
  struct event first = w->heap[0];
  struct event last = w->heap[--w->heap_count];
  size_t i = 0;

  for (;;)
    {
      size_t c = 2 * i + 1;

      if (c + 1 < w->heap_count && is_before (&w->heap[c + 1], &w->heap[c]))
        c++;
      if (c >= w->heap_count || is_before (&last, &w->heap[c]))
        break;
      w->heap[i] = w->heap[c];
      i = c;
    }
  w->heap[i] = last;
  return first;
}

/* ---- store -------------------------------------------------------- */

static void
expire_sessions (void)
{
  struct world *w = world;

  if (w->holder && w->session_end_us[w->holder] <= w->now_us)
    w->holder = 0;
}

static uint64_t
session_end (void)
{
  return world->now_us + AM_LEASE_TTL_US
         + (one_in (2) ? 0 : below (AM_LEASE_TTL_US));
}

static int
execute_lock (const struct event *e)
{
  struct world *w = world;

  if (e->type == AM_LEASE_RELEASE)
    {
      if (!w->holder || w->holder != e->session)
        return AM_E_CONFLICT;
      w->holder = 0;
    }
  else
    {
      if (w->session_end_us[e->session] <= w->now_us)
        return AM_E_STORE_UNSURE; /* status 500 */
      if (w->holder && w->holder != e->session)
        return AM_E_CONFLICT;
      w->lock_index += !w->holder;
      w->holder = e->session;
    }
  w->exists = true;
  w->value = e->value;
  return AM_OK;
}

static int
execute (struct event *e)
{
  struct world *w = world;

  expire_sessions ();
  switch (e->type)
    {
    case AM_LEASE_READ:
      e->entry
          = (struct am_lease_read_result){ .error = w->exists ? AM_OK
                                                              : AM_E_NOT_FOUND,
                                           .locked = w->holder != 0,
                                           .lock_index = w->lock_index,
                                           .value = w->value };
      return e->entry.error;
    case AM_LEASE_CREATE:
      ck_assert_uint_lt (w->sessions + 1, SESSIONS_MAX);
      e->session = ++w->sessions;
      w->session_end_us[e->session] = session_end ();
      return AM_OK;
    case AM_LEASE_RENEW:
      if (w->session_end_us[e->session] <= w->now_us)
        return AM_E_NOT_FOUND;
      w->session_end_us[e->session] = session_end ();
      return AM_OK;
    case AM_LEASE_DESTROY:
      w->session_end_us[e->session] = 0;
      expire_sessions ();
      return AM_OK;
    default:
      return execute_lock (e);
    }
}

static void
on_store (struct event e)
{
  struct world *w = world;
  bool lost = w->now_us < w->outage_until_us
              || w->now_us < w->nodes[e.node].store_cut_until_us;

  if (lost && e.call)
    e.error = AM_E_STORE_UNSURE;
  else if (!lost)
    e.error = execute (&e);
  if (lost)
    e.entry.error = AM_E_STORE;
  e.kind = EV_RESULT;
  if (e.call)
    push (e, w->now_us + (lost ? SECOND : (1 + below (20)) * MS));
}

/* Some calls are reported as failed and take effect much later.  */
static void
call_store (struct event e)
{
  struct event late = e;

  e.kind = EV_STORE;
  if (!world->faults || !one_in (20))
    {
      push (e, world->now_us + (1 + below (20)) * MS);
      return;
    }
  late.kind = EV_STORE;
  late.call = 0;
  push (late, world->now_us + below (15 * SECOND));
  e.kind = EV_RESULT;
  e.error = AM_E_STORE_UNSURE;
  e.entry.error = AM_E_STORE;
  push (e, world->now_us + SECOND);
}

/* ---- agents ------------------------------------------------------- */

static void
on_action (void *userdata, const struct am_lease_action *a)
{
  struct node *n = userdata;
  struct event e = { .node = n->index,
                     .process = n->agent,
                     .type = a->type,
                     .call = a->call,
                     .from = n->index };

  if (a->type == AM_LEASE_NOTIFY_FORWARDER)
    {
      e.kind = EV_GRANT;
      e.grant = n->lease.grant;
      e.leaving = n->lease.state == AM_LEASE_LEAVING;
      push (e, world->now_us + below (50 * MS));
    }
  else if (a->type == AM_LEASE_REQUEST_PROMISE || a->type == AM_LEASE_PROMISE)
    {
      e.kind = a->type == AM_LEASE_REQUEST_PROMISE ? EV_PROMISE_REQUEST
                                                   : EV_PROMISE;
      e.node = a->to - 1;
      e.session = a->epoch;
      if (!world->faults || !one_in (5))
        push (e, world->now_us + below (2 * SECOND));
    }
  else
    {
      e.session = strtoull (a->session, NULL, 16);
      e.value = *a->value;
      call_store (e);
    }
}

/* The agents may have different home sets.  */
static void
set_home (struct node *n, unsigned first)
{
  uint32_t home[HOME];

  for (unsigned i = 0; i < HOME; i++)
    home[i] = 1 + (first + i) % NODES;
  am_lease_set_home (&n->lease, home, HOME);
}

static void
start_agent (struct node *n)
{
  struct am_lease_sink sink = { on_action, n };

  n->agent = ++world->processes;
  am_lease_init (&n->lease, n->index + 1, world->now_us, &sink);
  set_home (n, 0);
  push ((struct event){ .kind = EV_FORWARDER_BOOT, .node = n->index },
        world->now_us + below (SECOND));
  push ((struct event){ .kind = EV_AGENT_TICK,
                        .node = n->index,
                        .process = n->agent },
        world->now_us + 100 * MS);
}

static void
start_forwarder (struct node *n)
{
  n->boot = ++world->processes;
  am_dedup_init (&n->dedup, world->now_us, n->boot);
  push ((struct event){ .kind = EV_FORWARDER_BOOT, .node = n->index },
        world->now_us + below (SECOND));
  push ((struct event){ .kind = EV_FORWARDER_TICK,
                        .node = n->index,
                        .process = n->boot },
        world->now_us + 100 * MS);
}

static void
on_result (struct node *n, const struct event *e)
{
  char session[32];

  if (e->process != n->agent)
    return;
  snprintf (session, sizeof session, "%llx", (unsigned long long)e->session);
  if (e->type == AM_LEASE_READ)
    am_lease_read_done (&n->lease, world->now_us, e->call, &e->entry);
  else if (e->type == AM_LEASE_CREATE)
    am_lease_session_created (&n->lease, world->now_us, e->call, e->error,
                              session);
  else
    am_lease_call_done (&n->lease, world->now_us, e->call, e->error);
}

static void
on_agent (struct event *e)
{
  struct node *n = &world->nodes[e->node];

  switch (e->kind)
    {
    case EV_AGENT_TICK:
      if (e->process != n->agent)
        return;
      am_lease_tick (&n->lease, world->now_us);
      push (*e, world->now_us + 100 * MS);
      if (am_lease_may_exit (&n->lease))
        start_agent (n);
      return;
    case EV_RESULT:
      on_result (n, e);
      return;
    case EV_PROMISE_REQUEST:
      am_lease_promise_requested (&n->lease, world->now_us, e->from + 1,
                                  e->call, e->session);
      return;
    case EV_PROMISE:
      am_lease_promise_received (&n->lease, world->now_us, e->from + 1,
                                 e->call);
      return;
    case EV_FORWARDER_STOPPED:
      if (e->process == n->agent)
        am_lease_forwarder_stopped (&n->lease, world->now_us, e->from);
      return;
    default:
      if (n->agent)
        am_lease_set_forwarder (&n->lease, world->now_us, n->boot);
      return;
    }
}

/* ---- forwarders --------------------------------------------------- */

static struct am_dedup_key
key_of (unsigned id)
{
  return (struct am_dedup_key){ .connection_id = id, .ip = 7 };
}

static void
send_not_run (struct node *n, unsigned id)
{
  struct am_dedup_key key = key_of (id);

  world->not_run_sent[id] = true;
  am_dedup_set_outcome (&n->dedup, &key, AM_DEDUP_NOT_RUN, AM_E_DEADLINE);
}

/* Transfers the complete table to the next VM.  */
static uint32_t
transfer_table (struct node *n)
{
  struct node *to = &world->nodes[(n->index + 1) % NODES];
  struct am_dedup *g = &n->dedup;
  uint64_t grace = g->grace_until_us > world->now_us
                       ? g->grace_until_us - world->now_us
                       : 0;

  if (to->forwarder_suspended_us > world->now_us || one_in (3))
    return 0;
  am_list_each (i, &g->by_age, struct am_dedup_entry, node)
  {
    ck_assert_int_eq (am_dedup_import (&to->dedup, world->now_us, &i->key,
                                       i->outcome, i->error),
                      AM_OK);
  }
  am_dedup_import_done (&to->dedup, world->now_us, g->epoch, grace);
  return to->index + 1;
}

static void
on_grant (struct node *n, struct event *e)
{
  int err = am_dedup_apply_grant (&n->dedup, world->now_us, &e->grant);

  if (!e->leaving)
    return;
  n->dedup.until_us = 0;
  e->kind = EV_FORWARDER_STOPPED;
  e->from = err == AM_OK ? transfer_table (n) : 0;
  push (*e, world->now_us + below (100 * MS));
}

static void
forward_request (struct node *n, struct event *e)
{
  if (e->hops || !am_dedup_may_forward (&n->dedup, world->now_us))
    {
      world->unknown_sent++;
      return;
    }
  e->hops++;
  e->process = 0;
  e->node = one_in (5) || !world->value.owner_id ? (unsigned)below (NODES)
                                                 : world->value.owner_id - 1;
  push (*e, world->now_us + (world->faults ? transit_us () : below (10 * MS)));
}

static void
on_request (struct node *n, struct event *e)
{
  struct am_dedup_key key = key_of (e->id);
  struct am_dedup_entry *id;
  enum am_dedup_result v;

  if (e->process && e->process != n->boot)
    return;
  v = am_dedup_admit (&n->dedup, world->now_us, &key, e->age_us, &id);
  if (v == AM_DEDUP_NOT_OWNER)
    forward_request (n, e);
  else if (v == AM_DEDUP_UNKNOWN)
    world->unknown_sent++;
  else if (v == AM_DEDUP_DUPLICATE && id->outcome == AM_DEDUP_NOT_RUN)
    world->not_run_sent[e->id] = true;
  else if (v == AM_DEDUP_NEW && one_in (10))
    send_not_run (n, e->id);
  else if (v == AM_DEDUP_NEW)
    push ((struct event){ .kind = EV_SEND,
                          .node = n->index,
                          .process = n->boot,
                          .id = e->id },
          world->now_us + below (2 * SECOND));
}

/* The process may be suspended between the check and the system call.  */
static void
on_send (struct node *n, struct event *e)
{
  e->not_after_us = am_dedup_not_after (&n->dedup, world->now_us);
  if (e->process != n->boot)
    return;
  if (!e->not_after_us)
    {
      send_not_run (n, e->id);
      return;
    }
  e->kind = EV_UPSTREAM;
  push (*e, world->now_us
                + below (world->faults && one_in (10) ? 40 * SECOND : 5 * MS));
}

static void
on_upstream (struct event e)
{
  e.kind = EV_ANSWER;
  e.ran = world->now_us <= e.not_after_us + below (2 * SKEW_US) - SKEW_US;
  world->runs[e.id] += e.ran;
  push (e, world->now_us + below (100 * MS));
}

static void
on_answer (struct node *n, const struct event *e)
{
  struct am_dedup_key key = key_of (e->id);

  if (e->process != n->boot)
    return;
  if (e->ran)
    am_dedup_set_outcome (&n->dedup, &key, AM_DEDUP_ANSWERED, AM_OK);
  else
    send_not_run (n, e->id);
}

static void
on_forwarder (struct event *e)
{
  struct node *n = &world->nodes[e->node];

  switch (e->kind)
    {
    case EV_FORWARDER_TICK:
      if (e->process != n->boot)
        return;
      am_dedup_tick (&n->dedup, world->now_us);
      push (*e, world->now_us + 100 * MS);
      return;
    case EV_GRANT:
      on_grant (n, e);
      return;
    case EV_REQUEST:
      on_request (n, e);
      return;
    case EV_SEND:
      on_send (n, e);
      return;
    default:
      on_answer (n, e);
      return;
    }
}

/* Queued packets are read when the process resumes.  */
static void
suspend_forwarder (struct node *n, uint64_t until_us)
{
  if (n->forwarder_suspended_us < until_us)
    n->forwarder_suspended_us = until_us;
}

/* Schedules an id that is first sent at FIRST_US and transmitted TRANSMISSIONS
   times in total.  Each packet is in transit for at most 1 s, and once more if
   it is forwarded.  */
static void
plan_request (uint64_t first_us, unsigned transmissions, uint64_t age_max_us)
{
  bool states_age = !one_in (4);

  if (world->ids == IDS_MAX)
    return;
  for (unsigned c = 0; c < transmissions; c++)
    {
      uint64_t age = c ? below (age_max_us) : 0;

      push (
          (struct event){ .kind = EV_REQUEST,
                          .node = (unsigned)below (NODES),
                          .id = world->ids,
                          .age_us = states_age ? age : AM_DEDUP_AGE_UNKNOWN },
          first_us + age + transit_us ());
    }
  world->ids++;
}

/* Schedules suspensions that are too short to be detected, around AT_US.  */
static void
plan_suspensions (uint64_t at_us)
{
  for (unsigned i = 0; i < 6; i++)
    push ((struct event){ .kind = EV_SUSPEND }, at_us + below (4 * SECOND));
}

/* Schedules the failure of the owner's forwarder, and around that time
   requests whose retransmissions arrive at it and at the next owner.  */
static void
plan_crash (void)
{
  for (unsigned i = 0; i < BURST; i++)
    plan_request (world->now_us + below (2 * SECOND), 6, 3 * SECOND);
  plan_suspensions (world->now_us);
  push ((struct event){ .kind = EV_CRASH },
        world->now_us + SECOND + below (SECOND));
}

static void
on_crash (void)
{
  struct node *n;

  if (!world->value.owner_id)
    return;
  n = &world->nodes[world->value.owner_id - 1];
  if (one_in (4))
    {
      am_lease_stop (&n->lease, world->now_us);
      return;
    }
  if (one_in (3))
    {
      suspend_forwarder (n, world->now_us + (10 + below (10)) * SECOND);
      return;
    }
  am_dedup_finish (&n->dedup);
  start_forwarder (n);
}

/* ---- faults ------------------------------------------------------- */

/* Without agents one owner follows another without a gap, so that only the
   rules of the deduplication table prevent a second execution of an id.  */
static void
on_next_owner (struct event e)
{
  struct world *w = world;
  struct node *n = &w->nodes[below (NODES)];
  uint64_t until_us = w->now_us + SECOND + below (8 * SECOND);

  w->value.owner_id = n->index + 1;
  push ((struct event){ .kind = EV_GRANT,
                        .node = n->index,
                        .grant = { .boot_id = n->boot,
                                   .epoch = ++w->value.epoch,
                                   .until_us = until_us } },
        w->now_us);
  for (unsigned i = 0; i < BURST; i++)
    plan_request (until_us - below (SECOND), 6, 3 * SECOND);
  plan_suspensions (until_us - SECOND);
  push (e, until_us);
}

static void
on_fault (struct event e)
{
  struct world *w = world;
  struct node *n = &w->nodes[below (NODES)];
  /* Half of the suspensions are too short to be detected, or only slightly
     longer.  */
  uint64_t until = w->now_us
                   + below (one_in (2) ? 40 * SECOND
                                       : AM_DEDUP_SUSPENSION_MIN_US * 6 / 5);

  push (e, w->now_us + below (2 * (uint64_t)w->faults * SECOND));
  switch (w->no_agents ? 4 * below (2) : below (10))
    {
    case 0:
      suspend_forwarder (n, until);
      break;
    case 1:
      if (n->agent_suspended_us < until)
        n->agent_suspended_us = until;
      break;
    case 2:
      n->store_cut_until_us = until;
      break;
    case 3:
      w->outage_until_us = until;
      break;
    case 4:
      am_dedup_finish (&n->dedup);
      start_forwarder (n);
      break;
    case 5:
      start_agent (n);
      break;
    case 6:
      set_home (n, (unsigned)below (NODES));
      break;
    case 7:
      am_lease_stop (&n->lease, w->now_us);
      break;
    default:
      plan_crash ();
      break;
    }
}

/* ---- schedules ---------------------------------------------------- */

static uint64_t
suspended_until (const struct event *e)
{
  const struct node *n = &world->nodes[e->node];

  switch (e->kind)
    {
    case EV_AGENT_TICK:
    case EV_RESULT:
    case EV_PROMISE_REQUEST:
    case EV_PROMISE:
    case EV_FORWARDER_STOPPED:
    case EV_FORWARDER_BOOT:
      return n->agent_suspended_us;
    case EV_FORWARDER_TICK:
    case EV_GRANT:
    case EV_REQUEST:
    case EV_SEND:
    case EV_ANSWER:
      return n->forwarder_suspended_us;
    default:
      return 0;
    }
}

/* Prints the changes of ownership and the steps of request AM_TRACE.  */
static void
trace (const struct event *e)
{
  const char *text = getenv ("AM_TRACE");
  const struct node *n = &world->nodes[e->node];

  if (!text
      || (e->kind != EV_GRANT && e->kind != EV_FAULT
          && e->kind != EV_FORWARDER_STOPPED
          && (e->kind < EV_REQUEST || e->id != strtoul (text, NULL, 10))))
    return;
  printf ("%.3f kind=%d vm=%u state=%s epoch=%llu until=%.3f grace=%.3f "
          "grant=%llu/%.3f flags=%d%d%d hops=%u\n",
          (double)world->now_us / 1e6, e->kind, e->node + 1,
          am_lease_state_name (n->lease.state),
          (unsigned long long)n->dedup.epoch, (double)n->dedup.until_us / 1e6,
          (double)n->dedup.grace_until_us / 1e6,
          (unsigned long long)e->grant.epoch, (double)e->grant.until_us / 1e6,
          e->grant.first, e->grant.same, e->grant.handed, e->hops);
}

static void
handle (struct event *e)
{
  uint64_t until = suspended_until (e);

  if (until <= world->now_us)
    trace (e);
  if (until > world->now_us)
    {
      /* It is queued in the socket of the current process.  */
      if (e->kind == EV_REQUEST && !e->process)
        e->process = world->nodes[e->node].boot;
      push (*e, until);
    }
  else if (e->kind == EV_STORE)
    on_store (*e);
  else if (e->kind == EV_UPSTREAM)
    on_upstream (*e);
  else if (e->kind == EV_FAULT)
    on_fault (*e);
  else if (e->kind == EV_CRASH)
    on_crash ();
  else if (e->kind == EV_NEXT_OWNER)
    on_next_owner (*e);
  else if (e->kind == EV_SUSPEND)
    suspend_forwarder (&world->nodes[below (NODES)],
                       world->now_us + AM_DEDUP_SUSPENSION_MIN_US
                           - below (200 * MS));
  else if (e->kind == EV_AGENT_TICK || e->kind == EV_FORWARDER_BOOT
           || (e->kind >= EV_RESULT && e->kind <= EV_PROMISE)
           || e->kind == EV_FORWARDER_STOPPED)
    on_agent (e);
  else
    on_forwarder (e);
}

static void
plan_requests (void)
{
  for (unsigned i = 0; i < IDS; i++)
    plan_request (world->start_us + below (LENGTH_US), 1 + (unsigned)below (5),
                  AM_DEDUP_ID_LIFETIME_US);
}

struct totals
{
  unsigned requests;
  unsigned ran;
  unsigned unknown;
};

static void
run_schedule (uint64_t seed, unsigned faults, bool no_agents,
              struct totals *totals)
{
  unsigned ran = 0;

  world = calloc (1, sizeof *world);
  am_rng_init (&world->rng, seed);
  world->faults = faults;
  world->no_agents = no_agents;
  world->start_us = seed % 2 ? START_OLD_US : START_NEW_US;
  world->now_us = 1;
  for (unsigned i = 0; i < NODES; i++)
    {
      world->nodes[i].index = i;
      if (!no_agents)
        start_agent (&world->nodes[i]);
      start_forwarder (&world->nodes[i]);
    }
  plan_requests ();
  if (no_agents)
    push ((struct event){ .kind = EV_NEXT_OWNER }, world->start_us);
  if (faults)
    push ((struct event){ .kind = EV_FAULT }, world->start_us);
  while (world->now_us < world->start_us + LENGTH_US + 60 * SECOND)
    {
      struct event e = pop ();

      world->now_us = e.at_us;
      handle (&e);
    }
  for (unsigned i = 0; i < world->ids; i++)
    {
      ck_assert_msg (world->runs[i] <= 1, "seed=%llu id=%u ran twice",
                     (unsigned long long)seed, i);
      ck_assert_msg (!world->runs[i] || !world->not_run_sent[i],
                     "seed=%llu id=%u ran and was told NOT-RUN",
                     (unsigned long long)seed, i);
      ran += world->runs[i];
    }
  totals->requests += world->ids;
  totals->ran += ran;
  totals->unknown += world->unknown_sent;
  for (unsigned i = 0; i < NODES; i++)
    am_dedup_finish (&world->nodes[i].dedup);
  free (world->heap);
  free (world);
}

/* Guards against two simultaneous owners, an id executed again by a later
   owner and a NOT-RUN for an id that another owner executed.  */
static void
explore_schedules (bool no_agents)
{
  const char *text = getenv ("AM_SEED");
  uint64_t first = text ? strtoull (text, NULL, 10) : 1;
  unsigned count = text ? 1 : SCHEDULES;
  struct totals t = { 0 };

  for (uint64_t seed = first; seed < first + count; seed++)
    run_schedule (seed, 1 + (unsigned)(seed % 30), no_agents, &t);
  printf ("schedules=%u requests=%u ran=%u copies_unknown=%u\n", count,
          t.requests, t.ran, t.unknown);
  ck_assert_uint_gt (t.ran, 0);
}

START_TEST (explore) { explore_schedules (false); }
END_TEST

/* Guards against an id classified as new although the previous owner may have
   executed it: retransmissions with the maximum permitted delay, undetected
   suspensions, and stated ages.  */
START_TEST (explore_dedup) { explore_schedules (true); }
END_TEST

/* Guards against a lease that is safe only because there is never an owner:
   without faults a request gets UNKNOWN only if it was forwarded to a VM that
   is not the owner, and 0.8 of the requests are executed (a tenth is refused
   on purpose).  */
START_TEST (no_faults)
{
  struct totals t = { 0 };

  run_schedule (1, 0, false, &t);
  ck_assert_uint_gt (t.ran, IDS * 8 / 10);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("explore_owner");
  TCase *t = tcase_create ("schedules");

  tcase_set_timeout (t, 100);
  tcase_add_test (t, no_faults);
  tcase_add_test (t, explore);
  tcase_add_test (t, explore_dedup);
  suite_add_tcase (s, t);
  return suite_run (s);
}
