/* Data centres that the operator has evacuated.

   The targets of an evacuated data centre get no new flow, from any VM, until
   the order ends; their open flows go on.  An order is an item of the store
   and spreads with the replica, so each VM holds all orders that its replica
   has.  An order goes before every preference of target selection, and before
   service: if all data centres are evacuated, new flows are reset.

   Times are microseconds of the monotonic clock.  */

#ifndef AM_FLOW_EVACUATION_H
#define AM_FLOW_EVACUATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"

/* One order.  */
struct am_evacuation
{
  struct am_list node;  /* in am_evacuations.orders */
  uint32_t data_centre; /* hash of its name by am_hash_name */
  uint64_t begun_us;    /* when this VM learned of it */
};

struct am_evacuations
{
  struct am_list orders;
  size_t count;
};

void am_evacuations_init (struct am_evacuations *e);

/* Frees all orders.  */
void am_evacuations_finish (struct am_evacuations *e);

/* Records the order to evacuate DATA_CENTRE.  Without effect if there is one
   already.  Returns AM_OK or AM_E_MEMORY.  */
int am_evacuations_begin (struct am_evacuations *e, uint32_t data_centre,
                          uint64_t now_us);

/* Ends the order for DATA_CENTRE.  Returns the time since it was recorded, 0
   if there is none.  */
uint64_t am_evacuations_end (struct am_evacuations *e, uint32_t data_centre,
                             uint64_t now_us);

/* Returns true if DATA_CENTRE is evacuated.  */
bool am_evacuations_apply (const struct am_evacuations *e,
                           uint32_t data_centre);

#endif
