/* VMs that supply the replica to a VM that starts, as recorded in the store.

   The settings name a few seeds, but after a loss of power of all VMs the
   seeds may be the last to return, and after replacements none may be left.  A
   VM that starts then knows no peer, and all VMs that start together would
   list the store at the same time.  So the VM that reads the store in a data
   centre records there which VMs are the best to ask: the live ones with the
   most link bandwidth.  A VM that starts looks them up with one small call.

   A record may be out of date: who asks a VM that is gone goes on to the next
   one.  All times are microseconds of the monotonic clock.  */

#ifndef AM_FLOW_SUPPLIERS_H
#define AM_FLOW_SUPPLIERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "flow/fleet.h"

/* VMs in one record: enough for all VMs of a data centre to start at the same
   time, while one of them is down.  */
#define AM_SUPPLIERS_MAX 3

/* Shortest time between two records written by this VM, as VMs that are down
   for a moment are not worth a write.  */
#define AM_SUPPLIERS_INTERVAL_US 10000000u

struct am_suppliers
{
  struct am_address addresses[AM_SUPPLIERS_MAX]; /* of this data centre, as
                                                    last recorded */
  size_t count;
  uint64_t next_write_us; /* no record is written before this */
};

/* Stores the VMs that F's data centre should record in PEERS, best first, and
   returns their number, at most AM_SUPPLIERS_MAX.  NULL stands for this VM. */
size_t am_suppliers_select (const struct am_fleet *f,
                            const struct am_peer *peers[AM_SUPPLIERS_MAX],
                            uint64_t now_us);

/* NOW_US is the time of the VM's start, when it knows few peers: it writes no
   record for AM_SUPPLIERS_INTERVAL_US.  */
void am_suppliers_init (struct am_suppliers *s, uint64_t now_us);

/* Forgets the VMs that were recorded.  */
void am_suppliers_clear (struct am_suppliers *s);

/* Adds a VM that was recorded; any more than AM_SUPPLIERS_MAX are ignored.  */
void am_suppliers_add (struct am_suppliers *s, struct am_address a);

/* Returns true if this VM, which reads the store, is to write a record that
   DIFFERS from the one in the store, and counts it as written.  */
bool am_suppliers_write_due (struct am_suppliers *s, bool differs,
                             uint64_t now_us);

#endif
