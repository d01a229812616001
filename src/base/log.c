#include "base/log.h"

#include <stdarg.h>
#include <string.h>
#include <unistd.h>

#include "base/error.h"

#define WINDOW_US 1000000u
#define LINE_SIZE 1024

void
am_log_init (struct am_log *log, FILE *out, const char *program, int level)
{
  log->out = out;
  log->program = program;
  log->level = level;
}

int
am_log_level_parse (int *level, const char *name)
{
  static const char *const names[]
      = { "error", "warning", "notice", "info", "debug" };

  for (int i = 0; i < (int)(sizeof names / sizeof names[0]); i++)
    if (strcmp (name, names[i]) == 0)
      {
        *level = AM_LOG_ERROR + i;
        return AM_OK;
      }
  return AM_E_FIELD_VALUE;
}

void
am_log_line (struct am_log *log, int level, const char *format, ...)
{
  char line[LINE_SIZE];
  va_list ap;

  if (level > log->level)
    return;
  va_start (ap, format);
  vsnprintf (line, sizeof line, format, ap);
  va_end (ap);
  fprintf (log->out, "<%d>%s[%d]: %s\n", level, log->program, (int)getpid (),
           line);
}

bool
am_log_allow (struct am_log_limiter *l, uint64_t now_us, uint32_t *held_back)
{
  *held_back = 0;
  if (now_us - l->window_start_us >= WINDOW_US)
    {
      *held_back = l->held_back;
      l->window_start_us = now_us;
      l->lines = 0;
      l->held_back = 0;
    }
  if (l->limit && l->lines >= l->limit)
    {
      l->held_back++;
      return false;
    }
  l->lines++;
  return true;
}
