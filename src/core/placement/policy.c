#include "core/placement/policy.h"

#include <math.h>

#include "base/hash.h"
#include "core/lending/quota.h"
#include "core/placement/weight.h"

/* The influence of a load report decreases linearly with its age and ends
   after this time.  */
#define REPORT_LIFETIME_US 1000000.0

/* Maximum contribution of a load report to the score of an upstream.  For
   requests, half a slot decides between upstreams that are equal by this VM's
   own counts and never outweighs one of its own requests.  For flows it is one
   hundredth, so that a false report moves at most that fraction of the flows.
 */
#define REPORT_WEIGHT_REQUEST 0.5
#define REPORT_WEIGHT_FLOW 0.01

/* Upstreams whose score is within this distance of the lowest one are
   equivalent, and the least recently used of them is selected.  A service
   whose objective is few broken flows accepts a coarser balance.  */
#define TOLERANCE_IMBALANCE 0.0
#define TOLERANCE_BROKEN_FLOWS 0.005

/* Factor on the weight of an upstream that reports itself as cold.  */
#define COLD_FACTOR 0.5

/* Higher than any other score: selected only if there is no other candidate.
 */
#define HELD_BACK_SCORE 1e9

/* Stride of an upstream whose share is 1.  */
#define STRIDE_UNIT 1000.0

/* Returns 1 for a load report of U received just now, falling to 0.  */
static double
report_freshness (const struct am_board *b, const struct am_upstream *u)
{
  double age;

  if (u->report.at_us == 0)
    return 0;
  age = (double)(b->now_us - u->report.at_us);
  return age < REPORT_LIFETIME_US ? 1 - age / REPORT_LIFETIME_US : 0;
}

/* Returns the weight of U, reduced during slow start and while it is cold.  */
static double
effective_weight (const struct am_board *b, const struct am_upstream *u)
{
  double weight = am_upstream_weight (u) * am_slow_start_factor (b, u);

  if ((u->report.load.flags & AM_LOAD_COLD) && report_freshness (b, u) > 0)
    weight *= COLD_FACTOR;
  return weight;
}

/* Returns the load that other VMs put on an upstream, as a fraction of its
   LIMIT, 0 to 1.  */
static double
others_load (double reported, double own, double limit)
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
  double others
      = others_load (u->report.load.connections, own, u->connections);

  return own / (u->quota.connections * effective_weight (b, u))
         + REPORT_WEIGHT_FLOW * report_freshness (b, u) * others;
}

static double
request_score (const struct am_board *b, const struct am_upstream *u)
{
  double quota = am_quota_slots (u);
  double others = others_load (u->report.load.busy, u->use.busy, u->slots);

  return u->use.busy / (quota * effective_weight (b, u))
         + REPORT_WEIGHT_REQUEST * report_freshness (b, u) * others;
}

static double
score (const struct am_board *b, enum am_work work,
       const struct am_upstream *u)
{
  return work == AM_WORK_FLOW ? flow_score (b, u) : request_score (b, u);
}

/* Returns true if A was used less recently than C, by stride scheduling.  Ties
   are broken by rendezvous score for this VM, so that the VMs do not all begin
   with the same upstreams.  */
static bool
used_before (const struct am_board *b, const struct am_upstream *a,
             const struct am_upstream *c)
{
  if (a->chosen_order != c->chosen_order)
    return a->chosen_order < c->chosen_order;
  return am_hash_rendezvous (b->self.id, a->id)
         > am_hash_rendezvous (b->self.id, c->id);
}

/* Stride scheduling: advances the virtual time of the selected upstream
   (chosen_order) by a stride inversely proportional to its SHARE.  It starts
   from at least the virtual time of the upstream selected before, so that one
   that was unavailable does not catch up.  With equal shares this is least
   recently used.  */
static void
advance_virtual_time (struct am_service *s, struct am_upstream *u,
                      double share)
{
  if (u->chosen_order < s->next_chosen_order)
    u->chosen_order = s->next_chosen_order;
  s->next_chosen_order = u->chosen_order;
  u->chosen_order += (uint64_t)(STRIDE_UNIT / share);
}

/* Returns the share of this VM's requests that U should get.  An upstream of
   which this VM has only leased slots has no share of its own and gets that of
   an average one of the N candidates.  */
static double
request_share (const struct am_board *b, const struct am_upstream *u, size_t n)
{
  double share = u->quota.share > 0 ? u->quota.share : 1.0 / (double)n;

  return share * effective_weight (b, u) / am_upstream_weight (u);
}

/* Returns true if U is in slow start, behind the others, and has had its share
   of the new flows.  It has the fewest flows and would otherwise get every new
   one.  */
static bool
held_back (const struct am_board *b, const struct am_service *s,
           enum am_work work, const struct am_upstream *u,
           double highest_factor)
{
  return work == AM_WORK_FLOW && am_slow_start_factor (b, u) < highest_factor
         && u->chosen_order > s->next_chosen_order;
}

static double
highest_slow_start_factor (const struct am_board *b,
                           struct am_upstream *const *candidates, size_t n)
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
  double highest_factor = highest_slow_start_factor (b, candidates, n);
  struct am_upstream *best = NULL;
  double scores[AM_CANDIDATES_MAX];
  double least = HUGE_VAL;

  (void)key;
  for (size_t i = 0; i < n; i++)
    {
      scores[i] = held_back (b, s, work, candidates[i], highest_factor)
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
  advance_virtual_time (s, best,
                        work == AM_WORK_FLOW ? effective_weight (b, best)
                                             : request_share (b, best, n));
  return best;
}

/* Returns a random candidate with probability proportional to its weight.  */
static struct am_upstream *
pick_weighted (struct am_board *b, struct am_upstream *const *candidates,
               size_t n)
{
  double total = 0;
  double at;

  for (size_t i = 0; i < n; i++)
    total += effective_weight (b, candidates[i]);
  at = am_rng_unit (&b->rng) * total;
  for (size_t i = 0; i + 1 < n; i++)
    {
      at -= effective_weight (b, candidates[i]);
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
      if (candidates[i]->chosen_order < best->chosen_order)
        best = candidates[i];
    }
  advance_virtual_time (s, best, effective_weight (b, best));
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
