/* Structured log lines "TIME EVENT key=value ..." on a file descriptor.  TIME
   is wall-clock time in seconds since the epoch, with milliseconds.

   Each class of lines has a rate limit; lines above it are dropped, and their
   number is logged with the first line of a later second ("lines-held-back").
   Lines are kept in a buffer of fixed size and written without blocking: if
   nobody reads the descriptor, lines are lost but the forwarding of packets
   goes on.  */

#ifndef AM_ENTRY_LINE_LOG_H
#define AM_ENTRY_LINE_LOG_H

#include <stddef.h>
#include <stdint.h>

#include "base/log.h"

#define AM_LINE_LOG_SIZE 65536 /* bytes */

/* Rate limits, lines per second.  AM_LINE_FLOW_RATE_MAX is twice the rate of
   new flows of one VM on the platform's busiest days.  */
#define AM_LINE_FLOW_RATE_MAX 40u
#define AM_LINE_NOT_FORWARDED_RATE_MAX 40u
#define AM_LINE_DISCOVERY_RATE_MAX 60u
#define AM_LINE_STATE_RATE_MAX 40u

enum am_line_class
{
  AM_LINE_STATE,         /* start, stop, reload, dependencies */
  AM_LINE_DISCOVERY,     /* changes of targets and configuration */
  AM_LINE_FLOW,          /* packets forwarded to set up a flow */
  AM_LINE_NOT_FORWARDED, /* packets reset, dropped or queued */
  AM_LINE_CLASS_COUNT
};

struct am_line_log
{
  int fd; /* not owned */
  struct am_log_limiter limiters[AM_LINE_CLASS_COUNT];
  uint64_t lost; /* lines dropped because the buffer was full */
  size_t len;
  char data[AM_LINE_LOG_SIZE];
};

/* Sets up L to write to FD, which is made non-blocking.  */
void am_line_log_init (struct am_line_log *l, int fd);

/* Adds one line to the buffer, unless CLASS is over its rate limit or the
   buffer is full.  FORMAT gives the line without time and newline; it is
   truncated to 319 bytes, and control characters in it become '?'.  */
void am_line_log_add (struct am_line_log *l, enum am_line_class class,
                      uint64_t now_us, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/* Writes as much of the buffer as the descriptor accepts.  */
void am_line_log_flush (struct am_line_log *l);

#endif
