/* Synchronization state of the replica of the store.  */

#include "flow/store_sync.h"
#include "suite.h"

#define START_US 1000000u

static struct am_store_sync sync;

static void
begin (void)
{
  am_store_sync_init (&sync, START_US);
}

/* Guards against an age that is counted from the zero of the clock.  */
START_TEST (test_age)
{
  ck_assert_uint_eq (am_store_sync_age (&sync, START_US + 5), 5);
  am_store_sync_confirmed (&sync, START_US + 5);
  am_store_sync_lost (&sync);
  ck_assert_uint_eq (am_store_sync_age (&sync, START_US + 12), 7);
}
END_TEST

/* Guards against a VM that has just started and takes missing items as
   deleted: they may have expired while the store was unavailable.  */
START_TEST (test_not_authoritative_at_start)
{
  ck_assert (!am_store_sync_authoritative (&sync, START_US));
  am_store_sync_confirmed (&sync, START_US);
  ck_assert (!am_store_sync_authoritative (
      &sync, START_US + AM_STORE_SYNC_GRACE_US - 1));
  am_store_sync_confirmed (&sync, START_US + 1000000);
  ck_assert (
      am_store_sync_authoritative (&sync, START_US + AM_STORE_SYNC_GRACE_US));
}
END_TEST

/* Guards against the removal of running targets during the two seconds in
   which they register again.  */
START_TEST (test_grace_restarts_after_loss)
{
  uint64_t returned_us = START_US + 60000000u;

  am_store_sync_confirmed (&sync, START_US);
  am_store_sync_lost (&sync);
  ck_assert_uint_eq (am_store_sync_grace_end (&sync), UINT64_MAX);
  am_store_sync_confirmed (&sync, returned_us);
  ck_assert_uint_eq (am_store_sync_grace_end (&sync),
                     returned_us + AM_STORE_SYNC_GRACE_US);
}
END_TEST

/* Guards against a connection that delivers nothing, while an old replica
   stays in use as if it were up to date.  */
START_TEST (test_timeout_is_a_loss)
{
  am_store_sync_confirmed (&sync, START_US);
  ck_assert (am_store_sync_check (&sync, START_US + AM_STORE_SYNC_STALE_US));
  ck_assert (
      !am_store_sync_check (&sync, START_US + AM_STORE_SYNC_STALE_US + 1));
  ck_assert (!am_store_sync_authoritative (
      &sync, START_US + AM_STORE_SYNC_STALE_US + 1));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("store_sync");
  TCase *tc = tcase_create ("store_sync");

  tcase_add_checked_fixture (tc, begin, NULL);
  tcase_add_test (tc, test_age);
  tcase_add_test (tc, test_not_authoritative_at_start);
  tcase_add_test (tc, test_grace_restarts_after_loss);
  tcase_add_test (tc, test_timeout_is_a_loss);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
