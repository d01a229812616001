#include "flow/replica.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"

#define KEY_SEED 0x6b657973u

void
am_replica_init (struct am_replica *r, am_replica_changed changed,
                 void *userdata)
{
  memset (r, 0, sizeof *r);
  for (size_t i = 0; i < AM_REPLICA_BUCKETS; i++)
    am_list_init (&r->buckets[i]);
  am_list_init (&r->by_revision);
  r->changed = changed;
  r->userdata = userdata;
}

/* Adds I to the counts of R, or takes it off.  */
static void
count (struct am_replica *r, struct am_replica_item *i)
{
  i->counted = true;
  if (i->removed)
    {
      r->tombstone_count++;
      return;
    }
  r->item_count++;
  r->item_bytes += i->key_len + i->value_len;
}

static void
uncount (struct am_replica *r, struct am_replica_item *i)
{
  if (!i->counted)
    return;
  i->counted = false;
  if (i->removed)
    {
      r->tombstone_count--;
      return;
    }
  r->item_count--;
  r->item_bytes -= i->key_len + i->value_len;
}

static void
item_free (struct am_replica *r, struct am_replica_item *i)
{
  uncount (r, i);
  am_list_remove (&i->bucket);
  am_list_remove (&i->node);
  free (i->value);
  free (i);
}

void
am_replica_finish (struct am_replica *r)
{
  am_list_each_safe (i, next, &r->by_revision, struct am_replica_item, node)
      item_free (r, i);
}

static struct am_list *
bucket (struct am_replica *r, const char *key, size_t len)
{
  return &r->buckets[am_hash_bytes (key, len, KEY_SEED) % AM_REPLICA_BUCKETS];
}

static struct am_replica_item *
find (struct am_replica *r, const char *key, size_t len)
{
  am_list_each (i, bucket (r, key, len), struct am_replica_item,
                bucket) if (i->key_len == len
                            && memcmp (i->key, key, len) == 0) return i;
  return NULL;
}

static struct am_replica_item *
add (struct am_replica *r, const char *key, size_t len)
{
  struct am_replica_item *i = calloc (1, sizeof *i + len + 1);

  if (!i)
    return NULL;
  memcpy (i->key, key, len);
  i->key_len = len;
  am_list_push_back (bucket (r, key, len), &i->bucket);
  am_list_init (&i->node);
  return i;
}

/* Moves I to its position by revision.  The search starts at the newest item,
   as most changes are newer than all others.  */
static void
insert_by_revision (struct am_replica *r, struct am_replica_item *i)
{
  am_list_remove (&i->node);
  am_list_each (other, &r->by_revision, struct am_replica_item,
                node) if (other->revision <= i->revision)
  {
    am_list_insert_between (&i->node, other->node.prev, &other->node);
    return;
  }
  am_list_push_back (&r->by_revision, &i->node);
}

/* Frees the oldest tombstones beyond AM_REPLICA_TOMBSTONES_MAX.  */
static void
compact (struct am_replica *r)
{
  struct am_list *n = r->by_revision.prev;

  while (r->tombstone_count > AM_REPLICA_TOMBSTONES_MAX
         && n != &r->by_revision)
    {
      struct am_replica_item *i
          = am_container_of (n, struct am_replica_item, node);

      n = n->prev;
      if (!i->removed)
        continue;
      r->compaction_revision = i->revision;
      item_free (r, i);
    }
}

/* Updates I, which takes ownership of VALUE, and reports the change.  The
   caller compacts R afterwards.  */
static void
set (struct am_replica *r, struct am_replica_item *i, uint8_t *value,
     size_t len, am_revision revision, bool removed)
{
  uncount (r, i);
  free (i->value);
  i->value = value;
  i->value_len = len;
  i->revision = revision;
  i->removed = removed;
  count (r, i);
  insert_by_revision (r, i);
  r->changed (r->userdata, i);
}

int
am_replica_write (struct am_replica *r, const char *key, size_t key_len,
                  const uint8_t *value, size_t value_len, am_revision revision)
{
  struct am_replica_item *i = find (r, key, key_len);

  if (!i || i->revision < revision)
    return am_replica_replace (r, key, key_len, value, value_len, revision);
  i->listed = true;
  return AM_OK;
}

int
am_replica_replace (struct am_replica *r, const char *key, size_t key_len,
                    const uint8_t *value, size_t value_len,
                    am_revision revision)
{
  struct am_replica_item *i = find (r, key, key_len);
  uint8_t *copy;

  copy = malloc (value_len + 1);
  if (!copy)
    return AM_E_MEMORY;
  if (value_len)
    memcpy (copy, value, value_len);
  copy[value_len] = '\0';
  if (!i)
    i = add (r, key, key_len);
  if (!i)
    {
      free (copy);
      return AM_E_MEMORY;
    }
  i->listed = true;
  set (r, i, copy, value_len, revision, false);
  compact (r);
  return AM_OK;
}

int
am_replica_remove (struct am_replica *r, const char *key, size_t key_len,
                   am_revision revision)
{
  struct am_replica_item *i = find (r, key, key_len);

  if (i && i->revision >= revision)
    return AM_OK;
  if (!i)
    i = add (r, key, key_len);
  if (!i)
    return AM_E_MEMORY;
  set (r, i, NULL, 0, revision, true);
  compact (r);
  return AM_OK;
}

void
am_replica_hold (struct am_replica *r, const char *key, size_t key_len,
                 am_revision revision)
{
  struct am_replica_item *i = find (r, key, key_len);

  if (!i)
    return;
  i->listed = true;
  if (i->revision >= revision)
    return;
  i->revision = revision;
  insert_by_revision (r, i);
}

const struct am_replica_item *
am_replica_find_any (struct am_replica *r, const char *key)
{
  return find (r, key, strlen (key));
}

const struct am_replica_item *
am_replica_find (struct am_replica *r, const char *key)
{
  const struct am_replica_item *i = am_replica_find_any (r, key);

  return i && !i->removed ? i : NULL;
}

void
am_replica_advance (struct am_replica *r, am_revision revision)
{
  if (revision > r->revision)
    r->revision = revision;
}

void
am_replica_list_begin (struct am_replica *r)
{
  am_list_each (i, &r->by_revision, struct am_replica_item, node) i->listed
      = false;
}

/* Removes the items that were not listed.  */
static void
remove_unlisted (struct am_replica *r, am_revision revision)
{
  am_list_each_safe (i, next, &r->by_revision, struct am_replica_item,
                     node) if (!i->listed && !i->removed
                               && i->revision <= revision)
      set (r, i, NULL, 0, revision, true);
  compact (r);
}

void
am_replica_list_end (struct am_replica *r, am_revision revision)
{
  bool begins_era
      = r->revision
        && am_revision_era (revision) > am_revision_era (r->revision);

  if (!begins_era)
    remove_unlisted (r, revision);
  /* Removals of items that were written and removed before the listing are
     not known here.  */
  if (revision > r->revision)
    r->compaction_revision = revision;
  am_replica_advance (r, revision);
}

bool
am_replica_has_changes_since (const struct am_replica *r, am_revision revision)
{
  return revision && revision >= r->compaction_revision;
}

am_revision
am_replica_newest (const struct am_replica *r, size_t len,
                   const struct am_replica_item **items, size_t max,
                   size_t *count)
{
  *count = 0;
  am_list_each (i, &r->by_revision, struct am_replica_item, node)
  {
    size_t needed = AM_REPLICA_ITEM_OVERHEAD + i->key_len + i->value_len;

    if (i->revision <= r->compaction_revision)
      return r->compaction_revision;
    if (needed > len || *count == max)
      return i->revision;
    len -= needed;
    items[(*count)++] = i;
  }
  return r->compaction_revision;
}
