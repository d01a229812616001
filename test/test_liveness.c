/* Detection of unresponsive and failed targets from the packets of their
   flows.  */

#include "flow/liveness.h"
#include "flow_fixture.h"
#include "suite.h"

static struct flow_fixture f;
static struct am_target *t;

static void
begin (void)
{
  flow_begin (&f);
  f.targets.data_centre = NEAR;
  t = add_target (&f, 1, NEAR);
}

static void
end (void)
{
  flow_end (&f);
}

static void
fail_times (unsigned n, uint64_t pause_us)
{
  for (unsigned i = 0; i < n; i++)
    {
      f.now_us += pause_us;
      am_liveness_data_unanswered (t, f.now_us, f.now_us);
    }
}

/* Guards against new flows to a target that does not answer.  */
START_TEST (test_unanswered_syn_makes_unresponsive)
{
  am_liveness_syn_sent (t, f.now_us);
  ck_assert (am_liveness_usable (t, f.now_us + AM_LIVENESS_SYN_TIMEOUT_US));
  ck_assert (
      !am_liveness_usable (t, f.now_us + AM_LIVENESS_SYN_TIMEOUT_US + 1));
  am_liveness_progress (t, f.now_us + 100 * MS);
  ck_assert (am_liveness_usable (t, f.now_us + 1000 * MS));
}
END_TEST

/* Guards against a target that is avoided for ever, and against new flows that
   are repeatedly sent to a failed one.  */
START_TEST (test_unresponsive_target_is_retried)
{
  am_liveness_syn_sent (t, f.now_us);
  f.now_us += 200 * MS;
  am_liveness_data_unanswered (t, f.now_us, f.now_us);
  ck_assert (!am_liveness_usable (t, f.now_us + AM_LIVENESS_RETRY_US - 1));
  f.now_us += AM_LIVENESS_RETRY_US;
  ck_assert (am_liveness_usable (t, f.now_us));
  am_liveness_syn_sent (t, f.now_us);
  ck_assert (!am_liveness_usable (t, f.now_us + AM_LIVENESS_RETRY_US));
  ck_assert (am_liveness_usable (t, f.now_us + AM_LIVENESS_RETRY_MAX_US));
}
END_TEST

/* Guards against a target being detected as failed because its responses were
   briefly late: a saturated link of the VM delayed them by 230 ms.  */
START_TEST (test_short_delay_is_no_failure)
{
  fail_times (10, 30 * MS);
  ck_assert (!am_liveness_failed (t, 0, f.now_us));
  fail_times (3, 30 * MS);
  ck_assert (am_liveness_failed (t, 0, f.now_us));
}
END_TEST

/* Guards against a VM that detects a target as failed although no peer does:
   VMs with a saturated link broke flows in this way.  */
START_TEST (test_failure_needs_corroboration)
{
  fail_times (10, 100 * MS);
  ck_assert (
      !am_liveness_failed (t, AM_LIVENESS_CORROBORATION_PEERS, f.now_us));
  t->data_reporting_peers = 1;
  ck_assert (
      am_liveness_failed (t, AM_LIVENESS_CORROBORATION_PEERS, f.now_us));
}
END_TEST

/* Guards against callers that each wait for their second retransmission at a
   target that others know to be unresponsive: in a large data centre a VM has
   one flow at a target.  */
START_TEST (test_reports_of_peers_shorten_detection)
{
  f.now_us += 10000 * MS;
  t->data_reported_since_us = f.now_us;
  f.now_us += AM_LIVENESS_UNANSWERED_SPAN_MIN_US;
  t->data_reporting_peers = 2;
  ck_assert (!am_liveness_failed (t, 60, f.now_us));
  am_liveness_data_unanswered (t, f.now_us, f.now_us);
  ck_assert (am_liveness_failed (t, 60, f.now_us));
  t->data_reporting_peers = 1;
  ck_assert (!am_liveness_failed (t, 60, f.now_us));
  t->data_reporting_peers = 2;
  t->data_reported_since_us += 1;
  ck_assert (!am_liveness_failed (t, 60, f.now_us));
}
END_TEST

/* Guards against a target being detected as failed from peers' reports alone,
   while packets of this VM's flows are answered.  */
START_TEST (test_peer_reports_alone_are_no_failure)
{
  t->data_reporting_peers = 20;
  ck_assert (!am_liveness_failed (t, 20, f.now_us));
  fail_times (4, 200 * MS);
  am_liveness_progress (t, f.now_us);
  ck_assert (!am_liveness_failed (t, 20, f.now_us));
}
END_TEST

/* A target holds all the flows it can: it leaves SYNs unanswered, here and at
   peers, and serves the flows that it has.  Guards against its open flows
   being reset, since many callers come at once.  */
START_TEST (test_unanswered_syns_are_no_failure)
{
  t->reporting_peers = 20;
  for (unsigned i = 0; i < 10; i++)
    {
      f.now_us += 100 * MS;
      am_liveness_unanswered (t, f.now_us);
    }
  ck_assert (!am_liveness_usable (t, f.now_us));
  ck_assert (!am_liveness_failed (t, 0, f.now_us));
  fail_times (2, 100 * MS);
  ck_assert (!am_liveness_failed (t, 20, f.now_us));
}
END_TEST

/* Guards against new flows to a target that several peers report as
   unresponsive, and against avoiding one that answers here.  */
START_TEST (test_peer_reports_prevent_new_flows)
{
  f.now_us += 10000 * MS;
  t->reporting_peers = AM_LIVENESS_REPORTING_PEERS_MIN;
  ck_assert (!am_liveness_usable (t, f.now_us));
  am_liveness_progress (t, f.now_us);
  ck_assert (am_liveness_usable (t, f.now_us + AM_LIVENESS_NO_PROGRESS_US));
}
END_TEST

/* Guards against a fault of the VM's own link being attributed to targets:
   most targets of its data centre cannot fail at once while the VM itself
   responds.  */
START_TEST (test_most_targets_unresponsive_is_local_fault)
{
  struct am_target *other = add_target (&f, 2, NEAR);
  struct am_target *far = add_target (&f, 3, FAR);

  am_liveness_data_unanswered (t, f.now_us, f.now_us);
  am_liveness_data_unanswered (far, f.now_us, f.now_us);
  ck_assert (am_liveness_local_fault (&f.targets, f.now_us));
  am_liveness_progress (other, f.now_us);
  ck_assert (!am_liveness_local_fault (&f.targets, f.now_us));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("liveness");
  TCase *tc = tcase_create ("liveness");

  tcase_add_checked_fixture (tc, begin, end);
  tcase_add_test (tc, test_unanswered_syn_makes_unresponsive);
  tcase_add_test (tc, test_unresponsive_target_is_retried);
  tcase_add_test (tc, test_short_delay_is_no_failure);
  tcase_add_test (tc, test_failure_needs_corroboration);
  tcase_add_test (tc, test_reports_of_peers_shorten_detection);
  tcase_add_test (tc, test_peer_reports_alone_are_no_failure);
  tcase_add_test (tc, test_unanswered_syns_are_no_failure);
  tcase_add_test (tc, test_peer_reports_prevent_new_flows);
  tcase_add_test (tc, test_most_targets_unresponsive_is_local_fault);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
