#include "core/placement/policy.h"

#include <math.h>

#include "base/hash.h"
#include "core/lending/credit.h"
#include "core/placement/weight.h"

/* A report counts less with its age and nothing after this time.  */
#define REPORT_LIFE_US 1000000.0

/* Largest part that a report has in the score of an upstream.  Half a slot
   decides between upstreams equal by own evidence and never outweighs one
   request of our own.  For flows it is a hundredth of the share, so that a
   false report moves at most that many flows.  */
#define REPORT_PART_REQUEST 0.5
#define REPORT_PART_FLOW 0.01

/* Upstreams within this share of the least loaded one are equal, and the
   least recently used is taken.  A service that weighs broken flows more
   accepts a coarser balance.  */
#define TOLERANCE_IMBALANCE 0.0
#define TOLERANCE_BROKEN_FLOWS 0.005

/* A cold upstream counts as one of half its weight.  */
#define COLD_SHARE 0.5

/* Above any score, so that it is taken only without another.  */
#define HELD_BACK_SCORE 1e9

/* Step of the mark of an upstream whose share is 1.  */
#define MARK_STEP 1000.0

static double
report_trust (const struct am_board *b, const struct am_upstream *u)
{
  double age;

  if (u->report.at_us == 0)
    return 0;
  age = (double)(b->now_us - u->report.at_us);
  return age < REPORT_LIFE_US ? 1 - age / REPORT_LIFE_US : 0;
}

static double
share_of (const struct am_board *b, const struct am_upstream *u)
{
  double share = am_upstream_weight (u) * am_slow_start_factor (b, u);

  if ((u->report.load.flags & AM_LOAD_COLD) && report_trust (b, u) > 0)
    share *= COLD_SHARE;
  return share;
}

static double
excess (double reported, double own, double limit)
{
  double others = reported - own;

  if (others <= 0 || limit <= 0)
    return 0;
  return others < limit ? others / limit : 1;
}

static double
flow_score (const struct am_board *b, const struct am_upstream *u)
{
  double own = u->use.flows + u->use.opening;
  double part = excess (u->report.load.connections, own, u->connections);

  return own / (u->credit.connections * share_of (b, u))
         + REPORT_PART_FLOW * report_trust (b, u) * part;
}

static double
request_score (const struct am_board *b, const struct am_upstream *u)
{
  double credit = am_credit_slots (u);
  double part = excess (u->report.load.busy, u->use.busy, u->slots);

  return u->use.busy / (credit * share_of (b, u))
         + REPORT_PART_REQUEST * report_trust (b, u) * part;
}

static double
score (const struct am_board *b, enum am_work work,
       const struct am_upstream *u)
{
  return work == AM_WORK_FLOW ? flow_score (b, u) : request_score (b, u);
}

/* Orders upstreams by their marks; equal marks by a rotation of this entry VM,
   so that the VMs do not all begin with the same ones.  */
static bool
used_before (const struct am_board *b, const struct am_upstream *a,
             const struct am_upstream *c)
{
  if (a->choice_mark != c->choice_mark)
    return a->choice_mark < c->choice_mark;
  return am_hash_rendezvous (b->self.id, a->id)
         > am_hash_rendezvous (b->self.id, c->id);
}

/* Stride scheduling: the mark of a chosen upstream grows by a step inverse to
   its SHARE, from the mark of the one chosen before at least, so that one that
   was away does not catch up.  With equal shares this is least recently used.
 */
static void
advance_mark (struct am_service *s, struct am_upstream *u, double share)
{
  if (u->choice_mark < s->choice_next)
    u->choice_mark = s->choice_next;
  s->choice_next = u->choice_mark;
  u->choice_mark += (uint64_t)(MARK_STEP / share);
}

/* A borrowed slot alone has no share of its own and counts as an average
   one of the N candidates.  */
static double
request_share (const struct am_board *b, const struct am_upstream *u, size_t n)
{
  double share = u->credit.share > 0 ? u->credit.share : 1.0 / (double)n;

  return share * share_of (b, u) / am_upstream_weight (u);
}

/* Returns true if U ramps up behind the others and has had its part of the
   new flows.  Having fewest, it would else get every one of them.  */
static bool
held_back (const struct am_board *b, const struct am_service *s,
           enum am_work work, const struct am_upstream *u, double highest)
{
  return work == AM_WORK_FLOW && am_slow_start_factor (b, u) < highest
         && u->choice_mark > s->choice_next;
}

static double
highest_ramp (const struct am_board *b, struct am_upstream *const *candidates,
              size_t n)
{
  double highest = 0;

  for (size_t i = 0; i < n; i++)
    highest = fmax (highest, am_slow_start_factor (b, candidates[i]));
  return highest;
}

static struct am_upstream *
pick_local (struct am_board *b, struct am_service *s, enum am_work work,
            struct am_upstream *const *candidates, size_t n, uint64_t key)
{
  bool strict = s->objective == AMARANTH__OBJECTIVE__OBJECTIVE_IMBALANCE;
  double tolerance = strict ? TOLERANCE_IMBALANCE : TOLERANCE_BROKEN_FLOWS;
  double ramp = highest_ramp (b, candidates, n);
  struct am_upstream *best = NULL;
  double scores[AM_CANDIDATES_MAX];
  double least = HUGE_VAL;

  (void)key;
  for (size_t i = 0; i < n; i++)
    {
      scores[i] = held_back (b, s, work, candidates[i], ramp)
                      ? HELD_BACK_SCORE
                      : score (b, work, candidates[i]);
      least = fmin (least, scores[i]);
    }
  for (size_t i = 0; i < n; i++)
    {
      if (scores[i] <= least + tolerance
          && (!best || used_before (b, candidates[i], best)))
        best = candidates[i];
    }
  advance_mark (s, best,
                work == AM_WORK_FLOW ? share_of (b, best)
                                     : request_share (b, best, n));
  return best;
}

static struct am_upstream *
pick_weighted (struct am_board *b, struct am_upstream *const *candidates,
               size_t n)
{
  double total = 0;
  double at;

  for (size_t i = 0; i < n; i++)
    total += share_of (b, candidates[i]);
  at = am_rng_unit (&b->rng) * total;
  for (size_t i = 0; i + 1 < n; i++)
    {
      at -= share_of (b, candidates[i]);
      if (at < 0)
        return candidates[i];
    }
  return candidates[n - 1];
}

static struct am_upstream *
pick_two_choices (struct am_board *b, struct am_service *s, enum am_work work,
                  struct am_upstream *const *candidates, size_t n,
                  uint64_t key)
{
  struct am_upstream *one = pick_weighted (b, candidates, n);
  struct am_upstream *two = pick_weighted (b, candidates, n);

  (void)s;
  (void)key;
  return score (b, work, two) < score (b, work, one) ? two : one;
}

static struct am_upstream *
pick_random (struct am_board *b, struct am_service *s, enum am_work work,
             struct am_upstream *const *candidates, size_t n, uint64_t key)
{
  (void)s;
  (void)work;
  (void)key;
  return pick_weighted (b, candidates, n);
}

static struct am_upstream *
pick_round_robin (struct am_board *b, struct am_service *s, enum am_work work,
                  struct am_upstream *const *candidates, size_t n,
                  uint64_t key)
{
  struct am_upstream *best = candidates[0];

  (void)work;
  (void)key;
  for (size_t i = 1; i < n; i++)
    {
      if (candidates[i]->choice_mark < best->choice_mark)
        best = candidates[i];
    }
  advance_mark (s, best, share_of (b, best));
  return best;
}

static struct am_upstream *
pick_hash (struct am_board *b, struct am_service *s, enum am_work work,
           struct am_upstream *const *candidates, size_t n, uint64_t key)
{
  struct am_upstream *best = candidates[0];
  double highest = 0;

  (void)b;
  (void)s;
  (void)work;
  for (size_t i = 0; i < n; i++)
    {
      double x = am_hash_rendezvous_weighted (
          key, candidates[i]->id, am_upstream_weight (candidates[i]));

      if (i == 0 || x > highest)
        {
          highest = x;
          best = candidates[i];
        }
    }
  return best;
}

const struct am_choice_ops am_policy_local = { "local", pick_local };
const struct am_choice_ops am_policy_two_choices
    = { "two_choices", pick_two_choices };
const struct am_choice_ops am_policy_random = { "random", pick_random };
const struct am_choice_ops am_policy_round_robin
    = { "round_robin", pick_round_robin };
const struct am_choice_ops am_policy_hash = { "hash", pick_hash };
