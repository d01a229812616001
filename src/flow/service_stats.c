#include "flow/service_stats.h"

#include <string.h>

void
am_service_stats_init (struct am_service_stats *s)
{
  s->count = 0;
}

/* Returns the index of SERVICE, or count if it is not there.  */
static size_t
find (const struct am_service_stats *s, uint32_t service)
{
  size_t i = 0;

  while (i < s->count && s->services[i].service != service)
    i++;
  return i;
}

/* Returns an entry for a service that is new.  */
static struct am_service_stat *
make_room (struct am_service_stats *s)
{
  struct am_service_stat *oldest = &s->services[0];

  if (s->count < AM_SERVICE_STATS_MAX)
    return &s->services[s->count++];
  for (size_t i = 1; i < s->count; i++)
    if (s->services[i].observed_us < oldest->observed_us)
      oldest = &s->services[i];
  return oldest;
}

static struct am_service_stat *
get_or_add (struct am_service_stats *s, uint32_t service, uint64_t now_us)
{
  size_t i = find (s, service);
  struct am_service_stat *stat;

  if (i < s->count)
    stat = &s->services[i];
  else
    {
      stat = make_room (s);
      memset (stat, 0, sizeof *stat);
      stat->service = service;
    }
  stat->observed_us = now_us;
  return stat;
}

void
am_service_stats_add_response (struct am_service_stats *s, uint32_t service,
                               uint64_t response_us, uint64_t now_us)
{
  struct am_service_stat *stat = get_or_add (s, service, now_us);
  double latest = (double)response_us;

  if (stat->response_us > 0)
    stat->response_us
        += AM_SERVICE_STATS_WEIGHT * (latest - stat->response_us);
  else
    stat->response_us = latest;
}

void
am_service_stats_add_flow (struct am_service_stats *s, uint32_t service,
                           uint32_t priority, uint64_t now_us)
{
  struct am_service_stat *stat = get_or_add (s, service, now_us);

  if (priority < AM_ROUTE_PRIORITY_COUNT)
    am_flow_rate_add (&stat->flows[priority], now_us);
}

double
am_service_stats_response_us (const struct am_service_stats *s,
                              uint32_t service)
{
  size_t i = find (s, service);

  return i < s->count ? s->services[i].response_us : 0;
}

uint64_t
am_service_stats_recent_us (const struct am_service_stats *s, uint32_t service)
{
  uint64_t recent_us = (uint64_t)(AM_SERVICE_STATS_RECENT_FACTOR
                                  * am_service_stats_response_us (s, service));

  return recent_us > AM_SERVICE_STATS_RECENT_MIN_US
             ? recent_us
             : AM_SERVICE_STATS_RECENT_MIN_US;
}

double
am_service_stats_better_share (const struct am_service_stats *s,
                               uint32_t service, uint32_t priority,
                               uint64_t now_us)
{
  size_t at = find (s, service);
  double better = 0;
  double all = 0;

  if (at == s->count)
    return 0;
  for (size_t i = 0; i < AM_ROUTE_PRIORITY_COUNT; i++)
    {
      const struct am_flow_rate *flows = &s->services[at].flows[i];
      double rate
          = flows->recent > 0 ? am_flow_rate_per_us (flows, now_us) : 0;

      all += rate;
      if (i < priority)
        better += rate;
    }
  return all > 0 ? better / all : 0;
}
