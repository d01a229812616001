#include "ctl/records.h"

#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "base/error.h"
#include "ctl/exchange.h"
#include "io/store_client.h"
#include "io/yaml_file.h"

static struct ctl_entry *
add_entry (struct ctl_set *set, const char *name)
{
  struct ctl_entry *grown
      = realloc (set->entries, (set->count + 1) * sizeof *grown);

  if (!grown)
    return NULL;
  set->entries = grown;
  grown += set->count++;
  memset (grown, 0, sizeof *grown);
  snprintf (grown->name, sizeof grown->name, "%s", name);
  return grown;
}

/* A record whose key and name differ cannot be told apart safely.  */
static void
parse_entry (struct ctl_entry *e, const uint8_t *text, size_t len)
{
  if (am_record_parse_json (&e->record, (const char *)text, len, &e->fault))
    return;
  if (strcmp (e->record.name, e->name) == 0)
    return;
  am_record_finish (&e->record);
  e->fault.error = AM_E_FIELD_VALUE;
  snprintf (e->fault.field, sizeof e->fault.field, "name");
  snprintf (e->fault.allowed, sizeof e->fault.allowed, "%s", e->name);
}

static int
take_entries (struct ctl_set *set, const struct am_store_result *r)
{
  const size_t prefix = strlen (AM_RECORD_PREFIX);

  for (size_t i = 0; i < r->entry_count; i++)
    {
      const struct am_store_entry *from = &r->entries[i];
      struct ctl_entry *e;

      if (strncmp (from->key, AM_RECORD_PREFIX, prefix) != 0)
        continue;
      e = add_entry (set, from->key + prefix);
      if (!e)
        return AM_E_MEMORY;
      e->index = from->modify_index;
      parse_entry (e, from->value, from->value_len);
    }
  return AM_OK;
}

/* Takes the record TEXT of an agent if it is newer than the store's.  */
static int
take_newer (struct ctl *c, struct ctl_set *set, const Amaranth__Record *from)
{
  struct am_record r;
  struct am_fault f;
  struct ctl_entry *e;

  if (am_record_parse_json (&r, (const char *)from->text.data, from->text.len,
                            &f))
    return AM_OK;
  e = ctl_set_find (set, r.name);
  if (e
      && am_record_compare (r.revision, r.write_id, e->record.revision,
                            e->record.write_id)
             <= 0)
    {
      am_record_finish (&r);
      return AM_OK;
    }
  ctl_note (c,
            "%s: the store holds revision %llu, agents have %llu; going on "
            "from the agents' version",
            r.name, e ? (unsigned long long)e->record.revision : 0,
            (unsigned long long)r.revision);
  if (!e)
    e = add_entry (set, r.name);
  if (!e)
    {
      am_record_finish (&r);
      return AM_E_MEMORY;
    }
  am_record_finish (&e->record);
  e->record = r;
  return AM_OK;
}

static void
set_have (Amaranth__RecordVersion *v, struct ctl_entry *e)
{
  amaranth__record_version__init (v);
  v->name = e->name;
  v->revision = e->record.revision;
  v->write_id = e->record.write_id;
}

static int
take_replies (struct ctl *c, struct ctl_set *set,
              const struct ctl_exchange *list, size_t n)
{
  int err = AM_OK;

  for (size_t i = 0; i < n; i++)
    for (size_t j = 0; j < list[i].reply_count; j++)
      {
        const Amaranth__Envelope *reply = list[i].replies[j];

        if (reply->body_case != AMARANTH__ENVELOPE__BODY_RECORD_LIST)
          continue;
        for (size_t k = 0; k < reply->record_list->n_records && !err; k++)
          err = take_newer (c, set, reply->record_list->records[k]);
      }
  return err;
}

static int
ask_newer (struct ctl *c, struct ctl_set *set, Amaranth__DigestRequest *body)
{
  struct ctl_exchange list[CTL_AGENTS_MAX];
  Amaranth__Envelope request = AMARANTH__ENVELOPE__INIT;
  int err;

  request.body_case = AMARANTH__ENVELOPE__BODY_DIGEST_REQUEST;
  request.digest_request = body;
  for (size_t i = 0; i < c->agent_count; i++)
    ctl_exchange_init (&list[i], c->agents[i], &request,
                       AMARANTH__ENVELOPE__BODY_STATUS_REPLY);
  ctl_exchange_run (list, c->agent_count, c->key, CTL_AGENT_TIMEOUT_MS);
  err = take_replies (c, set, list, c->agent_count);
  for (size_t i = 0; i < c->agent_count; i++)
    ctl_exchange_finish (&list[i]);
  return err;
}

/* Agents that cannot be asked change nothing.  */
static int
refresh (struct ctl *c, struct ctl_set *set)
{
  Amaranth__DigestRequest body = AMARANTH__DIGEST_REQUEST__INIT;
  Amaranth__RecordVersion *versions
      = calloc (set->count + 1, sizeof *versions);
  Amaranth__RecordVersion **have
      = calloc (set->count + 1, sizeof (Amaranth__RecordVersion *));
  int err = AM_E_MEMORY;

  if (versions && have)
    {
      for (size_t i = 0; i < set->count; i++)
        {
          set_have (&versions[i], &set->entries[i]);
          have[i] = &versions[i];
        }
      body.n_have = set->count;
      body.have = have;
      err = ask_newer (c, set, &body);
    }
  free (versions);
  free (have);
  return err;
}

int
ctl_set_read (struct ctl *c, struct ctl_set *set)
{
  struct am_store_result r;
  int err;

  memset (set, 0, sizeof *set);
  err = am_store_read_now (c->store_url, c->store_timeout_ms, AM_RECORD_PREFIX,
                           &r);
  if (err == AM_E_NOT_FOUND)
    err = AM_OK;
  else if (err)
    err = ctl_fail (c, err, "%s: %s", c->store_url, am_error_text (err));
  else if (take_entries (set, &r))
    err = ctl_no_memory (c);
  am_store_result_free (&r);
  if (!err && c->agent_count && c->key_file && refresh (c, set))
    err = ctl_no_memory (c);
  return err;
}

void
ctl_set_free (struct ctl_set *set)
{
  for (size_t i = 0; i < set->count; i++)
    am_record_finish (&set->entries[i].record);
  free (set->entries);
  memset (set, 0, sizeof *set);
}

struct ctl_entry *
ctl_set_find (const struct ctl_set *set, const char *name)
{
  for (size_t i = 0; i < set->count; i++)
    if (strcmp (set->entries[i].name, name) == 0)
      return &set->entries[i];
  return NULL;
}

static int
read_file (struct ctl *c, const char *path, struct ctl_file *file)
{
  struct am_fault f;
  int err;

  memset (file, 0, sizeof *file);
  file->path = strdup (path);
  if (!file->path)
    return ctl_no_memory (c);
  err = am_file_read (path, &file->text, &file->len, &f);
  if (!err)
    err = am_record_parse_yaml (&file->record, file->text, file->len, &f);
  return err ? ctl_fail_fault (c, path, &f) : AM_OK;
}

static const struct ctl_file *
find_file (const struct ctl_file *files, size_t n, const char *name,
           size_t len)
{
  const struct ctl_file *last = NULL;

  for (size_t i = 0; i < n; i++)
    if (strlen (files[i].record.name) == len
        && memcmp (files[i].record.name, name, len) == 0)
      last = &files[i];
  return last;
}

/* A fault in a set names the record in front of the field.  */
static int
fail_in_set (struct ctl *c, const struct ctl_file *files, size_t n,
             struct am_fault *f)
{
  const char *colon = strstr (f->field, ": ");
  const struct ctl_file *file = NULL;
  char field[sizeof f->field];

  if (colon)
    file = find_file (files, n, f->field, (size_t)(colon - f->field));
  if (!file)
    return ctl_fail_fault (c, "records", f);
  snprintf (field, sizeof field, "%s", colon + 2);
  memcpy (f->field, field, sizeof field);
  f->line = am_record_yaml_line (file->text, file->len, field);
  return ctl_fail_fault (c, file->path, f);
}

static int
check_files (struct ctl *c, const struct ctl_file *files, size_t n)
{
  const struct am_record **set
      = calloc (n + 1, sizeof (const struct am_record *));
  struct am_fault f;
  int err;

  if (!set)
    return ctl_no_memory (c);
  for (size_t i = 0; i < n; i++)
    set[i] = &files[i].record;
  err = am_record_validate_set (set, n, &f);
  free (set);
  return err ? fail_in_set (c, files, n, &f) : AM_OK;
}

int
ctl_files_read_list (struct ctl *c, char *const *paths, size_t path_count,
                     struct ctl_file **files, size_t *n)
{
  int first = AM_OK;

  *n = 0;
  *files = calloc (path_count + 1, sizeof **files);
  if (!*files)
    return ctl_no_memory (c);
  for (size_t i = 0; i < path_count; i++)
    {
      int err = read_file (c, paths[i], &(*files)[(*n)++]);

      if (!first)
        first = err;
    }
  return first ? first : check_files (c, *files, *n);
}

static int
is_yaml (const struct dirent *d)
{
  const char *dot = strrchr (d->d_name, '.');

  return d->d_name[0] != '.' && dot && strcmp (dot, ".yaml") == 0;
}

static void
free_paths (char **paths, size_t n)
{
  for (size_t i = 0; i < n; i++)
    free (paths[i]);
  free (paths);
}

static int
read_folder (struct ctl *c, const char *folder, struct ctl_file **files,
             size_t *n)
{
  struct dirent **found;
  int count = scandir (folder, &found, is_yaml, alphasort);
  char **paths;
  int err = AM_OK;

  if (count < 0)
    return ctl_fail (c, AM_E_IO, "%s: folder cannot be read", folder);
  paths = calloc ((size_t)count + 1, sizeof *paths);
  for (int i = 0; i < count; i++)
    {
      if (paths && asprintf (&paths[i], "%s/%s", folder, found[i]->d_name) < 0)
        {
          paths[i] = NULL;
          err = AM_E_MEMORY;
        }
      free (found[i]);
    }
  free (found);
  if (!paths || err)
    err = ctl_no_memory (c);
  else if (count == 0)
    err = ctl_fail (c, AM_E_NOT_FOUND, "%s: no *.yaml file", folder);
  else
    err = ctl_files_read_list (c, paths, (size_t)count, files, n);
  if (paths)
    free_paths (paths, (size_t)count);
  return err;
}

int
ctl_files_read (struct ctl *c, const char *path, struct ctl_file **files,
                size_t *n)
{
  char *one = (char *)path;
  struct stat st;

  *files = NULL;
  *n = 0;
  if (stat (path, &st) == 0 && S_ISDIR (st.st_mode))
    return read_folder (c, path, files, n);
  return ctl_files_read_list (c, &one, 1, files, n);
}

void
ctl_files_free (struct ctl_file *files, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      am_record_finish (&files[i].record);
      free (files[i].text);
      free (files[i].path);
    }
  free (files);
}

void
ctl_hide_secrets (json_t *root)
{
  json_t *key;
  size_t i;

  json_array_foreach (json_object_get (root, "keys"), i, key)
      json_object_set_new (key, "secret", json_string ("(hidden)"));
}
