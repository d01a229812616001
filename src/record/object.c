#include "record/object.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "base/error.h"

#define TEXT_BYTES (AM_RECORD_NAME_SIZE - 1)
#define ALLOWED_SIZE 64
#define ELEMENT_SIZE 64

int
am_object_fail (const struct am_object *o, int error, const char *name,
                const char *allowed)
{
  char path[AM_OBJECT_PATH_SIZE];

  am_fields_path (path, sizeof path, o->path, name);
  return am_fault_set (o->fault, error, path, allowed);
}

int
am_object_check_known (const struct am_object *o)
{
  const char *name;
  json_t *value;

  if (!json_is_object (o->json))
    return am_object_fail (o, AM_E_FIELD_TYPE, "", "mapping");
  if (!o->strict)
    return AM_OK;
  json_object_foreach ((json_t *)o->json, name, value)
  {
    if (!am_fields_known (o->level, name, o->schema))
      return am_object_fail (o, AM_E_FIELD_UNKNOWN, name, "");
  }
  return AM_OK;
}

int
am_object_integer (const struct am_object *o, const char *name,
                   struct am_range range, json_int_t *out)
{
  const json_t *v = json_object_get (o->json, name);
  char allowed[ALLOWED_SIZE];

  snprintf (allowed, sizeof allowed, "%lld to %lld", (long long)range.min,
            (long long)range.max);
  *out = range.standard;
  if (!v && range.standard == AM_REQUIRED)
    return am_object_fail (o, AM_E_FIELD_MISSING, name, allowed);
  if (!v)
    return AM_OK;
  if (!json_is_integer (v))
    return am_object_fail (o, AM_E_FIELD_TYPE, name, allowed);
  *out = json_integer_value (v);
  if (*out < range.min || *out > range.max)
    return am_object_fail (o, AM_E_FIELD_RANGE, name, allowed);
  return AM_OK;
}

int
am_object_uint (const struct am_object *o, const char *name,
                struct am_range range, uint32_t *out)
{
  json_int_t n;
  int err = am_object_integer (o, name, range, &n);

  *out = (uint32_t)n;
  return err;
}

int
am_object_string (const struct am_object *o, const char *name,
                  const char *allowed, const char **out)
{
  const json_t *v = json_object_get (o->json, name);

  *out = "";
  if (!v)
    return am_object_fail (o, AM_E_FIELD_MISSING, name, allowed);
  if (!json_is_string (v))
    return am_object_fail (o, AM_E_FIELD_TYPE, name, allowed);
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

int
am_object_name (const struct am_object *o, const char *name, char **out)
{
  static const char allowed[] = "1 to 63 letters, digits, '-', '_', '.'";
  const char *text;
  int err = am_object_string (o, name, allowed, &text);

  if (err)
    return err;
  if (!is_name (text))
    return am_object_fail (o, AM_E_FIELD_VALUE, name, allowed);
  *out = strdup (text);
  return *out ? AM_OK : am_object_fail (o, AM_E_MEMORY, name, "");
}

int
am_object_address (const struct am_object *o, uint32_t *ip, uint32_t *port)
{
  static const char allowed[] = "A.B.C.D:PORT, port 1 to 65535";
  struct am_address a;
  const char *text;
  int err = am_object_string (o, "address", allowed, &text);

  if (err)
    return err;
  if (am_address_parse (&a, text) || a.port == 0 || a.ip == 0)
    return am_object_fail (o, AM_E_FIELD_VALUE, "address", allowed);
  *ip = a.ip;
  *port = a.port;
  return AM_OK;
}

int
am_object_word (const struct am_object *o, const char *name, const char *words,
                int standard, int *out)
{
  const char *text;
  int index = 0;
  int err;

  *out = standard;
  if (standard >= 0 && !json_object_get (o->json, name))
    return AM_OK;
  err = am_object_string (o, name, words, &text);
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
  return am_object_fail (o, AM_E_FIELD_VALUE, name, words);
}

int
am_object_list (const struct am_object *o, const char *name, size_t max,
                size_t *n)
{
  const json_t *v = json_object_get (o->json, name);
  char allowed[ALLOWED_SIZE];

  snprintf (allowed, sizeof allowed, "list of up to %zu", max);
  *n = 0;
  if (v && !json_is_array (v))
    return am_object_fail (o, AM_E_FIELD_TYPE, name, allowed);
  *n = json_array_size (v);
  if (*n > max)
    return am_object_fail (o, AM_E_FIELD_RANGE, name, allowed);
  return AM_OK;
}

void
am_object_element (struct am_object *e, const struct am_object *parent,
                   const char *list, size_t i, enum am_level level)
{
  char name[ELEMENT_SIZE];

  *e = *parent;
  e->json = json_array_get (json_object_get (parent->json, list), i);
  e->level = level;
  snprintf (name, sizeof name, "%s[%zu]", list, i);
  am_fields_path (e->path, sizeof e->path, parent->path, name);
}
