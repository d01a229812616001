#include <string.h>

#include "base/address.h"
#include "base/error.h"
#include "suite.h"

/* Guards against bytes in the wrong order.  */
START_TEST (parse)
{
  char text[AM_ADDRESS_TEXT_SIZE];
  struct am_address a;

  ck_assert_int_eq (am_address_parse (&a, "127.70.1.2:8080"), AM_OK);
  ck_assert_uint_eq (a.ip, 0x7f460102);
  ck_assert_uint_eq (a.port, 8080);
  ck_assert_uint_eq (am_address_key (a), 0x7f4601021f90u);
  ck_assert_str_eq (am_address_format (a, text), "127.70.1.2:8080");
  ck_assert_int_eq (am_address_parse (&a, "255.255.255.255:65535"), AM_OK);
  ck_assert_str_eq (am_address_format (a, text), "255.255.255.255:65535");
}
END_TEST

/* Guards against text that is taken for another address than it says.  */
START_TEST (refuse)
{
  static const char *const texts[] = { "",
                                       ":",
                                       "127.70.1.2",
                                       "127.70.1.2:",
                                       "127.70.1.2:65536",
                                       "127.70.1.2:-1",
                                       "127.70.1.2:+1",
                                       "127.70.1.2: 1",
                                       "127.70.1.2:1x",
                                       "127.70.1.2:99999999999999999999",
                                       "127.70.1:80",
                                       "127.70.1.256:80",
                                       "host:80",
                                       "1234567890.1234567890:80",
                                       "::1:80" };
  struct am_address a;

  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    ck_assert_msg (am_address_parse (&a, texts[i]) == AM_E_FORMAT, "%s",
                   texts[i]);
}
END_TEST

/* Guards against addresses told apart by one half only.  */
START_TEST (equal)
{
  struct am_address a = { 1, 2 };
  struct am_address other_ip = { 2, 2 };
  struct am_address other_port = { 1, 3 };

  ck_assert (am_address_equal (a, a));
  ck_assert (!am_address_equal (a, other_ip));
  ck_assert (!am_address_equal (a, other_port));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("address");
  TCase *tc = tcase_create ("address");

  tcase_add_test (tc, parse);
  tcase_add_test (tc, refuse);
  tcase_add_test (tc, equal);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
