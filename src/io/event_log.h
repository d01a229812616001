/* Recording of the events that a driver hands to the core, for replay.

   The file begins with the options of the core, then has one entry an event,
   all integers big endian.  It holds the peer key and, in the snapshots, the
   ticket keys: it is created readable by its owner only.  */

#ifndef AM_IO_EVENT_LOG_H
#define AM_IO_EVENT_LOG_H

#include <stdio.h>

#include "core/dispatch.h"
#include "wire/frame.h"

/* Largest data of one event: a snapshot.  */
#define AM_EVENT_DATA_MAX AM_FRAME_PAYLOAD_MAX

struct am_event_log
{
  FILE *file;
  uint8_t *data; /* of the event last read */
  size_t size;
};

/* Creates FILE and writes the options O.  Returns AM_OK or AM_E_IO.  */
int am_event_log_create (struct am_event_log *l, const char *file,
                         const struct am_dispatch_options *o);

/* Opens FILE and reads the options into O, but its sink; PEER_KEY
   (AM_PEER_KEY_SIZE bytes) holds the key that O points to.  Returns AM_OK,
   AM_E_IO, AM_E_SHORT, AM_E_FORMAT or AM_E_VERSION.  */
int am_event_log_open (struct am_event_log *l, const char *file,
                       struct am_dispatch_options *o, uint8_t *peer_key);

void am_event_log_close (struct am_event_log *l);

/* Writes one event.  Returns AM_OK or AM_E_IO.  */
int am_event_log_write (struct am_event_log *l, const struct am_event *e);

/* Reads the next event; its data is valid until the next call.  Returns
   AM_OK, AM_E_NOT_FOUND at the end, AM_E_SHORT, AM_E_TOO_LARGE, AM_E_FORMAT or
   AM_E_MEMORY.  */
int am_event_log_read (struct am_event_log *l, struct am_event *e);

#endif
