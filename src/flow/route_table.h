/* Configuration in force: which service takes the flows of an address.

   The highest version wins and is never given up for a lower one.  */

#ifndef AM_FLOW_ROUTE_TABLE_H
#define AM_FLOW_ROUTE_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include "base/address.h"

/* Services among which a route divides its flows.  */
#define AM_ROUTE_SHARES_MAX 8

struct am_route_share
{
  uint32_t service; /* am_hash_name of the service */
  uint32_t weight;
};

struct am_route
{
  struct am_address address; /* that callers use */
  struct am_route_share shares[AM_ROUTE_SHARES_MAX];
  uint32_t share_count; /* at least 1 */
  uint32_t total_weight;
};

/* One version of the configuration; ROUTES is owned.  */
struct am_configuration
{
  uint64_t version;
  struct am_route *routes; /* sorted by address once in force */
  size_t route_count;
};

void am_configuration_finish (struct am_configuration *c);

struct am_route_table
{
  struct am_configuration in_force; /* version 0: none yet */
};

void am_route_table_init (struct am_route_table *t);
void am_route_table_finish (struct am_route_table *t);

/* Puts C into force and takes its routes.  On failure C stays the caller's.
   Returns AM_OK, or AM_E_REVISION if C is not newer than the version in
   force.  */
int am_route_table_accept (struct am_route_table *t,
                           struct am_configuration *c);

/* Returns the route of ADDRESS or NULL.  */
const struct am_route *am_route_find (const struct am_route_table *t,
                                      struct am_address address);

/* Returns the service for the flow with hash FLOW.  Each entry VM returns the
   same for the same flow and version.  */
uint32_t am_route_service (const struct am_route *r, uint64_t flow);

#endif
