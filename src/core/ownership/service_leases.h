/* Leases of an agent (core/ownership/owner_lease.h): one for each service of
   its region that has tracked binding and request classes.  */

#ifndef AM_CORE_SERVICE_LEASES_H
#define AM_CORE_SERVICE_LEASES_H

#include "core/control_board.h"
#include "core/ownership/owner_lease.h"

struct am_service_lease
{
  UT_hash_handle hh;
  uint32_t service_id;
  char name[AM_RECORD_NAME_SIZE];
  struct am_control *control;
  struct am_lease lease;
  bool is_configured; /* set during a tick: the service still needs it */
  enum am_lease_state logged_state; /* state in the last log line */
  uint64_t notified_us; /* when the grant was last sent to the forwarder */
};

/* Frees all leases of C.  */
void am_service_leases_finish (struct am_control *c);

/* Handles the result of an AM_CONTROL_OWNER_CALL.  A value that cannot be
   parsed counts as a failed read.  Returns AM_OK or AM_E_NOT_FOUND (no such
   lease).  */
int am_service_leases_store_result (struct am_control *c,
                                    const struct am_control_owner_result *r);

/* Handle a promise or promise request from another agent, and the report of
   the forwarder that it executes nothing under its grant any more.  Return
   AM_OK or AM_E_NOT_FOUND (no such lease, or another epoch).  */
int am_service_leases_promise_message (struct am_control *c,
                                       const Amaranth__OwnerPromise *p);
int am_service_leases_forwarder_stopped (struct am_control *c,
                                         const Amaranth__OwnerGivenUp *g);

/* Adds leases for new services, stops those no longer needed and runs all.  */
void am_service_leases_tick (struct am_control *c);

/* Returns true if a stopping agent does not need to wait for any lease.  */
bool am_service_leases_may_exit (const struct am_control *c);

#endif
