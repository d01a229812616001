#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "record/object.h"

#define UPSTREAMS_MAX 2048
#define CLASSES_MAX 16
#define DAY_MS 86400000
#define SLOTS_MAX 65535
#define CONNECTIONS_MAX 1000000
#define OPEN_RATE_MAX 1000000
#define QUEUE_LIMIT_MAX 65535
#define WEIGHT_DEFAULT 100
#define WEIGHT_MAX 1000
#define CLASS_WEIGHT_MAX 100
#define PRIORITY_MAX 255
#define PING_INTERVAL_DEFAULT_MS 1000
#define PING_MISSES_DEFAULT 3
#define PING_MISSES_MAX 100
#define SLOW_START_DEFAULT_MS 10000
#define OPEN_RATE_DEFAULT 200
#define RETRY_BUDGET_DEFAULT 10
#define RETRY_BUDGET_MAX 100000
#define DEADLINE_DEFAULT_MS 5000
#define QUEUE_LIMIT_DEFAULT 64

static int
read_upstream (const struct am_object *o, Amaranth__Upstream *u)
{
  int state;
  json_int_t retired_at;
  int err = am_object_check_known (o);

  if (!err)
    err = am_object_name (o, "name", &u->name);
  if (!err)
    err = am_object_address (o, &u->ip, &u->port);
  if (!err)
    err = am_object_name (o, "data_centre", &u->data_centre);
  if (!err)
    err = am_object_uint (o, "incarnation",
                          (struct am_range){ 1, UINT32_MAX, 1 },
                          &u->incarnation);
  if (!err)
    err = am_object_word (o, "state", "active, leaving, retired", 0, &state);
  if (!err)
    err = am_object_integer (
        o, "retired_at", (struct am_range){ 0, INT64_MAX, 0 }, &retired_at);
  if (!err)
    err = am_object_uint (
        o, "slots", (struct am_range){ 1, SLOTS_MAX, AM_REQUIRED }, &u->slots);
  if (!err)
    err = am_object_uint (o, "connections",
                          (struct am_range){ 1, CONNECTIONS_MAX, AM_REQUIRED },
                          &u->connections);
  if (!err)
    err = am_object_uint (o, "weight",
                          (struct am_range){ 1, WEIGHT_MAX, WEIGHT_DEFAULT },
                          &u->weight);
  if (err)
    return err;
  u->state = (Amaranth__UpstreamState)state;
  u->id = am_hash_name (u->name);
  return AM_OK;
}

static int
check_upstream_unique (const struct am_object *o, const Amaranth__Service *s)
{
  const Amaranth__Upstream *last = s->upstreams[s->n_upstreams - 1];

  for (size_t i = 0; i + 1 < s->n_upstreams; i++)
    {
      const Amaranth__Upstream *u = s->upstreams[i];
      bool in_use
          = u->state != AMARANTH__UPSTREAM_STATE__UPSTREAM_RETIRED
            && last->state != AMARANTH__UPSTREAM_STATE__UPSTREAM_RETIRED;

      if (u->id == last->id)
        return am_object_fail (o, AM_E_EXISTS, "name",
                               strcmp (u->name, last->name) == 0
                                   ? "name is used twice"
                                   : "hash of another upstream's name");
      if (in_use && u->ip == last->ip && u->port == last->port)
        return am_object_fail (o, AM_E_EXISTS, "address",
                               "address is used twice");
    }
  return AM_OK;
}

static int
read_upstreams (const struct am_object *o, Amaranth__Service *s)
{
  size_t n;
  int err = am_object_list (o, "upstreams", UPSTREAMS_MAX, &n);

  if (err)
    return err;
  s->upstreams = calloc (n + 1, sizeof (Amaranth__Upstream *));
  if (!s->upstreams)
    return am_object_fail (o, AM_E_MEMORY, "upstreams", "");
  for (size_t i = 0; i < n; i++)
    {
      Amaranth__Upstream *u = malloc (sizeof *u);
      struct am_object e;

      if (!u)
        return am_object_fail (o, AM_E_MEMORY, "upstreams", "");
      amaranth__upstream__init (u);
      s->upstreams[s->n_upstreams++] = u;
      am_object_element (&e, o, "upstreams", i, AM_LEVEL_UPSTREAM);
      err = read_upstream (&e, u);
      if (!err)
        err = check_upstream_unique (&e, s);
      if (err)
        return err;
    }
  return AM_OK;
}

static int
read_kind (const struct am_object *o, const char *field,
           const Amaranth__Service *s, Amaranth__RequestClass *c)
{
  int kind;
  int err = am_object_word (o, field, "repeatable, one_time", -1, &kind);

  if (err)
    return err;
  c->kind = (Amaranth__RequestKind)kind;
  if (c->kind == AMARANTH__REQUEST_KIND__ONE_TIME
      && s->binding == AMARANTH__BINDING__BINDING_HASH)
    return am_object_fail (o, AM_E_FIELD_VALUE, field,
                           "one_time needs binding: ticket or tracked");
  return am_object_uint (o, "deadline_ms",
                         (struct am_range){ 1, DAY_MS, DEADLINE_DEFAULT_MS },
                         &c->deadline_ms);
}

static int
read_class (const struct am_object *o, const Amaranth__Service *s,
            Amaranth__RequestClass *c)
{
  int err = am_object_check_known (o);

  if (!err)
    err = am_object_uint (
        o, "id", (struct am_range){ 0, CLASSES_MAX - 1, AM_REQUIRED }, &c->id);
  if (!err)
    err = am_object_name (o, "name", &c->name);
  if (!err)
    err = read_kind (o, "kind", s, c);
  if (!err)
    err = am_object_uint (
        o, "weight", (struct am_range){ 1, CLASS_WEIGHT_MAX, 1 }, &c->weight);
  if (!err)
    err = am_object_uint (
        o, "priority", (struct am_range){ 0, PRIORITY_MAX, 0 }, &c->priority);
  if (!err)
    err = am_object_uint (
        o, "queue_limit",
        (struct am_range){ 1, QUEUE_LIMIT_MAX, QUEUE_LIMIT_DEFAULT },
        &c->queue_limit);
  return err;
}

static int
check_class_unique (const struct am_object *o, const Amaranth__Service *s)
{
  const Amaranth__RequestClass *last = s->classes[s->n_classes - 1];

  for (size_t i = 0; i + 1 < s->n_classes; i++)
    {
      if (s->classes[i]->id == last->id)
        return am_object_fail (o, AM_E_EXISTS, "id", "id is used twice");
      if (strcmp (s->classes[i]->name, last->name) == 0)
        return am_object_fail (o, AM_E_EXISTS, "name", "name is used twice");
    }
  return AM_OK;
}

static Amaranth__RequestClass *
add_class (Amaranth__Service *s)
{
  Amaranth__RequestClass *c = malloc (sizeof *c);

  if (!c)
    return NULL;
  amaranth__request_class__init (c);
  s->classes[s->n_classes++] = c;
  return c;
}

static int
read_classes (const struct am_object *o, Amaranth__Service *s)
{
  size_t n;
  int err = am_object_list (o, "classes", CLASSES_MAX, &n);

  if (err)
    return err;
  s->classes = calloc (n + 1, sizeof (Amaranth__RequestClass *));
  if (!s->classes)
    return am_object_fail (o, AM_E_MEMORY, "classes", "");
  for (size_t i = 0; i < n; i++)
    {
      Amaranth__RequestClass *c = add_class (s);
      struct am_object e;

      if (!c)
        return am_object_fail (o, AM_E_MEMORY, "classes", "");
      am_object_element (&e, o, "classes", i, AM_LEVEL_CLASS);
      err = read_class (&e, s, c);
      if (!err)
        err = check_class_unique (&e, s);
      if (err)
        return err;
    }
  return AM_OK;
}

/* Schema 1 has one kind of request, which is class 0 of schema 2.  */
static int
read_single_class (const struct am_object *o, Amaranth__Service *s)
{
  Amaranth__RequestClass *c;
  int err;

  s->classes = calloc (1, sizeof (Amaranth__RequestClass *));
  c = s->classes ? add_class (s) : NULL;
  if (!c)
    return am_object_fail (o, AM_E_MEMORY, "request", "");
  c->weight = 1;
  c->queue_limit = QUEUE_LIMIT_DEFAULT;
  c->name = strdup ("request");
  err = read_kind (o, "request", s, c);
  if (err)
    return err;
  return c->name ? AM_OK : am_object_fail (o, AM_E_MEMORY, "request", "");
}

static int
read_liveness (const struct am_object *o, Amaranth__Service *s)
{
  struct am_object e = *o;
  int err;

  s->ping_interval_ms = PING_INTERVAL_DEFAULT_MS;
  s->ping_misses = PING_MISSES_DEFAULT;
  e.json = json_object_get (o->json, "liveness");
  if (!e.json || o->schema == 1)
    return AM_OK;
  e.level = AM_LEVEL_LIVENESS;
  am_fields_path (e.path, sizeof e.path, o->path, "liveness");
  err = am_object_check_known (&e);
  if (!err)
    err = am_object_uint (
        &e, "ping_interval_ms",
        (struct am_range){ 10, DAY_MS, PING_INTERVAL_DEFAULT_MS },
        &s->ping_interval_ms);
  if (!err)
    err = am_object_uint (
        &e, "misses",
        (struct am_range){ 1, PING_MISSES_MAX, PING_MISSES_DEFAULT },
        &s->ping_misses);
  return err;
}

static int
read_policy (const struct am_object *o, Amaranth__Service *s)
{
  int binding;
  int objective;
  int policy;
  int err
      = am_object_word (o, "binding", "ticket, tracked, hash", 0, &binding);

  if (!err)
    err = am_object_word (o, "objective", "broken_flows, imbalance", 0,
                          &objective);
  if (!err)
    err = am_object_word (o, "policy",
                          "local, two_choices, random, round_robin, hash", 0,
                          &policy);
  if (!err)
    err = am_object_uint (
        o, "slow_start_ms",
        (struct am_range){ 0, DAY_MS, SLOW_START_DEFAULT_MS },
        &s->slow_start_ms);
  if (err)
    return err;
  s->binding = (Amaranth__Binding)binding;
  s->objective = (Amaranth__Objective)objective;
  s->policy = (Amaranth__Policy)policy;
  return AM_OK;
}

static int
read_limits (const struct am_object *o, Amaranth__Service *s)
{
  int lending;
  int err = am_object_uint (
      o, "open_rate", (struct am_range){ 1, OPEN_RATE_MAX, OPEN_RATE_DEFAULT },
      &s->open_rate);

  if (!err)
    err = am_object_uint (
        o, "retry_budget",
        (struct am_range){ 1, RETRY_BUDGET_MAX, RETRY_BUDGET_DEFAULT },
        &s->retry_budget);
  if (!err)
    err = am_object_word (o, "lending", "on, off", 0, &lending);
  if (err)
    return err;
  s->lending = (Amaranth__Lending)lending;
  return AM_OK;
}

static int
read_retired (const struct am_object *o, Amaranth__Service *s)
{
  const json_t *v = json_object_get (o->json, "retired");
  json_int_t retired_at;

  if (v && !json_is_boolean (v))
    return am_object_fail (o, AM_E_FIELD_TYPE, "retired", "true, false");
  s->retired = json_is_true (v);
  return am_object_integer (o, "retired_at",
                            (struct am_range){ 0, INT64_MAX, 0 }, &retired_at);
}

/* A schema 1 record keeps fields of schema 2 that came with it, but they
   have no effect.  */
int
am_read_service (struct am_record *r, const struct am_object *o)
{
  static const json_t *const no_fields = NULL;
  struct am_object known = *o;
  Amaranth__Service *s = malloc (sizeof *s);
  int err;

  if (!s)
    return am_object_fail (o, AM_E_MEMORY, "", "");
  amaranth__service__init (s);
  r->service = s;
  if (o->schema == 1)
    known.json = no_fields;
  err = am_object_name (o, "name", &s->name);
  if (!err)
    err = am_object_name (o, "region", &s->region);
  if (!err)
    err = am_object_address (o, &s->ip, &s->port);
  if (!err)
    err = read_retired (o, s);
  if (!err)
    err = read_policy (&known, s);
  if (!err)
    err = read_limits (&known, s);
  if (!err)
    err = read_liveness (&known, s);
  if (!err)
    err = o->schema == 1 ? read_single_class (o, s) : read_classes (o, s);
  if (!err)
    err = read_upstreams (o, s);
  if (err)
    return err;
  s->id = am_hash_name (s->name);
  s->revision = r->revision;
  return AM_OK;
}
