#include "core_fixture.h"

#include "core/lifecycle.h"

static struct net net;
static struct config config;

static void
begin (void)
{
  net_begin (&net, &config, 2, AMARANTH__BINDING__BINDING_TICKET, 1);
}

static void
stop (void)
{
  struct am_event e = { .type = AM_EVENT_STOP };

  ck_assert_int_eq (net_event (&net, 0, &e), AM_OK);
}

/* Guards against a stop that cuts packets other members still pass here, and
   against a stop that is never or twice complete.  */
START_TEST (test_exit_once)
{
  begin ();
  net_run (&net, 5 * SECOND);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_EXIT), 0);
  stop ();
  net_run (&net, AM_STOP_MINIMUM_US - 2 * AM_TICK_US);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_EXIT), 0);
  stop ();
  net_run (&net, 5 * SECOND);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_EXIT), 1);
  net_finish (&net);
}
END_TEST

/* Guards against broken feeds during a planned stop: flows are routed as
   before, an OPEN goes to a home VM that stays.  */
START_TEST (test_serves_while_stopping)
{
  uint8_t ticket[AM_TICKET_SIZE];
  struct kept_action *k;

  begin ();
  net_open_flow (&net, 0, 5, ticket);
  stop ();
  ck_assert_int_eq (net_flow_packet (&net, 0, AM_PACKET_DATA, 5, ticket, 0),
                    AM_OK);
  k = net_take (&net, AM_ACTION_UPSTREAM);
  ck_assert_ptr_nonnull (k);
  net_open (&net, 0, 6, AM_OPEN_FLOW);
  ck_assert_uint_eq (net_pump (&net), 1);
  k = net_take (&net, AM_ACTION_UPSTREAM);
  ck_assert_ptr_nonnull (k);
  ck_assert_uint_eq (k->node, 1);
  net_finish (&net);
}
END_TEST

/* Guards against a caller left without an answer: an OPEN under way is
   finished before the exit, and the last entry VM refuses nothing it can
   serve.  */
START_TEST (test_finishes_opens)
{
  struct am_address at;

  begin ();
  config.member[1].state = AMARANTH__MEMBER_STATE__MEMBER_LEFT;
  net_apply_all (&net, &config);
  stop ();
  net_run (&net, AM_STOP_MINIMUM_US - 5 * AM_TICK_US);
  net_open (&net, 0, 6, AM_OPEN_FLOW);
  at = net_take (&net, AM_ACTION_UPSTREAM)->a.to;
  net_run (&net, 10 * AM_TICK_US);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_EXIT), 0);
  net_answer (&net, 0, at, AM_PACKET_OPENED, 6, 0);
  net_to_caller (&net, AM_PACKET_OPENED);
  net_run (&net, 5 * SECOND);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_EXIT), 1);
  net_finish (&net);
}
END_TEST

/* Guards against an agent that does not learn of the stop.  */
START_TEST (test_report_says_stopping)
{
  Amaranth__Report r = AMARANTH__REPORT__INIT;

  begin ();
  stop ();
  ck_assert_int_eq (am_dispatch_report (&net.nodes[0], &r), AM_OK);
  ck_assert_int_eq (r.life, AMARANTH__LIFE_STATE__LIFE_STOPPING);
  ck_assert_uint_eq (r.boot_id, 1000);
  ck_assert_uint_eq (r.n_upstreams, 1);
  ck_assert_uint_gt (r.n_metrics, 0);
  am_dispatch_report_free (&r);
  net_finish (&net);
}
END_TEST

RUN_TESTS ("lifecycle", test_exit_once, test_serves_while_stopping,
           test_finishes_opens, test_report_says_stopping)
