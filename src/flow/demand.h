/* Rate of new flows by service and priority, as this VM sees it.

   Times are microseconds of the monotonic clock.  */

#ifndef AM_FLOW_DEMAND_H
#define AM_FLOW_DEMAND_H

#include <stddef.h>
#include <stdint.h>

#include "flow/flow_rate.h"
#include "flow/route_table.h"

/* Services that are told apart; the others count as without demand.  */
#define AM_DEMAND_SERVICES_MAX 16

struct am_service_demand
{
  uint32_t service; /* hash of its name by am_hash_name */
  struct am_flow_rate flows[AM_ROUTE_PRIORITY_COUNT];
};

struct am_demand
{
  size_t count;
  struct am_service_demand services[AM_DEMAND_SERVICES_MAX];
};

void am_demand_init (struct am_demand *d);

/* Records a new flow of SERVICE with PRIORITY.  */
void am_demand_add (struct am_demand *d, uint32_t service, uint32_t priority,
                    uint64_t now_us);

/* Returns the part of the new flows of SERVICE, from 0 to 1, whose priority is
   better than PRIORITY.  */
double am_demand_better (const struct am_demand *d, uint32_t service,
                         uint32_t priority, uint64_t now_us);

#endif
