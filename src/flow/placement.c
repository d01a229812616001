#include "flow/placement.h"

#include <math.h>
#include <stdbool.h>

#include "flow/liveness.h"

/* More than any load: a target of this cost is a last resort.  */
#define UNUSABLE 1e6
#define AVOIDED 1e3

static double
load (const struct am_target *t)
{
  const struct am_target_load *own = &t->load;
  const struct am_target_load *peers = &t->peers_load;
  double requests = own->opening + own->busy + peers->opening + peers->busy;
  double flows = own->open_flows + peers->open_flows;
  uint32_t slots = t->spec.slots ? t->spec.slots : 1;

  return (requests + 1 + AM_PLACEMENT_OPEN_FLOW * flows) / slots;
}

static double
cost (const struct am_target *t, const struct am_placement *p)
{
  double c = load (t);

  if (p->now_us < t->warm_us)
    c *= AM_PLACEMENT_COLD_FACTOR;
  if (t->spec.data_centre != p->data_centre)
    c += AM_PLACEMENT_FAR;
  if (!am_liveness_usable (t, p->now_us))
    c += UNUSABLE;
  if (t == p->avoid)
    c += AVOIDED;
  return c;
}

static bool
takes_flows (const struct am_target *t, uint32_t service)
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

    if (!takes_flows (g, p->service))
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
