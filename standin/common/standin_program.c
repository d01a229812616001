#include "common/standin_program.h"

#include <argp.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "base/error.h"
#include "io/clock.h"

static void
on_signal (uv_signal_t *handle, int number)
{
  struct standin_program *p = handle->data;

  (void)number;
  if (p->stopping || !p->stop)
    {
      uv_stop (&p->loop);
      return;
    }
  p->stopping = true;
  p->stop (p->userdata);
}

/* A stand-in for many callers or targets needs a socket for each; the default
   soft limit is 1,024.  */
static void
raise_file_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
}

int
standin_program_init (struct standin_program *p, standin_stop stop,
                      void *userdata)
{
  memset (p, 0, sizeof *p);
  p->stop = stop;
  p->userdata = userdata;
  signal (SIGPIPE, SIG_IGN);
  raise_file_limit ();
  if (uv_loop_init (&p->loop) != 0)
    return AM_E_IO;
  uv_signal_init (&p->loop, &p->terminate);
  uv_signal_init (&p->loop, &p->interrupt);
  p->terminate.data = p;
  p->interrupt.data = p;
  if (uv_signal_start (&p->terminate, on_signal, SIGTERM) != 0
      || uv_signal_start (&p->interrupt, on_signal, SIGINT) != 0)
    return AM_E_IO;
  return AM_OK;
}

int
standin_program_run (struct standin_program *p)
{
  uv_run (&p->loop, UV_RUN_DEFAULT);
  return AM_EXIT_OK;
}

void
standin_program_end (struct standin_program *p)
{
  uv_stop (&p->loop);
}

static void
close_handle (uv_handle_t *handle, void *userdata)
{
  (void)userdata;
  if (!uv_is_closing (handle))
    uv_close (handle, NULL);
}

void
standin_program_finish (struct standin_program *p)
{
  uv_walk (&p->loop, close_handle, NULL);
  uv_run (&p->loop, UV_RUN_DEFAULT);
  uv_loop_close (&p->loop);
}

uint64_t
standin_now_us (void)
{
  return am_clock_us ();
}

int
standin_parse_number (uint64_t *n, const char *text, uint64_t max)
{
  char *end;
  unsigned long long value;

  errno = 0;
  value = strtoull (text, &end, 10);
  if (errno || end == text || *end || *text == '-' || value > max)
    return AM_E_FORMAT;
  *n = value;
  return AM_OK;
}

int
standin_parse_share (double *p, const char *text)
{
  char *end;
  double value = strtod (text, &end);

  if (end == text || *end || !(value >= 0 && value <= 1))
    return AM_E_FORMAT;
  *p = value;
  return AM_OK;
}

int
standin_parse_address_pair (struct am_address *a, struct am_address *b,
                            const char *text)
{
  char first[AM_ADDRESS_TEXT_SIZE];
  const char *equals = strchr (text, '=');
  size_t len = equals ? (size_t)(equals - text) : sizeof first;

  if (len >= sizeof first)
    return AM_E_FORMAT;
  memcpy (first, text, len);
  first[len] = '\0';
  if (am_address_parse (a, first) != AM_OK)
    return AM_E_FORMAT;
  return am_address_parse (b, equals + 1);
}

int
standin_option_result (struct argp_state *state, const char *text, int error)
{
  if (error == AM_E_NOT_FOUND)
    return ARGP_ERR_UNKNOWN;
  if (error)
    argp_error (state, "'%s': %s", text, am_error_text (error));
  return 0;
}

int
standin_fail (const char *program, const char *what, int error, int status)
{
  fprintf (stderr, "<3>%s: %s: %s\n", program, what, am_error_text (error));
  return status;
}
