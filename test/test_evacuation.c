/* Evacuated data centres: the orders, and what becomes of flows.  */

#include "entry_fixture.h"
#include "flow/placement.h"
#include "flow_fixture.h"
#include "suite.h"

#define TARGETS 6

static struct flow_fixture f;
static struct am_evacuations orders;

static void
begin (void)
{
  flow_begin (&f);
  set_routes (&f, 1, 1);
  am_evacuations_init (&orders);
  f.path.evacuations = &orders;
}

static void
end (void)
{
  am_evacuations_finish (&orders);
  flow_end (&f);
}

static void
evacuate (uint32_t data_centre)
{
  ck_assert_int_eq (am_evacuations_begin (&orders, data_centre, f.now_us),
                    AM_OK);
}

static void
expect (struct am_decision d, enum am_packet_verdict v, enum am_reason r)
{
  ck_assert_str_eq (am_reason_name (d.reason), am_reason_name (r));
  ck_assert_int_eq (d.verdict, v);
}

/* Guards against an order that is counted twice because two sources deliver
   it, and so does not end.  */
START_TEST (test_repeated_order_ends_once)
{
  evacuate (NEAR);
  f.now_us += 5 * MS;
  evacuate (NEAR);
  ck_assert_uint_eq (orders.count, 1);
  ck_assert (am_evacuations_apply (&orders, NEAR));
  ck_assert (!am_evacuations_apply (&orders, FAR));
  ck_assert_uint_eq (am_evacuations_end (&orders, NEAR, f.now_us), 5 * MS);
  ck_assert (!am_evacuations_apply (&orders, NEAR));
  ck_assert_uint_eq (am_evacuations_end (&orders, NEAR, f.now_us), 0);
}
END_TEST

/* Guards against flows to an evacuated data centre under load: its targets are
   idle, and those elsewhere are far beyond their slots.  */
START_TEST (test_no_flow_goes_to_an_evacuated_data_centre)
{
  for (uint64_t id = 1; id <= TARGETS; id++)
    add_target (&f, id, id % 2 ? NEAR : FAR)->peers_load.busy
        = id % 2 ? 0 : 100;
  evacuate (NEAR);
  for (uint16_t port = 1; port <= 200; port++)
    {
      struct am_decision d = send_packet (&f, syn (port, 0));
      struct am_packet p;

      expect (d, AM_VERDICT_FORWARD, AM_REASON_PLACED_ELSEWHERE);
      ck_assert_uint_eq (d.target->spec.data_centre, FAR);
      p = data (port, d.target->ticket, 1001, 0, 1);
      p.finishes = true;
      send_packet (&f, p);
    }
  am_evacuations_end (&orders, NEAR, f.now_us);
  ck_assert_uint_eq (send_packet (&f, syn (300, 0)).target->spec.data_centre,
                     NEAR);
}
END_TEST

/* Guards against an order that breaks the open flows of the data centre.  */
START_TEST (test_open_flows_go_on)
{
  struct am_target *t = add_target (&f, 1, NEAR);

  open_flow_at (&f, 1);
  evacuate (NEAR);
  expect (send_packet (&f, data (1, t->ticket, 1001, 100, 1)),
          AM_VERDICT_FORWARD, AM_REASON_TICKET);
}
END_TEST

/* Guards against a SYN that was forwarded before the order and is forwarded
   again after it: the target would take a new flow.  */
START_TEST (test_retransmitted_syn_is_reset)
{
  add_target (&f, 1, NEAR);
  send_packet (&f, syn (1, 0));
  evacuate (NEAR);
  f.now_us += 10 * MS;
  expect (send_packet (&f, syn (1, 0)), AM_VERDICT_RESET, AM_REASON_EVACUATED);
  f.now_us += 200 * MS;
  expect (send_packet (&f, syn (1, 1)), AM_VERDICT_RESET,
          AM_REASON_SYN_UNANSWERED);
}
END_TEST

/* Guards against a SYN that waits during the order and then goes to a target
   of the evacuated data centre, which alone has free slots.  */
START_TEST (test_queued_syn_goes_elsewhere)
{
  struct am_target *t = add_target (&f, 1, NEAR);
  struct am_queued_syn w;
  struct am_decision d;

  t->load.busy = t->load.recent = 10;
  send_packet (&f, syn (1, 0));
  f.now_us += 200 * MS;
  expect (send_packet (&f, syn (1, 1)), AM_VERDICT_WAIT, AM_REASON_BUSY);
  add_target (&f, 2, FAR);
  evacuate (NEAR);
  ck_assert (am_path_dequeue (&f.path, &w, &d, f.now_us));
  ck_assert_int_eq (d.verdict, AM_VERDICT_FORWARD);
  ck_assert_uint_eq (d.target->spec.id, 2);
}
END_TEST

/* Guards against callers that wait in vain, or are served against the order,
   while all data centres are evacuated.  */
START_TEST (test_all_evacuated_is_reset_at_once)
{
  add_target (&f, 1, NEAR);
  add_target (&f, 2, FAR);
  evacuate (NEAR);
  evacuate (FAR);
  expect (send_packet (&f, syn (1, 0)), AM_VERDICT_RESET, AM_REASON_EVACUATED);
}
END_TEST

/* Guards against an order that this VM does not learn, or does not forget:
   from a change, and from a listing that no longer has it after the history
   was lost.  The value of an order may be anything.  */
START_TEST (test_orders_of_the_replica)
{
  static const char key[] = "op/evacuate/here";
  static const uint8_t foreign[] = { 0xff, 0x00, '{' };
  struct am_entry *e = entry_new ();
  uint32_t here = am_hash_name ("here");

  am_replica_write (&e->replica, key, strlen (key), foreign, sizeof foreign,
                    5);
  ck_assert (am_evacuations_apply (&e->evacuations, here));
  am_replica_remove (&e->replica, key, strlen (key), 6);
  ck_assert (!am_evacuations_apply (&e->evacuations, here));
  am_replica_write (&e->replica, key, strlen (key), foreign, 0, 7);
  ck_assert (am_evacuations_apply (&e->evacuations, here));
  am_replica_list_begin (&e->replica);
  am_replica_list_end (&e->replica, 9);
  ck_assert (!am_evacuations_apply (&e->evacuations, here));
  entry_free (e);
}
END_TEST

/* Guards against orders that name nothing: a key without a name, and one that
   only begins alike.  */
START_TEST (test_keys_that_are_no_order)
{
  struct am_entry *e = entry_new ();

  am_replica_write (&e->replica, "op/evacuate/", 12, NULL, 0, 5);
  am_replica_write (&e->replica, "op/evacuated/here", 17, NULL, 0, 6);
  ck_assert_uint_eq (e->evacuations.count, 0);
  entry_free (e);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("evacuation");
  TCase *tc = tcase_create ("evacuation");

  tcase_add_checked_fixture (tc, begin, end);
  tcase_add_test (tc, test_repeated_order_ends_once);
  tcase_add_test (tc, test_no_flow_goes_to_an_evacuated_data_centre);
  tcase_add_test (tc, test_open_flows_go_on);
  tcase_add_test (tc, test_retransmitted_syn_is_reset);
  tcase_add_test (tc, test_queued_syn_goes_elsewhere);
  tcase_add_test (tc, test_all_evacuated_is_reset_at_once);
  tcase_add_test (tc, test_orders_of_the_replica);
  tcase_add_test (tc, test_keys_that_are_no_order);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
