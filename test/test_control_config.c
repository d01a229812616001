/* Configuration: order of versions, spread, readers, a store that is down or
   older than its past.  */

#include "control_net.h"
#include "core/configuration/control_readers.h"
#include "suite.h"

static void
start (struct net *n, size_t nodes, uint64_t seed)
{
  net_init (n, nodes, 3, seed);
  net_store_put (n, "s0", 1, 1, 3);
  net_start_all (n);
  net_run (n, 12 * NET_SECOND);
}

struct wanted_metric
{
  const char *name;
  double value;
};

static void
pick (void *userdata, const struct am_metric_info *info, double value)
{
  struct wanted_metric *w = userdata;

  if (strcmp (info->name, w->name) == 0)
    w->value = value;
}

static double
metric (const struct net *n, size_t node, const char *name)
{
  struct wanted_metric w = { name, -1 };

  am_control_metrics (n->nodes[node].control, pick, &w);
  return w.value;
}

static double
metric_sum (const struct net *n, const char *name)
{
  double sum = 0;

  for (size_t i = 0; i < n->count; i++)
    if (n->nodes[i].control)
      sum += metric (n, i, name);
  return sum;
}

/* Hands a record to a node as an operator does.  Returns the result.  */
static int
hand (struct net *n, size_t node, const char *name, const char *text)
{
  struct record_offer o;

  record_offer_init (&o, name, 1, text);
  return net_message (n, node, AM_CONTROL_STREAM, &o.envelope);
}

static int
hand_version (struct net *n, size_t node, const char *name, uint64_t rev,
              uint64_t write_id, unsigned upstreams)
{
  char *text = net_record_text (name, rev, write_id, upstreams);
  int err = hand (n, node, name, text);

  free (text);
  return err;
}

static uint64_t
revision (const struct net *n, size_t node, const char *name)
{
  return am_control_revision (n->nodes[node].control, name);
}

/* Guards against a version given up for an older one, whoever offers it, and
   against two agents that keep different versions of one revision.  */
START_TEST (newest_version_wins)
{
  struct net n;

  start (&n, 1, 1);
  ck_assert_int_eq (hand_version (&n, 0, "s0", 5, 5, 3), AM_OK);
  ck_assert_uint_eq (revision (&n, 0, "s0"), 5);
  ck_assert_int_eq (hand_version (&n, 0, "s0", 4, 9, 3), AM_OK);
  ck_assert_uint_eq (revision (&n, 0, "s0"), 5);
  ck_assert_double_eq (metric (&n, 0, "records_older"), 1);
  ck_assert_int_eq (hand_version (&n, 0, "s0", 5, 5, 3), AM_OK);
  ck_assert_double_eq (metric (&n, 0, "records_equal_revision"), 0);
  hand_version (&n, 0, "s0", 5, 4, 2);
  ck_assert_double_eq (metric (&n, 0, "records_equal_revision"), 1);
  ck_assert_double_eq (metric (&n, 0, "records_accepted"), 2);
  hand_version (&n, 0, "s0", 5, 6, 2);
  ck_assert_double_eq (metric (&n, 0, "records_equal_revision"), 2);
  ck_assert_double_eq (metric (&n, 0, "records_accepted"), 3);
  net_finish (&n);
}
END_TEST

/* Guards against a malformed record that changes state or is pulled again and
   again.  */
START_TEST (malformed_is_refused)
{
  static const char *const texts[] = {
    "",
    "{",
    "[]",
    "{\"name\":\"s0\"}",
    "{\"name\":\"s0\",\"revision\":0,\"write_id\":\"a\"}",
    "{\"name\":\"s0\",\"revision\":-1,\"write_id\":\"a\"}",
    "{\"name\":\"s0\",\"revision\":9,\"write_id\":7}",
    "{\"name\":\"s0\",\"revision\":9,\"write_id\":"
    "\"0123456789012345678901234567890123456789\"}",
  };
  char *other = net_record_text ("s1", 9, 9, 3);
  struct net n;

  start (&n, 1, 1);
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    ck_assert_int_ne (hand (&n, 0, "s0", texts[i]), AM_OK);
  ck_assert_int_ne (hand (&n, 0, "s0", other), AM_OK);
  ck_assert_uint_eq (revision (&n, 0, "s0"), 1);
  ck_assert_uint_eq (revision (&n, 0, "s1"), 0);
  free (other);
  net_finish (&n);
}
END_TEST

/* Guards against a change that needs more than 6 s to reach every agent, by
   the store's watch or by an operator's hand while the store is down.  */
START_TEST (change_reaches_all)
{
  struct net n;

  net_init (&n, 30, 5, (uint64_t)_i + 1);
  n.loss = 0.05;
  net_store_put (&n, "s0", 1, 1, 3);
  net_start_all (&n);
  net_run (&n, 12 * NET_SECOND);
  for (uint64_t r = 2; r < 8; r++)
    {
      net_store_put (&n, "s0", r, r, 3);
      ck_assert_uint_lt (net_run_until_held (&n, "s0", r, 7 * NET_SECOND),
                         6 * NET_SECOND);
    }
  net_store_down (&n, true);
  for (uint64_t r = 8; r < 14; r++)
    {
      hand_version (&n, r, "s0", r, r, 3);
      ck_assert_uint_lt (net_run_until_held (&n, "s0", r, 7 * NET_SECOND),
                         6 * NET_SECOND);
      net_run (&n, NET_SECOND);
    }
  ck_assert_uint_eq (n.reversions, 0);
  net_finish (&n);
}
END_TEST

/* Guards against a change that is not acknowledged from the forwarder, and
   against a log line for each acknowledgement, of which one comes a second:
   one line for each version gives its time.  */
START_TEST (change_is_in_force)
{
  struct am_control_view v;
  struct net n;

  start (&n, 7, 3);
  for (size_t i = 0; i < 7; i++)
    n.nodes[i].config_active_lines = 0;
  net_store_put (&n, "s0", 2, 2, 4);
  net_run (&n, 6 * NET_SECOND);
  for (size_t i = 0; i < 7; i++)
    {
      am_control_look (n.nodes[i].control, &v);
      ck_assert_uint_eq (v.config_digest, v.acked_digest);
      ck_assert_uint_eq (n.nodes[i].forwarder.snapshot->services[0]->revision,
                         2);
      ck_assert_uint_eq (n.nodes[i].config_active_lines, 1);
    }
  net_finish (&n);
}
END_TEST

/* Guards against a store restored from an older state that takes a newer
   configuration away, silently or at all.  */
START_TEST (older_store_is_refused)
{
  struct am_control_view v;
  struct net n;
  unsigned reported = 0;

  start (&n, 9, 4);
  net_store_put (&n, "s1", 1, 1, 3);
  net_store_put (&n, "s0", 6, 6, 3);
  net_run (&n, 6 * NET_SECOND);
  net_store_put (&n, "s0", 3, 3, 3);
  n.store.count = 1;
  net_run (&n, 10 * NET_SECOND);
  for (size_t i = 0; i < 9; i++)
    {
      ck_assert_uint_eq (revision (&n, i, "s0"), 6);
      ck_assert_uint_eq (revision (&n, i, "s1"), 1);
      am_control_look (n.nodes[i].control, &v);
      reported += v.store_error == AM_E_STORE_OLD;
      ck_assert_uint_le (v.store_error == AM_E_STORE_OLD, v.reader);
    }
  ck_assert_uint_eq (reported, 6);
  ck_assert_uint_eq (n.reversions, 0);
  n.store.count = 2;
  net_finish (&n);
}
END_TEST

/* Guards against a load on the store that grows with the fleet: two readers
   in each data centre, others only if they have no configuration.  */
START_TEST (readers_are_two_a_centre)
{
  struct am_control_view v;
  unsigned readers[3] = { 0 };
  double reads;
  struct net n;

  start (&n, 30, (uint64_t)_i + 5);
  reads = metric_sum (&n, "store_reads");
  ck_assert_double_le (reads, 30);
  for (size_t i = 0; i < 30; i++)
    {
      am_control_look (n.nodes[i].control, &v);
      readers[i % 3] += v.reader;
    }
  for (size_t i = 0; i < 3; i++)
    ck_assert_uint_eq (readers[i], 2);
  net_run (&n, 30 * NET_SECOND);
  ck_assert_double_le (metric_sum (&n, "store_reads"),
                       reads + 6 * (30000 / AM_WATCH_MS + 1));
  net_finish (&n);
}
END_TEST

/* Guards against a data centre without a reader after both have died.  */
START_TEST (readers_are_replaced)
{
  struct am_control_view v;
  struct net n;

  start (&n, 15, 6);
  for (size_t i = 0; i < 15; i++)
    {
      am_control_look (n.nodes[i].control, &v);
      if (v.reader)
        net_kill (&n, i);
    }
  net_run (&n, 25 * NET_SECOND);
  net_store_put (&n, "s0", 2, 2, 3);
  net_run (&n, 6 * NET_SECOND);
  ck_assert_uint_eq (net_count_holding (&n, "s0", 2), 9);
  net_finish (&n);
}
END_TEST

/* Guards against calls in lock step during and after an outage, and against
   readers that do not come back.  */
START_TEST (outage_backs_off)
{
  double failures;
  struct net n;

  start (&n, 9, 7);
  net_store_down (&n, true);
  net_run (&n, 60 * NET_SECOND);
  failures = metric_sum (&n, "store_failures");
  ck_assert_double_ge (failures, 6 * 6);
  ck_assert_double_le (failures, 6 * 20);
  net_store_put (&n, "s0", 2, 2, 3);
  net_store_down (&n, false);
  net_run (&n, 11 * NET_SECOND);
  ck_assert_uint_eq (net_count_holding (&n, "s0", 2), 9);
  net_finish (&n);
}
END_TEST

/* Guards against a whole exchange of digests that repeats for ever between
   agents of which one refuses a record.  */
START_TEST (refused_record_costs_little)
{
  double syncs;
  struct net n;

  start (&n, 7, 8);
  hand (&n, 3, "s0",
        "{\"schema\":99,\"kind\":\"service\",\"name\":\"zz\",\"revision\":9,"
        "\"write_id\":\"w\"}");
  ck_assert_uint_eq (revision (&n, 3, "s0"), 1);
  syncs = metric_sum (&n, "syncs");
  net_run (&n, 120 * NET_SECOND);
  ck_assert_double_le (metric_sum (&n, "syncs") - syncs, 7 * 8);
  net_finish (&n);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("control_config");
  TCase *t = tcase_create ("records");

  tcase_set_timeout (t, 100);
  tcase_add_test (t, newest_version_wins);
  tcase_add_test (t, malformed_is_refused);
  tcase_add_loop_test (t, change_reaches_all, 0, 5);
  tcase_add_test (t, change_is_in_force);
  tcase_add_test (t, older_store_is_refused);
  tcase_add_loop_test (t, readers_are_two_a_centre, 0, 3);
  tcase_add_test (t, readers_are_replaced);
  tcase_add_test (t, outage_backs_off);
  tcase_add_test (t, refused_record_costs_little);
  suite_add_tcase (s, t);
  return suite_run (s);
}
