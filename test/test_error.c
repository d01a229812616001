#include <string.h>

#include "base/error.h"
#include "io/program.h"
#include "suite.h"

static const struct
{
  int number;
  const char *name;
} listed[] = {
#define LISTED(symbol, number, name, text) { number, name },
  AM_ERROR_LIST (LISTED)
#undef LISTED
};

/* Guards against a number or name used for two errors: both travel in
   messages and logs.  */
START_TEST (unique)
{
  const size_t n = sizeof listed / sizeof listed[0];

  for (size_t i = 0; i < n; i++)
    for (size_t j = 0; j < i; j++)
      {
        ck_assert_int_ne (listed[i].number, listed[j].number);
        ck_assert_str_ne (listed[i].name, listed[j].name);
      }
}
END_TEST

/* Guards against an error without a name or text of its own.  */
START_TEST (named)
{
  for (size_t i = 0; i < sizeof listed / sizeof listed[0]; i++)
    {
      ck_assert_str_eq (am_error_name (listed[i].number), listed[i].name);
      ck_assert_str_ne (am_error_text (listed[i].number), "unknown error");
    }
  ck_assert_str_eq (am_error_name (1), "unknown");
  ck_assert_str_eq (am_error_name (-9999), "unknown");
  ck_assert_str_eq (am_error_text (-9999), "unknown error");
}
END_TEST

/* Guards against numbers that moved: old and new programs exchange them.  */
START_TEST (stable)
{
  ck_assert_int_eq (AM_E_MEMORY, -1);
  ck_assert_int_eq (AM_E_CONFLICT, -34);
  ck_assert_int_eq (AM_E_STORE_UNSURE, -36);
  ck_assert_int_eq (AM_E_INTERNAL, -48);
}
END_TEST

/* Guards against exit codes other than the documented ones.  */
START_TEST (exit_codes)
{
  ck_assert_int_eq (am_program_exit_code (AM_OK), 0);
  ck_assert_int_eq (am_program_exit_code (AM_E_ARGUMENT), 64);
  ck_assert_int_eq (am_program_exit_code (AM_E_FIELD_RANGE), 65);
  ck_assert_int_eq (am_program_exit_code (AM_E_QUARANTINE), 65);
  ck_assert_int_eq (am_program_exit_code (AM_E_STORE), 69);
  ck_assert_int_eq (am_program_exit_code (AM_E_STORE_UNSURE), 69);
  ck_assert_int_eq (am_program_exit_code (AM_E_MEMORY), 70);
  ck_assert_int_eq (am_program_exit_code (AM_E_CONFLICT), 75);
  ck_assert_int_eq (am_program_exit_code (AM_E_TIMEOUT), 75);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("error");
  TCase *tc = tcase_create ("error");

  tcase_add_test (tc, unique);
  tcase_add_test (tc, named);
  tcase_add_test (tc, stable);
  tcase_add_test (tc, exit_codes);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
