#include <argp.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "ctl/ctl.h"
#include "io/program.h"

enum ctl_option
{
  OPTION_STORE = 's',
  OPTION_AGENT = 'a',
  OPTION_PEER_KEY = 'k',
  OPTION_CONFIG = 'c',
  OPTION_JSON = 'j',
  OPTION_TIMEOUT = 't',
  OPTION_NO_WAIT = 'n',
  OPTION_ADDRESS = 0x100,
  OPTION_DATA_CENTRE,
  OPTION_SLOTS,
  OPTION_CONNECTIONS,
};

struct command
{
  const char *name;
  size_t min; /* arguments */
  size_t max;
  bool store; /* needs it */
  bool agents;
  const char *usage;
  int (*run) (struct ctl *c);
};

/* Commands that need agents only to wait check that themselves.  */
static const struct command commands[] = {
  { "validate", 1, SIZE_MAX, false, false, "FILE...", ctl_validate },
  { "diff", 1, 1, true, false, "DIR", ctl_diff },
  { "apply", 1, 1, true, false, "DIR", ctl_apply },
  { "get", 1, 1, true, false, "NAME", ctl_get },
  { "list", 0, 0, true, false, "", ctl_list },
  { "retire", 1, 1, true, false, "NAME", ctl_retire },
  { "upstream", 3, 3, true, false, "join|leave|retire SERVICE UPSTREAM",
    ctl_upstream },
  { "status", 0, 0, false, true, "", ctl_status },
  { "explain", 1, 1, false, true, "ID", ctl_explain },
  { "history", 1, 1, true, false, "NAME", ctl_history },
  { "keys", 1, 1, true, false, "init|rotate|prune", ctl_keys },
  { "metrics", 0, 0, false, true, "", ctl_metrics },
  { "log-level", 1, 1, false, true, "error|warning|notice|info|debug",
    ctl_log_level },
  { "stop", 0, 0, false, true, "", ctl_stop },
};

static const struct argp_option options[] = {
  { "store", OPTION_STORE, "URL", 0, "the platform's store", 0 },
  { "agent", OPTION_AGENT, "IP:PORT", 0, "an agent; may be repeated", 0 },
  { "peer-key", OPTION_PEER_KEY, "FILE", 0, "the peer key", 0 },
  { "config", OPTION_CONFIG, "FILE", 0, "YAML file with these", 0 },
  { "json", OPTION_JSON, NULL, 0, "write one JSON object for scripts", 0 },
  { "timeout", OPTION_TIMEOUT, "SECONDS", 0,
    "wait that long until in force (default 15)", 0 },
  { "no-wait", OPTION_NO_WAIT, NULL, 0, "do not wait until in force", 0 },
  { NULL, 0, NULL, 0, "Of a new upstream:", 1 },
  { "address", OPTION_ADDRESS, "IP:PORT", 0, "its address", 1 },
  { "data-centre", OPTION_DATA_CENTRE, "NAME", 0, "its data centre", 1 },
  { "slots", OPTION_SLOTS, "N", 0, "concurrent requests (default 2)", 1 },
  { "connections", OPTION_CONNECTIONS, "N", 0, "open flows (default 2000)",
    1 },
  { 0 },
};

static const char documentation[]
    = "The operators' command of amaranthcroft.\v"
      "Commands:\n"
      "  validate FILE...                check records\n"
      "  diff DIR                        show what apply would change\n"
      "  apply DIR                       write records, wait until in force\n"
      "  get NAME                        show a record\n"
      "  list                            show all records\n"
      "  retire NAME                     retire a service\n"
      "  upstream join SERVICE UPSTREAM  let it take new work\n"
      "  upstream leave SERVICE UPSTREAM give it no new work\n"
      "  upstream retire SERVICE UPSTREAM  remove it after it has left\n"
      "  status                          show entry VMs and upstreams\n"
      "  explain ID                      show decisions on a flow or request\n"
      "  history NAME                    show the last versions of a record\n"
      "  keys init|rotate|prune          make, rotate, drop ticket keys\n"
      "  metrics                         show counters of all entry VMs\n"
      "  log-level LEVEL                 set it on the named agents\n"
      "  stop                            stop the entry VMs named by --agent\n"
      "\n"
      "Exit codes: 0 success, 64 bad arguments, 65 bad record or "
      "configuration, 69 store or agents unreachable, 70 internal error, 75 "
      "conflict or not in force in time (try again).";

struct command_line
{
  struct ctl *ctl;
  const char *config;
};

static uint32_t
parse_number (struct argp_state *state, const char *what, const char *text,
              unsigned long max)
{
  char *end;
  unsigned long n = strtoul (text, &end, 10);

  if (text[0] < '0' || text[0] > '9' || *end || n < 1 || n > max)
    argp_error (state, "%s: '%s' is no number from 1 to %lu", what, text, max);
  return (uint32_t)n;
}

static void
add_agent (struct argp_state *state, struct ctl *c, const char *text)
{
  if (c->agent_count == CTL_AGENTS_MAX)
    argp_error (state, "--agent: at most %d", CTL_AGENTS_MAX);
  else if (am_address_parse (&c->agents[c->agent_count], text))
    argp_error (state, "--agent: '%s' is not A.B.C.D:PORT", text);
  else
    c->agent_count++;
  c->agents_named = true;
}

static void
set_text (struct argp_state *state, char **to, const char *text)
{
  free (*to);
  *to = strdup (text);
  if (!*to)
    argp_failure (state, AM_EXIT_SOFTWARE, 0, "out of memory");
}

static void
set_store (struct argp_state *state, struct ctl *c, const char *text)
{
  if (strncmp (text, "http://", 7) != 0 && strncmp (text, "https://", 8) != 0)
    argp_error (state, "--store: '%s' is no http:// or https:// URL", text);
  set_text (state, &c->store_url, text);
}

static error_t
parse_upstream_option (int key, char *arg, struct argp_state *state)
{
  struct ctl *c = ((struct command_line *)state->input)->ctl;

  switch (key)
    {
    case OPTION_ADDRESS:
      c->address = arg;
      return 0;
    case OPTION_DATA_CENTRE:
      c->data_centre = arg;
      return 0;
    case OPTION_SLOTS:
      c->slots = parse_number (state, "--slots", arg, 65535);
      return 0;
    case OPTION_CONNECTIONS:
      c->connections = parse_number (state, "--connections", arg, 1000000);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct command_line *line = state->input;
  struct ctl *c = line->ctl;

  switch (key)
    {
    case OPTION_STORE:
      set_store (state, c, arg);
      return 0;
    case OPTION_AGENT:
      add_agent (state, c, arg);
      return 0;
    case OPTION_PEER_KEY:
      set_text (state, &c->key_file, arg);
      return 0;
    case OPTION_CONFIG:
      line->config = arg;
      return 0;
    case OPTION_JSON:
      c->json = true;
      return 0;
    case OPTION_TIMEOUT:
      c->timeout_ms = 1000 * parse_number (state, "--timeout", arg, 86400);
      return 0;
    case OPTION_NO_WAIT:
      c->no_wait = true;
      return 0;
    case ARGP_KEY_ARGS:
      c->arguments = state->argv + state->next;
      c->argument_count = (size_t)(state->argc - state->next);
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_error (state, "no command is given");
      return 0;
    default:
      return parse_upstream_option (key, arg, state);
    }
}

static const struct command *
find_command (const char *name)
{
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    if (strcmp (commands[i].name, name) == 0)
      return &commands[i];
  return NULL;
}

static int
run (struct ctl *c, const char *config)
{
  const struct command *command = find_command (c->arguments[0]);
  int err = AM_OK;

  if (!command)
    return ctl_fail (c, AM_E_ARGUMENT, "unknown command '%s'; see --help",
                     c->arguments[0]);
  c->arguments++;
  c->argument_count--;
  if (c->argument_count < command->min || c->argument_count > command->max)
    return ctl_fail (c, AM_E_ARGUMENT, "usage: amaranthctl %s %s",
                     command->name, command->usage);
  if (config)
    err = ctl_config_read (c, config);
  if (!c->timeout_ms)
    c->timeout_ms = CTL_TIMEOUT_MS;
  if (!err && command->store)
    err = ctl_need_store (c);
  if (!err && command->agents)
    err = ctl_need_agents (c);
  return err ? err : command->run (c);
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option, "COMMAND [ARGUMENT...]", documentation, NULL,
          NULL,    NULL };
  struct ctl c = { .store_timeout_ms = CTL_STORE_TIMEOUT_MS };
  struct command_line line = { &c, NULL };
  int err;

  am_program_init ("amaranthctl");
  if (am_program_parse (&argp, argc, argv, &line))
    return AM_EXIT_USAGE;
  c.result = json_object ();
  if (!c.result || sodium_init () < 0)
    return AM_EXIT_SOFTWARE;
  err = run (&c, line.config);
  if (c.json)
    {
      ctl_result (&c, "ok", json_boolean (!err));
      json_dumpf (c.result, stdout, JSON_COMPACT | JSON_SORT_KEYS);
      putchar ('\n');
    }
  json_decref (c.result);
  free (c.store_url);
  free (c.key_file);
  if (fflush (stdout) && !err)
    err = AM_E_IO;
  return am_program_exit_code (err);
}
