#include "flow/remote_load.h"

#include <stdlib.h>

#include "flow/liveness.h"

void
am_remote_loads_init (struct am_remote_loads *r)
{
  am_list_init (&r->reports);
  r->count = 0;
}

static void
remove_report (struct am_remote_loads *r, struct am_remote_load *report)
{
  am_list_remove (&report->node);
  r->count--;
  free (report);
}

void
am_remote_loads_finish (struct am_remote_loads *r)
{
  am_list_each_safe (report, next, &r->reports, struct am_remote_load, node)
      remove_report (r, report);
}

static struct am_remote_load *
find (const struct am_remote_loads *r, uint32_t data_centre, uint32_t service)
{
  am_list_each (report, &r->reports, struct am_remote_load, node)
  {
    if (report->data_centre == data_centre && report->load.service == service)
      return report;
  }
  return NULL;
}

void
am_remote_loads_set (struct am_remote_loads *r, uint32_t data_centre,
                     const struct am_service_load *load, uint64_t now_us)
{
  struct am_remote_load *report = find (r, data_centre, load->service);

  if (!report)
    {
      if (r->count == AM_REMOTE_LOADS_MAX)
        return;
      report = malloc (sizeof *report);
      if (!report)
        return;
      report->data_centre = data_centre;
      am_list_push_back (&r->reports, &report->node);
      r->count++;
    }
  report->load = *load;
  report->reported_us = now_us;
}

const struct am_service_load *
am_remote_loads_find (const struct am_remote_loads *r, uint32_t data_centre,
                      uint32_t service, uint64_t now_us)
{
  const struct am_remote_load *report = find (r, data_centre, service);

  if (!report || now_us - report->reported_us > AM_REMOTE_LOAD_MAX_AGE_US)
    return NULL;
  return &report->load;
}

void
am_remote_loads_expire (struct am_remote_loads *r, uint64_t now_us)
{
  am_list_each_safe (report, next, &r->reports, struct am_remote_load, node)
  {
    if (now_us - report->reported_us > AM_REMOTE_LOAD_MAX_AGE_US)
      remove_report (r, report);
  }
}

/* Returns the entry for SERVICE among the N LOADS, which is added if it is
   new; NULL if there is no room.  */
static struct am_service_load *
get_or_add (struct am_service_load *loads, size_t *n, uint32_t service)
{
  for (size_t i = 0; i < *n; i++)
    if (loads[i].service == service)
      return &loads[i];
  if (*n == AM_SERVICE_LOADS_MAX)
    return NULL;
  loads[*n] = (struct am_service_load){ .service = service };
  return &loads[(*n)++];
}

size_t
am_service_loads_collect (const struct am_target_table *t,
                          struct am_service_load *loads, uint64_t now_us)
{
  size_t n = 0;

  am_list_each (g, &t->targets, struct am_target, node)
  {
    struct am_service_load *l;

    if (g->spec.data_centre != t->data_centre || g->state != AM_TARGET_READY
        || !am_liveness_usable (g, now_us))
      continue;
    l = get_or_add (loads, &n, g->spec.service);
    if (!l)
      continue;
    l->slots += g->spec.slots;
    l->requests += g->load.recent + g->peers_load.recent;
  }
  return n;
}
