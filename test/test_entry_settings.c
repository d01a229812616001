/* Tests of the settings of amaranth-entry: valid files, and the field that is
   reported for an invalid one.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/error.h"
#include "entry/settings.h"
#include "suite.h"

#define REQUIRED                                               \
  "vm:\n  name: \"a\"\n  data_centre: \"z\"\nlisten:\n"        \
  "  packets: \"127.0.0.1:1\"\n  readiness: \"127.0.0.1:2\"\n" \
  "  peers: \"127.0.0.1:3\"\n"

static struct am_entry_settings s;
static struct am_fault f;

static int
load (const char *text)
{
  char file[] = "/tmp/entry-settings-XXXXXX";
  int fd = mkstemp (file);
  int err;

  ck_assert_int_ge (fd, 0);
  ck_assert_int_eq (write (fd, text, strlen (text)), (int)strlen (text));
  close (fd);
  memset (&f, 0, sizeof f);
  err = am_entry_settings_load (&s, file, &f);
  unlink (file);
  return err;
}

/* Guards against settings that are parsed to wrong values, and against
   optional settings that are required.  */
START_TEST (test_valid_settings)
{
  ck_assert_int_eq (load (REQUIRED), AM_OK);
  ck_assert_uint_eq (s.seed_count, 0);
  ck_assert_uint_eq (s.store.port, 0);
  ck_assert_uint_eq (s.stop_ms, 5500);
  ck_assert (!s.warm_up.stated);
  ck_assert_uint_eq (s.crossing_cost_ms, 0);
  am_entry_settings_finish (&s);
  ck_assert_int_eq (
      load (REQUIRED "  metrics: \"127.0.0.1:4\"\nstore: \"10.0.0.1:80\"\n"
                     "seeds: [\"10.0.0.2:1\",\"10.0.0.3:1\"]\nstop_s: 9\n"
                     "link_mbps: 10.5\ncrossing_cost_ms: 40\n"),
      AM_OK);
  ck_assert_uint_eq (s.seed_count, 2);
  ck_assert_uint_eq (s.seeds[1].ip, 0x0a000003);
  ck_assert_uint_eq (s.metrics.port, 4);
  ck_assert_uint_eq (s.stop_ms, 8500);
  ck_assert_uint_eq (s.link_mbps, 10);
  ck_assert_uint_eq (s.crossing_cost_ms, 40);
  am_entry_settings_finish (&s);
}
END_TEST

/* Guards against a process that starts with invalid settings, and against an
   error that does not name the field.  */
START_TEST (test_errors_name_field)
{
  static const struct
  {
    const char *text;
    const char *field;
  } cases[] = {
    { "vm:\n  name: \"a\"\n", "vm.data_centre" },
    { REQUIRED "store: \"somewhere\"\n", "store" },
    { REQUIRED "seeds: [\"10.0.0.2\"]\n", "seeds" },
    { REQUIRED "link_mbps: -1\n", "link_mbps" },
    { REQUIRED "stop_s: 4294968\n", "stop_s" },
    { REQUIRED "warm_up_overage: 0\n", "warm_up_overage" },
    { REQUIRED "warm_up_overage: \"1.5x\"\n", "warm_up_overage" },
    { REQUIRED "warm_up_overage: nan\n", "warm_up_overage" },
    { REQUIRED "warm_up_slack: many\n", "warm_up_slack" },
    { REQUIRED "crossing_cost_ms: 0\n", "crossing_cost_ms" },
    { REQUIRED "crossing_cost_ms: 60001\n", "crossing_cost_ms" },
    { REQUIRED "warm_up_overage: 1.5\nwarm_up_slack: -1\n", "warm_up_slack" },
    { REQUIRED "colour: red\n", "colour" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      ck_assert_msg (load (cases[i].text) != AM_OK, "%s", cases[i].text);
      ck_assert_str_eq (f.field, cases[i].field);
    }
}
END_TEST

int
main (void)
{
  static const TTest *tests[2];

  tests[0] = test_valid_settings;
  tests[1] = test_errors_name_field;
  return suite_run_tests ("entry_settings", tests, 2, 10);
}
