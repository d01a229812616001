#include "core/ownership/owner_lease_internal.h"

#include "base/error.h"

size_t
am_lease_rank (const struct am_lease *l)
{
  size_t i = 0;

  while (i < l->home_count && l->home[i] != l->self_id)
    i++;
  return i;
}

bool
am_lease_is_granted (const struct am_lease *l)
{
  return l->grant.until_us > l->now_us;
}

static bool
is_eligible (const struct am_lease *l, const struct am_lease_value *v)
{
  for (size_t i = 0; i < v->eligible_count; i++)
    if (v->eligible[i] == l->self_id)
      return true;
  return false;
}

/* A VM that is not in the list of eligible successors, or any VM if the list
   is lost, may acquire the key only after it has been free for longer than any
   ownership by promises lasts.  */
static bool
has_waited (struct am_lease *l, const struct am_lease_read_result *e)
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

/* Returns true if the holder wrote the key after nothing could be executed
   under its grant any more.  There is no owner then, and promises to that
   holder no longer apply.  */
static bool
is_released (const struct am_lease_read_result *e)
{
  return e->error == AM_OK && !e->locked && e->value.released
         && e->value.epoch == e->lock_index;
}

static bool
list_allows (struct am_lease *l, const struct am_lease_read_result *e)
{
  if (e->error == AM_E_NOT_FOUND)
    return l->highest_epoch == 0;
  if (e->lock_index < l->highest_epoch)
    return false; /* the store has lost committed writes */
  l->highest_epoch = e->lock_index;
  if (is_released (e)
      || (e->value.epoch == e->lock_index && is_eligible (l, &e->value)))
    return true;
  return has_waited (l, e);
}

/* Returns true if this VM, which still owns the key by promises, reacquires
   it.  */
static bool
is_own (const struct am_lease *l, const struct am_lease_read_result *e)
{
  return e->error == AM_OK && am_lease_is_granted (l)
         && e->value.owner_id == l->self_id && e->value.epoch == l->grant.epoch
         && e->value.boot_id == l->boot_id;
}

/* Returns true if the holder has released the key and this VM has its
   deduplication table.  */
static bool
is_handed (const struct am_lease *l, const struct am_lease_read_result *e)
{
  return is_released (e) && e->value.handed_to == l->self_id;
}

/* Returns true if a promise by this VM to an owner of the key may still apply.
   It may have been given by the previous agent process, but not to an owner
   that acquired the key after the current process first read it.  There are no
   promises about a key that never existed; in that case this VM waits only
   until it knows the members, because the list of the first holder has to name
   its successors.  */
static bool
may_have_promised (const struct am_lease *l,
                   const struct am_lease_read_result *e)
{
  if (is_released (e))
    return false;
  if (e->error == AM_E_NOT_FOUND)
    return l->now_us - l->home_changed_us < AM_LEASE_HOME_STABLE_US;
  if (l->now_us < l->promised_until_us)
    return true;
  return e->lock_index == l->first_index
         && l->now_us - l->started_us < AM_LEASE_PROMISE_US;
}

bool
am_lease_may_acquire (struct am_lease *l, const struct am_lease_read_result *e)
{
  bool allowed;

  if (e->error && e->error != AM_E_NOT_FOUND)
    return false;
  if (!l->has_read)
    l->first_index = e->error ? 0 : e->lock_index;
  l->has_read = true;
  allowed = list_allows (l, e);
  if (e->locked || !allowed || l->stopping || !l->boot_id)
    return false;
  if (is_own (l, e))
    return true;
  if (am_lease_is_granted (l) || may_have_promised (l, e))
    return false;
  return is_handed (l, e) || am_lease_rank (l) < l->home_count;
}

bool
am_lease_acquire_due (struct am_lease *l, const struct am_lease_read_result *e)
{
  uint64_t wait_us = am_lease_rank (l) * (uint64_t)AM_LEASE_RANK_DELAY_US;

  if (!l->free_since_us)
    l->free_since_us = l->now_us;
  if (is_own (l, e) || is_handed (l, e))
    return true;
  if (is_released (e) && e->value.handed_to)
    wait_us += AM_LEASE_SUCCESSOR_PRIORITY_US;
  return l->now_us - l->free_since_us >= wait_us;
}
