#include "core/ownership/owner_lease_internal.h"

#include <stdio.h>
#include <string.h>

#include "base/error.h"

/* Sends the store call of the current state, whose result is then awaited.  */
static void
send_call (struct am_lease *l, enum am_lease_action_type type)
{
  l->call = ++l->calls;
  l->call_sent_us = l->now_us;
  am_lease_emit (l, type);
}

/* Returns true if the result of CALL is awaited and the state is one of the
   bits STATES.  */
static bool
accept_result (struct am_lease *l, uint64_t now_us, uint64_t call,
               unsigned states)
{
  l->now_us = now_us;
  if (!l->call || l->call != call || !(1u << l->state & states))
    return false;
  l->call = 0;
  return true;
}

static void
go_idle (struct am_lease *l, uint64_t wait_us)
{
  l->state = AM_LEASE_IDLE;
  l->session[0] = '\0';
  l->poll_us = l->now_us + wait_us;
}

static uint64_t
poll_interval (const struct am_lease *l)
{
  return am_lease_rank (l) < 2 ? AM_LEASE_POLL_US : AM_LEASE_POLL_LOW_RANK_US;
}

static void
end_session (struct am_lease *l)
{
  l->state = AM_LEASE_ENDING;
  send_call (l, AM_LEASE_DESTROY);
}

/* ---- validity ----------------------------------------------------- */

static void
clear_grant (struct am_lease *l)
{
  l->lease_until_us = 0;
  memset (l->promises, 0, sizeof l->promises);
  l->outage = false;
  if (!l->grant.until_us)
    return;
  l->grant.until_us = 0;
  am_lease_emit (l, AM_LEASE_NOTIFY_FORWARDER);
}

/* ---- acquisition -------------------------------------------------- */

static void
checked (struct am_lease *l, const struct am_lease_read_result *e)
{
  if (!am_lease_may_acquire (l, e))
    {
      l->free_since_us = 0;
      go_idle (l, poll_interval (l));
    }
  else if (!am_lease_acquire_due (l, e))
    go_idle (l, AM_LEASE_RANK_DELAY_US);
  else
    {
      l->state = AM_LEASE_CREATING;
      send_call (l, AM_LEASE_CREATE);
    }
}

/* Sets the value to be written and the flags of the grant that follows.  */
static void
prepare_value (struct am_lease *l, const struct am_lease_read_result *e)
{
  const struct am_lease_value *old = &e->value;
  bool found = e->error == AM_OK;
  bool is_intact = found && old->epoch == e->lock_index;

  l->grant.first = !found;
  l->grant.same
      = is_intact && old->owner_id == l->self_id && old->boot_id == l->boot_id;
  l->grant.handed = is_intact && old->handed_to == l->self_id;
  l->value = (struct am_lease_value){ .owner_id = l->self_id,
                                      .boot_id = l->boot_id,
                                      .epoch = found ? e->lock_index + 1 : 1 };
  memcpy (l->value.eligible, l->home, sizeof l->home);
  l->value.eligible_count = l->home_count;
}

static void
read_with_session (struct am_lease *l, const struct am_lease_read_result *e)
{
  if (!am_lease_may_acquire (l, e))
    {
      end_session (l);
      return;
    }
  prepare_value (l, e);
  l->state = AM_LEASE_ACQUIRING;
  send_call (l, AM_LEASE_ACQUIRE);
}

static void
verified (struct am_lease *l, const struct am_lease_read_result *e)
{
  if (e->error || !e->locked || e->lock_index != l->value.epoch
      || e->value.epoch != l->value.epoch || e->value.owner_id != l->self_id)
    {
      clear_grant (l);
      end_session (l);
      return;
    }
  l->state = AM_LEASE_HOLDING;
  l->highest_epoch = l->value.epoch;
  l->free_since_us = 0;
  l->promised_until_us = 0;
  l->outage = false;
  memset (l->promises, 0, sizeof l->promises);
  l->grant.boot_id = l->value.boot_id;
  l->grant.epoch = l->value.epoch;
  l->grant.until_us = 0;
  l->confirmed_us = l->session_us;
  l->lease_until_us = l->session_us + AM_LEASE_TTL_US - AM_LEASE_MARGIN_US;
  l->poll_us = l->session_us + AM_LEASE_RENEW_US;
  am_lease_extend_grant (l);
}

void
am_lease_read_done (struct am_lease *l, uint64_t now_us, uint64_t call,
                    const struct am_lease_read_result *e)
{
  if (!accept_result (l, now_us, call,
                      1u << AM_LEASE_CHECKING | 1u << AM_LEASE_READING
                          | 1u << AM_LEASE_VERIFYING))
    return;
  if (l->state == AM_LEASE_CHECKING)
    checked (l, e);
  else if (l->state == AM_LEASE_READING)
    read_with_session (l, e);
  else if (l->state == AM_LEASE_VERIFYING)
    verified (l, e);
}

void
am_lease_session_created (struct am_lease *l, uint64_t now_us, uint64_t call,
                          int error, const char *session)
{
  if (!accept_result (l, now_us, call, 1u << AM_LEASE_CREATING))
    return;
  if (error)
    {
      go_idle (l, AM_LEASE_RETRY_US);
      return;
    }
  snprintf (l->session, sizeof l->session, "%s", session);
  l->session_us = l->call_sent_us;
  l->state = AM_LEASE_READING;
  send_call (l, AM_LEASE_READ);
}

/* ---- holding ------------------------------------------------------ */

static void
renewed (struct am_lease *l, int error)
{
  l->poll_us = l->call_sent_us + AM_LEASE_RENEW_US;
  if (error == AM_OK)
    {
      l->session_us = l->call_sent_us;
      l->confirmed_us = l->session_us;
      l->lease_until_us = l->session_us + AM_LEASE_TTL_US - AM_LEASE_MARGIN_US;
      l->outage = false;
      am_lease_extend_grant (l);
      return;
    }
  if (error != AM_E_NOT_FOUND)
    {
      l->outage = true;
      l->poll_us = l->now_us + AM_LEASE_RETRY_US;
      return;
    }
  /* Promises outlive a session that ended while the store was unavailable.  */
  l->lease_until_us = 0;
  if (!l->outage || am_lease_promised_until (l) <= l->now_us)
    clear_grant (l);
  go_idle (l, 0);
}

static void
acquired (struct am_lease *l, int error)
{
  if (error)
    {
      /* An acquisition without a reply may have taken effect.  */
      if (error != AM_E_CONFLICT)
        clear_grant (l);
      end_session (l);
      return;
    }
  l->state = AM_LEASE_VERIFYING;
  send_call (l, AM_LEASE_READ);
}

static void
session_ended (struct am_lease *l, int error)
{
  if (error == AM_OK || error == AM_E_NOT_FOUND)
    go_idle (l, AM_LEASE_RETRY_US);
  else
    l->poll_us = l->now_us + AM_LEASE_RETRY_US;
}

void
am_lease_call_done (struct am_lease *l, uint64_t now_us, uint64_t call,
                    int error)
{
  if (!accept_result (l, now_us, call,
                      1u << AM_LEASE_ACQUIRING | 1u << AM_LEASE_HOLDING
                          | 1u << AM_LEASE_RELEASING | 1u << AM_LEASE_ENDING))
    return;
  if (l->state == AM_LEASE_ACQUIRING)
    acquired (l, error);
  else if (l->state == AM_LEASE_HOLDING)
    renewed (l, error);
  else if (l->state == AM_LEASE_RELEASING)
    end_session (l);
  else if (l->state == AM_LEASE_ENDING)
    session_ended (l, error);
}

/* The forwarder accepts no new requests and finishes those in progress under
   the grant; the key is released after it reports that it has stopped.  */
static void
leave (struct am_lease *l)
{
  if (l->state != AM_LEASE_HOLDING)
    return;
  l->state = AM_LEASE_LEAVING;
  l->call = 0;
  l->poll_us = l->grant.until_us;
  am_lease_emit (l, AM_LEASE_NOTIFY_FORWARDER);
}

void
am_lease_forwarder_stopped (struct am_lease *l, uint64_t now_us,
                            uint32_t handed_to)
{
  l->now_us = now_us;
  if (l->state != AM_LEASE_LEAVING)
    return;
  clear_grant (l);
  l->value.handed_to = handed_to;
  l->value.released = true;
  l->state = AM_LEASE_RELEASING;
  send_call (l, AM_LEASE_RELEASE);
}

void
am_lease_set_forwarder (struct am_lease *l, uint64_t now_us, uint64_t boot_id)
{
  l->now_us = now_us;
  if (boot_id == l->boot_id)
    return;
  l->boot_id = boot_id;
  l->stopping = false;
  clear_grant (l);
  leave (l);
  am_lease_forwarder_stopped (l, now_us, 0);
}

void
am_lease_stop (struct am_lease *l, uint64_t now_us)
{
  l->now_us = now_us;
  l->stopping = true;
  leave (l);
}

void
am_lease_resume (struct am_lease *l)
{
  l->stopping = false;
}

bool
am_lease_may_exit (const struct am_lease *l)
{
  return l->stopping && l->state == AM_LEASE_IDLE && !am_lease_is_granted (l);
}

/* ---- time --------------------------------------------------------- */

static void
run_due_step (struct am_lease *l)
{
  switch (l->state)
    {
    case AM_LEASE_IDLE:
      if (l->stopping || !l->boot_id || am_lease_rank (l) == l->home_count)
        return;
      l->state = AM_LEASE_CHECKING;
      send_call (l, AM_LEASE_READ);
      return;
    case AM_LEASE_HOLDING:
      send_call (l, AM_LEASE_RENEW);
      return;
    case AM_LEASE_LEAVING: /* the grant has expired */
      am_lease_forwarder_stopped (l, l->now_us, 0);
      return;
    case AM_LEASE_ENDING:
      send_call (l, AM_LEASE_DESTROY);
      return;
    default:
      return;
    }
}

void
am_lease_tick (struct am_lease *l, uint64_t now_us)
{
  l->now_us = now_us;
  if (l->state == AM_LEASE_HOLDING && l->call
      && now_us - l->call_sent_us >= AM_LEASE_RENEW_TIMEOUT_US)
    l->outage = true;
  if (l->outage && am_lease_is_granted (l) && l->state == AM_LEASE_HOLDING)
    am_lease_request_promises (l);
  if (!l->call && now_us >= l->poll_us)
    run_due_step (l);
}

/* ---- set-up ------------------------------------------------------- */

void
am_lease_init (struct am_lease *l, uint32_t self_id, uint64_t now_us,
               const struct am_lease_sink *sink)
{
  memset (l, 0, sizeof *l);
  l->sink = *sink;
  l->self_id = self_id;
  l->now_us = now_us;
  l->started_us = now_us;
}

void
am_lease_set_home (struct am_lease *l, const uint32_t *ids, size_t count)
{
  if (count > AM_LEASE_ELIGIBLE_MAX)
    count = AM_LEASE_ELIGIBLE_MAX;
  if (count != l->home_count
      || memcmp (l->home, ids, count * sizeof ids[0]) != 0)
    l->home_changed_us = l->now_us;
  l->home_count = count;
  memset (l->home, 0, sizeof l->home);
  memcpy (l->home, ids, l->home_count * sizeof ids[0]);
  if (l->state == AM_LEASE_IDLE && l->poll_us > l->now_us + poll_interval (l))
    l->poll_us = l->now_us + poll_interval (l);
}

const char *
am_lease_state_name (enum am_lease_state state)
{
  static const char *const names[]
      = { "idle",      "checking", "creating", "reading",   "acquiring",
          "verifying", "holding",  "leaving",  "releasing", "ending" };

  return state < sizeof names / sizeof names[0] ? names[state] : "unknown";
}
