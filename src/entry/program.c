#include "entry/program.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/error.h"
#include "entry/entry.h"
#include "io/entry_options.h"
#include "io/program.h"

#define PROGRAM "amaranth-entry"
static const struct argp_child children[]
    = { { .argp = &am_entry_argp }, { 0 } };

static const struct argp parser
    = { .doc
        = "Layer-4 load balancer: forwards the flows of callers to targets.",
        .children = children };

static int
load (struct am_entry_settings *s, const char *file)
{
  struct am_fault f = { 0 };
  int err = am_entry_settings_load (s, file, &f);

  return err ? am_entry_report_fault (&f, file) : AM_EXIT_OK;
}

static int
run (struct am_entry *e, const struct am_adapter *adapter, const char *file)
{
  int err = am_entry_init (e, uv_default_loop (), adapter, file);

  if (err)
    {
      fprintf (stderr, PROGRAM ": cannot open a port: %s\n",
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
  struct am_entry_arguments a = { .settings = getenv (variable) };
  static struct am_entry entry;
  int code;

  am_program_init (PROGRAM);
  if (am_program_parse (&parser, argc, argv, &a))
    return AM_EXIT_USAGE;
  code = load (&entry.settings, a.settings);
  if (code || a.check)
    return code;
  return run (&entry, adapter, a.settings);
}
