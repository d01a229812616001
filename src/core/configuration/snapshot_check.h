/* Checks of a snapshot before any of it is applied.  */

#ifndef AM_CORE_SNAPSHOT_CHECK_H
#define AM_CORE_SNAPSHOT_CHECK_H

#include "core/board.h"

/* Most upstreams of a service that a snapshot may carry.  */
#define AM_SNAPSHOT_UPSTREAMS_MAX 16384

/* Returns AM_OK, AM_E_FIELD_VALUE, AM_E_FIELD_RANGE, AM_E_EXISTS or
   AM_E_MEMORY.  */
int am_snapshot_check (const Amaranth__Snapshot *snap);

/* Fills S with what D carries.  Its arrays are those of D.  */
void am_snapshot_of_delta (Amaranth__Snapshot *s,
                           const Amaranth__SnapshotDelta *d);

/* Checks D, whose base is in force on B; CHANGED is what D carries.  Returns
   the same errors.  */
int am_snapshot_check_delta (struct am_board *b,
                             const Amaranth__SnapshotDelta *d,
                             const Amaranth__Snapshot *changed);

#endif
