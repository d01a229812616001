/* Several instances of the decision code, connected by an in-memory network,
   for tests of src/core.

   Actions are stored until a test takes them; datagrams between peers are
   delivered by net_pump.  */

#ifndef TEST_CORE_FIXTURE_H
#define TEST_CORE_FIXTURE_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "core/dispatch.h"
#include "suite.h"
#include "wire/bytes.h"
#include "wire/frame.h"
#include "wire/proxy_header.h"

#ifndef NODES_MAX
#define NODES_MAX 3
#endif
#define UPSTREAMS_MAX 4
#define ACTIONS_MAX 512
#define MS 1000u
#define SECOND 1000000u

#define HELPER __attribute__ ((unused)) static

static const uint8_t fixture_peer_key[AM_PEER_KEY_SIZE] = { 9, 8, 7 };
static const struct am_address fixture_caller = { 0x7f280601, 5555 };
static const struct am_address fixture_service = { 0x7f280901, 8001 };

struct kept_action
{
  struct am_action a;
  size_t node;
  uint8_t data[2048];
};

struct net
{
  struct am_dispatch nodes[NODES_MAX];
  size_t count;
  uint64_t now_us;
  struct kept_action kept[ACTIONS_MAX];
  size_t kept_count;
  size_t emitting;      /* node whose event is handled */
  unsigned unreachable; /* bit mask of nodes that receive no peer datagrams */
  bool keep_probes;     /* otherwise probes are not stored */
  struct kept_action last;
  const char *watched; /* prefix of decision lines to count, or NULL */
  size_t lines;        /* number of these lines */
  char line[512];      /* the last of these lines */
};

/* A snapshot that a test may change before it is applied.  */
struct config
{
  Amaranth__Snapshot snapshot;
  Amaranth__Service service;
  Amaranth__Service *services[2];
  Amaranth__Upstream upstream[UPSTREAMS_MAX];
  Amaranth__Upstream *upstreams[UPSTREAMS_MAX];
  Amaranth__RequestClass class;
  Amaranth__RequestClass *classes[1];
  Amaranth__Member member[NODES_MAX];
  Amaranth__Member *members[NODES_MAX];
  Amaranth__Key key[2];
  Amaranth__Key *keys[2];
  char names[UPSTREAMS_MAX][16];
  char member_names[NODES_MAX][16];
  uint8_t secrets[2][AM_TICKET_KEY_SIZE];
};

static bool
is_probe (const struct am_action *a)
{
  struct am_packet p;

  return a->type == AM_ACTION_UPSTREAM
         && am_packet_decode (&p, a->data + AM_PROXY_HEADER_SIZE,
                              a->len - AM_PROXY_HEADER_SIZE)
                == AM_OK
         && p.type == AM_PACKET_PROBE;
}

static void
watch (struct net *n, const struct am_action *a)
{
  if (!n->watched || a->len < strlen (n->watched)
      || memcmp (a->data, n->watched, strlen (n->watched)) != 0)
    return;
  n->lines++;
  snprintf (n->line, sizeof n->line, "%.*s", (int)a->len,
            (const char *)a->data);
}

static void
keep (void *userdata, const struct am_action *a)
{
  struct net *n = userdata;
  struct kept_action *k = &n->kept[n->kept_count];

  if (a->type == AM_ACTION_LOG)
    watch (n, a);
  if (a->type == AM_ACTION_LOG || (is_probe (a) && !n->keep_probes))
    return;
  ck_assert_uint_lt (n->kept_count, ACTIONS_MAX);
  ck_assert_uint_le (a->len, sizeof k->data);
  k->a = *a;
  k->node = n->emitting;
  if (a->len)
    memcpy (k->data, a->data, a->len);
  n->kept_count++;
}

HELPER void
net_init (struct net *n, size_t count)
{
  memset (n, 0, sizeof *n);
  n->count = count;
  n->now_us = 100 * SECOND;
  for (size_t i = 0; i < count; i++)
    {
      struct am_dispatch_options o = { .self = { .id = (uint32_t)i + 1,
                                                 .name = "vm",
                                                 .region = "r",
                                                 .data_centre = "a",
                                                 .boot_id = 1000 + i },
                                       .seed = 7 + i,
                                       .peer_key = fixture_peer_key,
                                       .log_decisions = true,
                                       .sink = { keep, n } };

      ck_assert_int_eq (am_dispatch_init (&n->nodes[i], &o), AM_OK);
    }
}

HELPER void
net_finish (struct net *n)
{
  for (size_t i = 0; i < n->count; i++)
    am_dispatch_finish (&n->nodes[i]);
}

HELPER int
net_event (struct net *n, size_t node, struct am_event *e)
{
  e->now_us = n->now_us;
  n->emitting = node;
  return am_dispatch_event (&n->nodes[node], e);
}

/* Advances the time by US with ticks of 10 ms on every node.  */
HELPER void
net_run (struct net *n, uint64_t us)
{
  for (uint64_t end = n->now_us + us; n->now_us < end;)
    {
      n->now_us += AM_TICK_US;
      for (size_t i = 0; i < n->count; i++)
        {
          struct am_event e = { .type = AM_EVENT_TICK };

          net_event (n, i, &e);
        }
    }
}

/* Removes the first stored action of TYPE and returns it in n->last, or
   returns NULL.  */
HELPER struct kept_action *
net_take (struct net *n, enum am_action_type type)
{
  for (size_t i = 0; i < n->kept_count; i++)
    {
      if (n->kept[i].a.type != type)
        continue;
      n->last = n->kept[i];
      n->last.a.data = n->last.data;
      memmove (&n->kept[i], &n->kept[i + 1],
               (n->kept_count - i - 1) * sizeof n->kept[0]);
      n->kept_count--;
      return &n->last;
    }
  return NULL;
}

HELPER size_t
net_count (const struct net *n, enum am_action_type type)
{
  size_t found = 0;

  for (size_t i = 0; i < n->kept_count; i++)
    found += n->kept[i].a.type == type;
  return found;
}

/* Delivers datagrams between peers until none is left.  Returns their number,
   including those to unreachable nodes.  */
HELPER size_t
net_pump (struct net *n)
{
  size_t delivered = 0;
  struct kept_action *k;

  while ((k = net_take (n, AM_ACTION_PEER)) != NULL)
    {
      size_t to = (k->a.to.ip & 0xff) - 1;
      struct kept_action copy = *k;
      struct am_event e = { .type = AM_EVENT_PEER, .len = copy.a.len };

      e.data = copy.data;
      delivered++;
      if (to < n->count && !(n->unreachable >> to & 1))
        net_event (n, to, &e);
    }
  return delivered;
}

HELPER void
config_init (struct config *c, Amaranth__Binding binding, size_t upstreams,
             size_t members)
{
  memset (c, 0, sizeof *c);
  amaranth__snapshot__init (&c->snapshot);
  amaranth__service__init (&c->service);
  amaranth__request_class__init (&c->class);
  c->services[0] = &c->service;
  c->snapshot.services = c->services;
  c->snapshot.n_services = 1;
  c->service.id = 77;
  c->service.name = "dispatch";
  c->service.region = "r";
  c->service.revision = 1;
  c->service.binding = binding;
  c->service.ip = fixture_service.ip;
  c->service.port = fixture_service.port;
  c->service.upstreams = c->upstreams;
  c->service.n_upstreams = upstreams;
  c->class.name = "order";
  c->class.kind = AMARANTH__REQUEST_KIND__ONE_TIME;
  c->classes[0] = &c->class;
  c->service.classes = c->classes;
  c->service.n_classes = binding == AMARANTH__BINDING__BINDING_TICKET;
  for (size_t i = 0; i < UPSTREAMS_MAX; i++)
    {
      Amaranth__Upstream *u = &c->upstream[i];

      amaranth__upstream__init (u);
      c->upstreams[i] = u;
      snprintf (c->names[i], sizeof c->names[i], "u%zu", i);
      u->name = c->names[i];
      u->id = 500 + (uint32_t)i;
      u->ip = 0x7f280701 + (uint32_t)i;
      u->port = 9000;
      u->incarnation = 1;
      u->slots = 2;
      u->connections = 2000;
    }
  c->snapshot.members = c->members;
  c->snapshot.n_members = members;
  for (size_t i = 0; i < NODES_MAX; i++)
    {
      Amaranth__Member *m = &c->member[i];

      amaranth__member__init (m);
      c->members[i] = m;
      snprintf (c->member_names[i], sizeof c->member_names[i], "vm%zu", i);
      m->name = c->member_names[i];
      m->id = (uint32_t)i + 1;
      m->region = "r";
      m->ip = 0x7f280001 + (uint32_t)i;
      m->peer_port = 7001;
      m->boot_id = 1000 + i;
    }
  c->snapshot.keys = c->keys;
  c->snapshot.n_keys = 1;
  for (size_t i = 0; i < 2; i++)
    {
      amaranth__key__init (&c->key[i]);
      c->keys[i] = &c->key[i];
      memset (c->secrets[i], (int)i + 1, sizeof c->secrets[i]);
      c->key[i].id = (uint32_t)i + 1;
      c->key[i].secret.data = c->secrets[i];
      c->key[i].secret.len = AM_TICKET_KEY_SIZE;
      c->key[i].state = i == 0 ? AMARANTH__KEY_STATE__KEY_ACTIVE
                               : AMARANTH__KEY_STATE__KEY_STANDBY;
    }
}

HELPER int
net_apply (struct net *n, size_t node, struct config *c)
{
  struct am_event e = { .type = AM_EVENT_SNAPSHOT };
  uint8_t *data = malloc (1 << 16);
  int err;

  e.len = amaranth__snapshot__pack (&c->snapshot, data);
  e.data = data;
  err = net_event (n, node, &e);
  free (data);
  return err;
}

HELPER void
net_apply_all (struct net *n, struct config *c)
{
  for (size_t i = 0; i < n->count; i++)
    ck_assert_int_eq (net_apply (n, i, c), AM_OK);
}

/* Starts COUNT nodes with the configuration of config_init.  */
HELPER void
net_begin (struct net *n, struct config *c, size_t count,
           Amaranth__Binding binding, size_t upstreams)
{
  net_init (n, count);
  config_init (c, binding, upstreams, count);
  net_apply_all (n, c);
}

/* Passes a datagram of a PROXY header and LEN bytes to NODE.  */
HELPER int
net_datagram (struct net *n, size_t node, enum am_event_type type,
              struct am_address from, struct am_address source,
              struct am_address destination, const uint8_t *data, size_t len)
{
  uint8_t buf[2048];
  struct am_proxy_header h = { source, destination };
  struct am_event e = {
    .type = type, .from = from, .data = buf, .len = AM_PROXY_HEADER_SIZE + len
  };

  am_proxy_encode (&h, buf);
  if (len)
    memcpy (buf + AM_PROXY_HEADER_SIZE, data, len);
  return net_event (n, node, &e);
}

HELPER int
net_from_caller (struct net *n, size_t node, const struct am_packet *p)
{
  uint8_t buf[AM_PACKET_SIZE_MAX];
  struct am_address fabric = { 0x7f280801, 7900 };
  size_t len;

  ck_assert_int_eq (am_packet_encode (p, buf, sizeof buf, &len), AM_OK);
  return net_datagram (n, node, AM_EVENT_CALLER, fabric, fixture_caller,
                       fixture_service, buf, len);
}

HELPER int
net_from_upstream (struct net *n, size_t node, struct am_address upstream,
                   const struct am_packet *p)
{
  uint8_t buf[AM_PACKET_SIZE_MAX];
  size_t len;

  ck_assert_int_eq (am_packet_encode (p, buf, sizeof buf, &len), AM_OK);
  return net_datagram (n, node, AM_EVENT_UPSTREAM, upstream, fixture_service,
                       fixture_caller, buf, len);
}

/* Decodes the packet of a stored datagram.  */
HELPER struct am_packet
kept_packet (const struct kept_action *k)
{
  struct am_packet p;

  ck_assert_int_eq (am_packet_decode (&p, k->data + AM_PROXY_HEADER_SIZE,
                                      k->a.len - AM_PROXY_HEADER_SIZE),
                    AM_OK);
  return p;
}

/* Takes the next datagram to the caller, which must be of TYPE.  */
HELPER struct am_packet
net_to_caller (struct net *n, uint8_t type)
{
  struct kept_action *k = net_take (n, AM_ACTION_CALLER);
  struct am_packet p;

  ck_assert_ptr_nonnull (k);
  p = kept_packet (k);
  ck_assert_uint_eq (p.type, type);
  return p;
}

/* Takes the next RESET to the caller and returns its reason.  */
HELPER int
net_reset_reason (struct net *n)
{
  struct am_packet p = net_to_caller (n, AM_PACKET_RESET);

  return (int32_t)am_get_u32 (p.body);
}

HELPER int
net_open (struct net *n, size_t node, uint64_t id, uint8_t kind)
{
  uint8_t body[AM_OPEN_BODY_SIZE] = { kind, 0 };
  struct am_packet p = { .type = AM_PACKET_OPEN,
                         .connection_id = id,
                         .body = body,
                         .body_len = sizeof body };

  return net_from_caller (n, node, &p);
}

/* Sends NODE a packet of TYPE from the upstream ADDRESS with a load and, if
   ERROR is not 0, a reason.  */
HELPER int
net_answer (struct net *n, size_t node, struct am_address address,
            uint8_t type, uint64_t id, int error)
{
  uint8_t body[AM_LOAD_SIZE + AM_REASON_BODY_SIZE] = { 0 };
  struct am_packet p = { .type = type,
                         .connection_id = id,
                         .body = body,
                         .body_len = error ? sizeof body : AM_LOAD_SIZE };

  am_put_u32 (body + AM_LOAD_SIZE, (uint32_t)error);
  return net_from_upstream (n, node, address, &p);
}

/* Answers a probe of NODE as ADDRESS, an upstream of the service at SERVICE,
   without load.  */
HELPER int
net_report (struct net *n, size_t node, struct am_address address,
            struct am_address service)
{
  static const uint8_t load[AM_LOAD_SIZE];
  struct am_address nobody = { 0, 0 };
  struct am_packet p
      = { .type = AM_PACKET_REPORT, .body = load, .body_len = sizeof load };
  uint8_t buf[AM_PACKET_SIZE_MAX];
  size_t len;
  bool known = am_address_equal (service, fixture_service);

  ck_assert_int_eq (am_packet_encode (&p, buf, sizeof buf, &len), AM_OK);
  return net_datagram (n, node, known ? AM_EVENT_UPSTREAM : AM_EVENT_CALLER,
                       address, service, nobody, buf, len);
}

/* Answers the probes of every node as every upstream of C.  */
HELPER void
net_report_all (struct net *n, const struct config *c)
{
  for (size_t node = 0; node < n->count; node++)
    for (size_t i = 0; i < c->service.n_upstreams; i++)
      {
        struct am_address a = { c->upstream[i].ip, 9000 };

        net_report (n, node, a, fixture_service);
      }
}

/* Applies a second revision, in which upstream 0 is leaving, to every node. */
HELPER void
net_drain_first (struct net *n, struct config *c)
{
  c->service.revision = 2;
  c->upstream[0].state = AMARANTH__UPSTREAM_STATE__UPSTREAM_LEAVING;
  net_apply_all (n, c);
}

/* Advances the time by US, delivering peer datagrams and answers to probes. */
HELPER void
net_travel (struct net *n, const struct config *c, uint64_t us)
{
  for (uint64_t done = 0; done < us; done += 100 * MS)
    {
      net_run (n, 100 * MS);
      net_pump (n);
      net_report_all (n, c);
    }
}

/* Opens flow ID through NODE and copies its ticket.  Returns the address of
   the upstream that accepted.  */
HELPER struct am_address
net_open_flow (struct net *n, size_t node, uint64_t id, uint8_t *ticket)
{
  struct kept_action *k;
  struct am_address at;
  struct am_packet p;

  ck_assert_int_eq (net_open (n, node, id, AM_OPEN_FLOW), AM_OK);
  k = net_take (n, AM_ACTION_UPSTREAM);
  ck_assert_ptr_nonnull (k);
  at = k->a.to;
  net_answer (n, node, at, AM_PACKET_OPENED, id, 0);
  p = net_to_caller (n, AM_PACKET_OPENED);
  memcpy (ticket, p.ticket, AM_TICKET_SIZE);
  return at;
}

HELPER int
net_flow_packet (struct net *n, size_t node, uint8_t type, uint64_t id,
                 const uint8_t *ticket, uint8_t body)
{
  struct am_packet p = { .type = type,
                         .connection_id = id,
                         .ticket = ticket,
                         .body = &body,
                         .body_len = 1 };

  return net_from_caller (n, node, &p);
}

#define RUN_TESTS(name, ...)                                                \
  int main (void)                                                           \
  {                                                                         \
    const TTest *const tests[] = { __VA_ARGS__ };                           \
                                                                            \
    return suite_run_tests (name, tests, sizeof tests / sizeof *tests, 60); \
  }

#endif
