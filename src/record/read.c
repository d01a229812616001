#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "base/error.h"
#include "base/hash.h"
#include "record/fields.h"

#define PATH_SIZE 160
#define UPSTREAMS_MAX 2048
#define CLASSES_MAX 16
#define KEYS_MAX 8
#define KEY_SECRET_SIZE 32
#define KEY_SECRET_DIGITS 64
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
#define DEADLINE_DEFAULT_MS 5000
#define QUEUE_LIMIT_DEFAULT 64
#define TEXT_BYTES (AM_RECORD_NAME_SIZE - 1)

/* One object of a record and where faults in it are reported.  */
struct object
{
  const json_t *json;
  enum am_level level;
  uint32_t schema;
  bool strict;
  char path[PATH_SIZE];
  struct am_fault *fault;
};

struct range
{
  json_int_t min;
  json_int_t max;
  json_int_t standard; /* below MIN: the field is required */
};

#define REQUIRED (-1)

static int
fail (const struct object *o, int error, const char *name, const char *allowed)
{
  char path[PATH_SIZE];

  am_fields_path (path, sizeof path, o->path, name);
  return am_fault_set (o->fault, error, path, allowed);
}

static int
check_known (const struct object *o)
{
  const char *name;
  json_t *value;

  if (!json_is_object (o->json))
    return fail (o, AM_E_FIELD_TYPE, "", "mapping");
  if (!o->strict)
    return AM_OK;
  json_object_foreach (
      (json_t *)o->json, name,
      value) if (!am_fields_known (o->level, name,
                                   o->schema)) return fail (o,
                                                            AM_E_FIELD_UNKNOWN,
                                                            name, "");
  return AM_OK;
}

static int
get_integer (const struct object *o, const char *name, struct range range,
             json_int_t *out)
{
  const json_t *v = json_object_get (o->json, name);
  char allowed[64];

  snprintf (allowed, sizeof allowed, "%lld to %lld", (long long)range.min,
            (long long)range.max);
  *out = range.standard;
  if (!v && range.standard == REQUIRED)
    return fail (o, AM_E_FIELD_MISSING, name, allowed);
  if (!v)
    return AM_OK;
  if (!json_is_integer (v))
    return fail (o, AM_E_FIELD_TYPE, name, allowed);
  *out = json_integer_value (v);
  if (*out < range.min || *out > range.max)
    return fail (o, AM_E_FIELD_RANGE, name, allowed);
  return AM_OK;
}

static int
get_uint (const struct object *o, const char *name, struct range range,
          uint32_t *out)
{
  json_int_t n;
  int err = get_integer (o, name, range, &n);

  *out = (uint32_t)n;
  return err;
}

static int
get_string (const struct object *o, const char *name, const char *allowed,
            const char **out)
{
  const json_t *v = json_object_get (o->json, name);

  *out = "";
  if (!v)
    return fail (o, AM_E_FIELD_MISSING, name, allowed);
  if (!json_is_string (v))
    return fail (o, AM_E_FIELD_TYPE, name, allowed);
  *out = json_string_value (v);
  return AM_OK;
}

static bool
is_name (const char *text)
{
  size_t n
      = strspn (text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                      "0123456789-_.");

  return n > 0 && n <= TEXT_BYTES && text[n] == '\0' && text[0] != '.';
}

static int
get_name (const struct object *o, const char *name, char **out)
{
  static const char allowed[] = "1 to 63 letters, digits, '-', '_', '.'";
  const char *text;
  int err = get_string (o, name, allowed, &text);

  if (err)
    return err;
  if (!is_name (text))
    return fail (o, AM_E_FIELD_VALUE, name, allowed);
  *out = strdup (text);
  return *out ? AM_OK : fail (o, AM_E_MEMORY, name, "");
}

static int
get_address (const struct object *o, uint32_t *ip, uint32_t *port)
{
  static const char allowed[] = "A.B.C.D:PORT, port 1 to 65535";
  struct am_address a;
  const char *text;
  int err = get_string (o, "address", allowed, &text);

  if (err)
    return err;
  if (am_address_parse (&a, text) || a.port == 0 || a.ip == 0)
    return fail (o, AM_E_FIELD_VALUE, "address", allowed);
  *ip = a.ip;
  *port = a.port;
  return AM_OK;
}

/* Sets *OUT to the index of the value in WORDS, a list such as "a, b, c".
   STANDARD below zero: the field is required.  */
static int
get_word (const struct object *o, const char *name, const char *words,
          int standard, int *out)
{
  const char *text;
  int index = 0;
  int err;

  *out = standard;
  if (standard >= 0 && !json_object_get (o->json, name))
    return AM_OK;
  err = get_string (o, name, words, &text);
  if (err)
    return err;
  for (const char *w = words; *w; index++)
    {
      size_t len = strcspn (w, ",");

      if (strlen (text) == len && memcmp (text, w, len) == 0)
        {
          *out = index;
          return AM_OK;
        }
      w += len;
      w += strspn (w, ", ");
    }
  return fail (o, AM_E_FIELD_VALUE, name, words);
}

static int
get_list (const struct object *o, const char *name, size_t max, size_t *n)
{
  const json_t *v = json_object_get (o->json, name);
  char allowed[48];

  snprintf (allowed, sizeof allowed, "list of up to %zu", max);
  *n = 0;
  if (v && !json_is_array (v))
    return fail (o, AM_E_FIELD_TYPE, name, allowed);
  *n = json_array_size (v);
  if (*n > max)
    return fail (o, AM_E_FIELD_RANGE, name, allowed);
  return AM_OK;
}

static void
open_element (struct object *e, const struct object *parent, const char *list,
              size_t i, enum am_level level)
{
  char name[64];

  *e = *parent;
  e->json = json_array_get (json_object_get (parent->json, list), i);
  e->level = level;
  snprintf (name, sizeof name, "%s[%zu]", list, i);
  am_fields_path (e->path, sizeof e->path, parent->path, name);
}

static int
read_upstream (const struct object *o, Amaranth__Upstream *u)
{
  int state;
  json_int_t retired_at;
  int err = check_known (o);

  if (!err)
    err = get_name (o, "name", &u->name);
  if (!err)
    err = get_address (o, &u->ip, &u->port);
  if (!err)
    err = get_name (o, "data_centre", &u->data_centre);
  if (!err)
    err = get_uint (o, "incarnation", (struct range){ 1, UINT32_MAX, 1 },
                    &u->incarnation);
  if (!err)
    err = get_word (o, "state", "active, leaving, retired", 0, &state);
  if (!err)
    err = get_integer (o, "retired_at", (struct range){ 0, INT64_MAX, 0 },
                       &retired_at);
  if (!err)
    err = get_uint (o, "slots", (struct range){ 1, SLOTS_MAX, REQUIRED },
                    &u->slots);
  if (!err)
    err = get_uint (o, "connections",
                    (struct range){ 1, CONNECTIONS_MAX, REQUIRED },
                    &u->connections);
  if (!err)
    err = get_uint (o, "weight",
                    (struct range){ 1, WEIGHT_MAX, WEIGHT_DEFAULT },
                    &u->weight);
  if (err)
    return err;
  u->state = (Amaranth__UpstreamState)state;
  u->id = am_hash_name (u->name);
  return AM_OK;
}

static int
check_upstream_unique (const struct object *o, const Amaranth__Service *s)
{
  const Amaranth__Upstream *last = s->upstreams[s->n_upstreams - 1];

  for (size_t i = 0; i + 1 < s->n_upstreams; i++)
    {
      const Amaranth__Upstream *u = s->upstreams[i];
      bool in_use
          = u->state != AMARANTH__UPSTREAM_STATE__UPSTREAM_RETIRED
            && last->state != AMARANTH__UPSTREAM_STATE__UPSTREAM_RETIRED;

      if (u->id == last->id)
        return fail (o, AM_E_EXISTS, "name",
                     strcmp (u->name, last->name) == 0
                         ? "name is used twice"
                         : "hash of another upstream's name");
      if (in_use && u->ip == last->ip && u->port == last->port)
        return fail (o, AM_E_EXISTS, "address", "address is used twice");
    }
  return AM_OK;
}

static int
read_upstreams (const struct object *o, Amaranth__Service *s)
{
  size_t n;
  int err = get_list (o, "upstreams", UPSTREAMS_MAX, &n);

  if (err)
    return err;
  s->upstreams = calloc (n + 1, sizeof (Amaranth__Upstream *));
  if (!s->upstreams)
    return fail (o, AM_E_MEMORY, "upstreams", "");
  for (size_t i = 0; i < n; i++)
    {
      Amaranth__Upstream *u = malloc (sizeof *u);
      struct object e;

      if (!u)
        return fail (o, AM_E_MEMORY, "upstreams", "");
      amaranth__upstream__init (u);
      s->upstreams[s->n_upstreams++] = u;
      open_element (&e, o, "upstreams", i, AM_LEVEL_UPSTREAM);
      err = read_upstream (&e, u);
      if (!err)
        err = check_upstream_unique (&e, s);
      if (err)
        return err;
    }
  return AM_OK;
}

static int
read_kind (const struct object *o, const char *field,
           const Amaranth__Service *s, Amaranth__RequestClass *c)
{
  int kind;
  int err = get_word (o, field, "repeatable, one_time", -1, &kind);

  if (err)
    return err;
  c->kind = (Amaranth__RequestKind)kind;
  if (c->kind == AMARANTH__REQUEST_KIND__ONE_TIME
      && s->binding == AMARANTH__BINDING__BINDING_HASH)
    return fail (o, AM_E_FIELD_VALUE, field,
                 "one_time needs binding: ticket or tracked");
  return get_uint (o, "deadline_ms",
                   (struct range){ 1, DAY_MS, DEADLINE_DEFAULT_MS },
                   &c->deadline_ms);
}

static int
read_class (const struct object *o, const Amaranth__Service *s,
            Amaranth__RequestClass *c)
{
  int err = check_known (o);

  if (!err)
    err = get_uint (o, "id", (struct range){ 0, CLASSES_MAX - 1, REQUIRED },
                    &c->id);
  if (!err)
    err = get_name (o, "name", &c->name);
  if (!err)
    err = read_kind (o, "kind", s, c);
  if (!err)
    err = get_uint (o, "weight", (struct range){ 1, CLASS_WEIGHT_MAX, 1 },
                    &c->weight);
  if (!err)
    err = get_uint (o, "priority", (struct range){ 0, PRIORITY_MAX, 0 },
                    &c->priority);
  if (!err)
    err = get_uint (o, "queue_limit",
                    (struct range){ 1, QUEUE_LIMIT_MAX, QUEUE_LIMIT_DEFAULT },
                    &c->queue_limit);
  return err;
}

static int
check_class_unique (const struct object *o, const Amaranth__Service *s)
{
  const Amaranth__RequestClass *last = s->classes[s->n_classes - 1];

  for (size_t i = 0; i + 1 < s->n_classes; i++)
    {
      if (s->classes[i]->id == last->id)
        return fail (o, AM_E_EXISTS, "id", "id is used twice");
      if (strcmp (s->classes[i]->name, last->name) == 0)
        return fail (o, AM_E_EXISTS, "name", "name is used twice");
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
read_classes (const struct object *o, Amaranth__Service *s)
{
  size_t n;
  int err = get_list (o, "classes", CLASSES_MAX, &n);

  if (err)
    return err;
  s->classes = calloc (n + 1, sizeof (Amaranth__RequestClass *));
  if (!s->classes)
    return fail (o, AM_E_MEMORY, "classes", "");
  for (size_t i = 0; i < n; i++)
    {
      Amaranth__RequestClass *c = add_class (s);
      struct object e;

      if (!c)
        return fail (o, AM_E_MEMORY, "classes", "");
      open_element (&e, o, "classes", i, AM_LEVEL_CLASS);
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
read_single_class (const struct object *o, Amaranth__Service *s)
{
  Amaranth__RequestClass *c;
  int err;

  s->classes = calloc (1, sizeof (Amaranth__RequestClass *));
  c = s->classes ? add_class (s) : NULL;
  if (!c)
    return fail (o, AM_E_MEMORY, "request", "");
  c->weight = 1;
  c->queue_limit = QUEUE_LIMIT_DEFAULT;
  c->name = strdup ("request");
  err = read_kind (o, "request", s, c);
  if (err)
    return err;
  return c->name ? AM_OK : fail (o, AM_E_MEMORY, "request", "");
}

static int
read_liveness (const struct object *o, Amaranth__Service *s)
{
  struct object e = *o;
  int err;

  s->ping_interval_ms = PING_INTERVAL_DEFAULT_MS;
  s->ping_misses = PING_MISSES_DEFAULT;
  e.json = json_object_get (o->json, "liveness");
  if (!e.json || o->schema == 1)
    return AM_OK;
  e.level = AM_LEVEL_LIVENESS;
  am_fields_path (e.path, sizeof e.path, o->path, "liveness");
  err = check_known (&e);
  if (!err)
    err = get_uint (&e, "ping_interval_ms",
                    (struct range){ 10, DAY_MS, PING_INTERVAL_DEFAULT_MS },
                    &s->ping_interval_ms);
  if (!err)
    err = get_uint (&e, "misses",
                    (struct range){ 1, PING_MISSES_MAX, PING_MISSES_DEFAULT },
                    &s->ping_misses);
  return err;
}

static int
read_policy (const struct object *o, Amaranth__Service *s)
{
  int binding;
  int objective;
  int policy;
  int err = get_word (o, "binding", "ticket, tracked, hash", 0, &binding);

  if (!err)
    err = get_word (o, "objective", "broken_flows, imbalance", 0, &objective);
  if (!err)
    err = get_word (o, "policy",
                    "local, two_choices, random, round_robin, hash", 0,
                    &policy);
  if (!err)
    err = get_uint (o, "slow_start_ms",
                    (struct range){ 0, DAY_MS, SLOW_START_DEFAULT_MS },
                    &s->slow_start_ms);
  if (!err)
    err = get_uint (o, "open_rate",
                    (struct range){ 1, OPEN_RATE_MAX, OPEN_RATE_DEFAULT },
                    &s->open_rate);
  if (err)
    return err;
  s->binding = (Amaranth__Binding)binding;
  s->objective = (Amaranth__Objective)objective;
  s->policy = (Amaranth__Policy)policy;
  return AM_OK;
}

static int
read_retired (const struct object *o, Amaranth__Service *s)
{
  const json_t *v = json_object_get (o->json, "retired");
  json_int_t retired_at;

  if (v && !json_is_boolean (v))
    return fail (o, AM_E_FIELD_TYPE, "retired", "true, false");
  s->retired = json_is_true (v);
  return get_integer (o, "retired_at", (struct range){ 0, INT64_MAX, 0 },
                      &retired_at);
}

/* A schema 1 record keeps fields of schema 2 that came with it, but they
   have no effect.  */
static int
read_service (struct am_record *r, const struct object *o)
{
  static const json_t *const no_fields = NULL;
  struct object known = *o;
  Amaranth__Service *s = malloc (sizeof *s);
  int err;

  if (!s)
    return fail (o, AM_E_MEMORY, "", "");
  amaranth__service__init (s);
  r->service = s;
  if (o->schema == 1)
    known.json = no_fields;
  err = get_name (o, "name", &s->name);
  if (!err)
    err = get_name (o, "region", &s->region);
  if (!err)
    err = get_address (o, &s->ip, &s->port);
  if (!err)
    err = read_retired (o, s);
  if (!err)
    err = read_policy (&known, s);
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

static int
read_key (const struct object *o, Amaranth__Key *k)
{
  static const char allowed[] = "64 hexadecimal digits";
  const char *secret;
  json_int_t verify_since;
  size_t len = 0;
  int state;
  int err = check_known (o);

  if (!err)
    err = get_uint (o, "id", (struct range){ 1, UINT32_MAX, REQUIRED },
                    &k->id);
  if (!err)
    err = get_word (o, "state", "standby, active, verify", -1, &state);
  if (!err)
    err = get_integer (o, "verify_since", (struct range){ 0, INT64_MAX, 0 },
                       &verify_since);
  if (!err)
    err = get_string (o, "secret", allowed, &secret);
  if (err)
    return err;
  k->state = (Amaranth__KeyState)state;
  k->secret.data = malloc (KEY_SECRET_SIZE);
  if (!k->secret.data)
    return fail (o, AM_E_MEMORY, "secret", "");
  k->secret.len = KEY_SECRET_SIZE;
  if (strlen (secret) != KEY_SECRET_DIGITS
      || sodium_hex2bin (k->secret.data, KEY_SECRET_SIZE, secret,
                         strlen (secret), NULL, &len, NULL)
      || len != KEY_SECRET_SIZE)
    return fail (o, AM_E_FIELD_VALUE, "secret", allowed);
  return AM_OK;
}

static int
check_keys (const struct object *o, const struct am_record *r)
{
  size_t active = 0;

  for (size_t i = 0; i < r->key_count; i++)
    {
      struct object e;

      open_element (&e, o, "keys", i, AM_LEVEL_KEY);
      active += r->keys[i]->state == AMARANTH__KEY_STATE__KEY_ACTIVE;
      for (size_t j = 0; j < i; j++)
        if (r->keys[j]->id == r->keys[i]->id)
          return fail (&e, AM_E_EXISTS, "id", "id is used twice");
    }
  if (active != 1)
    return fail (o, AM_E_FIELD_VALUE, "keys", "exactly one active key");
  return AM_OK;
}

static int
read_keys (struct am_record *r, const struct object *o)
{
  size_t n;
  int err = get_list (o, "keys", KEYS_MAX, &n);

  if (err)
    return err;
  if (strcmp (r->name, AM_KEYS_NAME) != 0)
    return fail (o, AM_E_FIELD_VALUE, "name", AM_KEYS_NAME);
  r->keys = calloc (n + 1, sizeof (Amaranth__Key *));
  if (!r->keys)
    return fail (o, AM_E_MEMORY, "keys", "");
  for (size_t i = 0; i < n; i++)
    {
      struct object e;

      r->keys[i] = malloc (sizeof (Amaranth__Key));
      if (!r->keys[i])
        return fail (o, AM_E_MEMORY, "keys", "");
      amaranth__key__init (r->keys[i]);
      r->key_count++;
      open_element (&e, o, "keys", i, AM_LEVEL_KEY);
      err = read_key (&e, r->keys[i]);
      if (err)
        return err;
    }
  return check_keys (o, r);
}

static int
read_version (struct am_record *r, const struct object *o)
{
  const json_t *v = json_object_get (o->json, "write_id");
  json_int_t n;
  int err = get_integer (o, "schema",
                         (struct range){ 0, UINT32_MAX, REQUIRED }, &n);

  if (err)
    {
      snprintf (o->fault->allowed, sizeof o->fault->allowed, "1, 2");
      return err;
    }
  if (n < AM_SCHEMA_OLDEST || n > AM_SCHEMA_NEWEST)
    return fail (o, AM_E_VERSION, "schema", "1, 2");
  r->schema = (uint32_t)n;
  err = get_integer (o, "revision", (struct range){ 0, INT64_MAX, 0 }, &n);
  if (err)
    return err;
  r->revision = (uint64_t)n;
  if (v && !json_is_string (v))
    return fail (o, AM_E_FIELD_TYPE, "write_id", "text of up to 32 bytes");
  if (json_string_length (v) >= sizeof r->write_id)
    return fail (o, AM_E_FIELD_RANGE, "write_id", "text of up to 32 bytes");
  snprintf (r->write_id, sizeof r->write_id, "%s",
            v ? json_string_value (v) : "");
  return AM_OK;
}

static int
read_root (struct am_record *r, struct object *o)
{
  char *name = NULL;
  int kind;
  int err;

  if (!json_is_object (r->root))
    return fail (o, AM_E_FORMAT, "", "a mapping of fields is expected");
  err = read_version (r, o);
  if (!err)
    err = get_word (o, "kind", "service, keys", -1, &kind);
  if (!err)
    err = get_name (o, "name", &name);
  if (err)
    return err;
  snprintf (r->name, sizeof r->name, "%s", name);
  free (name);
  r->kind = (enum am_record_kind)kind;
  o->schema = r->schema;
  o->level = r->kind == AM_RECORD_SERVICE ? AM_LEVEL_SERVICE : AM_LEVEL_KEYS;
  err = check_known (o);
  if (err)
    return err;
  if (r->kind == AM_RECORD_KEYS)
    return read_keys (r, o);
  if (strcmp (r->name, AM_KEYS_NAME) == 0)
    return fail (o, AM_E_FIELD_VALUE, "name", "reserved for kind: keys");
  return read_service (r, o);
}

int
am_fields_read (struct am_record *r, bool strict, struct am_fault *f)
{
  struct object o = { .json = r->root, .strict = strict, .fault = f };

  return read_root (r, &o);
}
