/* Leases of the agent: one for each service of its region with tracked binding
   and classes of requests (core/ownership/control_owner.h).  */

#ifndef AM_CORE_CONTROL_OWNERS_H
#define AM_CORE_CONTROL_OWNERS_H

#include "core/control_board.h"
#include "core/ownership/owner_lease.h"

struct am_service_lease
{
  UT_hash_handle hh;
  uint32_t service_id;
  char name[AM_RECORD_NAME_SIZE];
  struct am_control *control;
  struct am_lease lease;
  bool wanted;                /* scratch mark of a tick */
  enum am_lease_state logged; /* state of the last log line */
  uint64_t told_us;           /* when the forwarder was last told */
};

void am_service_leases_finish (struct am_control *c);

/* Handles the result of an AM_CONTROL_OWNER_CALL.  Returns AM_OK,
   AM_E_FORMAT (the value) or AM_E_NOT_FOUND (no such lease).  */
int am_service_leases_store_result (struct am_control *c,
                                    const struct am_control_owner_result *r);

/* Handle messages of an agent and of the forwarder.  Return AM_OK or
   AM_E_NOT_FOUND.  */
int am_service_leases_promise_message (struct am_control *c,
                                       const Amaranth__OwnerPromise *p);
int am_service_leases_forwarder_stopped (struct am_control *c,
                                         const Amaranth__OwnerGivenUp *g);

void am_service_leases_tick (struct am_control *c);

/* Returns true if a stopping agent need not wait for a lease.  */
bool am_service_leases_may_exit (const struct am_control *c);

#endif
