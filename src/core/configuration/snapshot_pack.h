/* The snapshot in force, packed again from the board.

   It may differ from the one last applied, which may have offered older
   revisions or left services out.  */

#ifndef AM_CORE_SNAPSHOT_PACK_H
#define AM_CORE_SNAPSHOT_PACK_H

#include "core/board.h"

/* Packs services, members, keys and verdicts of B.  Of a member only what the
   board holds is there: no gossip or control port.  *DATA belongs to the
   caller, who frees it.  Returns AM_OK, AM_E_NOT_FOUND if no snapshot was
   applied yet, or AM_E_MEMORY.  */
int am_snapshot_pack (const struct am_board *b, uint8_t **data, size_t *len);

#endif
