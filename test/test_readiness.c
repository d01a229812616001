/* Readiness of this VM for callers.  */

#include "flow/readiness.h"
#include "suite.h"

#define START_US 1000000u

static struct am_readiness r;

static void
begin (void)
{
  am_readiness_init (&r);
}

static bool
ready (uint64_t now_us)
{
  return am_readiness_ready (&r, true, true, now_us);
}

/* Guards against callers being routed to a VM that cannot serve them.  */
START_TEST (test_needs_routes_and_targets)
{
  ck_assert (!am_readiness_ready (&r, false, true, START_US));
  ck_assert (!am_readiness_ready (&r, true, false, START_US));
  ck_assert (ready (START_US));
  r.stopping = true;
  ck_assert (!ready (START_US));
}
END_TEST

/* Guards against callers being routed to an overloaded VM, where their packets
   are delayed, and against readiness that flaps with each check.  */
START_TEST (test_overload_cooldown)
{
  for (unsigned i = 1; i < AM_READINESS_LAG_COUNT; i++)
    am_readiness_record_lag (&r, AM_READINESS_LAG_US, START_US);
  ck_assert (ready (START_US));
  am_readiness_record_lag (&r, AM_READINESS_LAG_US, START_US);
  ck_assert (!ready (START_US));
  am_readiness_record_lag (&r, 0, START_US + 1);
  ck_assert (!ready (START_US + AM_READINESS_COOLDOWN_US - 1));
  ck_assert (ready (START_US + AM_READINESS_COOLDOWN_US));
}
END_TEST

/* Guards against a VM that becomes not ready for one slow iteration, such as
   one that applies a large configuration.  */
START_TEST (test_single_slow_iteration_is_no_overload)
{
  for (unsigned i = 0; i < 100; i++)
    {
      am_readiness_record_lag (&r, 10 * AM_READINESS_LAG_US, START_US);
      am_readiness_record_lag (&r, 0, START_US);
    }
  ck_assert (ready (START_US));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("readiness");
  TCase *tc = tcase_create ("readiness");

  tcase_add_checked_fixture (tc, begin, NULL);
  tcase_add_test (tc, test_needs_routes_and_targets);
  tcase_add_test (tc, test_overload_cooldown);
  tcase_add_test (tc, test_single_slow_iteration_is_no_overload);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
