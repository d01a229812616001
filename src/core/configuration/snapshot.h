/* Snapshot: the configuration that the agent sends to the forwarder.

   A snapshot is applied to the board incrementally: counters, health states
   and bindings of services and upstreams that remain are kept.  A malformed
   snapshot is rejected as a whole.  An agent with an older or empty
   configuration may omit objects that exist; these are kept:

   - a service with a lower revision than the one in force is not applied,
     and a service that is missing is dropped only if it is retired or if
     another service now has its address;
   - a member that is missing is dropped after AM_MEMBER_KEEP_US, at once if
     it was dead or had left;
   - an empty key list keeps the keys.  */

#ifndef AM_CORE_SNAPSHOT_H
#define AM_CORE_SNAPSHOT_H

#include "core/board.h"

/* An agent that has restarted needs a few probe rounds to detect every member
   again; until then its snapshots must not reassign credits and buckets.  */
#define AM_MEMBER_KEEP_US 30000000u

/* Applies the LEN bytes at DATA, a packed Amaranth__Snapshot.  Returns AM_OK,
   AM_E_FORMAT, AM_E_FIELD_VALUE, AM_E_FIELD_RANGE, AM_E_EXISTS (an id or
   address twice) or AM_E_MEMORY.  On an error other than AM_E_MEMORY nothing
   has changed.  */
int am_snapshot_apply (struct am_board *b, const uint8_t *data, size_t len);

/* Applies the LEN bytes at DATA, a packed Amaranth__SnapshotDelta, which leads
   to the same state as the full snapshot that it replaces.  Returns AM_OK;
   AM_E_BASE if the delta is based on another snapshot than the active one, or
   if that one was not activated completely; or an error as above,
   AM_E_FIELD_VALUE also for something gone that was not there.  On an error
   other than AM_E_MEMORY nothing has changed; after AM_E_MEMORY every delta is
   rejected until a full snapshot is applied.  */
int am_snapshot_apply_delta (struct am_board *b, const uint8_t *data,
                             size_t len);

/* Removes members that have been missing for too long.  Called at each
   tick.  */
void am_snapshot_tick (struct am_board *b);

/* Frees all services with their binding state.  */
void am_snapshot_finish (struct am_board *b);

#endif
