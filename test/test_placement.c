/* Target selection for new flows.  */

#include "flow/liveness.h"
#include "flow/placement.h"
#include "flow_fixture.h"
#include "suite.h"

static struct flow_fixture f;
static struct am_rng rng;

static void
begin (void)
{
  flow_begin (&f);
  am_rng_init (&rng, 1);
}

static void
end (void)
{
  flow_end (&f);
}

static struct am_target *
choose (void)
{
  struct am_placement p = {
    .rng = &rng, .service = ORDERS, .data_centre = NEAR, .now_us = f.now_us
  };

  return am_placement_choose (&f.targets, &p);
}

/* Guards against flows between data centres without need: a network partition
   breaks all of them.  */
START_TEST (test_own_data_centre_goes_first)
{
  struct am_target *local = add_target (&f, 1, NEAR);
  struct am_target *remote = add_target (&f, 2, FAR);

  local->load.busy = 3;
  ck_assert_ptr_eq (choose (), local);
  local->load.busy = 8;
  ck_assert_ptr_eq (choose (), remote);
}
END_TEST

/* Chooses a target for each of COUNT flows while peers have opened UNREPORTED
   ones since their reports.  Returns the number placed far away.  */
static unsigned
count_remote (unsigned count, double unreported)
{
  struct am_placement p = { .rng = &rng,
                            .service = ORDERS,
                            .data_centre = NEAR,
                            .unreported_flows = unreported,
                            .now_us = f.now_us };
  unsigned remote = 0;

  while (count--)
    remote += am_placement_choose (&f.targets, &p)->spec.data_centre == FAR;
  return remote;
}

/* Guards against flows that leave an idle data centre, because peers have
   opened many short ones since their reports: nearly all of them have ended.
 */
START_TEST (test_ended_flows_send_none_away)
{
  for (uint64_t id = 1; id <= 8; id++)
    add_target (&f, id, id % 2 ? NEAR : FAR);
  am_target_by_id (&f.targets, 1)->peers_load.busy = 1;
  ck_assert_uint_eq (count_remote (200, 100), 0);
}
END_TEST

/* Guards against a data centre that keeps all flows while it is overloaded,
   because one of its targets has just started and is idle.  */
START_TEST (test_overload_sends_flows_away)
{
  for (uint64_t id = 1; id <= 8; id++)
    add_target (&f, id, id % 2 ? NEAR : FAR);
  for (uint64_t id = 3; id <= 7; id += 2)
    am_target_by_id (&f.targets, id)->peers_load.busy = 20;
  ck_assert_uint_ge (count_remote (200, 100), 100);
}
END_TEST

/* Guards against flows that accumulate on one target: 200 flows on five
   targets, each flow with only an occasional request.  */
START_TEST (test_open_flows_are_spread)
{
  struct am_target *t[5];

  for (uint64_t id = 0; id < 5; id++)
    t[id] = add_target (&f, id + 1, NEAR);
  for (int i = 0; i < 200; i++)
    choose ()->load.open_flows++;
  for (int i = 0; i < 5; i++)
    {
      ck_assert_uint_ge (t[i]->load.open_flows, 39);
      ck_assert_uint_le (t[i]->load.open_flows, 41);
    }
}
END_TEST

/* Guards against a burst that goes to one target because requests in progress,
   of this VM or of its peers, are not counted.  */
START_TEST (test_busy_targets_are_passed_over)
{
  struct am_target *a = add_target (&f, 1, NEAR);
  struct am_target *b = add_target (&f, 2, NEAR);

  a->load.busy = 1;
  ck_assert_ptr_eq (choose (), b);
  b->peers_load.busy = 2;
  ck_assert_ptr_eq (choose (), a);
  a->load.opening = 2;
  ck_assert_ptr_eq (choose (), b);
}
END_TEST

/* Guards against a full share of flows for a target that is warming up and
   still slow.  */
START_TEST (test_warming_up_target_gets_less)
{
  struct am_target_spec s = target_spec (1, NEAR);
  unsigned warming_flows = 0;
  struct am_target *warming;

  s.warm_up_ms = 2000;
  am_target_table_put (&f.targets, &s, f.now_us, &warming);
  add_target (&f, 2, NEAR);
  for (int i = 0; i < 130; i++)
    {
      struct am_target *t = choose ();

      t->load.busy++;
      warming_flows += t == warming;
    }
  ck_assert_uint_ge (warming_flows, 45);
  ck_assert_uint_le (warming_flows, 55);
}
END_TEST

/* Guards against flows for targets that are draining, belong to another
   service or share a ticket.  */
START_TEST (test_which_targets_accept_flows)
{
  struct am_target_spec s = target_spec (1, NEAR);

  s.draining = true;
  am_target_table_put (&f.targets, &s, f.now_us, NULL);
  s = target_spec (2, NEAR);
  s.service = ARCHIVE;
  am_target_table_put (&f.targets, &s, f.now_us, NULL);
  add_target (&f, 3, NEAR)->ambiguous = true;
  ck_assert_ptr_null (choose ());
  add_target (&f, 4, FAR);
  ck_assert_uint_eq (choose ()->spec.id, 4);
}
END_TEST

/* Guards against a service without targets because all of them were briefly
   unresponsive.  */
START_TEST (test_unresponsive_target_is_the_last_resort)
{
  struct am_target *a = add_target (&f, 1, NEAR);

  am_liveness_data_unanswered (a, f.now_us, f.now_us);
  ck_assert_ptr_eq (choose (), a);
  add_target (&f, 2, FAR)->load.busy = 1000;
  ck_assert_uint_eq (choose ()->spec.id, 2);
}
END_TEST

/* Guards against retransmitted SYNs that wait because another data centre is
   busy, or that do not wait although this one is.  */
START_TEST (test_load_per_slot_is_that_of_the_data_centre)
{
  struct am_placement p = {
    .rng = &rng, .service = ORDERS, .data_centre = NEAR, .now_us = f.now_us
  };

  ck_assert_double_eq (am_placement_load_per_slot (&f.targets, &p), 0);
  add_target (&f, 1, FAR)->load.busy = 8;
  ck_assert_double_eq (am_placement_load_per_slot (&f.targets, &p), 4);
  add_target (&f, 2, NEAR)->load.busy = 1;
  ck_assert_double_eq (am_placement_load_per_slot (&f.targets, &p), 0.5);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("placement");
  TCase *tc = tcase_create ("placement");

  tcase_add_checked_fixture (tc, begin, end);
  tcase_add_test (tc, test_own_data_centre_goes_first);
  tcase_add_test (tc, test_ended_flows_send_none_away);
  tcase_add_test (tc, test_overload_sends_flows_away);
  tcase_add_test (tc, test_open_flows_are_spread);
  tcase_add_test (tc, test_busy_targets_are_passed_over);
  tcase_add_test (tc, test_warming_up_target_gets_less);
  tcase_add_test (tc, test_which_targets_accept_flows);
  tcase_add_test (tc, test_unresponsive_target_is_the_last_resort);
  tcase_add_test (tc, test_load_per_slot_is_that_of_the_data_centre);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
