#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "record/record.h"
#include "wire/bytes.h"

/* Minimal reader of service records.  It checks little and is replaced by the
   whole parser.  */

static const char *
text_of (json_t *o, const char *key)
{
  const char *t = json_string_value (json_object_get (o, key));

  return t ? t : "";
}

static uint32_t
number_of (json_t *o, const char *key, uint32_t missing)
{
  json_t *v = json_object_get (o, key);

  return json_is_integer (v) ? (uint32_t)json_integer_value (v) : missing;
}

static void
address_of (json_t *o, uint32_t *ip, uint32_t *port)
{
  unsigned a = 0;
  unsigned b = 0;
  unsigned c = 0;
  unsigned d = 0;
  unsigned p = 0;

  if (sscanf (text_of (o, "address"), "%u.%u.%u.%u:%u", &a, &b, &c, &d, &p)
      == 5)
    {
      *ip = a << 24 | b << 16 | c << 8 | d;
      *port = p;
    }
}

static Amaranth__UpstreamState
state_of (json_t *o)
{
  const char *s = text_of (o, "state");

  if (strcmp (s, "leaving") == 0)
    return AMARANTH__UPSTREAM_STATE__UPSTREAM_LEAVING;
  if (strcmp (s, "retired") == 0)
    return AMARANTH__UPSTREAM_STATE__UPSTREAM_RETIRED;
  return AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE;
}

static Amaranth__Upstream *
read_upstream (json_t *o)
{
  Amaranth__Upstream *u = malloc (sizeof *u);

  if (!u)
    return NULL;
  amaranth__upstream__init (u);
  u->name = strdup (text_of (o, "name"));
  u->data_centre = strdup (text_of (o, "data_centre"));
  u->id = am_hash_name (text_of (o, "name"));
  address_of (o, &u->ip, &u->port);
  u->incarnation = number_of (o, "incarnation", 1);
  u->state = state_of (o);
  u->slots = number_of (o, "slots", 2);
  u->connections = number_of (o, "connections", 2000);
  u->weight = number_of (o, "weight", 100);
  return u;
}

static Amaranth__Service *
read_service (json_t *root)
{
  Amaranth__Service *s = malloc (sizeof *s);
  json_t *list = json_object_get (root, "upstreams");

  if (!s)
    return NULL;
  amaranth__service__init (s);
  s->name = strdup (text_of (root, "name"));
  s->region = strdup (text_of (root, "region"));
  s->id = am_hash_name (text_of (root, "name"));
  s->revision = number_of (root, "revision", 0);
  address_of (root, &s->ip, &s->port);
  s->retired = json_is_true (json_object_get (root, "retired"));
  s->ping_interval_ms = 1000;
  s->ping_misses = 3;
  s->slow_start_ms = number_of (root, "slow_start_ms", 10000);
  s->open_rate = number_of (root, "open_rate", 200);
  s->upstreams
      = calloc (json_array_size (list) + 1, sizeof (Amaranth__Upstream *));
  for (size_t i = 0; s->upstreams && i < json_array_size (list); i++)
    s->upstreams[s->n_upstreams++] = read_upstream (json_array_get (list, i));
  return s;
}

static int
read_keys (struct am_record *r, json_t *root)
{
  json_t *list = json_object_get (root, "keys");
  size_t n = json_array_size (list);

  r->kind = AM_RECORD_KEYS;
  r->keys = calloc (n + 1, sizeof (Amaranth__Key *));
  if (!r->keys)
    return AM_E_MEMORY;
  for (size_t i = 0; i < n; i++)
    {
      json_t *o = json_array_get (list, i);
      const char *secret = text_of (o, "secret");
      const char *state = text_of (o, "state");
      Amaranth__Key *k = malloc (sizeof *k);

      if (!k)
        return AM_E_MEMORY;
      amaranth__key__init (k);
      r->keys[r->key_count++] = k;
      k->id = number_of (o, "id", 0);
      k->state
          = strcmp (state, "active") == 0   ? AMARANTH__KEY_STATE__KEY_ACTIVE
            : strcmp (state, "verify") == 0 ? AMARANTH__KEY_STATE__KEY_VERIFY
                                            : AMARANTH__KEY_STATE__KEY_STANDBY;
      k->secret.data = malloc (32);
      if (!k->secret.data)
        return AM_E_MEMORY;
      if (sodium_hex2bin (k->secret.data, 32, secret, strlen (secret), NULL,
                          &k->secret.len, NULL)
          || k->secret.len != 32)
        return AM_E_FORMAT;
    }
  return n ? AM_OK : AM_E_FORMAT;
}

int
am_record_parse_json (struct am_record *r, const char *text, size_t len,
                      struct am_fault *f)
{
  json_t *root = json_loadb (text, len, JSON_REJECT_DUPLICATES, NULL);

  memset (r, 0, sizeof *r);
  memset (f, 0, sizeof *f);
  if (!json_is_object (root) || strlen (text_of (root, "name")) == 0
      || strlen (text_of (root, "name")) >= sizeof r->name
      || strlen (text_of (root, "write_id")) >= sizeof r->write_id)
    {
      json_decref (root);
      f->error = AM_E_FORMAT;
      return AM_E_FORMAT;
    }
  snprintf (r->name, sizeof r->name, "%s", text_of (root, "name"));
  snprintf (r->write_id, sizeof r->write_id, "%s", text_of (root, "write_id"));
  r->revision = number_of (root, "revision", 0);
  r->root = root;
  if (number_of (root, "schema", 0) > 2)
    f->error = AM_E_VERSION;
  else if (strcmp (r->name, "ticket-keys") == 0)
    f->error = read_keys (r, root);
  else
    r->service = read_service (root);
  if (f->error)
    am_record_finish (r);
  return f->error;
}

void
am_record_finish (struct am_record *r)
{
  if (r->service)
    amaranth__service__free_unpacked (r->service, NULL);
  for (size_t i = 0; i < r->key_count; i++)
    amaranth__key__free_unpacked (r->keys[i], NULL);
  json_decref (r->root);
  free (r->keys);
}
