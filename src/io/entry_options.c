#include "io/entry_options.h"

#include <argp.h>
#include <stdio.h>

#include "base/error.h"
#include "record/record.h"

#define LINE_SIZE 512

#define OPTION_CHECK 'c'

static const struct argp_option options[]
    = { { "settings", 's', "FILE", 0, "Settings of this entry VM (YAML)", 0 },
        { "check-settings", OPTION_CHECK, NULL, 0,
          "Check the settings and the peer key, then exit", 0 },
        { 0 } };

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  struct am_entry_arguments *a = state->input;

  switch (key)
    {
    case 's':
      a->settings = arg;
      return 0;
    case OPTION_CHECK:
      a->check = true;
      return 0;
    case ARGP_KEY_ARG:
      argp_error (state, "unexpected argument '%s'", arg);
      return 0;
    case ARGP_KEY_END:
      if (!a->settings)
        argp_error (state, "--settings is required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

const struct argp am_entry_argp = { .options = options, .parser = parse };

int
am_entry_report_fault (const struct am_fault *f, const char *file)
{
  char line[LINE_SIZE];

  am_fault_format (f, file, line, sizeof line);
  fprintf (stderr, "%s\n", line);
  return AM_EXIT_DATA;
}
