#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "record/object.h"

static int
read_version (struct am_record *r, const struct am_object *o)
{
  const json_t *v = json_object_get (o->json, "write_id");
  json_int_t n;
  int err = am_object_integer (
      o, "schema", (struct am_range){ 0, UINT32_MAX, AM_REQUIRED }, &n);

  if (err)
    {
      snprintf (o->fault->allowed, sizeof o->fault->allowed, "1, 2");
      return err;
    }
  if (n < AM_SCHEMA_OLDEST || n > AM_SCHEMA_NEWEST)
    return am_object_fail (o, AM_E_VERSION, "schema", "1, 2");
  r->schema = (uint32_t)n;
  err = am_object_integer (o, "revision", (struct am_range){ 0, INT64_MAX, 0 },
                           &n);
  if (err)
    return err;
  r->revision = (uint64_t)n;
  if (v && !json_is_string (v))
    return am_object_fail (o, AM_E_FIELD_TYPE, "write_id",
                           "text of up to 32 bytes");
  if (json_string_length (v) >= sizeof r->write_id)
    return am_object_fail (o, AM_E_FIELD_RANGE, "write_id",
                           "text of up to 32 bytes");
  snprintf (r->write_id, sizeof r->write_id, "%s",
            v ? json_string_value (v) : "");
  return AM_OK;
}

static int
read_root (struct am_record *r, struct am_object *o)
{
  char *name = NULL;
  int kind;
  int err;

  if (!json_is_object (r->root))
    return am_object_fail (o, AM_E_FORMAT, "",
                           "a mapping of fields is expected");
  err = read_version (r, o);
  if (!err)
    err = am_object_word (o, "kind", "service, keys", -1, &kind);
  if (!err)
    err = am_object_name (o, "name", &name);
  if (err)
    return err;
  snprintf (r->name, sizeof r->name, "%s", name);
  free (name);
  r->kind = (enum am_record_kind)kind;
  o->schema = r->schema;
  o->level = r->kind == AM_RECORD_SERVICE ? AM_LEVEL_SERVICE : AM_LEVEL_KEYS;
  err = am_object_check_known (o);
  if (err)
    return err;
  if (r->kind == AM_RECORD_KEYS)
    return am_read_keys (r, o);
  if (strcmp (r->name, AM_KEYS_NAME) == 0)
    return am_object_fail (o, AM_E_FIELD_VALUE, "name",
                           "reserved for kind: keys");
  return am_read_service (r, o);
}

int
am_fields_read (struct am_record *r, bool strict, struct am_fault *f)
{
  struct am_object o = { .json = r->root, .strict = strict, .fault = f };

  return read_root (r, &o);
}
