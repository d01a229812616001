/* What may be concluded from the age of the copy of the store.  */

#include "flow/store_sync.h"
#include "suite.h"

#define START_US 1000000u

static struct am_store_sync c;

static void
begin (void)
{
  am_store_sync_init (&c, START_US);
}

/* Guards against an age that is counted from the begin of the clock.  */
START_TEST (test_age)
{
  ck_assert_uint_eq (am_store_sync_age (&c, START_US + 5), 5);
  am_store_sync_confirmed (&c, START_US + 5);
  am_store_sync_lost (&c);
  ck_assert_uint_eq (am_store_sync_age (&c, START_US + 12), 7);
}
END_TEST

/* Guards against conclusions of a VM that has just started: entries may have
   lapsed while the store was away.  */
START_TEST (test_start_is_not_settled)
{
  ck_assert (!am_store_sync_authoritative (&c, START_US));
  am_store_sync_confirmed (&c, START_US);
  ck_assert (!am_store_sync_authoritative (
      &c, START_US + AM_STORE_SYNC_GRACE_US - 1));
  am_store_sync_confirmed (&c, START_US + 1000000);
  ck_assert (
      am_store_sync_authoritative (&c, START_US + AM_STORE_SYNC_GRACE_US));
}
END_TEST

/* Guards against live targets that are given up in the two seconds in which
   they register again.  */
START_TEST (test_grace_begins_anew_after_a_loss)
{
  uint64_t back_us = START_US + 60000000u;

  am_store_sync_confirmed (&c, START_US);
  am_store_sync_lost (&c);
  ck_assert_uint_eq (am_store_sync_grace_end (&c), UINT64_MAX);
  am_store_sync_confirmed (&c, back_us);
  ck_assert_uint_eq (am_store_sync_grace_end (&c),
                     back_us + AM_STORE_SYNC_GRACE_US);
}
END_TEST

/* Guards against a silent connection that leaves an old copy in force as if it
   were fresh.  */
START_TEST (test_silence_is_a_loss)
{
  am_store_sync_confirmed (&c, START_US);
  ck_assert (am_store_sync_check (&c, START_US + AM_STORE_SYNC_STALE_US));
  ck_assert (!am_store_sync_check (&c, START_US + AM_STORE_SYNC_STALE_US + 1));
  ck_assert (!am_store_sync_authoritative (
      &c, START_US + AM_STORE_SYNC_STALE_US + 1));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("contact");
  TCase *tc = tcase_create ("contact");

  tcase_add_checked_fixture (tc, begin, NULL);
  tcase_add_test (tc, test_age);
  tcase_add_test (tc, test_start_is_not_settled);
  tcase_add_test (tc, test_grace_begins_anew_after_a_loss);
  tcase_add_test (tc, test_silence_is_a_loss);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
