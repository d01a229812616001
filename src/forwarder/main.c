/* amaranth-forwarder: the data path of one entry VM.  */

#include <argp.h>
#include <sodium.h>
#include <stdio.h>

#include "base/error.h"
#include "forwarder/forwarder.h"
#include "io/entry_program.h"
#include "io/program.h"

#define OPTION_RECORD 256

const char *argp_program_version = "amaranth-forwarder " AM_VERSION;

struct arguments
{
  struct am_entry_arguments entry;
  const char *record;
};

static const struct argp_option options[]
    = { { "record-events", OPTION_RECORD, "FILE", 0,
          "Record every event for amaranth-replay; the file holds keys", 0 },
        { 0 } };

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  struct arguments *a = state->input;

  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &a->entry;
      return 0;
    case OPTION_RECORD:
      a->record = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_child children[]
    = { { .argp = &am_entry_argp }, { 0 } };

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

static int
run (const struct arguments *a)
{
  static struct am_forwarder forwarder;
  uint8_t key[AM_PEER_KEY_SIZE];
  struct am_settings *settings;
  int err = am_entry_load (&a->entry, &settings, key);

  /* The forwarder reads the key again when it loads its settings.  */
  sodium_memzero (key, sizeof key);
  if (err)
    return err;
  if (a->entry.check)
    {
      am_settings_free (settings);
      return AM_EXIT_OK;
    }
  err = am_forwarder_init (&forwarder, settings, a->entry.settings, a->record);
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
          .doc = "Routes the datagrams of callers to upstreams.",
          .children = children };
  struct arguments a = { 0 };

  am_program_parse (&argp, argc, argv, &a);
  if (sodium_init () < 0)
    return AM_EXIT_SOFTWARE;
  return run (&a);
}
