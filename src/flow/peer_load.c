#include "flow/peer_load.h"

#include "flow/liveness.h"

static void
add (struct am_target *g, const struct am_load_report *r)
{
  g->peers_load.opening += r->load.opening;
  g->peers_load.open_flows += r->load.open_flows;
  g->peers_load.busy += r->load.busy;
  g->peers_load.recent += r->load.recent;
  g->reporting_peers += r->unresponsive;
  g->data_reporting_peers += r->data_unanswered;
}

/* Takes AMOUNT off *VALUE, or all of it if that is less: a target that was
   forgotten and is back does not have the load of earlier reports.  */
static void
take_off (uint32_t *value, uint32_t amount)
{
  *value -= amount < *value ? amount : *value;
}

static void
subtract (struct am_target_table *t, const struct am_load_report *r)
{
  struct am_target *g = am_target_by_ticket (t, r->ticket, 0);

  if (!g)
    return;
  take_off (&g->peers_load.opening, r->load.opening);
  take_off (&g->peers_load.open_flows, r->load.open_flows);
  take_off (&g->peers_load.busy, r->load.busy);
  take_off (&g->peers_load.recent, r->load.recent);
  take_off (&g->reporting_peers, r->unresponsive);
  take_off (&g->data_reporting_peers, r->data_unanswered);
}

/* The new reports are added before the old ones are subtracted, so that a
   target which both report as unresponsive does not seem to have recovered. */
void
am_peer_load_set (struct am_peer_load *peer, struct am_target_table *t,
                  const struct am_load_report *reports, size_t count,
                  uint64_t now_us)
{
  struct am_peer_load before = *peer;

  peer->count = 0;
  for (size_t i = 0; i < count && peer->count < AM_PEER_LOAD_MAX; i++)
    {
      struct am_target *g = am_target_by_ticket (t, reports[i].ticket, 0);

      if (!g)
        continue;
      if (reports[i].data_unanswered && !g->data_reporting_peers)
        g->data_reported_since_us = now_us;
      add (g, &reports[i]);
      peer->reports[peer->count++] = reports[i];
    }
  for (size_t i = 0; i < before.count; i++)
    subtract (t, &before.reports[i]);
}

/* One unanswered SYN may be a lost packet, so at least one retransmission is
   required.  */
static bool
is_unresponsive (const struct am_target *t, uint64_t now_us)
{
  return t->unanswered_count && am_liveness_unresponsive (t, now_us)
         && now_us - t->last_unanswered_us < AM_LIVENESS_RETRY_US;
}

static bool
is_data_unanswered (const struct am_target *t, uint64_t now_us)
{
  return t->data_unanswered_count
         && now_us - t->last_data_unanswered_us < AM_LIVENESS_RETRY_US;
}

/* Targets by the weight of what there is to report: the first reports go to
   those of which a peer has to know first, as the rest may not fit.  */
enum weight
{
  NOTHING,
  OPEN_FLOWS,   /* without a recent request */
  RECENT,       /* requests in progress */
  UNRESPONSIVE, /* to this VM */
};

static enum weight
weigh (const struct am_target *t, uint64_t now_us)
{
  if (is_unresponsive (t, now_us))
    return UNRESPONSIVE;
  if (t->load.recent)
    return RECENT;
  return t->load.opening || t->load.open_flows || t->load.busy ? OPEN_FLOWS
                                                               : NOTHING;
}

/* Appends to the N reports the targets of WEIGHT.  Returns the number of
   reports.  */
static size_t
collect (const struct am_target_table *t, enum weight weight,
         struct am_load_report *reports, size_t n, uint64_t now_us)
{
  bool unresponsive = weight == UNRESPONSIVE;

  am_list_each (g, &t->targets, struct am_target, node)
  {
    if (n == AM_PEER_LOAD_MAX)
      break;
    if (weigh (g, now_us) == weight)
      reports[n++] = (struct am_load_report){
        .ticket = g->ticket,
        .load = g->load,
        .unresponsive = unresponsive,
        .data_unanswered = unresponsive && is_data_unanswered (g, now_us),
      };
  }
  return n;
}

size_t
am_peer_load_collect (const struct am_target_table *t,
                      struct am_load_report *reports, uint64_t now_us)
{
  size_t n = collect (t, UNRESPONSIVE, reports, 0, now_us);

  n = collect (t, RECENT, reports, n, now_us);
  return collect (t, OPEN_FLOWS, reports, n, now_us);
}
