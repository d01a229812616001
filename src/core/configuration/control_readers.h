/* Readers of the store.

   In each data centre the first AM_READERS live members in rendezvous order
   watch it, so that the number of calls does not grow with the fleet.  The
   order is keyed by the digest of the configuration, so each change selects
   new readers: the store responds to a change with every record (1.7 MB at 580
   services), and readers that stayed the same all day would receive 6.3 KB/s.
   The digest is sent together with the index of the store, from which a new
   reader continues the watch.  An agent that still has no configuration after
   it has asked its peers reads the store once.  */

#ifndef AM_CORE_CONTROL_READERS_H
#define AM_CORE_CONTROL_READERS_H

#include "core/control_board.h"

#define AM_READERS 2

/* Time after which the store ends a watch without a change.  A watch returns
   the names of the records (20 KB at 580 services, 4 KB/s at a reader); a
   watch for the records themselves returned 1.7 MB each time.  A store that
   was restored from an older state does not respond to a watch before this
   time, and a configuration must be active within 6 s.  */
#define AM_WATCH_MS 5000u

/* Handles the result of a read.  Returns AM_OK or the store's error.  */
int am_readers_result (struct am_control *c, const struct am_control_store *s);

/* Determines whether this VM is a reader, and starts a read that is due.  */
void am_readers_tick (struct am_control *c);

#endif
