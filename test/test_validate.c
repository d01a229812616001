#include <check.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "record/record.h"

#define NOW 1000000
#define SET_MAX 4

static struct am_record records[SET_MAX];
static const struct am_record *set[SET_MAX];
static size_t count;
static struct am_fault fault;

static void
teardown (void)
{
  for (size_t i = 0; i < count; i++)
    am_record_finish (&records[i]);
  count = 0;
}

/* Adds a service at 127.70.IP:80 with one upstream u at 127.70.UPSTREAM:90. */
static void
add (const char *name, const char *ip, const char *more, const char *upstream,
     const char *upstream_more)
{
  char text[1024];

  snprintf (text, sizeof text,
            "{\"schema\":2,\"kind\":\"service\",\"name\":\"%s\","
            "\"region\":\"r\",\"address\":\"127.70.%s:80\"%s,"
            "\"upstreams\":[{\"name\":\"u\",\"address\":\"127.70.%s:90\","
            "\"data_centre\":\"d\",\"slots\":1,\"connections\":1%s}]}",
            name, ip, more, upstream, upstream_more);
  ck_assert_int_eq (
      am_record_parse_json (&records[count], text, strlen (text), &fault),
      AM_OK);
  set[count] = &records[count];
  count++;
}

static int
check (void)
{
  return am_record_validate_set_at (set, count, NOW, &fault);
}

/* Guards against refusing services that share nothing.  */
START_TEST (apart)
{
  add ("a", "0.1", "", "1.1", "");
  add ("b", "0.2", "", "1.2", "");
  ck_assert_int_eq (check (), AM_OK);
  ck_assert_int_eq (am_record_validate_set (set, 0, &fault), AM_OK);
}
END_TEST

/* Guards against two services behind one address: callers of one would reach
   the other.  */
START_TEST (service_address)
{
  add ("a", "0.1", "", "1.1", "");
  add ("b", "0.1", "", "1.2", "");
  ck_assert_int_eq (check (), AM_E_ADDRESS_IN_USE);
  ck_assert_str_eq (fault.field, "b: address");
  ck_assert_str_eq (fault.allowed, "address of service a");
}
END_TEST

/* Guards against one upstream that serves two services.  */
START_TEST (upstream_address)
{
  add ("a", "0.1", "", "1.1", "");
  add ("b", "0.2", "", "1.1", ",\"state\":\"leaving\"");
  ck_assert_int_eq (check (), AM_E_ADDRESS_IN_USE);
  ck_assert_str_eq (fault.allowed, "upstream u of service a");
}
END_TEST

static const struct
{
  const char *service; /* of the retired one */
  const char *upstream;
  int error;
} quarantines[] = {
  { "", ",\"state\":\"retired\",\"retired_at\":996401", AM_E_QUARANTINE },
  { "", ",\"state\":\"retired\",\"retired_at\":996400", AM_OK },
  { "", ",\"state\":\"retired\"", AM_E_QUARANTINE },
  { ",\"retired\":true,\"retired_at\":996401", "", AM_E_QUARANTINE },
  { ",\"retired\":true,\"retired_at\":996400", "", AM_OK },
  { ",\"retired\":true", "", AM_E_QUARANTINE },
};

/* Guards against giving an address away while a stale entry VM may still send
   the earlier service's packets there: 3,600 s, and for good if the time of
   retirement is not known.  */
START_TEST (quarantine)
{
  add ("a", "0.1", quarantines[_i].service, "1.1", quarantines[_i].upstream);
  add ("b", "0.2", "", "1.1", "");
  ck_assert_int_eq (check (), quarantines[_i].error);
}
END_TEST

/* Guards against a service that takes the address of a retired one.  */
START_TEST (retired_service_address)
{
  add ("a", "0.1", ",\"retired\":true,\"retired_at\":999999", "1.1", "");
  add ("b", "0.1", "", "1.2", "");
  ck_assert_int_eq (check (), AM_E_QUARANTINE);
}
END_TEST

/* Guards against a service that a stale entry VM cannot tell from the retired
   one: after the quarantine it may take the service address or an upstream's
   address, never both.  */
START_TEST (retired_service_and_upstream)
{
  add ("a", "0.1", ",\"retired\":true,\"retired_at\":900000", "1.1", "");
  add ("b", "0.1", "", "1.2", "");
  add ("c", "0.2", "", "1.1", "");
  ck_assert_int_eq (check (), AM_OK);
}
END_TEST

START_TEST (retired_service_taken_whole)
{
  add ("a", "0.1", ",\"retired\":true,\"retired_at\":900000", "1.1", "");
  add ("b", "0.1", "", "1.1", "");
  ck_assert_int_eq (check (), AM_E_QUARANTINE);
  ck_assert_str_eq (fault.field, "b: upstreams[0].address");
}
END_TEST

/* Guards against refusing two retired holders of one address, which a moved
   upstream leaves behind.  */
START_TEST (both_retired)
{
  add ("a", "0.1", "", "1.1", ",\"state\":\"retired\",\"retired_at\":999000");
  add ("b", "0.2", "", "1.1", ",\"state\":\"retired\",\"retired_at\":999999");
  ck_assert_int_eq (check (), AM_OK);
}
END_TEST

/* Guards against one service declared twice.  */
START_TEST (name_twice)
{
  add ("a", "0.1", "", "1.1", "");
  add ("a", "0.2", "", "1.2", "");
  ck_assert_int_eq (check (), AM_E_EXISTS);
  ck_assert_str_eq (fault.field, "a: name");
  ck_assert_str_eq (fault.allowed, "name is used twice");
}
END_TEST

/* Guards against two names with one id: tickets of one service would be taken
   for the other's.  The names are a known collision of XXH32.  */
START_TEST (id_collision)
{
  static const char *const names[] = { "service-3352", "service-724358" };

  ck_assert_uint_eq (am_hash_name (names[0]), am_hash_name (names[1]));
  add (names[0], "0.1", "", "1.1", "");
  add (names[1], "0.2", "", "1.2", "");
  ck_assert_int_eq (check (), AM_E_EXISTS);
  ck_assert_str_eq (fault.allowed, "hash of another service's name");
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("validate");
  TCase *tc = tcase_create ("validate");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tc, NULL, teardown);
  tcase_add_test (tc, apart);
  tcase_add_test (tc, service_address);
  tcase_add_test (tc, upstream_address);
  tcase_add_loop_test (tc, quarantine, 0, 6);
  tcase_add_test (tc, retired_service_address);
  tcase_add_test (tc, retired_service_and_upstream);
  tcase_add_test (tc, retired_service_taken_whole);
  tcase_add_test (tc, both_retired);
  tcase_add_test (tc, name_twice);
  tcase_add_test (tc, id_collision);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
