#include "flow/demand.h"

void
am_demand_init (struct am_demand *d)
{
  d->count = 0;
}

static const struct am_service_demand *
find (const struct am_demand *d, uint32_t service)
{
  for (size_t i = 0; i < d->count; i++)
    if (d->services[i].service == service)
      return &d->services[i];
  return NULL;
}

static struct am_service_demand *
get_or_add (struct am_demand *d, uint32_t service)
{
  struct am_service_demand *s = (struct am_service_demand *)find (d, service);

  if (s || d->count == AM_DEMAND_SERVICES_MAX)
    return s;
  s = &d->services[d->count++];
  s->service = service;
  for (size_t i = 0; i < AM_ROUTE_PRIORITY_COUNT; i++)
    am_flow_rate_init (&s->flows[i]);
  return s;
}

void
am_demand_add (struct am_demand *d, uint32_t service, uint32_t priority,
               uint64_t now_us)
{
  struct am_service_demand *s = get_or_add (d, service);

  if (s && priority < AM_ROUTE_PRIORITY_COUNT)
    am_flow_rate_add (&s->flows[priority], now_us);
}

double
am_demand_better (const struct am_demand *d, uint32_t service,
                  uint32_t priority, uint64_t now_us)
{
  const struct am_service_demand *s = find (d, service);
  double better = 0;
  double all = 0;

  if (!s)
    return 0;
  for (size_t i = 0; i < AM_ROUTE_PRIORITY_COUNT; i++)
    {
      double rate;

      if (s->flows[i].recent <= 0)
        continue;
      rate = am_flow_rate_per_us (&s->flows[i], now_us);
      all += rate;
      if (i < priority)
        better += rate;
    }
  return all > 0 ? better / all : 0;
}
