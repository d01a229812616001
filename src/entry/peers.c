#include "entry/peers.h"

#include "base/error.h"

void
am_entry_fill_member (Fleet__Member *m, char *name, uint32_t data_centre,
                      struct am_address a)
{
  fleet__member__init (m);
  m->name = name;
  m->data_centre = data_centre;
  m->ip = a.ip;
  m->port = a.port;
}

struct am_peer *
am_entry_learn_member (struct am_entry *e, const Fleet__Member *m,
                       uint64_t now_us)
{
  struct am_peer *p;

  if (!m || !m->name[0] || !m->ip || !m->port || m->port > UINT16_MAX)
    return NULL;
  p = am_fleet_peer (&e->fleet, m->name, now_us);
  if (!p)
    return NULL;
  p->known_us = now_us;
  /* A digest tells a peer's address better than what others remember.  */
  if (!am_fleet_hears (p, now_us))
    {
      p->address.ip = m->ip;
      p->address.port = (uint16_t)m->port;
      p->data_centre = m->data_centre;
    }
  return p;
}

int
am_entry_peers_open (struct am_entry *e)
{
  int err;

  am_http_client_init (&e->pull, e->loop, e->settings.peers);
  err = am_entry_digests_open (e);
  if (!err)
    err = am_http_server_open (&e->changes, e->loop, e->settings.peers,
                               am_entry_changes_handle, e);
  return err;
}

void
am_entry_peers_tick (struct am_entry *e, uint64_t now_us)
{
  am_fleet_tick (&e->fleet, &e->targets, now_us);
  am_entry_digests_tick (e, now_us);
  am_entry_pull_from_seed (e, now_us);
  am_entry_pull (e, now_us);
}

void
am_entry_peers_wake (struct am_entry *e)
{
  am_http_client_reset (&e->pull);
}
