/* Copy of the platform's store, kept by revision.

   Readers fill it from the store, other entry VMs from their peers; both bring
   the same changes, so a change is taken by the revision of its item alone and
   may come twice or late.  The revision that the copy is complete up to never
   goes back.  */

#ifndef AM_FLOW_REPLICA_H
#define AM_FLOW_REPLICA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"

#define AM_REPLICA_BUCKETS 1024

/* Removals that are remembered for peers that are behind.  */
#define AM_REPLICA_TOMBSTONES_MAX 2048

struct am_replica_item
{
  struct am_list bucket; /* in am_replica.buckets */
  struct am_list node;   /* in am_replica.by_revision, newest first */
  uint64_t revision;     /* of its last change */
  bool removed;
  bool listed; /* seen by the listing in progress */
  size_t key_len;
  size_t value_len;
  uint8_t *value; /* owned; NULL if removed */
  char key[];     /* ends with a NUL */
};

/* Called when an item has changed; a removed one has no value.  */
typedef void (*am_replica_changed) (void *userdata,
                                    const struct am_replica_item *item);

struct am_replica
{
  struct am_list buckets[AM_REPLICA_BUCKETS];
  struct am_list by_revision;
  uint64_t revision; /* every change up to it is known; 0: nothing is */
  uint64_t horizon;  /* removals up to it are forgotten */
  size_t removal_count;
  am_replica_changed changed;
  void *userdata;
};

void am_replica_init (struct am_replica *r, am_replica_changed changed,
                      void *userdata);
void am_replica_finish (struct am_replica *r);

/* One change: KEY was written with VALUE, or removed.  A change that is not
   newer than what is known has no effect.  Return AM_OK or AM_E_MEMORY.  */
int am_replica_write (struct am_replica *r, const char *key, size_t key_len,
                      const uint8_t *value, size_t value_len,
                      uint64_t revision);
int am_replica_remove (struct am_replica *r, const char *key, size_t key_len,
                       uint64_t revision);

/* All changes up to REVISION have been taken.  */
void am_replica_advance (struct am_replica *r, uint64_t revision);

/* A listing of all items begins; items that it does not bring again, by
   am_replica_write, are removed at its end unless they changed after REVISION,
   that of its first page.  */
void am_replica_list_begin (struct am_replica *r);
void am_replica_list_end (struct am_replica *r, uint64_t revision);

/* Returns true if the items with a revision after REVISION are all that
   someone complete up to REVISION lacks.  */
bool am_replica_has_changes_since (const struct am_replica *r,
                                   uint64_t revision);

#endif
