/* Recently seen flows and their share of the load of targets.  */

#include "flow_fixture.h"
#include "suite.h"

static struct flow_fixture f;
static struct am_target *t;

static void
begin (void)
{
  flow_begin (&f);
  set_routes (&f, 1, 1);
  t = add_target (&f, 1, NEAR);
}

static void
end (void)
{
  flow_end (&f);
}

static void
expect_load (uint32_t opening, uint32_t open_flows, uint32_t busy)
{
  ck_assert_uint_eq (t->load.opening, opening);
  ck_assert_uint_eq (t->load.open_flows, open_flows);
  ck_assert_uint_eq (t->load.busy, busy);
}

/* Guards against load that remains after a flow has ended: 50 open flows were
   counted where there were 20.  */
START_TEST (test_load_follows_the_flow)
{
  send_packet (&f, syn (1, 0));
  expect_load (1, 0, 0);
  send_packet (&f, data (1, t->ticket, 1001, 0, 1));
  expect_load (0, 1, 0);
  send_packet (&f, data (1, t->ticket, 1001, 100, 1));
  expect_load (0, 1, 1);
  send_packet (&f, data (1, t->ticket, 1101, 0, 2001));
  expect_load (0, 1, 0);
  {
    struct am_packet p = data (1, t->ticket, 1101, 0, 2001);

    p.finishes = true;
    send_packet (&f, p);
  }
  expect_load (0, 0, 0);
}
END_TEST

/* Guards against a request that is counted twice when it is retransmitted or
   when packets arrive out of order.  */
START_TEST (test_request_counts_once)
{
  open_flow_at (&f, 1);
  send_packet (&f, data (1, t->ticket, 1101, 100, 1));
  send_packet (&f, data (1, t->ticket, 1001, 100, 1));
  f.now_us += 200 * MS;
  send_packet (&f, data (1, t->ticket, 1001, 100, 1));
  expect_load (0, 1, 1);
}
END_TEST

/* Guards against load of callers that disappeared without a FIN or RST.  */
START_TEST (test_idle_flow_is_no_load)
{
  open_flow_at (&f, 1);
  f.now_us += AM_PATH_FLOW_IDLE_US - 1;
  open_flow_at (&f, 2);
  am_path_expire (&f.path, f.now_us);
  expect_load (0, 2, 0);
  f.now_us += 1;
  am_path_expire (&f.path, f.now_us);
  expect_load (0, 1, 0);
}
END_TEST

/* Guards against memory use that grows with the number of callers, and against
   load of evicted flows.  */
START_TEST (test_table_is_bounded)
{
  /* Room for the requests of all flows.  */
  t->spec.slots = AM_FLOW_MAX;
  for (uint32_t i = 0; i < AM_FLOW_MAX + 10; i++)
    {
      struct am_packet p = syn ((uint16_t)(i + 1), 0);

      p.caller.ip += i >> 16;
      send_packet (&f, p);
    }
  ck_assert_uint_eq (f.path.flows.count, AM_FLOW_MAX);
  ck_assert_uint_eq (t->load.opening, AM_FLOW_MAX);
}
END_TEST

/* Guards against a flow that refers to a freed target.  */
START_TEST (test_detached_target)
{
  open_flow_at (&f, 1);
  am_flow_table_detach_target (&f.path.flows, t);
  f.now_us += AM_PATH_FLOW_IDLE_US;
  am_path_expire (&f.path, f.now_us);
  expect_load (0, 1, 0);
  ck_assert_uint_eq (f.path.flows.count, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("flow_table");
  TCase *tc = tcase_create ("flow_table");

  tcase_add_checked_fixture (tc, begin, end);
  tcase_add_test (tc, test_load_follows_the_flow);
  tcase_add_test (tc, test_request_counts_once);
  tcase_add_test (tc, test_idle_flow_is_no_load);
  tcase_add_test (tc, test_table_is_bounded);
  tcase_add_test (tc, test_detached_target);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
