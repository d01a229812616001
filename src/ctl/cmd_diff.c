#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "ctl/records.h"

#define PATH_SIZE 200

/* What is compared, and the list that takes the differences.  */
struct diff
{
  struct ctl *ctl;
  const char *name;
  json_t *list;
};

static void
show_difference (struct diff *d, const char *path, const json_t *from,
                 const json_t *to)
{
  char *a = from ? json_dumps (from, JSON_ENCODE_ANY | JSON_COMPACT) : NULL;
  char *b = to ? json_dumps (to, JSON_ENCODE_ANY | JSON_COMPACT) : NULL;

  ctl_say (d->ctl, "%s: %s: %s -> %s", d->name, path, a ? a : "(none)",
           b ? b : "(none)");
  json_array_append_new (d->list, json_pack ("{s:s, s:s, s:O?, s:O?}",
                                             "record", d->name, "field", path,
                                             "from", from, "to", to));
  free (a);
  free (b);
}

static void compare (struct diff *d, const char *path, const json_t *from,
                     const json_t *to);

static const json_t *
find_named (const json_t *list, const char *name)
{
  json_t *element;
  size_t i;

  json_array_foreach (list, i, element)
  {
    const char *own = json_string_value (json_object_get (element, "name"));

    if (own && strcmp (own, name) == 0)
      return element;
  }
  return NULL;
}

static void
compare_lists (struct diff *d, const char *path, const json_t *from,
               const json_t *to)
{
  char member[PATH_SIZE];
  json_t *element;
  const char *name;
  size_t i;

  json_array_foreach (to, i, element)
  {
    name = json_string_value (json_object_get (element, "name"));
    snprintf (member, sizeof member, "%s[\"%s\"]", path, name ? name : "?");
    if (name)
      compare (d, member, find_named (from, name), element);
  }
  json_array_foreach (from, i, element)
  {
    name = json_string_value (json_object_get (element, "name"));
    snprintf (member, sizeof member, "%s[\"%s\"]", path, name ? name : "?");
    if (name && !find_named (to, name))
      compare (d, member, element, NULL);
  }
}

static void
compare_objects (struct diff *d, const char *path, const json_t *from,
                 const json_t *to)
{
  char member[PATH_SIZE];
  const char *field;
  json_t *value;

  json_object_foreach ((json_t *)to, field, value)
  {
    snprintf (member, sizeof member, "%s%s%s", path, path[0] ? "." : "",
              field);
    compare (d, member, json_object_get (from, field), value);
  }
  json_object_foreach ((json_t *)from, field, value)
  {
    snprintf (member, sizeof member, "%s%s%s", path, path[0] ? "." : "",
              field);
    if (!json_object_get (to, field))
      compare (d, member, value, NULL);
  }
}

static void
compare (struct diff *d, const char *path, const json_t *from,
         const json_t *to)
{
  if (from && to && json_equal (from, to))
    return;
  if (strcmp (path, "revision") == 0 || strcmp (path, "write_id") == 0)
    return;
  if (json_is_object (from) && json_is_object (to))
    compare_objects (d, path, from, to);
  else if (json_is_array (from) && json_is_array (to))
    compare_lists (d, path, from, to);
  else
    show_difference (d, path, from, to);
}

static void
diff_one (struct ctl *c, struct ctl_change *change, const struct ctl_set *set,
          json_t *list)
{
  const struct ctl_entry *entry = ctl_set_find (set, change->mine.name);
  struct diff d = { c, change->mine.name, list };

  ctl_hide_secrets (change->merged.root);
  if (entry)
    ctl_hide_secrets (entry->record.root);
  if (change->outcome == CTL_UNCHANGED)
    ctl_say (c, "%s: unchanged", d.name);
  else if (change->outcome == CTL_CREATED)
    show_difference (&d, "", NULL, change->merged.root);
  else
    compare (&d, "", entry->record.root, change->merged.root);
}

static int
diff_all (struct ctl *c, struct ctl_change *changes, size_t n)
{
  struct ctl_set set;
  json_t *list = json_array ();
  int err = ctl_set_read (c, &set);

  for (size_t i = 0; i < n && !err; i++)
    err = ctl_change_prepare (c, &changes[i], &set);
  if (!err)
    err = ctl_changes_validate (c, &set, changes, n);
  for (size_t i = 0; i < n && !err; i++)
    diff_one (c, &changes[i], &set, list);
  ctl_result (c, "differences", list);
  ctl_set_free (&set);
  return err;
}

int
ctl_diff (struct ctl *c)
{
  return ctl_run_on_files (c, diff_all);
}
