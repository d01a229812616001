/* Parts of the lease (core/ownership/control_owner.h) that its state machine
   uses: control_owner_rules.c says who may acquire the key and when,
   control_owner_promise.c keeps the promises and extends the grant by them.
 */

#ifndef AM_CORE_CONTROL_OWNER_PARTS_H
#define AM_CORE_CONTROL_OWNER_PARTS_H

#include "core/ownership/owner_lease.h"

/* Returns the place of this VM in the home set, or its count if it has none.
 */
size_t am_lease_rank (const struct am_lease *l);

bool am_lease_is_granted (const struct am_lease *l);

/* Returns true if this VM may acquire the key that was read as E.  */
bool am_lease_may_acquire (struct am_lease *l,
                           const struct am_lease_read_result *e);

/* Returns true if a VM of this rank has waited long enough.  A VM that has
   the whole table does not wait.  */
bool am_lease_acquire_due (struct am_lease *l,
                           const struct am_lease_read_result *e);

/* Hands an action of this TYPE, with the lease's present call, session and
   value, to the sink.  */
void am_lease_emit (struct am_lease *l, enum am_lease_action_type type);

/* Extends the grant by what the session and the promises allow.  */
void am_lease_extend_grant (struct am_lease *l);

/* Returns the time until which every eligible successor has promised, or 0.
 */
uint64_t am_lease_promised_until (const struct am_lease *l);

/* Asks each eligible successor whose promise is due for renewal.  An answer
   counts for the last question only, from the time it was asked.  */
void am_lease_request_promises (struct am_lease *l);

#endif
