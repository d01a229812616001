/* Index of the store that goes with a configuration; travels with the digest,
   so that a new reader watches from there.  */

#ifndef AM_CORE_CONTROL_STORE_INDEX_H
#define AM_CORE_CONTROL_STORE_INDEX_H

#include "core/control_board.h"

/* A member says that the store held the configuration DIGEST at INDEX.  */
void am_store_index_heard (struct am_control *c, uint64_t digest,
                           uint64_t index);

/* Returns the index at which the store held the present configuration, or
   0.  */
uint64_t am_store_index (const struct am_control *c);

#endif
