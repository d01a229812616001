/* Weight of an upstream, as set in the service record.  Not related to the
   weight of a request class (core/placement/admission.h).  */

#ifndef AM_CORE_WEIGHT_H
#define AM_CORE_WEIGHT_H

#include "core/board.h"

/* Returns the weight of U relative to an upstream of 100 percent, without its
   slow start factor.  A weight of 0 percent means not set, that is 100.  */
double am_upstream_weight (const struct am_upstream *u);

#endif
