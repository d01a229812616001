/* Serialization of the active snapshot from the board.

   It may differ from the snapshot applied last, which may have contained older
   revisions or omitted services.  */

#ifndef AM_CORE_SNAPSHOT_PACK_H
#define AM_CORE_SNAPSHOT_PACK_H

#include "core/board.h"

/* Serializes services, members, keys and verdicts of B.  A member contains
   only what the board has of it: no gossip or control port.  The caller frees
   *DATA. Returns AM_OK, AM_E_NOT_FOUND if no snapshot was applied yet, or
   AM_E_MEMORY.  */
int am_snapshot_pack (const struct am_board *b, uint8_t **data, size_t *len);

#endif
