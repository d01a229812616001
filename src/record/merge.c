#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "record/fields.h"

#define PATH_SIZE 160
#define VALUE_TEXT_SIZE 64

/* The three versions of one value.  */
struct sides
{
  const json_t *base;
  const json_t *mine;
  const json_t *theirs;
};

struct merge
{
  uint32_t base_schema;
  uint32_t mine_schema;
  uint32_t theirs_schema;
  uint64_t theirs_revision;
  uint32_t schema; /* of the result */
  struct am_fault *fault;
  int error;
};

static json_t *merge_object (struct merge *m, enum am_level level,
                             const char *path, struct sides s);

static bool
same (const json_t *a, const json_t *b)
{
  if (!a || !b)
    return a == b;
  return json_equal (a, b);
}

static json_t *
fail_memory (struct merge *m)
{
  if (!m->error)
    m->error = am_fault_set (m->fault, AM_E_MEMORY, "", "");
  return NULL;
}

static json_t *
conflict (struct merge *m, const char *path, const json_t *theirs)
{
  char text[VALUE_TEXT_SIZE] = "no value";
  char detail[sizeof m->fault->allowed];

  if (m->error)
    return NULL;
  if (theirs)
    {
      size_t n = json_dumpb (theirs, text, sizeof text - 1,
                             JSON_ENCODE_ANY | JSON_COMPACT);

      if (n >= sizeof text)
        snprintf (text, sizeof text, "another value");
      else
        text[n] = '\0';
    }
  snprintf (detail, sizeof detail, "revision %llu has %s",
            (unsigned long long)m->theirs_revision, text);
  m->error = am_fault_set (m->fault, AM_E_CONFLICT, path, detail);
  return NULL;
}

static json_t *
copy_of (struct merge *m, const json_t *value)
{
  json_t *copy = json_deep_copy (value);

  return copy ? copy : fail_memory (m);
}

/* Level of the members of the object FIELD at LEVEL.  */
static enum am_level
level_below (enum am_level level, const char *field)
{
  if (level == AM_LEVEL_SERVICE && strcmp (field, "liveness") == 0)
    return AM_LEVEL_LIVENESS;
  return level;
}

static bool
both_objects (struct sides s)
{
  return json_is_object (s.mine) && json_is_object (s.theirs);
}

/* Returns true if NOW, a version in a schema that may know less than BASE's,
   changes nothing of BASE.  */
static bool
unchanged (struct merge *m, enum am_level level, const json_t *base,
           const json_t *now, uint32_t schema)
{
  struct am_fault fault;
  struct merge trial = *m;
  struct sides s = { base, now, base };
  json_t *result;
  bool equal;

  if (!json_is_object (base) || !json_is_object (now))
    return same (base, now);
  trial.fault = &fault;
  trial.mine_schema = schema;
  trial.theirs_schema = m->base_schema;
  result = merge_object (&trial, level, "", s);
  equal = same (result, base);
  json_decref (result);
  return equal;
}

/* Merges values that are not merged member by member.  Returns NULL if the
   result has no value.  */
static json_t *
merge_value (struct merge *m, enum am_level level, const char *path,
             struct sides s)
{
  const json_t *chosen;

  if (same (s.mine, s.theirs)
      || unchanged (m, level, s.base, s.mine, m->mine_schema))
    chosen = s.theirs;
  else if (unchanged (m, level, s.base, s.theirs, m->theirs_schema))
    chosen = s.mine;
  else
    return conflict (m, path, s.theirs);
  return chosen ? copy_of (m, chosen) : NULL;
}

static json_t *
merge_element (struct merge *m, enum am_level level, const char *path,
               struct sides s)
{
  if (both_objects (s))
    return merge_object (m, level, path, s);
  return merge_value (m, level, path, s);
}

static const json_t *
find (const json_t *list, const char *identity, const json_t *id)
{
  size_t i;
  json_t *element;

  json_array_foreach (list, i,
                      element) if (same (json_object_get (element, identity),
                                         id)) return element;
  return NULL;
}

struct list_merge
{
  enum am_level level;
  const char *identity;
  const char *path;
  bool mine_partial; /* an absent element is not removed */
  bool theirs_partial;
  struct sides lists;
};

static void
merge_one (struct merge *m, const struct list_merge *l, const json_t *id,
           json_t *result)
{
  char path[PATH_SIZE];
  char *text = json_dumps (id, JSON_ENCODE_ANY | JSON_COMPACT);
  struct sides s = { find (l->lists.base, l->identity, id),
                     find (l->lists.mine, l->identity, id),
                     find (l->lists.theirs, l->identity, id) };
  json_t *value;

  if (!s.mine && l->mine_partial)
    s.mine = s.base;
  if (!s.theirs && l->theirs_partial)
    s.theirs = s.base;
  snprintf (path, sizeof path, "%s[%s]", l->path, text ? text : "");
  free (text);
  value = merge_element (m, l->level, path, s);
  if (value && json_array_append_new (result, value))
    fail_memory (m);
}

/* Theirs come first, in their order; then what only mine or only the base
   has.  */
static json_t *
merge_list (struct merge *m, const struct list_merge *l)
{
  json_t *result = json_array ();
  json_t *element;
  size_t i;

  if (!result)
    return fail_memory (m);
  json_array_foreach (l->lists.theirs, i, element)
      merge_one (m, l, json_object_get (element, l->identity), result);
  json_array_foreach (l->lists.mine, i, element)
  {
    const json_t *id = json_object_get (element, l->identity);

    if (!find (l->lists.theirs, l->identity, id))
      merge_one (m, l, id, result);
  }
  json_array_foreach (l->lists.base, i, element)
  {
    const json_t *id = json_object_get (element, l->identity);

    if (!find (l->lists.theirs, l->identity, id)
        && !find (l->lists.mine, l->identity, id))
      merge_one (m, l, id, result);
  }
  if (!m->error)
    return result;
  json_decref (result);
  return NULL;
}

static bool
is_partial (const struct merge *m, const char *field, uint32_t schema)
{
  return schema == 1 && m->schema > 1 && strcmp (field, "classes") == 0;
}

static json_t *
merge_field (struct merge *m, enum am_level level, const char *path,
             const char *field, struct sides s)
{
  struct list_merge l = { .path = path, .lists = s };

  if (both_objects (s))
    return merge_object (m, level_below (level, field), path, s);
  l.identity = am_fields_identity (level, field, &l.level);
  if (l.identity && (!s.mine || json_is_array (s.mine))
      && (!s.theirs || json_is_array (s.theirs)))
    {
      l.mine_partial = is_partial (m, field, m->mine_schema);
      l.theirs_partial = is_partial (m, field, m->theirs_schema);
      return merge_list (m, &l);
    }
  return merge_value (m, level, path, s);
}

static bool
is_version_field (enum am_level level, const char *field)
{
  return (level == AM_LEVEL_SERVICE || level == AM_LEVEL_KEYS)
         && (strcmp (field, "schema") == 0 || strcmp (field, "revision") == 0
             || strcmp (field, "write_id") == 0);
}

/* A field that a side's schema does not know is no change when absent.  */
static void
take_field (struct merge *m, enum am_level level, const char *path,
            const char *field, struct sides objects, json_t *result)
{
  char member[PATH_SIZE];
  struct sides s = { json_object_get (objects.base, field),
                     json_object_get (objects.mine, field),
                     json_object_get (objects.theirs, field) };
  json_t *value;

  if (!s.mine && !am_fields_known (level, field, m->mine_schema))
    s.mine = s.base;
  if (!s.theirs && !am_fields_known (level, field, m->theirs_schema))
    s.theirs = s.base;
  if (!s.mine && !s.theirs)
    return;
  am_fields_path (member, sizeof member, path, field);
  value = merge_field (m, level, member, field, s);
  if (value && json_object_set_new (result, field, value))
    fail_memory (m);
}

static json_t *
merge_object (struct merge *m, enum am_level level, const char *path,
              struct sides s)
{
  const json_t *const objects[] = { s.base, s.mine, s.theirs };
  json_t *result = json_object ();
  const char *field;
  json_t *value;

  if (!result)
    return fail_memory (m);
  for (size_t i = 0; i < sizeof objects / sizeof objects[0]; i++)
    json_object_foreach ((json_t *)objects[i], field,
                         value) if (!is_version_field (level, field)
                                    && !json_object_get (result, field))
        take_field (m, level, path, field, s, result);
  if (!m->error)
    return result;
  json_decref (result);
  return NULL;
}

/* Moves the single request of schema 1 into class 0.  */
static int
upgrade (json_t *root)
{
  json_t *classes = json_object_get (root, "classes");
  json_t *class;
  const json_t *id = NULL;
  int err = 0;

  if (!classes && json_object_set_new (root, "classes", json_array ()))
    return AM_E_MEMORY;
  classes = json_object_get (root, "classes");
  class = json_object ();
  err |= json_object_set_new (class, "id", json_integer (0));
  if (json_object_get (root, "request"))
    err |= json_object_set (class, "kind", json_object_get (root, "request"));
  if (json_object_get (root, "deadline_ms"))
    err |= json_object_set (class, "deadline_ms",
                            json_object_get (root, "deadline_ms"));
  id = json_object_get (class, "id");
  if (find (classes, "id", id))
    err |= json_object_update ((json_t *)find (classes, "id", id), class);
  else
    err |= json_array_append (classes, class);
  json_decref (class);
  json_object_del (root, "request");
  json_object_del (root, "deadline_ms");
  return err ? AM_E_MEMORY : AM_OK;
}

/* Returns a copy of R's fields in the form of SCHEMA.  */
static json_t *
view (const struct am_record *r, uint32_t schema)
{
  json_t *copy;

  if (!r)
    return NULL;
  copy = json_deep_copy (r->root);
  if (copy && r->kind == AM_RECORD_SERVICE && r->schema < schema
      && upgrade (copy))
    {
      json_decref (copy);
      return NULL;
    }
  return copy;
}

static int
name_classes (json_t *root)
{
  json_t *class;
  size_t i;

  json_array_foreach (
      json_object_get (root, "classes"), i,
      class) if (!json_object_get (class, "name")
                 && json_object_set_new (
                     class, "name",
                     json_string ("request"))) return AM_E_MEMORY;
  return AM_OK;
}

static int
complete (struct merge *m, const struct am_record *theirs,
          struct am_record *merged)
{
  int err = 0;

  err |= json_object_set_new (merged->root, "schema",
                              json_integer (m->schema));
  err |= json_object_set_new (merged->root, "revision",
                              json_integer ((json_int_t)theirs->revision));
  err |= json_object_set_new (merged->root, "write_id",
                              json_string (theirs->write_id));
  if (err || (m->schema > 1 && name_classes (merged->root)))
    return am_fault_set (m->fault, AM_E_MEMORY, "", "");
  err = am_fields_read (merged, false, m->fault);
  if (err && err != AM_E_MEMORY)
    err = m->fault->error = AM_E_CONFLICT;
  return err;
}

static int
merge_roots (struct merge *m, const struct am_record *base,
             const struct am_record *mine, const struct am_record *theirs,
             struct am_record *merged)
{
  json_t *b = view (base, m->schema);
  json_t *t = view (theirs, m->schema);
  json_t *own = view (mine, m->schema);
  struct sides s = { b, own, t };
  enum am_level level
      = theirs->kind == AM_RECORD_SERVICE ? AM_LEVEL_SERVICE : AM_LEVEL_KEYS;

  if ((base && !b) || !own || !t)
    fail_memory (m);
  else
    merged->root = merge_object (m, level, "", s);
  json_decref (b);
  json_decref (own);
  json_decref (t);
  return m->error ? m->error : complete (m, theirs, merged);
}

int
am_record_merge (const struct am_record *base, const struct am_record *mine,
                 const struct am_record *theirs, struct am_record *merged,
                 struct am_fault *f)
{
  struct merge m = { .base_schema = base ? base->schema : mine->schema,
                     .mine_schema = mine->schema,
                     .theirs_schema = theirs->schema,
                     .theirs_revision = theirs->revision,
                     .fault = f };
  int err;

  memset (merged, 0, sizeof *merged);
  memset (f, 0, sizeof *f);
  m.schema = mine->schema > theirs->schema ? mine->schema : theirs->schema;
  if (base && base->schema > m.schema)
    m.schema = base->schema;
  if (mine->kind != theirs->kind)
    return am_fault_set (f, AM_E_CONFLICT, "kind", "");
  if (strcmp (mine->name, theirs->name) != 0)
    return am_fault_set (f, AM_E_CONFLICT, "name", "");
  err = merge_roots (&m, base, mine, theirs, merged);
  if (err)
    am_record_finish (merged);
  return err;
}
