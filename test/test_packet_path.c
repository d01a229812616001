/* Decisions on packets: placement, forwarding, resets, queueing.  */

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
expect (struct am_decision d, enum am_packet_verdict v, enum am_reason r)
{
  ck_assert_str_eq (am_reason_name (d.reason), am_reason_name (r));
  ck_assert_int_eq (d.verdict, v);
}

/* Guards against a caller that times out on an address without a route,
   because its SYN is not answered with a reset.  */
START_TEST (test_unknown_route_is_reset_at_once)
{
  struct am_packet p = syn (1, 0);

  add_target (&f, 1, NEAR);
  p.destination.port = 444;
  expect (send_packet (&f, p), AM_VERDICT_RESET, AM_REASON_NO_ROUTE);
}
END_TEST

/* Guards against a caller that times out because no target accepts flows.  */
START_TEST (test_no_target_is_reset_at_once)
{
  struct am_target_spec s = target_spec (1, NEAR);

  s.draining = true;
  am_target_table_put (&f.targets, &s, f.now_us, NULL);
  expect (send_packet (&f, syn (1, 0)), AM_VERDICT_RESET, AM_REASON_NO_TARGET);
}
END_TEST

/* Guards against flows that break when their packets are routed to another VM
   that has just started: it knows the targets, but no flows.  */
START_TEST (test_any_vm_forwards_any_flow)
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

/* Guards against a draining target that loses its open flows or is given new
   ones.  */
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

/* Guards against a reset of a flow whose target this VM does not know yet,
   because its replica is not complete.  */
START_TEST (test_unknown_ticket_is_dropped_until_targets_complete)
{
  f.path.targets_complete = false;
  expect (send_packet (&f, data (1, 77, 1001, 100, 1)), AM_VERDICT_DROP,
          AM_REASON_UNKNOWN_TICKET);
  f.path.targets_complete = true;
  expect (send_packet (&f, data (1, 77, 1001, 100, 1)), AM_VERDICT_RESET,
          AM_REASON_UNKNOWN_TICKET);
}
END_TEST

/* Guards against callers that wait for a target that was removed from the
   store, and against a reset while its absence is not conclusive.  */
START_TEST (test_flow_of_removed_target_is_reset)
{
  struct am_target *t = add_target (&f, 1, NEAR);
  struct am_target_events none = { 0 };

  open_flow_at (&f, 1);
  am_target_table_mark_absent (&f.targets, 1, 0, f.now_us);
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

/* Guards against a reset of a flow whose target answers although its
   registration was removed.  */
START_TEST (test_removed_target_that_answers_keeps_its_flow)
{
  struct am_target *t = add_target (&f, 1, NEAR);
  struct am_target_events none = { 0 };

  open_flow_at (&f, 1);
  am_target_table_mark_absent (&f.targets, 1, 0, f.now_us);
  am_target_table_sweep (&f.targets, f.now_us, 0, &none);
  f.now_us += 100 * MS;
  send_packet (&f, data (1, t->ticket, 1001, 0, 500));
  expect (send_packet (&f, data (1, t->ticket, 1001, 100, 500)),
          AM_VERDICT_FORWARD, AM_REASON_TICKET);
}
END_TEST

/* A SYN+ACK is lost.  Guards against one flow at two targets: both answer, and
   the caller sends the packets of one with the ticket of the other, which
   resets the flow.  The attempt is reset, also if that reset is lost; a caller
   whose flow has opened meanwhile ignores it and keeps its flow.  */
START_TEST (test_lost_syn_ack_leaves_one_target)
{
  struct am_decision first;
  struct am_decision d;

  add_target (&f, 1, NEAR);
  add_target (&f, 2, NEAR);
  first = send_packet (&f, syn (1, 0));
  for (uint32_t retransmission = 1; retransmission <= 2; retransmission++)
    {
      f.now_us += 200 * MS;
      expect (send_packet (&f, syn (1, retransmission)), AM_VERDICT_RESET,
              AM_REASON_SYN_UNANSWERED);
    }
  d = send_packet (&f, data (1, first.target->ticket, 1001, 0, 1));
  expect (d, AM_VERDICT_FORWARD, AM_REASON_TICKET);
  ck_assert_ptr_eq (d.target, first.target);
}
END_TEST

/* A SYN+ACK is lost, and the routers move the caller to another VM between the
   two transmissions of its SYN.  Guards against one flow at two targets: the
   second VM placed what it took for a new flow.  Its reset ends the attempt; a
   caller whose flow has opened meanwhile ignores it.  */
START_TEST (test_syn_of_another_vm_is_not_placed)
{
  struct flow_fixture other;
  struct am_decision first;
  struct am_decision d;

  flow_begin (&other);
  set_routes (&other, 1, 1);
  for (uint64_t id = 1; id <= 20; id++)
    {
      add_target (&f, id, NEAR);
      add_target (&other, id, NEAR);
    }
  for (uint16_t port = 1; port <= 20; port++)
    {
      first = send_packet (&f, syn (port, 0));
      other.now_us = f.now_us + 200 * MS;
      expect (send_packet (&other, syn (port, 1)), AM_VERDICT_RESET,
              AM_REASON_FIRST_SYN_UNSEEN);
      other.now_us += 400 * MS;
      expect (send_packet (&other, syn (port, 2)), AM_VERDICT_RESET,
              AM_REASON_FIRST_SYN_UNSEEN);
      d = send_packet (&other, data (port, first.target->ticket, 1001, 0, 1));
      expect (d, AM_VERDICT_FORWARD, AM_REASON_TICKET);
      ck_assert_uint_eq (d.target->spec.id, first.target->spec.id);
    }
  ck_assert_uint_eq (other.path.queue.count, 0);
  flow_end (&other);
}
END_TEST

/* Guards against a SYN that a VM without a configuration, which has just
   started, queues and places although another VM, or its own earlier process,
   may have placed it.  */
START_TEST (test_restarted_vm_does_not_place_a_retransmitted_syn)
{
  struct flow_fixture g;

  flow_begin (&g);
  add_target (&g, 1, NEAR);
  expect (send_packet (&g, syn (1, 1)), AM_VERDICT_RESET,
          AM_REASON_FIRST_SYN_UNSEEN);
  ck_assert_uint_eq (g.path.queue.count, 0);
  flow_end (&g);
}
END_TEST

/* Guards against a retransmitted SYN that was read late, after its flow had
   opened: the VM forgot the flow and placed it at another target, or reset
   it.  A new attempt from the same port is placed.  */
START_TEST (test_late_syn_of_an_open_flow_is_dropped)
{
  struct am_packet again;

  for (uint64_t id = 1; id <= 20; id++)
    add_target (&f, id, NEAR);
  open_flow_at (&f, 1);
  f.now_us += 200 * MS;
  expect (send_packet (&f, syn (1, 1)), AM_VERDICT_DROP,
          AM_REASON_ALREADY_OPEN);
  send_packet (&f, data (1, am_target_ticket (1), 1001, 100, 1));
  expect (send_packet (&f, syn (1, 2)), AM_VERDICT_DROP,
          AM_REASON_ALREADY_OPEN);
  ck_assert_uint_eq (f.path.flows.count, 1);
  again = syn (1, 0);
  again.seq = 0x80000000;
  expect (send_packet (&f, again), AM_VERDICT_FORWARD, AM_REASON_PLACED);
}
END_TEST

/* Two transmissions of a SYN wait in this VM's queue; room for it comes as the
   third is read.  Guards against a flow that is placed twice: the third
   transmission was placed while the second stayed in the queue.  */
START_TEST (test_queued_syn_is_placed_once)
{
  struct am_target *t = add_target (&f, 1, NEAR);
  struct am_queued_syn w;
  struct am_decision d;

  t->load.busy = t->load.recent = 10;
  expect (send_packet (&f, syn (1, 0)), AM_VERDICT_WAIT, AM_REASON_NO_ROOM);
  f.now_us += 200 * MS;
  expect (send_packet (&f, syn (1, 1)), AM_VERDICT_WAIT, AM_REASON_BUSY);
  t->load.busy = t->load.recent = 0;
  f.now_us += 400 * MS;
  expect (send_packet (&f, syn (1, 2)), AM_VERDICT_WAIT, AM_REASON_BUSY);
  ck_assert_uint_eq (f.path.queue.count, 1);
  ck_assert (am_path_dequeue (&f.path, &w, &d, f.now_us));
  expect (d, AM_VERDICT_FORWARD, AM_REASON_PLACED_AGAIN);
  ck_assert (!am_path_dequeue (&f.path, &w, &d, f.now_us));
}
END_TEST

/* Guards against a new attempt at the target that did not answer the first
   one.  */
START_TEST (test_attempt_after_a_reset_goes_to_another_target)
{
  struct am_decision first;

  add_target (&f, 1, NEAR);
  add_target (&f, 2, NEAR);
  first = send_packet (&f, syn (1, 0));
  f.now_us += 200 * MS;
  send_packet (&f, syn (1, 1));
  for (uint16_t port = 2; port <= 9; port++)
    ck_assert_ptr_ne (send_packet (&f, syn (port, 0)).target, first.target);
}
END_TEST

/* Guards against an attempt that is reset although the target works: it has
   accepted another flow since, or there is no other target.  */
START_TEST (test_retransmission_goes_to_a_working_target_again)
{
  struct am_target *t = add_target (&f, 1, NEAR);
  struct am_decision d;

  send_packet (&f, syn (1, 0));
  f.now_us += 200 * MS;
  d = send_packet (&f, syn (1, 1));
  expect (d, AM_VERDICT_FORWARD, AM_REASON_SAME_TARGET);
  ck_assert_ptr_eq (d.target, t);
  f.now_us += 100 * MS;
  open_flow_at (&f, 2);
  add_target (&f, 2, NEAR);
  f.now_us += 300 * MS;
  d = send_packet (&f, syn (1, 2));
  expect (d, AM_VERDICT_FORWARD, AM_REASON_SAME_TARGET);
  ck_assert_ptr_eq (d.target, t);
}
END_TEST

/* Guards against a new flow at a target that started to drain after the first
   SYN.  */
START_TEST (test_retransmission_is_not_sent_to_a_draining_target)
{
  struct am_target_spec s = add_target (&f, 1, NEAR)->spec;

  send_packet (&f, syn (1, 0));
  f.now_us += 50 * MS;
  open_flow_at (&f, 2);
  s.draining = true;
  am_target_table_put (&f.targets, &s, f.now_us, NULL);
  f.now_us += 150 * MS;
  expect (send_packet (&f, syn (1, 1)), AM_VERDICT_RESET,
          AM_REASON_SYN_UNANSWERED);
}
END_TEST

/* Guards against one SYN being sent to two targets because it and its
   retransmission waited in this VM's receive queue: both would answer, and the
   caller continues with the later one.  */
START_TEST (test_early_retransmission_goes_to_the_same_target)
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

/* A target with five open flows stops answering.  The callers send requests 40
   ms apart and retransmit them after 200 and 600 ms; another target answers.
   Guards against callers that wait until their deadline: they waited 2.5 s and
   more until the registration of the target was removed.  A reset earlier than
   350 ms after the first retransmission hit healthy targets behind a congested
   link.  */
START_TEST (test_flows_of_a_failed_target_are_reset)
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

/* Many callers come at once, and a target that holds all the flows it can
   leaves their SYNs unanswered.  Guards against a reset of its open flows, of
   callers that wait for an answer and of idle ones.  */
START_TEST (test_flows_of_a_full_target_are_kept)
{
  struct am_target *t = add_target (&f, 1, NEAR);
  struct am_target *other;
  struct am_packet reset;

  open_flow_at (&f, 1);
  open_flow_at (&f, 2);
  other = add_target (&f, 2, NEAR);
  for (uint16_t port = 3; port < 23; port++)
    {
      struct am_packet p = syn (port, 0);

      f.now_us += 20 * MS;
      am_flow_add (&f.path.flows, &p, t, AM_FLOW_OPENING, f.now_us);
    }
  send_packet (&f, data (1, t->ticket, 1001, 100, 1));
  for (uint16_t port = 3; port < 23; port++)
    {
      f.now_us += 20 * MS;
      am_liveness_progress (other, f.now_us);
      expect (send_packet (&f, syn (port, 1)), AM_VERDICT_RESET,
              AM_REASON_SYN_UNANSWERED);
      ck_assert (!am_path_next_orphan (&f.path, &reset, f.now_us));
    }
  expect (send_packet (&f, data (2, t->ticket, 1001, 100, 1)),
          AM_VERDICT_FORWARD, AM_REASON_TICKET);
}
END_TEST

/* Requests take 0.6 to 1.2 s, and the target acknowledges every second packet:
   each caller retransmits its request once, after 200 ms.  Guards against a
   reset of these flows, whose orders have begun.  */
START_TEST (test_flows_with_long_requests_are_kept)
{
  struct am_target *t = add_target (&f, 1, NEAR);
  struct am_target *other;
  struct am_packet reset;

  for (uint16_t port = 1; port <= 12; port++)
    open_flow_at (&f, port);
  other = add_target (&f, 2, NEAR);
  for (unsigned ms = 0; ms < 1200; ms += 20)
    {
      f.now_us = START_US + ms * MS;
      am_liveness_progress (other, f.now_us);
      for (uint16_t port = 1; port <= 12; port++)
        {
          unsigned since = ms - port * 20u;

          if (since == 0 || since == 200)
            expect (send_packet (&f, data (port, t->ticket, 1001, 100, 1)),
                    AM_VERDICT_FORWARD, AM_REASON_TICKET);
        }
      ck_assert (!am_path_next_orphan (&f.path, &reset, f.now_us));
    }
}
END_TEST

/* Guards against a reset of a flow of a slow target: it acknowledges data, so
   that callers do not retransmit, and answers later than usual.  */
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

/* Guards against a download that stalls until its deadline, 8 s, because its
   target was removed: the caller sends no packet that could be answered with a
   reset.  Flows of other targets are kept, and so are those whose target may
   be registered again.  */
START_TEST (test_orphaned_flows_are_reset)
{
  struct am_target *t = add_target (&f, 1, NEAR);
  struct am_target_events none = { 0 };
  struct am_packet reset;

  open_flow_at (&f, 1);
  send_packet (&f, data (1, t->ticket, 1001, 100, 1));
  send_packet (&f, data (1, t->ticket, 1101, 0, 5001));
  add_target (&f, 2, NEAR);
  am_target_table_mark_absent (&f.targets, 1, 0, f.now_us);
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

/* Guards against a target that looks full for good after a restart under the
   same id: its load was set to 0, and then the flows of the earlier process
   were taken off.  */
START_TEST (test_restart_keeps_the_load_of_known_flows)
{
  struct am_target *t = add_target (&f, 1, NEAR);
  struct am_target_spec s = t->spec;

  open_flow_at (&f, 1);
  send_packet (&f, data (1, t->ticket, 1001, 100, 1));
  s.started_ms++;
  am_target_table_put (&f.targets, &s, f.now_us, NULL);
  ck_assert_uint_eq (t->load.open_flows, 1);
  f.now_us += AM_PATH_FLOW_IDLE_US;
  am_path_expire (&f.path, f.now_us);
  ck_assert_uint_eq (t->load.open_flows, 0);
  ck_assert_uint_eq (t->load.busy, 0);
}
END_TEST

/* Guards against peers that learn only with the next regular digest that a
   target is unresponsive, has unanswered data, or is responsive again.  Of the
   unanswered packets of each kind only the first one counts.  */
START_TEST (test_liveness_changes_are_counted)
{
  struct am_target *t = add_target (&f, 1, NEAR);

  open_flow_at (&f, 1);
  send_packet (&f, data (1, t->ticket, 1001, 100, 1));
  ck_assert_uint_eq (f.path.liveness_changes, 0);
  f.now_us += 200 * MS;
  send_packet (&f, data (1, t->ticket, 1001, 100, 1));
  ck_assert_uint_eq (f.path.liveness_changes, 1);
  for (unsigned i = 0; i < 2; i++)
    {
      f.now_us += 400 * MS;
      send_packet (&f, data (1, t->ticket, 1001, 100, 1));
      ck_assert_uint_eq (f.path.liveness_changes, 2);
    }
  send_packet (&f, data (1, t->ticket, 1101, 0, 500));
  ck_assert_uint_eq (f.path.liveness_changes, 3);
  send_packet (&f, data (1, t->ticket, 1101, 0, 900));
  ck_assert_uint_eq (f.path.liveness_changes, 3);
}
END_TEST

/* Guards against old evidence of a failure that resets flows of a target that
   is reachable again.  */
START_TEST (test_old_failures_are_not_conclusive)
{
  struct am_target *t = add_target (&f, 1, NEAR);

  open_flow_at (&f, 1);
  send_packet (&f, data (1, t->ticket, 1001, 100, 1));
  for (unsigned i = 0; i < 5; i++)
    {
      f.now_us += 200 * MS;
      am_liveness_data_unanswered (t, f.now_us, f.now_us);
    }
  ck_assert (am_liveness_failed (t, 0, f.now_us));
  f.now_us += 5000 * MS;
  expect (send_packet (&f, data (2, t->ticket, 1001, 100, 1)),
          AM_VERDICT_FORWARD, AM_REASON_TICKET);
}
END_TEST

/* ---- SYN queue ---------------------------------------------------- */

/* Guards against SYNs that are refused before the first configuration has been
   received.  */
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

/* Guards against callers of a VM that has just started which are reset because
   all SYNs that waited for the configuration ask for room at once: those
   without it wait on.  */
START_TEST (test_syns_of_the_start_wait_for_room)
{
  enum
  {
    CALLERS = 20
  };
  struct flow_fixture g;
  struct am_queued_syn w;
  struct am_decision d;
  unsigned placed = 0;

  flow_begin (&g);
  add_target (&g, 1, NEAR);
  for (uint16_t port = 1; port <= CALLERS; port++)
    send_packet (&g, syn (port, 0));
  set_routes (&g, 1, 1);
  while (am_path_dequeue (&g.path, &w, &d, g.now_us))
    {
      ck_assert_int_ne (d.verdict, AM_VERDICT_RESET);
      placed += d.verdict == AM_VERDICT_FORWARD;
    }
  ck_assert_uint_ge (placed, 2);
  ck_assert_uint_eq (g.path.queue.count, CALLERS - placed);
  flow_end (&g);
}
END_TEST

/* A caller after an outage.  */
struct attempt
{
  uint64_t asked_us; /* its first SYN */
  unsigned count;    /* attempts so far */
  bool fresh;        /* asks since the end of the outage */
};

/* A request at its target.  Each target serves two requests at a time, in
   order of arrival.  */
struct work
{
  struct attempt attempt;
  uint64_t arrived_us; /* at its target */
  uint64_t target;
  uint16_t port;
  bool done;
};

#define WORK_MAX 4000
#define TARGETS 5
#define SERVICE_US (30 * MS)
#define OBJECTIVE_MS 150
#define ATTEMPTS_MAX 3

static struct work work[WORK_MAX];
static size_t work_count;

/* By port; each attempt has its own.  */
static struct attempt attempts[WORK_MAX];
static uint16_t last_port;

/* Callers whose attempt was reset: they return a millisecond later.  */
static struct attempt returns[WORK_MAX];
static size_t return_count;

/* Completes the requests that are due at NOW_US and sends the acknowledgements
   of their callers to the path.  Returns the number of fresh requests that
   were completed within their objective.  */
static unsigned
finish_work (uint64_t now_us)
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
          in_time += w->attempt.fresh
                     && *slot - w->attempt.asked_us <= OBJECTIVE_MS * MS;
          f.now_us = now_us;
          send_packet (&f,
                       data (w->port, am_target_ticket (id), 1101, 0, 500));
        }
    }
  return in_time;
}

static void
begin_work (const struct am_packet *p, const struct am_decision *d)
{
  struct work *w = &work[work_count++];

  ck_assert_uint_lt (work_count, WORK_MAX);
  *w = (struct work){ .attempt = attempts[p->caller.port],
                      .arrived_us = f.now_us,
                      .target = d->target->spec.id,
                      .port = p->caller.port };
  send_packet (&f, data (p->caller.port, d->target->ticket, 1001, 0, 1));
  send_packet (&f, data (p->caller.port, d->target->ticket, 1001, 100, 1));
}

static void
note_decision (const struct am_packet *p, const struct am_decision *d)
{
  const struct attempt *a = &attempts[p->caller.port];

  if (d->verdict == AM_VERDICT_FORWARD)
    begin_work (p, d);
  if (d->verdict == AM_VERDICT_RESET && a->count < ATTEMPTS_MAX)
    returns[return_count++] = *a;
}

/* Sends the SYN of an attempt of A: the first transmission, or a later one
   whose first was lost in the outage.  */
static void
arrive (struct attempt a, uint32_t retransmission)
{
  struct am_packet p = syn (++last_port, retransmission);
  struct am_decision d;

  ck_assert_uint_lt (last_port, WORK_MAX);
  a.count++;
  attempts[last_port] = a;
  d = send_packet (&f, p);
  note_decision (&p, &d);
}

static void
return_callers (void)
{
  size_t n = return_count;
  struct attempt due[WORK_MAX];

  memcpy (due, returns, n * sizeof *due);
  return_count = 0;
  for (size_t i = 0; i < n; i++)
    arrive (due[i], 0);
}

/* Sends a retransmission.  If callers do NOT_WAIT, each has been reset at once
   and returns.  */
static void
arrive_again (uint32_t retransmission, bool not_wait)
{
  struct attempt a = { .count = not_wait };

  arrive (a, not_wait ? 0 : retransmission);
}

/* Simulates the first second after an outage of 1.4 s: fresh SYNs at half the
   capacity of five targets of two slots, and with them the first
   retransmissions of the SYNs sent in the last 200 ms and the second ones of
   those sent in the 600 ms before.  Returns the number of fresh requests that
   were completed within their objective.  */
static unsigned
simulate_outage (bool not_wait)
{
  unsigned in_time = 0;

  flow_begin (&f);
  set_priorities (&f, OBJECTIVE_MS);
  work_count = 0;
  return_count = 0;
  last_port = 0;
  for (uint64_t id = 1; id <= TARGETS; id++)
    add_target (&f, id, NEAR);
  for (unsigned ms = 0; ms < 1500; ms++)
    {
      struct am_queued_syn w;
      struct am_decision d;

      f.now_us = START_US + ms * MS;
      in_time += finish_work (f.now_us);
      while (am_path_dequeue (&f.path, &w, &d, f.now_us))
        note_decision (&w.packet, &d);
      return_callers ();
      /* The capacity is 333 requests per second.  */
      if (ms % 6 == 0 && ms < 1000)
        arrive ((struct attempt){ .asked_us = f.now_us, .fresh = true }, 0);
      if (ms % 6 == 1 && ms < 200)
        arrive_again (1, not_wait);
      if (ms % 6 == 2 && ms < 600)
        arrive_again (2, not_wait);
      if (ms % 6 == 3 && ms < 600)
        arrive_again (2, not_wait);
    }
  flow_end (&f);
  return in_time;
}

/* Guards against fresh requests that queue behind those of callers who return
   at once after an outage, and have already missed their deadline.  Of 167
   fresh requests, more are in time if retransmissions wait for free slots.  */
START_TEST (test_retransmissions_wait_after_an_outage)
{
  unsigned without;
  unsigned with;

  flow_end (&f);
  without = simulate_outage (true);
  with = simulate_outage (false);
  ck_assert_uint_gt (with, without);
  ck_assert_uint_ge (with, 150);
  begin ();
}
END_TEST

/* Guards against a SYN that is sent to a target which this VM alone has
   filled, because its time to wait is over.  */
START_TEST (test_queued_syn_is_reset_without_room)
{
  struct am_target *t = add_target (&f, 1, NEAR);
  struct am_queued_syn w;
  struct am_decision d;

  t->load.busy = t->load.recent = 10;
  send_packet (&f, syn (1, 0));
  f.now_us += 600 * MS;
  expect (send_packet (&f, syn (1, 2)), AM_VERDICT_WAIT, AM_REASON_BUSY);
  f.now_us += 649 * MS;
  ck_assert (!am_path_dequeue (&f.path, &w, &d, f.now_us));
  f.now_us += 1 * MS;
  ck_assert (am_path_dequeue (&f.path, &w, &d, f.now_us));
  expect (d, AM_VERDICT_RESET, AM_REASON_OVERLOADED);
}
END_TEST

/* Two callers, of whose SYNs the first transmissions did not reach this VM,
   wait until slots are free.  Guards against a SYN that is placed then, and
   against callers that are told to return all at once.  */
START_TEST (test_unseen_syns_wait_and_are_reset_in_turn)
{
  struct am_target *t = add_target (&f, 1, NEAR);
  struct am_queued_syn w;
  struct am_decision d;

  am_service_stats_add_response (&f.path.service_stats, ORDERS, 30 * MS,
                                 f.now_us);
  t->load.busy = t->load.recent = 10;
  for (uint16_t port = 1; port <= 2; port++)
    expect (send_packet (&f, syn (port, 1)), AM_VERDICT_WAIT, AM_REASON_BUSY);
  ck_assert (!am_path_dequeue (&f.path, &w, &d, f.now_us));
  t->load.busy = t->load.recent = 0;
  f.now_us += 1 * MS;
  ck_assert (am_path_dequeue (&f.path, &w, &d, f.now_us));
  expect (d, AM_VERDICT_RESET, AM_REASON_FIRST_SYN_UNSEEN);
  ck_assert (!am_path_dequeue (&f.path, &w, &d, f.now_us));
  f.now_us += 30 * MS;
  ck_assert (am_path_dequeue (&f.path, &w, &d, f.now_us));
  expect (d, AM_VERDICT_RESET, AM_REASON_FIRST_SYN_UNSEEN);
  ck_assert_uint_eq (f.path.flows.count, 0);
}
END_TEST

/* Guards against a SYN that is not placed because a retransmission of it was
   read first: links reorder.  */
START_TEST (test_first_syn_after_its_retransmission_is_placed)
{
  struct am_target *t = add_target (&f, 1, NEAR);
  struct am_queued_syn w;
  struct am_decision d;

  t->load.busy = t->load.recent = 10;
  expect (send_packet (&f, syn (1, 1)), AM_VERDICT_WAIT, AM_REASON_BUSY);
  expect (send_packet (&f, syn (1, 0)), AM_VERDICT_WAIT, AM_REASON_NO_ROOM);
  t->load.busy = t->load.recent = 0;
  f.now_us += 1 * MS;
  ck_assert (am_path_dequeue (&f.path, &w, &d, f.now_us));
  expect (d, AM_VERDICT_FORWARD, AM_REASON_PLACED);
  ck_assert (!am_path_dequeue (&f.path, &w, &d, f.now_us));
}
END_TEST

/* Guards against a caller that waits for its time-out although its SYN cannot
   be queued.  */
START_TEST (test_syn_is_reset_if_queue_is_full)
{
  struct flow_fixture g;

  flow_begin (&g);
  for (uint16_t i = 0; i < AM_SYN_QUEUE_MAX; i++)
    ck_assert_int_eq (send_packet (&g, syn ((uint16_t)(1000 + i), 0)).verdict,
                      AM_VERDICT_WAIT);
  expect (send_packet (&g, syn (1, 0)), AM_VERDICT_RESET,
          AM_REASON_NO_CONFIGURATION);
  flow_end (&g);
}
END_TEST

/* Guards against SYNs that are sent to targets after their callers have given
   up: without a configuration nothing left the queue.  */
START_TEST (test_syn_without_configuration_is_reset_in_time)
{
  struct flow_fixture g;
  struct am_queued_syn w;
  struct am_decision d;

  flow_begin (&g);
  send_packet (&g, syn (1, 0));
  g.now_us += 1200 * MS;
  ck_assert (!am_path_dequeue (&g.path, &w, &d, g.now_us));
  g.now_us += 100 * MS;
  ck_assert (am_path_dequeue (&g.path, &w, &d, g.now_us));
  ck_assert_int_eq (d.verdict, AM_VERDICT_RESET);
  ck_assert_int_eq (d.reason, AM_REASON_NO_CONFIGURATION);
  ck_assert_uint_eq (g.path.queue.count, 0);
  flow_end (&g);
}
END_TEST

/* Guards against a SYN that is queued until its attempt has timed out.  */
START_TEST (test_queued_syn_is_sent_before_its_attempt_times_out)
{
  struct am_target *t = add_target (&f, 1, NEAR);
  struct am_queued_syn w;
  struct am_decision d;

  t->load.busy = t->load.recent = 10;
  send_packet (&f, syn (1, 0));
  f.now_us += 600 * MS;
  t->load.busy = t->load.recent = 0;
  t->peers_load.busy = 10;
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
  tcase_add_test (tc, test_any_vm_forwards_any_flow);
  tcase_add_test (tc, test_draining_target_keeps_its_flows);
  tcase_add_test (tc, test_unknown_ticket_is_dropped_until_targets_complete);
  tcase_add_test (tc, test_flow_of_removed_target_is_reset);
  tcase_add_test (tc, test_removed_target_that_answers_keeps_its_flow);
  tcase_add_test (tc, test_lost_syn_ack_leaves_one_target);
  tcase_add_test (tc, test_syn_of_another_vm_is_not_placed);
  tcase_add_test (tc, test_restarted_vm_does_not_place_a_retransmitted_syn);
  tcase_add_test (tc, test_late_syn_of_an_open_flow_is_dropped);
  tcase_add_test (tc, test_queued_syn_is_placed_once);
  tcase_add_test (tc, test_attempt_after_a_reset_goes_to_another_target);
  tcase_add_test (tc, test_retransmission_goes_to_a_working_target_again);
  tcase_add_test (tc, test_retransmission_is_not_sent_to_a_draining_target);
  tcase_add_test (tc, test_early_retransmission_goes_to_the_same_target);
  tcase_add_test (tc, test_flows_of_a_failed_target_are_reset);
  tcase_add_test (tc, test_flows_of_a_full_target_are_kept);
  tcase_add_test (tc, test_flows_with_long_requests_are_kept);
  tcase_add_test (tc, test_flows_of_a_slow_target_are_kept);
  tcase_add_test (tc, test_orphaned_flows_are_reset);
  tcase_add_test (tc, test_restart_keeps_the_load_of_known_flows);
  tcase_add_test (tc, test_liveness_changes_are_counted);
  tcase_add_test (tc, test_old_failures_are_not_conclusive);
  tcase_add_test (tc, test_syn_waits_for_the_first_configuration);
  tcase_add_test (tc, test_retransmissions_wait_after_an_outage);
  tcase_add_test (tc, test_queued_syn_is_sent_before_its_attempt_times_out);
  tcase_add_test (tc, test_syns_of_the_start_wait_for_room);
  tcase_add_test (tc, test_queued_syn_is_reset_without_room);
  tcase_add_test (tc, test_unseen_syns_wait_and_are_reset_in_turn);
  tcase_add_test (tc, test_first_syn_after_its_retransmission_is_placed);
  tcase_add_test (tc, test_syn_is_reset_if_queue_is_full);
  tcase_add_test (tc, test_syn_without_configuration_is_reset_in_time);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
