/* Deduplication table for the ticketless requests of a service, kept by the
   forwarder that owns them (docs/notes/one-time-tracked.md).

   Only the owner executes a request, and it stores each request id for longer
   than retransmissions of it can arrive.  An id consists of the caller's IP
   address and the connection id.  Its lifetime counts from the first
   transmission; the caller does not retransmit after it.  A request may state
   the age of its id.  An id that was first sent after the grant of the
   previous owner had expired cannot have been executed by that owner.

   All times are in microseconds of the monotonic clock.  */

#ifndef AM_CORE_DEDUP_TABLE_H
#define AM_CORE_DEDUP_TABLE_H

#include <uthash.h>

#include "base/list.h"
#include "core/ownership/owner_lease.h"

/* Lifetime of an id, and the maximum transit time of a retransmission after
   it: 1 s on each of two network paths and AM_DEDUP_SUSPENSION_MIN_US at each
   of two VMs.  An entry is kept for the sum of both.  */
#define AM_DEDUP_ID_LIFETIME_US 10000000u
#define AM_DEDUP_TRANSIT_MAX_US 4000000u
#define AM_DEDUP_RETENTION_US \
  (AM_DEDUP_ID_LIFETIME_US + AM_DEDUP_TRANSIT_MAX_US)

/* A process without an event for this time (ten ticks) was suspended:
   retransmissions whose ids have already been removed from the table may be
   queued in its sockets.  They are read within AM_DEDUP_DRAIN_US after it
   resumes.  */
#define AM_DEDUP_SUSPENSION_MIN_US 1000000u
#define AM_DEDUP_DRAIN_US 2000000u

/* Age of a request that states none.  */
#define AM_DEDUP_AGE_UNKNOWN UINT64_MAX

/* Capacity of the table of one service: 14 s at 1,170 requests per second.
   When it is full, new requests are not executed.  */
#define AM_DEDUP_IDS_MAX 16384u

/* How to handle a request.  */
enum am_dedup_result
{
  AM_DEDUP_NOT_OWNER, /* forward it to the owner, or reply UNKNOWN */
  AM_DEDUP_NEW,       /* first arrival, now in the table: execute it or
                           reply NOT-RUN */
  AM_DEDUP_DUPLICATE, /* already in the table */
  AM_DEDUP_UNKNOWN,   /* may have been executed before: reply UNKNOWN */
};

/* Outcome of the request of an entry.  */
enum am_dedup_outcome
{
  AM_DEDUP_PENDING, /* still being executed */
  AM_DEDUP_ANSWERED,
  AM_DEDUP_NOT_RUN,
  AM_DEDUP_LOST, /* whether it was executed is not known: UNKNOWN */
};

struct am_dedup_key
{
  uint64_t connection_id;
  uint64_t ip; /* 8 bytes, so that the hashed key has no padding */
};

struct am_dedup_entry
{
  UT_hash_handle hh;
  struct am_list node; /* in the list BY_AGE, oldest first */
  struct am_dedup_key key;
  uint64_t arrived_us;
  enum am_dedup_outcome outcome;
  int error;
  uint64_t serial; /* serial number of the request; 0: none */
};

struct am_dedup
{
  struct am_dedup_entry *ids;
  struct am_list by_age;
  uint64_t boot_id;        /* of this process */
  uint64_t epoch;          /* of the last grant; 0: none yet */
  uint64_t until_us;       /* end of the grant */
  uint64_t grace_until_us; /* before this time an id that is not in the table
                              and may be older than acquired_us is UNKNOWN */
  uint64_t acquired_us;    /* no previous owner had a valid grant after it */
  uint64_t drain_until_us; /* before this time, after a suspension of the
                              process, any id not in the table is UNKNOWN */
  uint64_t last_event_us;
  uint64_t imported_epoch; /* complete table of this epoch was imported; 0:
                              none */
  uint64_t imported_grace_until_us; /* grace of that table's owner */
};

/* Initializes the empty table O of the process BOOT_ID.  */
void am_dedup_init (struct am_dedup *o, uint64_t now_us, uint64_t boot_id);

/* Frees all entries.  */
void am_dedup_finish (struct am_dedup *o);

/* Applies the grant G of the agent; G and NOW_US use the same clock.  Returns
   AM_OK, AM_E_REVISION (the epoch is older than the current one) or
   AM_E_ISSUER_GONE (the grant is for another process).  */
int am_dedup_apply_grant (struct am_dedup *o, uint64_t now_us,
                          const struct am_lease_grant *g);

/* Classifies a REQUEST with KEY that arrives at NOW_US and was first
   transmitted AGE_US before this transmission, or AM_DEDUP_AGE_UNKNOWN.  Adds
   an entry for AM_DEDUP_NEW.  *ID is the entry for AM_DEDUP_NEW and
   AM_DEDUP_DUPLICATE, owned by the table, else NULL.  A retransmission of a
   request that was forwarded before is classified anew.  If there is no memory
   or capacity for a new entry, the result is AM_DEDUP_UNKNOWN.  */
enum am_dedup_result am_dedup_admit (struct am_dedup *o, uint64_t now_us,
                                     const struct am_dedup_key *key,
                                     uint64_t age_us,
                                     struct am_dedup_entry **id);

/* Returns true if the table contains KEY.  */
bool am_dedup_contains (const struct am_dedup *o,
                        const struct am_dedup_key *key);

/* Returns the time before which an upstream may begin to execute a request
   sent at NOW_US, or 0 if none may be sent.  */
uint64_t am_dedup_not_after (const struct am_dedup *o, uint64_t now_us);

/* Records the outcome of the request of KEY and its ERROR.  Ignored unless the
   entry exists and is pending.  */
void am_dedup_set_outcome (struct am_dedup *o, const struct am_dedup_key *key,
                           enum am_dedup_outcome outcome, int error);

/* Returns true if this process is not the owner and may forward a REQUEST that
   it reads at NOW_US, that is, if it was not suspended just before.  */
bool am_dedup_may_forward (struct am_dedup *o, uint64_t now_us);

/* Imports one entry of the owner of the previous epoch.  A pending request
   becomes AM_DEDUP_LOST.  Returns AM_OK, or AM_E_MEMORY or AM_E_LIMIT, after
   which the imported table is incomplete.  */
int am_dedup_import (struct am_dedup *o, uint64_t now_us,
                     const struct am_dedup_key *key,
                     enum am_dedup_outcome outcome, int error);

/* Records that the table of EPOCH was imported completely.  The grace time of
   its owner had GRACE_US left.  */
void am_dedup_import_done (struct am_dedup *o, uint64_t now_us, uint64_t epoch,
                           uint64_t grace_us);

/* Removes entries whose retransmissions can no longer arrive.  To be called at
   least every 100 ms.  */
void am_dedup_tick (struct am_dedup *o, uint64_t now_us);

#endif
