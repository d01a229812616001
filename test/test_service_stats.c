/* Observations of services.  */

#include "flow/service_stats.h"
#include "suite.h"

#define NOW 1000000u

static struct am_service_stats s;

/* Guards against a VM that runs for long and learns nothing of the services
   that were added last, as earlier ones take all entries.  */
START_TEST (test_least_recent_service_is_dropped)
{
  am_service_stats_init (&s);
  for (uint32_t i = 1; i <= AM_SERVICE_STATS_MAX + 1; i++)
    am_service_stats_add_response (&s, i, 1000, NOW + i);
  ck_assert_double_eq (
      am_service_stats_response_us (&s, AM_SERVICE_STATS_MAX + 1), 1000);
  ck_assert_double_eq (am_service_stats_response_us (&s, 1), 0);
  ck_assert_double_eq (am_service_stats_response_us (&s, 2), 1000);
}
END_TEST

/* Guards against one long response that counts as the usual one.  */
START_TEST (test_mean_response)
{
  am_service_stats_init (&s);
  for (int i = 0; i < 200; i++)
    am_service_stats_add_response (&s, 1, 20000, NOW);
  am_service_stats_add_response (&s, 1, 2000000, NOW);
  ck_assert_double_le (am_service_stats_response_us (&s, 1), 120000);
  am_service_stats_init (&s);
  ck_assert_uint_eq (am_service_stats_recent_us (&s, 1),
                     AM_SERVICE_STATS_RECENT_MIN_US);
}
END_TEST

/* Guards against room that is reserved for priorities without flows, or for
   those of another service.  */
START_TEST (test_share_of_better_flows)
{
  am_service_stats_init (&s);
  ck_assert_double_eq (am_service_stats_better_share (&s, 1, 2, NOW), 0);
  for (int i = 0; i < 30; i++)
    am_service_stats_add_flow (&s, 1, 2, NOW);
  ck_assert_double_eq (am_service_stats_better_share (&s, 1, 2, NOW), 0);
  for (int i = 0; i < 10; i++)
    am_service_stats_add_flow (&s, 1, 1, NOW);
  ck_assert_double_eq_tol (am_service_stats_better_share (&s, 1, 2, NOW), 0.25,
                           1e-6);
  ck_assert_double_eq (am_service_stats_better_share (&s, 1, 1, NOW), 0);
  ck_assert_double_eq (am_service_stats_better_share (&s, 2, 2, NOW), 0);
}
END_TEST

int
main (void)
{
  const TTest *tests[] = { test_least_recent_service_is_dropped,
                           test_mean_response, test_share_of_better_flows };

  return suite_run_tests ("service_stats", tests, sizeof tests / sizeof *tests,
                          10);
}
