/* Planned stop of this VM: when its process may end.

   After SIGTERM the VM reports that it is not ready, but the routers keep
   sending packets for about a second, until two of their checks have failed,
   and go on if too few VMs of the data centre are ready.  Packets sent to a VM
   that has ended are lost, and so are SYNs that it still holds back: their
   callers have no other way to a target.

   All times are microseconds of the monotonic clock.  */

#ifndef AM_FLOW_SHUTDOWN_H
#define AM_FLOW_SHUTDOWN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The routers check readiness twice a second.  */
#define AM_SHUTDOWN_MIN_US 2000000u
#define AM_SHUTDOWN_QUIET_US 1000000u

struct am_shutdown
{
  uint64_t begin_us; /* 0: not begun */
  uint64_t limit_us; /* longest time until the end of the process */
};

/* Returns true if the process may end: no packet has come for
   AM_SHUTDOWN_QUIET_US, LAST_PACKET_US being the time of the last one, and
   none of the SYNs that it QUEUED is left.  True in any case at the limit.  */
bool am_shutdown_complete (const struct am_shutdown *s,
                           uint64_t last_packet_us, size_t queued,
                           uint64_t now_us);

#endif
