#include "entry/line_log.h"

#include <ctype.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "io/clock.h"

#define LINE_SIZE 320

static const uint32_t rates_max[AM_LINE_CLASS_COUNT] = {
  [AM_LINE_STATE] = AM_LINE_STATE_RATE_MAX,
  [AM_LINE_DISCOVERY] = AM_LINE_DISCOVERY_RATE_MAX,
  [AM_LINE_FLOW] = AM_LINE_FLOW_RATE_MAX,
  [AM_LINE_NOT_FORWARDED] = AM_LINE_NOT_FORWARDED_RATE_MAX,
};

static const char *const class_names[AM_LINE_CLASS_COUNT] = {
  [AM_LINE_STATE] = "state",
  [AM_LINE_DISCOVERY] = "belief",
  [AM_LINE_FLOW] = "flow",
  [AM_LINE_NOT_FORWARDED] = "refuse",
};

void
am_line_log_init (struct am_line_log *l, int fd)
{
  int flags = fcntl (fd, F_GETFL);

  l->fd = fd;
  l->len = 0;
  l->lost = 0;
  memset (l->limiters, 0, sizeof l->limiters);
  for (int i = 0; i < AM_LINE_CLASS_COUNT; i++)
    l->limiters[i].limit = rates_max[i];
  if (flags >= 0)
    fcntl (fd, F_SETFL, flags | O_NONBLOCK);
}

/* Replaces the control characters in TEXT, as a key of another writer may hold
   a line break.  */
static void
replace_controls (char *text)
{
  for (; *text; text++)
    {
      if (iscntrl ((unsigned char)*text))
        *text = '?';
    }
}

/* Appends "TIME TEXT\n" to the buffer, or counts the line as lost.  */
static void
append (struct am_line_log *l, const char *text)
{
  uint64_t wall_ms = am_clock_wall_ms ();
  char line[LINE_SIZE + 32];
  int n;

  n = snprintf (line, sizeof line, "%" PRIu64 ".%03u %s\n", wall_ms / 1000u,
                (unsigned)(wall_ms % 1000u), text);
  if (l->len + (size_t)n > sizeof l->data)
    {
      l->lost++;
      return;
    }
  memcpy (l->data + l->len, line, (size_t)n);
  l->len += (size_t)n;
}

void
am_line_log_add (struct am_line_log *l, enum am_line_class class,
                 uint64_t now_us, const char *format, ...)
{
  char text[LINE_SIZE];
  uint32_t held_back;
  bool allowed = am_log_allow (&l->limiters[class], now_us, &held_back);
  va_list ap;

  if (held_back)
    {
      snprintf (text, sizeof text, "lines-held-back class=%s count=%" PRIu32,
                class_names[class], held_back);
      append (l, text);
    }
  if (!allowed)
    return;
  va_start (ap, format);
  vsnprintf (text, sizeof text, format, ap);
  va_end (ap);
  replace_controls (text);
  append (l, text);
}

void
am_line_log_flush (struct am_line_log *l)
{
  ssize_t n;

  if (!l->len)
    return;
  n = write (l->fd, l->data, l->len);
  if (n <= 0)
    return;
  l->len -= (size_t)n;
  memmove (l->data, l->data + n, l->len);
}
