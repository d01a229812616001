/* Checks of a snapshot before any of it is applied.  */

#ifndef AM_CORE_SNAPSHOT_CHECK_H
#define AM_CORE_SNAPSHOT_CHECK_H

#include "wire/amaranth.pb-c.h"

/* Most upstreams of a service that a snapshot may carry.  */
#define AM_SNAPSHOT_UPSTREAMS_MAX 16384

/* Returns AM_OK, AM_E_FIELD_VALUE, AM_E_FIELD_RANGE, AM_E_EXISTS or
   AM_E_MEMORY.  */
int am_snapshot_check (const Amaranth__Snapshot *snap);

#endif
