#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/error.h"
#include "ctl/records.h"

void
ctl_change_free (struct ctl_change *change)
{
  am_record_finish (&change->mine);
  am_record_finish (&change->base);
  am_record_finish (&change->merged);
}

static int
copy_record (struct am_record *to, const struct am_record *from)
{
  struct am_fault f;
  char *text = am_record_to_json (from);
  int err = text ? am_record_parse_json (to, text, strlen (text), &f)
                 : AM_E_MEMORY;

  free (text);
  return err;
}

int
ctl_change_start (struct ctl *c, struct ctl_change *change,
                  const struct ctl_entry *entry)
{
  memset (change, 0, sizeof *change);
  if (copy_record (&change->mine, &entry->record)
      || copy_record (&change->base, &entry->record))
    {
      ctl_change_free (change);
      return ctl_no_memory (c);
    }
  change->base_known = true;
  change->source = "";
  return AM_OK;
}

/* Replaces R by what its changed fields say.  */
static int
reread (struct am_record *r, struct am_fault *f)
{
  struct am_record fresh;
  char *text = am_record_to_json (r);
  int err;

  if (!text)
    return f->error = AM_E_MEMORY;
  err = am_record_parse_json (&fresh, text, strlen (text), f);
  free (text);
  if (err)
    return err;
  am_record_finish (r);
  *r = fresh;
  return AM_OK;
}

int
ctl_change_reread (struct ctl *c, struct ctl_change *change)
{
  struct am_fault f = { 0 };
  int err = reread (&change->mine, &f);

  return err ? ctl_fail_fault (c, change->mine.name, &f) : AM_OK;
}

static const json_t *
upstream_json (const struct am_record *r, size_t i)
{
  return json_array_get (json_object_get (r->root, "upstreams"), i);
}

static bool
is_retired (const Amaranth__Upstream *u)
{
  return u->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_RETIRED;
}

static const Amaranth__Upstream *
find_upstream (const Amaranth__Service *s, const char *name)
{
  for (size_t i = 0; i < s->n_upstreams; i++)
    if (strcmp (s->upstreams[i]->name, name) == 0)
      return s->upstreams[i];
  return NULL;
}

static int
refuse (struct ctl *c, const struct ctl_change *change, const char *upstream,
        const char *field, const char *why)
{
  struct am_fault f = { .error = AM_E_STATE };

  if (upstream)
    snprintf (f.field, sizeof f.field, "upstreams[\"%.40s\"]%s%s", upstream,
              field[0] ? "." : "", field);
  else
    snprintf (f.field, sizeof f.field, "%s", field);
  snprintf (f.allowed, sizeof f.allowed, "%s", why);
  return ctl_fail_fault (
      c, change->source[0] ? change->source : change->mine.name, &f);
}

/* An address that leaves a record without its quarantine could be given to
   another service while a stale entry VM still sends to it.  */
static int
check_upstream (struct ctl *c, const struct ctl_change *change, size_t i,
                const struct am_record *old)
{
  const Amaranth__Upstream *was = old->service->upstreams[i];
  const Amaranth__Upstream *now
      = find_upstream (change->merged.service, was->name);
  int64_t at = json_integer_value (
      json_object_get (upstream_json (old, i), "retired_at"));

  if (!now && !is_retired (was))
    return refuse (c, change, was->name, "",
                   "is missing; set state: retired to remove it");
  if (!now)
    return at && at + AM_RECORD_QUARANTINE_S <= (int64_t)time (NULL)
               ? AM_OK
               : refuse (c, change, was->name, "",
                         "must stay, retired, until its quarantine ends");
  if (now->incarnation < was->incarnation)
    return refuse (c, change, was->name, "incarnation", "cannot go back");
  if (now->ip != was->ip || now->port != was->port)
    return refuse (c, change, was->name, "address",
                   "cannot change; retire it and add another upstream");
  if (is_retired (was) && !is_retired (now)
      && now->incarnation == was->incarnation)
    return refuse (c, change, was->name, "incarnation",
                   "must be raised when a retired upstream comes back");
  return AM_OK;
}

static int
check_rules (struct ctl *c, const struct ctl_change *change,
             const struct am_record *old)
{
  const Amaranth__Service *was = old->service;
  const Amaranth__Service *now = change->merged.service;
  int err = AM_OK;

  if (!was || !now)
    return AM_OK;
  if (now->ip != was->ip || now->port != was->port)
    return refuse (c, change, NULL, "address",
                   "cannot change; retire the service and add another");
  if (was->retired && !now->retired)
    return refuse (c, change, NULL, "retired",
                   "a retired service cannot come back");
  for (size_t i = 0; i < was->n_upstreams && !err; i++)
    err = check_upstream (c, change, i, old);
  return err;
}

static int
stamp (json_t *object, bool retired, json_int_t now)
{
  if (!retired)
    {
      json_object_del (object, "retired_at");
      return 0;
    }
  if (json_object_get (object, "retired_at"))
    return 0;
  return json_object_set_new (object, "retired_at", json_integer (now));
}

/* Notes when upstreams and the service were retired.  */
static int
stamp_retired (struct am_record *r)
{
  json_int_t now = (json_int_t)time (NULL);
  const Amaranth__Service *s = r->service;
  int err;

  if (!s)
    return AM_OK;
  err = stamp (r->root, s->retired, now);
  for (size_t i = 0; i < s->n_upstreams; i++)
    err |= stamp ((json_t *)upstream_json (r, i), is_retired (s->upstreams[i]),
                  now);
  return err ? AM_E_MEMORY : AM_OK;
}

/* A file says nothing of retired_at, so the time in the store counts.  */
static int
keep_retired_at (const struct am_record *from, struct am_record *to)
{
  int err = 0;

  if (!from->service || !to->service)
    return AM_OK;
  if (to->service->retired && json_object_get (from->root, "retired_at"))
    err |= json_object_set (to->root, "retired_at",
                            json_object_get (from->root, "retired_at"));
  for (size_t i = 0; i < to->service->n_upstreams; i++)
    for (size_t j = 0; j < from->service->n_upstreams; j++)
      {
        const json_t *at
            = json_object_get (upstream_json (from, j), "retired_at");

        if (at && is_retired (to->service->upstreams[i])
            && strcmp (to->service->upstreams[i]->name,
                       from->service->upstreams[j]->name)
                   == 0)
          err |= json_object_set ((json_t *)upstream_json (to, i),
                                  "retired_at", (json_t *)at);
      }
  return err ? AM_E_MEMORY : AM_OK;
}

static bool
same_content (const struct am_record *a, const struct am_record *b)
{
  static const char *const version[] = { "revision", "write_id" };
  json_t *x = json_copy (a->root);
  json_t *y = json_copy (b->root);
  bool same;

  for (size_t i = 0; i < sizeof version / sizeof version[0]; i++)
    {
      json_object_del (x, version[i]);
      json_object_del (y, version[i]);
    }
  same = x && y && json_equal (x, y);
  json_decref (x);
  json_decref (y);
  return same;
}

static bool
is_version (const struct am_record *a, const struct am_record *b)
{
  return a && b
         && am_record_compare (a->revision, a->write_id, b->revision,
                               b->write_id)
                == 0;
}

static int
merge_into (struct ctl *c, struct ctl_change *change,
            const struct am_record *old)
{
  const struct am_record *base = change->base.root ? &change->base : NULL;
  struct am_fault f;
  int err;

  if (!change->base_known)
    base = old;
  if (change->base_known && !is_version (base, old))
    change->was_merged = true;
  if (keep_retired_at (old, &change->mine))
    return ctl_no_memory (c);
  err = am_record_merge (base, &change->mine, old, &change->merged, &f);
  if (err)
    return ctl_fail_fault (
        c, change->source[0] ? change->source : change->mine.name, &f);
  change->outcome = CTL_CHANGED;
  return check_rules (c, change, old);
}

/* The first preparation fixes the base, so that a later one, after a race,
   merges instead of overwriting.  */
static int
fix_base (struct ctl_change *change, const struct ctl_entry *entry)
{
  int err = AM_OK;

  if (!change->base_known && entry)
    err = copy_record (&change->base, &entry->record);
  change->base_known = true;
  return err;
}

int
ctl_change_prepare (struct ctl *c, struct ctl_change *change,
                    const struct ctl_set *set)
{
  const struct ctl_entry *entry = ctl_set_find (set, change->mine.name);
  int err;

  am_record_finish (&change->merged);
  change->index = entry ? entry->index : 0;
  if (entry && !entry->record.root)
    return ctl_fail_fault (c, entry->name, &entry->fault);
  if (entry)
    err = merge_into (c, change, &entry->record);
  else
    {
      change->outcome = CTL_CREATED;
      err = copy_record (&change->merged, &change->mine) ? ctl_no_memory (c)
                                                         : AM_OK;
      change->merged.revision = 0;
    }
  if (err)
    return err;
  if (stamp_retired (&change->merged) || fix_base (change, entry))
    return ctl_no_memory (c);
  if (entry && entry->index && same_content (&change->merged, &entry->record))
    change->outcome = CTL_UNCHANGED;
  return AM_OK;
}

static const struct ctl_change *
find_change (const struct ctl_change *changes, size_t n, const char *name)
{
  for (size_t i = 0; i < n; i++)
    if (strcmp (changes[i].mine.name, name) == 0)
      return &changes[i];
  return NULL;
}

int
ctl_changes_validate (struct ctl *c, const struct ctl_set *set,
                      const struct ctl_change *changes, size_t n)
{
  const struct am_record **all
      = calloc (set->count + n + 1, sizeof (const struct am_record *));
  struct am_fault f;
  size_t count = 0;
  int err;

  if (!all)
    return ctl_no_memory (c);
  for (size_t i = 0; i < set->count; i++)
    if (set->entries[i].record.root
        && !find_change (changes, n, set->entries[i].name))
      all[count++] = &set->entries[i].record;
  for (size_t i = 0; i < n; i++)
    all[count++] = &changes[i].merged;
  err = am_record_validate_set (all, count, &f);
  free (all);
  return err ? ctl_fail_fault (c, "records", &f) : AM_OK;
}
