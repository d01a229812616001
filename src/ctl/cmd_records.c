#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/error.h"
#include "ctl/records.h"

#define TIME_SIZE 32

int
ctl_validate (struct ctl *c)
{
  struct ctl_file *files;
  size_t n;
  int err
      = ctl_files_read_list (c, c->arguments, c->argument_count, &files, &n);

  for (size_t i = 0; !err && i < n; i++)
    ctl_say (c, "%s: %s is valid (schema %u)", files[i].path,
             files[i].record.name, files[i].record.schema);
  ctl_result (c, "files", json_integer ((json_int_t)n));
  ctl_files_free (files, n);
  return err;
}

/* ---- records in files ---- */

/* A file that names the revision it was made from is merged from there.  */
static int
find_base (struct ctl *c, const struct ctl_file *file,
           struct ctl_change *change)
{
  json_t *list;
  json_t *entry;
  uint64_t index;
  size_t i;
  int err;

  if (file->record.revision == 0 || file->record.kind != AM_RECORD_SERVICE)
    return AM_OK;
  err = ctl_history_read (c, file->record.name, &list, &index);
  if (err)
    return err;
  err = AM_E_NOT_FOUND;
  json_array_foreach (list, i,
                      entry) if (err
                                 && (uint64_t)json_integer_value (
                                        json_object_get (entry, "revision"))
                                        == file->record.revision)
  {
    char *text = json_dumps (json_object_get (entry, "record"), 0);
    struct am_fault f;

    if (text)
      err = am_record_parse_json (&change->base, text, strlen (text), &f);
    free (text);
  }
  json_decref (list);
  change->base_known = !err;
  return err ? ctl_fail (c, AM_E_CONFLICT,
                         "%s: revision %llu of %s is not in its history; take "
                         "the present one with get",
                         file->path, (unsigned long long)file->record.revision,
                         file->record.name)
             : AM_OK;
}

/* Turns files into changes; the records move.  */
static int
make_changes (struct ctl *c, struct ctl_file *files, size_t n,
              struct ctl_change **changes)
{
  int err = AM_OK;

  *changes = calloc (n + 1, sizeof **changes);
  if (!*changes)
    return ctl_no_memory (c);
  for (size_t i = 0; i < n && !err; i++)
    {
      struct ctl_change *change = &(*changes)[i];

      change->source = files[i].path;
      err = find_base (c, &files[i], change);
      change->mine = files[i].record;
      memset (&files[i].record, 0, sizeof files[i].record);
    }
  return err;
}

static void
free_changes (struct ctl_change *changes, size_t n)
{
  for (size_t i = 0; changes && i < n; i++)
    ctl_change_free (&changes[i]);
  free (changes);
}

int
ctl_run_on_files (struct ctl *c,
                  int (*act) (struct ctl *c, struct ctl_change *changes,
                              size_t n))
{
  struct ctl_change *changes = NULL;
  struct ctl_file *files;
  size_t n;
  int err = ctl_files_read (c, c->arguments[0], &files, &n);

  if (!err)
    err = make_changes (c, files, n, &changes);
  if (!err)
    err = act (c, changes, n);
  free_changes (changes, n);
  ctl_files_free (files, n);
  return err;
}

int
ctl_apply (struct ctl *c)
{
  return ctl_run_on_files (c, ctl_changes_commit);
}

/* ---- single records ---- */

/* Finds the record NAME in SET, or reports why not.  */
static int
find (struct ctl *c, const struct ctl_set *set, const char *name,
      struct ctl_entry **entry)
{
  *entry = ctl_set_find (set, name);
  if (!*entry)
    return ctl_fail (c, AM_E_NOT_FOUND, "record '%s' does not exist", name);
  if (!(*entry)->record.root)
    return ctl_fail_fault (c, name, &(*entry)->fault);
  return AM_OK;
}

int
ctl_get (struct ctl *c)
{
  struct ctl_set set;
  struct ctl_entry *entry;
  int err = ctl_set_read (c, &set);

  if (!err)
    err = find (c, &set, c->arguments[0], &entry);
  if (!err)
    {
      char *text;

      ctl_hide_secrets (entry->record.root);
      text = json_dumps (entry->record.root, JSON_INDENT (2) | JSON_SORT_KEYS);
      if (text)
        ctl_say (c, "%s", text);
      free (text);
      ctl_result (c, "record", json_incref (entry->record.root));
    }
  ctl_set_free (&set);
  return err;
}

static void
list_service (struct ctl *c, const struct am_record *r, json_t *list)
{
  const Amaranth__Service *s = r->service;
  struct am_address a = { s->ip, (uint16_t)s->port };
  char address[AM_ADDRESS_TEXT_SIZE];
  int states[3] = { 0 };

  for (size_t i = 0; i < s->n_upstreams; i++)
    states[s->upstreams[i]->state]++;
  am_address_format (a, address);
  ctl_say (c,
           "%-20s service schema %u revision %llu %s %s: %d active, %d "
           "leaving, %d retired",
           r->name, r->schema, (unsigned long long)r->revision, address,
           s->retired ? "(retired)" : "", states[0], states[1], states[2]);
  json_array_append_new (
      list, json_pack ("{s:s, s:s, s:i, s:I, s:s, s:b, s:i, s:i, s:i}", "name",
                       r->name, "kind", "service", "schema", (int)r->schema,
                       "revision", (json_int_t)r->revision, "address", address,
                       "retired", s->retired, "active", states[0], "leaving",
                       states[1], "retired_upstreams", states[2]));
}

static void
list_entry (struct ctl *c, const struct ctl_entry *e, json_t *list)
{
  char line[512];

  if (!e->record.root)
    {
      am_fault_format (&e->fault, e->name, line, sizeof line);
      ctl_say (c, "%s", line);
      json_array_append_new (
          list, json_pack ("{s:s, s:s}", "name", e->name, "fault", line));
    }
  else if (e->record.service)
    list_service (c, &e->record, list);
  else
    {
      ctl_say (c, "%-20s keys    schema %u revision %llu: %zu keys", e->name,
               e->record.schema, (unsigned long long)e->record.revision,
               e->record.key_count);
      json_array_append_new (
          list, json_pack ("{s:s, s:s, s:i, s:I, s:i}", "name", e->name,
                           "kind", "keys", "schema", (int)e->record.schema,
                           "revision", (json_int_t)e->record.revision, "keys",
                           (int)e->record.key_count));
    }
}

int
ctl_list (struct ctl *c)
{
  struct ctl_set set;
  json_t *list = json_array ();
  int err = ctl_set_read (c, &set);

  for (size_t i = 0; !err && i < set.count; i++)
    list_entry (c, &set.entries[i], list);
  if (!err && set.count == 0)
    ctl_say (c, "no records");
  ctl_result (c, "records", list);
  ctl_set_free (&set);
  return err;
}

int
ctl_retire (struct ctl *c)
{
  struct ctl_change change = { 0 };
  struct ctl_set set;
  struct ctl_entry *entry;
  int err = ctl_set_read (c, &set);

  if (!err)
    err = find (c, &set, c->arguments[0], &entry);
  if (!err && !entry->record.service)
    err = ctl_fail (c, AM_E_STATE, "'%s' is no service", entry->name);
  if (!err)
    err = ctl_change_start (c, &change, entry);
  if (!err)
    {
      json_object_set_new (change.mine.root, "retired", json_true ());
      err = ctl_change_reread (c, &change);
    }
  if (!err)
    err = ctl_changes_commit (c, &change, 1);
  ctl_change_free (&change);
  ctl_set_free (&set);
  return err;
}

int
ctl_history (struct ctl *c)
{
  json_t *list;
  json_t *entry;
  uint64_t index;
  size_t i;
  int err = ctl_history_read (c, c->arguments[0], &list, &index);

  if (err)
    return err;
  if (json_array_size (list) == 0)
    err = ctl_fail (c, AM_E_NOT_FOUND, "record '%s' has no history",
                    c->arguments[0]);
  json_array_foreach (list, i, entry)
  {
    time_t t = (time_t)json_integer_value (json_object_get (entry, "time"));
    char text[TIME_SIZE] = "";
    struct tm tm;

    if (gmtime_r (&t, &tm))
      strftime (text, sizeof text, "%Y-%m-%d %H:%M:%S UTC", &tm);
    ctl_say (
        c, "revision %lld, %s, write id %s",
        (long long)json_integer_value (json_object_get (entry, "revision")),
        text, json_string_value (json_object_get (entry, "write_id")));
  }
  ctl_result (c, "versions", list);
  return err;
}
