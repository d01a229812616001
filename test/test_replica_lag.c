/* Whether the replica of the store lags behind the claims of readers.  */

#include "flow/replica_lag.h"
#include "suite.h"

#define NOW 10000000u

/* Guards against a replica that stays old because readers that are as old
   still confirm it, while another one is ahead and can send only all of its
   items.  */
START_TEST (test_revision_that_is_not_reached)
{
  struct am_replica_lag l;

  am_replica_lag_init (&l);
  am_replica_lag_update (&l, 5, 6, NOW);
  ck_assert (!am_replica_lags (&l, NOW + AM_REPLICA_LAG_US - 1));
  am_replica_lag_update (&l, 5, 7, NOW + 1000);
  ck_assert (am_replica_lags (&l, NOW + AM_REPLICA_LAG_US));
  am_replica_lag_update (&l, 7, 7, NOW + AM_REPLICA_LAG_US);
  ck_assert (!am_replica_lags (&l, NOW + 2 * AM_REPLICA_LAG_US));
}
END_TEST

/* Guards against VMs that request all items while they receive each change: a
   release of targets keeps them a little behind for seconds.  */
START_TEST (test_replica_that_follows_does_not_lag)
{
  struct am_replica_lag l;
  uint64_t now_us = NOW;

  am_replica_lag_init (&l);
  for (uint64_t revision = 5; revision < 105; revision++)
    {
      now_us += 100000;
      am_replica_lag_update (&l, revision, revision + 3, now_us);
      ck_assert (!am_replica_lags (&l, now_us));
    }
}
END_TEST

/* Guards against a lag that outlives the claim: its reader has died, and no
   other one has that revision.  */
START_TEST (test_claim_that_is_withdrawn)
{
  struct am_replica_lag l;

  am_replica_lag_init (&l);
  am_replica_lag_update (&l, 5, 6, NOW);
  am_replica_lag_update (&l, 5, 0, NOW + 1000);
  ck_assert (!am_replica_lags (&l, NOW + AM_REPLICA_LAG_US));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("replica_lag");
  TCase *tc = tcase_create ("replica_lag");

  tcase_add_test (tc, test_revision_that_is_not_reached);
  tcase_add_test (tc, test_replica_that_follows_does_not_lag);
  tcase_add_test (tc, test_claim_that_is_withdrawn);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
