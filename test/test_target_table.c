/* Lookup of targets by id and ticket, absence and removal.  */

#include "flow_fixture.h"
#include "suite.h"

static struct flow_fixture f;
static unsigned removed_count;
static unsigned expired_count;

static void
on_removed (void *userdata, const struct am_target *target)
{
  (void)userdata;
  (void)target;
  removed_count++;
}

static void
on_expired (void *userdata, const struct am_target *target)
{
  (void)userdata;
  (void)target;
  expired_count++;
}

static void
sweep (uint64_t grace_end_us)
{
  struct am_target_events events
      = { .removed = on_removed, .expired = on_expired };

  am_target_table_sweep (&f.targets, f.now_us, grace_end_us, &events);
}

static void
begin (void)
{
  flow_begin (&f);
  removed_count = 0;
  expired_count = 0;
}

static void
end (void)
{
  flow_end (&f);
}

/* Guards against tickets that differ between VMs: the value is part of the
   protocol between them.  */
START_TEST (test_ticket_is_a_function_of_the_id)
{
  ck_assert_uint_eq (am_target_ticket (0xc33a55fe18), 0xa6c2d230);
  ck_assert_uint_ne (am_target_ticket (1), 0);
  ck_assert_uint_ne (am_target_ticket (1), am_target_ticket (2));
}
END_TEST

/* Guards against the removal of a running target whose item expired while the
   store was unavailable.  */
START_TEST (test_absence_within_grace_is_no_removal)
{
  struct am_target *t = add_target (&f, 7, NEAR);

  am_target_table_mark_absent (&f.targets, 7, 0, f.now_us);
  sweep (f.now_us + 1);
  ck_assert_int_eq (t->state, AM_TARGET_READY);
  add_target (&f, 7, NEAR);
  f.now_us += 10000 * MS;
  sweep (0);
  ck_assert_int_eq (t->state, AM_TARGET_READY);
  ck_assert_uint_eq (removed_count, 0);
}
END_TEST

/* Guards against the use of a target whose item is missing after the grace
   period.  */
START_TEST (test_absence_after_grace_is_removal)
{
  struct am_target *t = add_target (&f, 7, NEAR);

  am_target_table_mark_absent (&f.targets, 7, 0, f.now_us);
  sweep (f.now_us);
  ck_assert_int_eq (t->state, AM_TARGET_REMOVED);
  ck_assert_uint_eq (f.targets.ready_count, 0);
  ck_assert_uint_eq (removed_count, 1);
}
END_TEST

/* Another writer's unreadable entry stands at the key of a running target
   until its next heartbeat.  Guards against a target that is removed at once,
   with all of its flows, and against new flows there.  */
START_TEST (test_unusable_registration_is_no_removal)
{
  struct am_target *t = add_target (&f, 7, NEAR);

  am_target_table_mark_unusable (&f.targets, 7, 0, f.now_us);
  ck_assert_int_eq (t->state, AM_TARGET_DRAINING);
  f.now_us += AM_TARGET_UNUSABLE_US - 1;
  sweep (0);
  ck_assert_uint_eq (removed_count, 0);
  add_target (&f, 7, NEAR);
  ck_assert_int_eq (t->state, AM_TARGET_READY);
  f.now_us += AM_TARGET_UNUSABLE_US;
  sweep (0);
  ck_assert_uint_eq (removed_count, 0);
}
END_TEST

/* Guards against flows that wait for ever for a target that has ended, since
   another writer's entry stands at its key.  */
START_TEST (test_unusable_registration_is_removed_later)
{
  struct am_target *t = add_target (&f, 7, NEAR);

  am_target_table_mark_unusable (&f.targets, 7, 0, f.now_us);
  f.now_us += AM_TARGET_UNUSABLE_US;
  sweep (f.now_us + 1);
  ck_assert_uint_eq (removed_count, 0);
  sweep (f.now_us);
  ck_assert_int_eq (t->state, AM_TARGET_REMOVED);
}
END_TEST

/* Guards against a target that is removed, or moved, by an entry at another
   key whose id is the same number.  */
START_TEST (test_other_registration_changes_nothing)
{
  struct am_target *t = add_target (&f, 7, NEAR);
  struct am_target_spec other = t->spec;

  other.registration = 1;
  other.address.port++;
  ck_assert_int_eq (am_target_table_put (&f.targets, &other, f.now_us, NULL),
                    AM_E_EXISTS);
  am_target_table_mark_unusable (&f.targets, 7, 1, f.now_us);
  am_target_table_mark_absent (&f.targets, 7, 1, f.now_us);
  sweep (0);
  ck_assert_int_eq (t->state, AM_TARGET_READY);
  ck_assert_uint_ne (t->spec.address.port, other.address.port);
  am_target_table_mark_absent (&f.targets, 7, 0, f.now_us);
  ck_assert_int_eq (am_target_table_put (&f.targets, &other, f.now_us, NULL),
                    AM_OK);
}
END_TEST

/* Guards against packets of old flows whose target is not found, and against a
   table that grows with each release of the upstreams.  */
START_TEST (test_removed_target_is_retained)
{
  uint32_t ticket = add_target (&f, 7, NEAR)->ticket;

  am_target_table_mark_absent (&f.targets, 7, 0, f.now_us);
  sweep (0);
  f.now_us += AM_TARGET_RETENTION_US;
  sweep (0);
  ck_assert_ptr_nonnull (am_target_by_ticket (&f.targets, ticket, 0));
  f.now_us += 1;
  sweep (0);
  ck_assert_ptr_null (am_target_by_ticket (&f.targets, ticket, 0));
  ck_assert_uint_eq (expired_count, 1);
  ck_assert_uint_eq (f.targets.count, 0);
}
END_TEST

/* Guards against observations of an earlier process with the same id.  */
START_TEST (test_restart_resets_observations)
{
  struct am_target *t = add_target (&f, 7, NEAR);
  struct am_target_spec s = target_spec (7, NEAR);

  t->unanswered_count = 5;
  t->unanswered_since_us = 3;
  s.started_ms = 2;
  am_target_table_put (&f.targets, &s, f.now_us, NULL);
  ck_assert_uint_eq (t->unanswered_count, 0);
  ck_assert_uint_eq (t->unanswered_since_us, 0);
}
END_TEST

/* Searches for two ids, *A < *B, with the same ticket.  */
static void
find_collision (uint64_t *a, uint64_t *b)
{
  enum
  {
    TRIED = 400000
  };
  static uint32_t tickets[TRIED];
  static uint32_t sorted[TRIED];
  uint32_t twice = 0;

  for (uint64_t id = 1; id < TRIED; id++)
    tickets[id] = sorted[id] = am_target_ticket (id);
  for (size_t gap = TRIED / 2; gap; gap /= 2)
    for (size_t i = gap; i < TRIED; i++)
      for (size_t j = i; j >= gap && sorted[j - gap] > sorted[j]; j -= gap)
        {
          uint32_t swap = sorted[j];

          sorted[j] = sorted[j - gap];
          sorted[j - gap] = swap;
        }
  for (size_t i = 1; i < TRIED && !twice; i++)
    if (sorted[i] && sorted[i] == sorted[i - 1])
      twice = sorted[i];
  ck_assert_uint_ne (twice, 0);
  *a = *b = 0;
  for (uint64_t id = 1; id < TRIED; id++)
    if (tickets[id] == twice)
      {
        if (*a)
          *b = id;
        else
          *a = id;
      }
}

/* Guards against flows of two targets that share a ticket and cannot be told
   apart.  Only one of them may receive new flows, the same one on each VM in
   whatever order they are discovered, and the other one once it is alone.  */
START_TEST (test_shared_ticket)
{
  uint64_t a;
  uint64_t b;
  struct am_target *lower;
  struct am_target *higher;

  find_collision (&a, &b);
  higher = add_target (&f, _i ? a : b, NEAR);
  lower = add_target (&f, _i ? b : a, NEAR);
  if (_i)
    {
      struct am_target *swap = higher;

      higher = lower;
      lower = swap;
    }
  ck_assert_uint_eq (lower->ticket, higher->ticket);
  ck_assert (!lower->ambiguous);
  ck_assert (higher->ambiguous);
  am_target_table_mark_absent (&f.targets, lower->spec.id, 0, f.now_us);
  sweep (0);
  f.now_us += AM_TARGET_RETENTION_US + 1;
  sweep (0);
  ck_assert (!higher->ambiguous);
}
END_TEST

/* Guards against flows of a target whose packets go to a newer one, which
   resets them, since that has the same ticket.  */
START_TEST (test_shared_ticket_stays_with_the_older_target)
{
  uint64_t a;
  uint64_t b;
  struct am_target_spec s;
  struct am_target *older;

  find_collision (&a, &b);
  older = add_target (&f, a > b ? a : b, NEAR);
  s = target_spec (a > b ? b : a, NEAR);
  s.started_ms = older->spec.started_ms + 1;
  s.service = ARCHIVE;
  am_target_table_put (&f.targets, &s, f.now_us, NULL);
  ck_assert (!older->ambiguous);
  ck_assert_ptr_eq (am_target_by_ticket (&f.targets, older->ticket, 0), older);
}
END_TEST

/* Guards against a packet of one service that is forwarded to a target of
   another because their tickets are equal.  */
START_TEST (test_shared_ticket_of_two_services)
{
  uint64_t a;
  uint64_t b;
  struct am_target_spec s;

  find_collision (&a, &b);
  add_target (&f, a, NEAR);
  s = target_spec (b, NEAR);
  s.service = ARCHIVE;
  am_target_table_put (&f.targets, &s, f.now_us, NULL);
  ck_assert_uint_eq (
      am_target_by_ticket (&f.targets, am_target_ticket (a), ARCHIVE)->spec.id,
      b);
  ck_assert_uint_eq (
      am_target_by_ticket (&f.targets, am_target_ticket (a), ORDERS)->spec.id,
      a);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("target_table");
  TCase *tc = tcase_create ("target_table");

  tcase_add_checked_fixture (tc, begin, end);
  tcase_add_test (tc, test_ticket_is_a_function_of_the_id);
  tcase_add_test (tc, test_absence_within_grace_is_no_removal);
  tcase_add_test (tc, test_absence_after_grace_is_removal);
  tcase_add_test (tc, test_unusable_registration_is_no_removal);
  tcase_add_test (tc, test_unusable_registration_is_removed_later);
  tcase_add_test (tc, test_other_registration_changes_nothing);
  tcase_add_test (tc, test_removed_target_is_retained);
  tcase_add_test (tc, test_restart_resets_observations);
  tcase_add_loop_test (tc, test_shared_ticket, 0, 2);
  tcase_add_test (tc, test_shared_ticket_stays_with_the_older_target);
  tcase_add_test (tc, test_shared_ticket_of_two_services);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
