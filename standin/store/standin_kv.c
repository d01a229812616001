#include "store/standin_kv.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"

struct standin_copy
{
  char *name;
  struct standin_entry *entries;
  uint64_t index;
  UT_hash_handle hh;
};

static void
free_entries (struct standin_entry **entries)
{
  struct standin_entry *e = *entries;

  HASH_CLEAR (hh, *entries);
  while (e)
    {
      struct standin_entry *next = e->hh.next;

      free (e->key);
      free (e->value);
      free (e);
      e = next;
    }
}

static struct standin_entry *
new_entry (struct standin_entry **entries, const char *key)
{
  struct standin_entry *e = calloc (1, sizeof *e);

  if (!e)
    return NULL;
  e->key = strdup (key);
  if (!e->key)
    {
      free (e);
      return NULL;
    }
  HASH_ADD_KEYPTR (hh, *entries, e->key, strlen (e->key), e);
  return e;
}

/* Copies VALUE, which may be empty, with a final NUL.  */
static uint8_t *
copy_value (const uint8_t *value, size_t len)
{
  uint8_t *copy = malloc (len + 1);

  if (!copy)
    return NULL;
  if (len)
    memcpy (copy, value, len);
  copy[len] = '\0';
  return copy;
}

static int
copy_entries (struct standin_entry **to, struct standin_entry *from)
{
  *to = NULL;
  for (struct standin_entry *e = from; e; e = e->hh.next)
    {
      struct standin_entry *copy = new_entry (to, e->key);

      if (!copy)
        return AM_E_MEMORY;
      copy->create_index = e->create_index;
      copy->modify_index = e->modify_index;
      copy->lock_index = e->lock_index;
      memcpy (copy->session, e->session, sizeof copy->session);
      if (!e->value)
        continue;
      copy->value = copy_value (e->value, e->value_len);
      copy->value_len = e->value_len;
      if (!copy->value)
        return AM_E_MEMORY;
    }
  return AM_OK;
}

void
standin_kv_init (struct standin_kv *kv)
{
  memset (kv, 0, sizeof *kv);
  kv->index = 1;
}

static void
free_sessions (struct standin_session **sessions)
{
  struct standin_session *s = *sessions;

  HASH_CLEAR (hh, *sessions);
  while (s)
    {
      struct standin_session *next = s->hh.next;

      free (s);
      s = next;
    }
}

void
standin_kv_finish (struct standin_kv *kv)
{
  struct standin_copy *c = kv->copies;

  free_entries (&kv->entries);
  free_sessions (&kv->sessions);
  HASH_CLEAR (hh, kv->copies);
  while (c)
    {
      struct standin_copy *next = c->hh.next;

      free_entries (&c->entries);
      free (c->name);
      free (c);
      c = next;
    }
}

static bool
matches (const struct standin_entry *e, const char *prefix, bool exact)
{
  return exact ? strcmp (e->key, prefix) == 0
               : strncmp (e->key, prefix, strlen (prefix)) == 0;
}

uint64_t
standin_kv_index (const struct standin_kv *kv, const char *prefix)
{
  uint64_t index = 1;

  for (const struct standin_entry *e = kv->entries; e; e = e->hh.next)
    if (matches (e, prefix, false) && e->modify_index > index)
      index = e->modify_index;
  return index;
}

static json_t *
describe (const struct standin_entry *e)
{
  size_t size = sodium_base64_ENCODED_LEN (e->value_len,
                                           sodium_base64_VARIANT_ORIGINAL);
  char *text = malloc (size);
  json_t *o;

  if (!text)
    return NULL;
  sodium_bin2base64 (text, size, e->value, e->value_len,
                     sodium_base64_VARIANT_ORIGINAL);
  o = json_pack ("{s:I,s:s,s:i,s:s,s:I,s:I}", "LockIndex",
                 (json_int_t)e->lock_index, "Key", e->key, "Flags", 0, "Value",
                 text, "CreateIndex", (json_int_t)e->create_index,
                 "ModifyIndex", (json_int_t)e->modify_index);
  free (text);
  if (o && *e->session)
    json_object_set_new (o, "Session", json_string (e->session));
  return o;
}

static int
by_key (const struct standin_entry *a, const struct standin_entry *b)
{
  return strcmp (a->key, b->key);
}

json_t *
standin_kv_read (struct standin_kv *kv, const char *prefix, bool exact)
{
  json_t *list = json_array ();

  HASH_SORT (kv->entries, by_key);
  for (struct standin_entry *e = kv->entries; e; e = e->hh.next)
    if (e->value && matches (e, prefix, exact))
      json_array_append_new (list, describe (e));
  return list;
}

static size_t
name_length (const char *key, size_t prefix_len, const char *separator)
{
  const char *end
      = separator && *separator ? strstr (key + prefix_len, separator) : NULL;

  return end ? (size_t)(end - key) + strlen (separator) : strlen (key);
}

json_t *
standin_kv_names (struct standin_kv *kv, const char *prefix,
                  const char *separator)
{
  json_t *list = json_array ();
  const char *last = "";
  size_t last_len = 0;

  HASH_SORT (kv->entries, by_key);
  for (struct standin_entry *e = kv->entries; e; e = e->hh.next)
    {
      size_t len;

      if (!e->value || !matches (e, prefix, false))
        continue;
      len = name_length (e->key, strlen (prefix), separator);
      if (len == last_len && strncmp (e->key, last, len) == 0)
        continue;
      json_array_append_new (list, json_stringn (e->key, len));
      last = e->key;
      last_len = len;
    }
  return list;
}

static struct standin_entry *
find (struct standin_kv *kv, const char *key)
{
  struct standin_entry *e;

  HASH_FIND_STR (kv->entries, key, e);
  return e;
}

static struct standin_session *
find_session (struct standin_kv *kv, const char *id)
{
  struct standin_session *s;

  HASH_FIND_STR (kv->sessions, id, s);
  return s;
}

/* Checks C against the entry E, which may be NULL.  */
static int
check (struct standin_kv *kv, const struct standin_entry *e,
       const struct standin_condition *c)
{
  uint64_t present = e && e->value ? e->modify_index : 0;

  if (c->has_cas && c->cas != present)
    return AM_E_CONFLICT;
  if (c->acquire)
    {
      if (!find_session (kv, c->acquire))
        return AM_E_NOT_FOUND;
      if (e && *e->session && strcmp (e->session, c->acquire) != 0)
        return AM_E_CONFLICT;
    }
  if (c->release && (!e || strcmp (e->session, c->release) != 0))
    return AM_E_CONFLICT;
  return AM_OK;
}

static void
lock (struct standin_entry *e, const struct standin_condition *c)
{
  if (c->acquire && !*e->session)
    {
      snprintf (e->session, sizeof e->session, "%s", c->acquire);
      e->lock_index++;
    }
  if (c->release)
    e->session[0] = '\0';
}

int
standin_kv_write (struct standin_kv *kv, const char *key, const uint8_t *value,
                  size_t len, const struct standin_condition *c)
{
  struct standin_entry *e = find (kv, key);
  int err = check (kv, e, c);
  uint8_t *copy;

  if (err)
    return err;
  copy = copy_value (value, len);
  if (!copy)
    return AM_E_MEMORY;
  if (!e)
    e = new_entry (&kv->entries, key);
  if (!e)
    {
      free (copy);
      return AM_E_MEMORY;
    }
  kv->index++;
  if (!e->value)
    e->create_index = kv->index;
  free (e->value);
  e->value = copy;
  e->value_len = len;
  e->modify_index = kv->index;
  lock (e, c);
  return AM_OK;
}

int
standin_kv_delete (struct standin_kv *kv, const char *key, bool recurse,
                   const struct standin_condition *c)
{
  int err = recurse ? AM_OK : check (kv, find (kv, key), c);

  if (err)
    return err;
  kv->index++;
  for (struct standin_entry *e = kv->entries; e; e = e->hh.next)
    if (e->value && matches (e, key, !recurse))
      {
        free (e->value);
        e->value = NULL;
        e->value_len = 0;
        e->modify_index = kv->index;
        e->session[0] = '\0';
      }
  return AM_OK;
}

const char *
standin_kv_session (struct standin_kv *kv, uint64_t ttl_us, uint64_t now_us)
{
  struct standin_session *s = calloc (1, sizeof *s);

  if (!s)
    return NULL;
  snprintf (s->id, sizeof s->id, "5e551000-0000-4000-8000-%012" PRIx64,
            ++kv->session_number & 0xffffffffffffu);
  s->ttl_us = ttl_us;
  s->expires_us = now_us + ttl_us;
  HASH_ADD_STR (kv->sessions, id, s);
  return s->id;
}

bool
standin_kv_renew (struct standin_kv *kv, const char *id, uint64_t now_us)
{
  struct standin_session *s = find_session (kv, id);

  if (!s)
    return false;
  s->expires_us = now_us + s->ttl_us;
  return true;
}

bool
standin_kv_destroy (struct standin_kv *kv, const char *id)
{
  struct standin_session *s = find_session (kv, id);

  if (!s)
    return false;
  kv->index++;
  for (struct standin_entry *e = kv->entries; e; e = e->hh.next)
    if (strcmp (e->session, s->id) == 0)
      {
        e->session[0] = '\0';
        e->modify_index = kv->index;
      }
  HASH_DEL (kv->sessions, s);
  free (s);
  return true;
}

bool
standin_kv_expire (struct standin_kv *kv, uint64_t now_us)
{
  struct standin_session *s = kv->sessions;
  bool any = false;

  while (s)
    {
      struct standin_session *next = s->hh.next;

      if (s->ttl_us && s->expires_us <= now_us)
        any |= standin_kv_destroy (kv, s->id);
      s = next;
    }
  return any;
}

int
standin_kv_keep (struct standin_kv *kv, const char *name)
{
  struct standin_copy *c;

  HASH_FIND_STR (kv->copies, name, c);
  if (!c)
    {
      c = calloc (1, sizeof *c);
      if (!c)
        return AM_E_MEMORY;
      c->name = strdup (name);
      if (!c->name)
        {
          free (c);
          return AM_E_MEMORY;
        }
      HASH_ADD_KEYPTR (hh, kv->copies, c->name, strlen (c->name), c);
    }
  free_entries (&c->entries);
  c->index = kv->index;
  return copy_entries (&c->entries, kv->entries);
}

int
standin_kv_restore (struct standin_kv *kv, const char *name)
{
  struct standin_copy *c;

  HASH_FIND_STR (kv->copies, name, c);
  if (!c)
    return AM_E_NOT_FOUND;
  free_entries (&kv->entries);
  kv->index = c->index;
  return copy_entries (&kv->entries, c->entries);
}
