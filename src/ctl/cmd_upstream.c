#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "ctl/records.h"

#define SLOTS_DEFAULT 2
#define CONNECTIONS_DEFAULT 2000

static json_t *
find_upstream (json_t *root, const char *name)
{
  json_t *u;
  size_t i;

  json_array_foreach (json_object_get (root, "upstreams"), i, u)
  {
    const char *own = json_string_value (json_object_get (u, "name"));

    if (own && strcmp (own, name) == 0)
      return u;
  }
  return NULL;
}

static int
set_state (struct ctl *c, json_t *u, const char *state)
{
  if (json_object_set_new (u, "state", json_string (state)))
    return ctl_no_memory (c);
  return AM_OK;
}

static int
add_upstream (struct ctl *c, json_t *root, const char *name)
{
  json_t *list = json_object_get (root, "upstreams");
  json_t *u;

  if (!c->address || !c->data_centre)
    return ctl_fail (c, AM_E_ARGUMENT,
                     "upstream '%s' is new: --address and --data-centre are "
                     "needed",
                     name);
  if (!list && json_object_set_new (root, "upstreams", json_array ()) == 0)
    list = json_object_get (root, "upstreams");
  u = json_pack (
      "{s:s, s:s, s:s, s:i, s:s, s:I, s:I}", "name", name, "address",
      c->address, "data_centre", c->data_centre, "incarnation", 1, "state",
      "active", "slots", (json_int_t)(c->slots ? c->slots : SLOTS_DEFAULT),
      "connections",
      (json_int_t)(c->connections ? c->connections : CONNECTIONS_DEFAULT));
  if (!u || json_array_append_new (list, u))
    return ctl_fail (c, AM_E_ARGUMENT,
                     "--address and --data-centre must be UTF-8");
  return AM_OK;
}

/* A retired upstream comes back as another incarnation, so that tickets for
   the earlier one are not delivered to it.  */
static int
join (struct ctl *c, json_t *root, const char *name)
{
  json_t *u = find_upstream (root, name);
  const char *state = json_string_value (json_object_get (u, "state"));
  const json_t *incarnation;

  if (!u)
    return add_upstream (c, root, name);
  if (c->address || c->data_centre || c->slots || c->connections)
    return ctl_fail (c, AM_E_ARGUMENT,
                     "upstream '%s' exists: change its fields with apply",
                     name);
  if (state && strcmp (state, "retired") == 0)
    {
      incarnation = json_object_get (u, "incarnation");
      json_object_set_new (
          u, "incarnation",
          json_integer (incarnation ? json_integer_value (incarnation) + 1
                                    : 2));
      json_object_del (u, "retired_at");
    }
  return set_state (c, u, "active");
}

static int
leave (struct ctl *c, json_t *root, const char *name)
{
  json_t *u = find_upstream (root, name);
  const char *state = json_string_value (json_object_get (u, "state"));

  if (!u)
    return ctl_fail (c, AM_E_NOT_FOUND, "upstream '%s' does not exist", name);
  if (state && strcmp (state, "retired") == 0)
    return ctl_fail (c, AM_E_STATE, "upstream '%s' is retired", name);
  return set_state (c, u, "leaving");
}

/* Retiring resets the flows that are still open there, so leaving comes
   first.  */
static int
retire (struct ctl *c, json_t *root, const char *name)
{
  json_t *u = find_upstream (root, name);
  const char *state = json_string_value (json_object_get (u, "state"));

  if (!u)
    return ctl_fail (c, AM_E_NOT_FOUND, "upstream '%s' does not exist", name);
  if (!state || strcmp (state, "active") == 0)
    return ctl_fail (c, AM_E_STATE,
                     "upstream '%s' is active; let it leave first", name);
  return set_state (c, u, "retired");
}

static const struct
{
  const char *name;
  int (*change) (struct ctl *c, json_t *root, const char *upstream);
} actions[] = {
  { "join", join },
  { "leave", leave },
  { "retire", retire },
};

static int
change_upstream (struct ctl *c, struct ctl_change *change, size_t action)
{
  struct ctl_set set;
  const struct ctl_entry *entry;
  const char *service = c->arguments[1];
  int err = ctl_set_read (c, &set);

  if (!err)
    {
      entry = ctl_set_find (&set, service);
      if (!entry)
        err = ctl_fail (c, AM_E_NOT_FOUND, "service '%s' does not exist",
                        service);
      else if (!entry->record.root)
        err = ctl_fail_fault (c, service, &entry->fault);
      else if (!entry->record.service)
        err = ctl_fail (c, AM_E_STATE, "'%s' is no service", service);
      else
        err = ctl_change_start (c, change, entry);
    }
  ctl_set_free (&set);
  if (!err)
    err = actions[action].change (c, change->mine.root, c->arguments[2]);
  return err ? err : ctl_change_reread (c, change);
}

int
ctl_upstream (struct ctl *c)
{
  struct ctl_change change = { 0 };
  size_t i;
  int err;

  for (i = 0; i < sizeof actions / sizeof actions[0]; i++)
    if (strcmp (actions[i].name, c->arguments[0]) == 0)
      break;
  if (i == sizeof actions / sizeof actions[0])
    return ctl_fail (c, AM_E_ARGUMENT,
                     "usage: amaranthctl upstream join|leave|retire SERVICE "
                     "UPSTREAM");
  err = change_upstream (c, &change, i);
  if (!err)
    err = ctl_changes_commit (c, &change, 1);
  ctl_change_free (&change);
  return err;
}
