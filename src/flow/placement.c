#include "flow/placement.h"

#include <math.h>
#include <stdbool.h>

#include "flow/liveness.h"

/* Added to the cost of a target that is a last resort: more than any load.  */
#define UNUSABLE_PENALTY 1e6

/* Requests in progress now, relative to those at the reports: a burst may have
   begun since.  */
#define LOAD_GROWTH_MAX 2

static double
requests_in_progress (const struct am_target *t)
{
  const struct am_target_load *own = &t->load;
  const struct am_target_load *peers = &t->peers_load;

  return own->opening + own->busy + peers->opening + peers->busy;
}

bool
am_placement_evacuated (const struct am_target *t,
                        const struct am_evacuations *e)
{
  return e && am_evacuations_apply (e, t->spec.data_centre);
}

static uint32_t
slots (const struct am_target *t)
{
  return t->spec.slots ? t->spec.slots : 1;
}

static double
load (const struct am_target *t)
{
  double flows = t->load.open_flows + t->peers_load.open_flows;

  return (requests_in_progress (t) + 1 + AM_PLACEMENT_OPEN_FLOW_LOAD * flows)
         / slots (t);
}

static bool
is_local (const struct am_target *t, const struct am_placement *p)
{
  return t->spec.data_centre == p->data_centre;
}

static double
cost (const struct am_target *t, const struct am_placement *p)
{
  double c = load (t);

  if (p->now_us < t->warm_up_end_us)
    c *= AM_PLACEMENT_WARM_UP_FACTOR;
  if (!is_local (t, p))
    c += AM_PLACEMENT_REMOTE_PENALTY;
  if (!am_liveness_usable (t, p->now_us))
    c += UNUSABLE_PENALTY;
  return c;
}

static bool
accepts_flows (const struct am_target *t, const struct am_placement *p)
{
  return t->state == AM_TARGET_READY && t->spec.service == p->service
         && !t->ambiguous && !am_placement_evacuated (t, p->evacuations)
         && am_warm_up_admits (p->warm_up, t, p->now_us);
}

/* Targets among which one is selected, linked by next_candidate.  */
struct candidates
{
  struct am_target *first;
  double lowest; /* cost */
};

#define each_candidate(g, c) \
  for (struct am_target *g = (c)->first; g; g = g->next_candidate)

/* Removes the candidates whose cost is above LIMIT.  */
static void
remove_above (struct candidates *c, double limit)
{
  struct am_target **link = &c->first;

  while (*link)
    {
      if ((*link)->cost > limit)
        *link = (*link)->next_candidate;
      else
        link = &(*link)->next_candidate;
    }
}

/* Load of the targets in the VM's own data centre, beside that of others.  */
struct local_load
{
  size_t targets;       /* that accept flows */
  double in_service;    /* requests there; more than its slots cannot be in
                           service at a target, and may have failed */
  double lowest_remote; /* cost of the targets elsewhere; HUGE_VAL: there is
                           none */
};

/* Sets the costs of the targets that accept flows, and *S.  */
static void
measure_local_load (struct local_load *s, struct am_target_table *t,
                    const struct am_placement *p)
{
  *s = (struct local_load){ .lowest_remote = HUGE_VAL };
  am_list_each (g, &t->targets, struct am_target, node)
  {
    if (!accepts_flows (g, p))
      continue;
    g->cost = cost (g, p);
    if (is_local (g, p))
      {
        s->targets++;
        s->in_service += fmin (requests_in_progress (g), slots (g));
      }
    else if (g->cost < s->lowest_remote)
      s->lowest_remote = g->cost;
  }
}

/* Sets *C to the targets that accept flows, only to those in the VM's own data
   centre if LOCAL.  Their costs are set.  */
static void
find_candidates (struct candidates *c, struct am_target_table *t,
                 const struct am_placement *p, bool local)
{
  struct am_target **link = &c->first;

  c->lowest = HUGE_VAL;
  am_list_each (g, &t->targets, struct am_target, node)
  {
    if (!accepts_flows (g, p) || (local && !is_local (g, p)))
      continue;
    if (g->cost < c->lowest)
      c->lowest = g->cost;
    *link = g;
    link = &g->next_candidate;
  }
  *link = NULL;
}

/* Returns the common cost of the candidates below it once they have received
   this number of FLOWS, and removes the candidates that are not below it.  */
static double
fill_level (struct candidates *c, double flows)
{
  double level = c->lowest + flows;
  double before;

  /* The first level is that of one target of one slot that receives all.  Each
     step divides them among more targets, and so excludes some.  */
  do
    {
      double filled = flows;
      double capacity = 0;

      before = level;
      remove_above (c, level);
      each_candidate (g, c)
      {
        filled += g->cost * slots (g);
        capacity += slots (g);
      }
      level = filled / capacity;
    }
  while (level < before);
  return before;
}

/* Returns what G lacks to LEVEL, requests.  */
static double
room (const struct am_target *g, double level)
{
  return g->cost < level ? (level - g->cost) * slots (g) : 0;
}

static struct am_target *
choose_by_room (const struct candidates *c, const struct am_placement *p,
                double level)
{
  struct am_target *chosen = c->first;
  double sum = 0;
  double position;

  each_candidate (g, c) sum += room (g, level);
  position = am_rng_unit (p->rng) * sum;
  each_candidate (g, c)
  {
    chosen = g;
    position -= room (g, level);
    if (position < 0)
      break;
  }
  return chosen;
}

static struct am_target *
choose_any (const struct candidates *c, const struct am_placement *p)
{
  struct am_target *chosen = NULL;
  uint32_t seen = 0;

  each_candidate (g, c) if (am_rng_below (p->rng, ++seen) == 0) chosen = g;
  return chosen;
}

/* Returns true if the flow stays in the VM's own data centre: its targets are
   less loaded than those of others, also with the unreported flows that are in
   progress.  Most of these have ended, as they are short: at a steady load as
   many are in progress as were at the reports.  */
static bool
stays_local (struct am_target_table *t, const struct am_placement *p)
{
  struct local_load s;
  struct candidates c;
  double flows = p->unreported_flows;

  measure_local_load (&s, t, p);
  if (!s.targets)
    return false;
  if (flows > LOAD_GROWTH_MAX * s.in_service)
    flows = LOAD_GROWTH_MAX * s.in_service;
  find_candidates (&c, t, p, true);
  if (flows <= 0)
    return c.lowest <= s.lowest_remote;
  return fill_level (&c, flows) <= s.lowest_remote;
}

struct am_target *
am_placement_choose (struct am_target_table *t, const struct am_placement *p)
{
  bool local = stays_local (t, p);
  struct candidates c;

  find_candidates (&c, t, p, local);
  if (!c.first)
    return NULL;
  if (p->unreported_flows > 0)
    return choose_by_room (&c, p, fill_level (&c, p->unreported_flows));
  remove_above (&c, c.lowest);
  return choose_any (&c, p);
}

double
am_placement_load_per_slot (const struct am_target_table *t,
                            const struct am_placement *p)
{
  double local[2] = { 0 }; /* requests, slots */
  double all[2] = { 0 };

  am_list_each (g, &t->targets, struct am_target, node)
  {
    if (!accepts_flows (g, p) || !am_liveness_usable (g, p->now_us))
      continue;
    all[0] += requests_in_progress (g);
    all[1] += slots (g);
    if (!is_local (g, p))
      continue;
    local[0] += requests_in_progress (g);
    local[1] += slots (g);
  }
  if (local[1] > 0)
    return local[0] / local[1];
  return all[1] > 0 ? all[0] / all[1] : 0;
}
