#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/error.h"
#include "ctl/records.h"

#define RECORD_NAME "ticket-keys"
#define SECRET_SIZE 32
#define TEXT_SIZE 512
#define SCHEMA 2
/* Feeds renew their tickets at each PING, so a key may be dropped when every
   feed has sent several.  */
#define OVERLAP_MIN_S 60
#define OVERLAP_PINGS 10
#define MS_PER_S 1000

static void
make_secret (char *hex, size_t size)
{
  uint8_t secret[SECRET_SIZE];

  randombytes_buf (secret, sizeof secret);
  sodium_bin2hex (hex, size, secret, sizeof secret);
  sodium_memzero (secret, sizeof secret);
}

static const char *
state_of (const json_t *key)
{
  const char *state = json_string_value (json_object_get (key, "state"));

  return state ? state : "";
}

static json_t *
find_state (const json_t *root, const char *state)
{
  json_t *key;
  size_t i;

  json_array_foreach (json_object_get (root, "keys"), i,
                      key) if (strcmp (state_of (key), state) == 0) return key;
  return NULL;
}

/* Starts CHANGE from the present keys.  *FOUND tells if there are any.  */
static int
start (struct ctl *c, struct ctl_change *change, bool *found)
{
  const struct ctl_entry *entry;
  struct ctl_set set;
  int err = ctl_set_read (c, &set);

  *found = false;
  if (!err)
    {
      entry = ctl_set_find (&set, RECORD_NAME);
      *found = entry != NULL;
      if (entry && !entry->record.root)
        err = ctl_fail_fault (c, RECORD_NAME, &entry->fault);
      else if (entry)
        err = ctl_change_start (c, change, entry);
    }
  ctl_set_free (&set);
  return err;
}

static int
start_existing (struct ctl *c, struct ctl_change *change)
{
  bool found;
  int err = start (c, change, &found);

  if (!err && !found)
    err = ctl_fail (c, AM_E_NOT_FOUND, "no ticket keys; use keys init");
  return err;
}

static int
init (struct ctl *c, struct ctl_change *change)
{
  char secret[2 * SECRET_SIZE + 1];
  char text[TEXT_SIZE];
  struct am_fault f;
  bool found;
  int err = start (c, change, &found);

  if (err)
    return err;
  if (found)
    ctl_note (c, "ticket keys exist already");
  else
    {
      make_secret (secret, sizeof secret);
      snprintf (text, sizeof text,
                "{\"schema\":%d,\"kind\":\"keys\",\"name\":\"" RECORD_NAME
                "\",\"keys\":[{\"id\":1,\"secret\":\"%s\",\"state\":"
                "\"active\"}]}",
                SCHEMA, secret);
      memset (change, 0, sizeof *change);
      change->source = RECORD_NAME;
      change->base_known = true;
      err = am_record_parse_json (&change->mine, text, strlen (text), &f);
      if (err)
        return ctl_fail_fault (c, RECORD_NAME, &f);
    }
  return ctl_changes_commit (c, change, 1);
}

static json_int_t
next_id (const json_t *root)
{
  json_int_t highest = 0;
  json_t *key;
  size_t i;

  json_array_foreach (json_object_get (root, "keys"), i, key)
  {
    json_int_t id = json_integer_value (json_object_get (key, "id"));

    if (id > highest)
      highest = id;
  }
  return highest + 1;
}

static int
add_standby (struct ctl *c, struct ctl_change *change)
{
  json_t *root = change->mine.root;
  char secret[2 * SECRET_SIZE + 1];
  json_t *key;

  if (find_state (root, "standby"))
    {
      ctl_note (c, "going on with the standby key of an earlier rotation");
      return AM_OK;
    }
  make_secret (secret, sizeof secret);
  key = json_pack ("{s:I, s:s, s:s}", "id", next_id (root), "secret", secret,
                   "state", "standby");
  if (!key || json_array_append_new (json_object_get (root, "keys"), key))
    return ctl_no_memory (c);
  return ctl_change_reread (c, change);
}

static int
activate (struct ctl *c, struct ctl_change *change)
{
  json_t *old = find_state (change->mine.root, "active");
  json_t *fresh = find_state (change->mine.root, "standby");

  if (!fresh)
    return ctl_fail (c, AM_E_CONFLICT,
                     "the standby key is gone: another operator rotates keys");
  if (json_object_set_new (old, "state", json_string ("verify"))
      || json_object_set_new (old, "verify_since",
                              json_integer ((json_int_t)time (NULL)))
      || json_object_set_new (fresh, "state", json_string ("active")))
    return ctl_no_memory (c);
  return ctl_change_reread (c, change);
}

/* The first stage must be in force everywhere before the second begins: an
   entry VM without the key would refuse the new tickets.  */
static int
rotate (struct ctl *c, struct ctl_change *change)
{
  int err;

  if (c->no_wait)
    return ctl_fail (c, AM_E_ARGUMENT,
                     "keys rotate cannot go without waiting");
  err = start_existing (c, change);
  if (!err)
    err = add_standby (c, change);
  if (!err)
    err = ctl_changes_commit (c, change, 1);
  if (err)
    return err;
  ctl_say (c, "standby key in force; making it active");
  ctl_change_free (change);
  err = start_existing (c, change);
  if (!err)
    err = activate (c, change);
  return err ? err : ctl_changes_commit (c, change, 1);
}

/* Returns the time in which tickets under an old key are still renewed.  */
static int
find_overlap (struct ctl *c, json_int_t *seconds)
{
  struct ctl_set set;
  int err = ctl_set_read (c, &set);

  *seconds = OVERLAP_MIN_S;
  for (size_t i = 0; !err && i < set.count; i++)
    {
      const Amaranth__Service *s = set.entries[i].record.service;
      json_int_t needed
          = s ? (json_int_t)s->ping_interval_ms * OVERLAP_PINGS / MS_PER_S : 0;

      if (needed > *seconds)
        *seconds = needed;
    }
  ctl_set_free (&set);
  return err;
}

/* Drops the keys whose overlap has ended.  Sets *LEFT to the longest time
   that one of the others still needs.  */
static size_t
drop_old (json_t *keys, json_int_t overlap, json_int_t *left)
{
  json_int_t now = (json_int_t)time (NULL);
  size_t dropped = 0;

  *left = 0;
  for (size_t i = json_array_size (keys); i-- > 0;)
    {
      json_t *key = json_array_get (keys, i);
      const json_t *since = json_object_get (key, "verify_since");
      json_int_t end = (since ? json_integer_value (since) : now) + overlap;

      if (strcmp (state_of (key), "verify") != 0)
        continue;
      if (!since)
        json_object_set_new (key, "verify_since", json_integer (now));
      if (end <= now)
        {
          json_array_remove (keys, i);
          dropped++;
        }
      else if (end - now > *left)
        *left = end - now;
    }
  return dropped;
}

static int
prune (struct ctl *c, struct ctl_change *change)
{
  json_int_t overlap;
  json_int_t left;
  size_t dropped;
  int err = start_existing (c, change);

  if (!err)
    err = find_overlap (c, &overlap);
  if (err)
    return err;
  dropped
      = drop_old (json_object_get (change->mine.root, "keys"), overlap, &left);
  ctl_say (c, "dropping %zu old keys", dropped);
  err = ctl_change_reread (c, change);
  if (!err)
    err = ctl_changes_commit (c, change, 1);
  if (!err && left > 0)
    err = ctl_fail (c, AM_E_TIMEOUT,
                    "feeds may still use an old key; run keys prune again in "
                    "%lld s",
                    (long long)left);
  return err;
}

static const struct
{
  const char *name;
  int (*run) (struct ctl *c, struct ctl_change *change);
} actions[] = {
  { "init", init },
  { "rotate", rotate },
  { "prune", prune },
};

int
ctl_keys (struct ctl *c)
{
  for (size_t i = 0; i < sizeof actions / sizeof actions[0]; i++)
    if (strcmp (actions[i].name, c->arguments[0]) == 0)
      {
        struct ctl_change change = { 0 };
        int err = actions[i].run (c, &change);

        ctl_change_free (&change);
        return err;
      }
  return ctl_fail (c, AM_E_ARGUMENT,
                   "usage: amaranthctl keys init|rotate|prune");
}
