/* Index of the store that corresponds to a configuration.  It is sent together
   with the digest, so that a new reader continues the watch from there.  */

#ifndef AM_CORE_CONTROL_STORE_INDEX_H
#define AM_CORE_CONTROL_STORE_INDEX_H

#include "core/control_board.h"

/* A member reports that the store contained the configuration with DIGEST at
   INDEX.  */
void am_store_index_heard (struct am_control *c, uint64_t digest,
                           uint64_t index);

/* Returns the index at which the store contained the present configuration, or
   0 if unknown.  */
uint64_t am_store_index (const struct am_control *c);

#endif
