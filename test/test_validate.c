#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "record/record.h"
#include "suite.h"

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

/* Service a at 0.1 with upstream 1.1, a second service, and what is said of
   the second.  */
static const struct
{
  const char *a_more;
  const char *a_upstream_more;
  const char *name;
  const char *ip;
  const char *upstream;
  const char *upstream_more;
  int error;
  const char *field;   /* NULL: any */
  const char *allowed; /* NULL: any */
} seconds[] = {
  /* Guards against two services behind one address: callers of one would
     reach the other.  */
  { "", "", "b", "0.1", "1.2", "", AM_E_ADDRESS_IN_USE, "b: address",
    "address of service a" },
  /* Guards against one upstream that serves two services.  */
  { "", "", "b", "0.2", "1.1", ",\"state\":\"leaving\"", AM_E_ADDRESS_IN_USE,
    NULL, "upstream u of service a" },
  /* Guards against giving an address away while a stale entry VM may still
     send the earlier service's packets there: 3,600 s, and for good if the
     time of retirement is not known.  */
  { "", ",\"state\":\"retired\",\"retired_at\":996401", "b", "0.2", "1.1", "",
    AM_E_QUARANTINE, NULL, NULL },
  { "", ",\"state\":\"retired\",\"retired_at\":996400", "b", "0.2", "1.1", "",
    AM_OK, NULL, NULL },
  { "", ",\"state\":\"retired\"", "b", "0.2", "1.1", "", AM_E_QUARANTINE, NULL,
    NULL },
  { ",\"retired\":true,\"retired_at\":996401", "", "b", "0.2", "1.1", "",
    AM_E_QUARANTINE, NULL, NULL },
  { ",\"retired\":true,\"retired_at\":996400", "", "b", "0.2", "1.1", "",
    AM_OK, NULL, NULL },
  { ",\"retired\":true", "", "b", "0.2", "1.1", "", AM_E_QUARANTINE, NULL,
    NULL },
  /* Guards against a service that takes the address of a retired one.  */
  { ",\"retired\":true,\"retired_at\":999999", "", "b", "0.1", "1.2", "",
    AM_E_QUARANTINE, NULL, NULL },
  /* Guards against a service that a stale entry VM cannot tell from the
     retired one: after the quarantine it may not take both its addresses.  */
  { ",\"retired\":true,\"retired_at\":900000", "", "b", "0.1", "1.1", "",
    AM_E_QUARANTINE, "b: upstreams[0].address", NULL },
  /* Guards against refusing two retired holders of one address, which a moved
     upstream leaves behind.  */
  { "", ",\"state\":\"retired\",\"retired_at\":999000", "b", "0.2", "1.1",
    ",\"state\":\"retired\",\"retired_at\":999999", AM_OK, NULL, NULL },
  /* Guards against one service declared twice.  */
  { "", "", "a", "0.2", "1.2", "", AM_E_EXISTS, "a: name",
    "name is used twice" },
};

/* Guards against the faults named in the table.  */
START_TEST (second_service)
{
  add ("a", "0.1", seconds[_i].a_more, "1.1", seconds[_i].a_upstream_more);
  add (seconds[_i].name, seconds[_i].ip, "", seconds[_i].upstream,
       seconds[_i].upstream_more);
  ck_assert_int_eq (check (), seconds[_i].error);
  if (seconds[_i].field)
    ck_assert_str_eq (fault.field, seconds[_i].field);
  if (seconds[_i].allowed)
    ck_assert_str_eq (fault.allowed, seconds[_i].allowed);
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

  tcase_add_checked_fixture (tc, NULL, teardown);
  tcase_add_test (tc, apart);
  tcase_add_loop_test (tc, second_service, 0,
                       sizeof seconds / sizeof seconds[0]);
  tcase_add_test (tc, retired_service_and_upstream);
  tcase_add_test (tc, id_collision);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
