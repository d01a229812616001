#include "flow/suppliers.h"

static uint64_t
rank_of (const struct am_fleet *f, const struct am_peer *p)
{
  return p ? p->rank : f->rank;
}

/* Inserts P, NULL for this VM, into the COUNT PEERS in the order of their
   ranks.  The last of AM_SUPPLIERS_MAX drops out.  Returns the new number.  */
static size_t
insert (const struct am_fleet *f, const struct am_peer **peers, size_t count,
        const struct am_peer *p)
{
  size_t i = count;

  if (count < AM_SUPPLIERS_MAX)
    count++;
  else if (rank_of (f, p) >= rank_of (f, peers[--i]))
    return count;
  for (; i && rank_of (f, p) < rank_of (f, peers[i - 1]); i--)
    peers[i] = peers[i - 1];
  peers[i] = p;
  return count;
}

size_t
am_suppliers_select (const struct am_fleet *f,
                     const struct am_peer *peers[AM_SUPPLIERS_MAX],
                     uint64_t now_us)
{
  size_t count = insert (f, peers, 0, NULL);

  am_list_each (p, &f->peers, struct am_peer, node)
  {
    if (p->data_centre == f->data_centre && am_fleet_peer_alive (p, now_us))
      count = insert (f, peers, count, p);
  }
  return count;
}

void
am_suppliers_init (struct am_suppliers *s, uint64_t now_us)
{
  *s = (struct am_suppliers){ .next_write_us
                              = now_us + AM_SUPPLIERS_INTERVAL_US };
}

void
am_suppliers_clear (struct am_suppliers *s)
{
  s->count = 0;
}

void
am_suppliers_add (struct am_suppliers *s, struct am_address a)
{
  if (s->count < AM_SUPPLIERS_MAX)
    s->addresses[s->count++] = a;
}

bool
am_suppliers_write_due (struct am_suppliers *s, bool differs, uint64_t now_us)
{
  if (!differs || now_us < s->next_write_us)
    return false;
  s->next_write_us = now_us + AM_SUPPLIERS_INTERVAL_US;
  return true;
}
