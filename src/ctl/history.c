#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/error.h"
#include "ctl/records.h"
#include "io/store_client.h"

#define ATTEMPTS_MAX 8
/* The platform's store takes values up to 1 MB.  */
#define HISTORY_TEXT_MAX 900000
#define KEY_SIZE 128

int
ctl_history_read (struct ctl *c, const char *name, json_t **list,
                  uint64_t *index)
{
  struct am_store_result r;
  char key[KEY_SIZE];
  int err;

  snprintf (key, sizeof key, CTL_HISTORY_PREFIX "%s", name);
  *index = 0;
  *list = NULL;
  err = am_store_read_now (c->store_url, c->store_timeout_ms, key, &r);
  for (size_t i = 0; !err && i < r.entry_count; i++)
    if (strcmp (r.entries[i].key, key) == 0)
      {
        *index = r.entries[i].modify_index;
        *list = json_loadb ((const char *)r.entries[i].value,
                            r.entries[i].value_len, 0, NULL);
      }
  am_store_result_free (&r);
  if (err && err != AM_E_NOT_FOUND)
    return ctl_fail (c, err, "%s: %s", c->store_url, am_error_text (err));
  if (!json_is_array (*list))
    {
      json_decref (*list);
      *list = json_array ();
    }
  return *list ? AM_OK : ctl_no_memory (c);
}

static json_t *
history_entry (const struct am_record *r)
{
  char *text = am_record_to_json (r);
  json_t *record = text ? json_loads (text, 0, NULL) : NULL;

  free (text);
  ctl_hide_secrets (record);
  return json_pack ("{s:I, s:s, s:I, s:o}", "revision",
                    (json_int_t)r->revision, "write_id", r->write_id, "time",
                    (json_int_t)time (NULL), "record", record);
}

/* Cuts LIST to its bounds and gives its text, which the caller frees.  */
static char *
history_text (json_t *list)
{
  char *text = NULL;

  while (json_array_size (list) > CTL_HISTORY_MAX)
    json_array_remove (list, CTL_HISTORY_MAX);
  for (;;)
    {
      text = json_dumps (list, JSON_COMPACT | JSON_SORT_KEYS);
      if (!text || strlen (text) <= HISTORY_TEXT_MAX)
        return text;
      free (text);
      json_array_remove (list, json_array_size (list) - 1);
    }
}

static int
write_history (struct ctl *c, const struct am_record *r, json_t *list,
               uint64_t index)
{
  struct am_store_result result;
  char key[KEY_SIZE];
  char *text = history_text (list);
  int err;

  if (!text)
    return AM_E_MEMORY;
  snprintf (key, sizeof key, CTL_HISTORY_PREFIX "%s", r->name);
  err = am_store_write_now (c->store_url, c->store_timeout_ms, key,
                            (const uint8_t *)text, strlen (text), index,
                            &result);
  am_store_result_free (&result);
  free (text);
  return err;
}

static bool
has_version (const json_t *list, const struct am_record *r)
{
  json_t *entry;
  size_t i;

  json_array_foreach (list, i, entry)
  {
    const char *id = json_string_value (json_object_get (entry, "write_id"));

    if (id && strcmp (id, r->write_id) == 0)
      return true;
  }
  return false;
}

void
ctl_history_add (struct ctl *c, const struct ctl_change *change)
{
  const struct am_record *r = &change->merged;
  int err = AM_E_CONFLICT;

  for (unsigned i = 0; i < ATTEMPTS_MAX && err; i++)
    {
      json_t *list;
      uint64_t index;

      err = ctl_history_read (c, r->name, &list, &index);
      if (err)
        break;
      if (!has_version (list, r))
        {
          json_array_insert_new (list, 0, history_entry (r));
          err = write_history (c, r, list, index);
        }
      json_decref (list);
    }
  if (err)
    ctl_note (c, "%s: revision %llu is not in the history: %s", r->name,
              (unsigned long long)r->revision, am_error_text (err));
}
