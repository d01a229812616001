#include <inttypes.h>

#include "entry/peers.h"
#include "io/clock.h"

/* Longest interval between two digests that a peer may report.  */
#define INTERVAL_MAX_US AM_DIGEST_SEEDS_MAX_US

static void
apply_loads (struct am_entry *e, struct am_peer *p, const Fleet__Digest *d,
             uint64_t now_us)
{
  struct am_load_report reports[AM_PEER_LOAD_MAX];
  size_t n = d->n_loads < AM_PEER_LOAD_MAX ? d->n_loads : AM_PEER_LOAD_MAX;

  for (size_t i = 0; i < n; i++)
    {
      reports[i].ticket = d->loads[i]->ticket;
      reports[i].load.opening = d->loads[i]->opening;
      reports[i].load.open_flows = d->loads[i]->open_flows;
      reports[i].load.busy = d->loads[i]->busy;
      reports[i].load.recent = d->loads[i]->recent;
      reports[i].unresponsive = d->loads[i]->silent;
      reports[i].data_unanswered = d->loads[i]->data_unanswered;
    }
  am_peer_load_set (&p->load, &e->targets, reports, n, now_us);
  p->loads_us = now_us;
}

static void
apply_services (struct am_entry *e, const Fleet__Digest *d, uint64_t now_us)
{
  for (size_t i = 0; i < d->n_services; i++)
    {
      struct am_service_load l = { .service = d->services[i]->service,
                                   .slots = d->services[i]->slots,
                                   .requests = d->services[i]->requests };

      am_remote_loads_set (&e->remote_loads, d->sender->data_centre, &l,
                           now_us);
    }
}

/* Returns the interval that D reports, clamped to the valid range.  */
static uint64_t
reported_interval_us (const Fleet__Digest *d)
{
  uint64_t interval = (uint64_t)d->interval_ms * 1000u;

  if (interval < AM_DIGEST_LOAD_MIN_US)
    return AM_DIGEST_LOAD_MIN_US;
  return interval < INTERVAL_MAX_US ? interval : INTERVAL_MAX_US;
}

/* Updates P from its digest D.  */
static void
apply_digest (struct am_entry *e, struct am_peer *p, const Fleet__Digest *d,
              uint64_t now_us)
{
  if (!am_fleet_peer_alive (p, now_us))
    am_line_log_add (&e->log, AM_LINE_STATE, now_us,
                     "peer-regained name=%s revision=%" PRIu64, p->name,
                     d->revision);
  p->address.ip = d->sender->ip;
  p->address.port = (uint16_t)d->sender->port;
  p->data_centre = d->sender->data_centre;
  p->heard_us = now_us;
  p->revision = d->revision;
  p->compaction_revision = d->horizon;
  p->configuration = d->configuration;
  p->local_vms = d->local_vms;
  p->interval_us = reported_interval_us (d);
  am_peer_set_link_mbps (p, d->link_mbps);
  p->reads = d->reads;
  if (!d->loads_omitted)
    apply_loads (e, p, d, now_us);
  if (p->data_centre != e->fleet.data_centre)
    apply_services (e, d, now_us);
}

/* Applies the changes in D if they are all that this VM's replica lacks.  The
   replica advances to the newest of them, not to the revision that D claims: a
   claim without the changes would end all later synchronization.  */
static void
apply_changes (struct am_entry *e, const Fleet__Digest *d, uint64_t now_us)
{
  am_revision before = e->replica.revision;
  am_revision newest = 0;

  if (!d->n_changes || !before || d->changes_after > before
      || d->revision <= before)
    return;
  for (size_t i = 0; i < d->n_changes; i++)
    {
      if (am_entry_apply_item (e, d->changes[i], false))
        return;
      if (d->changes[i]->revision > newest)
        newest = d->changes[i]->revision;
    }
  am_replica_advance (&e->replica,
                      newest < d->revision ? newest : d->revision);
  am_entry_replica_advanced (e, before, now_us);
  am_line_log_add (&e->log, AM_LINE_DISCOVERY, now_us,
                   "pushed revision=%" PRIu64 " before=%" PRIu64,
                   e->replica.revision, before);
}

/* Returns true if D names FROM as its sender.  */
static bool
is_of_sender (const Fleet__Digest *d, struct am_address from)
{
  return d->sender && d->sender->ip == from.ip && d->sender->port == from.port;
}

void
am_entry_digest_handle (void *userdata, struct am_address from,
                        const uint8_t *data, size_t len)
{
  struct am_entry *e = userdata;
  Fleet__Digest *d = fleet__digest__unpack (NULL, len, data);
  uint64_t now_us = am_clock_us ();
  struct am_peer *p;

  e->counters.digests_in++;
  e->counters.digest_bytes_in += len;
  if (!d || !is_of_sender (d, from))
    {
      e->counters.digests_malformed++;
      if (d)
        fleet__digest__free_unpacked (d, NULL);
      return;
    }
  p = am_entry_add_or_refresh_member (e, d->sender, now_us);
  if (p)
    {
      apply_digest (e, p, d, now_us);
      apply_changes (e, d, now_us);
    }
  fleet__digest__free_unpacked (d, NULL);
  if (p && p->revision > e->replica.revision)
    am_entry_pull (e, now_us);
}

int
am_entry_digests_open (struct am_entry *e)
{
  return am_udp_open (&e->digests_port, e->loop, e->settings.peers,
                      am_entry_digest_handle, e);
}
