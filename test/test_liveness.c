/* Silence, failures and death of targets by the packets of their flows.  */

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
      am_liveness_unanswered (t, f.now_us);
    }
}

/* Guards against flows that are sent to a target which answers nobody.  */
START_TEST (test_unanswered_syn_is_silence)
{
  am_liveness_syn_sent (t, f.now_us);
  ck_assert (am_liveness_usable (t, f.now_us + AM_LIVENESS_SYN_TIMEOUT_US));
  ck_assert (
      !am_liveness_usable (t, f.now_us + AM_LIVENESS_SYN_TIMEOUT_US + 1));
  am_liveness_progress (t, f.now_us + 100 * MS);
  ck_assert (am_liveness_usable (t, f.now_us + 1000 * MS));
}
END_TEST

/* Guards against a target that is avoided for good, and against callers that
   are sent to a dead one again and again.  */
START_TEST (test_silent_target_is_tried_again)
{
  am_liveness_syn_sent (t, f.now_us);
  f.now_us += 200 * MS;
  am_liveness_unanswered (t, f.now_us);
  ck_assert (!am_liveness_usable (t, f.now_us + AM_LIVENESS_RETRY_US - 1));
  f.now_us += AM_LIVENESS_RETRY_US;
  ck_assert (am_liveness_usable (t, f.now_us));
  am_liveness_syn_sent (t, f.now_us);
  ck_assert (!am_liveness_usable (t, f.now_us + AM_LIVENESS_RETRY_US));
  ck_assert (am_liveness_usable (t, f.now_us + AM_LIVENESS_RETRY_MAX_US));
}
END_TEST

/* Guards against the death of a target whose answers were late for a moment:
   a full link of the VM delayed them by 230 ms.  */
START_TEST (test_short_silence_is_no_death)
{
  fail_times (10, 30 * MS);
  ck_assert (!am_liveness_failed (t, 0, f.now_us));
  fail_times (3, 30 * MS);
  ck_assert (am_liveness_failed (t, 0, f.now_us));
}
END_TEST

/* Guards against a VM that alone finds a target dead: FLOW was broken by VMs
   with a full link.  */
START_TEST (test_death_needs_a_witness)
{
  fail_times (10, 100 * MS);
  ck_assert (
      !am_liveness_failed (t, AM_LIVENESS_CORROBORATION_PEERS, f.now_us));
  t->silent_at = 1;
  ck_assert (
      am_liveness_failed (t, AM_LIVENESS_CORROBORATION_PEERS, f.now_us));
}
END_TEST

/* Guards against death by hearsay: packets of this VM's flows went
   through.  */
START_TEST (test_peers_alone_are_no_death)
{
  t->silent_at = 20;
  ck_assert (!am_liveness_failed (t, 20, f.now_us));
  fail_times (4, 200 * MS);
  am_liveness_progress (t, f.now_us);
  ck_assert (!am_liveness_failed (t, 20, f.now_us));
}
END_TEST

/* Guards against a target that several peers find silent and that still gets
   new flows here, and against one that is avoided although it answers here. */
START_TEST (test_peers_findings_keep_flows_away)
{
  f.now_us += 10000 * MS;
  t->silent_at = AM_LIVENESS_UNRESPONSIVE_PEERS_MIN;
  ck_assert (!am_liveness_usable (t, f.now_us));
  am_liveness_progress (t, f.now_us);
  ck_assert (am_liveness_usable (t, f.now_us + AM_LIVENESS_NO_PROGRESS_US));
}
END_TEST

/* Guards against the fault of a VM's own link being put down to targets: most
   of its data centre cannot have died at once while it answers.  */
START_TEST (test_most_targets_silent_is_doubtful)
{
  struct am_target *other = add_target (&f, 2, NEAR);
  struct am_target *far = add_target (&f, 3, FAR);

  am_liveness_unanswered (t, f.now_us);
  am_liveness_unanswered (far, f.now_us);
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
  tcase_add_test (tc, test_unanswered_syn_is_silence);
  tcase_add_test (tc, test_silent_target_is_tried_again);
  tcase_add_test (tc, test_short_silence_is_no_death);
  tcase_add_test (tc, test_death_needs_a_witness);
  tcase_add_test (tc, test_peers_alone_are_no_death);
  tcase_add_test (tc, test_peers_findings_keep_flows_away);
  tcase_add_test (tc, test_most_targets_silent_is_doubtful);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
