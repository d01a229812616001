
#include "base/list.h"
#include "suite.h"

struct item
{
  int value;
  struct am_list node;
};

static struct am_list list;
static struct item items[3];

static void
fill (void)
{
  am_list_init (&list);
  for (int i = 0; i < 3; i++)
    {
      items[i].value = i + 1;
      am_list_push_back (&list, &items[i].node);
    }
}

static int
sum_in_order (void)
{
  int digits = 0;

  am_list_each (pos, &list, struct item, node) digits
      = digits * 10 + pos->value;
  return digits;
}

/* Guards against elements out of order.  */
START_TEST (order)
{
  struct item first = { .value = 9 };

  fill ();
  ck_assert_int_eq (sum_in_order (), 123);
  am_list_push_front (&list, &first.node);
  ck_assert_int_eq (sum_in_order (), 9123);
}
END_TEST

/* Guards against a second removal that damages the list.  */
START_TEST (remove_twice)
{
  fill ();
  am_list_remove (&items[1].node);
  am_list_remove (&items[1].node);
  ck_assert_int_eq (sum_in_order (), 13);
  ck_assert (am_list_empty (&items[1].node));
}
END_TEST

/* Guards against a walk that is lost when the body removes the element.  */
START_TEST (remove_in_walk)
{
  int seen = 0;

  fill ();
  am_list_each_safe (pos, tmp, &list, struct item, node)
  {
    seen = seen * 10 + pos->value;
    am_list_remove (&pos->node);
  }
  ck_assert_int_eq (seen, 123);
  ck_assert (am_list_empty (&list));
}
END_TEST

/* Guards against the head handed out as an element.  */
START_TEST (pop)
{
  fill ();
  ck_assert_ptr_eq (am_list_pop_front (&list), &items[0].node);
  am_list_pop_front (&list);
  am_list_pop_front (&list);
  ck_assert_ptr_null (am_list_pop_front (&list));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("list");
  TCase *tc = tcase_create ("list");

  tcase_add_test (tc, order);
  tcase_add_test (tc, remove_twice);
  tcase_add_test (tc, remove_in_walk);
  tcase_add_test (tc, pop);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
