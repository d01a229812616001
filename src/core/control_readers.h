/* Readers of the store.

   In each data centre the first AM_READERS live members in rendezvous order
   hold a watch; so the number of calls does not grow with the fleet.  An agent
   that has no configuration after it asked its peers reads the store once.  */

#ifndef AM_CORE_CONTROL_READERS_H
#define AM_CORE_CONTROL_READERS_H

#include "core/control_board.h"

#define AM_READERS 2

/* Time after which the store answers a watch without a change.  */
#define AM_WATCH_MS 60000u

/* Handles the result of a read.  Returns AM_OK or the store's error.  */
int am_readers_result (struct am_control *c, const struct am_control_store *s);

/* Decides whether this VM is a reader and starts a read that is due.  */
void am_readers_tick (struct am_control *c);

#endif
