/* Ownership of the ticketless requests of a service: the forwarder's side
   (docs/notes/one-time-tracked.md).

   Only the owner runs a request, and it remembers each id for longer than
   copies of it can arrive.  An id is the caller's IP address and the
   connection id; its lifetime counts from its first sending, and the caller
   sends no copy later.  A copy may state the age of its id.  An id that was
   first sent after the owner before had lost its validity cannot have run
   there.  */

#ifndef AM_CORE_OWNER_H
#define AM_CORE_OWNER_H

#include <uthash.h>

#include "base/list.h"
#include "core/ownership/owner_lease.h"

/* Lifetime of an id, and how much longer a copy may be on its way: 1 s on each
   of two ways and AM_DEDUP_SUSPENSION_MIN_US at each of two VMs.  */
#define AM_DEDUP_ID_LIFETIME_US 10000000u
#define AM_DEDUP_TRANSIT_MAX_US 4000000u
#define AM_DEDUP_RETENTION_US \
  (AM_DEDUP_ID_LIFETIME_US + AM_DEDUP_TRANSIT_MAX_US)

/* Without an event for this time (ten ticks) the process was paused: copies
   older than the memory of their ids may wait in its sockets.  They are read
   within the time after it.  */
#define AM_DEDUP_SUSPENSION_MIN_US 1000000u
#define AM_DEDUP_DRAIN_US 2000000u

/* Age of a copy that states none.  */
#define AM_DEDUP_AGE_UNKNOWN UINT64_MAX

/* Ids of one service; 14 s at 1,170 a second.  An id beyond it is not run.  */
#define AM_DEDUP_IDS_MAX 16384u

enum am_dedup_result
{
  AM_DEDUP_NOT_OWNER, /* not the owner: pass it on, or answer UNKNOWN */
  AM_DEDUP_NEW,       /* new: remembered now; run it or tell NOT-RUN */
  AM_DEDUP_DUPLICATE, /* remembered */
  AM_DEDUP_UNKNOWN,   /* may have been run: answer UNKNOWN */
};

/* Outcome of a remembered id.  */
enum am_dedup_outcome
{
  AM_DEDUP_PENDING,
  AM_DEDUP_ANSWERED,
  AM_DEDUP_NOT_RUN,
  AM_DEDUP_LOST, /* UNKNOWN */
};

struct am_dedup_key
{
  uint64_t connection_id;
  uint64_t ip; /* 8 bytes: no padding in the key */
};

struct am_dedup_entry
{
  UT_hash_handle hh;
  struct am_list node; /* oldest first */
  struct am_dedup_key key;
  uint64_t arrived_us;
  enum am_dedup_outcome outcome;
  int error;
  uint64_t serial; /* of the request; 0: none */
};

struct am_dedup
{
  struct am_dedup_entry *ids;
  struct am_list by_age;
  uint64_t boot_id; /* of this process */
  uint64_t epoch;   /* of the last grant; 0: none yet */
  uint64_t until_us;
  uint64_t grace_until_us; /* an id not seen that may be older than
                              taken_us is UNKNOWN before this time */
  uint64_t taken_us;       /* no owner before was valid later */
  uint64_t drain_until_us; /* same, after a pause */
  uint64_t seen_us;        /* time of the last event */
  uint64_t imported_epoch; /* whole table of this epoch taken over; 0: none */
  uint64_t imported_grace_until_us;
};

void am_dedup_init (struct am_dedup *o, uint64_t now_us, uint64_t boot_id);
void am_dedup_finish (struct am_dedup *o);

/* Takes the agent's grant G, whose times are of the clock of NOW_US.  Returns
   AM_OK, AM_E_REVISION (an older epoch than one in force) or
   AM_E_ISSUER_GONE (the grant is for a process before this one).  */
int am_dedup_apply_grant (struct am_dedup *o, uint64_t now_us,
                          const struct am_lease_grant *g);

/* Judges a REQUEST with KEY, which was first sent AGE_US before this copy, or
   AM_DEDUP_AGE_UNKNOWN.  *ID is the remembered id for RUN and REPEAT, else
   NULL.  A copy of what was passed on before is judged again.  */
enum am_dedup_result am_dedup_admit (struct am_dedup *o, uint64_t now_us,
                                     const struct am_dedup_key *key,
                                     uint64_t age_us,
                                     struct am_dedup_entry **id);

/* Returns true if the id of KEY is remembered.  */
bool am_dedup_contains (const struct am_dedup *o,
                        const struct am_dedup_key *key);

/* Returns the time before which an upstream may begin work sent now, or 0 if
   nothing may be sent.  */
uint64_t am_dedup_not_after (const struct am_dedup *o, uint64_t now_us);

/* The request of KEY has ended.  */
void am_dedup_set_outcome (struct am_dedup *o, const struct am_dedup_key *key,
                           enum am_dedup_outcome outcome, int error);

/* Returns true if a process that is not the owner may pass on a REQUEST that
   it reads now.  */
bool am_dedup_may_forward (struct am_dedup *o, uint64_t now_us);

/* Takes over one id of the owner of the epoch before.  Returns AM_OK or
   AM_E_MEMORY, AM_E_LIMIT: then the table is not whole.  */
int am_dedup_import (struct am_dedup *o, uint64_t now_us,
                     const struct am_dedup_key *key,
                     enum am_dedup_outcome outcome, int error);

/* The whole table of EPOCH was taken over; its owner was in its grace for
   GRACE_US more.  */
void am_dedup_import_done (struct am_dedup *o, uint64_t now_us, uint64_t epoch,
                           uint64_t grace_us);

/* Forgets ids whose copies can no longer arrive.  To be called at least every
   100 ms.  */
void am_dedup_tick (struct am_dedup *o, uint64_t now_us);

#endif
