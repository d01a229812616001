/* history-check: decides the promises from histories.  */

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/error.h"
#include "check/standin_check.h"
#include "io/program.h"

struct options
{
  const char **files;
  size_t count;
  bool allow_cut;
};

enum
{
  OPTION_ALLOW_CUT = 256,
};

static const struct argp_option option_table[] = {
  { "allow-cut", OPTION_ALLOW_CUT, NULL, 0,
    "Pass over an unfinished last line of a file", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct options *o = state->input;
  switch (key)
    {
    case OPTION_ALLOW_CUT:
      o->allow_cut = true;
      return 0;
    case ARGP_KEY_ARG:
      o->files[o->count++] = arg;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_error (state, "no history given");
      return EINVAL;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
  .options = option_table,
  .parser = parse_option,
  .args_doc = "FILE...",
  .doc = "Merge histories by time and decide the promises of the design.  "
         "The last line of the output is one JSON object.\v"
         "Exit status: 0 all promises hold, 1 one does not, 64 bad "
         "arguments, 65 malformed or empty history.",
};

const char *argp_program_version = "history-check " AM_VERSION;

static int
print_report (const struct history *h)
{
  json_t *report = history_report (h);
  char *text = report ? json_dumps (report, JSON_COMPACT) : NULL;
  json_decref (report);
  if (!text)
    return AM_EXIT_SOFTWARE;
  puts (text);
  free (text);
  return history_holds (h) ? AM_EXIT_OK : 1;
}

static int
check_files (const struct options *o)
{
  struct history h;
  struct history_fault f = { "out of memory" };
  history_init (&h, o->files);
  int rc = history_read (&h, o->count, o->allow_cut, &f);
  if (!rc)
    rc = history_decide (&h);
  int status;
  if (!rc)
    status = print_report (&h);
  else
    {
      fprintf (stderr, "history-check: %s\n", f.text);
      status = rc == AM_E_MEMORY ? AM_EXIT_SOFTWARE : AM_EXIT_DATA;
    }
  history_finish (&h);
  return status;
}

int
main (int argc, char **argv)
{
  struct options o = { 0 };
  o.files = calloc ((size_t)argc, sizeof *o.files);
  if (!o.files)
    return AM_EXIT_SOFTWARE;
  int status = AM_EXIT_USAGE;
  if (am_program_parse (&parser, argc, argv, &o) == 0)
    status = check_files (&o);
  free (o.files);
  return status;
}
