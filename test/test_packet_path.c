/* What becomes of packets: placement, carrying, resets, waiting.  */

#include "flow/liveness.h"
#include "flow_fixture.h"
#include "suite.h"

static struct flow_fixture f;

static void
begin (void)
{
  flow_begin (&f);
  set_routes (&f, 1, 1);
}

static void
end (void)
{
  flow_end (&f);
}

static void
expect (struct am_decision d, enum am_verdict v, enum am_reason r)
{
  ck_assert_str_eq (am_reason_name (d.reason), am_reason_name (r));
  ck_assert_int_eq (d.verdict, v);
}

/* Guards against a caller that waits for an address that nobody serves.  */
START_TEST (test_unknown_route_is_reset_at_once)
{
  struct am_packet p = syn (1, 0);

  add_target (&f, 1, NEAR);
  p.route.port = 444;
  expect (send_packet (&f, p), AM_VERDICT_RESET, AM_REASON_NO_ROUTE);
}
END_TEST

/* Guards against a caller that waits while no target takes flows.  */
START_TEST (test_no_target_is_reset_at_once)
{
  struct am_target_spec s = target_spec (1, NEAR);

  s.draining = true;
  am_target_table_put (&f.targets, &s, f.now_us, NULL);
  expect (send_packet (&f, syn (1, 0)), AM_VERDICT_RESET, AM_REASON_NO_TARGET);
}
END_TEST

/* Guards against flows that break when their packets reach another VM, one
   that has just started: it knows the targets and nothing else.  */
START_TEST (test_any_vm_carries_any_flow)
{
  struct flow_fixture other;
  struct am_target *target;
  struct am_decision d;

  for (uint64_t id = 1; id <= 20; id++)
    add_target (&f, id, NEAR);
  target = open_flow_at (&f, 1);
  flow_begin (&other);
  for (uint64_t id = 20; id >= 1; id--)
    add_target (&other, id, NEAR);
  d = send_packet (&other, data (1, target->ticket, 1001, 100, 1));
  expect (d, AM_VERDICT_FORWARD, AM_REASON_TICKET);
  ck_assert_uint_eq (d.target->spec.id, target->spec.id);
  flow_end (&other);
}
END_TEST

/* Guards against a draining target that loses its open flows.  */
START_TEST (test_draining_target_keeps_its_flows)
{
  struct am_target *t = add_target (&f, 1, NEAR);
  struct am_target_spec s = t->spec;

  open_flow_at (&f, 1);
  s.draining = true;
  am_target_table_put (&f.targets, &s, f.now_us, NULL);
  expect (send_packet (&f, data (1, t->ticket, 1001, 100, 1)),
          AM_VERDICT_FORWARD, AM_REASON_TICKET);
  add_target (&f, 2, NEAR);
  ck_assert_uint_eq (send_packet (&f, syn (2, 0)).target->spec.id, 2);
}
END_TEST

/* Guards against a reset of a flow whose target this VM does not know yet.  */
START_TEST (test_unknown_ticket_is_dropped_until_settled)
{
  f.path.targets_complete = false;
  expect (send_packet (&f, data (1, 77, 1001, 100, 1)), AM_VERDICT_DROP,
          AM_REASON_UNKNOWN_TICKET);
  f.path.targets_complete = true;
  expect (send_packet (&f, data (1, 77, 1001, 100, 1)), AM_VERDICT_RESET,
          AM_REASON_UNKNOWN_TICKET);
}
END_TEST

/* Guards against callers that wait for a target that has left the store, and
   against a reset while its absence proves nothing.  */
START_TEST (test_flow_of_ended_target_is_reset)
{
  struct am_target *t = add_target (&f, 1, NEAR);
  struct am_target_events none = { 0 };

  open_flow_at (&f, 1);
  am_target_table_mark_absent (&f.targets, 1, f.now_us);
  f.now_us += 1000 * MS;
  am_target_table_sweep (&f.targets, f.now_us, 0, &none);
  f.path.targets_complete = false;
  expect (send_packet (&f, data (1, t->ticket, 1001, 100, 1)),
          AM_VERDICT_FORWARD, AM_REASON_TICKET);
  f.path.targets_complete = true;
  expect (send_packet (&f, data (1, t->ticket, 1001, 100, 1)),
          AM_VERDICT_RESET, AM_REASON_TARGET_REMOVED);
}
END_TEST

/* Guards against a reset of a flow whose target answers although its entry is
   gone.  */
START_TEST (test_ended_target_that_answers_keeps_its_flow)
{
  struct am_target *t = add_target (&f, 1, NEAR);
  struct am_target_events none = { 0 };

  open_flow_at (&f, 1);
  am_target_table_mark_absent (&f.targets, 1, f.now_us);
  am_target_table_sweep (&f.targets, f.now_us, 0, &none);
  f.now_us += 100 * MS;
  send_packet (&f, data (1, t->ticket, 1001, 0, 500));
  expect (send_packet (&f, data (1, t->ticket, 1001, 100, 500)),
          AM_VERDICT_FORWARD, AM_REASON_TICKET);
}
END_TEST

/* Guards against copies of a SYN that go to the target that left the first
   without an answer.  */
START_TEST (test_copy_goes_to_another_target)
{
  struct am_decision first;
  struct am_decision second;

  add_target (&f, 1, NEAR);
  add_target (&f, 2, NEAR);
  first = send_packet (&f, syn (1, 0));
  f.now_us += 200 * MS;
  second = send_packet (&f, syn (1, 1));
  expect (second, AM_VERDICT_FORWARD, AM_REASON_PLACED_AGAIN);
  ck_assert_uint_ne (first.target->spec.id, second.target->spec.id);
}
END_TEST

/* Guards against one SYN at two targets because this VM was slow: both would
   answer, and the caller goes on with the later one.  */
START_TEST (test_copy_from_own_queue_goes_to_the_same_target)
{
  struct am_decision first;
  struct am_decision second;

  add_target (&f, 1, NEAR);
  add_target (&f, 2, NEAR);
  first = send_packet (&f, syn (1, 0));
  f.now_us += 10 * MS;
  second = send_packet (&f, syn (1, 1));
  expect (second, AM_VERDICT_FORWARD, AM_REASON_SAME_TARGET);
  ck_assert_ptr_eq (first.target, second.target);
}
END_TEST

/* Replays a target that falls silent with five open flows.  Their callers ask
   40 ms apart and send again after 200 and 600 ms; another target answers.
   Guards against callers that wait for their deadline: they waited 2.5 s and
   more until its entry was gone.  A reset earlier than 350 ms after the first
   resending hit healthy targets behind a full link.  */
START_TEST (test_flows_of_a_dark_target_are_reset)
{
  struct am_target *t = add_target (&f, 1, NEAR);
  struct am_target *other;

  for (uint16_t port = 1; port <= 5; port++)
    open_flow_at (&f, port);
  other = add_target (&f, 2, NEAR);
  for (unsigned ms = 0; ms < 1000; ms += 40)
    {
      f.now_us = START_US + ms * MS;
      am_liveness_progress (other, f.now_us);
      for (uint16_t port = 1; port <= 5; port++)
        {
          struct am_decision d;
          unsigned since = ms - port * 40u;

          if (since != 0 && since != 200 && since != 600)
            continue;
          d = send_packet (&f, data (port, t->ticket, 1001, 100, 1));
          if (d.verdict != AM_VERDICT_RESET)
            continue;
          expect (d, AM_VERDICT_RESET, AM_REASON_TARGET_FAILED);
          ck_assert_uint_ge (ms, 240 + 350);
          return;
        }
    }
  ck_abort_msg ("no flow was reset");
}
END_TEST

/* Guards against a reset of a flow of a slow target: it acknowledges data, so
   that callers do not send again, and answers later than usual.  */
START_TEST (test_flows_of_a_slow_target_are_kept)
{
  struct am_target *t = add_target (&f, 1, NEAR);

  for (uint16_t port = 1; port <= 5; port++)
    open_flow_at (&f, port);
  for (uint16_t port = 1; port <= 5; port++)
    send_packet (&f, data (port, t->ticket, 1001, 100, 1));
  f.now_us += 3000 * MS;
  for (uint16_t port = 6; port <= 20; port++)
    expect (send_packet (&f, data (port, t->ticket, 1001, 100, 1)),
            AM_VERDICT_FORWARD, AM_REASON_TICKET);
}
END_TEST

/* Guards against a download that stands still until its deadline, 8 s, because
   its target ended: the caller sends nothing that could be answered.  Flows of
   other targets stay, and so do those whose target may come back.  */
START_TEST (test_waiting_callers_of_a_lost_target_are_reset)
{
  struct am_target *t = add_target (&f, 1, NEAR);
  struct am_target_events none = { 0 };
  struct am_packet reset;

  open_flow_at (&f, 1);
  send_packet (&f, data (1, t->ticket, 1001, 100, 1));
  send_packet (&f, data (1, t->ticket, 1101, 0, 5001));
  add_target (&f, 2, NEAR);
  am_target_table_mark_absent (&f.targets, 1, f.now_us);
  am_target_table_sweep (&f.targets, f.now_us, UINT64_MAX, &none);
  ck_assert (!am_path_next_orphan (&f.path, &reset, f.now_us));
  open_flow_at (&f, 2);
  f.now_us += 1;
  am_target_table_sweep (&f.targets, f.now_us, 0, &none);
  f.path.targets_complete = false;
  ck_assert (!am_path_next_orphan (&f.path, &reset, f.now_us));
  f.path.targets_complete = true;
  ck_assert (am_path_next_orphan (&f.path, &reset, f.now_us));
  ck_assert_uint_eq (reset.caller.port, 1);
  ck_assert_uint_eq (reset.ack, 5001);
  ck_assert (!reset.opens);
  ck_assert (!am_path_next_orphan (&f.path, &reset, f.now_us));
  ck_assert_uint_eq (f.path.flows.count, 1);
}
END_TEST

/* Guards against peers that hear of a silent target only with the next
   digest: the first failure is a finding, later ones are not.  */
START_TEST (test_first_failure_is_a_finding)
{
  struct am_target *t = add_target (&f, 1, NEAR);

  open_flow_at (&f, 1);
  send_packet (&f, data (1, t->ticket, 1001, 100, 1));
  ck_assert_uint_eq (f.path.detections, 0);
  f.now_us += 200 * MS;
  send_packet (&f, data (1, t->ticket, 1001, 100, 1));
  ck_assert_uint_eq (f.path.detections, 1);
  f.now_us += 400 * MS;
  send_packet (&f, data (1, t->ticket, 1001, 100, 1));
  ck_assert_uint_eq (f.path.detections, 1);
}
END_TEST

/* Guards against a verdict of long ago that resets flows of a target that is
   reached again.  */
START_TEST (test_old_silence_proves_nothing)
{
  struct am_target *t = add_target (&f, 1, NEAR);

  open_flow_at (&f, 1);
  send_packet (&f, data (1, t->ticket, 1001, 100, 1));
  for (unsigned i = 0; i < 5; i++)
    {
      f.now_us += 200 * MS;
      am_liveness_unanswered (t, f.now_us);
    }
  ck_assert (am_liveness_failed (t, 0, f.now_us));
  f.now_us += 5000 * MS;
  expect (send_packet (&f, data (2, t->ticket, 1001, 100, 1)),
          AM_VERDICT_FORWARD, AM_REASON_TICKET);
}
END_TEST

/* ---- waiting ------------------------------------------------------ */

/* Guards against refusals for the lack of a configuration that is on its
   way.  */
START_TEST (test_syn_waits_for_the_first_configuration)
{
  struct flow_fixture g;
  struct am_queued_syn w;
  struct am_decision d;

  flow_begin (&g);
  add_target (&g, 1, NEAR);
  expect (send_packet (&g, syn (1, 0)), AM_VERDICT_WAIT,
          AM_REASON_NO_CONFIGURATION);
  ck_assert (!am_path_dequeue (&g.path, &w, &d, g.now_us));
  set_routes (&g, 1, 1);
  ck_assert (am_path_dequeue (&g.path, &w, &d, g.now_us));
  expect (d, AM_VERDICT_FORWARD, AM_REASON_PLACED);
  ck_assert (!am_path_dequeue (&g.path, &w, &d, g.now_us));
  flow_end (&g);
}
END_TEST

/* Requests that are in progress at targets, served first come first, two a
   target at a time.  */
struct work
{
  uint64_t asked_us;   /* when the caller asked */
  uint64_t arrived_us; /* at its target */
  uint64_t target;
  uint16_t port;
  bool fresh;
  bool done;
};

#define WORK_MAX 4000
#define TARGETS 5
#define SERVICE_US (30 * MS)

static struct work work[WORK_MAX];
static size_t work_count;

/* Ends the work that is due at NOW_US and tells the path as callers do.
   Returns how much fresh work ended within AIM_US.  */
static unsigned
finish_work (uint64_t now_us, uint64_t aim_us)
{
  unsigned in_time = 0;

  for (uint64_t id = 1; id <= TARGETS; id++)
    {
      static uint64_t free_us[TARGETS + 1][2];

      if (!work_count)
        free_us[id][0] = free_us[id][1] = 0;
      for (size_t i = 0; i < work_count; i++)
        {
          struct work *w = &work[i];
          uint64_t *slot = free_us[id][0] <= free_us[id][1] ? &free_us[id][0]
                                                            : &free_us[id][1];
          uint64_t start_us = *slot > w->arrived_us ? *slot : w->arrived_us;

          if (w->done || w->target != id)
            continue;
          if (start_us + SERVICE_US > now_us)
            break;
          *slot = start_us + SERVICE_US;
          w->done = true;
          in_time += w->fresh && *slot - w->asked_us <= aim_us;
          f.now_us = now_us;
          send_packet (&f,
                       data (w->port, am_target_ticket (id), 1101, 0, 500));
        }
    }
  return in_time;
}

static void
begin_work (const struct am_packet *p, const struct am_decision *d,
            uint64_t asked_us)
{
  struct work *w = &work[work_count++];

  ck_assert_uint_lt (work_count, WORK_MAX);
  *w = (struct work){ .asked_us = asked_us,
                      .arrived_us = f.now_us,
                      .target = d->target->spec.id,
                      .port = p->caller.port,
                      .fresh = p->ack == 0 };
  send_packet (&f, data (p->caller.port, d->target->ticket, 1001, 0, 1));
  send_packet (&f, data (p->caller.port, d->target->ticket, 1001, 100, 1));
}

static void
arrive (struct am_packet p, uint64_t asked_us, bool may_wait)
{
  struct am_decision d;

  if (!may_wait && p.ack)
    {
      /* As before the queue: the copy looks like a first SYN.  */
      p.ack = 0;
      d = send_packet (&f, p);
      p.ack = 1;
    }
  else
    d = send_packet (&f, p);
  if (d.verdict == AM_VERDICT_FORWARD)
    begin_work (&p, &d, asked_us);
}

/* Replays the first second after an outage of 1.4 s: fresh SYNs at half of
   the capacity of five targets of two slots, and with them the first copies of
   those sent in the last 200 ms and the second copies of those sent in the 600
   ms before.  Returns the fresh requests that ended within 150 ms.  */
static unsigned
replay_outage (bool may_wait)
{
  unsigned in_time = 0;
  uint16_t port = 1;

  flow_begin (&f);
  set_routes (&f, 1, 1);
  work_count = 0;
  for (uint64_t id = 1; id <= TARGETS; id++)
    add_target (&f, id, NEAR);
  for (unsigned ms = 0; ms < 1500; ms++)
    {
      struct am_queued_syn w;
      struct am_decision d;

      f.now_us = START_US + ms * MS;
      in_time += finish_work (f.now_us, 150 * MS);
      while (am_path_dequeue (&f.path, &w, &d, f.now_us))
        if (d.verdict == AM_VERDICT_FORWARD)
          begin_work (&w.packet, &d, 0);
      /* 333 a second are the capacity.  */
      if (ms % 6 == 0 && ms < 1000)
        arrive (syn (port++, 0), f.now_us, may_wait);
      if (ms % 6 == 1 && ms < 200)
        arrive (syn (port++, 1), 0, may_wait);
      if (ms % 6 == 2 && ms < 600)
        arrive (syn (port++, 2), 0, may_wait);
      if (ms % 6 == 3 && ms < 600)
        arrive (syn (port++, 2), 0, may_wait);
    }
  flow_end (&f);
  return in_time;
}

/* Guards against fresh requests that queue behind copies which are late
   already.  Of 167 fresh requests more are in time if copies wait.  */
START_TEST (test_copies_wait_after_an_outage)
{
  unsigned without;
  unsigned with;

  flow_end (&f);
  without = replay_outage (false);
  with = replay_outage (true);
  ck_assert_uint_gt (with, without);
  ck_assert_uint_ge (with, 150);
  begin ();
}
END_TEST

/* Guards against a copy that is held until its attempt has ended.  */
START_TEST (test_copy_goes_on_before_its_attempt_ends)
{
  struct am_target *t = add_target (&f, 1, NEAR);
  struct am_queued_syn w;
  struct am_decision d;

  t->load.busy = 10;
  expect (send_packet (&f, syn (1, 2)), AM_VERDICT_WAIT, AM_REASON_BUSY);
  f.now_us += 649 * MS;
  ck_assert (!am_path_dequeue (&f.path, &w, &d, f.now_us));
  f.now_us += 1 * MS;
  ck_assert (am_path_dequeue (&f.path, &w, &d, f.now_us));
  expect (d, AM_VERDICT_FORWARD, AM_REASON_PLACED_AGAIN);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("packet_path");
  TCase *tc = tcase_create ("packet_path");

  tcase_add_checked_fixture (tc, begin, end);
  tcase_add_test (tc, test_unknown_route_is_reset_at_once);
  tcase_add_test (tc, test_no_target_is_reset_at_once);
  tcase_add_test (tc, test_any_vm_carries_any_flow);
  tcase_add_test (tc, test_draining_target_keeps_its_flows);
  tcase_add_test (tc, test_unknown_ticket_is_dropped_until_settled);
  tcase_add_test (tc, test_flow_of_ended_target_is_reset);
  tcase_add_test (tc, test_ended_target_that_answers_keeps_its_flow);
  tcase_add_test (tc, test_copy_goes_to_another_target);
  tcase_add_test (tc, test_copy_from_own_queue_goes_to_the_same_target);
  tcase_add_test (tc, test_flows_of_a_dark_target_are_reset);
  tcase_add_test (tc, test_flows_of_a_slow_target_are_kept);
  tcase_add_test (tc, test_waiting_callers_of_a_lost_target_are_reset);
  tcase_add_test (tc, test_first_failure_is_a_finding);
  tcase_add_test (tc, test_old_silence_proves_nothing);
  tcase_add_test (tc, test_syn_waits_for_the_first_configuration);
  tcase_add_test (tc, test_copies_wait_after_an_outage);
  tcase_add_test (tc, test_copy_goes_on_before_its_attempt_ends);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
