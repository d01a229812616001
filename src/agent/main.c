/* amaranth-agent: the control side of one entry VM.  */

#include <argp.h>
#include <curl/curl.h>
#include <sodium.h>

#include "agent.h"
#include "base/error.h"
#include "io/entry_program.h"
#include "io/program.h"

const char *argp_program_version = "amaranth-agent " AM_VERSION;

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  (void)arg;
  if (key != ARGP_KEY_INIT)
    return ARGP_ERR_UNKNOWN;
  state->child_inputs[0] = state->input;
  return 0;
}

static const struct argp_child children[]
    = { { .argp = &am_entry_argp }, { 0 } };

static const struct argp parser
    = { .parser = parse,
        .doc = "Keeps configuration, membership, health and keys of one entry "
               "VM.",
        .children = children };

int
main (int argc, char **argv)
{
  struct am_entry_arguments arguments = { 0 };
  static struct am_agent agent;
  uint8_t key[AM_PEER_KEY_SIZE];
  struct am_settings *settings;
  int code;

  am_program_parse (&parser, argc, argv, &arguments);
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != 0)
    return AM_EXIT_SOFTWARE;
  code = am_entry_load (&arguments, &settings, key);
  if (code)
    return code;
  if (arguments.check)
    {
      am_settings_free (settings);
      return AM_EXIT_OK;
    }
  code = am_agent_init (&agent, arguments.settings, settings, key);
  if (code)
    return code;
  am_agent_run (&agent);
  curl_global_cleanup ();
  return AM_EXIT_OK;
}
