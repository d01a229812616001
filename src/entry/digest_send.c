#include "entry/peers.h"

#define DATAGRAM_MAX 1400

/* Bytes and number of changes in a digest; larger ones, such as a new
   configuration, are pulled.  */
#define CHANGES_LEN 700
#define CHANGES_MAX 8

/* A digest message with the storage that it points to.  */
struct digest
{
  Fleet__Digest message;
  Fleet__Member sender;
  Fleet__Load loads[AM_PEER_LOAD_MAX];
  Fleet__Load *load_list[AM_PEER_LOAD_MAX];
  Fleet__ServiceLoad services[AM_SERVICE_LOADS_MAX];
  Fleet__ServiceLoad *service_list[AM_SERVICE_LOADS_MAX];
  Fleet__Item changes[CHANGES_MAX];
  Fleet__Item *change_list[CHANGES_MAX];
};

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
      d->loads[i].recent = reports[i].load.recent;
      d->loads[i].silent = reports[i].unresponsive;
      d->loads[i].data_unanswered = reports[i].data_unanswered;
      d->load_list[i] = &d->loads[i];
    }
  d->message.loads = d->load_list;
  d->message.n_loads = n;
}

/* VMs of other data centres decide by these loads how many flows they send to
   this one.  */
static void
fill_services (struct am_entry *e, struct digest *d, uint64_t now_us)
{
  struct am_service_load loads[AM_SERVICE_LOADS_MAX];
  size_t n = am_service_loads_collect (&e->targets, loads, now_us);

  for (size_t i = 0; i < n; i++)
    {
      fleet__service_load__init (&d->services[i]);
      d->services[i].service = loads[i].service;
      d->services[i].slots = loads[i].slots;
      d->services[i].requests = loads[i].requests;
      d->service_list[i] = &d->services[i];
    }
  d->message.services = d->service_list;
  d->message.n_services = n;
}

/* A reader sends small changes with its digests, once: a pull by every peer
   after each change would exceed the connections that it accepts.  A peer that
   misses the digest pulls.  */
static void
fill_changes (struct am_entry *e, struct digest *d)
{
  const struct am_replica_item *items[CHANGES_MAX];
  size_t n;

  if (!e->reader.active || e->changes_revision == e->replica.revision)
    return;
  e->changes_revision = e->replica.revision;
  d->message.changes_after
      = am_replica_newest (&e->replica, CHANGES_LEN, items, CHANGES_MAX, &n);
  for (size_t i = 0; i < n; i++)
    {
      am_entry_fill_item (&d->changes[i], items[i]);
      d->change_list[i] = &d->changes[i];
    }
  d->message.changes = d->change_list;
  d->message.n_changes = n;
}

static struct am_digest_inputs
schedule_inputs (const struct am_entry *e)
{
  return (struct am_digest_inputs){
    .peers = e->path.peers,
    .reads = e->reader.active,
    .liveness_changes = e->path.liveness_changes,
  };
}

/* Fills what digests to all groups have in common.  */
static void
fill_digest (struct am_entry *e, struct digest *d)
{
  fleet__digest__init (&d->message);
  am_entry_fill_member (&d->sender, e->settings.name, e->fleet.data_centre,
                        e->settings.peers);
  d->message.sender = &d->sender;
  d->message.revision = e->replica.revision;
  d->message.horizon = e->replica.compaction_revision;
  d->message.link_mbps = e->fleet.link_mbps;
  d->message.reads = e->reader.active;
  d->message.loads_omitted = true;
  d->message.local_vms = (uint32_t)e->path.peers + 1;
  if (am_revision_era (e->replica.revision))
    d->message.configuration = e->routes.active.version;
}

static void
send_to (struct am_entry *e, struct am_address to, const uint8_t *data,
         size_t len)
{
  e->counters.digest_bytes_out += len;
  am_udp_send (&e->digests_port, to, data, len);
}

/* Packs D, whose sender sends the next one within INTERVAL_US, into DATA.  */
static size_t
pack (struct digest *d, uint64_t interval_us, uint8_t data[DATAGRAM_MAX])
{
  d->message.interval_ms = (uint32_t)(interval_us / 1000u);
  while (d->message.n_loads
         && fleet__digest__get_packed_size (&d->message) > DATAGRAM_MAX)
    d->message.n_loads--;
  return fleet__digest__pack (&d->message, data);
}

/* Peers of the same data centre choose among the same targets, so they get the
   load, and they get the changes.  */
static void
send_local (struct am_entry *e, bool loads, uint64_t now_us)
{
  struct digest d;
  struct am_digest_inputs in;
  uint8_t data[DATAGRAM_MAX];
  size_t len;

  fill_digest (e, &d);
  fill_changes (e, &d);
  if (loads)
    {
      d.message.loads_omitted = false;
      fill_loads (e, &d, now_us);
    }
  in = schedule_inputs (e);
  len = pack (&d, am_digest_local_interval_us (&in), data);
  am_list_each (p, &e->fleet.peers, struct am_peer, node)
  {
    if (p->data_centre != e->fleet.data_centre)
      continue;
    p->introduced = true;
    send_to (e, p->address, data, len);
  }
}

static void
send_remote (struct am_entry *e, uint64_t now_us)
{
  struct digest d;
  uint8_t data[DATAGRAM_MAX];
  size_t len;

  fill_digest (e, &d);
  fill_services (e, &d, now_us);
  len = pack (&d, AM_DIGEST_REMOTE_US, data);
  am_list_each (p, &e->fleet.peers, struct am_peer, node)
  {
    if (p->data_centre != e->fleet.data_centre)
      send_to (e, p->address, data, len);
  }
}

/* A seed that gets other digests is left out: these report a shorter interval,
   and after one to the seeds a reader that dies would count as alive for
   longer.  */
static void
send_to_seeds (struct am_entry *e, uint64_t now_us)
{
  struct digest d;
  uint8_t data[DATAGRAM_MAX];
  size_t len;

  fill_digest (e, &d);
  len = pack (&d, am_digest_seeds_interval_us (&e->digest_schedule, now_us),
              data);
  for (size_t i = 0; i < e->settings.seed_count; i++)
    {
      struct am_address seed = e->settings.seeds[i];

      if (!am_address_equal (seed, e->settings.peers)
          && !am_fleet_sends_digests_to (&e->fleet, seed, e->reader.active))
        send_to (e, seed, data, len);
    }
}

/* Peers that are new here get a digest at once: the next one to all may be due
   only in seconds.  */
static void
send_to_new_peers (struct am_entry *e)
{
  struct am_digest_inputs in = schedule_inputs (e);
  struct am_peer *p = am_fleet_take_new_peer (&e->fleet);
  struct digest d;
  uint8_t data[DATAGRAM_MAX];
  size_t len;

  if (!p)
    return;
  fill_digest (e, &d);
  len = pack (&d, am_digest_local_interval_us (&in), data);
  for (; p; p = am_fleet_take_new_peer (&e->fleet))
    send_to (e, p->address, data, len);
}

static void
send_due (struct am_entry *e, bool advanced, uint64_t now_us)
{
  struct am_digest_inputs in = schedule_inputs (e);
  struct am_digest_plan plan
      = am_digest_schedule_due (&e->digest_schedule, &in, advanced, now_us);

  if (plan.local)
    send_local (e, plan.loads, now_us);
  if (plan.remote)
    send_remote (e, now_us);
  if (plan.seeds)
    send_to_seeds (e, now_us);
  am_digest_schedule_sent (&e->digest_schedule, &plan, &in, now_us);
}

void
am_entry_digests_send_advance (struct am_entry *e, uint64_t now_us)
{
  send_due (e, true, now_us);
}

void
am_entry_digests_tick (struct am_entry *e, uint64_t now_us)
{
  send_due (e, false, now_us);
  send_to_new_peers (e);
}
