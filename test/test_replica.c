/* Replica of the store: duplicate, late and reordered changes; listings.  */

#include <inttypes.h>
#include <stdio.h>

#include "base/error.h"
#include "base/rng.h"
#include "flow/replica.h"
#include "suite.h"

static struct am_replica r;
static unsigned change_count;

static void
on_changed (void *userdata, const struct am_replica_item *item)
{
  (void)userdata;
  ck_assert (item->removed == !item->value);
  change_count++;
}

static void
begin (void)
{
  change_count = 0;
  am_replica_init (&r, on_changed, NULL);
}

static void
end (void)
{
  am_replica_finish (&r);
}

static void
write_key (const char *key, const char *value, uint64_t revision)
{
  ck_assert_int_eq (am_replica_write (&r, key, strlen (key),
                                      (const uint8_t *)value, strlen (value),
                                      revision),
                    AM_OK);
}

static void
remove_key (const char *key, uint64_t revision)
{
  ck_assert_int_eq (am_replica_remove (&r, key, strlen (key), revision),
                    AM_OK);
}

/* Returns the value of KEY, or NULL if there is none.  */
static const char *
value_of (const char *key)
{
  am_list_each (i, &r.by_revision, struct am_replica_item,
                node) if (strcmp (i->key, key)
                          == 0) return (const char *)i->value;
  return NULL;
}

/* Guards against a late response or a slow peer that restores an older
   value.  */
START_TEST (test_older_change_has_no_effect)
{
  write_key ("a", "new", 5);
  write_key ("a", "old", 4);
  remove_key ("a", 4);
  ck_assert_str_eq (value_of ("a"), "new");
  remove_key ("a", 6);
  write_key ("a", "new", 5);
  ck_assert_ptr_null (value_of ("a"));
  ck_assert_uint_eq (change_count, 2);
}
END_TEST

/* Guards against a revision that decreases with an outdated response.  */
START_TEST (test_revision_never_decreases)
{
  am_replica_advance (&r, 10);
  am_replica_advance (&r, 9);
  ck_assert_uint_eq (r.revision, 10);
  am_replica_list_begin (&r);
  am_replica_list_end (&r, 8);
  ck_assert_uint_eq (r.revision, 10);
}
END_TEST

/* Guards against items that stay in use although they were removed while the
   history was lost, and against the loss of an item that was written during
   the listing.  */
START_TEST (test_listing_removes_missing_items)
{
  write_key ("stays", "1", 1);
  write_key ("goes", "1", 2);
  am_replica_list_begin (&r);
  write_key ("stays", "1", 1);
  write_key ("new", "1", 12);
  am_replica_list_end (&r, 10);
  ck_assert_ptr_nonnull (value_of ("stays"));
  ck_assert_ptr_null (value_of ("goes"));
  ck_assert_ptr_nonnull (value_of ("new"));
  ck_assert_uint_eq (r.revision, 10);
}
END_TEST

/* Guards against counts of the items that drift from what is kept: they tell
   how long a listing takes.  */
START_TEST (test_items_are_counted)
{
  write_key ("a", "123", 1);
  write_key ("b", "1", 2);
  write_key ("a", "12345", 3);
  ck_assert_uint_eq (r.item_count, 2);
  ck_assert_uint_eq (r.item_bytes, 8);
  remove_key ("a", 4);
  remove_key ("c", 5);
  ck_assert_uint_eq (r.item_count, 1);
  ck_assert_uint_eq (r.item_bytes, 2);
  write_key ("a", "", 6);
  ck_assert_uint_eq (r.item_count, 2);
  am_replica_list_begin (&r);
  am_replica_list_end (&r, 9);
  ck_assert_uint_eq (r.item_count, 0);
  ck_assert_uint_eq (r.item_bytes, 0);
  ck_assert_uint_eq (r.tombstone_count, 3);
}
END_TEST

/* Guards against a peer that misses removals because their tombstones were
   dropped here.  */
START_TEST (test_dropped_tombstones_are_reported)
{
  char key[32];

  am_replica_advance (&r, 1);
  for (uint64_t i = 0; i < AM_REPLICA_TOMBSTONES_MAX + 10; i++)
    {
      snprintf (key, sizeof key, "k%" PRIu64, i);
      remove_key (key, 100 + i);
    }
  ck_assert (!am_replica_has_changes_since (&r, 0));
  ck_assert (!am_replica_has_changes_since (&r, 100));
  ck_assert (am_replica_has_changes_since (&r, 110));
  ck_assert_uint_eq (r.tombstone_count, AM_REPLICA_TOMBSTONES_MAX);
}
END_TEST

/* A replica that was filled by a listing after the requester's revision lacks
   the removals before the listing.  Guards against targets that are kept for
   ever.  */
START_TEST (test_listing_sets_compaction_revision)
{
  am_replica_list_begin (&r);
  write_key ("a", "1", 3);
  am_replica_list_end (&r, 20);
  ck_assert (!am_replica_has_changes_since (&r, 19));
  ck_assert (am_replica_has_changes_since (&r, 20));
}
END_TEST

/* An item is missing from a listing, and its older neighbour is the oldest of
   as many tombstones as are kept.  Guards against use of that neighbour after
   it was freed, which the sanitizers report.  */
START_TEST (test_listing_frees_the_oldest_tombstone)
{
  char key[16];
  uint64_t revision = 1;

  remove_key ("oldest", revision++);
  write_key ("missing", "value", revision++);
  for (unsigned i = 1; i < AM_REPLICA_TOMBSTONES_MAX; i++)
    {
      snprintf (key, sizeof key, "t%u", i);
      remove_key (key, revision++);
    }
  am_replica_list_begin (&r);
  am_replica_list_end (&r, revision);
  ck_assert_ptr_null (am_replica_find (&r, "missing"));
  ck_assert_uint_eq (r.tombstone_count, AM_REPLICA_TOMBSTONES_MAX);
}
END_TEST

/* Guards against replicas that differ although they applied the same changes,
   in another order and some of them twice.  */
START_TEST (test_any_order_gives_same_replica)
{
  enum
  {
    CHANGES = 200,
    KEYS = 10
  };
  const char *last[KEYS] = { 0 };
  uint64_t order[CHANGES * 2];
  struct am_rng rng;
  char key[8];
  char value[CHANGES][8];

  am_rng_init (&rng, (uint64_t)_i + 1);
  for (uint64_t i = 0; i < CHANGES; i++)
    {
      snprintf (value[i], sizeof value[i], "%" PRIu64, i);
      last[i * 7 % KEYS] = i % 3 ? value[i] : NULL;
      order[i] = order[CHANGES + i] = i;
    }
  for (size_t i = CHANGES * 2 - 1; i > 0; i--)
    {
      size_t j = am_rng_below (&rng, (uint32_t)i + 1);
      uint64_t swap = order[i];

      order[i] = order[j];
      order[j] = swap;
    }
  for (size_t i = 0; i < CHANGES * 2; i++)
    {
      uint64_t n = order[i];

      snprintf (key, sizeof key, "k%" PRIu64, n * 7 % KEYS);
      if (n % 3)
        write_key (key, value[n], n + 1);
      else
        remove_key (key, n + 1);
    }
  for (uint64_t k = 0; k < KEYS; k++)
    {
      snprintf (key, sizeof key, "k%" PRIu64, k);
      if (last[k])
        ck_assert_str_eq (value_of (key), last[k]);
      else
        ck_assert_ptr_null (value_of (key));
    }
}
END_TEST

/* Guards against a peer that counts its replica as complete although it lacks
   an item that did not fit, or one whose removal is no longer known.  */
START_TEST (test_newest_items)
{
  const struct am_replica_item *items[4];
  size_t count;
  size_t two = 2 * (AM_REPLICA_ITEM_OVERHEAD + 2);

  write_key ("a", "1", 1);
  write_key ("b", "2", 2);
  remove_key ("a", 3);
  write_key ("c", "4", 4);
  am_replica_advance (&r, 4);
  ck_assert_uint_eq (am_replica_newest (&r, two, items, 4, &count), 2);
  ck_assert_uint_eq (count, 2);
  ck_assert_str_eq (items[0]->key, "c");
  ck_assert (items[1]->removed);
  ck_assert_uint_eq (am_replica_newest (&r, 1000, items, 1, &count), 3);
  ck_assert_uint_eq (count, 1);
  ck_assert_uint_eq (am_replica_newest (&r, 1, items, 4, &count), 4);
  ck_assert_uint_eq (count, 0);
  am_replica_list_begin (&r);
  write_key ("b", "2", 2);
  write_key ("c", "4", 4);
  am_replica_list_end (&r, 8);
  write_key ("d", "9", 9);
  ck_assert_uint_eq (am_replica_newest (&r, 1000, items, 4, &count), 8);
  ck_assert_uint_eq (count, 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("replica");
  TCase *tc = tcase_create ("replica");

  tcase_add_checked_fixture (tc, begin, end);
  tcase_add_test (tc, test_older_change_has_no_effect);
  tcase_add_test (tc, test_revision_never_decreases);
  tcase_add_test (tc, test_listing_removes_missing_items);
  tcase_add_test (tc, test_dropped_tombstones_are_reported);
  tcase_add_test (tc, test_listing_sets_compaction_revision);
  tcase_add_test (tc, test_newest_items);
  tcase_add_test (tc, test_items_are_counted);
  tcase_add_test (tc, test_listing_frees_the_oldest_tombstone);
  tcase_add_loop_test (tc, test_any_order_gives_same_replica, 0, 50);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
