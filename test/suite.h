/* Runs a suite of check; shared by all test programs.  */

#ifndef AM_TEST_SUITE_H
#define AM_TEST_SUITE_H

#include <check.h>
#include <stdlib.h>

/* Runs S and frees it.  Returns the exit status of the program.  */
static inline int
suite_run (Suite *s)
{
  SRunner *r = srunner_create (s);
  int failed;

  srunner_run_all (r, CK_ENV);
  failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

/* Runs the N tests as suite NAME; each may take SECONDS.  Returns the exit
   status of the program.  */
static inline int
suite_run_tests (const char *name, const TTest *const *tests, size_t n,
                 double seconds)
{
  Suite *s = suite_create (name);
  TCase *c = tcase_create (name);

  tcase_set_timeout (c, seconds);
  for (size_t i = 0; i < n; i++)
    tcase_add_test (c, tests[i]);
  suite_add_tcase (s, c);
  return suite_run (s);
}

#endif
