/* Election of store readers, and selection of a peer to pull from.  */

#include <stdio.h>

#include "base/hash.h"
#include "flow/fleet.h"
#include "flow/liveness.h"
#include "suite.h"

#define HERE am_hash_name ("here")
#define THERE am_hash_name ("there")
#define NOW 10000000u
#define PEER_TIMEOUT_US \
  (AM_FLEET_MISSED_DIGESTS_MAX * AM_FLEET_READER_INTERVAL_US)

static struct am_fleet f;
static struct am_target_table targets;

static void
begin (void)
{
  am_target_table_init (&targets);
  am_fleet_init (&f, "vm-0", HERE, 10, 0);
}

static void
end (void)
{
  am_fleet_finish (&f);
  am_target_table_finish (&targets);
}

static struct am_peer *
add_peer (const char *name, uint32_t data_centre, uint32_t link_mbps,
          bool reads, uint64_t revision)
{
  struct am_peer *p = am_fleet_get_or_add_peer (&f, name, NOW);

  ck_assert_ptr_nonnull (p);
  p->data_centre = data_centre;
  p->reads = reads;
  p->revision = revision;
  p->heard_us = NOW;
  p->loads_us = NOW;
  am_peer_set_link_mbps (p, link_mbps);
  return p;
}

/* Guards against every VM of a fleet reading the store, and against a VM with
   a narrow link that serves all peers.  */
START_TEST (test_widest_link_reads)
{
  ck_assert (am_fleet_should_read (&f, false, NOW));
  add_peer ("narrow", HERE, 5, true, 1);
  ck_assert (am_fleet_should_read (&f, false, NOW));
  add_peer ("wide", HERE, 200, true, 1);
  ck_assert (!am_fleet_should_read (&f, false, NOW));
}
END_TEST

/* Guards against an age of reports that includes peers whose reports do not
   count: those of another data centre, silent ones and those that never sent
   one; and against one that takes a digest without loads for a report.  */
START_TEST (test_report_age_is_of_live_local_peers)
{
  add_peer ("one", HERE, 200, false, 1);
  add_peer ("two", HERE, 200, false, 1)->loads_us = NOW - 100000;
  add_peer ("far", THERE, 200, false, 1);
  add_peer ("silent", HERE, 200, false, 1)->heard_us = NOW - PEER_TIMEOUT_US;
  add_peer ("unknown", HERE, 200, false, 1)->loads_us = 0;
  ck_assert_uint_eq (am_fleet_report_age_us (&f, NOW + 1000), 102000);
}
END_TEST

/* Guards against a VM that lags because it pulls again and again from a peer
   that has died with the newest changes, while others have them, too; and
   against one that does not pull at all because all have failed.  */
START_TEST (test_pull_source_avoids_failed_peer)
{
  struct am_peer *dead = add_peer ("dead", HERE, 200, false, 9);
  struct am_peer *other = add_peer ("other", HERE, 200, false, 8);

  dead->address = (struct am_address){ 1, 1 };
  other->address = (struct am_address){ 2, 1 };
  ck_assert_ptr_eq (am_fleet_pull_source (&f, 7, true, NOW), dead);
  am_fleet_pull_failed (&f, dead->address, NOW);
  ck_assert_ptr_eq (am_fleet_pull_source (&f, 7, true, NOW), other);
  ck_assert_ptr_eq (am_fleet_pull_source (&f, 8, true, NOW), dead);
  dead->heard_us = NOW + AM_FLEET_PULL_RETRY_US;
  other->heard_us = NOW + AM_FLEET_PULL_RETRY_US;
  ck_assert_ptr_eq (
      am_fleet_pull_source (&f, 7, true, NOW + AM_FLEET_PULL_RETRY_US), dead);
}
END_TEST

/* Guards against VMs that stay unknown to each other, and against requests to
   peers that know no more, are elsewhere, or have not answered.  */
START_TEST (test_who_knows_more_members)
{
  struct am_peer *a = add_peer ("a", HERE, 10, false, 1);
  struct am_peer *b = add_peer ("b", HERE, 10, false, 1);
  struct am_peer *far = add_peer ("far", THERE, 10, false, 1);

  a->local_vms = 5;
  b->local_vms = 7;
  far->local_vms = 9;
  ck_assert_ptr_eq (am_fleet_members_source (&f, 4, NOW), b);
  ck_assert_ptr_null (am_fleet_members_source (&f, 7, NOW));
  b->pull_failed_us = NOW;
  ck_assert_ptr_eq (am_fleet_members_source (&f, 4, NOW), a);
  a->heard_us = 0;
  ck_assert_ptr_null (am_fleet_members_source (&f, 4, NOW));
}
END_TEST

/* Guards against a seed that believes a dead reader for ten seconds, because
   its last digest was one to the seeds; and against a seed that gets none.  */
START_TEST (test_which_seeds_get_other_digests)
{
  struct am_address near = { 1, 1 };
  struct am_address far = { 2, 1 };

  add_peer ("near", HERE, 200, false, 1)->address = near;
  add_peer ("far", THERE, 200, false, 1)->address = far;
  ck_assert (am_fleet_sends_digests_to (&f, near, false));
  ck_assert (!am_fleet_sends_digests_to (&f, far, false));
  ck_assert (am_fleet_sends_digests_to (&f, far, true));
  ck_assert (
      !am_fleet_sends_digests_to (&f, (struct am_address){ 3, 1 }, true));
}
END_TEST

/* Guards against VMs that start together and all read the store: the reader
   hears of a VM only with its next digest, which may be due in seconds.  */
START_TEST (test_each_new_peer_is_introduced_once)
{
  struct am_peer *near = add_peer ("near", HERE, 200, false, 1);
  struct am_peer *next;

  add_peer ("far", THERE, 200, false, 1);
  ck_assert_ptr_eq (am_fleet_take_new_peer (&f), near);
  ck_assert_ptr_null (am_fleet_take_new_peer (&f));
  next = add_peer ("next", HERE, 200, false, 1);
  ck_assert_ptr_eq (am_fleet_take_new_peer (&f), next);
  ck_assert_ptr_null (am_fleet_take_new_peer (&f));
}
END_TEST

/* Guards against changes that no VM reads after the reader crashed, hung, or
   was partitioned from the store or from its peers.  */
START_TEST (test_next_vm_reads_when_reader_fails)
{
  struct am_peer *wide = add_peer ("wide", HERE, 200, true, 1);

  ck_assert (!am_fleet_should_read (&f, false, NOW));
  ck_assert (am_fleet_should_read (&f, false, NOW + PEER_TIMEOUT_US));
  wide->reads = false;
  ck_assert (am_fleet_should_read (&f, false, NOW + AM_FLEET_SUCCESSION_US));
}
END_TEST

/* Guards against all VMs of a data centre that call the store at once when it
   stops answering their reader, and go on while it is down.  */
START_TEST (test_peers_take_over_in_turn)
{
  add_peer ("one", HERE, 200, true, 1);
  add_peer ("two", HERE, 200, false, 1);
  add_peer ("behind", HERE, 5, false, 1);
  ck_assert (!am_fleet_should_read (&f, false, NOW));
  add_peer ("one", HERE, 200, false, 1);
  ck_assert (!am_fleet_should_read (&f, false, NOW + AM_FLEET_SUCCESSION_US));
  ck_assert (
      am_fleet_should_read (&f, false, NOW + 2 * AM_FLEET_SUCCESSION_US));
}
END_TEST

/* Guards against a data centre without a reader because the one that took over
   stops when a peer of better rank, which does not read, comes back.  */
START_TEST (test_reader_goes_on_until_replaced)
{
  struct am_peer *wide = add_peer ("wide", HERE, 200, false, 1);

  ck_assert (am_fleet_should_read (&f, true, NOW));
  wide->reads = true;
  ck_assert (!am_fleet_should_read (&f, true, NOW));
}
END_TEST

/* Guards against every VM of a fleet reading the store when all of them have
   just started, before the first digests.  */
START_TEST (test_started_vm_waits_for_readers)
{
  struct am_peer *wide;

  end ();
  am_target_table_init (&targets);
  am_fleet_init (&f, "vm-0", HERE, 10, NOW);
  ck_assert (!am_fleet_should_read (&f, false, NOW + 700000));
  ck_assert (
      am_fleet_should_read (&f, false, NOW + AM_FLEET_ELECTION_DELAY_US));
  wide = add_peer ("wide", HERE, 200, false, 1);
  wide->interval_us = AM_FLEET_ELECTION_DELAY_US;
  ck_assert (
      !am_fleet_should_read (&f, false, NOW + AM_FLEET_ELECTION_DELAY_US));
  ck_assert (am_fleet_should_read (
      &f, false, NOW + AM_FLEET_ELECTION_DELAY_US + AM_FLEET_SUCCESSION_US));
}
END_TEST

/* Guards against a data centre that relies on the reader of another one, from
   which a network partition separates it.  */
START_TEST (test_each_data_centre_has_a_reader)
{
  add_peer ("wide", THERE, 200, true, 1);
  ck_assert (am_fleet_should_read (&f, false, NOW));
}
END_TEST

/* Guards against VMs of equal bandwidth that wait for each other: each VM
   decides independently, and exactly one reads.  */
START_TEST (test_one_of_many_reads)
{
  enum
  {
    VMS = 24
  };
  unsigned readers = 0;

  for (int i = 0; i < VMS; i++)
    {
      char name[16];

      end ();
      am_target_table_init (&targets);
      snprintf (name, sizeof name, "vm-%d", i);
      am_fleet_init (&f, name, HERE, 10, 0);
      for (int j = 0; j < VMS; j++)
        {
          snprintf (name, sizeof name, "vm-%d", j);
          if (j != i)
            add_peer (name, HERE, 10, true, 1);
        }
      readers += am_fleet_should_read (&f, false, NOW);
    }
  ck_assert_uint_eq (readers, AM_FLEET_READERS);
}
END_TEST

/* Guards against changes being requested from a peer that does not have them,
   is not alive, or can send only all of its items, which saturated a narrow
   link.  */
START_TEST (test_pull_source)
{
  struct am_peer *p;

  add_peer ("behind", HERE, 10, true, 5);
  ck_assert_ptr_null (am_fleet_pull_source (&f, 5, false, NOW));
  p = add_peer ("far", THERE, 10, true, 9);
  ck_assert_ptr_eq (am_fleet_pull_source (&f, 5, false, NOW), p);
  p = add_peer ("near", HERE, 10, true, 8);
  ck_assert_ptr_eq (am_fleet_pull_source (&f, 5, false, NOW), p);
  p->compaction_revision = 8;
  ck_assert_ptr_ne (am_fleet_pull_source (&f, 5, false, NOW), p);
  ck_assert_ptr_eq (am_fleet_pull_source (&f, 5, true, NOW), p);
  ck_assert_ptr_null (
      am_fleet_pull_source (&f, 5, true, NOW + PEER_TIMEOUT_US));
}
END_TEST

/* Guards against a replica that counts as up to date while a reader has a
   newer one, or because of a peer that does not read the store.  */
START_TEST (test_confirmed_revision)
{
  struct am_peer *p = add_peer ("p", HERE, 10, false, 5);

  ck_assert_uint_eq (am_fleet_confirmed_us (&f, 5, NOW), 0);
  ck_assert_uint_eq (am_fleet_claimed_revision (&f, NOW), 0);
  p->reads = true;
  ck_assert_uint_eq (am_fleet_confirmed_us (&f, 5, NOW), NOW);
  ck_assert_uint_eq (am_fleet_confirmed_us (&f, 4, NOW), 0);
  ck_assert_uint_eq (am_fleet_claimed_revision (&f, NOW), 5);
  ck_assert_uint_eq (am_fleet_confirmed_us (&f, 5, NOW + PEER_TIMEOUT_US), 0);
}
END_TEST

/* Guards against a replica that counts as up to date because of what a reader
   claimed seconds ago, and may have died since: it told a seed that its next
   digest comes in ten seconds.  */
START_TEST (test_old_claim_confirms_nothing)
{
  struct am_peer *p = add_peer ("p", THERE, 10, true, 5);

  p->interval_us = 10000000;
  ck_assert_uint_eq (am_fleet_confirmed_us (&f, 5, NOW + 1000000), NOW);
  ck_assert_uint_eq (am_fleet_confirmed_us (&f, 5, NOW + AM_FLEET_CLAIM_US),
                     0);
  ck_assert_uint_eq (am_fleet_claimed_revision (&f, NOW + AM_FLEET_CLAIM_US),
                     0);
}
END_TEST

/* Guards against a data centre without a reader: the one that it had told a
   seed that its next digest comes in ten seconds, and died.  */
START_TEST (test_old_claim_prevents_no_election)
{
  struct am_peer *p = add_peer ("wide", HERE, 200, true, 5);

  p->interval_us = 10000000;
  ck_assert (!am_fleet_should_read (&f, false, NOW));
  ck_assert (am_fleet_should_read (
      &f, false, NOW + AM_FLEET_CLAIM_US + AM_FLEET_SUCCESSION_US));
}
END_TEST

/* Guards against the load of a failed peer still being counted, and against a
   peer list that grows with each replacement of a VM.  */
START_TEST (test_absent_peer_is_removed)
{
  struct am_target_spec s = { .id = 1, .service = 1 };
  struct am_target *t;
  struct am_load_report report;
  struct am_peer *p = add_peer ("p", HERE, 10, true, 1);

  am_target_table_put (&targets, &s, NOW, &t);
  report = (struct am_load_report){ t->ticket, { 1, 2, 3, 2, 0 }, true, true };
  am_peer_load_set (&p->load, &targets, &report, 1, NOW);
  ck_assert_uint_eq (t->peers_load.busy, 3);
  ck_assert_uint_eq (t->peers_load.recent, 2);
  ck_assert_uint_eq (t->reporting_peers, 1);
  ck_assert_uint_eq (t->data_reporting_peers, 1);
  am_fleet_expire (&f, &targets, NOW + PEER_TIMEOUT_US);
  ck_assert_uint_eq (t->peers_load.busy, 0);
  ck_assert_uint_eq (t->reporting_peers, 0);
  ck_assert_uint_eq (t->data_reporting_peers, 0);
  ck_assert_uint_eq (f.count, 1);
  am_fleet_expire (&f, &targets, NOW + AM_FLEET_PEER_EXPIRY_US + 1);
  ck_assert_uint_eq (f.count, 0);
}
END_TEST

/* Guards against memory that grows with a list of members that was made up. */
START_TEST (test_peers_are_bounded)
{
  char name[16];

  for (int i = 0; i < AM_FLEET_PEERS_MAX; i++)
    {
      snprintf (name, sizeof name, "p-%d", i);
      ck_assert_ptr_nonnull (am_fleet_get_or_add_peer (&f, name, NOW));
    }
  ck_assert_ptr_null (am_fleet_get_or_add_peer (&f, "one-more", NOW));
  ck_assert_ptr_nonnull (am_fleet_get_or_add_peer (&f, "p-0", NOW));
}
END_TEST

/* Guards against a peer of a large data centre, which sends digests less
   often, that does not count as alive between two of them.  */
START_TEST (test_longer_digest_interval)
{
  struct am_peer *p = add_peer ("p", HERE, 10, false, 1);

  p->interval_us = 2000000;
  ck_assert (am_fleet_peer_alive (p, NOW + 3 * 2000000 - 1));
  ck_assert (!am_fleet_peer_alive (p, NOW + 3 * 2000000));
}
END_TEST

/* Guards against load that is counted twice after a second report.  */
START_TEST (test_report_replaces_previous_one)
{
  struct am_target_spec s = { .id = 1, .service = 1 };
  struct am_target *t;
  struct am_load_report report;
  struct am_peer *p = add_peer ("p", HERE, 10, true, 1);

  am_target_table_put (&targets, &s, NOW, &t);
  report
      = (struct am_load_report){ t->ticket, { 1, 2, 3, 2, 0 }, false, false };
  am_peer_load_set (&p->load, &targets, &report, 1, NOW);
  report.load.busy = 1;
  am_peer_load_set (&p->load, &targets, &report, 1, NOW);
  ck_assert_uint_eq (t->peers_load.busy, 1);
  ck_assert_uint_eq (t->peers_load.open_flows, 2);
  report.ticket++;
  am_peer_load_set (&p->load, &targets, &report, 1, NOW);
  ck_assert_uint_eq (t->peers_load.open_flows, 0);
}
END_TEST

static void
ignore_target (void *userdata, const struct am_target *t)
{
  (void)userdata;
  (void)t;
}

/* Guards against a target that gets no flow any more: it was forgotten, is
   back under its id, and the report of a peer from before is taken off its
   load.  */
START_TEST (test_report_of_forgotten_target_is_not_subtracted)
{
  struct am_target_events events = { ignore_target, ignore_target, NULL };
  struct am_target_spec s = { .id = 1, .service = 1 };
  struct am_target *t;
  struct am_load_report report;
  struct am_peer *p = add_peer ("p", HERE, 10, true, 1);
  uint64_t now_us = NOW;

  am_target_table_put (&targets, &s, now_us, &t);
  report = (struct am_load_report){ t->ticket, { 1, 2, 3, 2, 0 }, true, true };
  am_peer_load_set (&p->load, &targets, &report, 1, now_us);
  am_target_table_mark_absent (&targets, 1, 0, now_us);
  for (int i = 0; i < 3; i++)
    {
      now_us += 120000000;
      am_target_table_sweep (&targets, now_us, now_us, &events);
    }
  ck_assert_ptr_null (am_target_by_id (&targets, 1));
  am_target_table_put (&targets, &s, now_us, &t);
  am_peer_load_set (&p->load, &targets, NULL, 0, now_us);
  ck_assert_uint_eq (t->peers_load.opening, 0);
  ck_assert_uint_eq (t->peers_load.open_flows, 0);
  ck_assert_uint_eq (t->peers_load.busy, 0);
  ck_assert_uint_eq (t->reporting_peers, 0);
}
END_TEST

/* Guards against a detection that is never reported to peers because a VM with
   many targets has no room for it in a report.  */
START_TEST (test_unresponsive_targets_are_reported_first)
{
  struct am_load_report reports[AM_PEER_LOAD_MAX];
  struct am_target *t = NULL;
  size_t n;

  for (uint64_t id = 1; id <= 2 * AM_PEER_LOAD_MAX; id++)
    {
      struct am_target_spec s = { .id = id, .service = 1 };

      am_target_table_put (&targets, &s, NOW, &t);
      t->load.open_flows = 1;
    }
  am_liveness_syn_sent (t, NOW - 2 * AM_LIVENESS_SYN_TIMEOUT_US);
  am_liveness_data_unanswered (t, NOW, NOW);
  n = am_peer_load_collect (&targets, reports, NOW);
  ck_assert_uint_eq (n, AM_PEER_LOAD_MAX);
  ck_assert_uint_eq (reports[0].ticket, t->ticket);
  ck_assert (reports[0].unresponsive);
  ck_assert (reports[0].data_unanswered);
}
END_TEST

/* Guards against peers that take a full target for a failed one: it answers no
   SYN, and its flows are served.  */
START_TEST (test_unanswered_syns_are_reported_as_such)
{
  struct am_load_report reports[AM_PEER_LOAD_MAX];
  struct am_target_spec s = { .id = 1, .service = 1 };
  struct am_target *t;

  am_target_table_put (&targets, &s, NOW, &t);
  am_liveness_unanswered (t, NOW);
  ck_assert_uint_eq (am_peer_load_collect (&targets, reports, NOW), 1);
  ck_assert (reports[0].unresponsive);
  ck_assert (!reports[0].data_unanswered);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fleet");
  TCase *tc = tcase_create ("fleet");

  tcase_add_checked_fixture (tc, begin, end);
  tcase_add_test (tc, test_widest_link_reads);
  tcase_add_test (tc, test_started_vm_waits_for_readers);
  tcase_add_test (tc, test_report_age_is_of_live_local_peers);
  tcase_add_test (tc, test_next_vm_reads_when_reader_fails);
  tcase_add_test (tc, test_peers_take_over_in_turn);
  tcase_add_test (tc, test_reader_goes_on_until_replaced);
  tcase_add_test (tc, test_each_data_centre_has_a_reader);
  tcase_add_test (tc, test_one_of_many_reads);
  tcase_add_test (tc, test_peers_are_bounded);
  tcase_add_test (tc, test_who_knows_more_members);
  tcase_add_test (tc, test_which_seeds_get_other_digests);
  tcase_add_test (tc, test_each_new_peer_is_introduced_once);
  tcase_add_test (tc, test_pull_source);
  tcase_add_test (tc, test_pull_source_avoids_failed_peer);
  tcase_add_test (tc, test_confirmed_revision);
  tcase_add_test (tc, test_old_claim_confirms_nothing);
  tcase_add_test (tc, test_old_claim_prevents_no_election);
  tcase_add_test (tc, test_absent_peer_is_removed);
  tcase_add_test (tc, test_longer_digest_interval);
  tcase_add_test (tc, test_report_replaces_previous_one);
  tcase_add_test (tc, test_report_of_forgotten_target_is_not_subtracted);
  tcase_add_test (tc, test_unresponsive_targets_are_reported_first);
  tcase_add_test (tc, test_unanswered_syns_are_reported_as_such);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
