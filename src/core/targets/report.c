#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "core/dispatch.h"
#include "core/requests/request.h"

struct counter
{
  const char *name;
  uint64_t value;
};

#define COUNTER_ONE(name, help) +1
enum
{
  COUNTERS = 0 AM_COUNTER_LIST (COUNTER_ONE)
};

static size_t
count_upstreams (const struct am_board *b)
{
  size_t n = 0;

  am_list_each (s, &b->services, struct am_service, node)
  {
    am_list_each (u, &s->upstreams, struct am_upstream, node) { n++; }
  }
  return n;
}

static Amaranth__UpstreamLoad *
upstream_load (const struct am_board *b, const struct am_upstream *u)
{
  Amaranth__UpstreamLoad *l = malloc (sizeof *l);

  if (!l)
    return NULL;
  amaranth__upstream_load__init (l);
  l->service_id = u->service->id;
  l->upstream_id = u->id;
  l->own_busy = u->use.busy;
  l->own_flows = u->use.flows;
  l->reported_busy = u->report.load.busy;
  l->reported_connections = u->report.load.connections;
  l->reported_flags = u->report.load.flags;
  l->failures = u->health.failures;
  l->avoided = u->health.avoid_until_us > b->now_us;
  return l;
}

/* Returns true if U is to be reported.  Outside the home set an upstream
   without own work has neither load reports nor evidence.  */
static bool
has_load (const struct am_upstream *u)
{
  return u->service->home || u->use.busy || u->use.flows;
}

static int
fill_upstreams (const struct am_board *b, Amaranth__Report *r)
{
  r->upstreams = calloc (count_upstreams (b) + 1, sizeof (void *));
  if (!r->upstreams)
    return AM_E_MEMORY;
  am_list_each (s, &b->services, struct am_service, node)
  {
    am_list_each (u, &s->upstreams, struct am_upstream, node)
    {
      Amaranth__UpstreamLoad *l = NULL;

      if (!has_load (u))
        continue;
      l = upstream_load (b, u);
      if (!l)
        return AM_E_MEMORY;
      r->upstreams[r->n_upstreams++] = l;
    }
  }
  return AM_OK;
}

static Amaranth__Metric *
metric (const struct counter *c)
{
  Amaranth__Metric *m = malloc (sizeof *m);

  if (!m)
    return NULL;
  amaranth__metric__init (m);
  m->name = strdup (c->name);
  m->value = (double)c->value;
  if (m->name)
    return m;
  free (m);
  return NULL;
}

static int
fill_metrics (const struct am_board *b, Amaranth__Report *r)
{
  const struct counter all[] = {
#define COUNTER_ENTRY(name, help) { #name, b->counters.name },
    AM_COUNTER_LIST (COUNTER_ENTRY)
#undef COUNTER_ENTRY
  };

  r->metrics = calloc (COUNTERS, sizeof (void *));
  if (!r->metrics)
    return AM_E_MEMORY;
  for (size_t i = 0; i < COUNTERS; i++)
    {
      Amaranth__Metric *m = metric (&all[i]);

      if (!m)
        return AM_E_MEMORY;
      r->metrics[r->n_metrics++] = m;
    }
  return AM_OK;
}

int
am_dispatch_report (struct am_dispatch *d, Amaranth__Report *r)
{
  const struct am_board *b = &d->board;
  int err;

  r->boot_id = b->self.boot_id;
  r->life = b->stopping ? AMARANTH__LIFE_STATE__LIFE_STOPPING
                        : AMARANTH__LIFE_STATE__LIFE_SERVING;
  r->digest = b->snapshot_digest;
  r->requests_in_progress = (uint32_t)am_requests_in_progress (b);
  err = fill_upstreams (b, r);
  if (!err)
    err = fill_metrics (b, r);
  if (err)
    am_dispatch_report_free (r);
  return err;
}

void
am_dispatch_report_free (Amaranth__Report *r)
{
  for (size_t i = 0; i < r->n_upstreams; i++)
    free (r->upstreams[i]);
  for (size_t i = 0; i < r->n_metrics; i++)
    {
      free (r->metrics[i]->name);
      free (r->metrics[i]);
    }
  free (r->upstreams);
  free (r->metrics);
  r->upstreams = NULL;
  r->metrics = NULL;
  r->n_upstreams = 0;
  r->n_metrics = 0;
}
