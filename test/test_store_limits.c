/* Limits of the store's responses, by the link.  */

#include "entry/store_limits.h"
#include "suite.h"

#define NARROW_MBPS 10
#define WIDE_MBPS 1000

/* On a narrow link, ms.  */
#define MB_MS 800

/* Guards against VMs with narrow links that repeat a watch until the store's
   history is gone, because a series of large configurations takes longer than
   the watch: it is left for a listing, which is shorter.  */
START_TEST (test_series_of_large_configurations)
{
  size_t configuration = 330000;
  size_t listing = am_store_listing_bytes (150, configuration);
  struct am_http_limits narrow = am_store_watch_limits (NARROW_MBPS, listing);
  struct am_http_limits wide = am_store_watch_limits (WIDE_MBPS, listing);

  ck_assert_uint_ge (narrow.body_max, listing);
  ck_assert_uint_lt (narrow.body_max, 2 * listing);
  ck_assert_uint_ge (wide.body_max, 25 * listing);
}
END_TEST

/* Guards against a watch that never succeeds although it brings no more than a
   listing would.  */
START_TEST (test_watch_brings_what_a_listing_would)
{
  for (uint32_t mbps = 0; mbps <= WIDE_MBPS; mbps += 5)
    for (size_t listing = 0; listing <= AM_HTTP_BODY_MAX; listing += 1 << 20)
      {
        struct am_http_limits l = am_store_watch_limits (mbps, listing);
        double link = 125.0 * (mbps ? mbps : AM_STORE_LINK_DEFAULT_MBPS);

        ck_assert_uint_ge (l.body_max, listing);
        ck_assert_uint_le (l.body_max, AM_HTTP_BODY_MAX);
        ck_assert_double_ge ((l.total_ms - l.begin_ms + 1) * link
                                 * AM_STORE_LINK_SHARE,
                             (double)l.body_max);
      }
}
END_TEST

/* Guards against a page of two values of 1 MB that a narrow link cannot carry
   in time, and against a silent connection that is left late.  */
START_TEST (test_page_of_large_values)
{
  struct am_http_limits narrow = am_store_list_limits (NARROW_MBPS);

  ck_assert_uint_ge (narrow.total_ms - narrow.begin_ms, 2 * 4 * MB_MS / 3);
  ck_assert_uint_eq (narrow.begin_ms, AM_STORE_LIST_BEGIN_MS);
  ck_assert_uint_le (narrow.stall_ms, AM_STORE_LIST_BEGIN_MS);
  ck_assert_uint_eq (am_store_list_limits (0).total_ms, narrow.total_ms);
}
END_TEST

int
main (void)
{
  static const TTest *tests[3];

  tests[0] = test_series_of_large_configurations;
  tests[1] = test_watch_brings_what_a_listing_would;
  tests[2] = test_page_of_large_values;
  return suite_run_tests ("store_limits", tests, 3, 10);
}
