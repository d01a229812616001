/* Replica of the platform's store, a key-value map ordered by revision.

   VMs that read the store fill the replica from it, other entry VMs from
   their peers.  Both sources deliver the same changes, so a change is applied
   by comparison of its revision with that of the item alone, and may be
   delivered twice or out of order.  The revision up to which the replica is
   complete never decreases.

   After the store came back from an older copy, what the replica has from
   before may be newer than what the copy says.  Items that the copy lacks stay
   until the second listing of the new era, and the program may hold others
   against the copy (am_replica_hold).  */

#ifndef AM_FLOW_REPLICA_H
#define AM_FLOW_REPLICA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"
#include "flow/revision.h"

#define AM_REPLICA_BUCKETS 1024

/* Maximum number of tombstones (removed items) kept for peers that are
   behind.  */
#define AM_REPLICA_TOMBSTONES_MAX 2048

/* Bytes that an item takes in a message beside its key and its value: tags,
   lengths and the revision.  */
#define AM_REPLICA_ITEM_OVERHEAD 24

struct am_replica_item
{
  struct am_list bucket; /* in am_replica.buckets */
  struct am_list node;   /* in am_replica.by_revision, newest first */
  am_revision revision;  /* of its last change */
  bool removed;          /* it is a tombstone */
  bool counted;          /* in the counts of the replica */
  bool listed;           /* returned by the listing in progress */
  size_t key_len;        /* bytes, without the NUL */
  size_t value_len;      /* bytes */
  uint8_t *value;        /* owned; NULL if removed */
  char key[];            /* NUL-terminated */
};

/* Called after ITEM has changed; a removed item has no value.  ITEM is owned
   by the replica.  */
typedef void (*am_replica_changed) (void *userdata,
                                    const struct am_replica_item *item);

struct am_replica
{
  struct am_list buckets[AM_REPLICA_BUCKETS];
  struct am_list by_revision;
  am_revision revision; /* complete up to this revision; 0: empty so far */
  am_revision compaction_revision; /* removals up to it may be missing here */
  size_t tombstone_count;
  size_t item_count; /* items that are no tombstones */
  size_t item_bytes; /* their keys and values */
  am_replica_changed changed;
  void *userdata;
};

/* CHANGED must not be NULL; it is called with USERDATA.  */
void am_replica_init (struct am_replica *r, am_replica_changed changed,
                      void *userdata);
void am_replica_finish (struct am_replica *r);

/* Apply one change: KEY was set to a copy of VALUE, or removed.  A change that
   is not newer than the item leaves the item as it is, but am_replica_write
   counts it as listed.  Lengths are in
   bytes.  Return AM_OK or AM_E_MEMORY.  */
int am_replica_write (struct am_replica *r, const char *key, size_t key_len,
                      const uint8_t *value, size_t value_len,
                      am_revision revision);
int am_replica_remove (struct am_replica *r, const char *key, size_t key_len,
                       am_revision revision);

/* Sets KEY to a copy of VALUE as of REVISION, also if the item is not older.
   Returns AM_OK or AM_E_MEMORY.  */
int am_replica_replace (struct am_replica *r, const char *key, size_t key_len,
                        const uint8_t *value, size_t value_len,
                        am_revision revision);

/* Keeps the item KEY, if there is one, as it is, although the store's copy of
   it has REVISION; it counts as listed and as of that revision.  */
void am_replica_hold (struct am_replica *r, const char *key, size_t key_len,
                      am_revision revision);

/* Returns the item KEY, a string, or NULL if there is none.  A tombstone is
   returned by am_replica_find_any only.  */
const struct am_replica_item *am_replica_find_any (struct am_replica *r,
                                                   const char *key);
const struct am_replica_item *am_replica_find (struct am_replica *r,
                                               const char *key);

/* Records that all changes up to REVISION have been applied.  */
void am_replica_advance (struct am_replica *r, am_revision revision);

/* Begin and end a full listing of the store.  Its items are passed to
   am_replica_write in between.  am_replica_list_end removes the items that
   were not, unless they changed after REVISION, the lowest revision of the
   listing's pages, and then advances the replica to REVISION.  If that begins
   a new era, it removes none.  */
void am_replica_list_begin (struct am_replica *r);
void am_replica_list_end (struct am_replica *r, am_revision revision);

/* Returns true if the items with a revision after REVISION, tombstones
   included, are all that a replica complete up to REVISION lacks.  False if
   REVISION is 0 or before compaction_revision: all items are needed.  */
bool am_replica_has_changes_since (const struct am_replica *r,
                                   am_revision revision);

/* Stores the newest items, tombstones included, in ITEMS, which has room for
   MAX, and their number in *COUNT: as many as fit into LEN bytes with their
   keys and values.  Returns the lowest revision of a replica that lacks no
   more than these items.  */
am_revision am_replica_newest (const struct am_replica *r, size_t len,
                               const struct am_replica_item **items,
                               size_t max, size_t *count);

#endif
