/* Deterministic simulation of control engines, for tests: virtual clock,
   network, store and forwarders.  Equal seeds give equal runs.  */

#ifndef AM_TEST_CONTROL_NET_H
#define AM_TEST_CONTROL_NET_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/rng.h"
#include "core/control.h"
#include "delta_merge.h"
#include "record_offer.h"

#define NET_NODES_MAX 768
#define NET_RECORDS 600
#define NET_SECOND UINT64_C (1000000)
#define NET_IP UINT32_C (0x7f3c0000) /* 127.60.0.0 */

/* Overhead of a message in bytes: IP and UDP headers, IP and TCP headers of a
   segment, largest segment, set-up and close of a TCP connection, and the
   frame header.  */
#define NET_UDP_HEADER 28
#define NET_TCP_HEADER 40
#define NET_TCP_SEGMENT 1460
#define NET_TCP_CONNECTION 280
#define NET_FRAME_HEADER 20

#define NET_UNUSED __attribute__ ((unused))

struct net_record
{
  char name[64];
  char *text;
  uint64_t index;
  uint64_t revision;
};

struct net_store
{
  struct net_record records[NET_RECORDS];
  size_t count;
  uint64_t index;
  bool down;
};

/* Model of a forwarder, which stores the last snapshot.  */
struct net_forwarder
{
  bool present;
  uint64_t boot_id;
  uint64_t digest;
  Amaranth__LifeState life;
  Amaranth__Snapshot *snapshot;
  uint32_t failing_service; /* 0: none */
  uint32_t failing_upstream;
  unsigned lowered; /* services that a snapshot or delta removed or replaced by
                       an older revision */
  unsigned deltas;  /* deltas applied */
  int delta_error;  /* 0: applies deltas; AM_E_TIMEOUT: ignores them; other:
                       refuses them with this error */
  unsigned refused; /* deltas refused */
};

struct net_node
{
  struct am_control *control; /* NULL: down */
  uint64_t generation;        /* of the process; events of an earlier one are
                                 discarded */
  unsigned group;             /* nodes of different groups are partitioned */
  uint64_t sent;
  uint64_t received;
  uint64_t messages;
  uint64_t connected_us[NET_NODES_MAX]; /* last use of a connection */
  bool watching;
  uint64_t watch_until;
  unsigned exits;
  unsigned config_active_lines; /* number of config_in_force log lines */
  struct net_forwarder forwarder;
  uint64_t held_revisions[NET_RECORDS]; /* at the last check; 0 at start */
};

enum net_event_type
{
  NET_DATAGRAM,
  NET_STREAM,
  NET_STORE,
  NET_WATCH,         /* a watch ends and returns the index only */
  NET_WATCH_TIMEOUT, /* a watch ends without a change */
  NET_TICK,
  NET_REPORT,
  NET_SNAPSHOT,
};

struct net_event
{
  uint64_t at;
  uint64_t order;
  enum net_event_type type;
  size_t node;
  uint64_t generation; /* of the node's process when scheduled */
  size_t from;
  int error;
  uint8_t *data;
  size_t len;
};

struct net
{
  struct net_node *nodes;
  size_t count;
  size_t data_centres;
  uint64_t now;
  uint64_t next_order;
  struct net_event *heap;
  size_t heap_count;
  size_t heap_size;
  struct am_rng rng;
  double loss;
  double duplicate;
  uint64_t delay_us;
  uint64_t jitter_us;
  struct net_store store;
  unsigned reversions;
  bool verbose;
  uint32_t fanout;  /* copied to am_control_options */
  uint32_t readers; /* copied to am_control_options */
  size_t current;   /* node that is handling an event */
};

/* ---- event queue -------------------------------------------------- */

static bool
net_before (const struct net_event *a, const struct net_event *b)
{
  return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static void
net_push (struct net *n, struct net_event e)
{
  size_t i = n->heap_count++;

  if (n->heap_count > n->heap_size)
    {
      n->heap_size = n->heap_size ? 2 * n->heap_size : 1024;
      n->heap = realloc (n->heap, n->heap_size * sizeof *n->heap);
    }
  e.order = n->next_order++;
  while (i > 0 && net_before (&e, &n->heap[(i - 1) / 2]))
    {
      n->heap[i] = n->heap[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  n->heap[i] = e;
}

static struct net_event
net_pop (struct net *n)
{
  struct net_event top = n->heap[0];
  struct net_event last = n->heap[--n->heap_count];
  size_t i = 0;

  for (;;)
    {
      size_t child = 2 * i + 1;

      if (child >= n->heap_count)
        break;
      if (child + 1 < n->heap_count
          && net_before (&n->heap[child + 1], &n->heap[child]))
        child++;
      if (!net_before (&n->heap[child], &last))
        break;
      n->heap[i] = n->heap[child];
      i = child;
    }
  n->heap[i] = last;
  return top;
}

static void
net_schedule (struct net *n, uint64_t in_us, enum net_event_type type,
              size_t node, size_t from, const uint8_t *data, size_t len)
{
  struct net_event e = {
    .at = n->now + in_us, .type = type, .node = node, .from = from, .len = len
  };

  e.generation = n->nodes[node].generation;
  if (data)
    {
      e.data = malloc (len + 1);
      memcpy (e.data, data, len);
    }
  net_push (n, e);
}

/* ---- links -------------------------------------------------------- */

static uint64_t
net_latency (struct net *n)
{
  return n->delay_us
         + (uint64_t)(am_rng_unit (&n->rng) * (double)n->jitter_us);
}

static bool
net_reachable (const struct net *n, size_t a, size_t b)
{
  return n->nodes[a].group == n->nodes[b].group;
}

static size_t
net_node_at (struct am_address a)
{
  return (size_t)(a.ip - NET_IP - 1);
}

static struct am_address
net_address (size_t node)
{
  struct am_address a = { NET_IP + 1 + (uint32_t)node, 7100 };

  return a;
}

static void
net_datagram (struct net *n, const struct am_control_action *a)
{
  size_t from = n->current;
  size_t to = net_node_at (a->to);
  size_t bytes = a->len + NET_FRAME_HEADER + NET_UDP_HEADER;

  n->nodes[from].sent += bytes;
  n->nodes[from].messages++;
  if (to >= n->count || !net_reachable (n, from, to)
      || am_rng_unit (&n->rng) < n->loss)
    return;
  n->nodes[to].received += bytes;
  net_schedule (n, net_latency (n), NET_DATAGRAM, to, from, a->data, a->len);
  if (am_rng_unit (&n->rng) < n->duplicate)
    net_schedule (n, net_latency (n) + NET_SECOND / 2, NET_DATAGRAM, to, from,
                  a->data, a->len);
}

/* Initial retransmission timeout of TCP; it doubles at each retransmission. */
#define NET_TCP_RTO_US (NET_SECOND / 5)

/* Adds the retransmitted segments of one message of LEN bytes to *BYTES.
   Returns the resulting delay of the message in microseconds: the longest of
   its segments, which are in flight at the same time.  */
static uint64_t
net_retransmit (struct net *n, size_t len, size_t *bytes)
{
  uint64_t longest = 0;
  size_t segment = len < NET_TCP_SEGMENT ? len : NET_TCP_SEGMENT;

  for (size_t i = 0; n->loss > 0 && i <= len / NET_TCP_SEGMENT; i++)
    {
      uint64_t wait = NET_TCP_RTO_US;
      uint64_t delay = 0;

      for (; am_rng_unit (&n->rng) < n->loss; wait *= 2)
        {
          delay += wait;
          *bytes += segment + NET_TCP_HEADER;
        }
      longest = delay > longest ? delay : longest;
    }
  return longest;
}

/* Sends a message over TCP: datagram loss adds delay and bytes, and a
   partition drops the message.  */
static void
net_stream (struct net *n, size_t to, const uint8_t *data, size_t len)
{
  size_t from = n->current;
  size_t bytes
      = len + NET_FRAME_HEADER + NET_TCP_HEADER * (1 + len / NET_TCP_SEGMENT);
  uint64_t late;

  if (to >= n->count)
    return;
  late = net_retransmit (n, len + NET_FRAME_HEADER, &bytes);
  if (n->now - n->nodes[from].connected_us[to] > 3 * NET_SECOND)
    bytes += NET_TCP_CONNECTION;
  n->nodes[from].connected_us[to] = n->now;
  n->nodes[to].connected_us[from] = n->now;
  n->nodes[from].sent += bytes;
  n->nodes[from].messages++;
  if (!net_reachable (n, from, to))
    return;
  n->nodes[to].received += bytes;
  net_schedule (n, 3 * n->delay_us + n->jitter_us + late, NET_STREAM, to, from,
                data, len);
}

/* ---- store -------------------------------------------------------- */

static void
net_read_store (struct net *n, const struct am_control_action *a)
{
  struct net_node *node = &n->nodes[n->current];

  if (a->index && a->index >= n->store.index && !n->store.down)
    {
      node->watching = true;
      node->watch_until = n->now + (uint64_t)a->wait_ms * 1000;
      net_schedule (n, (uint64_t)a->wait_ms * 1000, NET_WATCH_TIMEOUT,
                    n->current, 0, NULL, 0);
      return;
    }
  net_schedule (n, 2000, a->index ? NET_WATCH : NET_STORE, n->current, 0, NULL,
                0);
}

static void
net_notify_watches (struct net *n)
{
  for (size_t i = 0; i < n->count; i++)
    if (n->nodes[i].watching)
      {
        n->nodes[i].watching = false;
        net_schedule (n, 1000, NET_WATCH, i, 0, NULL, 0);
      }
}

NET_UNUSED static void
net_store_down (struct net *n, bool down)
{
  n->store.down = down;
  net_notify_watches (n);
}

static struct net_record *
net_store_find (struct net *n, const char *name)
{
  for (size_t i = 0; i < n->store.count; i++)
    if (strcmp (n->store.records[i].name, name) == 0)
      return &n->store.records[i];
  return NULL;
}

/* Returns the JSON text of a service record, which the caller frees.  */
static char *
net_record_text (const char *name, uint64_t revision, uint64_t write_id,
                 unsigned upstreams)
{
  char *text = NULL;
  size_t len = 0;
  FILE *out = open_memstream (&text, &len);
  unsigned number = (unsigned)strtoul (name + 1, NULL, 10);

  fprintf (out,
           "{\"schema\":2,\"kind\":\"service\",\"name\":\"%s\",\"revision\":"
           "%llu,\"write_id\":\"%032llx\",\"region\":\"r\",\"address\":"
           "\"127.60.%u.%u:8001\",\"binding\":\"ticket\",\"objective\":"
           "\"broken_flows\",\"policy\":\"local\",\"liveness\":"
           "{\"ping_interval_ms\":1000,\"misses\":3},\"slow_start_ms\":10000,"
           "\"open_rate\":200,\"classes\":[{\"id\":0,\"name\":\"order\","
           "\"kind\":\"one_time\",\"weight\":2,\"priority\":0,"
           "\"deadline_ms\":5000,\"queue_limit\":64}],\"upstreams\":[",
           name, (unsigned long long)revision, (unsigned long long)write_id,
           100 + number / 250, 1 + number % 250);
  for (unsigned i = 0; i < upstreams; i++)
    fprintf (out,
             "%s{\"name\":\"%s-%u\",\"address\":\"127.60.%u.%u:%u\","
             "\"data_centre\":\"dc-%u\",\"incarnation\":1,\"state\":"
             "\"active\",\"slots\":2,\"connections\":2000,\"weight\":100}",
             i ? "," : "", name, i, 110 + number / 250, 1 + number % 250,
             9000 + i, i % 2);
  fprintf (out, "]}");
  fclose (out);
  return text;
}

NET_UNUSED static void
net_store_put (struct net *n, const char *name, uint64_t revision,
               uint64_t write_id, unsigned upstreams)
{
  struct net_record *r = net_store_find (n, name);

  if (!r)
    {
      r = &n->store.records[n->store.count++];
      memset (r, 0, sizeof *r);
      snprintf (r->name, sizeof r->name, "%s", name);
    }
  free (r->text);
  r->text = net_record_text (name, revision, write_id, upstreams);
  r->revision = revision;
  r->index = ++n->store.index;
  net_notify_watches (n);
}

/* ---- actions and events ------------------------------------------- */

static void
net_emit (void *userdata, const struct am_control_action *a)
{
  struct net *n = userdata;

  switch (a->type)
    {
    case AM_CONTROL_SEND_GOSSIP:
      net_datagram (n, a);
      break;
    case AM_CONTROL_SEND_PEER:
      net_stream (n, net_node_at (a->to), a->data, a->len);
      break;
    case AM_CONTROL_SEND_STREAM:
      net_stream (n, (size_t)a->stream - 1, a->data, a->len);
      break;
    case AM_CONTROL_SEND_FORWARDER:
      net_schedule (n, 100, NET_SNAPSHOT, n->current, 0, a->data, a->len);
      break;
    case AM_CONTROL_READ_STORE:
      net_read_store (n, a);
      break;
    case AM_CONTROL_LOG:
      n->nodes[n->current].config_active_lines
          += a->len > 21
             && strncmp ((const char *)a->data, "event=config_in_force", 21)
                    == 0;
      if (n->verbose)
        printf ("%8.3f %zu %.*s\n", (double)n->now / 1e6, n->current,
                (int)a->len, (const char *)a->data);
      break;
    case AM_CONTROL_OWNER_CALL: /* the simulated store does not answer */
      break;
    case AM_CONTROL_EXIT:
      n->nodes[n->current].exits++;
      break;
    }
}

/* Counts records whose revision decreased within one process of an agent.  */
static void
net_check_revisions (struct net *n, size_t node)
{
  for (size_t i = 0; i < n->store.count; i++)
    {
      uint64_t r = am_control_revision (n->nodes[node].control,
                                        n->store.records[i].name);

      if (r < n->nodes[node].held_revisions[i])
        n->reversions++;
      n->nodes[node].held_revisions[i] = r;
    }
}

static int
net_event (struct net *n, size_t node, struct am_control_event *e)
{
  int err;

  n->current = node;
  e->now_us = n->now;
  err = am_control_event (n->nodes[node].control, e);
  if (e->type == AM_CONTROL_STORE || e->type == AM_CONTROL_STREAM)
    net_check_revisions (n, node);
  return err;
}

/* Packs E.  Returns *LEN bytes, which the caller frees.  */
static uint8_t *
net_pack (const Amaranth__Envelope *e, size_t *len)
{
  uint8_t *data = malloc (amaranth__envelope__get_packed_size (e) + 1);

  *len = amaranth__envelope__pack (e, data);
  return data;
}

/* Delivers an event of TYPE with message E, from the forwarder or from an
   operator's stream, which belongs to no node.  E is NULL for events without a
   message.  */
static int
net_message (struct net *n, size_t node, enum am_control_event_type type,
             const Amaranth__Envelope *e)
{
  struct am_control_event event
      = { .type = type, .stream = NET_NODES_MAX + 1 };
  uint8_t *data = e ? net_pack (e, &event.len) : NULL;
  int err;

  event.data = data;
  err = net_event (n, node, &event);
  free (data);
  return err;
}

/* Bytes of one record name in the JSON list that a watch returns.  */
#define NET_WATCH_NAME_BYTES 35

static void
net_deliver_watch (struct net *n, size_t node)
{
  struct am_control_store s = { .index = n->store.index, .index_only = true };
  struct am_control_event e = { .type = AM_CONTROL_STORE, .store = &s };

  if (n->store.down)
    s.error = AM_E_STORE;
  else
    n->nodes[node].received += n->store.count * NET_WATCH_NAME_BYTES;
  net_event (n, node, &e);
}

static void
net_expire_watch (struct net *n, size_t node)
{
  if (!n->nodes[node].watching || n->now < n->nodes[node].watch_until)
    return;
  n->nodes[node].watching = false;
  net_deliver_watch (n, node);
}

static void
net_deliver_store (struct net *n, size_t node)
{
  struct am_control_value values[NET_RECORDS];
  struct am_control_store s = { .index = n->store.index, .values = values };
  struct am_control_event e = { .type = AM_CONTROL_STORE, .store = &s };

  if (n->store.down)
    s.error = AM_E_STORE;
  else if (n->store.count == 0)
    s.error = AM_E_NOT_FOUND;
  for (size_t i = 0; i < n->store.count && !s.error; i++)
    {
      values[i].name = n->store.records[i].name;
      values[i].text = (const uint8_t *)n->store.records[i].text;
      values[i].len = strlen (n->store.records[i].text);
      n->nodes[node].received += values[i].len * 4 / 3;
      s.count++;
    }
  net_event (n, node, &e);
}

static void
net_report (struct net *n, size_t node)
{
  struct net_forwarder *f = &n->nodes[node].forwarder;
  Amaranth__UpstreamLoad load = AMARANTH__UPSTREAM_LOAD__INIT;
  Amaranth__UpstreamLoad *loads[] = { &load };
  Amaranth__Report r = AMARANTH__REPORT__INIT;
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;

  r.boot_id = f->boot_id;
  r.digest = f->digest;
  r.life = f->life;
  load.service_id = f->failing_service;
  load.upstream_id = f->failing_upstream;
  load.avoided = true;
  load.failures = 3;
  r.upstreams = loads;
  r.n_upstreams = f->failing_service != 0;
  e.body_case = AMARANTH__ENVELOPE__BODY_REPORT;
  e.report = &r;
  net_message (n, node, AM_CONTROL_FORWARDER, &e);
  net_schedule (n, NET_SECOND, NET_REPORT, node, 0, NULL, 0);
}

static uint64_t
net_service_revision (const Amaranth__Snapshot *s, uint32_t id)
{
  for (size_t i = 0; s && i < s->n_services; i++)
    if (s->services[i]->id == id)
      return s->services[i]->revision;
  return 0;
}

/* Sends the forwarder's active snapshot to its agent, which has connected.  */
static void
net_send_active_snapshot (struct net *n, size_t node)
{
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;

  if (!n->nodes[node].forwarder.snapshot)
    return;
  e.body_case = AMARANTH__ENVELOPE__BODY_SNAPSHOT;
  e.snapshot = n->nodes[node].forwarder.snapshot;
  net_message (n, node, AM_CONTROL_FORWARDER, &e);
}

/* Refuses a delta with ERROR, as a forwarder does if the base of the delta is
   not its active snapshot.  */
static void
net_refuse_delta (struct net *n, size_t node, int error)
{
  Amaranth__Failure f = AMARANTH__FAILURE__INIT;
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;

  f.error = error;
  e.body_case = AMARANTH__ENVELOPE__BODY_FAILURE;
  e.failure = &f;
  n->nodes[node].forwarder.refused++;
  net_message (n, node, AM_CONTROL_FORWARDER, &e);
}

static void
net_apply_delta (struct net *n, size_t node, Amaranth__SnapshotDelta *d)
{
  struct net_forwarder *f = &n->nodes[node].forwarder;

  int err = f->snapshot && f->digest == d->base_digest ? AM_OK : AM_E_BASE;

  if (f->delta_error)
    err = f->delta_error;
  if (err == AM_E_TIMEOUT)
    return;
  if (err)
    {
      net_refuse_delta (n, node, err);
      return;
    }
  for (size_t i = 0; i < d->n_services; i++)
    f->lowered += d->services[i]->revision
                  < net_service_revision (f->snapshot, d->services[i]->id);
  f->lowered += (unsigned)d->n_services_gone;
  f->deltas++;
  merge_delta (f->snapshot, d);
  f->digest = d->digest;
}

/* Handles a message from the agent to its forwarder.  */
static void
net_forwarder_receive (struct net *n, size_t node, const uint8_t *data,
                       size_t len)
{
  struct net_forwarder *f = &n->nodes[node].forwarder;
  Amaranth__Envelope *e = amaranth__envelope__unpack (NULL, len, data);
  Amaranth__Snapshot *s = e->snapshot;

  if (e->body_case == AMARANTH__ENVELOPE__BODY_SNAPSHOT_DELTA)
    {
      net_apply_delta (n, node, e->snapshot_delta);
      amaranth__envelope__free_unpacked (e, NULL);
      return;
    }
  if (e->body_case != AMARANTH__ENVELOPE__BODY_SNAPSHOT)
    {
      amaranth__envelope__free_unpacked (e, NULL);
      net_send_active_snapshot (n, node);
      net_schedule (n, 1000, NET_REPORT, node, 0, NULL, 0);
      return;
    }

  for (size_t i = 0; f->snapshot && i < f->snapshot->n_services; i++)
    f->lowered += net_service_revision (s, f->snapshot->services[i]->id)
                  < f->snapshot->services[i]->revision;
  if (f->snapshot)
    amaranth__snapshot__free_unpacked (f->snapshot, NULL);
  f->snapshot = s;
  f->digest = s->digest;
  e->body_case = AMARANTH__ENVELOPE__BODY__NOT_SET;
  e->snapshot = NULL;
  amaranth__envelope__free_unpacked (e, NULL);
}

static void
net_handle (struct net *n, const struct net_event *v)
{
  struct am_control_event e
      = { .data = v->data, .len = v->len, .stream = v->from + 1 };

  if (!n->nodes[v->node].control
      || n->nodes[v->node].generation != v->generation)
    return;
  switch (v->type)
    {
    case NET_DATAGRAM:
      e.type = AM_CONTROL_GOSSIP;
      e.from = net_address (v->from);
      net_event (n, v->node, &e);
      break;
    case NET_STREAM:
      e.type = AM_CONTROL_STREAM;
      net_event (n, v->node, &e);
      break;
    case NET_STORE:
      net_deliver_store (n, v->node);
      break;
    case NET_WATCH:
      net_deliver_watch (n, v->node);
      break;
    case NET_WATCH_TIMEOUT:
      net_expire_watch (n, v->node);
      break;
    case NET_TICK:
      e.type = AM_CONTROL_TICK;
      net_event (n, v->node, &e);
      net_schedule (n, AM_CONTROL_TICK_US, NET_TICK, v->node, 0, NULL, 0);
      break;
    case NET_REPORT:
      net_report (n, v->node);
      break;
    case NET_SNAPSHOT:
      net_forwarder_receive (n, v->node, v->data, v->len);
      break;
    }
}

/* Advances the virtual time by US microseconds.  */
static void
net_run (struct net *n, uint64_t us)
{
  uint64_t end = n->now + us;

  while (n->heap_count && n->heap[0].at <= end)
    {
      struct net_event e = net_pop (n);

      n->now = e.at;
      net_handle (n, &e);
      free (e.data);
    }
  n->now = end;
}

/* ---- nodes -------------------------------------------------------- */

/* Returns the engine of VM 1, outside a simulated network; NULL if memory
   fails.  */
NET_UNUSED static struct am_control *
net_engine (const char *name, const char *data_centre, uint64_t incarnation,
            struct am_control_sink sink)
{
  struct am_control_options o = { .self = { .id = 1,
                                            .name = name,
                                            .data_centre = data_centre,
                                            .region = "r",
                                            .ip = NET_IP + 1,
                                            .agent_port = 7100 },
                                  .incarnation = incarnation,
                                  .sink = sink };
  struct am_control *c = NULL;

  return am_control_new (&c, &o) == AM_OK ? c : NULL;
}

static void
net_start (struct net *n, size_t node)
{
  static char names[NET_NODES_MAX][32];
  static char centres[NET_NODES_MAX][32];
  struct net_node *v = &n->nodes[node];
  struct am_address seeds[2] = { net_address (0), net_address (1) };
  struct am_control_event e
      = { .type = AM_CONTROL_SEEDS, .seeds = seeds, .seed_count = 2 };
  struct am_control_options o = { .self = { .id = (uint32_t)node + 1,
                                            .name = names[node],
                                            .data_centre = centres[node],
                                            .region = "r",
                                            .ip = net_address (node).ip,
                                            .agent_port = 7100,
                                            .control_port = 7101,
                                            .peer_port = 7001 },
                                  .incarnation = 1796361774657 + n->now / 1000,
                                  .sink = { net_emit, n },
                                  .fanout = n->fanout,
                                  .readers = n->readers };

  snprintf (names[node], sizeof names[node], "vm-%zu", node + 1);
  snprintf (centres[node], sizeof centres[node], "dc-%zu",
            node % n->data_centres);
  o.seed = am_rng_next (&n->rng);
  am_control_new (&v->control, &o);
  v->generation++;
  v->watching = false;
  memset (v->held_revisions, 0, sizeof v->held_revisions);
  net_event (n, node, &e);
  net_schedule (n, am_rng_below (&n->rng, AM_CONTROL_TICK_US), NET_TICK, node,
                0, NULL, 0);
  if (v->forwarder.present)
    {
      e.type = AM_CONTROL_FORWARDER_UP;
      net_event (n, node, &e);
    }
}

NET_UNUSED static void
net_kill (struct net *n, size_t node)
{
  am_control_free (n->nodes[node].control);
  n->nodes[node].control = NULL;
  n->nodes[node].generation++;
  n->nodes[node].watching = false;
}

/* Sets up COUNT nodes, each with a forwarder.  net_start starts them.  */
NET_UNUSED static void
net_init (struct net *n, size_t count, size_t data_centres, uint64_t seed)
{
  memset (n, 0, sizeof *n);
  n->nodes = calloc (count, sizeof *n->nodes);
  n->count = count;
  n->data_centres = data_centres;
  n->now = NET_SECOND;
  n->delay_us = 500;
  n->jitter_us = 1000;
  n->store.index = 1;
  am_rng_init (&n->rng, seed);
  for (size_t i = 0; i < count; i++)
    {
      n->nodes[i].forwarder.present = true;
      n->nodes[i].forwarder.boot_id = am_rng_next (&n->rng) | 1;
    }
}

NET_UNUSED static void
net_start_all (struct net *n)
{
  for (size_t i = 0; i < n->count; i++)
    net_start (n, i);
}

NET_UNUSED static void
net_finish (struct net *n)
{
  for (size_t i = 0; i < n->count; i++)
    {
      am_control_free (n->nodes[i].control);
      if (n->nodes[i].forwarder.snapshot)
        amaranth__snapshot__free_unpacked (n->nodes[i].forwarder.snapshot,
                                           NULL);
    }
  for (size_t i = 0; i < n->heap_count; i++)
    free (n->heap[i].data);
  for (size_t i = 0; i < n->store.count; i++)
    free (n->store.records[i].text);
  free (n->heap);
  free (n->nodes);
}

/* ---- queries ------------------------------------------------------ */

/* Returns the number of running nodes that have record NAME at REVISION or
   above.  */
NET_UNUSED static size_t
net_count_holding (const struct net *n, const char *name, uint64_t revision)
{
  size_t found = 0;

  for (size_t i = 0; i < n->count; i++)
    found += n->nodes[i].control
             && am_control_revision (n->nodes[i].control, name) >= revision;
  return found;
}

/* Runs until every node has NAME at REVISION or above, or LIMIT_US has passed.
   Returns the elapsed time in microseconds.  */
NET_UNUSED static uint64_t
net_run_until_held (struct net *n, const char *name, uint64_t revision,
                    uint64_t limit_us)
{
  uint64_t start = n->now;

  while (net_count_holding (n, name, revision) < n->count
         && n->now - start < limit_us)
    net_run (n, 10000);
  return n->now - start;
}

/* Returns the state of node SUBJECT in the membership table of node OBSERVER,
   or -1.  */
NET_UNUSED static int
net_member_state (const struct net *n, size_t observer, size_t subject)
{
  uint8_t *data;
  size_t len;
  int state = -1;
  Amaranth__Envelope *e;

  if (am_control_status (n->nodes[observer].control, &data, &len))
    return -1;
  e = amaranth__envelope__unpack (NULL, len, data);
  free (data);
  for (size_t i = 0; i < e->status_reply->n_members; i++)
    if (e->status_reply->members[i]->id == subject + 1)
      state = (int)e->status_reply->members[i]->state;
  amaranth__envelope__free_unpacked (e, NULL);
  return state;
}

/* Returns the number of live members, summed over the tables of all running
   nodes.  */
NET_UNUSED static size_t
net_live_pairs (const struct net *n)
{
  size_t pairs = 0;

  for (size_t i = 0; i < n->count; i++)
    {
      struct am_control_view v;

      if (!n->nodes[i].control)
        continue;
      am_control_look (n->nodes[i].control, &v);
      pairs += v.members_alive;
    }
  return pairs;
}

#endif
