/* Routes of the active configuration: which service receives the flows of an
   address, and on which terms.

   A configuration is replaced only by one of a higher version.  */

#ifndef AM_FLOW_ROUTE_TABLE_H
#define AM_FLOW_ROUTE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"

/* Priorities of routes: 0, the highest, to AM_ROUTE_PRIORITY_LOWEST.  */
#define AM_ROUTE_PRIORITY_LOWEST 7
#define AM_ROUTE_PRIORITY_COUNT (AM_ROUTE_PRIORITY_LOWEST + 1)

/* Terms of the requests on a route.  */
struct am_route_terms
{
  uint32_t priority;     /* AM_ROUTE_PRIORITY_LOWEST if none is stated */
  uint32_t limit_ms;     /* time limit of a request; 0: none stated */
  uint32_t objective_ms; /* latency objective; 0: none stated */
  bool repeatable;       /* a request may run more than once */
};

struct am_route_share
{
  uint32_t service; /* hash of its name by am_hash_name */
  uint32_t weight;  /* relative to am_route.total_weight */
};

struct am_route
{
  struct am_address address;     /* destination address of the flows */
  struct am_route_share *shares; /* owned by the configuration */
  size_t share_count;            /* at least 1 */
  uint64_t total_weight;         /* sum of the weights */
  struct am_route_terms terms;
};

/* What the configuration states of a service.  */
struct am_service
{
  uint32_t name;            /* hash by am_hash_name */
  uint32_t connections_max; /* open flows that a target holds; 0: not stated */
  double warm_up_per_s;     /* requests per second that a target bears while it
                               warms up; 0: not stated */
};

/* One version of the configuration; ROUTES, their shares and SERVICES are
   owned.  */
struct am_configuration
{
  uint64_t version;
  struct am_route *routes; /* sorted by address in the active one */
  size_t route_count;
  struct am_service *services; /* sorted by name in the active one */
  size_t service_count;
  size_t odd_values;     /* terms that could not be read and count as not
                            stated */
  const char *odd_field; /* one of their fields, a constant; NULL: none */
};

/* Frees the routes and services and zeroes C.  */
void am_configuration_finish (struct am_configuration *c);

/* Appends a share of WEIGHT for SERVICE, hash of its name, to R.  Returns
   AM_OK or AM_E_MEMORY.  */
int am_route_add_share (struct am_route *r, uint32_t service, uint32_t weight);

/* Appends S to the services of C.  Returns AM_OK or AM_E_MEMORY.  */
int am_configuration_add_service (struct am_configuration *c,
                                  const struct am_service *s);

struct am_route_table
{
  struct am_configuration active; /* version 0: none yet */
};

void am_route_table_init (struct am_route_table *t);
void am_route_table_finish (struct am_route_table *t);

/* Activates C: takes ownership of its routes, zeroes C and frees the previous
   configuration.  Returns AM_OK, or AM_E_REVISION, with C unchanged, if C is
   not newer than the active version.  */
int am_route_table_accept (struct am_route_table *t,
                           struct am_configuration *c);

/* Returns the route with exactly ADDRESS, owned by the table and valid until
   the next configuration is activated, or NULL.  */
const struct am_route *am_route_find (const struct am_route_table *t,
                                      struct am_address address);

/* Returns what the active configuration states of SERVICE, hash of its name;
   owned by the table and valid until the next configuration is activated.
   NULL if it states nothing.  */
const struct am_service *
am_route_table_service (const struct am_route_table *t, uint32_t service);

/* Returns the service for the flow with hash FLOW, see am_flow_hash, according
   to the weights.  Every entry VM returns the same service for the same flow
   and configuration version.  */
uint32_t am_route_service (const struct am_route *r, uint64_t flow);

#endif
