/* Forwarder link, health verdicts, and what a newly started agent may send. */

#include "base/hash.h"
#include "control_net.h"
#include "suite.h"

static void
start (struct net *n, size_t nodes, uint64_t seed)
{
  net_init (n, nodes, 2, seed);
  net_store_put (n, "s0", 3, 3, 15);
  net_start_all (n);
  net_run (n, 12 * NET_SECOND);
}

static size_t
verdicts (const struct net *n, size_t node)
{
  return n->nodes[node].forwarder.snapshot->n_verdicts;
}

static void
report_failing_upstream (struct net *n, size_t node, const char *upstream)
{
  n->nodes[node].forwarder.failing_service = am_hash_name ("s0");
  n->nodes[node].forwarder.failing_upstream = am_hash_name (upstream);
}

/* Guards against a forwarder that does not receive the configuration or all
   members, or receives members with a wrong boot id.  */
START_TEST (snapshot_has_everything)
{
  struct net n;

  start (&n, 7, 1);
  for (size_t i = 0; i < 7; i++)
    {
      Amaranth__Snapshot *s = n.nodes[i].forwarder.snapshot;

      ck_assert_ptr_nonnull (s);
      ck_assert_uint_eq (s->n_members, 7);
      ck_assert_uint_eq (s->n_services, 1);
      ck_assert_uint_eq (s->services[0]->revision, 3);
      for (size_t k = 0; k < 7; k++)
        ck_assert_uint_eq (s->members[k]->boot_id,
                           n.nodes[k].forwarder.boot_id);
    }
  net_finish (&n);
}
END_TEST

/* Guards against a restarted agent that sends an empty or older snapshot, or
   one with itself as the only member, to the forwarder that kept running.  */
START_TEST (new_agent_keeps_revisions)
{
  struct net n;
  uint64_t before;

  start (&n, 7, (uint64_t)_i + 1);
  net_store_down (&n, _i % 2);
  before = n.nodes[3].forwarder.digest;
  net_kill (&n, 3);
  if (_i % 3 == 0)
    n.nodes[3].group = 1;
  net_start (&n, 3);
  for (int k = 0; k < 40; k++)
    {
      net_run (&n, NET_SECOND / 10);
      ck_assert_uint_eq (n.nodes[3].forwarder.lowered, 0);
      if (n.nodes[3].forwarder.digest != before)
        ck_assert_uint_eq (n.nodes[3].forwarder.snapshot->n_members, 7);
    }
  n.nodes[3].group = 0;
  net_run (&n, 12 * NET_SECOND);
  ck_assert_uint_eq (n.nodes[3].forwarder.snapshot->n_members, 7);
  ck_assert_uint_eq (n.nodes[3].forwarder.lowered, 0);
  net_finish (&n);
}
END_TEST

/* Guards against a fleet that starts without the store and gets no
   configuration, or gets it late, once the store is available, and against
   all agents reading the store at once.  */
START_TEST (cold_start_without_store)
{
  struct net n;

  net_init (&n, 9, 3, 3);
  net_store_put (&n, "s0", 1, 1, 3);
  n.store.down = true;
  net_start_all (&n);
  net_run (&n, 30 * NET_SECOND);
  for (size_t i = 0; i < 9; i++)
    {
      Amaranth__Snapshot *s = n.nodes[i].forwarder.snapshot;

      ck_assert (!s || s->n_services == 0);
    }
  net_store_down (&n, false);
  ck_assert_uint_lt (net_run_until_held (&n, "s0", 1, 20 * NET_SECOND),
                     12 * NET_SECOND);
  net_run (&n, 2 * NET_SECOND);
  for (size_t i = 0; i < 9; i++)
    ck_assert_uint_eq (n.nodes[i].forwarder.snapshot->n_services, 1);
  net_finish (&n);
}
END_TEST

/* Guards against more than ten snapshots per second.  */
START_TEST (snapshots_are_coalesced)
{
  struct net n;
  unsigned sent = 0;
  uint64_t last = 0;

  start (&n, 1, 4);
  last = n.nodes[0].forwarder.digest;
  for (uint64_t r = 4; r < 204; r++)
    {
      net_store_put (&n, "s0", r, r, 3);
      net_deliver_store (&n, 0);
      net_run (&n, 10000);
      sent += n.nodes[0].forwarder.digest != last;
      last = n.nodes[0].forwarder.digest;
    }
  net_run (&n, NET_SECOND);
  ck_assert_uint_le (sent, 21);
  ck_assert_uint_ge (sent, 10);
  ck_assert_uint_eq (n.nodes[0].forwarder.snapshot->services[0]->revision,
                     203);
  net_finish (&n);
}
END_TEST

/* Guards against a packet for one service that reaches another because two
   records have the same address.  */
START_TEST (address_conflict_is_omitted)
{
  struct net n;
  char *text;
  char *at;

  start (&n, 3, 5);
  text = net_record_text ("s1", 1, 1, 0);
  at = strstr (text, "127.60.100.2:8001");
  memcpy (at, "127.60.100.1:8001", 17);
  net_store_put (&n, "s1", 1, 1, 0);
  free (n.store.records[1].text);
  n.store.records[1].text = text;
  net_run (&n, 6 * NET_SECOND);
  for (size_t i = 0; i < 3; i++)
    {
      Amaranth__Snapshot *s = n.nodes[i].forwarder.snapshot;

      ck_assert_uint_eq (am_control_revision (n.nodes[i].control, "s1"), 1);
      ck_assert_uint_eq (s->n_services, 1);
      ck_assert_str_eq (s->services[0]->name, "s0");
    }
  net_finish (&n);
}
END_TEST

/* Guards against an ejection for all VMs on the evidence of a single observer,
   and against a second, independent observer that is not counted.  Evidence
   that an agent missed is retransmitted after 10 s.  */
START_TEST (two_observers_eject)
{
  struct net n;

  start (&n, 7, 6);
  report_failing_upstream (&n, 1, "s0-4");
  net_run (&n, 8 * NET_SECOND);
  for (size_t i = 0; i < 7; i++)
    ck_assert_uint_eq (verdicts (&n, i), 0);
  report_failing_upstream (&n, 5, "s0-4");
  net_run (&n, 12 * NET_SECOND);
  for (size_t i = 0; i < 7; i++)
    {
      Amaranth__Snapshot *s = n.nodes[i].forwarder.snapshot;

      ck_assert_uint_eq (s->n_verdicts, 1);
      ck_assert_uint_eq (s->verdicts[0]->upstream_id, am_hash_name ("s0-4"));
      ck_assert (s->verdicts[0]->ejected);
    }
  net_finish (&n);
}
END_TEST

/* Guards against evidence that stays in effect after its observer or its cause
   is gone.  */
START_TEST (evidence_expires)
{
  struct net n;

  start (&n, 7, 7);
  report_failing_upstream (&n, 1, "s0-4");
  report_failing_upstream (&n, 5, "s0-4");
  net_run (&n, 60 * NET_SECOND);
  ck_assert_uint_eq (verdicts (&n, 3), 1);
  n.nodes[1].forwarder.failing_service = 0;
  net_run (&n, 45 * NET_SECOND);
  for (size_t i = 0; i < 7; i++)
    ck_assert_uint_eq (verdicts (&n, i), 0);
  report_failing_upstream (&n, 1, "s0-4");
  net_run (&n, 10 * NET_SECOND);
  ck_assert_uint_eq (verdicts (&n, 3), 1);
  net_kill (&n, 5);
  net_run (&n, 20 * NET_SECOND);
  ck_assert_uint_eq (verdicts (&n, 3), 0);
  net_finish (&n);
}
END_TEST

/* Guards against ejections that make a whole service unavailable: at most 30 %
   of its upstreams in a data centre may be ejected.  The 15 upstreams
   alternate between two data centres, so 8 and 7 of them allow 2 and 2.  */
START_TEST (ejections_are_limited)
{
  Amaranth__UpstreamLoad loads[15];
  Amaranth__UpstreamLoad *list[15];
  Amaranth__Report r = AMARANTH__REPORT__INIT;
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;
  char name[32];
  struct net n;

  start (&n, 7, 8);
  for (unsigned i = 0; i < 15; i++)
    {
      snprintf (name, sizeof name, "s0-%u", i);
      amaranth__upstream_load__init (&loads[i]);
      loads[i].service_id = am_hash_name ("s0");
      loads[i].upstream_id = am_hash_name (name);
      loads[i].avoided = true;
      list[i] = &loads[i];
    }
  r.upstreams = list;
  r.n_upstreams = 15;
  e.body_case = AMARANTH__ENVELOPE__BODY_REPORT;
  e.report = &r;
  for (size_t node = 1; node < 4; node++)
    {
      r.boot_id = n.nodes[node].forwarder.boot_id;
      r.digest = n.nodes[node].forwarder.digest;
      net_message (&n, node, AM_CONTROL_FORWARDER, &e);
    }
  net_run (&n, 8 * NET_SECOND);
  for (size_t i = 0; i < 7; i++)
    {
      ck_assert_uint_eq (verdicts (&n, i), 4);
      ck_assert_uint_eq (
          n.nodes[i].forwarder.snapshot->verdicts[0]->upstream_id,
          n.nodes[0].forwarder.snapshot->verdicts[0]->upstream_id);
    }
  net_finish (&n);
}
END_TEST

/* Guards against an agent that reaches only an outdated store and sends older
   revisions than its forwarder reported, and against one that waits
   indefinitely instead of sending a snapshot with the members.  */
START_TEST (reported_revisions_are_kept)
{
  Amaranth__Service service = AMARANTH__SERVICE__INIT;
  Amaranth__Service *services[] = { &service };
  Amaranth__Snapshot s = AMARANTH__SNAPSHOT__INIT;
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;
  struct net n;

  net_init (&n, 1, 1, 9);
  net_store_put (&n, "s0", 3, 3, 3);
  n.nodes[0].forwarder.digest = 42;
  net_start (&n, 0);
  service.id = am_hash_name ("s0");
  service.name = (char *)"s0";
  service.revision = 5;
  s.services = services;
  s.n_services = 1;
  e.body_case = AMARANTH__ENVELOPE__BODY_SNAPSHOT;
  e.snapshot = &s;
  ck_assert_int_eq (net_message (&n, 0, AM_CONTROL_FORWARDER, &e), AM_OK);
  net_run (&n, 20 * NET_SECOND);
  ck_assert_uint_eq (am_control_revision (n.nodes[0].control, "s0"), 3);
  ck_assert_uint_eq (n.nodes[0].forwarder.snapshot->services[0]->revision, 5);
  ck_assert_uint_eq (n.nodes[0].forwarder.snapshot->n_services, 1);
  net_store_put (&n, "s0", 6, 6, 3);
  net_run (&n, 3 * NET_SECOND);
  ck_assert_uint_eq (n.nodes[0].forwarder.snapshot->services[0]->revision, 6);
  net_finish (&n);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("control_recovery");
  TCase *t = tcase_create ("recovery");

  tcase_set_timeout (t, 100);
  tcase_add_test (t, snapshot_has_everything);
  tcase_add_loop_test (t, new_agent_keeps_revisions, 0, 6);
  tcase_add_test (t, cold_start_without_store);
  tcase_add_test (t, snapshots_are_coalesced);
  tcase_add_test (t, address_conflict_is_omitted);
  tcase_add_test (t, two_observers_eject);
  tcase_add_test (t, evidence_expires);
  tcase_add_test (t, ejections_are_limited);
  tcase_add_test (t, reported_revisions_are_kept);
  suite_add_tcase (s, t);
  return suite_run (s);
}
