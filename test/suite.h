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

#endif
