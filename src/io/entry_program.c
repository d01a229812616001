#include "io/entry_program.h"

#include <argp.h>
#include <stdio.h>

#include "base/error.h"

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

static int
report_fault (const struct am_fault *f, const char *file)
{
  char line[512];

  am_fault_format (f, file, line, sizeof line);
  fprintf (stderr, "%s\n", line);
  return AM_EXIT_DATA;
}

int
am_entry_load (const struct am_entry_arguments *a, struct am_settings **s,
               uint8_t *key)
{
  struct am_fault f;

  if (am_settings_load (s, a->settings, &f))
    return report_fault (&f, a->settings);
  f = (struct am_fault){ .field = "peers.key_file",
                         .allowed
                         = "file of 64 hexadecimal digits, mode 0600" };
  f.error = am_settings_peer_key (*s, a->settings, key);
  if (!f.error)
    return AM_EXIT_OK;
  am_settings_free (*s);
  *s = NULL;
  return report_fault (&f, a->settings);
}
