/* Load of the services in other data centres, as reported by the VMs there.

   A VM sees only its own flows at the targets of another data centre.  Whether
   these have room for more depends on the callers there, whose flows do not
   pass through this VM.  So the VM that reads the store for a data centre
   tells the others, with its digests, how many slots each service has there
   and how many requests of its own callers are in progress.

   Times are microseconds of the monotonic clock.  */

#ifndef AM_FLOW_REMOTE_LOAD_H
#define AM_FLOW_REMOTE_LOAD_H

#include <stddef.h>
#include <stdint.h>

#include "base/list.h"
#include "flow/target_table.h"

/* Services in a digest, and reports that are kept; others are dropped.  */
#define AM_SERVICE_LOADS_MAX 32
#define AM_REMOTE_LOADS_MAX 512

/* A report is of no use after this time: several digests were missed, as when
   the data centre is cut off.  */
#define AM_REMOTE_LOAD_MAX_AGE_US 3000000u

/* Load of a service in one data centre.  */
struct am_service_load
{
  uint32_t service;  /* hash of its name by am_hash_name */
  uint32_t slots;    /* of its usable targets */
  uint32_t requests; /* in progress, by flows through the VMs there */
};

/* Report of one data centre on one service.  */
struct am_remote_load
{
  struct am_list node; /* in am_remote_loads.reports */
  uint32_t data_centre;
  struct am_service_load load;
  uint64_t reported_us;
};

struct am_remote_loads
{
  struct am_list reports;
  size_t count;
};

void am_remote_loads_init (struct am_remote_loads *r);
void am_remote_loads_finish (struct am_remote_loads *r);

/* Records the report LOAD of DATA_CENTRE.  Without effect if memory is
   exhausted or there are AM_REMOTE_LOADS_MAX reports.  */
void am_remote_loads_set (struct am_remote_loads *r, uint32_t data_centre,
                          const struct am_service_load *load, uint64_t now_us);

/* Returns the load of SERVICE in DATA_CENTRE, or NULL if there is no report of
   the last AM_REMOTE_LOAD_MAX_AGE_US.  */
const struct am_service_load *
am_remote_loads_find (const struct am_remote_loads *r, uint32_t data_centre,
                      uint32_t service, uint64_t now_us);

/* Removes the reports that are too old.  */
void am_remote_loads_expire (struct am_remote_loads *r, uint64_t now_us);

/* Writes the load of the services in the data centre of T, as far as this VM
   knows it, to LOADS, which has room for AM_SERVICE_LOADS_MAX of them.
   Returns their number.  */
size_t am_service_loads_collect (const struct am_target_table *t,
                                 struct am_service_load *loads,
                                 uint64_t now_us);

#endif
