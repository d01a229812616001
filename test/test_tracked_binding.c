#include "core_fixture.h"

#include "core/binding/tracked.h"

static struct net net;
static struct config config;

#define FLOWS 64

static void
begin (size_t nodes, size_t upstreams)
{
  net_begin (&net, &config, nodes, AMARANTH__BINDING__BINDING_TRACKED,
             upstreams);
}

static struct am_address
caller (uint16_t i)
{
  struct am_address a = { 0x7f280600 + i, (uint16_t)(4000 + i) };

  return a;
}

/* Sends one packet of caller FROM through NODE.  Returns the address of the
   upstream that received it, with port 0 if none did.  */
static struct am_address
packet_of (size_t node, struct am_address from)
{
  struct am_address fabric = { 0x7f280801, 7900 };
  struct am_address none = { 0, 0 };
  struct kept_action *k;

  net_datagram (&net, node, AM_EVENT_CALLER, fabric, from, fixture_service,
                (const uint8_t *)"data", 4);
  net_pump (&net);
  k = net_take (&net, AM_ACTION_UPSTREAM);
  if (!k)
    return none;
  ck_assert_uint_eq (net_count (&net, AM_ACTION_UPSTREAM), 0);
  ck_assert_mem_eq (k->data + AM_PROXY_HEADER_SIZE, "data", 4);
  return k->a.to;
}

static struct am_address
packet (size_t node, uint16_t i)
{
  return packet_of (node, caller (i));
}

/* Returns another caller in the bucket of caller I.  */
static struct am_address
sibling (uint16_t i)
{
  const struct am_service *s = am_board_service (&net.nodes[0].board, 77);
  struct am_address a = { 0x7f290000, 4000 };

  while (am_tracked_bucket_of (s, a) != am_tracked_bucket_of (s, caller (i)))
    a.ip++;
  return a;
}

static struct am_tracked *
tracked (size_t node)
{
  return am_board_service (&net.nodes[node].board, 77)->binding_state;
}

static void
open_all (struct am_address *at)
{
  for (uint16_t i = 0; i < FLOWS; i++)
    {
      at[i] = packet (i % net.count, i);
      ck_assert_uint_eq (at[i].port, 9000);
    }
}

/* Checks that every flow reaches its upstream in AT through every node of the
   bit mask NODES.  */
static void
check_all (const struct am_address *at, unsigned nodes)
{
  for (size_t node = 0; node < net.count; node++)
    for (uint16_t i = 0; i < FLOWS && nodes >> node & 1; i++)
      for (int repeat = 0; repeat < 3; repeat++)
        ck_assert (am_address_equal (packet (node, i), at[i]));
}

/* Guards against a flow with two upstreams because entry VMs bind it
   independently, and against packets that go through the owner forever.  */
START_TEST (test_all_vms_agree)
{
  struct am_address at[FLOWS];
  uint64_t before;

  begin (3, 4);
  open_all (at);
  check_all (at, 7);
  before = net.nodes[0].board.counters.tracked_introduced;
  check_all (at, 1);
  ck_assert_uint_eq (net.nodes[0].board.counters.tracked_introduced, before);
  net_finish (&net);
}
END_TEST

/* Guards against a new flow with two upstreams while entry VMs have different
   configurations: the owner's binding must replace the default that the sender
   assumed.  */
START_TEST (test_configurations_differ)
{
  struct am_address at[FLOWS];
  struct am_address at_new;

  begin (3, 3);
  open_all (at);
  check_all (at, 7);
  for (uint16_t i = FLOWS; i < 2 * FLOWS; i++)
    for (size_t node = 0; node < 3; node++)
      packet_of (node, sibling (i));
  config.service.revision = 2;
  config.service.n_upstreams = 4;
  config.upstream[0].state = AMARANTH__UPSTREAM_STATE__UPSTREAM_LEAVING;
  ck_assert_int_eq (net_apply (&net, 0, &config), AM_OK);
  ck_assert_int_eq (net_apply (&net, 1, &config), AM_OK);
  for (uint16_t i = FLOWS; i < 2 * FLOWS; i++)
    {
      at_new = packet (2, i);
      for (int repeat = 0; repeat < 4; repeat++)
        for (size_t node = 0; node < 3; node++)
          ck_assert (am_address_equal (packet (node, i), at_new));
    }
  check_all (at, 7);
  net_finish (&net);
}
END_TEST

/* Guards against moved flows when the next owner's configuration is older than
   the flows' upstream: the sender's hint must not be replaced by a default. */
START_TEST (test_next_owner_is_stale)
{
  struct am_address at[FLOWS];
  struct config old;

  begin (3, 1);
  config_init (&old, AMARANTH__BINDING__BINDING_TRACKED, 1, 3);
  config.service.revision = 2;
  config.service.n_upstreams = 2;
  config.upstream[0].state = AMARANTH__UPSTREAM_STATE__UPSTREAM_LEAVING;
  ck_assert_int_eq (net_apply (&net, 0, &config), AM_OK);
  ck_assert_int_eq (net_apply (&net, 1, &config), AM_OK);
  for (uint16_t i = 0; i < FLOWS; i++)
    {
      at[i] = packet (0, i);
      ck_assert (am_address_equal (packet (1, i), at[i]));
    }
  config.member[0].state = AMARANTH__MEMBER_STATE__MEMBER_DEAD;
  old.member[0].state = AMARANTH__MEMBER_STATE__MEMBER_DEAD;
  ck_assert_int_eq (net_apply (&net, 1, &config), AM_OK);
  ck_assert_int_eq (net_apply (&net, 2, &old), AM_OK);
  check_all (at, 2);
  for (uint16_t i = 0; i < FLOWS; i++)
    {
      struct am_address got = packet (2, i);

      ck_assert (got.port == 0 || am_address_equal (got, at[i]));
    }
  ck_assert_int_eq (net_apply (&net, 2, &config), AM_OK);
  check_all (at, 6);
  net_finish (&net);
}
END_TEST

/* Guards against moved flows when the owner's corrections are lost: in a
   changed bucket every packet must go through the owner.  */
START_TEST (test_lost_corrections)
{
  struct am_address at[FLOWS];

  begin (3, 3);
  for (uint16_t i = 0; i < FLOWS; i++)
    at[i] = packet (i % 2, i);
  net_drain_first (&net, &config);
  net.unreachable = 1u << 2;
  for (uint16_t i = 0; i < FLOWS; i++)
    for (int repeat = 0; repeat < 4; repeat++)
      {
        struct am_address got = packet (2, i);

        ck_assert (got.port == 0 || am_address_equal (got, at[i]));
      }
  net_finish (&net);
}
END_TEST

/* Guards against moved flows when an upstream joins or leaves: open flows keep
   their upstream through every entry VM, whether or not it has applied the
   change yet.  */
START_TEST (test_upstreams_change)
{
  struct am_address at[FLOWS];

  begin (3, 3);
  open_all (at);
  check_all (at, 7);
  config.service.revision = 2;
  config.service.n_upstreams = 4;
  config.upstream[0].state = AMARANTH__UPSTREAM_STATE__UPSTREAM_LEAVING;
  ck_assert_int_eq (net_apply (&net, 1, &config), AM_OK);
  check_all (at, 7);
  net_apply_all (&net, &config);
  check_all (at, 7);
  for (uint16_t i = FLOWS; i < 2 * FLOWS; i++)
    ck_assert_uint_ne (packet (i % 3, i).ip, config.upstream[0].ip);
  net_finish (&net);
}
END_TEST

/* Guards against flows that break at a planned stop: the stopping owner must
   copy its flows to the next owner before it may exit.  */
START_TEST (test_planned_stop)
{
  struct am_event stop = { .type = AM_EVENT_STOP };
  struct am_address at[FLOWS];

  begin (3, 3);
  open_all (at);
  net_drain_first (&net, &config);
  net_event (&net, 0, &stop);
  net_travel (&net, &config, SECOND);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_EXIT), 0);
  config.member[0].state = AMARANTH__MEMBER_STATE__MEMBER_LEAVING;
  net_apply_all (&net, &config);
  check_all (at, 7);
  net_travel (&net, &config, 3 * SECOND);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_EXIT), 1);
  config.member[0].state = AMARANTH__MEMBER_STATE__MEMBER_LEFT;
  net_apply_all (&net, &config);
  check_all (at, 6);
  net_finish (&net);
}
END_TEST

/* Guards against moved flows when an owner fails: the backup must have the
   exceptions by then.  All packets were received by the owner that fails, so
   no other entry VM has a hint.  */
START_TEST (test_owner_fails)
{
  struct am_address at[FLOWS];

  begin (3, 3);
  for (uint16_t i = 0; i < FLOWS; i++)
    at[i] = packet (0, i);
  net_drain_first (&net, &config);
  net_travel (&net, &config, 40 * SECOND);
  for (size_t node = 1; node < 3; node++)
    ck_assert (am_tracked_copy_done (tracked (node)));
  config.member[0].state = AMARANTH__MEMBER_STATE__MEMBER_DEAD;
  net_apply_all (&net, &config);
  check_all (at, 6);
  net_finish (&net);
}
END_TEST

/* Restarts node 0 with another boot id and without state.  */
static void
restart_owner (void)
{
  struct am_dispatch_options o
      = { .self = { .id = 1, .name = "vm", .region = "r", .boot_id = 2000 },
          .peer_key = fixture_peer_key,
          .sink = { keep, &net } };

  am_dispatch_finish (&net.nodes[0]);
  ck_assert_int_eq (am_dispatch_init (&net.nodes[0], &o), AM_OK);
}

/* Guards against moved flows when an owner restarts without its table: hints
   of the other entry VMs must restore the bindings.  */
START_TEST (test_owner_restarts)
{
  struct am_address at[FLOWS];

  begin (3, 3);
  for (uint16_t i = 0; i < FLOWS; i++)
    at[i] = packet (1, i);
  check_all (at, 6);
  restart_owner ();
  net_drain_first (&net, &config);
  check_all (at, 6);
  check_all (at, 1);
  net_finish (&net);
}
END_TEST

/* Guards against moved flows when an owner restarts and only its backup has
   copies of the exceptions: the backup must send them back.  */
START_TEST (test_copies_restore_owner)
{
  struct am_address at[FLOWS];

  begin (3, 3);
  for (uint16_t i = 0; i < FLOWS; i++)
    at[i] = packet (0, i);
  net_drain_first (&net, &config);
  net_travel (&net, &config, 40 * SECOND);
  restart_owner ();
  config.member[0].boot_id = 2000;
  net_apply_all (&net, &config);
  net_travel (&net, &config, AM_TRACKED_OWNER_QUERY_US + 5 * SECOND);
  check_all (at, 1);
  check_all (at, 7);
  net_finish (&net);
}
END_TEST

/* Guards against moved flows when an entry VM joins and becomes the owner of
   flows that it does not know: it must query the former owner.  */
START_TEST (test_owner_joins)
{
  struct am_address at[FLOWS];

  net_init (&net, 3);
  config_init (&config, AMARANTH__BINDING__BINDING_TRACKED, 3, 2);
  net_apply_all (&net, &config);
  for (uint16_t i = 0; i < FLOWS; i++)
    at[i] = packet (i % 2, i);
  config.service.revision = 2;
  config.service.n_upstreams = 4;
  config.snapshot.n_members = 3;
  net_apply_all (&net, &config);
  check_all (at, 4);
  check_all (at, 7);
  net_finish (&net);
}
END_TEST

/* Guards against copies above the limit for control traffic.  */
START_TEST (test_copies_are_rate_limited)
{
  size_t bytes = 0;
  struct kept_action *k;

  begin (2, 2);
  for (uint16_t i = 0; i < 200; i++)
    packet (0, i);
  net_drain_first (&net, &config);
  net.kept_count = 0;
  for (int i = 0; i < 10; i++)
    {
      net_run (&net, 100 * MS);
      while ((k = net_take (&net, AM_ACTION_PEER)) != NULL)
        {
          struct am_event e = { .type = AM_EVENT_PEER, .len = k->a.len };
          struct kept_action copy = *k;

          e.data = copy.data;
          if (copy.node == 0)
            bytes += copy.a.len;
          net_event (&net, (copy.a.to.ip & 0xff) - 1, &e);
        }
    }
  ck_assert_uint_gt (bytes, 0);
  ck_assert_uint_le (bytes, 6 * 1024);
  net_finish (&net);
}
END_TEST

/* Guards against a lost copy that is treated as delivered.  */
START_TEST (test_copy_is_retransmitted)
{
  size_t sent = 0;

  begin (2, 1);
  for (uint16_t i = 0; i < 20; i++)
    packet (0, i);
  config.service.revision = 2;
  config.service.n_upstreams = 2;
  config.upstream[0].state = AMARANTH__UPSTREAM_STATE__UPSTREAM_LEAVING;
  net_apply_all (&net, &config);
  net.kept_count = 0;
  for (int i = 0; i < 10; i++)
    {
      net_run (&net, 100 * MS);
      sent += net_count (&net, AM_ACTION_PEER);
      net.kept_count = 0;
    }
  ck_assert_uint_ge (sent, 2);
  ck_assert (!am_tracked_copy_done (tracked (0))
             || !am_tracked_copy_done (tracked (1)));
  net_travel (&net, &config, SECOND);
  ck_assert (am_tracked_copy_done (tracked (0)));
  ck_assert (am_tracked_copy_done (tracked (1)));
  net_finish (&net);
}
END_TEST

/* Guards against a flow table that grows without limit.  */
START_TEST (test_idle_flows_expire)
{
  struct am_address at[FLOWS];

  begin (1, 2);
  open_all (at);
  ck_assert_uint_eq (HASH_COUNT (tracked (0)->flows), FLOWS);
  net.now_us += AM_TRACKED_IDLE_US - SECOND;
  packet (0, 3);
  net_travel (&net, &config, 2 * SECOND);
  ck_assert_uint_eq (HASH_COUNT (tracked (0)->flows), 1);
  net_finish (&net);
}
END_TEST

/* Guards against an unresponsive flow that is not reported and against a
   healthy flow that is.  */
START_TEST (test_unresponsive_is_reported)
{
  struct am_address at;

  begin (1, 1);
  for (int i = 0; i < 12; i++)
    {
      packet (0, 1);
      at = packet (0, 2);
      net_datagram (&net, 0, AM_EVENT_UPSTREAM, at, fixture_service,
                    caller (2), (const uint8_t *)"back", 4);
      net.kept_count = 0;
      net_travel (&net, &config, 600 * MS);
    }
  ck_assert_uint_eq (net.nodes[0].board.counters.silent, 1);
  net_finish (&net);
}
END_TEST

/* Guards against a crash on truncated peer messages.  */
START_TEST (test_short_messages)
{
  uint8_t body[32] = { 0 };
  uint8_t buf[128];
  struct am_peer_header h
      = { .type = AM_PEER_BINDING, .sender_id = 2, .service_id = 77 };

  begin (2, 1);
  for (uint8_t kind = 0; kind < 8; kind++)
    for (size_t len = 0; len < 19; len++)
      {
        struct am_event e = { .type = AM_EVENT_PEER, .data = buf };

        body[0] = kind;
        if (kind == AM_TRACKED_BIND && len == 15)
          continue;
        if ((kind == AM_TRACKED_COPY || kind == AM_TRACKED_HINTS) && len == 5)
          continue;
        if (kind == AM_TRACKED_COPY_ACK && len == 5)
          continue;
        ck_assert_int_eq (am_peer_encode (&h, fixture_peer_key, body, len, buf,
                                          sizeof buf, &e.len),
                          AM_OK);
        ck_assert_int_lt (net_event (&net, 0, &e), 0);
      }
  net_finish (&net);
}
END_TEST

RUN_TESTS ("tracked_binding", test_all_vms_agree, test_upstreams_change,
           test_configurations_differ, test_next_owner_is_stale,
           test_lost_corrections, test_planned_stop, test_owner_fails,
           test_owner_restarts, test_copies_restore_owner, test_owner_joins,
           test_copies_are_rate_limited, test_copy_is_retransmitted,
           test_idle_flows_expire, test_unresponsive_is_reported,
           test_short_messages)
