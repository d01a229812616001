/* amaranth-forwarder: the data path of one entry VM.  */

#include <argp.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/error.h"
#include "forwarder/forwarder.h"
#include "io/program.h"

const char *argp_program_version = "amaranth-forwarder " AM_VERSION;

enum
{
  OPTION_CHECK = 256,
  OPTION_RECORD,
};

struct arguments
{
  const char *settings;
  const char *record;
  bool check;
};

static const struct argp_option options[]
    = { { "settings", 's', "FILE", 0, "Settings of this entry VM (YAML)", 0 },
        { "check-settings", OPTION_CHECK, NULL, 0,
          "Check the settings and exit", 0 },
        { "record-events", OPTION_RECORD, "FILE", 0,
          "Record every event for amaranth-replay; the file holds keys", 0 },
        { 0 } };

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  struct arguments *a = state->input;

  switch (key)
    {
    case 's':
      a->settings = arg;
      return 0;
    case OPTION_CHECK:
      a->check = true;
      return 0;
    case OPTION_RECORD:
      a->record = arg;
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

static int
report_fault (const struct am_fault *f, const char *file)
{
  char line[512];

  am_fault_format (f, file, line, sizeof line);
  fprintf (stderr, "%s\n", line);
  return AM_EXIT_DATA;
}

static int
exit_code (int error)
{
  switch (error)
    {
    case AM_E_IO:
    case AM_E_EXISTS:
      return AM_EXIT_UNAVAILABLE;
    case AM_E_FORMAT:
    case AM_E_PERMISSIONS:
      return AM_EXIT_DATA;
    default:
      return AM_EXIT_SOFTWARE;
    }
}

/* Checks the peer key's file.  It belongs to the settings.  */
static int
check_key (const struct am_settings *s, const char *file)
{
  uint8_t key[AM_PEER_KEY_SIZE];
  struct am_fault fault
      = { .field = "peers.key_file",
          .allowed = "file of 64 hexadecimal digits, mode 0600" };

  fault.error = am_settings_peer_key (s, file, key);
  sodium_memzero (key, sizeof key);
  return fault.error ? report_fault (&fault, file) : AM_EXIT_OK;
}

static int
run (const struct arguments *a)
{
  static struct am_forwarder forwarder;
  struct am_settings *s;
  struct am_fault fault;
  int err;

  if (am_settings_load (&s, a->settings, &fault))
    return report_fault (&fault, a->settings);
  err = check_key (s, a->settings);
  if (err || a->check)
    {
      am_settings_free (s);
      return err;
    }
  err = am_forwarder_init (&forwarder, s, a->settings, a->record);
  if (err)
    {
      fprintf (stderr, "amaranth-forwarder: cannot start: %s\n",
               am_error_text (err));
      return exit_code (err);
    }
  am_forwarder_run (&forwarder);
  return AM_EXIT_OK;
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { .options = options,
          .parser = parse,
          .doc = "Routes the datagrams of callers to upstreams." };
  struct arguments a = { 0 };

  am_program_parse (&argp, argc, argv, &a);
  if (sodium_init () < 0)
    return AM_EXIT_SOFTWARE;
  return run (&a);
}
