/* Validation of a snapshot before any part of it is applied.  */

#ifndef AM_CORE_SNAPSHOT_CHECK_H
#define AM_CORE_SNAPSHOT_CHECK_H

#include "core/board.h"

/* Largest number of upstreams of one service in a snapshot.  */
#define AM_SNAPSHOT_UPSTREAMS_MAX 16384

/* Returns AM_OK, AM_E_FIELD_VALUE, AM_E_FIELD_RANGE, AM_E_EXISTS or
   AM_E_MEMORY.  */
int am_snapshot_check (const Amaranth__Snapshot *snap);

/* Sets S to the contents of D.  S refers to the arrays of D.  */
void am_snapshot_of_delta (Amaranth__Snapshot *s,
                           const Amaranth__SnapshotDelta *d);

/* Validates D, whose base is active on B; CHANGED is the contents of D.
   Returns the same errors.  */
int am_snapshot_check_delta (struct am_board *b,
                             const Amaranth__SnapshotDelta *d,
                             const Amaranth__Snapshot *changed);

#endif
