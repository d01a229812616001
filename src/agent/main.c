#include <argp.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include "agent.h"
#include "base/error.h"
#include "io/program.h"

#define OPTION_CHECK 'c'

const char *argp_program_version = "amaranth-agent " AM_VERSION;

struct arguments
{
  const char *settings;
  bool check;
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
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

static const struct argp_option options[]
    = { { "settings", 's', "FILE", 0, "settings of the entry VM", 0 },
        { "check-settings", OPTION_CHECK, NULL, 0,
          "check the settings and the peer key, then exit", 0 },
        { 0 } };

static const struct argp parser = {
  options, parse_option,
  NULL,    "Keeps configuration, membership, health and keys of one entry VM.",
  NULL,    NULL,
  NULL
};

static int
load (const char *file, struct am_settings **s, uint8_t *key)
{
  struct am_fault f;
  char line[512];
  int err;

  if (am_settings_load (s, file, &f))
    {
      am_fault_format (&f, file, line, sizeof line);
      fprintf (stderr, "%s\n", line);
      return AM_EXIT_DATA;
    }
  err = am_settings_peer_key (*s, file, key);
  if (err)
    {
      f = (struct am_fault){ .error = err, .field = "peers.key_file" };
      am_fault_format (&f, file, line, sizeof line);
      fprintf (stderr, "%s\n", line);
      am_settings_free (*s);
      *s = NULL;
      return AM_EXIT_DATA;
    }
  return AM_EXIT_OK;
}

int
main (int argc, char **argv)
{
  struct arguments arguments = { 0 };
  static struct am_agent agent;
  uint8_t key[AM_PEER_KEY_SIZE];
  struct am_settings *settings;
  int code;

  am_program_parse (&parser, argc, argv, &arguments);
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != 0)
    return AM_EXIT_SOFTWARE;
  code = load (arguments.settings, &settings, key);
  if (code || arguments.check)
    {
      if (!code)
        am_settings_free (settings);
      return code;
    }
  code = am_agent_init (&agent, arguments.settings, settings, key);
  if (code)
    return code;
  am_agent_run (&agent);
  curl_global_cleanup ();
  return AM_EXIT_OK;
}
