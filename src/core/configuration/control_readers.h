/* Readers of the store.

   In each data centre the first AM_READERS live members in rendezvous order
   hold a watch; so the number of calls does not grow with the fleet.  The key
   of the order is the digest of the configuration: each change chooses new
   readers, because the answer of the store to a change holds every record (1.7
   MB at 580 services) and the same readers all day would receive 6.3 KB/s. The
   index of the store travels with the digest, so a new reader watches from
   there.  An agent that has no configuration after it asked its peers reads
   the store once.  */

#ifndef AM_CORE_CONTROL_READERS_H
#define AM_CORE_CONTROL_READERS_H

#include "core/control_board.h"

#define AM_READERS 2

/* Time after which the store answers a watch without a change.  A watch gives
   the names of the records (20 KB at 580 services, 4 KB/s at a reader); a
   watch for the records themselves gave 1.7 MB each time.  A store that went
   back to an older state does not answer a watch before this time, and a
   configuration must be in force within 6 s.  */
#define AM_WATCH_MS 5000u

/* Handles the result of a read.  Returns AM_OK or the store's error.  */
int am_readers_result (struct am_control *c, const struct am_control_store *s);

/* Decides whether this VM is a reader and starts a read that is due.  */
void am_readers_tick (struct am_control *c);

#endif
