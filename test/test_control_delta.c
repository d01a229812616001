/* Deltas that an agent sends to its forwarder.  */

#include "base/hash.h"
#include "control_net.h"
#include "suite.h"

static struct net net;
static struct net_forwarder *f;

static void
begin (uint64_t seed)
{
  net_init (&net, 3, 3, seed);
  net_store_put (&net, "s0", 1, 1, 3);
  net_store_put (&net, "s1", 1, 1, 3);
  net_store_put (&net, "s2", 1, 1, 3);
  net_start_all (&net);
  net_run (&net, 20 * NET_SECOND);
  f = &net.nodes[0].forwarder;
}

/* Puts REVISION of s0 into the store; it must be in force within LIMIT_US.  */
static void
change (uint64_t revision, uint64_t limit_us)
{
  net_store_put (&net, "s0", revision, revision, 3);
  net_run (&net, limit_us);
  ck_assert_uint_eq (net_service_revision (f->snapshot, am_hash_name ("s0")),
                     revision);
  ck_assert_uint_eq (f->snapshot->n_services, 3);
  ck_assert_uint_eq (f->snapshot->n_members, 3);
  ck_assert_uint_eq (f->lowered, 0);
}

/* Guards against an agent that goes on sending everything.  */
START_TEST (changes_go_as_deltas)
{
  unsigned before;

  begin (1);
  before = f->deltas;
  for (uint64_t revision = 2; revision < 8; revision++)
    change (revision, 3 * NET_SECOND);
  net_kill (&net, 2);
  net_run (&net, 20 * NET_SECOND);
  change (8, 3 * NET_SECOND);
  ck_assert_uint_ge (f->deltas - before, 8);
  ck_assert_uint_eq (f->refused, 0);
  net_finish (&net);
}
END_TEST

/* Guards against a delta to a forwarder that has restarted and has nothing,
   and against one to a forwarder that another agent served meanwhile.  */
START_TEST (new_connection_begins_whole)
{
  begin (2);
  net_message (&net, 0, AM_CONTROL_FORWARDER_LOST, NULL);
  amaranth__snapshot__free_unpacked (f->snapshot, NULL);
  f->snapshot = NULL;
  f->digest = 0;
  f->boot_id++;
  net_message (&net, 0, AM_CONTROL_FORWARDER_UP, NULL);
  change (2, 3 * NET_SECOND);
  net_message (&net, 0, AM_CONTROL_FORWARDER_LOST, NULL);
  f->digest++;
  net_message (&net, 0, AM_CONTROL_FORWARDER_UP, NULL);
  change (3, 3 * NET_SECOND);
  ck_assert_uint_eq (f->refused, 0);
  net_finish (&net);
}
END_TEST

/* Guards against a change that is lost because its delta was refused: the
   forwarder got another snapshot since its last report.  Ten changes at ten
   phases of the report, which shows the other digest in some of them.  */
START_TEST (refused_delta_is_followed_by_whole)
{
  begin (3);
  for (uint64_t i = 0; i < 10; i++)
    {
      net_run (&net, NET_SECOND / 10);
      f->digest++;
      net_store_put (&net, "s0", 2 + i, 2 + i, 3);
      net_deliver_store (&net, 0);
      change (2 + i, 2 * NET_SECOND);
    }
  ck_assert_uint_ge (f->refused, 5);
  ck_assert_uint_le (f->refused, 10);
  net_finish (&net);
}
END_TEST

/* Guards against a change that waits for ever for an acknowledgement that was
   lost, beyond the 6 s in which it must be in force.  */
START_TEST (lost_delta_is_made_good)
{
  begin (4);
  f->delta_error = AM_E_TIMEOUT;
  change (2, 6 * NET_SECOND);
  f->delta_error = 0;
  change (3, 3 * NET_SECOND);
  net_finish (&net);
}
END_TEST

/* Guards against a forwarder of before, which does not know deltas and gets
   one at each change.  */
START_TEST (old_forwarder_gets_whole)
{
  begin (5);
  f->delta_error = AM_E_ARGUMENT;
  for (uint64_t revision = 2; revision < 6; revision++)
    change (revision, 3 * NET_SECOND);
  ck_assert_uint_eq (f->refused, 1);
  net_finish (&net);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("control_delta");
  TCase *t = tcase_create ("delta");

  tcase_set_timeout (t, 60);
  tcase_add_test (t, changes_go_as_deltas);
  tcase_add_test (t, new_connection_begins_whole);
  tcase_add_test (t, refused_delta_is_followed_by_whole);
  tcase_add_test (t, lost_delta_is_made_good);
  tcase_add_test (t, old_forwarder_gets_whole);
  suite_add_tcase (s, t);
  return suite_run (s);
}
