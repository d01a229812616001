/* History of one process: JSON lines as in docs/notes/history.md.  */

#ifndef AM_STANDIN_HISTORY_H
#define AM_STANDIN_HISTORY_H

#include <stdio.h>
#include <uv.h>

struct standin_history
{
  FILE *out;
  const char *who;
  uv_prepare_t flush;
};

/* Opens FILE for appending; lines are handed to the system before the loop
   waits, so that a killed process loses at most one turn of its loop.
   Returns AM_OK or AM_E_IO.  */
int standin_history_open (struct standin_history *h, uv_loop_t *loop,
                          const char *file, const char *who);

/* Writes one event; FORMAT gives the further fields as the inside of a JSON
   object, or is empty.  Strings in it must need no escapes.  */
void standin_history_event (struct standin_history *h, const char *event,
                            const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

void standin_history_close (struct standin_history *h);

#endif
