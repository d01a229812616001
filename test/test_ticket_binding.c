#include "core_fixture.h"

#include "core/binding/forward.h"
#include "core/placement/flow_setup.h"

static struct net net;
static struct config config;

static void
begin (size_t nodes, size_t upstreams)
{
  net_begin (&net, &config, nodes, AMARANTH__BINDING__BINDING_TICKET,
             upstreams);
}

/* Guards against flow state in an entry VM: a ticket issued by one must be
   routed by another that has received no packet of the flow.  */
START_TEST (test_any_vm_routes)
{
  uint8_t ticket[AM_TICKET_SIZE];
  struct am_address at;

  begin (2, 2);
  at = net_open_flow (&net, 0, 5, ticket);
  for (size_t i = 0; i < 2; i++)
    {
      struct kept_action *k;

      ck_assert_int_eq (
          net_flow_packet (&net, i, AM_PACKET_DATA, 5, ticket, 'x'), AM_OK);
      k = net_take (&net, AM_ACTION_UPSTREAM);
      ck_assert_ptr_nonnull (k);
      ck_assert (am_address_equal (k->a.to, at));
      ck_assert_uint_eq (k->a.service_id, 77);
    }
  net_finish (&net);
}
END_TEST

/* Guards against delivery with a ticket of another caller, connection or
   service, an altered ticket or none: each packet must be answered by a RESET
   with a reason and nothing else.  */
START_TEST (test_foreign_tickets)
{
  uint8_t ticket[AM_TICKET_SIZE];
  uint8_t altered[AM_TICKET_SIZE];

  begin (1, 2);
  net_open_flow (&net, 0, 5, ticket);
  net_flow_packet (&net, 0, AM_PACKET_DATA, 6, ticket, 'x');
  ck_assert_int_eq (net_reset_reason (&net), AM_E_AUTH);
  for (size_t i = 0; i < AM_TICKET_SIZE; i++)
    {
      memcpy (altered, ticket, sizeof altered);
      altered[i] ^= 0x10;
      ck_assert_int_lt (
          net_flow_packet (&net, 0, AM_PACKET_DATA, 5, altered, 'x'), 0);
      net_to_caller (&net, AM_PACKET_RESET);
    }
  net_flow_packet (&net, 0, AM_PACKET_DATA, 5, NULL, 'x');
  ck_assert_int_eq (net_reset_reason (&net), AM_E_TICKET);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_UPSTREAM), 0);
  net_finish (&net);
}
END_TEST

/* Guards against delivery to a new service that has the address of the
   ticket's service, but another id.  */
START_TEST (test_service_address_reused)
{
  uint8_t ticket[AM_TICKET_SIZE];

  begin (1, 2);
  net_open_flow (&net, 0, 5, ticket);
  config.service.id = 78;
  config.service.name = "booking";
  ck_assert_int_eq (net_apply (&net, 0, &config), AM_OK);
  net_flow_packet (&net, 0, AM_PACKET_DATA, 5, ticket, 'x');
  ck_assert_int_eq (net_reset_reason (&net), AM_E_TICKET);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_UPSTREAM), 0);
  net_finish (&net);
}
END_TEST

struct upstream_case
{
  Amaranth__UpstreamState state;
  bool removed;
  uint32_t incarnation;
  int expected; /* result of a packet with the earlier ticket */
};

/* Guards against resetting flows of a leaving upstream and against delivery to
   one that was removed or replaced: every packet type in every state.  */
START_TEST (test_upstream_states)
{
  static const struct upstream_case cases[] = {
    { AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE, false, 1, AM_OK },
    { AMARANTH__UPSTREAM_STATE__UPSTREAM_LEAVING, false, 1, AM_OK },
    { AMARANTH__UPSTREAM_STATE__UPSTREAM_RETIRED, false, 1,
      AM_E_UPSTREAM_UNKNOWN },
    { AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE, true, 1,
      AM_E_UPSTREAM_UNKNOWN },
    { AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE, false, 2, AM_E_INCARNATION },
    { AMARANTH__UPSTREAM_STATE__UPSTREAM_LEAVING, false, 2, AM_E_INCARNATION }
  };
  static const uint8_t types[]
      = { AM_PACKET_DATA, AM_PACKET_PING, AM_PACKET_CLOSE };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    for (size_t j = 0; j < sizeof types; j++)
      {
        const struct upstream_case *c = &cases[i];
        uint8_t ticket[AM_TICKET_SIZE];

        begin (1, 1);
        net_open_flow (&net, 0, 5, ticket);
        config.service.revision = 2;
        config.upstream[0].state = c->state;
        config.upstream[0].incarnation = c->incarnation;
        config.service.n_upstreams = c->removed ? 0 : 1;
        ck_assert_int_eq (net_apply (&net, 0, &config), AM_OK);
        ck_assert_int_eq (net_flow_packet (&net, 0, types[j], 5, ticket, 0),
                          c->expected);
        ck_assert_uint_eq (net_count (&net, AM_ACTION_UPSTREAM),
                           c->expected == AM_OK);
        if (c->expected)
          ck_assert_int_eq (net_reset_reason (&net), c->expected);
        net_finish (&net);
      }
}
END_TEST

/* Guards against broken flows while a configuration is active on some entry
   VMs only: one that does not know the upstream forwards the packet once to
   the issuer, and the issuer delivers.  */
START_TEST (test_stale_vm_forwards_to_issuer)
{
  uint8_t ticket[AM_TICKET_SIZE];
  struct kept_action *k;
  struct am_address at;

  begin (2, 1);
  config.service.revision = 2;
  config.service.n_upstreams = 2;
  config.upstream[0].state = AMARANTH__UPSTREAM_STATE__UPSTREAM_LEAVING;
  ck_assert_int_eq (net_apply (&net, 0, &config), AM_OK);
  at = net_open_flow (&net, 0, 5, ticket);
  ck_assert_uint_eq (at.ip, config.upstream[1].ip);
  ck_assert_int_eq (net_flow_packet (&net, 1, AM_PACKET_DATA, 5, ticket, 'x'),
                    AM_OK);
  ck_assert_uint_eq (net_pump (&net), 1);
  k = net_take (&net, AM_ACTION_UPSTREAM);
  ck_assert_ptr_nonnull (k);
  ck_assert_uint_eq (k->node, 0);
  ck_assert (am_address_equal (k->a.to, at));
  ck_assert_uint_eq (net_count (&net, AM_ACTION_CALLER), 0);
  net_finish (&net);
}
END_TEST

/* Guards against flows reset by an entry VM that has just restarted and has
   services but no keys yet, also if it issued the ticket itself before.  */
START_TEST (test_restarted_vm_without_keys)
{
  uint8_t ticket[AM_TICKET_SIZE];
  struct kept_action *k;

  for (size_t issuer = 0; issuer < 2; issuer++)
    {
      begin (2, 1);
      net_open_flow (&net, issuer, 5, ticket);
      net.nodes[1].board.key_count = 0;
      net.nodes[1].board.self.boot_id++;
      ck_assert_int_eq (
          net_flow_packet (&net, 1, AM_PACKET_DATA, 5, ticket, 'x'), AM_OK);
      ck_assert_uint_eq (net_pump (&net), 1);
      k = net_take (&net, AM_ACTION_UPSTREAM);
      ck_assert_ptr_nonnull (k);
      ck_assert_uint_eq (k->node, 0);
      net_open (&net, 1, 6, AM_OPEN_FLOW);
      ck_assert_uint_eq (net_pump (&net), 1);
      k = net_take (&net, AM_ACTION_UPSTREAM);
      ck_assert_ptr_nonnull (k);
      ck_assert_uint_eq (k->node, 0);
      net.nodes[0].board.key_count = 0;
      net_flow_packet (&net, 1, AM_PACKET_DATA, 5, ticket, 'x');
      ck_assert_uint_eq (net_pump (&net), 1);
      ck_assert_uint_eq (net.kept_count, 0);
      net_finish (&net);
    }
}
END_TEST

/* Guards against a forwarding loop between two entry VMs with an old
   configuration.  */
START_TEST (test_one_hop_only)
{
  uint8_t ticket[AM_TICKET_SIZE];

  begin (2, 1);
  net_open_flow (&net, 0, 5, ticket);
  config.service.revision = 2;
  config.service.n_upstreams = 0;
  net_apply_all (&net, &config);
  net_flow_packet (&net, 1, AM_PACKET_DATA, 5, ticket, 'x');
  ck_assert_uint_eq (net_pump (&net), 1);
  ck_assert_int_eq (net_reset_reason (&net), AM_E_UPSTREAM_UNKNOWN);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_CALLER), 0);
  net_finish (&net);
}
END_TEST

/* Guards against resetting idle flows whose upstream answers pings, and
   against keeping those whose upstream does not: the limit is the number of
   missed pings in the service record.  */
START_TEST (test_unresponsive_flow)
{
  uint8_t ticket[AM_TICKET_SIZE];

  begin (2, 1);
  net_open_flow (&net, 0, 5, ticket);
  for (uint8_t misses = 0; misses < 3; misses++)
    {
      net_flow_packet (&net, 1, AM_PACKET_PING, 5, ticket, misses);
      ck_assert_ptr_nonnull (net_take (&net, AM_ACTION_UPSTREAM));
      ck_assert_uint_eq (net_count (&net, AM_ACTION_CALLER), 0);
    }
  net_flow_packet (&net, 1, AM_PACKET_PING, 5, ticket, 3);
  ck_assert_int_eq (net_reset_reason (&net), AM_E_SILENT);
  ck_assert_uint_eq (net.nodes[1].board.counters.silent, 1);
  net_finish (&net);
}
END_TEST

/* Guards against a flow count that is never decremented: CLOSE at another
   entry VM must reach upstream and issuer, once each.  */
START_TEST (test_close_reaches_issuer)
{
  uint8_t ticket[AM_TICKET_SIZE];
  struct am_service *s;

  begin (2, 1);
  net_open_flow (&net, 0, 5, ticket);
  s = am_board_service (&net.nodes[0].board, 77);
  ck_assert_uint_eq (am_service_upstream (s, 500)->use.flows, 1);
  for (int i = 0; i < 2; i++)
    {
      net_flow_packet (&net, 1, AM_PACKET_CLOSE, 5, ticket, 0);
      net_pump (&net);
      ck_assert_uint_eq (net_count (&net, AM_ACTION_UPSTREAM), 1);
      net_take (&net, AM_ACTION_UPSTREAM);
      ck_assert_uint_eq (am_service_upstream (s, 500)->use.flows, 0);
    }
  net_finish (&net);
}
END_TEST

/* Guards against a flow count that stays too high after an upstream restarted:
   idle flows are removed if it reports fewer connections than are counted. */
START_TEST (test_count_follows_restart)
{
  uint8_t ticket[AM_TICKET_SIZE];
  struct am_upstream *u;

  begin (1, 1);
  for (uint64_t id = 1; id <= 5; id++)
    net_open_flow (&net, 0, id, ticket);
  u = am_service_upstream (am_board_service (&net.nodes[0].board, 77), 500);
  ck_assert_uint_eq (u->use.flows, 5);
  for (int i = 0; i < 32; i++)
    {
      net_run (&net, SECOND);
      net.kept_count = 0;
      net_answer (&net, 0, (struct am_address){ 0x7f280701, 9000 },
                  AM_PACKET_PONG, 99, 0);
      net.kept_count = 0;
    }
  net_run (&net, 2 * SECOND);
  ck_assert_uint_eq (u->use.flows, 0);
  net_finish (&net);
}
END_TEST

/* Guards against replies of upstreams that are altered or sent to another
   caller, and against resets whose reason is lost.  */
START_TEST (test_replies)
{
  struct am_address at = { 0x7f280701, 9000 };
  struct am_address other = { 0x7f280799, 9000 };
  struct am_packet p = { .type = AM_PACKET_DATA,
                         .connection_id = 5,
                         .body = (const uint8_t *)"alert",
                         .body_len = 5 };

  begin (1, 1);
  ck_assert_int_eq (net_from_upstream (&net, 0, at, &p), AM_OK);
  p = net_to_caller (&net, AM_PACKET_DATA);
  ck_assert_mem_eq (p.body, "alert", 5);
  net_answer (&net, 0, at, AM_PACKET_RESET, 5, AM_E_FLOW_UNKNOWN);
  ck_assert_int_eq (net_reset_reason (&net), AM_E_FLOW_UNKNOWN);
  p.type = AM_PACKET_ANSWER;
  ck_assert_int_eq (net_from_upstream (&net, 0, at, &p), AM_E_FORMAT);
  ck_assert_int_eq (net_from_upstream (&net, 0, other, &p),
                    AM_E_UPSTREAM_UNKNOWN);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_CALLER), 0);
  net_finish (&net);
}
END_TEST

static void
issue (uint64_t id, uint8_t *ticket)
{
  struct am_packet p;

  ck_assert_int_eq (net_open (&net, 0, id, AM_OPEN_REQUEST), AM_OK);
  p = net_to_caller (&net, AM_PACKET_OPENED);
  memcpy (ticket, p.ticket, AM_TICKET_SIZE);
}

/* Guards against counting one event twice: a request ticket, and a flow setup
   above the limit of its caller.  */
START_TEST (test_counted_once)
{
  const struct am_counters *c = &net.nodes[0].board.counters;
  uint8_t ticket[AM_TICKET_SIZE];
  uint64_t burst;

  begin (1, 1);
  config.service.open_rate = 2;
  ck_assert_int_eq (net_apply (&net, 0, &config), AM_OK);
  burst = 2 * config.service.open_rate;
  for (uint64_t id = 1; id <= burst; id++)
    issue (id, ticket);
  ck_assert_uint_eq (c->tickets_minted, burst);
  ck_assert_uint_eq (c->opens_limited, 0);
  ck_assert_int_eq (net_open (&net, 0, 8, AM_OPEN_REQUEST), AM_E_RATE);
  ck_assert_uint_eq (c->opens_limited, 1);
  ck_assert_int_eq (net_open (&net, 0, 9, AM_OPEN_FLOW), AM_E_RATE);
  ck_assert_uint_eq (c->opens_limited, 2);
  ck_assert_uint_eq (c->tickets_minted, burst);
  net_finish (&net);
}
END_TEST

/* Returns a request of connection 5.  TICKET may be filled in later.  */
static struct am_packet
request_with (const uint8_t *ticket)
{
  static const uint8_t body[AM_REQUEST_BODY_SIZE + 1];

  return (struct am_packet){ .type = AM_PACKET_REQUEST,
                             .connection_id = 5,
                             .ticket = ticket,
                             .body = body,
                             .body_len = sizeof body };
}

static int
outcome_reason (void)
{
  struct am_packet p = net_to_caller (&net, AM_PACKET_OUTCOME);

  ck_assert_uint_eq (p.body[0], AM_OUTCOME_UNKNOWN);
  return (int32_t)am_get_u32 (p.body + 1);
}

/* Guards against a request that is processed twice: only the issuer of its
   ticket may process it; any other entry VM forwards it, or answers UNKNOWN if
   the issuer is dead or has left.  */
START_TEST (test_request_issuer)
{
  static const Amaranth__MemberState gone[]
      = { AMARANTH__MEMBER_STATE__MEMBER_DEAD,
          AMARANTH__MEMBER_STATE__MEMBER_LEFT };
  uint8_t ticket[AM_TICKET_SIZE];
  struct am_packet p = request_with (ticket);

  begin (2, 1);
  issue (5, ticket);
  ck_assert_int_eq (net_from_caller (&net, 1, &p), AM_OK);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_PEER), 1);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_STREAM), 0);
  net_take (&net, AM_ACTION_PEER);
  for (size_t i = 0; i < 2; i++)
    {
      config.member[0].state = gone[i];
      ck_assert_int_eq (net_apply (&net, 1, &config), AM_OK);
      ck_assert_int_eq (net_from_caller (&net, 1, &p), AM_E_ISSUER_GONE);
      ck_assert_int_eq (outcome_reason (), AM_E_ISSUER_GONE);
      ck_assert_uint_eq (net_count (&net, AM_ACTION_PEER), 0);
    }
  net.nodes[0].board.self.boot_id++;
  ck_assert_int_eq (net_from_caller (&net, 0, &p), AM_E_ISSUER_GONE);
  ck_assert_int_eq (outcome_reason (), AM_E_ISSUER_GONE);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_STREAM), 0);
  net_finish (&net);
}
END_TEST

/* Guards against UNKNOWN for a request in progress at a live issuer that a
   restarted entry VM does not know yet, and against never answering.  */
START_TEST (test_unknown_issuer)
{
  uint8_t ticket[AM_TICKET_SIZE];
  struct am_packet p = request_with (ticket);

  net_init (&net, 3);
  config_init (&config, AMARANTH__BINDING__BINDING_TICKET, 1, 3);
  ck_assert_int_eq (net_apply (&net, 2, &config), AM_OK);
  config.snapshot.n_members = 2;
  ck_assert_int_eq (net_apply (&net, 0, &config), AM_OK);
  ck_assert_int_eq (net_open (&net, 2, 5, AM_OPEN_REQUEST), AM_OK);
  memcpy (ticket, net_to_caller (&net, AM_PACKET_OPENED).ticket,
          sizeof ticket);
  ck_assert_int_eq (net_from_caller (&net, 0, &p), AM_E_STATE);
  ck_assert_uint_eq (net.kept_count, 0);
  net_run (&net, AM_MEMBERS_CONVERGENCE_US);
  net.kept_count = 0;
  ck_assert_int_eq (net_from_caller (&net, 0, &p), AM_E_ISSUER_GONE);
  ck_assert_int_eq (outcome_reason (), AM_E_ISSUER_GONE);
  net_finish (&net);
}
END_TEST

/* Guards against tickets of one kind used as the other.  */
START_TEST (test_ticket_kinds_differ)
{
  uint8_t flow[AM_TICKET_SIZE];
  uint8_t request[AM_TICKET_SIZE];

  begin (1, 1);
  net_open_flow (&net, 0, 5, flow);
  issue (6, request);
  net_flow_packet (&net, 0, AM_PACKET_DATA, 6, request, 0);
  ck_assert_int_eq (net_reset_reason (&net), AM_E_TICKET);
  net_flow_packet (&net, 0, AM_PACKET_REQUEST, 5, flow, 0);
  ck_assert_int_eq (net_reset_reason (&net), AM_E_TICKET);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_STREAM), 0);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_UPSTREAM), 0);
  net_finish (&net);
}
END_TEST

RUN_TESTS ("ticket_binding", test_any_vm_routes, test_foreign_tickets,
           test_service_address_reused, test_upstream_states,
           test_stale_vm_forwards_to_issuer, test_restarted_vm_without_keys,
           test_one_hop_only, test_unresponsive_flow,
           test_close_reaches_issuer, test_count_follows_restart, test_replies,
           test_request_issuer, test_unknown_issuer, test_ticket_kinds_differ,
           test_counted_once)
