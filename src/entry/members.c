#include "entry/peers.h"

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
am_entry_add_or_refresh_member (struct am_entry *e, const Fleet__Member *m,
                                uint64_t now_us)
{
  struct am_peer *p;

  if (!m || !m->name[0] || !m->ip || !m->port || m->port > UINT16_MAX)
    return NULL;
  p = am_fleet_get_or_add_peer (&e->fleet, m->name, now_us);
  if (!p)
    return NULL;
  p->named_us = now_us;
  /* An address from the peer's own digests takes precedence over one that
     another VM reports.  */
  if (!am_fleet_peer_alive (p, now_us))
    {
      p->address.ip = m->ip;
      p->address.port = (uint16_t)m->port;
      p->data_centre = m->data_centre;
    }
  return p;
}
