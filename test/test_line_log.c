/* Tests of the structured log: rate limits, and a descriptor that nobody
   reads.  */

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "entry/line_log.h"
#include "suite.h"

static struct am_line_log l;
static int ends[2];

static void
open_log (void)
{
  ck_assert_int_eq (pipe (ends), 0);
  am_line_log_init (&l, ends[1]);
}

static void
close_log (void)
{
  close (ends[0]);
  close (ends[1]);
}

/* Flushes the log and returns the number of lines in the pipe.  */
static unsigned
read_lines (void)
{
  static char data[AM_LINE_LOG_SIZE];
  ssize_t n;
  unsigned lines = 0;

  am_line_log_flush (&l);
  fcntl (ends[0], F_SETFL, O_NONBLOCK);
  n = read (ends[0], data, sizeof data);
  for (ssize_t i = 0; i < n; i++)
    lines += data[i] == '\n';
  return lines;
}

/* Guards against a log volume that grows with the load: at ten times the load
   for one second there are no more lines than the limit, and one line with the
   number of lines held back.  */
START_TEST (test_rate_is_limited)
{
  unsigned usual;

  for (unsigned i = 0; i < 1000; i++)
    am_line_log_add (&l, AM_LINE_FLOW, i * 1000, "flow n=%u", i);
  usual = read_lines ();
  ck_assert_uint_le (usual, AM_LINE_FLOW_RATE_MAX);
  ck_assert_uint_gt (usual, 0);
  for (unsigned i = 0; i < 10000; i++)
    am_line_log_add (&l, AM_LINE_FLOW, 1000000 + i * 100, "flow n=%u", i);
  ck_assert_uint_le (read_lines (), AM_LINE_FLOW_RATE_MAX + 1);
}
END_TEST

/* Guards against a process that blocks because nobody reads its log: lines are
   dropped when the pipe and the buffer are full.  */
START_TEST (test_full_pipe_drops_lines)
{
  for (uint64_t s = 1; s < 2000; s++)
    {
      for (int i = 0; i < 20; i++)
        am_line_log_add (&l, AM_LINE_STATE, s * 1000000, "state text=%0100d",
                         i);
      am_line_log_flush (&l);
    }
  ck_assert_uint_gt (l.lost, 0);
  ck_assert_uint_gt (read_lines (), 0);
}
END_TEST

/* Guards against lines of one class using up the rate limit of another.  */
START_TEST (test_classes_are_independent)
{
  for (unsigned i = 0; i < 1000; i++)
    am_line_log_add (&l, AM_LINE_NOT_FORWARDED, 0, "refuse n=%u", i);
  read_lines ();
  am_line_log_add (&l, AM_LINE_STATE, 0, "state");
  ck_assert_uint_eq (read_lines (), 1);
}
END_TEST

/* Guards against a key of another writer that looks like a line of this
   program.  */
START_TEST (test_line_break_starts_no_line)
{
  am_line_log_add (&l, AM_LINE_STATE, 0, "target-unusable key=%s",
                   "a\n1.0 stopped\r");
  ck_assert_uint_eq (read_lines (), 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("line_log");
  TCase *tc = tcase_create ("line_log");

  tcase_add_checked_fixture (tc, open_log, close_log);
  tcase_add_test (tc, test_rate_is_limited);
  tcase_add_test (tc, test_full_pipe_drops_lines);
  tcase_add_test (tc, test_classes_are_independent);
  tcase_add_test (tc, test_line_break_starts_no_line);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
