#include "flow/candidate.h"

double
am_candidate_requests (const struct am_target *t)
{
  const struct am_target_load *own = &t->load;
  const struct am_target_load *peers = &t->peers_load;

  return own->opening + own->busy + peers->opening + peers->busy;
}

double
am_candidate_recent (const struct am_target *t)
{
  return t->load.recent + t->peers_load.recent;
}

double
am_candidate_own_recent (const struct am_target *t)
{
  return t->load.recent;
}

uint32_t
am_candidate_vms (const struct am_placement *p)
{
  return p->vms ? p->vms : 1;
}

uint32_t
am_candidate_slots (const struct am_target *t)
{
  return t->spec.slots ? t->spec.slots : 1;
}

bool
am_candidate_evacuated (const struct am_target *t,
                        const struct am_evacuations *e)
{
  return e && am_evacuations_apply (e, t->spec.data_centre);
}

/* A target that holds all the flows it can leaves a SYN unanswered.  */
static bool
is_full (const struct am_target *t, const struct am_placement *p)
{
  const struct am_target_load *own = &t->load;
  const struct am_target_load *peers = &t->peers_load;

  return p->connections_max
         && own->opening + own->open_flows + peers->opening + peers->open_flows
                >= p->connections_max;
}

bool
am_candidate_accepts (const struct am_target *t, const struct am_placement *p)
{
  return t->state == AM_TARGET_READY && t->spec.service == p->service
         && !t->ambiguous && !am_candidate_evacuated (t, p->evacuations)
         && !is_full (t, p) && am_warm_up_admits (p->warm_up, t, p->now_us);
}
