#include "io/program.h"

#include <argp.h>
#include <errno.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/error.h"

#define VERSION_SIZE 64

void
am_program_init (const char *name)
{
  static char version[VERSION_SIZE];

  snprintf (version, sizeof version, "%s (amaranthcroft) %s", name,
            AM_VERSION);
  argp_program_version = version;
  argp_err_exit_status = AM_EXIT_USAGE;
}

/* Passes on the first line that is written to it; argp adds a second one
   that only names --help.  */
static ssize_t
write_first_line (void *cookie, const char *data, size_t len)
{
  bool *ended = cookie;
  const char *newline = memchr (data, '\n', len);
  size_t n = newline ? (size_t)(newline - data) + 1 : len;

  if (*ended)
    return (ssize_t)len;
  *ended = newline != NULL;
  return write (STDERR_FILENO, data, n) < 0 ? 0 : (ssize_t)len;
}

int
am_program_parse (const struct argp *argp, int argc, char **argv, void *input)
{
  static bool ended;
  const cookie_io_functions_t functions = { .write = write_first_line };
  FILE *whole = stderr;
  FILE *first = fopencookie (&ended, "w", functions);
  int err;

  argp_err_exit_status = AM_EXIT_USAGE;
  if (!first)
    return ENOMEM;
  ended = false;
  setvbuf (first, NULL, _IOLBF, 0);
  stderr = first;
  err = argp_parse (argp, argc, argv, 0, NULL, input);
  stderr = whole;
  fclose (first);
  return err;
}

int
am_program_exit_code (int error)
{
  switch (error)
    {
    case AM_OK:
      return AM_EXIT_OK;
    case AM_E_ARGUMENT:
      return AM_EXIT_USAGE;
    case AM_E_SHORT:
    case AM_E_FORMAT:
    case AM_E_VERSION:
    case AM_E_TOO_LARGE:
    case AM_E_NOT_UTF8:
    case AM_E_IO:
    case AM_E_NOT_FOUND:
    case AM_E_EXISTS:
    case AM_E_FIELD_UNKNOWN:
    case AM_E_FIELD_MISSING:
    case AM_E_FIELD_TYPE:
    case AM_E_FIELD_RANGE:
    case AM_E_FIELD_VALUE:
    case AM_E_ADDRESS_IN_USE:
    case AM_E_PERMISSIONS:
    case AM_E_STATE:
    case AM_E_QUARANTINE:
      return AM_EXIT_DATA;
    case AM_E_AUTH:
    case AM_E_CONNECTION:
    case AM_E_STORE:
    case AM_E_STORE_UNSURE:
    case AM_E_STORE_OLD:
      return AM_EXIT_UNAVAILABLE;
    case AM_E_TIMEOUT:
    case AM_E_CONFLICT:
      return AM_EXIT_TEMPFAIL;
    default:
      return AM_EXIT_SOFTWARE;
    }
}
