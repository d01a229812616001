/* Structured lines on standard output, "EVENT key=value ...", with the time of
   day in front.

   Each class of lines has a budget a second; lines above it are counted and
   the count is written later.  Lines wait in a buffer of fixed size and are
   written without blocking: a reader that stops costs lines, never packets. */

#ifndef AM_ENTRY_LINE_LOG_H
#define AM_ENTRY_LINE_LOG_H

#include <stddef.h>
#include <stdint.h>

#include "base/log.h"

#define AM_LINE_LOG_SIZE 65536

/* Lines a second.  The first is twice the new flows of a VM on the users'
   busiest days.  */
#define AM_LINE_FLOW_BUDGET 40u
#define AM_LINE_REFUSE_BUDGET 40u
#define AM_LINE_DISCOVERY_BUDGET 60u
#define AM_LINE_STATE_BUDGET 40u

enum am_line_class
{
  AM_LINE_STATE,     /* start, stop, reload, dependencies */
  AM_LINE_DISCOVERY, /* what the process holds true: targets, configuration */
  AM_LINE_FLOW,      /* placement of a new flow */
  AM_LINE_REFUSE,    /* resets and drops */
  AM_LINE_CLASS_COUNT
};

struct am_line_log
{
  int fd;
  struct am_log_limiter limiters[AM_LINE_CLASS_COUNT];
  uint64_t lost; /* lines for which the buffer had no room */
  size_t len;
  char data[AM_LINE_LOG_SIZE];
};

/* Sets up L to write to FD, which is made non-blocking.  */
void am_line_log_init (struct am_line_log *l, int fd);

/* Adds one line of CLASS, if its budget allows.  */
void am_line_log_add (struct am_line_log *l, enum am_line_class class,
                      uint64_t now_us, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/* Writes as much as the reader takes.  */
void am_line_log_flush (struct am_line_log *l);

#endif
