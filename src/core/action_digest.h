/* Running digest of the actions of the core, to compare two runs.  */

#ifndef AM_CORE_ACTION_DIGEST_H
#define AM_CORE_ACTION_DIGEST_H

#include "core/board.h"

struct am_action_digest
{
  uint64_t value;
  uint64_t actions;
};

/* Adds every field of A and its data, byte for byte.  */
void am_action_digest_add (struct am_action_digest *d,
                           const struct am_action *a);

#endif
