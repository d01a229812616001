#include "core/placement/choice.h"

#include "base/error.h"
#include "base/hash.h"
#include "core/lending/quota.h"
#include "core/placement/policy.h"
#include "core/targets/address_validation.h"

/* How long a report of draining is valid.  */
#define DRAINING_LIFETIME_US 5000000u

/* Response time assumed for pacing until the first answer is measured.  */
#define ANSWER_DEFAULT_US 50000u

struct candidates
{
  struct am_upstream *items[AM_CANDIDATES_MAX];
  uint64_t scores[AM_CANDIDATES_MAX];
  size_t count;
};

const struct am_choice_ops *
am_choice_policy (Amaranth__Policy policy)
{
  switch (policy)
    {
    case AMARANTH__POLICY__POLICY_TWO_CHOICES:
      return &am_policy_two_choices;
    case AMARANTH__POLICY__POLICY_RANDOM:
      return &am_policy_random;
    case AMARANTH__POLICY__POLICY_ROUND_ROBIN:
      return &am_policy_round_robin;
    case AMARANTH__POLICY__POLICY_HASH:
      return &am_policy_hash;
    default:
      return &am_policy_local;
    }
}

static bool
may_serve (const struct am_board *b, const struct am_upstream *u)
{
  return u->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE
         && !u->health.ejected && b->now_us >= u->health.avoid_until_us
         && am_validation_is_current (b, u);
}

static bool
reports_draining (const struct am_board *b, const struct am_upstream *u)
{
  return u->report.at_us != 0 && (u->report.load.flags & AM_LOAD_DRAINING) != 0
         && b->now_us - u->report.at_us < DRAINING_LIFETIME_US;
}

static bool
below_quota (const struct am_board *b, const struct am_upstream *u,
             enum am_work work)
{
  if (work == AM_WORK_FLOW)
    return am_quota_connection_free (u);
  return am_quota_slot_free (u) && b->now_us >= u->slow_start_next_us;
}

/* Adds U to C; if C is full, replaces the entry with the lowest score unless
   SCORE is lower still.  */
static void
add_candidate (struct candidates *c, struct am_upstream *u, uint64_t score)
{
  size_t at = 0;

  if (c->count < AM_CANDIDATES_MAX)
    at = c->count++;
  else
    {
      for (size_t i = 1; i < AM_CANDIDATES_MAX; i++)
        {
          if (c->scores[i] < c->scores[at])
            at = i;
        }
      if (score <= c->scores[at])
        return;
    }
  c->items[at] = u;
  c->scores[at] = score;
}

static bool
is_eligible (const struct am_board *b, const struct am_upstream *u,
             const struct am_upstream *exclude, bool draining)
{
  return u != exclude && may_serve (b, u)
         && reports_draining (b, u) == draining;
}

/* Reduces C to the candidates in this VM's subset, if there are any.  */
static void
restrict_to_subset (const struct am_board *b, const struct am_service *s,
                    enum am_work work, const struct am_upstream *exclude,
                    bool draining, struct candidates *c)
{
  size_t n = 0;

  am_list_each (u, &s->upstreams, struct am_upstream, node)
  {
    if (u->in_subset && n < AM_CANDIDATES_MAX
        && is_eligible (b, u, exclude, draining) && below_quota (b, u, work))
      c->items[n++] = u;
  }
  if (n)
    c->count = n;
}

/* Collects the candidates other than EXCLUDE whose draining state is DRAINING.
   Returns AM_OK, AM_E_LIMIT if all eligible upstreams are at their quota, or
   AM_E_NO_UPSTREAM if none is eligible.  */
static int
collect (struct am_board *b, struct am_service *s, enum am_work work,
         const struct am_upstream *exclude, bool draining,
         struct candidates *c)
{
  int error = AM_E_NO_UPSTREAM;
  size_t found = 0;

  c->count = 0;
  am_list_each (u, &s->upstreams, struct am_upstream, node)
  {
    if (!is_eligible (b, u, exclude, draining))
      continue;
    error = AM_E_LIMIT;
    if (!below_quota (b, u, work))
      continue;
    add_candidate (c, u, am_hash_rendezvous (b->self.id, u->id));
    found++;
  }
  if (found > AM_CANDIDATES_MAX)
    restrict_to_subset (b, s, work, exclude, draining, c);
  return c->count ? AM_OK : error;
}

/* Paces the requests of an upstream whose slow start lags behind that of the
   others: its next request is delayed such that its slots are busy for the
   allowed fraction of the time.  Reducing the number of slots instead would be
   too coarse with one or two of them.  */
static void
pace (struct am_board *b, struct am_service *s, struct am_upstream *u)
{
  double share = am_slow_start_factor (b, u);
  double highest = share;
  uint64_t answer_us = u->health.answer_us;

  am_list_each (other, &s->upstreams, struct am_upstream, node)
  {
    double x = am_slow_start_factor (b, other);

    if (may_serve (b, other) && x > highest)
      highest = x;
  }
  share /= highest;
  if (share >= 1)
    return;
  if (answer_us == 0)
    answer_us = ANSWER_DEFAULT_US;
  u->slow_start_next_us = b->now_us + (uint64_t)((double)answer_us / share);
}

int
am_choice_pick (struct am_board *b, struct am_service *s, enum am_work work,
                const struct am_upstream *exclude, uint64_t key,
                struct am_upstream **u)
{
  struct candidates c;
  int error;

  if (work == AM_WORK_REQUEST)
    am_quota_release_idle_leases (b);
  error = collect (b, s, work, exclude, false, &c);
  if (error && exclude)
    error = collect (b, s, work, NULL, false, &c);
  if (error == AM_E_NO_UPSTREAM)
    error = collect (b, s, work, exclude, true, &c);
  if (error)
    return error;
  *u = s->choice->pick (b, s, work, c.items, c.count, key);
  if (work == AM_WORK_REQUEST)
    pace (b, s, *u);
  return AM_OK;
}
