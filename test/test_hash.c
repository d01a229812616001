#include <math.h>
#include <stdio.h>

#include "base/hash.h"
#include "suite.h"

#define KEYS 20000
#define NODES 7

/* Guards against ids that differ between versions or machines: tickets carry
   them.  The values are XXH32 of the names.  */
START_TEST (stable_ids)
{
  ck_assert_uint_eq (am_hash_name ("dispatch"), am_hash_name ("dispatch"));
  ck_assert_uint_eq (am_hash_name ("dispatch"), 0xf6e45a32u);
  ck_assert_uint_eq (am_hash_name (""), 0x02cc5d05u);
}
END_TEST

static unsigned
winner (uint64_t key, unsigned nodes)
{
  unsigned best = 0;

  for (unsigned i = 1; i < nodes; i++)
    if (am_hash_rendezvous (key, i) > am_hash_rendezvous (key, best))
      best = i;
  return best;
}

/* Guards against placement that moves keys between nodes that stay.  */
START_TEST (minimal_movement)
{
  unsigned moved = 0;

  for (uint64_t key = 0; key < KEYS; key++)
    {
      unsigned before = winner (key, NODES);
      unsigned after = winner (key, NODES - 1);

      if (before != NODES - 1)
        ck_assert_uint_eq (before, after);
      else
        moved++;
    }
  ck_assert_uint_gt (moved, KEYS / NODES * 9 / 10);
  ck_assert_uint_lt (moved, KEYS / NODES * 11 / 10);
}
END_TEST

/* Guards against weights that are not shares, and against a node of weight
   zero that wins.  */
START_TEST (weights)
{
  unsigned wins[3] = { 0 };

  for (uint64_t key = 0; key < KEYS; key++)
    {
      double a = am_hash_rendezvous_weighted (key, 1, 1);
      double b = am_hash_rendezvous_weighted (key, 2, 3);
      double none = am_hash_rendezvous_weighted (key, 3, 0);

      ck_assert (none < a && none < b && isfinite (a) && isfinite (b));
      wins[a > b ? 1 : 2]++;
    }
  ck_assert_uint_gt (wins[2], KEYS * 73 / 100);
  ck_assert_uint_lt (wins[2], KEYS * 77 / 100);
}
END_TEST

/* Guards against a seed that has no effect.  */
START_TEST (seeds)
{
  ck_assert_uint_eq (am_hash_bytes ("abc", 3, 1), am_hash_bytes ("abc", 3, 1));
  ck_assert_uint_ne (am_hash_bytes ("abc", 3, 1), am_hash_bytes ("abc", 3, 2));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("hash");
  TCase *tc = tcase_create ("hash");

  tcase_add_test (tc, stable_ids);
  tcase_add_test (tc, minimal_movement);
  tcase_add_test (tc, weights);
  tcase_add_test (tc, seeds);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
