#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/error.h"
#include "base/log.h"
#include "suite.h"

#define TEXT_SIZE 4096

static char text[TEXT_SIZE];

/* Guards against lines without priority, program or process id, which log
   collectors rely on.  */
START_TEST (line)
{
  char expected[128];
  struct am_log log;
  FILE *out = fmemopen (text, sizeof text, "w");

  am_log_init (&log, out, "prog", AM_LOG_INFO);
  am_log_line (&log, AM_LOG_WARNING, "drain upstream=%s left=%d", "u", 3);
  am_log_line (&log, AM_LOG_DEBUG, "hidden");
  fclose (out);
  snprintf (expected, sizeof expected,
            "<4>prog[%d]: drain upstream=u left=3\n", (int)getpid ());
  ck_assert_str_eq (text, expected);
}
END_TEST

/* Guards against a long line that overruns or loses its end.  */
START_TEST (long_line)
{
  char value[2 * 1024];
  struct am_log log;
  FILE *out = fmemopen (text, sizeof text, "w");

  memset (value, 'x', sizeof value - 1);
  value[sizeof value - 1] = '\0';
  am_log_init (&log, out, "prog", AM_LOG_INFO);
  am_log_line (&log, AM_LOG_INFO, "%s", value);
  fclose (out);
  ck_assert_uint_lt (strlen (text), 1200);
  ck_assert_int_eq (text[strlen (text) - 1], '\n');
}
END_TEST

/* Guards against level names that do not match their numbers.  */
START_TEST (levels)
{
  int level = 0;

  ck_assert_int_eq (am_log_level_parse (&level, "error"), AM_OK);
  ck_assert_int_eq (level, AM_LOG_ERROR);
  ck_assert_int_eq (am_log_level_parse (&level, "debug"), AM_OK);
  ck_assert_int_eq (level, AM_LOG_DEBUG);
  ck_assert_int_eq (am_log_level_parse (&level, "Debug"), AM_E_FIELD_VALUE);
  ck_assert_int_eq (am_log_level_parse (&level, ""), AM_E_FIELD_VALUE);
}
END_TEST

/* Guards against a flood of lines, and against lines held back in silence.  */
START_TEST (limiter)
{
  struct am_log_limiter l = { .limit = 2 };
  struct am_log_limiter open = { .limit = 0 };
  uint32_t held;

  ck_assert (am_log_allow (&l, 5000000, &held));
  ck_assert (am_log_allow (&l, 5100000, &held));
  ck_assert (!am_log_allow (&l, 5200000, &held));
  ck_assert (!am_log_allow (&l, 5999999, &held));
  ck_assert (am_log_allow (&l, 6000000, &held));
  ck_assert_uint_eq (held, 2);
  ck_assert (am_log_allow (&l, 6000001, &held));
  ck_assert_uint_eq (held, 0);
  for (int i = 0; i < 1000; i++)
    ck_assert (am_log_allow (&open, 1, &held));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("log");
  TCase *tc = tcase_create ("log");

  tcase_add_test (tc, line);
  tcase_add_test (tc, long_line);
  tcase_add_test (tc, levels);
  tcase_add_test (tc, limiter);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
