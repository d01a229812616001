#include "flow/placement.h"

#include <math.h>
#include <stdbool.h>

#include "flow/liveness.h"

/* Added to the cost of a target that is a last resort: more than any load.  */
#define UNUSABLE_PENALTY 1e6
#define AVOIDED_PENALTY 1e3

static double
requests_in_progress (const struct am_target *t)
{
  const struct am_target_load *own = &t->load;
  const struct am_target_load *peers = &t->peers_load;

  return own->opening + own->busy + peers->opening + peers->busy;
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

static double
cost (const struct am_target *t, const struct am_placement *p)
{
  double c = load (t);

  if (p->now_us < t->warm_up_end_us)
    c *= AM_PLACEMENT_WARM_UP_FACTOR;
  if (t->spec.data_centre != p->data_centre)
    c += AM_PLACEMENT_REMOTE_PENALTY;
  if (!am_liveness_usable (t, p->now_us))
    c += UNUSABLE_PENALTY;
  if (t == p->avoid)
    c += AVOIDED_PENALTY;
  return c;
}

static bool
accepts_flows (const struct am_target *t, uint32_t service)
{
  return t->state == AM_TARGET_READY && t->spec.service == service
         && !t->ambiguous;
}

struct am_target *
am_placement_choose (struct am_target_table *t, const struct am_placement *p)
{
  struct am_target *best = NULL;
  double best_cost = HUGE_VAL;
  uint32_t ties = 0;

  am_list_each (g, &t->targets, struct am_target, node)
  {
    double c;

    if (!accepts_flows (g, p->service))
      continue;
    c = cost (g, p);
    if (c > best_cost)
      continue;
    ties = c < best_cost ? 1 : ties + 1;
    best_cost = c;
    if (ties == 1 || am_rng_below (p->rng, ties) == 0)
      best = g;
  }
  return best;
}

double
am_placement_load_per_slot (const struct am_target_table *t,
                            const struct am_placement *p)
{
  double local[2] = { 0 }; /* requests, slots */
  double all[2] = { 0 };

  am_list_each (g, &t->targets, struct am_target, node)
  {
    if (!accepts_flows (g, p->service) || !am_liveness_usable (g, p->now_us))
      continue;
    all[0] += requests_in_progress (g);
    all[1] += slots (g);
    if (g->spec.data_centre != p->data_centre)
      continue;
    local[0] += requests_in_progress (g);
    local[1] += slots (g);
  }
  if (local[1] > 0)
    return local[0] / local[1];
  return all[1] > 0 ? all[0] / all[1] : 0;
}
