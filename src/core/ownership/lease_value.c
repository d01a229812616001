#include "core/ownership/lease_value.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"

size_t
am_lease_value_format (const struct am_lease_value *v,
                       char buf[AM_LEASE_VALUE_SIZE])
{
  size_t n = 0;
  int len = snprintf (
      buf, AM_LEASE_VALUE_SIZE,
      "{\"owner\":%" PRIu32 ",\"boot\":\"%016" PRIx64 "\",\"epoch\":%" PRIu64
      ",\"released\":%s,\"handed_to\":%" PRIu32 ",\"eligible\":[",
      v->owner_id, v->boot_id, v->epoch, v->released ? "true" : "false",
      v->handed_to);

  for (size_t i = 0; i < v->eligible_count; i++)
    len += snprintf (buf + len, AM_LEASE_VALUE_SIZE - (size_t)len,
                     "%s%" PRIu32, i ? "," : "", v->eligible[i]);
  n = (size_t)len;
  return n + (size_t)snprintf (buf + n, AM_LEASE_VALUE_SIZE - n, "]}");
}

static bool
read_id (uint32_t *id, const json_t *o)
{
  json_int_t n = json_integer_value (o);

  if (!json_is_integer (o) || n < 0 || n > UINT32_MAX)
    return false;
  *id = (uint32_t)n;
  return true;
}

static int
read_object (struct am_lease_value *v, const json_t *root)
{
  const json_t *list = json_object_get (root, "eligible");
  const json_t *epoch = json_object_get (root, "epoch");
  const char *boot = json_string_value (json_object_get (root, "boot"));

  if (!read_id (&v->owner_id, json_object_get (root, "owner"))
      || !read_id (&v->handed_to, json_object_get (root, "handed_to"))
      || !json_is_integer (epoch) || json_integer_value (epoch) < 0 || !boot
      || !json_is_array (list)
      || json_array_size (list) > AM_LEASE_ELIGIBLE_MAX)
    return AM_E_FORMAT;
  v->epoch = (uint64_t)json_integer_value (epoch);
  v->released = json_is_true (json_object_get (root, "released"));
  v->boot_id = strtoull (boot, NULL, 16);
  v->eligible_count = json_array_size (list);
  for (size_t i = 0; i < v->eligible_count; i++)
    if (!read_id (&v->eligible[i], json_array_get (list, i)))
      return AM_E_FORMAT;
  return AM_OK;
}

int
am_lease_value_parse (struct am_lease_value *v, const uint8_t *text,
                      size_t len)
{
  json_t *root = json_loadb ((const char *)text, len, 0, NULL);
  int err;

  memset (v, 0, sizeof *v);
  err = root ? read_object (v, root) : AM_E_FORMAT;
  json_decref (root);
  return err;
}
