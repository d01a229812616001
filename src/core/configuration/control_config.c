#include "core/configuration/control_config.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "base/log.h"

#define RECORDS_MAX 8192

static uint64_t
version_digest (const char *name, uint64_t revision, const char *write_id)
{
  uint64_t h = am_hash_bytes (name, strlen (name), revision);

  return am_hash_bytes (write_id, strlen (write_id), h);
}

void
am_config_init (struct am_control *c)
{
  am_list_init (&c->config.recent);
}

static void
free_parsed (struct am_config_entry *e)
{
  if (e->service)
    amaranth__service__free_unpacked (e->service, NULL);
  for (size_t i = 0; i < e->key_count; i++)
    amaranth__key__free_unpacked (e->keys[i], NULL);
  free (e->keys);
  free (e->text);
  e->service = NULL;
  e->keys = NULL;
  e->key_count = 0;
  e->text = NULL;
}

void
am_config_finish (struct am_control *c)
{
  struct am_config_entry *e;
  struct am_config_entry *next;

  HASH_ITER (by_name, c->config.by_name, e, next)
  {
    /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): false, by uthash */
    HASH_DELETE (by_name, c->config.by_name, e);
    free_parsed (e);
    free (e);
  }
}

struct am_config_entry *
am_config_find (const struct am_control *c, const char *name)
{
  struct am_config_entry *e;

  HASH_FIND (by_name, c->config.by_name, name, strlen (name), e);
  return e;
}

static bool
was_refused (const struct am_control *c, const char *name, uint64_t revision,
             const char *write_id)
{
  for (size_t i = 0; i < AM_REFUSED_MAX; i++)
    {
      const struct am_refused *r = &c->config.refused[i];

      if (r->name[0] && r->revision == revision && strcmp (r->name, name) == 0
          && strcmp (r->write_id, write_id) == 0)
        return true;
    }
  return false;
}

bool
am_config_lacks (const struct am_control *c, const char *name,
                 uint64_t revision, const char *write_id)
{
  const struct am_config_entry *e = am_config_find (c, name);

  if (e
      && am_record_compare (revision, write_id, e->revision, e->write_id) <= 0)
    return false;
  return !was_refused (c, name, revision, write_id);
}

/* Reads the version without the rest of the record, so that a version that
   this program cannot parse is still recognised the next time.  */
static int
peek (const uint8_t *text, size_t len, uint64_t *revision, char *write_id)
{
  json_t *root
      = json_loadb ((const char *)text, len, JSON_REJECT_DUPLICATES, NULL);
  const char *id = json_string_value (json_object_get (root, "write_id"));
  json_int_t n = json_integer_value (json_object_get (root, "revision"));
  bool fits = id && strlen (id) < AM_WRITE_ID_SIZE && n > 0;

  if (fits)
    {
      *revision = (uint64_t)n;
      am_copy_text (write_id, AM_WRITE_ID_SIZE, id);
    }
  json_decref (root);
  return fits ? AM_OK : AM_E_FORMAT;
}

static void
refuse (struct am_control *c, const char *name, uint64_t revision,
        const char *write_id, const struct am_fault *f)
{
  struct am_refused *r = &c->config.refused[c->config.refused_next];

  c->config.refused_next = (c->config.refused_next + 1) % AM_REFUSED_MAX;
  am_copy_text (r->name, sizeof r->name, name);
  am_copy_text (r->write_id, sizeof r->write_id, write_id);
  r->revision = revision;
  c->counters.records_refused++;
  am_control_log (
      c, AM_LOG_WARNING,
      "event=config_refused record=%s revision=%llu error=%s field=%s", name,
      (unsigned long long)revision, am_error_name (f->error), f->field);
}

static int
refuse_older (struct am_control *c, struct am_config_entry *e,
              uint64_t revision, enum am_config_source source)
{
  if (source == AM_CONFIG_PEER)
    {
      c->counters.records_older++;
      return AM_E_REVISION;
    }
  if (e->floor_reported != c->readers.index + 1)
    {
      c->counters.store_older++;
      am_control_log (c, AM_LOG_WARNING,
                      "event=config_refused record=%s revision=%llu held=%llu "
                      "error=store_old",
                      e->name, (unsigned long long)revision,
                      (unsigned long long)e->revision);
    }
  e->floor_reported = c->readers.index + 1;
  return AM_E_STORE_OLD;
}

static bool
same_text (const uint8_t *a, size_t a_len, const uint8_t *b, size_t b_len)
{
  return a_len == b_len && memcmp (a, b, a_len) == 0;
}

static bool
same_content (const uint8_t *a, size_t a_len, const uint8_t *b, size_t b_len)
{
  json_t *x;
  json_t *y;
  bool same;

  if (same_text (a, a_len, b, b_len))
    return true;
  x = json_loadb ((const char *)a, a_len, 0, NULL);
  y = json_loadb ((const char *)b, b_len, 0, NULL);
  same = json_equal (x, y) == 1;
  json_decref (x);
  json_decref (y);
  return same;
}

static void
report_equal (struct am_control *c, const struct am_config_entry *e,
              const char *write_id)
{
  c->counters.records_equal_revision++;
  am_control_log (c, AM_LOG_WARNING,
                  "event=config_conflict record=%s revision=%llu write_id=%s "
                  "held_write_id=%s",
                  e->name, (unsigned long long)e->revision, write_id,
                  e->write_id);
}

static struct am_config_entry *
entry_for (struct am_control *c, const char *name)
{
  struct am_config_entry *e = am_config_find (c, name);

  if (e || c->config.count >= RECORDS_MAX)
    return e;
  e = calloc (1, sizeof *e);
  if (!e)
    return NULL;
  am_copy_text (e->name, sizeof e->name, name);
  am_list_init (&e->recent);
  HASH_ADD_KEYPTR (by_name, c->config.by_name, e->name, strlen (e->name), e);
  c->config.count++;
  return e;
}

/* Moves what PARSED holds into E.  The tree of every field is not kept; the
   text is passed on as it came.  */
static void
install (struct am_control *c, struct am_config_entry *e,
         struct am_record *parsed, uint8_t *text, size_t len)
{
  struct am_config *cfg = &c->config;

  if (e->revision)
    cfg->digest -= version_digest (e->name, e->revision, e->write_id);
  free_parsed (e);
  e->kind = parsed->kind;
  e->revision = parsed->revision;
  am_copy_text (e->write_id, sizeof e->write_id, parsed->write_id);
  e->service = parsed->service;
  e->keys = parsed->keys;
  e->key_count = parsed->key_count;
  parsed->service = NULL;
  parsed->keys = NULL;
  parsed->key_count = 0;
  e->text = text;
  e->len = len;
  e->changed_us = c->now_us;
  e->snapshot = 0;
  cfg->digest += version_digest (e->name, e->revision, e->write_id);
  cfg->changed_us = c->now_us;
  am_list_remove (&e->recent);
  am_list_push_front (&cfg->recent, &e->recent);
  c->link.dirty = true;
  c->verdicts.stale = true;
  c->counters.records_accepted++;
  am_control_log (c, AM_LOG_INFO,
                  "event=config_accepted record=%s revision=%llu write_id=%s "
                  "at_us=%llu",
                  e->name, (unsigned long long)e->revision, e->write_id,
                  (unsigned long long)c->now_us);
}

static int
accept (struct am_control *c, const char *name, struct am_record *parsed,
        const uint8_t *text, size_t len)
{
  struct am_config_entry *e;
  uint8_t *copy = malloc (len + 1);

  if (!copy)
    return AM_E_MEMORY;
  memcpy (copy, text, len);
  copy[len] = '\0';
  e = entry_for (c, name);
  if (!e)
    {
      free (copy);
      return AM_E_MEMORY;
    }
  install (c, e, parsed, copy, len);
  return AM_OK;
}

static int
parse_and_accept (struct am_control *c, const char *name, uint64_t revision,
                  const char *write_id, const uint8_t *text, size_t len)
{
  struct am_record parsed;
  struct am_fault f = { 0 };
  int err = am_record_parse_json (&parsed, (const char *)text, len, &f);

  if (err)
    {
      f.error = err;
      refuse (c, name, revision, write_id, &f);
      return err;
    }
  if (strcmp (parsed.name, name) != 0)
    {
      f.error = AM_E_FORMAT;
      am_copy_text (f.field, sizeof f.field, "name");
      refuse (c, name, revision, write_id, &f);
      err = AM_E_FORMAT;
    }
  else
    err = accept (c, name, &parsed, text, len);
  am_record_finish (&parsed);
  return err;
}

int
am_config_offer (struct am_control *c, const char *name, const uint8_t *text,
                 size_t len, enum am_config_source source, bool *newer)
{
  struct am_config_entry *e = am_config_find (c, name);
  char write_id[AM_WRITE_ID_SIZE];
  uint64_t revision;
  int order;
  int err;

  if (newer)
    *newer = false;
  /* A reader of the store offers every record at each change; parsing 580
     that are in force took 26 ms.  */
  if (e && same_text (text, len, e->text, e->len))
    return AM_OK;
  if (strlen (name) >= AM_RECORD_NAME_SIZE || len > AM_RECORD_TEXT_MAX
      || peek (text, len, &revision, write_id))
    {
      c->counters.malformed++;
      return AM_E_FORMAT;
    }
  if (was_refused (c, name, revision, write_id))
    return AM_E_FORMAT;
  order = e ? am_record_compare (revision, write_id, e->revision, e->write_id)
            : 1;
  if (e && revision == e->revision
      && (order != 0 || !same_content (text, len, e->text, e->len)))
    report_equal (c, e, write_id);
  if (order < 0)
    return refuse_older (c, e, revision, source);
  if (order == 0)
    return AM_OK;
  err = parse_and_accept (c, name, revision, write_id, text, len);
  if (newer)
    *newer = err == AM_OK;
  return err;
}

static bool
store_has (const struct am_control_store *s, const char *name)
{
  for (size_t i = 0; i < s->count; i++)
    if (strcmp (s->values[i].name, name) == 0)
      return true;
  return false;
}

void
am_config_check_missing (struct am_control *c,
                         const struct am_control_store *s)
{
  struct am_config_entry *e;
  struct am_config_entry *next;

  if (s->count >= c->config.count)
    return;
  HASH_ITER (by_name, c->config.by_name, e, next)
  {
    if (!store_has (s, e->name))
      refuse_older (c, e, 0, AM_CONFIG_STORE);
  }
}

static void
set_in_force (struct am_control *c, struct am_config_entry *e)
{
  if (e->in_force_revision == e->revision
      && strcmp (e->in_force_write_id, e->write_id) == 0)
    return;
  e->in_force_revision = e->revision;
  am_copy_text (e->in_force_write_id, sizeof e->in_force_write_id,
                e->write_id);
  am_control_log (c, AM_LOG_INFO,
                  "event=config_in_force record=%s revision=%llu at_us=%llu",
                  e->name, (unsigned long long)e->revision,
                  (unsigned long long)c->now_us);
}

void
am_config_acknowledge (struct am_control *c, uint64_t number)
{
  struct am_config_entry *e;
  struct am_config_entry *next;

  HASH_ITER (by_name, c->config.by_name, e, next)
  {
    if (e->snapshot != 0 && e->snapshot <= number)
      set_in_force (c, e);
  }
}
