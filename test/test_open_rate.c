/* Tests the rate limit on OPEN of one caller over all VMs of a home set.  */

#include "base/error.h"
#include "base/rng.h"
#include "core/placement/open_rate.h"
#include "core_board.h"
#include "suite.h"

#define HOMES 7
#define SECONDS 20
#define RATE 200

static struct am_open_rate homes[HOMES];
static struct am_service service;

static void
begin (uint32_t rate)
{
  service
      = (struct am_service){ .id = 1, .open_rate = rate, .home_count = HOMES };
  for (size_t i = 0; i < HOMES; i++)
    am_open_rate_init (&homes[i]);
}

static void
end (void)
{
  for (size_t i = 0; i < HOMES; i++)
    am_open_rate_finish (&homes[i]);
}

/* Sends PER_SECOND evenly spaced OPEN packets of one caller for SECONDS, each
   to a random home VM.  Returns how many were admitted.  */
static unsigned
send_opens (unsigned per_second, uint64_t seed)
{
  struct am_rng rng;
  unsigned admitted = 0;

  am_rng_init (&rng, seed);
  for (unsigned i = 0; i < per_second * SECONDS; i++)
    admitted
        += am_open_rate_take (&homes[am_rng_below (&rng, HOMES)], &service, 5,
                              (uint64_t)i * 1000000 / per_second)
           == AM_OK;
  return admitted;
}

/* Guards against home VMs that each allow the whole rate: with 7 of them a
   caller got 1,400 per second at a limit of 200.  */
START_TEST (test_limit_over_all_vms)
{
  unsigned admitted;

  begin (RATE);
  admitted = send_opens (20 * RATE, 1);
  ck_assert_uint_ge (admitted, RATE * SECONDS);
  ck_assert_uint_le (admitted, RATE * (SECONDS + 2) * 3 / 2);
  end ();
}
END_TEST

/* Guards against refusals for a caller within the limit, caused by the random
   distribution of its packets over the VMs.  */
START_TEST (test_caller_within_limit)
{
  static const unsigned rates[] = { 1, 10, 50, RATE, 2000 };

  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      begin (rates[_i]);
      ck_assert_uint_eq (send_opens (rates[_i], seed), rates[_i] * SECONDS);
      end ();
    }
}
END_TEST

/* Guards against OPEN packets to one service that count against the limit of
   another.  */
START_TEST (test_services_are_independent)
{
  struct am_service other = { .id = 2, .open_rate = 1, .home_count = 1 };

  begin (1000);
  send_opens (1000, 1);
  ck_assert_int_eq (
      am_open_rate_take (&homes[0], &other, 5, SECONDS * 1000000), AM_OK);
  end ();
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("open_rate");
  TCase *tc = tcase_create ("open_rate");

  tcase_add_test (tc, test_limit_over_all_vms);
  tcase_add_loop_test (tc, test_caller_within_limit, 0, 5);
  tcase_add_test (tc, test_services_are_independent);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
