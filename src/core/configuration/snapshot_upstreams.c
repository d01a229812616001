#include <stdlib.h>

#include "base/error.h"
#include "core/binding/binding.h"
#include "core/configuration/snapshot_parts.h"
#include "core/requests/request.h"
#include "core/targets/address_validation.h"

#define WEIGHT_DEFAULT 100

void
am_snapshot_drop_upstream (struct am_board *b, struct am_service *s,
                           struct am_upstream *u)
{
  am_requests_upstream_removed (b, u);
  s->binding->upstream_removed (b, s, u);
  am_board_decision (b, 0, "event=upstream_dropped service=%s upstream=%s",
                     s->name, u->name);
  HASH_DELETE (by_id, s->upstreams_by_id, u);
  HASH_DELETE (by_address, s->upstreams_by_address, u);
  am_list_remove (&u->node);
  free (u);
}

static void
link_by_id (struct am_service *s, struct am_upstream *u)
{
  struct am_list *at = &s->upstreams;

  am_list_each (other, &s->upstreams, struct am_upstream, node)
  {
    if (other->id > u->id)
      {
        at = &other->node;
        break;
      }
  }
  am_list_insert_between (&u->node, at->prev, at);
}

static struct am_upstream *
add_upstream (const struct am_board *b, struct am_service *s,
              const Amaranth__Upstream *in)
{
  struct am_upstream *u = calloc (1, sizeof *u);

  if (!u)
    return NULL;
  u->id = in->id;
  u->service = s;
  u->address.ip = in->ip;
  u->address.port = (uint16_t)in->port;
  u->address_key = am_address_key (u->address);
  u->incarnation = in->incarnation;
  u->state = AMARANTH__UPSTREAM_STATE__UPSTREAM_RETIRED;
  am_validation_renew (b, u);
  link_by_id (s, u);
  HASH_ADD (by_id, s->upstreams_by_id, id, sizeof u->id, u);
  HASH_ADD (by_address, s->upstreams_by_address, address_key,
            sizeof u->address_key, u);
  return u;
}

/* Drops upstreams that the record no longer has, and those behind whose
   address or name is another VM now: their state says nothing about it.  */
static void
drop_changed_upstreams (struct am_board *b, struct am_service *s,
                        const Amaranth__Service *in)
{
  am_list_each (u, &s->upstreams, struct am_upstream, node)
  {
    u->present = false;
  }
  for (size_t i = 0; i < in->n_upstreams; i++)
    {
      const Amaranth__Upstream *n = in->upstreams[i];
      struct am_upstream *u = am_service_upstream (s, n->id);

      if (u)
        u->present = u->incarnation == n->incarnation && u->address.ip == n->ip
                     && u->address.port == n->port;
    }
  am_list_each_safe (u, next, &s->upstreams, struct am_upstream, node)
  {
    if (!u->present)
      am_snapshot_drop_upstream (b, s, u);
  }
}

static void
log_state (struct am_board *b, const struct am_upstream *u)
{
  const char *state = "unknown";

  if (u->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE)
    state = "active";
  else if (u->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_LEAVING)
    state = "leaving";
  else if (u->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_RETIRED)
    state = "retired";
  am_board_decision (
      b, 0,
      "event=upstream_state service=%s upstream=%s state=%s revision=%llu",
      u->service->name, u->name, state,
      (unsigned long long)u->service->revision);
}

static void
update_upstream (struct am_board *b, struct am_upstream *u,
                 const Amaranth__Upstream *in, bool ramp)
{
  bool was_active = u->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE;
  bool changed = u->state != in->state;

  am_snapshot_name (u->name, in->name);
  am_snapshot_name (u->data_centre, in->data_centre);
  u->state = in->state;
  u->slots = in->slots;
  u->connections = in->connections;
  u->weight = am_snapshot_default (in->weight, WEIGHT_DEFAULT);
  if (changed)
    log_state (b, u);
  if (!was_active && ramp
      && in->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE)
    u->joined_us = b->now_us;
}

int
am_snapshot_upstreams (struct am_board *b, struct am_service *s,
                       const Amaranth__Service *in, bool ramp)
{
  drop_changed_upstreams (b, s, in);
  for (size_t i = 0; i < in->n_upstreams; i++)
    {
      struct am_upstream *u = am_service_upstream (s, in->upstreams[i]->id);

      if (!u)
        u = add_upstream (b, s, in->upstreams[i]);
      if (!u)
        return AM_E_MEMORY;
      update_upstream (b, u, in->upstreams[i], ramp);
    }
  return AM_OK;
}
