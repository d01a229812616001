/* A store that comes back from an older copy of itself: what it says then,
   what a VM knows better, and what it does not forget too soon.  */

#include <stdio.h>

#include "base/error.h"
#include "entry_fixture.h"
#include "suite.h"

/* Numbers of revisions: what this VM has seen in era 0, and the copy.  */
#define SEEN 500
#define COPY 480

#define CONFIGURATION "op/config"
#define ORDER "op/evacuate/here"
#define TARGET "servers/i-a1"
#define TARGET_ID 0xa1

static struct am_entry *e;
static uint64_t now_us;

static void
begin (void)
{
  e = entry_new ();
  now_us = ENTRY_START_US;
}

static void
end (void)
{
  entry_free (e);
}

/* ---- what the store says ------------------------------------------ */

/* An item of the store; VALUE is NULL if it was removed.  */
struct stored
{
  const char *key;
  const char *value;
  uint64_t number;
};

static struct am_store_item
item_of (const struct stored *s, uint32_t era)
{
  struct am_store_item i = { .key = s->key,
                             .key_len = strlen (s->key),
                             .value = (const uint8_t *)s->value,
                             .value_len = s->value ? strlen (s->value) : 0,
                             .revision = am_revision_make (era, s->number) };

  return i;
}

/* The store of ERA is listed: the COUNT items ITEMS, as of NUMBER.  */
static void
list (struct am_entry *vm, uint32_t era, uint64_t number,
      const struct stored *items, size_t count)
{
  am_revision before = vm->replica.revision;

  am_replica_list_begin (&vm->replica);
  for (size_t n = 0; n < count; n++)
    {
      struct am_store_item i = item_of (&items[n], era);

      ck_assert_int_eq (am_entry_write_listed_item (vm, &i), AM_OK);
    }
  am_replica_list_end (&vm->replica, am_revision_make (era, number));
  am_entry_replica_advanced (vm, before, now_us);
}

/* The store of ERA reports a change.  */
static void
change (struct am_entry *vm, uint32_t era, struct stored s)
{
  am_revision before = vm->replica.revision;
  struct am_store_item i = item_of (&s, era);

  if (s.value)
    am_entry_write_item (vm, &i);
  else
    am_replica_remove (&vm->replica, i.key, i.key_len, i.revision);
  am_replica_advance (&vm->replica, i.revision);
  am_entry_replica_advanced (vm, before, now_us);
}

static struct stored
configuration (unsigned version, uint64_t number)
{
  static char texts[4][128];
  static unsigned next;
  char *text = texts[next++ % 4];

  snprintf (text, sizeof texts[0],
            "{\"version\":%u,\"routes\":[{\"host\":\"198.18.0.1\","
            "\"prefix\":\"/443/\",\"service\":\"a\"}]}",
            version);
  return (struct stored){ CONFIGURATION, text, number };
}

static struct stored
target (const char *state, unsigned seq, unsigned born, uint64_t number)
{
  static char texts[4][256];
  static unsigned next;
  char *text = texts[next++ % 4];

  snprintf (text, sizeof texts[0],
            "{\"service\":\"a\",\"address\":\"1.2.3.4:5\",\"zone\":\"here\","
            "\"version\":\"v1\",\"capacity\":2,\"state\":\"%s\","
            "\"warmup_left_ms\":0,\"seq\":%u,\"born\":%u}",
            state, seq, born);
  return (struct stored){ TARGET, text, number };
}

static enum am_target_state
state_of (struct am_entry *vm)
{
  const struct am_target *t = am_target_by_id (&vm->targets, TARGET_ID);

  ck_assert_ptr_nonnull (t);
  return t->state;
}

static void
sweep (void)
{
  struct am_target_events none = { 0 };

  am_target_table_sweep (&e->targets, now_us,
                         am_store_sync_grace_end (&e->sync), &none);
}

/* A VM in sync that has seen these two up to the revision SEEN.  */
static void
begin_era_0 (struct stored a, struct stored b)
{
  struct stored items[] = { a, b };

  list (e, 0, SEEN, items, 2);
  am_store_sync_confirmed (&e->sync, now_us);
  now_us += 60000000;
  am_store_sync_confirmed (&e->sync, now_us);
}

/* ---- order -------------------------------------------------------- */

/* Guards against VMs that ignore what is written after the restore, as its
   revisions are not above those that they have seen.  */
START_TEST (test_change_after_the_restore_is_applied)
{
  struct stored copy[]
      = { configuration (7, 300), target ("ready", 1, 1, 200) };

  begin_era_0 (configuration (7, 300), target ("ready", 1, 1, 200));
  list (e, 1, COPY, copy, 2);
  change (e, 1, configuration (12, COPY + 1));
  ck_assert_uint_eq (e->routes.active.version, 12);
  ck_assert_uint_eq (e->counters.restores, 1);
}
END_TEST

/* Guards against a restore that is noted at each change, or at the start.  */
START_TEST (test_one_restore_is_noted_once)
{
  struct stored copy[]
      = { configuration (7, 300), target ("ready", 1, 1, 200) };

  list (e, 3, COPY, copy, 2);
  ck_assert_uint_eq (e->counters.restores, 0);
  change (e, 3, configuration (8, COPY + 1));
  ck_assert_uint_eq (e->counters.restores, 0);
  list (e, 5, COPY, copy, 2);
  change (e, 5, configuration (9, COPY + 1));
  list (e, 5, COPY + 1, copy, 2);
  ck_assert_uint_eq (e->counters.restores, 1);
}
END_TEST

/* Guards against a call of an earlier era that is answered late, against a
   listing with pages of two eras, and against a watch whose history is that of
   another era.  */
START_TEST (test_answers_of_other_eras)
{
  struct stored copy[]
      = { configuration (7, 300), target ("ready", 1, 1, 200) };
  am_revision old = am_revision_make (0, 900);
  am_revision present = am_revision_make (1, 10);
  am_revision next = am_revision_make (2, 10);

  list (e, 1, COPY, copy, 2);
  ck_assert_int_eq (am_entry_check_era (e, 0, old), AM_E_STORE_OLD);
  ck_assert_int_eq (am_entry_check_era (e, 0, present), AM_OK);
  ck_assert_int_eq (am_entry_check_era (e, 0, next), AM_OK);
  ck_assert_int_eq (am_entry_check_era (e, present, old), AM_E_STORE_OLD);
  ck_assert_int_eq (am_entry_check_era (e, present, present), AM_OK);
  ck_assert_int_eq (am_entry_check_era (e, present, next), AM_E_EXPIRED);
  ck_assert_int_eq (am_entry_check_era (e, next, present), AM_E_EXPIRED);
}
END_TEST

/* Requests the changes that VM lacks from SERVER, and applies them.  */
static void
pull (struct am_entry *vm, struct am_entry *server)
{
  struct am_http_reply reply = { 0 };
  char path[64];

  snprintf (path, sizeof path, AM_ENTRY_CHANGES_PATH "%llu",
            (unsigned long long)vm->replica.revision);
  am_entry_changes_handle (server, path, &reply);
  ck_assert_int_eq (reply.status, 200);
  ck_assert_int_eq (
      am_entry_changes_apply (vm, reply.body, reply.body_len, now_us), AM_OK);
  free (reply.body);
}

/* Guards against a peer that still spreads the old era, such as one that was
   cut off or frozen; and against one that does not learn the new one.  */
START_TEST (test_peers_of_two_eras)
{
  struct am_entry *cut = entry_new ();
  struct stored before[]
      = { configuration (7, 300), target ("ready", 1, 1, 200) };
  struct stored copy[]
      = { configuration (8, 400), target ("ready", 1, 1, 200) };

  list (cut, 0, SEEN, before, 2);
  list (e, 0, SEEN, before, 2);
  list (e, 2, COPY, copy, 2);
  pull (e, cut);
  ck_assert_uint_eq (e->replica.revision, am_revision_make (2, COPY));
  ck_assert_uint_eq (e->routes.active.version, 8);
  pull (cut, e);
  ck_assert_uint_eq (cut->replica.revision, am_revision_make (2, COPY));
  ck_assert_uint_eq (cut->routes.active.version, 8);
  ck_assert_uint_eq (cut->counters.restores, 1);
  entry_free (cut);
}
END_TEST

/* ---- what the copy brings back ------------------------------------ */

/* Guards against a configuration in force that goes back, here or on a VM that
   starts after the restore and gets its replica from this one.  */
START_TEST (test_configuration_does_not_go_back)
{
  struct am_entry *starting = entry_new ();
  struct stored copy[]
      = { configuration (7, 300), target ("ready", 1, 1, 200) };

  begin_era_0 (configuration (9, 490), target ("ready", 1, 1, 200));
  list (e, 1, COPY, copy, 2);
  ck_assert_uint_eq (e->routes.active.version, 9);
  pull (starting, e);
  ck_assert_uint_eq (starting->routes.active.version, 9);
  change (e, 1, configuration (11, COPY + 1));
  pull (starting, e);
  ck_assert_uint_eq (starting->routes.active.version, 11);
  entry_free (starting);
}
END_TEST

/* Guards against an older configuration on a VM that starts after the restore
   and lists the copy itself: its replica is as new as those of its peers,
   which alone have the later one.  */
START_TEST (test_configuration_comes_from_peers)
{
  struct am_entry *starting = entry_new ();
  struct stored copy[]
      = { configuration (7, 300), target ("ready", 1, 1, 200) };
  struct am_http_reply reply = { 0 };
  struct am_peer *p;

  begin_era_0 (configuration (9, 490), target ("ready", 1, 1, 200));
  list (e, 1, COPY, copy, 2);
  list (starting, 1, COPY, copy, 2);
  ck_assert_uint_eq (starting->routes.active.version, 7);
  p = am_fleet_get_or_add_peer (&starting->fleet, "peer", now_us);
  p->heard_us = now_us;
  p->revision = e->replica.revision;
  p->configuration = 9;
  ck_assert_ptr_null (am_fleet_pull_source (
      &starting->fleet, starting->replica.revision, true, now_us));
  ck_assert_ptr_eq (am_fleet_configuration_source (
                        &starting->fleet, starting->routes.active.version,
                        starting->replica.revision, now_us),
                    p);
  am_entry_changes_handle (e, AM_ENTRY_CHANGES_PATH "0", &reply);
  ck_assert_int_eq (
      am_entry_changes_apply (starting, reply.body, reply.body_len, now_us),
      AM_OK);
  ck_assert_uint_eq (starting->routes.active.version, 9);
  ck_assert_ptr_null (am_fleet_configuration_source (
      &starting->fleet, starting->routes.active.version,
      starting->replica.revision, now_us));
  free (reply.body);
  entry_free (starting);
}
END_TEST

/* Guards against new flows to a target that had left, or was about to, and
   stands in the copy as ready.  */
START_TEST (test_target_that_left_stays_away)
{
  struct stored gone = { TARGET, NULL, 495 };
  struct stored copy[]
      = { configuration (7, 300), target ("ready", 1, 1, 200) };

  begin_era_0 (configuration (7, 300), target ("ready", 1, 1, 200));
  change (e, 0, target ("draining", 2, 1, 490));
  list (e, 1, COPY, copy, 2);
  ck_assert_int_eq (state_of (e), AM_TARGET_DRAINING);
  change (e, 1, gone);
  now_us += AM_STORE_SYNC_GRACE_US;
  sweep ();
  ck_assert_int_eq (state_of (e), AM_TARGET_REMOVED);
  list (e, 2, COPY, copy, 2);
  ck_assert_int_eq (state_of (e), AM_TARGET_REMOVED);
}
END_TEST

/* Guards against a target that stays out of use although it has started anew,
   or written again since the restore.  */
START_TEST (test_target_that_writes_again_is_used)
{
  struct stored gone = { TARGET, NULL, 495 };
  struct stored copy[]
      = { configuration (7, 300), target ("ready", 2, 1, 200) };
  struct stored anew[]
      = { configuration (7, 300), target ("ready", 1, 9, 470) };

  begin_era_0 (configuration (7, 300), target ("ready", 2, 1, 200));
  change (e, 0, gone);
  list (e, 1, COPY, copy, 2);
  change (e, 1, target ("ready", 2, 1, COPY + 1));
  ck_assert_int_eq (state_of (e), AM_TARGET_READY);
  change (e, 1, gone);
  list (e, 2, COPY, anew, 2);
  ck_assert_int_eq (state_of (e), AM_TARGET_READY);
}
END_TEST

/* ---- what the copy lacks ------------------------------------------ */

/* Guards against open flows that are reset, and orders that end, because the
   copy lacks them and their writers have had no time to write again; and
   against ones that stay for good.  */
START_TEST (test_what_the_copy_lacks_stays_for_a_while)
{
  struct stored copy[] = { configuration (7, 300) };
  struct stored order = { ORDER, "{}", 492 };

  begin_era_0 (configuration (7, 300), target ("ready", 1, 1, 490));
  change (e, 0, order);
  list (e, 1, COPY, copy, 1);
  sweep ();
  ck_assert_int_eq (state_of (e), AM_TARGET_READY);
  ck_assert (am_evacuations_apply (&e->evacuations, am_hash_name ("here")));
  ck_assert_uint_eq (e->relist_us, now_us + AM_STORE_SYNC_GRACE_US);
  now_us = e->relist_us;
  list (e, 1, COPY + 3, copy, 1);
  sweep ();
  ck_assert_int_eq (state_of (e), AM_TARGET_REMOVED);
  ck_assert (!am_evacuations_apply (&e->evacuations, am_hash_name ("here")));
  ck_assert_uint_eq (e->routes.active.version, 7);
}
END_TEST

/* Guards against a removal in the first seconds of the new era that counts at
   once: an entry may have lapsed while the store was away.  */
START_TEST (test_grace_begins_anew)
{
  struct stored copy[]
      = { configuration (7, 300), target ("ready", 1, 1, 200) };
  struct stored gone = { TARGET, NULL, COPY + 1 };

  begin_era_0 (configuration (7, 300), target ("ready", 1, 1, 200));
  list (e, 1, COPY, copy, 2);
  change (e, 1, gone);
  now_us += AM_STORE_SYNC_GRACE_US - 1;
  sweep ();
  ck_assert_int_eq (state_of (e), AM_TARGET_READY);
  now_us++;
  sweep ();
  ck_assert_int_eq (state_of (e), AM_TARGET_REMOVED);
}
END_TEST

/* Guards against a VM that was frozen across two restores, or the second of
   which came before the first had spread.  */
START_TEST (test_second_restore)
{
  struct stored copy[] = { configuration (7, 300) };
  struct stored again[]
      = { configuration (10, 301), target ("ready", 3, 1, 302) };

  begin_era_0 (configuration (9, 490), target ("ready", 1, 1, 491));
  list (e, 1, COPY, copy, 1);
  list (e, 2, 310, again, 2);
  ck_assert_uint_eq (e->counters.restores, 2);
  ck_assert_uint_eq (e->routes.active.version, 10);
  ck_assert_int_eq (state_of (e), AM_TARGET_READY);
  ck_assert_uint_eq (e->replica.revision, am_revision_make (2, 310));
}
END_TEST

/* Guards against a claim of the old era that confirms a replica of the new
   one, and against a reader of the new era from which nobody pulls as its
   numbers are lower.  */
START_TEST (test_claims_of_two_eras)
{
  struct am_peer *p = am_fleet_get_or_add_peer (&e->fleet, "peer", now_us);
  am_revision old = am_revision_make (0, SEEN);
  am_revision new = am_revision_make (1, COPY);

  p->heard_us = now_us;
  p->reads = true;
  p->revision = old;
  ck_assert_uint_eq (am_fleet_confirmed_us (&e->fleet, old, now_us), now_us);
  ck_assert_uint_eq (am_fleet_confirmed_us (&e->fleet, new, now_us), 0);
  ck_assert_ptr_null (am_fleet_pull_source (&e->fleet, new, true, now_us));
  p->revision = new;
  ck_assert_ptr_eq (am_fleet_pull_source (&e->fleet, old, true, now_us), p);
  ck_assert_uint_eq (am_fleet_claimed_revision (&e->fleet, now_us), new);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("restore");
  TCase *tc = tcase_create ("restore");

  tcase_add_checked_fixture (tc, begin, end);
  tcase_add_test (tc, test_change_after_the_restore_is_applied);
  tcase_add_test (tc, test_one_restore_is_noted_once);
  tcase_add_test (tc, test_answers_of_other_eras);
  tcase_add_test (tc, test_peers_of_two_eras);
  tcase_add_test (tc, test_configuration_does_not_go_back);
  tcase_add_test (tc, test_configuration_comes_from_peers);
  tcase_add_test (tc, test_target_that_left_stays_away);
  tcase_add_test (tc, test_target_that_writes_again_is_used);
  tcase_add_test (tc, test_what_the_copy_lacks_stays_for_a_while);
  tcase_add_test (tc, test_grace_begins_anew);
  tcase_add_test (tc, test_second_restore);
  tcase_add_test (tc, test_claims_of_two_eras);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
