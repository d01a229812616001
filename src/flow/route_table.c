#include "flow/route_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"

void
am_configuration_finish (struct am_configuration *c)
{
  for (size_t i = 0; i < c->route_count; i++)
    free (c->routes[i].shares);
  free (c->routes);
  free (c->services);
  memset (c, 0, sizeof *c);
}

int
am_route_add_share (struct am_route *r, uint32_t service, uint32_t weight)
{
  struct am_route_share *grown
      = realloc (r->shares, (r->share_count + 1) * sizeof *grown);

  if (!grown)
    return AM_E_MEMORY;
  grown[r->share_count].service = service;
  grown[r->share_count].weight = weight;
  r->shares = grown;
  r->share_count++;
  r->total_weight += weight;
  return AM_OK;
}

int
am_configuration_add_service (struct am_configuration *c,
                              const struct am_service *s)
{
  struct am_service *grown
      = realloc (c->services, (c->service_count + 1) * sizeof *grown);

  if (!grown)
    return AM_E_MEMORY;
  c->services = grown;
  c->services[c->service_count++] = *s;
  return AM_OK;
}

void
am_route_table_init (struct am_route_table *t)
{
  memset (t, 0, sizeof *t);
}

void
am_route_table_finish (struct am_route_table *t)
{
  am_configuration_finish (&t->active);
}

static int
compare (const void *a, const void *b)
{
  const struct am_route *x = a;
  const struct am_route *y = b;
  uint64_t i = am_address_key (x->address);
  uint64_t j = am_address_key (y->address);

  return (i > j) - (i < j);
}

static int
compare_services (const void *a, const void *b)
{
  const struct am_service *x = a;
  const struct am_service *y = b;

  return (x->name > y->name) - (x->name < y->name);
}

static struct am_service *
find_service (const struct am_configuration *c, uint32_t name)
{
  struct am_service key = { .name = name };

  if (!c->service_count)
    return NULL;
  return bsearch (&key, c->services, c->service_count, sizeof key,
                  compare_services);
}

static void
sort_services (struct am_configuration *c)
{
  if (c->service_count)
    qsort (c->services, c->service_count, sizeof c->services[0],
           compare_services);
}

int
am_route_table_accept (struct am_route_table *t, struct am_configuration *c)
{
  if (c->version <= t->active.version)
    return AM_E_REVISION;
  sort_services (c);
  am_configuration_finish (&t->active);
  t->active = *c;
  memset (c, 0, sizeof *c);
  if (t->active.route_count)
    qsort (t->active.routes, t->active.route_count, sizeof t->active.routes[0],
           compare);
  return AM_OK;
}

const struct am_route *
am_route_find (const struct am_route_table *t, struct am_address address)
{
  struct am_route key = { .address = address };

  if (!t->active.route_count)
    return NULL;
  return bsearch (&key, t->active.routes, t->active.route_count, sizeof key,
                  compare);
}

const struct am_service *
am_route_table_service (const struct am_route_table *t, uint32_t service)
{
  return find_service (&t->active, service);
}

uint32_t
am_route_service (const struct am_route *r, uint64_t flow)
{
  uint64_t at;

  if (r->share_count == 1 || !r->total_weight)
    return r->shares[0].service;
  at = flow % r->total_weight;
  for (size_t i = 0; i < r->share_count; i++)
    {
      if (at < r->shares[i].weight)
        return r->shares[i].service;
      at -= r->shares[i].weight;
    }
  return r->shares[0].service;
}
