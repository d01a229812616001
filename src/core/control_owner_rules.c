#include "core/control_owner_parts.h"

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
  return e->error == AM_OK && am_lease_is_granted (l)
         && e->value.owner_id == l->self_id && e->value.epoch == l->grant.epoch
         && e->value.boot_id == l->boot_id;
}

/* Returns true if the holder has released the key and this VM has its table.
   A promise to that holder is void then.  */
static bool
is_handed (const struct am_lease *l, const struct am_lease_entry *e)
{
  return e->error == AM_OK && e->value.epoch == e->lock_index
         && e->value.handed_to == l->self_id;
}

bool
am_lease_may_acquire (struct am_lease *l, const struct am_lease_entry *e)
{
  bool allowed;

  if (e->error && e->error != AM_E_NOT_FOUND)
    return false;
  allowed = list_allows (l, e);
  if (e->locked || !allowed || l->stopping || !l->boot_id)
    return false;
  if (is_own (l, e) || (is_handed (l, e) && !am_lease_is_granted (l)))
    return true;
  return !am_lease_is_granted (l) && l->now_us >= l->promised_until_us
         && l->now_us - l->started_us >= AM_LEASE_PROMISE_US
         && am_lease_rank (l) < l->home_count;
}

bool
am_lease_is_my_turn (struct am_lease *l, const struct am_lease_entry *e)
{
  uint64_t wait_us = am_lease_rank (l) * (uint64_t)AM_LEASE_RANK_US;

  if (!l->free_since_us)
    l->free_since_us = l->now_us;
  if (is_own (l, e) || is_handed (l, e))
    return true;
  if (e->error == AM_OK && e->value.handed_to)
    wait_us += AM_LEASE_HANDED_US;
  return l->now_us - l->free_since_us >= wait_us;
}
