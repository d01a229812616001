#include "flow/placement.h"

#include <math.h>
#include <stdbool.h>

#include "flow/admission.h"
#include "flow/liveness.h"

/* Added to the cost of a target that is a last resort: more than any load.  */
#define UNUSABLE_PENALTY 1e6

/* Requests in progress per slot from which on the slots are in use.  */
#define SCARCE_PER_SLOT 1.0

/* Requests in progress now, relative to those at the reports: a burst may have
   begun since.  */
#define LOAD_GROWTH_MAX 2

static double
load (const struct am_target *t)
{
  double flows = t->load.open_flows + t->peers_load.open_flows;

  return (am_candidate_requests (t) + 1 + AM_PLACEMENT_OPEN_FLOW_LOAD * flows)
         / am_candidate_slots (t);
}

/* Returns the load of T by flows through this VM alone, with one more.  */
static double
own_load (const struct am_target *t, const struct am_placement *p)
{
  double l = (am_candidate_own_recent (t) + 1) / am_candidate_slots (t);

  return p->now_us < t->warm_up_end_us ? l * AM_PLACEMENT_WARM_UP_FACTOR : l;
}

static bool
is_local (const struct am_target *t, const struct am_placement *p)
{
  return t->spec.data_centre == p->data_centre;
}

/* Returns what is added to the load of T because it is in another data
   centre.  */
static double
remote_cost (const struct am_target *t, const struct am_placement *p,
             const struct am_admission *a)
{
  const struct am_room *r = am_admission_room (a, t->spec.data_centre);
  double c = p->crossing > 0 ? p->crossing : AM_PLACEMENT_REMOTE_PENALTY;

  return r && r->reported ? c + r->load : c;
}

static double
cost (const struct am_target *t, const struct am_placement *p,
      const struct am_admission *a)
{
  double c = load (t);

  if (p->now_us < t->warm_up_end_us)
    c *= AM_PLACEMENT_WARM_UP_FACTOR;
  if (!is_local (t, p))
    c += remote_cost (t, p, a);
  if (!am_liveness_usable (t, p->now_us))
    c += UNUSABLE_PENALTY;
  return c;
}

/* Targets among which one is selected, linked by next_candidate.  */
struct candidates
{
  struct am_target *first;
  struct am_target **end;
  double lowest; /* cost; HUGE_VAL: there are none */
};

#define each_candidate(g, c) \
  for (struct am_target *g = (c)->first; g; g = g->next_candidate)

static void
init_candidates (struct candidates *c)
{
  c->first = NULL;
  c->end = &c->first;
  c->lowest = HUGE_VAL;
}

static void
add_candidate (struct candidates *c, struct am_target *g)
{
  g->next_candidate = NULL;
  *c->end = g;
  c->end = &g->next_candidate;
  c->lowest = fmin (c->lowest, g->cost);
}

/* Moves the candidates of FROM to C.  */
static void
join_candidates (struct candidates *c, struct candidates *from)
{
  if (!from->first)
    return;
  *c->end = from->first;
  c->end = from->end;
  c->lowest = fmin (c->lowest, from->lowest);
  init_candidates (from);
}

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
  c->end = link;
}

/* Candidates by whether they are in the VM's own data centre.  */
struct choice
{
  struct candidates local;
  struct candidates remote;
  double in_service; /* requests at the local ones; more than its slots cannot
                        be in service at a target, and may have failed */
};

/* Returns true if the flow may be placed in the data centre of T: it is open,
   or none is.  One without a room has no usable target, which the cost tells,
   or is beyond those that are told apart.  */
static bool
is_open (const struct am_target *t, const struct am_admission *a)
{
  const struct am_room *r = am_admission_room (a, t->spec.data_centre);

  if (!am_admission_admits (a))
    return true;
  return r ? r->open : a->complete;
}

/* Sets *S to the targets that accept the flow, and their costs.  */
static void
find_candidates (struct choice *s, struct am_target_table *t,
                 const struct am_placement *p, const struct am_admission *a)
{
  init_candidates (&s->local);
  init_candidates (&s->remote);
  s->in_service = 0;
  am_list_each (g, &t->targets, struct am_target, node)
  {
    if (!am_candidate_accepts (g, p) || !is_open (g, a))
      continue;
    g->cost = cost (g, p, a);
    add_candidate (is_local (g, p) ? &s->local : &s->remote, g);
    if (is_local (g, p))
      s->in_service
          += fmin (am_candidate_requests (g), am_candidate_slots (g));
  }
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
        filled += g->cost * am_candidate_slots (g);
        capacity += am_candidate_slots (g);
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
  return g->cost < level ? (level - g->cost) * am_candidate_slots (g) : 0;
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
   many are in progress as were at the reports.  Removes candidates of S.  */
static bool
stays_local (struct choice *s, const struct am_placement *p)
{
  double flows = p->unreported_flows;

  if (!s->local.first || !s->remote.first)
    return s->local.first;
  if (flows > LOAD_GROWTH_MAX * s->in_service)
    flows = LOAD_GROWTH_MAX * s->in_service;
  if (flows <= 0)
    return s->local.lowest <= s->remote.lowest;
  return fill_level (&s->local, flows) <= s->remote.lowest;
}

/* Returns true if the slots of the VM's own data centre are in use, by reports
   or, as these may be old, if its other VMs are as loaded as this one.  */
static bool
is_scarce (const struct am_admission *a, const struct am_placement *p)
{
  const struct am_room *r = am_admission_room (a, p->data_centre);

  return r
         && fmax (r->load, r->own * am_candidate_vms (p) / r->slots)
                >= SCARCE_PER_SLOT;
}

/* Removes the candidates with a higher load by flows through this VM than the
   others.  A target with a long queue keeps them for longer, so each VM avoids
   it by what it knows exactly.  */
static void
keep_least_own (struct candidates *c, const struct am_placement *p)
{
  double least = HUGE_VAL;
  struct am_target **link = &c->first;

  each_candidate (g, c) least = fmin (least, own_load (g, p));
  while (*link)
    {
      if (own_load (*link, p) > least)
        *link = (*link)->next_candidate;
      else
        link = &(*link)->next_candidate;
    }
  c->end = link;
  c->lowest = HUGE_VAL;
  each_candidate (g, c) c->lowest = fmin (c->lowest, g->cost);
}

struct am_target *
am_placement_choose (struct am_target_table *t, const struct am_placement *p)
{
  struct am_admission a;
  struct choice s;
  bool local;

  am_admission_measure (&a, t, p);
  find_candidates (&s, t, p, &a);
  local = stays_local (&s, p);
  find_candidates (&s, t, p, &a);
  if (!local)
    join_candidates (&s.local, &s.remote);
  if (!s.local.first)
    return NULL;
  if (is_scarce (&a, p) && s.local.lowest < UNUSABLE_PENALTY)
    {
      remove_above (&s.local, UNUSABLE_PENALTY);
      keep_least_own (&s.local, p);
    }
  if (p->unreported_flows > 0)
    return choose_by_room (&s.local, p,
                           fill_level (&s.local, p->unreported_flows));
  remove_above (&s.local, s.local.lowest);
  return choose_any (&s.local, p);
}

double
am_placement_load_per_slot (const struct am_target_table *t,
                            const struct am_placement *p)
{
  double local[2] = { 0 }; /* requests, slots */
  double all[2] = { 0 };

  am_list_each (g, &t->targets, struct am_target, node)
  {
    if (!am_candidate_accepts (g, p) || !am_liveness_usable (g, p->now_us))
      continue;
    all[0] += am_candidate_requests (g);
    all[1] += am_candidate_slots (g);
    if (!is_local (g, p))
      continue;
    local[0] += am_candidate_requests (g);
    local[1] += am_candidate_slots (g);
  }
  if (local[1] > 0)
    return local[0] / local[1];
  return all[1] > 0 ? all[0] / all[1] : 0;
}
