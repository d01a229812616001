/* Internal functions of the lease (core/ownership/owner_lease.h).
   owner_lease_rules.c decides whether and when this VM may acquire the key;
   owner_lease_promise.c handles promises and extends the grant by them.  */

#ifndef AM_CORE_OWNER_LEASE_INTERNAL_H
#define AM_CORE_OWNER_LEASE_INTERNAL_H

#include "core/ownership/owner_lease.h"

/* Returns the index of this VM in the home set, or the size of the set if it
   is not a member.  */
size_t am_lease_rank (const struct am_lease *l);

/* Returns true if the grant is currently valid.  */
bool am_lease_is_granted (const struct am_lease *l);

/* Returns true if this VM may acquire the key whose read result is E.  Updates
   the highest epoch seen.  */
bool am_lease_may_acquire (struct am_lease *l,
                           const struct am_lease_read_result *e);

/* Returns true if the key has been free for the delay that applies to the rank
   of this VM.  A VM that received the complete deduplication table does not
   wait.  */
bool am_lease_acquire_due (struct am_lease *l,
                           const struct am_lease_read_result *e);

/* Passes an action of TYPE with the current call, session and value of the
   lease to the sink.  */
void am_lease_emit (struct am_lease *l, enum am_lease_action_type type);

/* Extends the grant as far as the session allows or, during an outage of the
   store, the promises.  */
void am_lease_extend_grant (struct am_lease *l);

/* Returns the time until which ownership is secured by promises of all
   eligible successors, with the safety margin subtracted, or 0.  */
uint64_t am_lease_promised_until (const struct am_lease *l);

/* Requests a promise from each eligible successor whose promise is due for
   renewal.  A reply is accepted for the last request only and counts from the
   time of that request.  */
void am_lease_request_promises (struct am_lease *l);

#endif
