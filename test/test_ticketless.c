/* Ticketless requests in complete forwarders on a simulated network.  */

#include "core_fixture.h"

#include "core/ownership/ticketless.h"
#include "core/placement/admission.h"
#include "suite.h"

#define ID 4711u

static struct net net;
static struct config config;

static void
start (void)
{
  net_init (&net, 2);
  config_init (&config, AMARANTH__BINDING__BINDING_TRACKED, 2, 2);
  config.service.n_classes = 1;
  net_apply_all (&net, &config);
  net_run (&net, SECOND / 5);
  net.kept_count = 0;
}

static int
grant_epoch (size_t node, uint64_t epoch, uint64_t until_us, bool leaving)
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
grant (size_t node, uint64_t until_us, bool leaving)
{
  return grant_epoch (node, 1, until_us, leaving);
}

/* Delivers the announcements of owners to the other VMs.  */
static void
deliver_announcements (void)
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

/* Checks the next outcome sent to the caller.  */
static void
expect_outcome (enum am_outcome outcome, int error)
{
  struct am_packet p = net_to_caller (&net, AM_PACKET_OUTCOME);
  struct am_outcome_body o;

  ck_assert_int_eq (am_outcome_body_decode (&o, p.body, p.body_len), AM_OK);
  ck_assert_uint_eq (o.outcome, outcome);
  ck_assert_int_eq (o.error, error);
}

/* Checks that a request to NODE gets UNKNOWN and is not executed.  */
static void
expect_no_owner (size_t node, uint64_t id)
{
  send_packet (node, AM_PACKET_REQUEST, id);
  expect_outcome (AM_OUTCOME_UNKNOWN, AM_E_NO_OWNER);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_STREAM), 0);
}

/* Answers the next request that node 0 sent to an upstream.  */
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

/* Guards against a request that is executed without an owner, on another VM or
   twice, and against a retransmission that gets no answer.  */
START_TEST (executes_at_the_owner)
{
  start ();
  expect_no_owner (0, ID);
  ck_assert_int_eq (grant (0, net.now_us + 10 * (uint64_t)SECOND, false),
                    AM_OK);
  deliver_announcements ();
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

/* Starts three nodes, of which the last is outside the home set and forwards
   to node 1 if it knows no owner.  */
static void
start_outside_home_set (void)
{
  net_init (&net, 3);
  config_init (&config, AMARANTH__BINDING__BINDING_TRACKED, 2, 3);
  config.service.n_classes = 1;
  config.member[0].state = AMARANTH__MEMBER_STATE__MEMBER_SUSPECT;
  config.member[2].region = "other";
  snprintf (net.nodes[2].board.self.region,
            sizeof net.nodes[2].board.self.region, "other");
  net_apply_all (&net, &config);
  grant (0, net.now_us + 10 * (uint64_t)SECOND, false);
  deliver_announcements ();
  net.kept_count = 0;
}

/* Guards against a VM outside the home set that replies UNKNOWN to a caller
   although there is an owner, and against one that forwards to a former owner
   until its cached owner expires.  */
START_TEST (outside_the_home_set)
{
  start_outside_home_set ();
  send_packet (2, AM_PACKET_REQUEST, ID);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_CALLER), 0);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_STREAM), 0);
  for (unsigned i = 0; i < 2; i++)
    {
      send_packet (2, AM_PACKET_REQUEST,
                   ID + i); /* retransmits the first one */
      answer ();
      net_to_caller (&net, AM_PACKET_ANSWER);
    }
  grant (0, 0, false);
  expect_no_owner (2, ID + 2);
  ck_assert_uint_eq (net.nodes[2].board.owned->owner_id, 0);
  net_run (&net, 3 * (uint64_t)SECOND);
  net.kept_count = 0;
  expect_no_owner (2, ID + 3);
  net_finish (&net);
}
END_TEST

/* Guards against a forwarding loop between VMs that each have the other cached
   as the owner.  */
START_TEST (one_hop)
{
  uint64_t before;

  start_outside_home_set ();
  grant_epoch (1, 2, net.now_us + 2 * (uint64_t)SECOND, false);
  deliver_announcements ();
  grant (0, 0, false);
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

/* Guards against a request that an upstream may begin to execute after the end
   of the lease.  */
START_TEST (ends_with_the_lease)
{
  struct kept_action *k;
  struct am_run_body run;
  struct am_packet p;

  start ();
  grant (0, net.now_us + SECOND, false);
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

/* Delivers the table to node 1 and the acknowledgements to node 0.  */
static void
deliver_table (void)
{
  for (int i = 0; i < 30; i++)
    {
      net_run (&net, SECOND / 50);
      net_pump (&net);
    }
}

/* Guards against a grant that is released while a request is in progress or is
   accepted again afterwards, an outcome sent for a request between the two
   owners, and a successor that executes a request in the table or applies a
   grace time although it has the complete table.  */
START_TEST (releases_ownership)
{
  start ();
  grant (0, net.now_us + 10 * (uint64_t)SECOND, false);
  for (unsigned i = 0; i < 5; i++)
    send_packet (0, AM_PACKET_REQUEST, ID + i);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_STREAM), 4);
  grant (0, net.now_us + 10 * (uint64_t)SECOND, true);
  net_run (&net, SECOND / 5);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_CONTROL), 0);
  send_packet (0, AM_PACKET_REQUEST, ID + 9);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_CALLER), 0);
  for (unsigned i = 0; i < 5; i++)
    {
      answer ();
      net_to_caller (&net, AM_PACKET_ANSWER);
    }
  deliver_table ();
  ck_assert_uint_eq (net_count (&net, AM_ACTION_CONTROL), 1);
  ck_assert_int_eq (grant (0, net.now_us + 10 * (uint64_t)SECOND, false),
                    AM_E_REVISION);
  send_packet (1, AM_PACKET_REQUEST, ID + 10);
  send_packet (0, AM_PACKET_REQUEST, ID + 10);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_CALLER), 0);
  ck_assert_int_eq (
      grant_epoch (1, 2, net.now_us + 10 * (uint64_t)SECOND, false), AM_OK);
  send_packet (1, AM_PACKET_REQUEST, ID);
  expect_outcome (AM_OUTCOME_UNKNOWN, AM_E_FORGOTTEN);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_STREAM), 0);
  send_packet (1, AM_PACKET_REQUEST, ID + 11);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_STREAM), 1);
  net_finish (&net);
}
END_TEST

/* Guards against a queued request that is sent to an upstream after the grant
   was withdrawn.  */
START_TEST (grant_withdrawn)
{
  start ();
  grant (0, net.now_us + 10 * (uint64_t)SECOND, false);
  for (unsigned i = 0; i < 5; i++)
    send_packet (0, AM_PACKET_REQUEST, ID + i);
  grant (0, 0, false);
  answer ();
  net_to_caller (&net, AM_PACKET_ANSWER);
  expect_outcome (AM_OUTCOME_NOT_RUN, AM_E_NO_OWNER);
  net_finish (&net);
}
END_TEST

/* Guards against an owner whose queue is limited to the share of one home VM,
   so that it refuses requests that all home VMs together would have queued,
   and against an unlimited queue.  */
START_TEST (queues_for_all_home_vms)
{
  start ();
  grant (0, net.now_us + 10 * (uint64_t)SECOND, false);
  for (unsigned i = 0; i < 4 + 2 * AM_QUEUE_LIMIT_DEFAULT; i++)
    send_packet (i % 2, AM_PACKET_REQUEST, ID + i);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_STREAM), 4);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_CALLER), 0);
  send_packet (0, AM_PACKET_REQUEST, ID - 1);
  expect_outcome (AM_OUTCOME_NOT_RUN, AM_E_QUEUE_FULL);
  net_finish (&net);
}
END_TEST

/* Guards against a retransmission that executes a cancelled request, and
   against payload of opaque callers that is mistaken for a request.  */
START_TEST (cancel_and_payload)
{
  start ();
  grant (0, net.now_us + 10 * (uint64_t)SECOND, false);
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
  Suite *s = suite_create ("ticketless");
  TCase *t = tcase_create ("ticketless");

  tcase_add_test (t, executes_at_the_owner);
  tcase_add_test (t, outside_the_home_set);
  tcase_add_test (t, one_hop);
  tcase_add_test (t, ends_with_the_lease);
  tcase_add_test (t, releases_ownership);
  tcase_add_test (t, grant_withdrawn);
  tcase_add_test (t, cancel_and_payload);
  tcase_add_test (t, queues_for_all_home_vms);
  suite_add_tcase (s, t);
  return suite_run (s);
}
