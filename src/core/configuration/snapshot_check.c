#include "core/configuration/snapshot_check.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "core/configuration/snapshot_parts.h"

#define PORT_MAX 65535u
#define CLASS_ID_MAX 255u
#define WEIGHT_MAX 10000u

static int
compare_keys (const void *a, const void *b)
{
  const uint64_t *x = a;
  const uint64_t *y = b;

  return (*x > *y) - (*x < *y);
}

/* Sorts the N keys and returns AM_E_EXISTS if one is there twice.  */
static int
check_unique (uint64_t *keys, size_t n)
{
  if (n > 1)
    qsort (keys, n, sizeof *keys, compare_keys);
  for (size_t i = 1; i < n; i++)
    if (keys[i] == keys[i - 1])
      return AM_E_EXISTS;
  return AM_OK;
}

static bool
name_fits (const char *name)
{
  return name[0] != '\0' && strlen (name) < AM_NAME_SIZE;
}

static int
check_upstream (const Amaranth__Upstream *u)
{
  if (u->id == 0 || u->port == 0 || u->port > PORT_MAX)
    return AM_E_FIELD_RANGE;
  if (!name_fits (u->name) || strlen (u->data_centre) >= AM_NAME_SIZE)
    return AM_E_FIELD_VALUE;
  if (u->state > AMARANTH__UPSTREAM_STATE__UPSTREAM_RETIRED)
    return AM_E_FIELD_VALUE;
  if (u->weight > WEIGHT_MAX)
    return AM_E_FIELD_RANGE;
  return AM_OK;
}

static int
check_upstreams (const Amaranth__Service *s)
{
  uint64_t *keys = calloc (s->n_upstreams + 1, sizeof *keys);
  int err = AM_OK;

  if (!keys)
    return AM_E_MEMORY;
  for (size_t i = 0; !err && i < s->n_upstreams; i++)
    {
      err = check_upstream (s->upstreams[i]);
      keys[i] = s->upstreams[i]->id;
    }
  if (!err)
    err = check_unique (keys, s->n_upstreams);
  for (size_t i = 0; !err && i < s->n_upstreams; i++)
    keys[i] = (uint64_t)s->upstreams[i]->ip << 16 | s->upstreams[i]->port;
  if (!err)
    err = check_unique (keys, s->n_upstreams);
  free (keys);
  return err;
}

static int
check_classes (const Amaranth__Service *s)
{
  uint64_t keys[AM_CLASSES_MAX];

  if (s->n_classes > AM_CLASSES_MAX)
    return AM_E_FIELD_RANGE;
  for (size_t i = 0; i < s->n_classes; i++)
    {
      const Amaranth__RequestClass *c = s->classes[i];

      if (c->id > CLASS_ID_MAX)
        return AM_E_FIELD_RANGE;
      if (!name_fits (c->name) || c->kind > AMARANTH__REQUEST_KIND__ONE_TIME)
        return AM_E_FIELD_VALUE;
      if (c->kind == AMARANTH__REQUEST_KIND__ONE_TIME
          && s->binding == AMARANTH__BINDING__BINDING_HASH)
        return AM_E_FIELD_VALUE;
      keys[i] = c->id;
    }
  return check_unique (keys, s->n_classes);
}

static int
check_service (const Amaranth__Service *s)
{
  int err;

  if (s->id == 0 || s->port == 0 || s->port > PORT_MAX)
    return AM_E_FIELD_RANGE;
  if (!name_fits (s->name) || strlen (s->region) >= AM_NAME_SIZE)
    return AM_E_FIELD_VALUE;
  if (s->binding > AMARANTH__BINDING__BINDING_HASH
      || s->objective > AMARANTH__OBJECTIVE__OBJECTIVE_IMBALANCE
      || s->policy > AMARANTH__POLICY__POLICY_HASH
      || s->lending > AMARANTH__LENDING__LENDING_OFF)
    return AM_E_FIELD_VALUE;
  if (s->n_upstreams > AM_SNAPSHOT_UPSTREAMS_MAX)
    return AM_E_FIELD_RANGE;
  err = check_classes (s);
  if (err)
    return err;
  return check_upstreams (s);
}

static int
check_services (const Amaranth__Snapshot *snap)
{
  uint64_t *keys = calloc (snap->n_services + 1, sizeof *keys);
  size_t live = 0;
  int err = AM_OK;

  if (!keys)
    return AM_E_MEMORY;
  for (size_t i = 0; !err && i < snap->n_services; i++)
    {
      err = check_service (snap->services[i]);
      keys[i] = snap->services[i]->id;
    }
  if (!err)
    err = check_unique (keys, snap->n_services);
  for (size_t i = 0; !err && i < snap->n_services; i++)
    keys[live++]
        = (uint64_t)snap->services[i]->ip << 16 | snap->services[i]->port;
  if (!err)
    err = check_unique (keys, live);
  free (keys);
  return err;
}

static int
check_members (const Amaranth__Snapshot *snap)
{
  uint64_t *keys = calloc (snap->n_members + 1, sizeof *keys);
  int err = AM_OK;

  if (!keys)
    return AM_E_MEMORY;
  for (size_t i = 0; !err && i < snap->n_members; i++)
    {
      const Amaranth__Member *m = snap->members[i];

      if (m->id == 0 || m->peer_port > PORT_MAX)
        err = AM_E_FIELD_RANGE;
      else if (strlen (m->name) >= AM_NAME_SIZE
               || strlen (m->data_centre) >= AM_NAME_SIZE
               || strlen (m->region) >= AM_NAME_SIZE
               || m->state > AMARANTH__MEMBER_STATE__MEMBER_LEFT)
        err = AM_E_FIELD_VALUE;
      keys[i] = m->id;
    }
  if (!err)
    err = check_unique (keys, snap->n_members);
  free (keys);
  return err;
}

static int
check_keys (const Amaranth__Snapshot *snap)
{
  uint64_t keys[AM_KEYS_MAX];

  if (snap->n_keys > AM_KEYS_MAX)
    return AM_E_FIELD_RANGE;
  for (size_t i = 0; i < snap->n_keys; i++)
    {
      if (snap->keys[i]->secret.len != AM_TICKET_KEY_SIZE)
        return AM_E_FIELD_RANGE;
      if (snap->keys[i]->state > AMARANTH__KEY_STATE__KEY_VERIFY)
        return AM_E_FIELD_VALUE;
      keys[i] = snap->keys[i]->id;
    }
  return check_unique (keys, snap->n_keys);
}

int
am_snapshot_check (const Amaranth__Snapshot *snap)
{
  int err = check_services (snap);

  if (!err)
    err = check_members (snap);
  if (!err)
    err = check_keys (snap);
  return err;
}

/* ---- delta -------------------------------------------------------- */

void
am_snapshot_of_delta (Amaranth__Snapshot *s, const Amaranth__SnapshotDelta *d)
{
  amaranth__snapshot__init (s);
  s->digest = d->digest;
  s->services = d->services;
  s->n_services = d->n_services;
  s->members = d->members;
  s->n_members = d->n_members;
  s->keys = d->keys;
  s->n_keys = d->n_keys;
  s->verdicts = d->verdicts;
  s->n_verdicts = d->n_verdicts;
}

static bool
is_gone (const Amaranth__SnapshotDelta *d, uint32_t service_id)
{
  for (size_t i = 0; i < d->n_services_gone; i++)
    if (d->services_gone[i] == service_id)
      return true;
  return false;
}

/* Only what the base has can be gone, and not together with a change.  */
static int
check_gone (struct am_board *b, const Amaranth__SnapshotDelta *d,
            const Amaranth__Snapshot *changed)
{
  for (size_t i = 0; i < d->n_services_gone; i++)
    {
      uint32_t id = d->services_gone[i];
      const struct am_service *s = am_board_service (b, id);

      if (!s || !s->offered || am_snapshot_find_service (changed, id))
        return AM_E_FIELD_VALUE;
    }
  for (size_t i = 0; i < d->n_members_gone; i++)
    {
      uint32_t id = d->members_gone[i];
      const struct am_member *m = am_board_member (b, id);

      if (!m || !m->present)
        return AM_E_FIELD_VALUE;
      for (size_t k = 0; k < changed->n_members; k++)
        if (changed->members[k]->id == id)
          return AM_E_FIELD_VALUE;
    }
  return AM_OK;
}

/* A whole snapshot with two services at one address is refused.  */
static int
check_addresses (struct am_board *b, const Amaranth__SnapshotDelta *d,
                 const Amaranth__Snapshot *changed)
{
  for (size_t i = 0; i < changed->n_services; i++)
    {
      const Amaranth__Service *in = changed->services[i];
      struct am_address a = { in->ip, (uint16_t)in->port };
      const struct am_service *holder = am_board_service_at (b, a);

      if (holder && holder->offered && holder->id != in->id
          && !am_snapshot_find_service (changed, holder->id)
          && !is_gone (d, holder->id))
        return AM_E_EXISTS;
    }
  return AM_OK;
}

int
am_snapshot_check_delta (struct am_board *b, const Amaranth__SnapshotDelta *d,
                         const Amaranth__Snapshot *changed)
{
  int err = am_snapshot_check (changed);

  if (!err && d->digest == 0)
    err = AM_E_FIELD_VALUE;
  if (!err)
    err = check_gone (b, d, changed);
  if (!err)
    err = check_addresses (b, d, changed);
  return err;
}
