/* What this VM observes of each service: how long responses take, and how its
   new flows divide among the priorities of its routes.

   A response time is from a request to the caller's first packet that
   acknowledges some of the response.  It includes the wait in the target's
   queue and the path between caller and target.

   Times are microseconds of the monotonic clock, or durations in
   microseconds.  */

#ifndef AM_FLOW_SERVICE_STATS_H
#define AM_FLOW_SERVICE_STATS_H

#include <stddef.h>
#include <stdint.h>

#include "flow/flow_rate.h"
#include "flow/route_table.h"

/* Services that are told apart: those that were observed last.  */
#define AM_SERVICE_STATS_MAX 64

/* A request is recent for this factor of the mean response time, and at least
   for AM_SERVICE_STATS_RECENT_MIN_US: in an overload that begins, responses
   take far longer than the mean so far.  */
#define AM_SERVICE_STATS_RECENT_FACTOR 3
#define AM_SERVICE_STATS_RECENT_MIN_US 100000u

/* Weight of the latest response in the mean.  */
#define AM_SERVICE_STATS_WEIGHT 0.05

struct am_service_stat
{
  uint32_t service;     /* hash of its name by am_hash_name */
  uint64_t observed_us; /* last response or new flow */
  double response_us;   /* mean; 0: none yet */
  struct am_flow_rate flows[AM_ROUTE_PRIORITY_COUNT]; /* new ones */
};

struct am_service_stats
{
  size_t count;
  struct am_service_stat services[AM_SERVICE_STATS_MAX];
};

void am_service_stats_init (struct am_service_stats *s);

/* Record a response of SERVICE that took RESPONSE_US, and a new flow of
   PRIORITY.  If there is no room for a service that is new, the one that was
   observed least recently is dropped.  */
void am_service_stats_add_response (struct am_service_stats *s,
                                    uint32_t service, uint64_t response_us,
                                    uint64_t now_us);
void am_service_stats_add_flow (struct am_service_stats *s, uint32_t service,
                                uint32_t priority, uint64_t now_us);

/* Returns the mean response time of SERVICE, 0 if it is not known.  */
double am_service_stats_response_us (const struct am_service_stats *s,
                                     uint32_t service);

/* Returns the time for which a request of SERVICE counts as recent: most are
   answered in it.  */
uint64_t am_service_stats_recent_us (const struct am_service_stats *s,
                                     uint32_t service);

/* Returns the part of the new flows of SERVICE, from 0 to 1, whose priority is
   better than PRIORITY.  */
double am_service_stats_better_share (const struct am_service_stats *s,
                                      uint32_t service, uint32_t priority,
                                      uint64_t now_us);

#endif
