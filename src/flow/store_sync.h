/* How fresh this VM's copy of the store is, and what may be concluded from
   it.

   While the store is away registrations lapse although their targets live;
   they are back within AM_STORE_SYNC_GRACE_US of its return.  What is missing
   before that proves nothing.  */

#ifndef AM_FLOW_CONTACT_H
#define AM_FLOW_CONTACT_H

#include <stdbool.h>
#include <stdint.h>

/* Targets register again within about 2 s of the store's return.  */
#define AM_STORE_SYNC_GRACE_US 2500000u

/* A copy not confirmed for this time is out of date: a little more than the
   longest wait of a watch with its timeout.  */
#define AM_STORE_SYNC_STALE_US 3000000u

struct am_store_sync
{
  bool present;               /* the copy is kept up to date */
  uint64_t begin_us;          /* when this VM started */
  uint64_t last_confirmed_us; /* last confirmation; 0: none yet */
  uint64_t regained_us;       /* begin of the present contact */
};

void am_store_sync_init (struct am_store_sync *c, uint64_t now_us);

/* Returns the time since the copy was confirmed, or since the start if it
   never was.  */
uint64_t am_store_sync_age (const struct am_store_sync *c, uint64_t now_us);

/* The store, or a peer that is in contact with it, confirmed the copy.  */
void am_store_sync_confirmed (struct am_store_sync *c, uint64_t now_us);

/* The store did not answer, or this VM stood still: the copy may lack
   changes.  */
void am_store_sync_lost (struct am_store_sync *c);

/* Notices that nothing has confirmed the copy for AM_STORE_SYNC_STALE_US.
   Returns true if contact is present.  */
bool am_store_sync_check (struct am_store_sync *c, uint64_t now_us);

/* Returns the time from which an entry that is missing has ended.  */
uint64_t am_store_sync_grace_end (const struct am_store_sync *c);

/* Returns true if what is missing from the copy has ended.  */
bool am_store_sync_authoritative (const struct am_store_sync *c,
                                  uint64_t now_us);

#endif
