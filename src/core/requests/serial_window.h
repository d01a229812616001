/* Bitmap of the serials of issued request tickets, which makes a ticket
   single-use.

   The window covers the latest AM_SERIAL_WINDOW_SIZE serials.  A serial below
   it counts as used, since its state is no longer recorded.  */

#ifndef AM_CORE_SERIAL_WINDOW_H
#define AM_CORE_SERIAL_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

/* At 6,000 tickets per second a serial stays in the window ten times as long
   as its ticket may first be used (1 s).  */
#define AM_SERIAL_WINDOW_SIZE 65536u

enum am_serial_state
{
  AM_SERIAL_UNUSED,       /* issued, no REQUEST or CANCEL received */
  AM_SERIAL_USED,         /* issued, REQUEST or CANCEL received */
  AM_SERIAL_BELOW_WINDOW, /* issued too long ago to know whether it was used */
  AM_SERIAL_NOT_ISSUED,   /* 0, or not issued by this process so far */
};

struct am_serial_window
{
  uint64_t next; /* serial of the next ticket; the first is 1 */
  uint64_t bits[AM_SERIAL_WINDOW_SIZE / 64];
};

/* Sets up W with no serial issued.  */
void am_serial_init (struct am_serial_window *w);

/* Allocates the next serial, in state UNUSED.  */
uint64_t am_serial_issue (struct am_serial_window *w);

/* Returns the state of SERIAL.  */
enum am_serial_state am_serial_state (const struct am_serial_window *w,
                                      uint64_t serial);

/* Marks SERIAL as used.  Returns false if its state was not UNUSED.  */
bool am_serial_mark_used (struct am_serial_window *w, uint64_t serial);

#endif
