#include "entry/peers.h"

/* With many peers in the data centre each sends less often, so that their
   number does not grow with its square.  */
#define DIGEST_PEER_US 20000u
/* Findings about targets are told at once, but no more often than this.  */
#define FINDING_US 50000u
/* Silent seeds are told of this VM at this interval.  */
#define SEEDS_US 1000000u

#define DATAGRAM_MAX 1400

/* The parts of a digest that point to each other.  */
struct digest
{
  Fleet__Digest message;
  Fleet__Member sender;
  Fleet__Load loads[AM_PEER_LOAD_MAX];
  Fleet__Load *load_list[AM_PEER_LOAD_MAX];
};

/* A reader's digests confirm the copies of its peers.  */
static uint64_t
interval_us (const struct am_entry *e)
{
  uint64_t interval = e->path.peers * DIGEST_PEER_US;

  if (interval < AM_ENTRY_DIGEST_INTERVAL_MIN_US)
    interval = AM_ENTRY_DIGEST_INTERVAL_MIN_US;
  if (e->reader.works && interval > AM_FLEET_READER_US)
    interval = AM_FLEET_READER_US;
  return interval;
}

static void
fill_loads (struct am_entry *e, struct digest *d, uint64_t now_us)
{
  struct am_load_report reports[AM_PEER_LOAD_MAX];
  size_t n = am_peer_load_collect (&e->targets, reports, now_us);

  for (size_t i = 0; i < n; i++)
    {
      fleet__load__init (&d->loads[i]);
      d->loads[i].ticket = reports[i].ticket;
      d->loads[i].opening = reports[i].load.opening;
      d->loads[i].open_flows = reports[i].load.open_flows;
      d->loads[i].busy = reports[i].load.busy;
      d->loads[i].silent = reports[i].silent;
      d->load_list[i] = &d->loads[i];
    }
  d->message.loads = d->load_list;
  d->message.n_loads = n;
}

static void
fill_digest (struct am_entry *e, struct digest *d, uint64_t now_us)
{
  fleet__digest__init (&d->message);
  am_entry_fill_member (&d->sender, e->settings.name, e->fleet.data_centre,
                        e->settings.peers);
  d->message.sender = &d->sender;
  d->message.revision = e->replica.revision;
  d->message.horizon = e->replica.horizon;
  d->message.interval_ms = (uint32_t)(interval_us (e) / 1000u);
  d->message.link_mbps = e->fleet.link_mbps;
  d->message.reads = e->reader.works;
  fill_loads (e, d, now_us);
}

/* Load concerns the peers of the data centre, which choose among the same
   targets; others hear of revisions only, and only from readers.  */
void
am_entry_digests_send (struct am_entry *e, uint64_t now_us)
{
  struct digest d;
  uint8_t near[DATAGRAM_MAX];
  uint8_t far[DATAGRAM_MAX];
  size_t near_len;
  size_t far_len;

  fill_digest (e, &d, now_us);
  while (d.message.n_loads
         && fleet__digest__get_packed_size (&d.message) > sizeof near)
    d.message.n_loads--;
  near_len = fleet__digest__pack (&d.message, near);
  d.message.n_loads = 0;
  far_len = fleet__digest__pack (&d.message, far);
  e->digest_us = now_us;
  e->told_findings = e->path.findings;
  am_list_each (p, &e->fleet.peers, struct am_peer, node)
  {
    if (p->data_centre == e->fleet.data_centre)
      am_udp_send (&e->digests, p->address, near, near_len);
    else if (e->reader.works)
      am_udp_send (&e->digests, p->address, far, far_len);
  }
  if (now_us - e->seeds_us < SEEDS_US)
    return;
  e->seeds_us = now_us;
  for (size_t i = 0; i < e->settings.seed_count; i++)
    if (!am_address_equal (e->settings.seeds[i], e->settings.peers))
      am_udp_send (&e->digests, e->settings.seeds[i], far, far_len);
}

void
am_entry_digests_tick (struct am_entry *e, uint64_t now_us)
{
  bool finding = e->path.findings != e->told_findings
                 && now_us - e->digest_us >= FINDING_US;

  if (finding || now_us - e->digest_us >= interval_us (e))
    am_entry_digests_send (e, now_us);
}
