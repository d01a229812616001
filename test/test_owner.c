/* Lease of the owner, with every event in every state, and its deduplication
   table.  */

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "core/ownership/dedup_table.h"
#include "suite.h"

#define SECOND UINT64_C (1000000)
#define NOW_US (100u * SECOND)
#define BOOT 7u

static struct am_lease lease;
static unsigned seen[AM_LEASE_NOTIFY_FORWARDER + 1]; /* actions of each type */

static void
count (void *userdata, const struct am_lease_action *a)
{
  (void)userdata;
  seen[a->type]++;
}

static struct am_lease_read_result
entry (bool locked, uint64_t epoch, uint32_t owner)
{
  return (struct am_lease_read_result){ .locked = locked,
                                        .lock_index = epoch,
                                        .value = { .owner_id = owner,
                                                   .boot_id = BOOT,
                                                   .epoch = epoch,
                                                   .eligible = { 1, 2, 3 },
                                                   .eligible_count = 3 } };
}

/* Brings the lease into STATE; in HOLDING a renewal awaits its result.  */
static void
reach (enum am_lease_state state)
{
  static const uint32_t home[] = { 1, 2, 3 };
  struct am_lease_sink sink = { count, NULL };
  struct am_lease_read_result e = entry (false, 4, 2);
  struct am_lease *l = &lease;

  am_lease_init (l, 1, 1, &sink);
  am_lease_set_home (l, home, 3);
  am_lease_set_forwarder (l, NOW_US, BOOT);
  if (state >= AM_LEASE_CHECKING)
    am_lease_tick (l, NOW_US);
  if (state >= AM_LEASE_CREATING)
    am_lease_read_done (l, NOW_US, l->call, &e);
  if (state >= AM_LEASE_READING)
    am_lease_session_created (l, NOW_US, l->call, AM_OK, "1");
  if (state >= AM_LEASE_ACQUIRING)
    am_lease_read_done (l, NOW_US, l->call, &e);
  if (state >= AM_LEASE_VERIFYING)
    am_lease_call_done (l, NOW_US, l->call, AM_OK);
  e = entry (true, 5, 1);
  if (state >= AM_LEASE_HOLDING)
    am_lease_read_done (l, NOW_US, l->call, &e);
  if (state >= AM_LEASE_HOLDING)
    am_lease_tick (l, NOW_US + AM_LEASE_RENEW_US);
  if (state >= AM_LEASE_LEAVING)
    am_lease_stop (l, NOW_US + AM_LEASE_RENEW_US);
  if (state >= AM_LEASE_RELEASING)
    am_lease_forwarder_stopped (l, NOW_US + AM_LEASE_RENEW_US, 0);
  if (state >= AM_LEASE_ENDING)
    am_lease_call_done (l, NOW_US + AM_LEASE_RENEW_US, l->call, AM_OK);
  ck_assert_int_eq (l->state, state);
  memset (seen, 0, sizeof seen);
}

enum event
{
  READ_FREE,
  READ_LOCKED,
  READ_OWN,
  READ_FAILED,
  CREATED,
  CREATE_FAILED,
  DONE,
  DONE_CONFLICT,
  DONE_UNSURE,
  DONE_NOT_FOUND,
  FORWARDER_STOPPED,
  STOP,
  NEW_BOOT,
  PROMISE_REQUESTED,
  PROMISE_RECEIVED,
  TICK,
  EVENTS,
};

static void
apply (enum event event)
{
  struct am_lease *l = &lease;
  uint64_t now = l->now_us;
  struct am_lease_read_result e = entry (event != READ_FREE, 4, 2);

  if (event == READ_OWN)
    e = entry (true, 5, 1);
  if (event == READ_FAILED)
    e.error = AM_E_STORE;
  if (event <= READ_FAILED)
    am_lease_read_done (l, now, l->call, &e);
  else if (event <= CREATE_FAILED)
    am_lease_session_created (l, now, l->call,
                              event == CREATED ? AM_OK : AM_E_STORE, "2");
  else if (event <= DONE_NOT_FOUND)
    am_lease_call_done (l, now, l->call,
                        event == DONE            ? AM_OK
                        : event == DONE_CONFLICT ? AM_E_CONFLICT
                        : event == DONE_UNSURE   ? AM_E_STORE_UNSURE
                                                 : AM_E_NOT_FOUND);
  else if (event == FORWARDER_STOPPED)
    am_lease_forwarder_stopped (l, now, 2);
  else if (event == STOP)
    am_lease_stop (l, now);
  else if (event == NEW_BOOT)
    am_lease_set_forwarder (l, now, BOOT + 2);
  else if (event == PROMISE_REQUESTED)
    am_lease_promise_requested (l, now, 2, 1, 9);
  else if (event == PROMISE_RECEIVED)
    am_lease_promise_received (l, now, 2, 1);
  else
    am_lease_tick (l, now + 20 * SECOND);
}

/* Guards against an event that has an effect in a state to which it does not
   apply, a lost call after which the lease waits forever, a grant outside
   HOLDING and LEAVING, and a promise while an acquisition may be in progress.
 */
START_TEST (lease_states)
{
  /* One letter per state, in the order of enum am_lease_state.  */
  static const char letters[] = "icrdavhlxe";
  static const char *const next[EVENTS] = {
    [READ_FREE] = "irraaehlxe",
    [READ_LOCKED] = "iireaehlxe",
    [READ_OWN] = "iireahhlxe",
    [READ_FAILED] = "iireaehlxe",
    [CREATED] = "icddavhlxe",
    [CREATE_FAILED] = "icidavhlxe",
    [DONE] = "icrdvvhlei",
    [DONE_CONFLICT] = "icrdevhlee",
    [DONE_UNSURE] = "icrdevhlee",
    [DONE_NOT_FOUND] = "icrdevilei",
    [FORWARDER_STOPPED] = "icrdavhxxe",
    [STOP] = "icrdavllxe",
    [NEW_BOOT] = "icrdavxxxe",
    [PROMISE_REQUESTED] = "icrdavhlxe",
    [PROMISE_RECEIVED] = "icrdavhlxe",
    [TICK] = "ccrdavhxxe",
  };

  for (int event = 0; event < EVENTS; event++)
    for (int state = AM_LEASE_IDLE; state <= AM_LEASE_ENDING; state++)
      {
        reach ((enum am_lease_state)state);
        apply ((enum event)event);
        ck_assert_msg (letters[lease.state] == next[event][state],
                       "event=%d state=%s became %s", event,
                       am_lease_state_name ((enum am_lease_state)state),
                       am_lease_state_name (lease.state));
        if (lease.state != AM_LEASE_HOLDING && lease.state != AM_LEASE_LEAVING)
          ck_assert_uint_eq (lease.grant.until_us, 0);
        if (event == PROMISE_REQUESTED)
          ck_assert_uint_eq (seen[AM_LEASE_PROMISE],
                             state <= AM_LEASE_READING);
      }
}
END_TEST

/* Guards against a grant that outlives the session in the store.  */
START_TEST (validity_counts_from_sending)
{
  uint64_t call;

  reach (AM_LEASE_HOLDING);
  call = lease.call;
  ck_assert_uint_eq (lease.grant.until_us,
                     NOW_US + AM_LEASE_TTL_US - AM_LEASE_MARGIN_US);
  am_lease_call_done (&lease, NOW_US + 6 * SECOND, call, AM_OK);
  ck_assert_uint_eq (lease.grant.until_us, NOW_US + AM_LEASE_RENEW_US
                                               + AM_LEASE_TTL_US
                                               - AM_LEASE_MARGIN_US);
}
END_TEST

/* Guards against a grant that ends too late: an upstream whose clock is 500 ms
   behind, while that of the entry VM is 500 ms ahead, would begin to execute a
   request after the session or the promises of the successors may have ended
   and another VM may own the key.  A further second covers clock drift and the
   path to the upstream.  */
START_TEST (margin_covers_clocks)
{
  uint64_t requested;

  reach (AM_LEASE_HOLDING);
  ck_assert_uint_le (lease.grant.until_us + 2 * SECOND,
                     NOW_US + AM_LEASE_TTL_US);
  am_lease_call_done (&lease, lease.now_us, lease.call, AM_E_STORE);
  requested = lease.now_us;
  am_lease_tick (&lease, requested);
  for (size_t i = 1; i < 3; i++)
    am_lease_promise_received (&lease, requested, lease.value.eligible[i],
                               lease.promises[i].question);
  ck_assert_uint_gt (lease.grant.until_us, NOW_US + AM_LEASE_TTL_US);
  ck_assert_uint_le (lease.grant.until_us + 2 * SECOND,
                     requested + AM_LEASE_PROMISE_US);
}
END_TEST

/* Guards against a session that ends while its holder waits for the result of
   a renewal and has not requested promises.  */
START_TEST (slow_renewal)
{
  uint64_t sent;

  reach (AM_LEASE_HOLDING);
  sent = lease.call_sent_us;
  am_lease_tick (&lease, sent + SECOND - 1);
  ck_assert_uint_eq (seen[AM_LEASE_REQUEST_PROMISE], 0);
  am_lease_tick (&lease, sent + SECOND);
  ck_assert_uint_eq (seen[AM_LEASE_REQUEST_PROMISE], 2);
  am_lease_call_done (&lease, sent + 3 * SECOND, lease.call, AM_OK);
  am_lease_tick (&lease, sent + 3 * SECOND);
  ck_assert_uint_eq (seen[AM_LEASE_REQUEST_PROMISE], 2);
}
END_TEST

/* Delivers a successful result of the pending call.  */
static void
deliver (uint64_t now_us)
{
  struct am_lease_read_result e = lease.state == AM_LEASE_VERIFYING
                                      ? entry (true, 5, 1)
                                      : entry (false, 4, 2);

  if (lease.state == AM_LEASE_CREATING)
    am_lease_session_created (&lease, now_us, lease.call, AM_OK, "1");
  else if (lease.state == AM_LEASE_ACQUIRING
           || lease.state >= AM_LEASE_HOLDING)
    am_lease_call_done (&lease, now_us, lease.call, AM_OK);
  else
    am_lease_read_done (&lease, now_us, lease.call, &e);
}

/* Guards against a lease so short that ownership is not acquired, or is lost,
   if the store responds only after 2 s.  */
START_TEST (slow_store)
{
  reach (AM_LEASE_IDLE);
  for (uint64_t now = NOW_US; now < NOW_US + 60 * SECOND; now += SECOND / 10)
    {
      am_lease_tick (&lease, now);
      if (lease.call && now >= lease.call_sent_us + 2 * SECOND)
        deliver (now);
      if (now >= NOW_US + 15 * SECOND)
        ck_assert_uint_gt (lease.grant.until_us, now);
    }
}
END_TEST

static void
fail_renewal (void)
{
  reach (AM_LEASE_HOLDING);
  am_lease_call_done (&lease, lease.now_us, lease.call, AM_E_STORE);
  am_lease_tick (&lease, lease.now_us);
  ck_assert_uint_eq (seen[AM_LEASE_REQUEST_PROMISE], 2);
}

/* Guards against ownership that rests on the promises of only some successors,
   or on a promise in reply to an older request.  */
START_TEST (promises_of_all)
{
  uint64_t requested;
  uint64_t before;

  fail_renewal ();
  requested = lease.now_us;
  before = lease.grant.until_us;
  am_lease_promise_received (&lease, requested + SECOND, 2,
                             lease.promises[1].question);
  ck_assert_uint_eq (lease.grant.until_us, before);
  am_lease_promise_received (&lease, requested + SECOND, 3, 999);
  am_lease_promise_received (&lease, requested + SECOND, 4,
                             lease.promises[2].question);
  ck_assert_uint_eq (lease.grant.until_us, before);
  am_lease_promise_received (&lease, requested + SECOND, 3,
                             lease.promises[2].question);
  ck_assert_uint_eq (lease.grant.until_us,
                     requested + AM_LEASE_PROMISE_US - AM_LEASE_MARGIN_US);
}
END_TEST

/* Guards against a successor that breaks its promise, an agent that acquires
   or promises before anything the previous process did has expired, a store
   that has lost committed writes, and a key whose list of successors is lost.
 */
START_TEST (refused_acquisitions)
{
  struct am_lease_read_result e = entry (false, 4, 2);

  reach (AM_LEASE_IDLE);
  am_lease_promise_requested (&lease, NOW_US, 2, 1, 4);
  am_lease_tick (&lease, NOW_US + SECOND);
  am_lease_read_done (&lease, NOW_US + SECOND, lease.call, &e);
  ck_assert_int_eq (lease.state, AM_LEASE_IDLE);

  reach (AM_LEASE_CHECKING);
  lease.started_us = NOW_US - AM_LEASE_SESSION_MAX_US + 1;
  am_lease_promise_requested (&lease, NOW_US, 2, 1, 4);
  ck_assert_uint_eq (seen[AM_LEASE_PROMISE], 0);
  am_lease_read_done (&lease, NOW_US, lease.call, &e);
  ck_assert_int_eq (lease.state, AM_LEASE_IDLE);

  reach (AM_LEASE_CHECKING);
  e.value.released = true;
  e.value.handed_to = 3; /* which may acquire first */
  am_lease_read_done (&lease, NOW_US, lease.call, &e);
  ck_assert_int_eq (lease.state, AM_LEASE_IDLE);
  am_lease_tick (&lease, NOW_US + AM_LEASE_SUCCESSOR_PRIORITY_US);
  am_lease_read_done (&lease, lease.now_us, lease.call, &e);
  ck_assert_int_eq (lease.state, AM_LEASE_CREATING);

  reach (AM_LEASE_CHECKING);
  lease.started_us = NOW_US; /* promises were to the owner that released */
  e.value.handed_to = 1;
  e.value.eligible[0] = 4; /* this VM joined the home set after the
                              owner acquired the key */
  am_lease_read_done (&lease, NOW_US, lease.call, &e);
  ck_assert_int_eq (lease.state, AM_LEASE_CREATING);
  e.value.released = false;
  e.value.handed_to = 0;
  e.value.eligible[0] = 1;

  reach (AM_LEASE_CHECKING);
  lease.highest_epoch = 5;
  am_lease_read_done (&lease, NOW_US, lease.call, &e);
  ck_assert_int_eq (lease.state, AM_LEASE_IDLE);

  reach (AM_LEASE_CHECKING);
  e.value.epoch = 3;
  am_lease_read_done (&lease, NOW_US, lease.call, &e);
  ck_assert_int_eq (lease.state, AM_LEASE_IDLE);
  am_lease_tick (&lease, NOW_US + AM_LEASE_OUTAGE_MAX_US + 3 * SECOND);
  am_lease_read_done (&lease, lease.now_us, lease.call, &e);
  ck_assert_int_eq (lease.state, AM_LEASE_CREATING);
}
END_TEST

/* Guards against a new deployment that waits for promises which nobody can
   have given, a first holder that does not know its successors yet, and a
   promise that is still kept after its holder has released the key.  */
START_TEST (acquires_early)
{
  static const uint32_t home[] = { 1, 3, 2 };
  struct am_lease_read_result none = { .error = AM_E_NOT_FOUND };
  struct am_lease_read_result e = entry (false, 4, 2);

  reach (AM_LEASE_CHECKING);
  am_lease_set_home (&lease, home, 3);
  lease.started_us = NOW_US;
  lease.now_us = NOW_US + AM_LEASE_HOME_STABLE_US - 1;
  am_lease_read_done (&lease, lease.now_us, lease.call, &none);
  ck_assert_int_eq (lease.state, AM_LEASE_IDLE);
  am_lease_tick (&lease, lease.poll_us);
  am_lease_read_done (&lease, lease.now_us, lease.call, &none);
  ck_assert_int_eq (lease.state, AM_LEASE_CREATING);

  for (int released = 0; released < 2; released++)
    {
      reach (AM_LEASE_IDLE);
      am_lease_promise_requested (&lease, NOW_US, 2, 1, 4);
      ck_assert_uint_eq (seen[AM_LEASE_PROMISE], 1);
      lease.started_us = NOW_US;
      e.value.released = released;
      e.value.eligible[0] = 4;
      am_lease_tick (&lease, NOW_US);
      am_lease_read_done (&lease, NOW_US, lease.call, &e);
      ck_assert_int_eq (lease.state,
                        released ? AM_LEASE_CREATING : AM_LEASE_IDLE);
    }
  /* Guards also against an agent that waits for promises of the previous
     process although the owner acquired the key later, and one that does not
     wait.  */
  for (uint64_t read = 3; read < 5; read++)
    {
      struct am_lease_read_result held = entry (true, read, 2);

      e = entry (false, 4, 2);
      reach (AM_LEASE_IDLE);
      lease.started_us = NOW_US;
      am_lease_tick (&lease, NOW_US);
      am_lease_read_done (&lease, NOW_US, lease.call, &held);
      am_lease_tick (&lease, lease.poll_us);
      am_lease_read_done (&lease, lease.now_us, lease.call, &e);
      ck_assert_int_eq (lease.state,
                        read < 4 ? AM_LEASE_CREATING : AM_LEASE_IDLE);
    }
  e.value.released = true;
  e.value.epoch = 3; /* overwritten since */
  reach (AM_LEASE_CHECKING);
  am_lease_read_done (&lease, NOW_US, lease.call, &e);
  ck_assert_int_eq (lease.state, AM_LEASE_IDLE);
}
END_TEST

/* ---- deduplication table ------------------------------------------ */

static enum am_dedup_result
admit_aged (struct am_dedup *o, uint64_t now_us, uint64_t id, uint64_t age_us)
{
  struct am_dedup_key key = { id, 1 };
  struct am_dedup_entry *found;

  return am_dedup_admit (o, now_us, &key, age_us, &found);
}

static enum am_dedup_result
admit (struct am_dedup *o, uint64_t now_us, uint64_t id)
{
  return admit_aged (o, now_us, id, AM_DEDUP_AGE_UNKNOWN);
}

static struct am_lease_grant
grant (uint64_t epoch, uint64_t until_us)
{
  return (struct am_lease_grant){ .boot_id = BOOT,
                                  .epoch = epoch,
                                  .until_us = until_us };
}

/* Guards against executing a request that a previous owner may have executed,
   one that is in the table, or any without a valid grant.  */
START_TEST (dedup_results)
{
  struct am_dedup o;
  struct am_lease_grant g = grant (4, NOW_US + 18 * SECOND);
  uint64_t now = NOW_US;

  am_dedup_init (&o, now, BOOT);
  ck_assert_int_eq (admit (&o, now, 1), AM_DEDUP_NOT_OWNER);
  ck_assert_int_eq (am_dedup_apply_grant (&o, now, &g), AM_OK);
  ck_assert_int_eq (admit (&o, now, 1), AM_DEDUP_UNKNOWN);
  for (; now < NOW_US + AM_DEDUP_RETENTION_US; now += SECOND / 10)
    am_dedup_tick (&o, now);
  ck_assert_int_eq (admit (&o, now, 1), AM_DEDUP_NEW);
  ck_assert_int_eq (admit (&o, now, 1), AM_DEDUP_DUPLICATE);
  ck_assert_uint_eq (am_dedup_not_after (&o, now), g.until_us);
  now += 2 * SECOND; /* suspended */
  ck_assert (!am_dedup_may_forward (&o, now));
  ck_assert_int_eq (admit (&o, now, 2), AM_DEDUP_UNKNOWN);
  ck_assert_int_eq (admit (&o, now, 1), AM_DEDUP_DUPLICATE);
  ck_assert_int_eq (admit (&o, g.until_us, 1), AM_DEDUP_NOT_OWNER);
  ck_assert_uint_eq (am_dedup_not_after (&o, g.until_us), 0);
  am_dedup_finish (&o);
}
END_TEST

/* Guards against an id classified as new although it may have been sent before
   the acquisition, is older than its lifetime, or may have been queued while
   the process was suspended; and against a grace time for ids that are
   certainly new.  */
START_TEST (dedup_ages)
{
  struct am_dedup o;
  struct am_lease_grant g = grant (4, NOW_US + 100 * SECOND);
  uint64_t now = NOW_US;

  am_dedup_init (&o, now, BOOT);
  am_dedup_apply_grant (&o, now, &g);
  for (; now < NOW_US + 5 * SECOND; now += SECOND / 10)
    {
      bool is_new = now >= NOW_US + AM_DEDUP_TRANSIT_MAX_US;

      ck_assert_int_eq (admit_aged (&o, now, now, 0),
                        is_new ? AM_DEDUP_NEW : AM_DEDUP_UNKNOWN);
      ck_assert_int_eq (
          admit_aged (&o, now, now + 1, now - NOW_US - 4 * SECOND + 1),
          AM_DEDUP_UNKNOWN);
    }
  ck_assert_int_eq (admit (&o, now, 1), AM_DEDUP_UNKNOWN);
  now += 2 * SECOND; /* suspended */
  ck_assert_int_eq (admit_aged (&o, now, 1, 0), AM_DEDUP_UNKNOWN);
  for (; now < NOW_US + 20 * SECOND; now += SECOND / 10)
    am_dedup_tick (&o, now);
  ck_assert_int_eq (admit_aged (&o, now, 1, AM_DEDUP_ID_LIFETIME_US + 1),
                    AM_DEDUP_UNKNOWN);
  ck_assert_int_eq (admit_aged (&o, now, 1, AM_DEDUP_ID_LIFETIME_US),
                    AM_DEDUP_NEW);
  am_dedup_finish (&o);
}
END_TEST

/* Guards against a grant for another process or of an older epoch, and against
   an omitted grace time although the table is incomplete.  */
START_TEST (dedup_grants)
{
  struct am_dedup o;
  struct am_lease_grant g = grant (4, NOW_US + 18 * SECOND);
  struct am_dedup_key key = { 3, 1 };

  am_dedup_init (&o, NOW_US, BOOT + 1);
  ck_assert_int_eq (am_dedup_apply_grant (&o, NOW_US, &g), AM_E_ISSUER_GONE);
  am_dedup_init (&o, NOW_US, BOOT);
  g.same = true; /* but this table has not seen that epoch */
  ck_assert_int_eq (am_dedup_apply_grant (&o, NOW_US, &g), AM_OK);
  ck_assert_int_eq (admit (&o, NOW_US, 1), AM_DEDUP_UNKNOWN);
  g.epoch = 3;
  ck_assert_int_eq (am_dedup_apply_grant (&o, NOW_US, &g), AM_E_REVISION);

  am_dedup_init (&o, NOW_US, BOOT);
  ck_assert_int_eq (
      am_dedup_import (&o, NOW_US, &key, AM_DEDUP_PENDING, AM_OK), AM_OK);
  am_dedup_import_done (&o, NOW_US, 3, SECOND / 2);
  g = grant (4, NOW_US + 18 * SECOND);
  g.handed = true;
  ck_assert_int_eq (am_dedup_apply_grant (&o, NOW_US, &g), AM_OK);
  ck_assert_int_eq (admit (&o, NOW_US, 3), AM_DEDUP_DUPLICATE);
  ck_assert_int_eq (o.ids->outcome, AM_DEDUP_LOST);
  ck_assert_int_eq (admit (&o, NOW_US, 1), AM_DEDUP_UNKNOWN);
  ck_assert_int_eq (admit (&o, NOW_US + SECOND / 2, 1), AM_DEDUP_NEW);
  am_dedup_finish (&o);

  am_dedup_init (&o, NOW_US, BOOT);
  am_dedup_import_done (&o, NOW_US, 2, 0); /* not the previous epoch */
  ck_assert_int_eq (am_dedup_apply_grant (&o, NOW_US, &g), AM_OK);
  ck_assert_int_eq (admit (&o, NOW_US, 1), AM_DEDUP_UNKNOWN);
}
END_TEST

/* Guards against the removal of an entry whose request is still pending, and
   against a NOT-RUN that a full table cannot store.  */
START_TEST (dedup_retention)
{
  struct am_dedup o;
  struct am_lease_grant g = grant (1, NOW_US + 100 * SECOND);
  struct am_dedup_key key = { 1, 1 };
  uint64_t now = NOW_US;

  g.first = true;
  am_dedup_init (&o, now, BOOT);
  am_dedup_apply_grant (&o, now, &g);
  for (uint64_t i = 0; i < AM_DEDUP_IDS_MAX; i++)
    ck_assert_int_eq (admit (&o, now, i), AM_DEDUP_NEW);
  ck_assert_int_eq (admit (&o, now, AM_DEDUP_IDS_MAX), AM_DEDUP_UNKNOWN);
  for (uint64_t i = 0; i < AM_DEDUP_IDS_MAX; i++)
    {
      key.connection_id = i;
      if (i != 1)
        am_dedup_set_outcome (&o, &key, AM_DEDUP_NOT_RUN, AM_E_SHED);
    }
  for (; now < NOW_US + AM_DEDUP_RETENTION_US; now += SECOND / 10)
    am_dedup_tick (&o, now);
  ck_assert_uint_eq (HASH_COUNT (o.ids), AM_DEDUP_IDS_MAX);
  am_dedup_tick (&o, now);
  ck_assert_uint_eq (HASH_COUNT (o.ids), 1);
  ck_assert_int_eq (admit (&o, now, 1), AM_DEDUP_DUPLICATE);
  am_dedup_finish (&o);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("owner");
  TCase *t = tcase_create ("owner");

  tcase_add_test (t, lease_states);
  tcase_add_test (t, validity_counts_from_sending);
  tcase_add_test (t, margin_covers_clocks);
  tcase_add_test (t, slow_renewal);
  tcase_add_test (t, slow_store);
  tcase_add_test (t, promises_of_all);
  tcase_add_test (t, refused_acquisitions);
  tcase_add_test (t, acquires_early);
  tcase_add_test (t, dedup_results);
  tcase_add_test (t, dedup_ages);
  tcase_add_test (t, dedup_grants);
  tcase_add_test (t, dedup_retention);
  suite_add_tcase (s, t);
  return suite_run (s);
}
