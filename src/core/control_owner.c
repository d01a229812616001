#include "core/control_owner.h"

#include <stdio.h>
#include <string.h>

#include "base/error.h"

static void
emit (struct am_lease *l, enum am_lease_action_type type)
{
  struct am_lease_action a = { .type = type,
                               .call = l->call,
                               .session = l->session,
                               .value = &l->value,
                               .epoch = l->value.epoch };

  l->sink.emit (l->sink.userdata, &a);
}

/* Makes a call of the state; its result is awaited.  */
static void
send_call (struct am_lease *l, enum am_lease_action_type type)
{
  l->call = ++l->calls;
  l->call_sent_us = l->now_us;
  emit (l, type);
}

/* Takes the result of CALL if the state, one of the bits STATES, waits for it.
 */
static bool
take_result (struct am_lease *l, uint64_t now_us, uint64_t call,
             unsigned states)
{
  l->now_us = now_us;
  if (!l->call || l->call != call || !(1u << l->state & states))
    return false;
  l->call = 0;
  return true;
}

static size_t
rank_of (const struct am_lease *l)
{
  size_t i = 0;

  while (i < l->home_count && l->home[i] != l->self_id)
    i++;
  return i;
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
  return rank_of (l) < 2 ? AM_LEASE_POLL_US : AM_LEASE_POLL_FAR_US;
}

static void
end_session (struct am_lease *l)
{
  l->state = AM_LEASE_ENDING;
  send_call (l, AM_LEASE_DESTROY);
}

/* ---- validity ----------------------------------------------------- */

/* Returns the time until which every eligible successor has promised, or 0. */
static uint64_t
promised_by_all (const struct am_lease *l)
{
  uint64_t until = l->confirmed_us + AM_LEASE_OUTAGE_MAX_US;

  for (size_t i = 0; i < l->value.eligible_count; i++)
    {
      if (l->value.eligible[i] == l->self_id)
        continue;
      if (l->promises[i].until_us < until)
        until = l->promises[i].until_us;
    }
  return until > AM_LEASE_MARGIN_US ? until - AM_LEASE_MARGIN_US : 0;
}

static void
clear_grant (struct am_lease *l)
{
  l->lease_until_us = 0;
  memset (l->promises, 0, sizeof l->promises);
  l->outage = false;
  if (!l->grant.until_us)
    return;
  l->grant.until_us = 0;
  emit (l, AM_LEASE_TELL);
}

/* Extends the grant by what the session and the promises allow.  */
static void
extend_grant (struct am_lease *l)
{
  uint64_t until = l->lease_until_us;
  uint64_t promised = l->outage ? promised_by_all (l) : 0;

  if (promised > until)
    until = promised;
  if (until <= l->now_us || until <= l->grant.until_us)
    return;
  l->grant.until_us = until;
  emit (l, AM_LEASE_TELL);
}

static bool
is_granted (const struct am_lease *l)
{
  return l->grant.until_us > l->now_us;
}

/* ---- acquisition -------------------------------------------------- */

static bool
is_eligible (const struct am_lease *l, const struct am_lease_value *v)
{
  for (size_t i = 0; i < v->eligible_count; i++)
    if (v->eligible[i] == l->self_id)
      return true;
  return false;
}

/* Without a place in the list, or with a list that is lost, the key must have
   been free for longer than any ownership by promises.  */
static bool
has_waited (struct am_lease *l, const struct am_lease_entry *e)
{
  if (e->locked || l->unlisted_index != e->lock_index || !l->unlisted_since_us)
    {
      l->unlisted_index = e->lock_index;
      l->unlisted_since_us = e->locked ? 0 : l->now_us;
    }
  return l->unlisted_since_us
         && l->now_us - l->unlisted_since_us
                >= AM_LEASE_OUTAGE_MAX_US + AM_LEASE_MARGIN_US;
}

static bool
list_allows (struct am_lease *l, const struct am_lease_entry *e)
{
  if (e->error == AM_E_NOT_FOUND)
    return l->highest_epoch == 0;
  if (e->lock_index < l->highest_epoch)
    return false; /* the store is older than its past */
  l->highest_epoch = e->lock_index;
  if (e->value.epoch == e->lock_index
      && (is_eligible (l, &e->value) || e->value.handed_to == l->self_id))
    return true;
  return has_waited (l, e);
}

/* Returns true if this VM still owns by promises what it acquires again.  */
static bool
is_own (const struct am_lease *l, const struct am_lease_entry *e)
{
  return e->error == AM_OK && is_granted (l) && e->value.owner_id == l->self_id
         && e->value.epoch == l->grant.epoch && e->value.boot_id == l->boot_id;
}

/* Returns true if the holder has released the key and this VM has its table.
   A promise to that holder is void then.  */
static bool
is_handed (const struct am_lease *l, const struct am_lease_entry *e)
{
  return e->error == AM_OK && e->value.epoch == e->lock_index
         && e->value.handed_to == l->self_id;
}

static bool
may_acquire (struct am_lease *l, const struct am_lease_entry *e)
{
  bool allowed;

  if (e->error && e->error != AM_E_NOT_FOUND)
    return false;
  allowed = list_allows (l, e);
  if (e->locked || !allowed || l->stopping || !l->boot_id)
    return false;
  if (is_own (l, e) || (is_handed (l, e) && !is_granted (l)))
    return true;
  return !is_granted (l) && l->now_us >= l->promised_until_us
         && l->now_us - l->started_us >= AM_LEASE_PROMISE_US
         && rank_of (l) < l->home_count;
}

/* Returns true if a VM of this rank has waited long enough.  A VM that has
   the whole table does not wait.  */
static bool
is_my_turn (struct am_lease *l, const struct am_lease_entry *e)
{
  uint64_t wait_us = rank_of (l) * (uint64_t)AM_LEASE_RANK_US;

  if (!l->free_since_us)
    l->free_since_us = l->now_us;
  if (is_own (l, e) || is_handed (l, e))
    return true;
  if (e->error == AM_OK && e->value.handed_to)
    wait_us += AM_LEASE_HANDED_US;
  return l->now_us - l->free_since_us >= wait_us;
}

static void
checked (struct am_lease *l, const struct am_lease_entry *e)
{
  if (!may_acquire (l, e))
    {
      l->free_since_us = 0;
      go_idle (l, poll_interval (l));
    }
  else if (!is_my_turn (l, e))
    go_idle (l, AM_LEASE_RANK_US);
  else
    {
      l->state = AM_LEASE_CREATING;
      send_call (l, AM_LEASE_CREATE);
    }
}

/* Fills the value to be written and, for later, the grant.  */
static void
prepare (struct am_lease *l, const struct am_lease_entry *e)
{
  const struct am_lease_value *old = &e->value;
  bool found = e->error == AM_OK;
  bool whole = found && old->epoch == e->lock_index;

  l->grant.first = !found;
  l->grant.same
      = whole && old->owner_id == l->self_id && old->boot_id == l->boot_id;
  l->grant.handed = whole && old->handed_to == l->self_id;
  l->value = (struct am_lease_value){ .owner_id = l->self_id,
                                      .boot_id = l->boot_id,
                                      .epoch = found ? e->lock_index + 1 : 1 };
  memcpy (l->value.eligible, l->home, sizeof l->home);
  l->value.eligible_count = l->home_count;
}

static void
read_with_session (struct am_lease *l, const struct am_lease_entry *e)
{
  if (!may_acquire (l, e))
    {
      end_session (l);
      return;
    }
  prepare (l, e);
  l->state = AM_LEASE_ACQUIRING;
  send_call (l, AM_LEASE_ACQUIRE);
}

static void
verified (struct am_lease *l, const struct am_lease_entry *e)
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
  extend_grant (l);
}

void
am_lease_read_done (struct am_lease *l, uint64_t now_us, uint64_t call,
                    const struct am_lease_entry *e)
{
  if (!take_result (l, now_us, call,
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
am_lease_created (struct am_lease *l, uint64_t now_us, uint64_t call,
                  int error, const char *session)
{
  if (!take_result (l, now_us, call, 1u << AM_LEASE_CREATING))
    return;
  if (error)
    {
      go_idle (l, AM_LEASE_ASK_US);
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
      extend_grant (l);
      return;
    }
  if (error != AM_E_NOT_FOUND)
    {
      l->outage = true;
      l->poll_us = l->now_us + AM_LEASE_ASK_US;
      return;
    }
  /* Promises outlast a session that ended while the store was away.  */
  l->lease_until_us = 0;
  if (!l->outage || promised_by_all (l) <= l->now_us)
    clear_grant (l);
  go_idle (l, 0);
}

static void
acquired (struct am_lease *l, int error)
{
  if (error)
    {
      /* An acquisition without an answer may have taken effect.  */
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
    go_idle (l, AM_LEASE_ASK_US);
  else
    l->poll_us = l->now_us + AM_LEASE_ASK_US;
}

void
am_lease_call_done (struct am_lease *l, uint64_t now_us, uint64_t call,
                    int error)
{
  if (!take_result (l, now_us, call,
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

/* The forwarder takes nothing new and finishes what it has under the grant;
   the key is released once it has given up.  */
static void
leave (struct am_lease *l)
{
  if (l->state != AM_LEASE_HOLDING)
    return;
  l->state = AM_LEASE_LEAVING;
  l->call = 0;
  l->poll_us = l->grant.until_us;
  emit (l, AM_LEASE_TELL);
}

void
am_lease_given_up (struct am_lease *l, uint64_t now_us, uint32_t handed_to)
{
  l->now_us = now_us;
  if (l->state != AM_LEASE_LEAVING)
    return;
  clear_grant (l);
  l->value.handed_to = handed_to;
  l->state = AM_LEASE_RELEASING;
  send_call (l, AM_LEASE_RELEASE);
}

void
am_lease_forwarder (struct am_lease *l, uint64_t now_us, uint64_t boot_id)
{
  l->now_us = now_us;
  if (boot_id == l->boot_id)
    return;
  l->boot_id = boot_id;
  l->stopping = false;
  clear_grant (l);
  leave (l);
  am_lease_given_up (l, now_us, 0);
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
  return l->stopping && l->state == AM_LEASE_IDLE && !is_granted (l);
}

/* ---- promises ----------------------------------------------------- */

/* An acquisition that may be on its way cannot be taken back, so nothing is
   promised from its sending until its session has ended.  */
static bool
may_promise (const struct am_lease *l, uint64_t epoch)
{
  return l->state <= AM_LEASE_READING && !is_granted (l)
         && epoch >= l->highest_epoch
         && l->now_us - l->started_us >= AM_LEASE_SESSION_MAX_US;
}

void
am_lease_asked (struct am_lease *l, uint64_t now_us, uint32_t from,
                uint64_t question, uint64_t epoch)
{
  struct am_lease_action a = {
    .type = AM_LEASE_PROMISE, .call = question, .to = from, .epoch = epoch
  };

  l->now_us = now_us;
  if (!may_promise (l, epoch))
    return;
  l->highest_epoch = epoch;
  l->promised_until_us = now_us + AM_LEASE_PROMISE_US;
  l->sink.emit (l->sink.userdata, &a);
}

void
am_lease_promised (struct am_lease *l, uint64_t now_us, uint32_t from,
                   uint64_t question)
{
  l->now_us = now_us;
  for (size_t i = 0; i < l->value.eligible_count; i++)
    {
      struct am_lease_promise *p = &l->promises[i];

      if (l->value.eligible[i] != from || !p->question
          || p->question != question)
        continue;
      p->until_us = p->asked_us + AM_LEASE_PROMISE_US;
      p->question = 0;
    }
  if (l->state == AM_LEASE_HOLDING)
    extend_grant (l);
}

/* Asks each eligible successor whose promise is due for renewal.  An answer
   counts for the last question only, from the time it was asked.  */
static void
ask (struct am_lease *l)
{
  for (size_t i = 0; i < l->value.eligible_count; i++)
    {
      struct am_lease_promise *p = &l->promises[i];
      uint64_t wait
          = p->question ? AM_LEASE_ASK_US : AM_LEASE_PROMISE_RENEW_US;
      struct am_lease_action a = { .type = AM_LEASE_ASK,
                                   .to = l->value.eligible[i],
                                   .epoch = l->grant.epoch };

      if (a.to == l->self_id
          || (p->asked_us && l->now_us - p->asked_us < wait))
        continue;
      p->asked_us = l->now_us;
      p->question = ++l->questions;
      a.call = p->question;
      l->sink.emit (l->sink.userdata, &a);
    }
}

/* ---- time --------------------------------------------------------- */

static void
tick_due (struct am_lease *l)
{
  switch (l->state)
    {
    case AM_LEASE_IDLE:
      if (l->stopping || !l->boot_id || rank_of (l) == l->home_count)
        return;
      l->state = AM_LEASE_CHECKING;
      send_call (l, AM_LEASE_READ);
      return;
    case AM_LEASE_HOLDING:
      send_call (l, AM_LEASE_RENEW);
      return;
    case AM_LEASE_LEAVING: /* the grant has ended by itself */
      am_lease_given_up (l, l->now_us, 0);
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
  if (l->outage && is_granted (l) && l->state == AM_LEASE_HOLDING)
    ask (l);
  if (!l->call && now_us >= l->poll_us)
    tick_due (l);
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
am_lease_home (struct am_lease *l, const uint32_t *ids, size_t count)
{
  l->home_count
      = count < AM_LEASE_ELIGIBLE_MAX ? count : AM_LEASE_ELIGIBLE_MAX;
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
