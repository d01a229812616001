#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "record/object.h"

#define KEYS_MAX 8
#define KEY_SECRET_SIZE 32
#define KEY_SECRET_DIGITS 64

static int
read_key (const struct am_object *o, Amaranth__Key *k)
{
  static const char allowed[] = "64 hexadecimal digits";
  const char *secret;
  json_int_t verify_since;
  size_t len = 0;
  int state;
  int err = am_object_check_known (o);

  if (!err)
    err = am_object_uint (
        o, "id", (struct am_range){ 1, UINT32_MAX, AM_REQUIRED }, &k->id);
  if (!err)
    err = am_object_word (o, "state", "standby, active, verify", -1, &state);
  if (!err)
    err = am_object_integer (o, "verify_since",
                             (struct am_range){ 0, INT64_MAX, 0 },
                             &verify_since);
  if (!err)
    err = am_object_string (o, "secret", allowed, &secret);
  if (err)
    return err;
  k->state = (Amaranth__KeyState)state;
  k->secret.data = malloc (KEY_SECRET_SIZE);
  if (!k->secret.data)
    return am_object_fail (o, AM_E_MEMORY, "secret", "");
  k->secret.len = KEY_SECRET_SIZE;
  if (strlen (secret) != KEY_SECRET_DIGITS
      || sodium_hex2bin (k->secret.data, KEY_SECRET_SIZE, secret,
                         strlen (secret), NULL, &len, NULL)
      || len != KEY_SECRET_SIZE)
    return am_object_fail (o, AM_E_FIELD_VALUE, "secret", allowed);
  return AM_OK;
}

static int
check_keys (const struct am_object *o, const struct am_record *r)
{
  size_t active = 0;

  for (size_t i = 0; i < r->key_count; i++)
    {
      struct am_object e;

      am_object_element (&e, o, "keys", i, AM_LEVEL_KEY);
      active += r->keys[i]->state == AMARANTH__KEY_STATE__KEY_ACTIVE;
      for (size_t j = 0; j < i; j++)
        if (r->keys[j]->id == r->keys[i]->id)
          return am_object_fail (&e, AM_E_EXISTS, "id", "id is used twice");
    }
  if (active != 1)
    return am_object_fail (o, AM_E_FIELD_VALUE, "keys",
                           "exactly one active key");
  return AM_OK;
}

int
am_read_keys (struct am_record *r, const struct am_object *o)
{
  size_t n;
  int err = am_object_list (o, "keys", KEYS_MAX, &n);

  if (err)
    return err;
  if (strcmp (r->name, AM_KEYS_NAME) != 0)
    return am_object_fail (o, AM_E_FIELD_VALUE, "name", AM_KEYS_NAME);
  r->keys = calloc (n + 1, sizeof (Amaranth__Key *));
  if (!r->keys)
    return am_object_fail (o, AM_E_MEMORY, "keys", "");
  for (size_t i = 0; i < n; i++)
    {
      struct am_object e;

      r->keys[i] = malloc (sizeof (Amaranth__Key));
      if (!r->keys[i])
        return am_object_fail (o, AM_E_MEMORY, "keys", "");
      amaranth__key__init (r->keys[i]);
      r->key_count++;
      am_object_element (&e, o, "keys", i, AM_LEVEL_KEY);
      err = read_key (&e, r->keys[i]);
      if (err)
        return err;
    }
  return check_keys (o, r);
}
