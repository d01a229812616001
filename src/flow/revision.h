/* Revision of the store: the era, which rises each time the store comes back
   from an older copy of itself, and the number that the store counts its
   changes with.

   After such a return the store gives out numbers again that it has given out
   before.  So revisions are ordered by era first: whatever the store says in a
   later era is newer than all that it said in an earlier one.  A store that
   has never been restored is in era 0; there a revision equals its number.

   0 is no revision.  */

#ifndef AM_FLOW_REVISION_H
#define AM_FLOW_REVISION_H

#include <stdint.h>

#define AM_REVISION_NUMBER_BITS 44
#define AM_REVISION_NUMBER_MAX ((UINT64_C (1) << AM_REVISION_NUMBER_BITS) - 1)
#define AM_REVISION_ERA_MAX \
  ((UINT32_C (1) << (64 - AM_REVISION_NUMBER_BITS)) - 1)

/* The higher one is newer.  */
typedef uint64_t am_revision;

/* ERA and NUMBER are at most AM_REVISION_ERA_MAX and AM_REVISION_NUMBER_MAX.
 */
static inline am_revision
am_revision_make (uint32_t era, uint64_t number)
{
  return (uint64_t)era << AM_REVISION_NUMBER_BITS | number;
}

static inline uint32_t
am_revision_era (am_revision r)
{
  return (uint32_t)(r >> AM_REVISION_NUMBER_BITS);
}

static inline uint64_t
am_revision_number (am_revision r)
{
  return r & AM_REVISION_NUMBER_MAX;
}

#endif
