#include "core_fixture.h"

#include "core/placement/open_rate.h"
#include "core/placement/flow_setup.h"

static struct net net;
static struct config config;

static void
begin (size_t nodes, size_t upstreams)
{
  net_begin (&net, &config, nodes, AMARANTH__BINDING__BINDING_TICKET,
             upstreams);
}

/* Removes the oldest packet to an upstream, which must be an OPEN, and returns
   its address.  */
static struct am_address
take_open (void)
{
  struct kept_action *k = net_take (&net, AM_ACTION_UPSTREAM);

  ck_assert_ptr_nonnull (k);
  ck_assert_uint_eq (kept_packet (k).type, AM_PACKET_OPEN);
  return k->a.to;
}

static struct am_upstream *
upstream_at (struct am_address at)
{
  return am_service_upstream_at (am_board_service (&net.nodes[0].board, 77),
                                 at);
}

/* Guards against a flow that is refused because one upstream refuses it, and
   against a count of pending flow setups that is not decremented.  */
START_TEST (test_refusal_tries_another)
{
  struct am_address first;
  struct am_address second;

  begin (1, 2);
  net_open (&net, 0, 5, AM_OPEN_FLOW);
  first = take_open ();
  net_answer (&net, 0, first, AM_PACKET_RESET, 5, AM_E_SHED);
  second = take_open ();
  ck_assert (!am_address_equal (first, second));
  ck_assert_uint_eq (upstream_at (first)->use.opening, 0);
  ck_assert_uint_eq (upstream_at (second)->use.opening, 1);
  net_answer (&net, 0, second, AM_PACKET_OPENED, 5, 0);
  net_to_caller (&net, AM_PACKET_OPENED);
  ck_assert_uint_eq (upstream_at (second)->use.opening, 0);
  ck_assert_uint_eq (upstream_at (second)->use.flows, 1);
  net_finish (&net);
}
END_TEST

/* Guards against an OPEN that is never answered when upstreams are
   unresponsive, and against a late acceptance that leaves an unused flow open
   at an upstream.  */
START_TEST (test_unresponsive_upstreams)
{
  struct am_address first;
  size_t attempts = 1;

  begin (1, 4);
  net_open (&net, 0, 5, AM_OPEN_FLOW);
  first = take_open ();
  net_run (&net, AM_OPEN_ATTEMPT_TIMEOUT_US);
  take_open ();
  net_answer (&net, 0, first, AM_PACKET_OPENED, 5, 0);
  ck_assert_uint_eq (kept_packet (net_take (&net, AM_ACTION_UPSTREAM)).type,
                     AM_PACKET_CLOSE);
  net_run (&net, AM_OPEN_ATTEMPTS_MAX * AM_OPEN_ATTEMPT_TIMEOUT_US);
  while (net_take (&net, AM_ACTION_UPSTREAM))
    attempts++;
  ck_assert_uint_ge (attempts, 2);
  net_to_caller (&net, AM_PACKET_RESET);
  ck_assert_uint_eq (am_flow_setup_pending (&net.nodes[0].board), 0);
  net_finish (&net);
}
END_TEST

/* Guards against two flows for an OPEN that was retransmitted or duplicated.
 */
START_TEST (test_duplicate_open)
{
  struct am_address at;
  uint8_t ticket[AM_TICKET_SIZE];

  begin (1, 2);
  net_open (&net, 0, 5, AM_OPEN_FLOW);
  net_open (&net, 0, 5, AM_OPEN_FLOW);
  at = take_open ();
  ck_assert_uint_eq (net_count (&net, AM_ACTION_UPSTREAM), 0);
  net_answer (&net, 0, at, AM_PACKET_OPENED, 5, 0);
  memcpy (ticket, net_to_caller (&net, AM_PACKET_OPENED).ticket,
          sizeof ticket);
  net_answer (&net, 0, at, AM_PACKET_OPENED, 5, 0);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_CALLER), 0);
  net_open (&net, 0, 5, AM_OPEN_FLOW);
  ck_assert_mem_eq (net_to_caller (&net, AM_PACKET_OPENED).ticket, ticket,
                    sizeof ticket);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_UPSTREAM), 0);
  ck_assert_uint_eq (net.nodes[0].board.counters.opens, 1);
  net_finish (&net);
}
END_TEST

/* Guards against a single caller that uses the whole capacity for flow setup,
   and against a token bucket that is never refilled.  */
START_TEST (test_rate_per_caller)
{
  unsigned refused = 0;

  net_init (&net, 1);
  config_init (&config, AMARANTH__BINDING__BINDING_TICKET, 1, 1);
  config.service.open_rate = 10;
  net_apply_all (&net, &config);
  for (uint64_t id = 1; id <= 30; id++)
    {
      if (net_open (&net, 0, id, AM_OPEN_FLOW) == AM_E_RATE)
        refused++;
      net.kept_count = 0;
    }
  ck_assert_uint_eq (refused, 10);
  ck_assert_uint_eq (net.nodes[0].board.counters.opens_limited, 10);
  net.now_us += SECOND;
  refused = 0;
  for (uint64_t id = 101; id <= 130; id++)
    {
      if (net_open (&net, 0, id, AM_OPEN_FLOW) == AM_E_RATE)
        refused++;
      net.kept_count = 0;
    }
  ck_assert_uint_eq (refused, 20);
  ck_assert_uint_eq (net.nodes[0].board.counters.opens_limited, 30);
  net_finish (&net);
}
END_TEST

/* Guards against OPEN packets that escape the rate limit because they arrive
   at an entry VM outside the home set, as 99 of 100 do with 730 entry VMs.  */
START_TEST (test_rate_of_forwarded_opens)
{
  unsigned refused = 0;

  net_init (&net, 2);
  config_init (&config, AMARANTH__BINDING__BINDING_TICKET, 1, 2);
  config.member[1].region = "other";
  config.service.open_rate = 10;
  net_apply_all (&net, &config);
  for (uint64_t id = 1; id <= 30; id++)
    {
      net_open (&net, 1, id, AM_OPEN_FLOW);
      net_pump (&net);
      if (net_count (&net, AM_ACTION_CALLER))
        refused += net_reset_reason (&net) == AM_E_RATE;
      net.kept_count = 0;
    }
  ck_assert_uint_eq (refused, 10);
  net_finish (&net);
}
END_TEST

/* Guards against a table of token buckets that grows without limit.  */
START_TEST (test_callers_are_bounded)
{
  struct am_service *s;

  begin (1, 1);
  s = am_board_service (&net.nodes[0].board, 77);
  for (uint32_t i = 0; i < AM_OPEN_CALLERS_MAX + 100; i++)
    {
      struct am_address caller = { i, 1 };

      ck_assert_int_eq (am_flow_setup_admit (&net.nodes[0].board, s, caller),
                        AM_OK);
    }
  net_finish (&net);
}
END_TEST

/* Guards against a flow whose ticket cannot be issued: without an active key
   no flow may stay open at an upstream.  */
START_TEST (test_no_active_key)
{
  begin (1, 1);
  config.key[0].state = AMARANTH__KEY_STATE__KEY_VERIFY;
  net_apply_all (&net, &config);
  net_open (&net, 0, 5, AM_OPEN_FLOW);
  net_answer (&net, 0, take_open (), AM_PACKET_OPENED, 5, 0);
  ck_assert_uint_eq (kept_packet (net_take (&net, AM_ACTION_UPSTREAM)).type,
                     AM_PACKET_CLOSE);
  ck_assert_int_eq (net_reset_reason (&net), AM_E_KEY_UNKNOWN);
  net_finish (&net);
}
END_TEST

/* Guards against an OPEN that is forwarded endlessly or served outside the
   home set: an entry VM of another region forwards it to a home VM, which
   serves it.  */
START_TEST (test_outside_home_set)
{
  struct kept_action *k;

  net_init (&net, 2);
  config_init (&config, AMARANTH__BINDING__BINDING_TICKET, 1, 2);
  config.member[1].region = "other";
  net_apply_all (&net, &config);
  net_open (&net, 1, 5, AM_OPEN_FLOW);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_UPSTREAM), 0);
  ck_assert_uint_eq (net_pump (&net), 1);
  k = net_take (&net, AM_ACTION_UPSTREAM);
  ck_assert_ptr_nonnull (k);
  ck_assert_uint_eq (k->node, 0);
  net_finish (&net);
}
END_TEST

/* Guards against a forwarding loop between two entry VMs with different views
   of the home set: an OPEN from the peer port is not forwarded again, but sent
   to an upstream or refused (the receiver may have no quota).  */
START_TEST (test_one_hop)
{
  net_init (&net, 2);
  for (size_t i = 0; i < 2; i++)
    {
      config_init (&config, AMARANTH__BINDING__BINDING_TICKET, 1, 2);
      config.member[i].region = "other";
      ck_assert_int_eq (net_apply (&net, i, &config), AM_OK);
    }
  net_open (&net, 0, 5, AM_OPEN_FLOW);
  ck_assert_uint_eq (net_pump (&net), 1);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_PEER), 0);
  ck_assert_uint_eq (net.kept_count, 1);
  ck_assert_uint_eq (net.kept[0].node, 1);
  if (net.kept[0].a.type == AM_ACTION_CALLER)
    net_reset_reason (&net);
  net_finish (&net);
}
END_TEST

/* Guards against use after free, and against a caller without a reply, when
   the upstream to which an OPEN was sent is removed.  */
START_TEST (test_upstream_removed)
{
  begin (1, 1);
  net_open (&net, 0, 5, AM_OPEN_FLOW);
  take_open ();
  config.service.n_upstreams = 0;
  config.service.revision = 2;
  net_apply_all (&net, &config);
  ck_assert_int_eq (net_reset_reason (&net), AM_E_UPSTREAM_UNKNOWN);
  net_run (&net, AM_OPEN_ATTEMPT_TIMEOUT_US * 2);
  ck_assert_uint_eq (am_flow_setup_pending (&net.nodes[0].board), 0);
  net_finish (&net);
}
END_TEST

RUN_TESTS ("flow_setup", test_refusal_tries_another,
           test_unresponsive_upstreams, test_duplicate_open,
           test_rate_per_caller, test_rate_of_forwarded_opens,
           test_callers_are_bounded, test_no_active_key, test_outside_home_set,
           test_one_hop, test_upstream_removed)
