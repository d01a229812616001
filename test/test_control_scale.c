/* Control traffic and dissemination time of a record in fleets of several
   sizes.

   Without arguments: checks the bounds at 7 and 50 agents.  With arguments:
   --sizes N,N,... [--seed N] [--seconds N] [--fanout N|none] [--readers N]
   [--loss P] prints one JSON object per size, and finally the slopes and the
   values extrapolated to 730 agents.  */

#include <malloc.h>

#include "control_net.h"
#include "measure.h"
#include "suite.h"

#define TARGET_NODES 730
#define TARGET_SERVICES 580
#define TARGETS_A_SERVICE 10
#define SPREAD_BOUND_US (6 * NET_SECOND)
#define BYTES_BOUND 6000.0
#define MEMORY_BOUND (32u << 20)
#define PROCESSOR_BOUND 0.011
#define CHANGES 10

/* The exchanges after a start are complete within this time.  */
#define SETTLE_SECONDS 90

/* Upper limit of the start phase: on lossy links some live members may be dead
   in some tables at any time, so the tables may never be complete.  */
#define JOIN_SECONDS 60

/* Seconds between two changes at 370 changes per day.  */
#define CHANGE_SECONDS 233

struct figures
{
  size_t nodes;
  size_t records;
  double bytes_idle;   /* per second and node, sent and received, without
                          changes */
  double bytes_change; /* per change and node */
  double bytes_total;  /* per second and node at 370 changes per day */
  double messages_change;
  double spread_median_s;
  double spread_max_s;
  double processor; /* share of a core per node */
  double memory;    /* bytes per node */
  double joined_s;
  double missing; /* share of live members that are not live in a table, mean
                     over the seconds */
  unsigned reversions;
  double bytes_reader; /* per second, busiest node, at 370 changes
                          per day */
};

static double
total_bytes (const struct net *n)
{
  double sum = 0;

  for (size_t i = 0; i < n->count; i++)
    sum += (double)(n->nodes[i].sent + n->nodes[i].received);
  return sum;
}

/* Returns the largest number of bytes that a node has sent and received since
   FROM.  */
static double
busiest_node_bytes (const struct net *n, const double *from)
{
  double most = 0;

  for (size_t i = 0; i < n->count; i++)
    {
      double b = (double)(n->nodes[i].sent + n->nodes[i].received) - from[i];

      most = b > most ? b : most;
    }
  return most;
}

static double
total_messages (const struct net *n)
{
  double sum = 0;

  for (size_t i = 0; i < n->count; i++)
    sum += (double)n->nodes[i].messages;
  return sum;
}

static void
fill_store (struct net *n, size_t records)
{
  char name[32];

  for (size_t i = 0; i < records; i++)
    {
      snprintf (name, sizeof name, "s%zu", i);
      net_store_put (n, name, 1, 1, TARGETS_A_SERVICE);
    }
}

static void
measure_changes (struct net *n, struct figures *f)
{
  double times[CHANGES];
  double bytes = total_bytes (n);
  double messages = total_messages (n);
  double start = (double)n->now;
  double elapsed_s;
  double from[NET_NODES_MAX];

  for (size_t i = 0; i < n->count; i++)
    from[i] = (double)(n->nodes[i].sent + n->nodes[i].received);
  for (size_t i = 0; i < CHANGES; i++)
    {
      net_store_put (n, "s0", 2 + i, 2 + i, TARGETS_A_SERVICE);
      times[i]
          = (double)net_run_until_held (n, "s0", 2 + i, 60 * NET_SECOND) / 1e6;
      net_run (n, 5 * NET_SECOND);
    }
  elapsed_s = ((double)n->now - start) / 1e6;
  f->spread_median_s = measure_median (times, CHANGES);
  f->spread_max_s = times[CHANGES - 1];
  f->bytes_change = (total_bytes (n) - bytes) / (double)n->count / CHANGES
                    - f->bytes_idle * elapsed_s / CHANGES;
  f->bytes_reader
      = f->bytes_idle
        + (busiest_node_bytes (n, from) - f->bytes_idle * elapsed_s) / CHANGES
              / CHANGE_SECONDS;
  f->messages_change = (total_messages (n) - messages) / CHANGES
                       - elapsed_s / CHANGES * 2 * (double)n->count;
}

static uint32_t fanout;
static uint32_t readers;
static double loss;

static struct figures
measure (size_t nodes, uint64_t seed, uint64_t seconds)
{
  struct figures f = { .nodes = nodes };
  struct net n;
  struct mallinfo2 before = mallinfo2 ();
  double processor;
  double bytes;

  f.records = nodes * TARGET_SERVICES / TARGET_NODES + 1;
  net_init (&n, nodes, nodes < 50 ? 3 : 5, seed);
  n.fanout = fanout;
  n.readers = readers;
  n.loss = loss;
  fill_store (&n, f.records);
  net_start_all (&n);
  while ((net_live_pairs (&n) < nodes * (nodes - 1)
          || net_count_holding (&n, "s0", 1) < nodes)
         && n.now < JOIN_SECONDS * NET_SECOND)
    net_run (&n, NET_SECOND / 10);
  f.joined_s = (double)(n.now - NET_SECOND) / 1e6;
  net_run (&n, SETTLE_SECONDS * NET_SECOND);
  bytes = total_bytes (&n);
  processor = measure_processor ();
  for (uint64_t i = 0; i < seconds; i++)
    {
      net_run (&n, NET_SECOND);
      f.missing
          += 1 - (double)net_live_pairs (&n) / (double)(nodes * (nodes - 1));
    }
  f.missing /= (double)seconds;
  f.bytes_idle = (total_bytes (&n) - bytes) / (double)nodes / (double)seconds;
  f.processor
      = (measure_processor () - processor) / (double)nodes / (double)seconds;
  f.memory = (double)(mallinfo2 ().uordblks - before.uordblks) / (double)nodes;
  measure_changes (&n, &f);
  f.bytes_total = f.bytes_idle + f.bytes_change / CHANGE_SECONDS;
  f.reversions = n.reversions;
  net_finish (&n);
  return f;
}

static void
print (const struct figures *f)
{
  printf ("{\"nodes\":%zu,\"records\":%zu,\"joined_s\":%.1f,"
          "\"bytes_a_second_quiet\":%.0f,\"bytes_a_change\":%.0f,"
          "\"bytes_a_second\":%.0f,\"messages_a_change\":%.0f,"
          "\"spread_median_s\":%.2f,\"spread_max_s\":%.2f,"
          "\"processor_share\":%.6f,\"memory_bytes\":%.0f,"
          "\"bytes_a_second_busiest\":%.0f,\"reversions\":%u,"
          "\"held_dead_share\":%.6f}\n",
          f->nodes, f->records, f->joined_s, f->bytes_idle, f->bytes_change,
          f->bytes_total, f->messages_change, f->spread_median_s,
          f->spread_max_s, f->processor, f->memory, f->bytes_reader,
          f->reversions, f->missing);
}

/* Returns the value of the least-squares line through the points at X.  */
static double
extrapolate (const struct figures *f, size_t n, size_t offset, double x,
             double *slope)
{
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;

  for (size_t i = 0; i < n; i++)
    {
      double xi = (double)f[i].nodes;
      double yi
          = *(const double *)(const void *)((const char *)&f[i] + offset);

      sx += xi;
      sy += yi;
      sxx += xi * xi;
      sxy += xi * yi;
    }
  *slope = ((double)n * sxy - sx * sy) / ((double)n * sxx - sx * sx);
  return (sy - *slope * sx) / (double)n + *slope * x;
}

static void
print_target (const struct figures *f, size_t n)
{
  double slope[4];
  double bytes = extrapolate (f, n, offsetof (struct figures, bytes_total),
                              TARGET_NODES, &slope[0]);
  double processor = extrapolate (f, n, offsetof (struct figures, processor),
                                  TARGET_NODES, &slope[1]);
  double memory = extrapolate (f, n, offsetof (struct figures, memory),
                               TARGET_NODES, &slope[2]);
  double spread = extrapolate (f, n, offsetof (struct figures, spread_max_s),
                               TARGET_NODES, &slope[3]);

  printf ("{\"name\":\"control_scale\",\"nodes\":%d,"
          "\"bytes_a_second\":%.0f,\"bytes_slope\":%.4f,"
          "\"processor_share\":%.5f,\"processor_slope\":%.3e,"
          "\"memory_bytes\":%.0f,\"memory_slope\":%.0f,"
          "\"spread_max_s\":%.2f,\"spread_slope\":%.5f,\"pass\":%s}\n",
          TARGET_NODES, bytes, slope[0], processor, slope[1], memory, slope[2],
          spread, slope[3],
          bytes <= BYTES_BOUND && processor <= PROCESSOR_BOUND
                  && memory <= MEMORY_BOUND && spread <= 6.0
              ? "true"
              : "false");
}

/* Guards against control traffic above 6 KB/s per node and against a record
   that takes more than 6 s to reach every agent.  */
START_TEST (stays_within_bounds)
{
  size_t sizes[] = { 7, 50 };
  struct figures f = measure (sizes[_i], 1, 20);

  print (&f);
  ck_assert_uint_eq (f.reversions, 0);
  ck_assert_double_le (f.bytes_total, BYTES_BOUND);
  ck_assert_double_le (f.spread_max_s, 6.0);
  ck_assert_double_le (f.memory, MEMORY_BOUND);
}
END_TEST

/* Guards against a change that usually waits for a probe because its
   announcement misses a member.  One hop takes 6.5 ms and 3 hops reach 50
   members, so a tenth of the probe period is sufficient.  */
START_TEST (announcement_reaches_all)
{
  struct figures f = measure (50, 1, 5);

  ck_assert_double_le (f.spread_median_s, 0.1);
}
END_TEST

/* Guards against live members that are declared dead, and against control
   traffic above its bound, when every link loses 20 % of the datagrams.  */
START_TEST (stays_within_bounds_with_loss)
{
  struct figures f;

  loss = 0.2;
  f = measure (50, 1, 20);
  print (&f);
  ck_assert_uint_eq (f.reversions, 0);
  ck_assert_double_le (f.missing, 0);
  ck_assert_double_le (f.bytes_total, BYTES_BOUND);
  ck_assert_double_le (f.spread_max_s, 6.0);
}
END_TEST

static int
report (int argc, char **argv)
{
  struct figures f[8];
  const char *sizes = measure_option (argc, argv, "--sizes", "7,50,200");
  const char *fanout_option = measure_option (argc, argv, "--fanout", "0");
  uint64_t seed
      = strtoull (measure_option (argc, argv, "--seed", "1"), NULL, 10);
  uint64_t seconds
      = strtoull (measure_option (argc, argv, "--seconds", "30"), NULL, 10);
  size_t n = 0;

  fanout = strcmp (fanout_option, "none") == 0
               ? AM_FANOUT_NONE
               : (uint32_t)strtoul (fanout_option, NULL, 10);
  readers = (uint32_t)strtoul (measure_option (argc, argv, "--readers", "0"),
                               NULL, 10);
  loss = strtod (measure_option (argc, argv, "--loss", "0"), NULL);
  while (*sizes && n < 8)
    {
      char *end;

      f[n] = measure (strtoul (sizes, &end, 10), seed, seconds);
      print (&f[n++]);
      fflush (stdout);
      sizes = *end ? end + 1 : end;
    }
  print_target (f, n);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  Suite *s = suite_create ("control_scale");
  TCase *t = tcase_create ("bounds");

  if (argc > 1)
    return report (argc, argv);
  tcase_set_timeout (t, 100);
  tcase_add_loop_test (t, stays_within_bounds, 0, 2);
  tcase_add_test (t, announcement_reaches_all);
  tcase_add_test (t, stays_within_bounds_with_loss);
  suite_add_tcase (s, t);
  return suite_run (s);
}
