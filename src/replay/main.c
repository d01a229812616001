/* amaranth-replay: feeds a recording to the core and prints the digest of its
   actions.  */

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "core/action_digest.h"
#include "io/event_log.h"
#include "io/program.h"

const char *argp_program_version = "amaranth-replay " AM_VERSION;

struct arguments
{
  const char *file;
  bool print;
};

struct run
{
  struct am_action_digest digest;
  bool print;
};

static const struct argp_option options[]
    = { { "print", 'p', NULL, 0, "Print one line for each action", 0 },
        { 0 } };

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  struct arguments *a = state->input;

  switch (key)
    {
    case 'p':
      a->print = true;
      return 0;
    case ARGP_KEY_ARG:
      if (a->file)
        argp_error (state, "unexpected argument '%s'", arg);
      a->file = arg;
      return 0;
    case ARGP_KEY_END:
      if (!a->file)
        argp_error (state, "FILE is required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
emit (void *userdata, const struct am_action *a)
{
  static const char *const names[]
      = { "caller", "upstream", "stream", "peer", "log", "exit" };
  struct run *r = userdata;
  char to[AM_ADDRESS_TEXT_SIZE];

  am_action_digest_add (&r->digest, a);
  if (!r->print)
    return;
  if (a->type == AM_ACTION_LOG)
    printf ("log %.*s\n", (int)a->len, (const char *)a->data);
  else
    printf ("%s to=%s bytes=%zu\n", names[a->type],
            am_address_format (a->to, to), a->len);
}

static int
replay (struct am_event_log *l, struct am_dispatch *d, uint64_t *events)
{
  struct am_event e;
  int err;

  for (;;)
    {
      err = am_event_log_read (l, &e);
      if (err)
        return err == AM_E_NOT_FOUND ? AM_OK : err;
      (void)am_dispatch_event (d, &e);
      ++*events;
    }
}

static int
run_file (const struct arguments *a)
{
  struct run run = { .print = a->print };
  struct am_dispatch_options o;
  uint8_t peer_key[AM_PEER_KEY_SIZE];
  static struct am_dispatch d;
  struct am_event_log l;
  uint64_t events = 0;
  int err;

  memset (&o, 0, sizeof o);
  err = am_event_log_open (&l, a->file, &o, peer_key);
  if (err)
    return err;
  o.sink.emit = emit;
  o.sink.userdata = &run;
  err = am_dispatch_init (&d, &o);
  if (!err)
    {
      err = replay (&l, &d, &events);
      am_dispatch_finish (&d);
      printf ("events=%llu actions=%llu digest=%016llx\n",
              (unsigned long long)events,
              (unsigned long long)run.digest.actions,
              (unsigned long long)run.digest.value);
    }
  am_event_log_close (&l);
  return err;
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { .options = options,
          .parser = parse,
          .args_doc = "FILE",
          .doc = "Feeds a recording of amaranth-forwarder --record-events to "
                 "the decision core and prints the digest of its actions." };
  struct arguments a = { 0 };
  int err;

  am_program_parse (&argp, argc, argv, &a);
  err = run_file (&a);
  if (!err)
    return AM_EXIT_OK;
  fprintf (stderr, "%s: %s\n", a.file, am_error_text (err));
  return err == AM_E_MEMORY ? AM_EXIT_SOFTWARE : AM_EXIT_DATA;
}
