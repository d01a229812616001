/* Synchronization state of this VM's replica of the store: how old it is, and
   whether an item that is missing from it counts as removed.

   While the store is unavailable, registrations expire although their targets
   are running; they are back within AM_STORE_SYNC_GRACE_US of its return.
   Until then, a missing item is not conclusive.

   All times are microseconds of the monotonic clock.  */

#ifndef AM_FLOW_STORE_SYNC_H
#define AM_FLOW_STORE_SYNC_H

#include <stdbool.h>
#include <stdint.h>

/* Targets register again within about 2 s of the store's return.  */
#define AM_STORE_SYNC_GRACE_US 2500000u

/* A replica not confirmed as up to date for this time is stale: a little more
   than the longest wait of a watch request, its timeout included.  */
#define AM_STORE_SYNC_STALE_US 3000000u

struct am_store_sync
{
  bool in_sync;               /* the replica is kept up to date */
  uint64_t started_us;        /* when this VM started */
  uint64_t last_confirmed_us; /* last confirmation; 0: none yet */
  uint64_t in_sync_since_us;  /* when it last came into sync */
};

/* The initial state is out of sync.  */
void am_store_sync_init (struct am_store_sync *s, uint64_t now_us);

/* Returns the time since the replica was last confirmed as up to date, or
   since the start of this VM if it never was.  */
uint64_t am_store_sync_age (const struct am_store_sync *s, uint64_t now_us);

/* Records that the store, or a peer in sync with it, confirmed the replica as
   up to date.  */
void am_store_sync_confirmed (struct am_store_sync *s, uint64_t now_us);

/* Records that synchronization was lost: the store did not respond, or this
   process was suspended.  The replica may lack changes.  */
void am_store_sync_lost (struct am_store_sync *s);

/* Records that the store came back from an older copy: targets that the copy
   lacks register again, so the grace period begins anew.  */
void am_store_sync_restored (struct am_store_sync *s, uint64_t now_us);

/* Marks the replica as out of sync if it was not confirmed for
   AM_STORE_SYNC_STALE_US.  Returns true if it is in sync.  */
bool am_store_sync_check (struct am_store_sync *s, uint64_t now_us);

/* Returns the time from which a missing item counts as removed, UINT64_MAX
   while the replica is out of sync.  */
uint64_t am_store_sync_grace_end (const struct am_store_sync *s);

/* Returns true if the replica is authoritative: the grace period has passed,
   and what is missing from it is removed.  */
bool am_store_sync_authoritative (const struct am_store_sync *s,
                                  uint64_t now_us);

#endif
