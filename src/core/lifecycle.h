/* Graceful stop of the forwarder (docs/design.md, section 4.6).

     state     event                            becomes
     serving   STOP                             stopping
     stopping  STOP                             stopping
     stopping  tick, nothing pinned here        exit, once

   While it stops, the forwarder still routes flows, answers for its requests
   and passes OPEN on to a home VM.  */

#ifndef AM_CORE_LIFECYCLE_H
#define AM_CORE_LIFECYCLE_H

#include "core/dispatch.h"

/* Members hear of the stop by gossip and until then still pass requests and
   introductions here; a stop never ends before this time.  */
#define AM_STOP_MINIMUM_US 2000000u

/* Begins the stop.  */
void am_lifecycle_stop (struct am_dispatch *d);

/* Emits AM_ACTION_EXIT once when the stop is complete.  */
void am_lifecycle_tick (struct am_dispatch *d);

#endif
