#include <stdlib.h>

#include "base/error.h"
#include "core/binding/binding.h"
#include "core/configuration/snapshot_parts.h"
#include "core/placement/choice.h"
#include "core/requests/request.h"

#define PING_INTERVAL_MS_DEFAULT 1000
#define PING_MISSES_DEFAULT 3
#define SLOW_START_MS_DEFAULT 10000
#define OPEN_RATE_DEFAULT 200
#define DEADLINE_MS_DEFAULT 5000
#define QUEUE_LIMIT_DEFAULT 64

static void
drop_service (struct am_board *b, struct am_service *s)
{
  am_requests_service_removed (b, s);
  am_list_each_safe (u, next, &s->upstreams, struct am_upstream, node)
  {
    am_snapshot_drop_upstream (b, s, u);
  }
  s->binding->finish (b, s);
  am_board_decision (b, 0, "event=service_dropped service=%s revision=%llu",
                     s->name, (unsigned long long)s->revision);
  HASH_DELETE (by_id, b->services_by_id, s);
  HASH_DELETE (by_address, b->services_by_address, s);
  am_list_remove (&s->node);
  free (s);
}

static struct am_service *
add_service (struct am_board *b, const Amaranth__Service *in)
{
  struct am_service *s = calloc (1, sizeof *s);

  if (!s)
    return NULL;
  s->id = in->id;
  s->address.ip = in->ip;
  s->address.port = (uint16_t)in->port;
  s->address_key = am_address_key (s->address);
  am_snapshot_name (s->name, in->name);
  am_list_init (&s->upstreams);
  s->binding = am_binding_strategy (in->binding);
  if (s->binding->init (b, s))
    {
      free (s);
      return NULL;
    }
  am_list_push_back (&b->services, &s->node);
  HASH_ADD (by_id, b->services_by_id, id, sizeof s->id, s);
  HASH_ADD (by_address, b->services_by_address, address_key,
            sizeof s->address_key, s);
  return s;
}

static void
apply_classes (struct am_service *s, const Amaranth__Service *in)
{
  s->class_count = in->n_classes;
  for (size_t i = 0; i < in->n_classes; i++)
    {
      const Amaranth__RequestClass *from = in->classes[i];
      struct am_class *c = &s->classes[i];

      c->id = from->id;
      am_snapshot_name (c->name, from->name);
      c->one_time = from->kind == AMARANTH__REQUEST_KIND__ONE_TIME;
      c->weight = am_snapshot_default (from->weight, 1);
      c->priority = from->priority;
      c->deadline_ms
          = am_snapshot_default (from->deadline_ms, DEADLINE_MS_DEFAULT);
      c->queue_limit
          = am_snapshot_default (from->queue_limit, QUEUE_LIMIT_DEFAULT);
    }
}

static void
apply_address (struct am_board *b, struct am_service *s,
               const Amaranth__Service *in)
{
  struct am_address a = { in->ip, (uint16_t)in->port };

  if (am_address_equal (a, s->address))
    return;
  HASH_DELETE (by_address, b->services_by_address, s);
  s->address = a;
  s->address_key = am_address_key (a);
  HASH_ADD (by_address, b->services_by_address, address_key,
            sizeof s->address_key, s);
}

static int
apply_binding (struct am_board *b, struct am_service *s,
               const Amaranth__Service *in)
{
  const struct am_binding_ops *ops = am_binding_strategy (in->binding);

  if (ops == s->binding)
    return AM_OK;
  s->binding->finish (b, s);
  s->binding = ops;
  return ops->init (b, s);
}

static int
apply_service (struct am_board *b, const Amaranth__Service *in, bool ramp)
{
  struct am_service *s = am_board_service (b, in->id);
  int err;

  if (s && in->revision < s->revision)
    {
      am_board_decision (
          b, 0, "event=service_kept service=%s revision=%llu offered=%llu",
          s->name, (unsigned long long)s->revision,
          (unsigned long long)in->revision);
      s->offered = false;
      return AM_OK;
    }
  if (!s)
    s = add_service (b, in);
  if (!s)
    return AM_E_MEMORY;
  apply_address (b, s, in);
  s->offered = true;
  s->revision = in->revision;
  am_snapshot_name (s->name, in->name);
  am_snapshot_name (s->region, in->region);
  s->objective = in->objective;
  s->retired = in->retired;
  s->ping_interval_ms
      = am_snapshot_default (in->ping_interval_ms, PING_INTERVAL_MS_DEFAULT);
  s->ping_misses = am_snapshot_default (in->ping_misses, PING_MISSES_DEFAULT);
  s->slow_start_ms
      = am_snapshot_default (in->slow_start_ms, SLOW_START_MS_DEFAULT);
  s->open_rate = am_snapshot_default (in->open_rate, OPEN_RATE_DEFAULT);
  s->retry_budget = in->retry_budget;
  s->lending = in->lending;
  s->choice = am_choice_policy (in->policy);
  apply_classes (s, in);
  err = apply_binding (b, s, in);
  if (err)
    return err;
  return am_snapshot_upstreams (b, s, in, ramp);
}

const Amaranth__Service *
am_snapshot_find_service (const Amaranth__Snapshot *snap, uint32_t id)
{
  for (size_t i = 0; i < snap->n_services; i++)
    if (snap->services[i]->id == id)
      return snap->services[i];
  return NULL;
}

static const Amaranth__Service *
find_service_at (const Amaranth__Snapshot *snap, struct am_address a)
{
  for (size_t i = 0; i < snap->n_services; i++)
    if (snap->services[i]->ip == a.ip && snap->services[i]->port == a.port)
      return snap->services[i];
  return NULL;
}

/* Returns true if IN is not older than what is in force.  */
static bool
is_applicable (struct am_board *b, const Amaranth__Service *in)
{
  const struct am_service *s = am_board_service (b, in->id);

  return !s || in->revision >= s->revision;
}

/* Drops services whose address now belongs to another, so that a packet for
   the other can never follow the old one's state, and retired services that
   are no longer mentioned.  */
static void
drop_old_services (struct am_board *b, const Amaranth__Snapshot *snap)
{
  am_list_each_safe (s, next, &b->services, struct am_service, node)
  {
    const Amaranth__Service *by_id = am_snapshot_find_service (snap, s->id);
    const Amaranth__Service *at = find_service_at (snap, s->address);

    if (by_id)
      continue;
    if (s->retired || (at && is_applicable (b, at)))
      drop_service (b, s);
  }
}

/* Returns true if IN's address is in force for another service of which the
   snapshot offers only an older revision: then the snapshot is out of date
   about the address and IN waits for a newer one.  */
static bool
is_address_kept (struct am_board *b, const Amaranth__Snapshot *snap,
                 const Amaranth__Service *in)
{
  struct am_address a = { in->ip, (uint16_t)in->port };
  const struct am_service *holder = am_board_service_at (b, a);
  const Amaranth__Service *offered;

  if (!holder || holder->id == in->id)
    return false;
  offered = am_snapshot_find_service (snap, holder->id);
  return !offered || offered->revision < holder->revision;
}

static int
apply_services (struct am_board *b, const Amaranth__Snapshot *snap, bool ramp)
{
  for (size_t i = 0; i < snap->n_services; i++)
    {
      int err = AM_OK;

      if (!is_address_kept (b, snap, snap->services[i]))
        err = apply_service (b, snap->services[i], ramp);
      if (err)
        return err;
    }
  return AM_OK;
}

int
am_snapshot_services (struct am_board *b, const Amaranth__Snapshot *snap)
{
  bool ramp = !am_list_empty (&b->services);

  drop_old_services (b, snap);
  am_list_each (s, &b->services, struct am_service, node)
  {
    s->offered = false;
  }
  return apply_services (b, snap, ramp);
}

static void
drop_gone (struct am_board *b, const uint32_t *gone, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      struct am_service *s = am_board_service (b, gone[i]);

      if (!s)
        continue;
      s->offered = false;
      if (s->retired)
        drop_service (b, s);
    }
}

/* Drops the service at IN's address if the agent no longer mentions it.  */
static void
drop_former_holder (struct am_board *b, const Amaranth__Snapshot *changed,
                    const Amaranth__Service *in)
{
  struct am_address a = { in->ip, (uint16_t)in->port };
  struct am_service *holder = am_board_service_at (b, a);

  if (!holder || holder->offered || holder->id == in->id
      || am_snapshot_find_service (changed, holder->id))
    return;
  if (is_applicable (b, in))
    drop_service (b, holder);
}

int
am_snapshot_services_delta (struct am_board *b,
                            const Amaranth__Snapshot *changed,
                            const uint32_t *gone, size_t n)
{
  bool ramp = !am_list_empty (&b->services);

  drop_gone (b, gone, n);
  for (size_t i = 0; i < changed->n_services; i++)
    drop_former_holder (b, changed, changed->services[i]);
  return apply_services (b, changed, ramp);
}

bool
am_snapshot_services_taken (struct am_board *b, const Amaranth__Snapshot *snap)
{
  for (size_t i = 0; i < snap->n_services; i++)
    {
      const struct am_service *s = am_board_service (b, snap->services[i]->id);

      if (!s || !s->offered)
        return false;
    }
  return true;
}
