#include "entry/program.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/error.h"
#include "entry/entry.h"
#include "io/program.h"

#define PROGRAM "amaranth-entry"
#define OPTION_CHECK 'c'
#define OPTION_SETTINGS 's'

struct arguments
{
  const char *settings;
  bool check;
};

static const struct argp_option options[]
    = { { "settings", OPTION_SETTINGS, "FILE", 0, "settings, YAML", 0 },
        { "check-settings", OPTION_CHECK, NULL, 0,
          "read the settings, say whether they hold, and end", 0 },
        { 0 } };

static error_t
on_option (int key, char *arg, struct argp_state *state)
{
  struct arguments *a = state->input;

  switch (key)
    {
    case OPTION_SETTINGS:
      a->settings = arg;
      return 0;
    case OPTION_CHECK:
      a->check = true;
      return 0;
    case ARGP_KEY_ARG:
      argp_error (state, "unexpected argument: %s", arg);
      return EINVAL;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser
    = { options, on_option, NULL, "Carries the flows of callers to targets.",
        NULL,    NULL,      NULL };

static int
load (struct am_entry_settings *s, const char *file)
{
  struct am_fault f = { 0 };
  int err = am_entry_settings_load (s, file, &f);

  if (!err)
    return AM_EXIT_OK;
  fprintf (stderr, PROGRAM ": %s:%u: %s: %s (%s)\n", file, f.line,
           f.field[0] ? f.field : "file", am_error_text (err), f.allowed);
  return AM_EXIT_DATA;
}

static int
run (struct am_entry *e, const struct am_adapter *adapter, const char *file)
{
  int err = am_entry_init (e, uv_default_loop (), adapter, file);

  if (err)
    {
      fprintf (stderr, PROGRAM ": a port cannot be opened: %s\n",
               am_error_text (err));
      return AM_EXIT_UNAVAILABLE;
    }
  uv_run (e->loop, UV_RUN_DEFAULT);
  return AM_EXIT_OK;
}

int
am_entry_main (int argc, char **argv, const struct am_adapter *adapter,
               const char *variable)
{
  struct arguments a = { .settings = getenv (variable) };
  static struct am_entry entry;
  int code;

  am_program_init (PROGRAM);
  if (am_program_parse (&parser, argc, argv, &a))
    return AM_EXIT_USAGE;
  if (!a.settings)
    {
      fprintf (stderr, PROGRAM ": no settings: --settings or %s is needed\n",
               variable);
      return AM_EXIT_USAGE;
    }
  code = load (&entry.settings, a.settings);
  if (code || a.check)
    return code;
  return run (&entry, adapter, a.settings);
}
