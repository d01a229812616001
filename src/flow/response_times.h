/* Mean response time of each service, as this VM sees it: from a request to
   the caller's first packet that acknowledges some of the response.  It
   includes the wait in the target's queue and the path between caller and
   target.

   Times are microseconds.  */

#ifndef AM_FLOW_RESPONSE_TIMES_H
#define AM_FLOW_RESPONSE_TIMES_H

#include <stddef.h>
#include <stdint.h>

/* Services that are told apart; the others have no mean.  */
#define AM_RESPONSE_TIMES_MAX 16

/* A request is recent for this factor of the mean response time, and at least
   for AM_RESPONSE_TIMES_RECENT_MIN_US: in an overload that begins, responses
   take far longer than the mean so far.  */
#define AM_RESPONSE_TIMES_RECENT_FACTOR 3
#define AM_RESPONSE_TIMES_RECENT_MIN_US 100000u

/* Weight of the latest response in the mean.  */
#define AM_RESPONSE_TIMES_WEIGHT 0.05

struct am_response_time
{
  uint32_t service; /* hash by am_hash_name */
  double mean_us;
};

struct am_response_times
{
  size_t count;
  struct am_response_time services[AM_RESPONSE_TIMES_MAX];
};

void am_response_times_init (struct am_response_times *t);

/* Records a response of SERVICE that took RESPONSE_US.  */
void am_response_times_add (struct am_response_times *t, uint32_t service,
                            uint64_t response_us);

/* Returns the mean of SERVICE, 0 if it has none.  */
double am_response_times_mean (const struct am_response_times *t,
                               uint32_t service);

/* Returns the time for which a request of SERVICE counts as recent: most are
   answered in it.  */
uint64_t am_response_times_recent_us (const struct am_response_times *t,
                                      uint32_t service);

#endif
