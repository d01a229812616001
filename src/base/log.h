/* Log lines in the style of syslog, written to standard error.

   A line is "<PRIORITY>PROGRAM[PID]: EVENT key=value ...".  Levels are those
   of syslog.  A limiter bounds the rate of each event kind and reports how
   many lines it held back.  */

#ifndef AM_BASE_LOG_H
#define AM_BASE_LOG_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

enum am_log_level
{
  AM_LOG_ERROR = 3,
  AM_LOG_WARNING = 4,
  AM_LOG_NOTICE = 5,
  AM_LOG_INFO = 6,
  AM_LOG_DEBUG = 7,
};

struct am_log
{
  FILE *out;
  const char *program; /* not owned */
  int level;           /* lines above this level are dropped */
};

/* A rate limit for one kind of line: at most LIMIT lines in a second.  */
struct am_log_limiter
{
  uint64_t window_start_us;
  uint32_t lines;
  uint32_t held_back;
  uint32_t limit; /* lines a second; zero means no limit */
};

/* Sets LOG to write lines of PROGRAM up to LEVEL to OUT.  */
void am_log_init (struct am_log *log, FILE *out, const char *program,
                  int level);

/* Parses a level name ("error" to "debug") into LEVEL.  Returns AM_OK or
   AM_E_FIELD_VALUE.  */
int am_log_level_parse (int *level, const char *name);

/* Writes one line.  FORMAT gives EVENT and its key=value fields.  */
void am_log_line (struct am_log *log, int level, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Returns true if a line may be written at NOW_US.  On the first line of a
   new second *HELD_BACK is the number of lines dropped before it, else
   zero.  */
bool am_log_allow (struct am_log_limiter *l, uint64_t now_us,
                   uint32_t *held_back);

#endif
