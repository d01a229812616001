/* Routes of the active configuration.  */

#include "flow_fixture.h"
#include "suite.h"

static struct flow_fixture f;

static void
begin (void)
{
  flow_begin (&f);
}

static void
end (void)
{
  flow_end (&f);
}

/* Guards against a configuration that is reverted by a stale answer, and
   against activating the active one again.  */
START_TEST (test_version_only_rises)
{
  ck_assert_int_eq (set_routes (&f, 5, 1), AM_OK);
  ck_assert_int_eq (set_routes (&f, 4, 0), AM_E_REVISION);
  ck_assert_int_eq (set_routes (&f, 5, 0), AM_E_REVISION);
  ck_assert_ptr_nonnull (am_route_find (&f.routes, orders_address ()));
  ck_assert_int_eq (set_routes (&f, 9, 0), AM_OK);
  ck_assert_ptr_null (am_route_find (&f.routes, orders_address ()));
}
END_TEST

/* Guards against routes that are not found in a large configuration.  */
START_TEST (test_each_of_many_routes_is_found)
{
  enum
  {
    ROUTES = 1000
  };
  struct am_configuration c = { .version = 1, .route_count = ROUTES };

  c.routes = calloc (ROUTES, sizeof *c.routes);
  for (uint32_t i = 0; i < ROUTES; i++)
    {
      c.routes[i].address.ip = 1 + i * 7919 % ROUTES;
      c.routes[i].address.port = (uint16_t)(1 + i % 3);
      ck_assert_int_eq (am_route_add_share (&c.routes[i], i, 1), AM_OK);
    }
  ck_assert_int_eq (am_route_table_accept (&f.routes, &c), AM_OK);
  for (uint32_t i = 0; i < ROUTES; i++)
    {
      struct am_address a = { 1 + i * 7919 % ROUTES, (uint16_t)(1 + i % 3) };

      ck_assert_uint_eq (am_route_find (&f.routes, a)->shares[0].service, i);
      a.port = 9;
      ck_assert_ptr_null (am_route_find (&f.routes, a));
    }
}
END_TEST

/* Guards against retransmissions of one SYN that go to different services, and
   against a division of flows that does not follow the weights.  */
START_TEST (test_flows_follow_the_weights)
{
  struct am_route_share shares[] = { { 1, 90 }, { 2, 10 }, { 3, 0 } };
  struct am_route r
      = { .shares = shares, .share_count = 3, .total_weight = 100 };
  unsigned second = 0;

  for (uint16_t port = 1; port <= 10000; port++)
    {
      struct am_packet p = syn (port, 0);
      uint32_t service = am_route_service (&r, am_flow_hash (&p));

      p.ack = 1;
      ck_assert_uint_eq (am_route_service (&r, am_flow_hash (&p)), service);
      ck_assert_uint_ne (service, 3);
      second += service == 2;
    }
  ck_assert_uint_ge (second, 850);
  ck_assert_uint_le (second, 1150);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("route_table");
  TCase *tc = tcase_create ("route_table");

  tcase_add_checked_fixture (tc, begin, end);
  tcase_add_test (tc, test_version_only_rises);
  tcase_add_test (tc, test_each_of_many_routes_is_found);
  tcase_add_test (tc, test_flows_follow_the_weights);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
