/* Weight of an upstream, as its record has it.  */

#ifndef AM_CORE_WEIGHT_H
#define AM_CORE_WEIGHT_H

#include "core/board.h"

/* Returns the weight of U as a share of a normal target, without its ramp.
   A weight of 0 percent counts as not set, that is 100.  */
double am_upstream_weight (const struct am_upstream *u);

#endif
