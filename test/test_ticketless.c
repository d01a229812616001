/* Ticketless requests through whole forwarders.  */

#include "core_fixture.h"

#include "core/ownership/ticketless.h"
#include "core/placement/admission.h"
#include "suite.h"

#define ID 4711u

static struct net net;
static struct config config;

static void
begin (void)
{
  net_init (&net, 2);
  config_init (&config, AMARANTH__BINDING__BINDING_TRACKED, 2, 2);
  config.service.n_classes = 1;
  net_apply_all (&net, &config);
  net_run (&net, SECOND / 5);
  net.kept_count = 0;
}

static int
give_epoch (size_t node, uint64_t epoch, uint64_t until_us, bool leaving)
{
  Amaranth__OwnerGrant g = AMARANTH__OWNER_GRANT__INIT;
  struct am_event e = { .type = AM_EVENT_GRANT };
  uint8_t buf[64];

  g.service_id = config.service.id;
  g.boot_id = net.nodes[node].board.self.boot_id;
  g.epoch = epoch;
  g.until_us = until_us;
  g.first = epoch == 1;
  g.handed = epoch > 1;
  g.leaving = leaving;
  e.len = amaranth__owner_grant__pack (&g, buf);
  e.data = buf;
  return net_event (&net, node, &e);
}

static int
give (size_t node, uint64_t until_us, bool leaving)
{
  return give_epoch (node, 1, until_us, leaving);
}

/* Lets the claims of owners reach the other VMs.  */
static void
pass_claims (void)
{
  net_run (&net, 2 * (uint64_t)SECOND);
  net_pump (&net);
}

static void
send_packet (size_t node, uint8_t type, uint64_t id)
{
  struct am_request_body head = { .deadline_ms = 3000 };
  uint8_t body[AM_REQUEST_BODY_SIZE + 2] = { 0 };
  struct am_packet p = { .type = type, .connection_id = id };

  am_request_body_encode (&head, body);
  p.body = body;
  p.body_len = type == AM_PACKET_REQUEST ? sizeof body : 0;
  net_from_caller (&net, node, &p);
  net_pump (&net);
}

/* Takes the next outcome to the caller.  */
static void
expect_outcome (enum am_outcome outcome, int error)
{
  struct am_packet p = net_to_caller (&net, AM_PACKET_OUTCOME);
  struct am_outcome_body o;

  ck_assert_int_eq (am_outcome_body_decode (&o, p.body, p.body_len), AM_OK);
  ck_assert_uint_eq (o.outcome, outcome);
  ck_assert_int_eq (o.error, error);
}

/* A request to NODE must be told UNKNOWN and not run.  */
static void
expect_no_owner (size_t node, uint64_t id)
{
  send_packet (node, AM_PACKET_REQUEST, id);
  expect_outcome (AM_OUTCOME_UNKNOWN, AM_E_NO_OWNER);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_STREAM), 0);
}

/* Takes the request that node 0 handed to an upstream and answers it.  */
static void
answer (void)
{
  struct kept_action *k = net_take (&net, AM_ACTION_STREAM);
  uint8_t body[AM_LOAD_SIZE + 4] = { 0 };
  uint8_t buf[256];
  struct am_event e = { .type = AM_EVENT_STREAM, .data = buf };
  struct am_packet p;

  ck_assert_ptr_nonnull (k);
  ck_assert_uint_eq (k->node, 0);
  ck_assert_int_eq (am_packet_decode_stream (&p, k->data, k->a.len), AM_OK);
  p.type = AM_PACKET_ANSWER;
  p.body = body;
  p.body_len = sizeof body;
  am_packet_encode (&p, buf, sizeof buf, &e.len);
  e.service_id = k->a.service_id;
  e.upstream_id = k->a.upstream_id;
  ck_assert_int_eq (net_event (&net, 0, &e), AM_OK);
}

/* Guards against a request that runs without an owner or away from it, twice,
   or whose copy gets no answer.  */
START_TEST (runs_at_the_owner)
{
  begin ();
  expect_no_owner (0, ID);
  ck_assert_int_eq (give (0, net.now_us + 10 * (uint64_t)SECOND, false),
                    AM_OK);
  pass_claims ();
  send_packet (1, AM_PACKET_REQUEST, ID);
  send_packet (0, AM_PACKET_REQUEST, ID);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_STREAM), 1);
  answer ();
  net_to_caller (&net, AM_PACKET_ANSWER);
  send_packet (1, AM_PACKET_REQUEST, ID);
  net_to_caller (&net, AM_PACKET_ANSWER);
  net_run (&net, 11 * (uint64_t)SECOND);
  net.kept_count = 0;
  expect_no_owner (1, ID + 1);
  net_finish (&net);
}
END_TEST

static uint64_t
forwarded (void)
{
  uint64_t sum = 0;

  for (size_t i = 0; i < net.count; i++)
    sum += net.nodes[i].board.counters.forwarded;
  return sum;
}

/* Three nodes of which the last is outside the home set and passes to node 1
   when it knows no owner.  */
static void
begin_outside (void)
{
  net_init (&net, 3);
  config_init (&config, AMARANTH__BINDING__BINDING_TRACKED, 2, 3);
  config.service.n_classes = 1;
  config.member[0].state = AMARANTH__MEMBER_STATE__MEMBER_SUSPECT;
  config.member[2].region = "other";
  snprintf (net.nodes[2].board.self.region,
            sizeof net.nodes[2].board.self.region, "other");
  net_apply_all (&net, &config);
  give (0, net.now_us + 10 * (uint64_t)SECOND, false);
  pass_claims ();
  net.kept_count = 0;
}

/* Guards against a caller of a VM outside the home set that is told UNKNOWN
   although there is an owner, and against one that asks a VM which is the
   owner no more until its knowledge ends.  */
START_TEST (outside_the_home_set)
{
  begin_outside ();
  send_packet (2, AM_PACKET_REQUEST, ID);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_CALLER), 0);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_STREAM), 0);
  for (unsigned i = 0; i < 2; i++)
    {
      send_packet (2, AM_PACKET_REQUEST, ID + i); /* the first one again */
      answer ();
      net_to_caller (&net, AM_PACKET_ANSWER);
    }
  give (0, 0, false);
  expect_no_owner (2, ID + 2);
  ck_assert_uint_eq (net.nodes[2].board.owned->owner_id, 0);
  net_run (&net, 3 * (uint64_t)SECOND);
  net.kept_count = 0;
  expect_no_owner (2, ID + 3);
  net_finish (&net);
}
END_TEST

/* Guards against a request that goes round between VMs that hold each other
   for the owner.  */
START_TEST (one_hop)
{
  uint64_t before;

  begin_outside ();
  give_epoch (1, 2, net.now_us + 2 * (uint64_t)SECOND, false);
  pass_claims ();
  give (0, 0, false);
  net.kept_count = 0;
  for (unsigned i = 0; i < 10; i++)
    {
      before = forwarded ();
      send_packet (i % 3, AM_PACKET_REQUEST, ID + i);
      ck_assert_uint_le (forwarded (), before + 1);
    }
  ck_assert_uint_eq (net_count (&net, AM_ACTION_STREAM), 0);
  net_finish (&net);
}
END_TEST

/* Guards against work that an upstream may begin after the lease's end.  */
START_TEST (ends_with_the_lease)
{
  struct kept_action *k;
  struct am_run_body run;
  struct am_packet p;

  begin ();
  give (0, net.now_us + SECOND, false);
  send_packet (0, AM_PACKET_REQUEST, ID);
  k = net_take (&net, AM_ACTION_STREAM);
  ck_assert_ptr_nonnull (k);
  ck_assert_int_eq (am_packet_decode_stream (&p, k->data, k->a.len), AM_OK);
  ck_assert_int_eq (am_run_body_decode (&run, p.body, p.body_len), AM_OK);
  ck_assert_uint_eq (run.remaining_ms, 1000);
  ck_assert_uint_eq (run.not_after_ms, 1000); /* the wall clock shows 0 */
  net_finish (&net);
}
END_TEST

/* Lets the table reach node 1 and the acknowledgements node 0.  */
static void
hand_over (void)
{
  for (int i = 0; i < 30; i++)
    {
      net_run (&net, SECOND / 50);
      net_pump (&net);
    }
}

/* Guards against a grant given up while a request runs or taken up again
   afterwards, against an outcome told for a request between the two owners,
   and against a successor that runs what is in the table or has a grace
   although it has the whole table.  */
START_TEST (gives_up)
{
  begin ();
  give (0, net.now_us + 10 * (uint64_t)SECOND, false);
  for (unsigned i = 0; i < 5; i++)
    send_packet (0, AM_PACKET_REQUEST, ID + i);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_STREAM), 4);
  give (0, net.now_us + 10 * (uint64_t)SECOND, true);
  net_run (&net, SECOND / 5);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_CONTROL), 0);
  send_packet (0, AM_PACKET_REQUEST, ID + 9);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_CALLER), 0);
  for (unsigned i = 0; i < 5; i++)
    {
      answer ();
      net_to_caller (&net, AM_PACKET_ANSWER);
    }
  hand_over ();
  ck_assert_uint_eq (net_count (&net, AM_ACTION_CONTROL), 1);
  ck_assert_int_eq (give (0, net.now_us + 10 * (uint64_t)SECOND, false),
                    AM_E_REVISION);
  send_packet (1, AM_PACKET_REQUEST, ID + 10);
  send_packet (0, AM_PACKET_REQUEST, ID + 10);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_CALLER), 0);
  ck_assert_int_eq (
      give_epoch (1, 2, net.now_us + 10 * (uint64_t)SECOND, false), AM_OK);
  send_packet (1, AM_PACKET_REQUEST, ID);
  expect_outcome (AM_OUTCOME_UNKNOWN, AM_E_FORGOTTEN);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_STREAM), 0);
  send_packet (1, AM_PACKET_REQUEST, ID + 11);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_STREAM), 1);
  net_finish (&net);
}
END_TEST

/* Guards against a queued request that is sent after the grant was taken
   back.  */
START_TEST (grant_taken_back)
{
  begin ();
  give (0, net.now_us + 10 * (uint64_t)SECOND, false);
  for (unsigned i = 0; i < 5; i++)
    send_packet (0, AM_PACKET_REQUEST, ID + i);
  give (0, 0, false);
  answer ();
  net_to_caller (&net, AM_PACKET_ANSWER);
  expect_outcome (AM_OUTCOME_NOT_RUN, AM_E_NO_OWNER);
  net_finish (&net);
}
END_TEST

/* Guards against an owner that refuses, with places for the share of one home
   VM, what all of them would have queued, and against a queue without end.  */
START_TEST (queues_for_all_home_vms)
{
  begin ();
  give (0, net.now_us + 10 * (uint64_t)SECOND, false);
  for (unsigned i = 0; i < 4 + 2 * AM_QUEUE_LIMIT_DEFAULT; i++)
    send_packet (i % 2, AM_PACKET_REQUEST, ID + i);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_STREAM), 4);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_CALLER), 0);
  send_packet (0, AM_PACKET_REQUEST, ID - 1);
  expect_outcome (AM_OUTCOME_NOT_RUN, AM_E_QUEUE_FULL);
  net_finish (&net);
}
END_TEST

/* Guards against a cancelled id that a later copy runs, and against payload of
   opaque callers taken for a request.  */
START_TEST (cancel_and_payload)
{
  begin ();
  give (0, net.now_us + 10 * (uint64_t)SECOND, false);
  send_packet (0, AM_PACKET_CANCEL, ID);
  expect_outcome (AM_OUTCOME_NOT_RUN, AM_E_CANCELLED);
  send_packet (0, AM_PACKET_REQUEST, ID);
  expect_outcome (AM_OUTCOME_NOT_RUN, AM_E_CANCELLED);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_STREAM), 0);
  send_packet (0, AM_PACKET_PING, ID);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_UPSTREAM), 1);
  net_finish (&net);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("owned");
  TCase *t = tcase_create ("owned");

  tcase_add_test (t, runs_at_the_owner);
  tcase_add_test (t, outside_the_home_set);
  tcase_add_test (t, one_hop);
  tcase_add_test (t, ends_with_the_lease);
  tcase_add_test (t, gives_up);
  tcase_add_test (t, grant_taken_back);
  tcase_add_test (t, cancel_and_payload);
  tcase_add_test (t, queues_for_all_home_vms);
  suite_add_tcase (s, t);
  return suite_run (s);
}
