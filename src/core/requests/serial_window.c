#include "core/requests/serial_window.h"

#include <string.h>

static uint64_t
bit_of (uint64_t serial)
{
  return (uint64_t)1 << serial % 64;
}

static uint64_t *
word_of (struct am_serial_window *w, uint64_t serial)
{
  return &w->bits[serial % AM_SERIAL_WINDOW_SIZE / 64];
}

void
am_serial_init (struct am_serial_window *w)
{
  memset (w, 0, sizeof *w);
  w->next = 1;
}

uint64_t
am_serial_issue (struct am_serial_window *w)
{
  uint64_t serial = w->next++;

  *word_of (w, serial) &= ~bit_of (serial);
  return serial;
}

enum am_serial_state
am_serial_state (const struct am_serial_window *w, uint64_t serial)
{
  if (serial == 0 || serial >= w->next)
    return AM_SERIAL_NOT_ISSUED;
  if (w->next - serial > AM_SERIAL_WINDOW_SIZE)
    return AM_SERIAL_BELOW_WINDOW;
  if (w->bits[serial % AM_SERIAL_WINDOW_SIZE / 64] & bit_of (serial))
    return AM_SERIAL_USED;
  return AM_SERIAL_UNUSED;
}

bool
am_serial_mark_used (struct am_serial_window *w, uint64_t serial)
{
  if (am_serial_state (w, serial) != AM_SERIAL_UNUSED)
    return false;
  *word_of (w, serial) |= bit_of (serial);
  return true;
}
