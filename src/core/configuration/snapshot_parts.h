/* Application of the parts of a snapshot to the board, one after the other.

   Each part accepts a full snapshot and the contents of a delta.  */

#ifndef AM_CORE_SNAPSHOT_PARTS_H
#define AM_CORE_SNAPSHOT_PARTS_H

#include <stdio.h>

#include "core/board.h"

static inline void
am_snapshot_name (char *to, const char *from)
{
  snprintf (to, AM_NAME_SIZE, "%s", from);
}

static inline uint32_t
am_snapshot_default (uint32_t value, uint32_t fallback)
{
  return value ? value : fallback;
}

/* ---- upstreams ---------------------------------------------------- */

/* Sets the upstreams of S to those of IN; with RAMP new ones start slowly.
   Returns AM_OK or AM_E_MEMORY.  */
int am_snapshot_upstreams (struct am_board *b, struct am_service *s,
                           const Amaranth__Service *in, bool ramp);

void am_snapshot_drop_upstream (struct am_board *b, struct am_service *s,
                                struct am_upstream *u);

/* ---- services ----------------------------------------------------- */

/* Applies all services of SNAP and removes those that it no longer contains,
   if they may be removed.  Returns AM_OK or AM_E_MEMORY.  */
int am_snapshot_services (struct am_board *b, const Amaranth__Snapshot *snap);

/* The same for the services of a delta; GONE has the ids of the N services
   that are no longer mentioned.  */
int am_snapshot_services_delta (struct am_board *b,
                                const Amaranth__Snapshot *changed,
                                const uint32_t *gone, size_t n);

/* Returns true if every service of SNAP is active as given: none is older than
   the active one, and none lacks its address.  */
bool am_snapshot_services_taken (struct am_board *b,
                                 const Amaranth__Snapshot *snap);

/* Returns the service of SNAP with ID or NULL.  */
const Amaranth__Service *
am_snapshot_find_service (const Amaranth__Snapshot *snap, uint32_t id);

/* ---- members ------------------------------------------------------ */

/* Applies all members of SNAP and marks the others as missing.  Returns AM_OK
   or AM_E_MEMORY.  */
int am_snapshot_members (struct am_board *b, const Amaranth__Snapshot *snap);

/* The same for the members of a delta.  */
int am_snapshot_members_delta (struct am_board *b,
                               const Amaranth__Snapshot *changed,
                               const uint32_t *gone, size_t n);

/* Removes members that have been missing for too long.  The caller has checked
   that there are any.  */
void am_snapshot_drop_missing (struct am_board *b);

/* ---- keys and verdicts -------------------------------------------- */

/* Activates the keys of SNAP, if it contains any.  */
void am_snapshot_keys (struct am_board *b, const Amaranth__Snapshot *snap);

/* Ejects exactly the upstreams that SNAP names.  */
void am_snapshot_verdicts (struct am_board *b, const Amaranth__Snapshot *snap);

/* Applies the verdicts of a delta and marks the services of it and of its
   verdicts as touched.  */
void am_snapshot_verdicts_delta (struct am_board *b,
                                 const Amaranth__Snapshot *changed);

#endif
