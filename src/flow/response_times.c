#include "flow/response_times.h"

void
am_response_times_init (struct am_response_times *t)
{
  t->count = 0;
}

static struct am_response_time *
find (const struct am_response_times *t, uint32_t service)
{
  for (size_t i = 0; i < t->count; i++)
    if (t->services[i].service == service)
      return (struct am_response_time *)&t->services[i];
  return NULL;
}

void
am_response_times_add (struct am_response_times *t, uint32_t service,
                       uint64_t response_us)
{
  struct am_response_time *s = find (t, service);

  if (s)
    {
      s->mean_us
          += AM_RESPONSE_TIMES_WEIGHT * ((double)response_us - s->mean_us);
      return;
    }
  if (t->count == AM_RESPONSE_TIMES_MAX)
    return;
  t->services[t->count++]
      = (struct am_response_time){ service, (double)response_us };
}

double
am_response_times_mean (const struct am_response_times *t, uint32_t service)
{
  const struct am_response_time *s = find (t, service);

  return s ? s->mean_us : 0;
}

uint64_t
am_response_times_recent_us (const struct am_response_times *t,
                             uint32_t service)
{
  uint64_t recent_us = (uint64_t)(AM_RESPONSE_TIMES_RECENT_FACTOR
                                  * am_response_times_mean (t, service));

  return recent_us > AM_RESPONSE_TIMES_RECENT_MIN_US
             ? recent_us
             : AM_RESPONSE_TIMES_RECENT_MIN_US;
}
