/* Stand-in for upstreams: many targets in one process, each on the address of
   its record.  */

#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "common/standin_control.h"
#include "io/program.h"
#include "upstream/standin_upstream.h"

#define US_PER_MS 1000u

/* Wait between the stop and the start of one target, for its sockets.  */
#define RESTART_US 50000u

#define FAULT_LINE_SIZE 512

struct options
{
  const char **only;
  size_t only_count;
  const char *history;
  uint64_t seed;
  struct am_address control;
  struct standin_target *targets;
  size_t target_count;
  struct standin_work work;
};

/* A packet that arrived while the target was frozen.  */
struct frozen_message
{
  struct am_list node;
  struct am_stream *stream;
  size_t len;
  uint8_t data[];
};

/* ---- load
 * -------------------------------------------------------------------- */

bool
standin_upstream_cold (const struct standin_upstream *u, uint64_t now_us)
{
  return now_us - u->changed_us < u->world->work.cold_ms * US_PER_MS;
}

static uint16_t
scaled (uint32_t n, double factor)
{
  double value = n * factor;

  return value > UINT16_MAX ? UINT16_MAX : (uint16_t)value;
}

struct am_load
standin_upstream_load (struct standin_upstream *u, uint64_t now_us)
{
  bool lie = u->report.kind == STANDIN_REPORT_LIE;
  double factor = lie ? u->report.value : 1;
  struct am_load load = { .busy = scaled (u->busy, factor),
                          .queued = scaled (u->waiting, 1),
                          .connections = scaled (u->flow_count, factor) };

  if (u->drained || u->spec.leaving)
    load.flags |= AM_LOAD_DRAINING;
  if (standin_upstream_cold (u, now_us))
    load.flags |= AM_LOAD_COLD;
  if (u->report.kind != STANDIN_REPORT_LAG)
    return load;
  if (!u->reported_us
      || now_us - u->reported_us >= (uint64_t)(u->report.value * US_PER_MS))
    {
      struct am_load old = u->reported_us ? u->reported : load;

      u->reported = load;
      u->reported_us = now_us;
      return old;
    }
  return u->reported;
}

/* ---- sockets
 * --------------------------------------------------------------------- */

static void
on_datagram (void *userdata, struct am_address from, const uint8_t *data,
             size_t len)
{
  struct standin_upstream *u = userdata;
  struct am_proxy_header h;
  size_t used;

  if (standin_now_us () < u->frozen_until_us)
    return;
  if (am_proxy_decode (&h, data, len, &used) == AM_OK)
    standin_flow_datagram (u, from, &h, data + used, len - used);
}

static void
keep_frozen (struct standin_upstream *u, struct am_stream *s,
             const uint8_t *data, size_t len)
{
  struct frozen_message *m = malloc (sizeof *m + len);

  if (!m)
    return;
  m->stream = s;
  m->len = len;
  memcpy (m->data, data, len);
  am_list_push_back (&u->frozen, &m->node);
}

static void
on_message (void *userdata, struct am_stream *s, const uint8_t *data,
            size_t len)
{
  struct standin_upstream *u = userdata;

  if (!u->up)
    {
      am_stream_close (s);
      return;
    }
  if (am_list_empty (&s->node))
    am_list_push_back (&u->streams, &s->node);
  if (standin_now_us () < u->frozen_until_us)
    keep_frozen (u, s, data, len);
  else
    standin_run_packet (u, s, data, len);
}

static void
on_closed (void *userdata, struct am_stream *s, int error)
{
  struct standin_upstream *u = userdata;

  (void)error;
  am_list_remove (&s->node);
  standin_run_stream_closed (u, s);
  am_list_each (m, &u->frozen, struct frozen_message, node)
  {
    if (m->stream == s)
      m->stream = NULL;
  }
}

static void
thaw (struct standin_upstream *u)
{
  am_list_each_safe (m, next, &u->frozen, struct frozen_message, node)
  {
    am_list_remove (&m->node);
    if (u->up)
      standin_run_packet (u, m->stream, m->data, m->len);
    free (m);
  }
}

static void
note (struct standin_upstream *u, const char *event)
{
  standin_history_event (&u->world->history, event,
                         "\"upstream\":\"%s\",\"service\":\"%s\","
                         "\"incarnation\":%" PRIu32,
                         u->spec.name, u->spec.service, u->spec.incarnation);
}

static int
start_target (struct standin_upstream *u)
{
  static const struct am_stream_callbacks callbacks
      = { on_message, NULL, on_closed };
  uv_loop_t *loop = &u->world->program.loop;
  int err = am_udp_open (&u->udp, loop, u->spec.address, on_datagram, u);

  if (err)
    return err;
  err = am_listener_open (&u->listener, loop, u->spec.address,
                          &am_stream_packets, NULL, &callbacks, u);
  if (err)
    {
      am_udp_close (&u->udp);
      return err;
    }
  u->up = true;
  u->changed_us = standin_now_us ();
  u->frozen_until_us = 0;
  note (u, "start");
  return AM_OK;
}

static void
stop_target (struct standin_upstream *u)
{
  u->up = false;
  u->changed_us = standin_now_us ();
  am_udp_close (&u->udp);
  am_listener_close (&u->listener);
  am_list_each_safe (s, next, &u->streams, struct am_stream, node)
  {
    am_list_remove (&s->node);
    am_stream_close (s);
  }
  standin_run_abandon (u);
  standin_flow_forget (u, 1, false);
  thaw (u);
  note (u, "stop");
}

static void
on_tick (uv_timer_t *timer)
{
  struct standin_world *w = timer->data;
  uint64_t now = standin_now_us ();

  standin_flow_tick (w, now);
  for (size_t i = 0; i < w->count; i++)
    if (!am_list_empty (&w->upstreams[i].frozen)
        && now >= w->upstreams[i].frozen_until_us)
      thaw (&w->upstreams[i]);
}

/* ---- commands
 * ------------------------------------------------------------------------- */

static int
parse_report (struct standin_report_mode *mode, const char *text)
{
  const char *value = strchr (text, ':');
  char *end;

  if (strcmp (text, "honest") == 0)
    {
      mode->kind = STANDIN_REPORT_HONEST;
      return AM_OK;
    }
  if (!value)
    return AM_E_FORMAT;
  if (strncmp (text, "lag:", 4) == 0)
    mode->kind = STANDIN_REPORT_LAG;
  else if (strncmp (text, "lie:", 4) == 0)
    mode->kind = STANDIN_REPORT_LIE;
  else
    return AM_E_FORMAT;
  mode->value = strtod (value + 1, &end);
  return *end || end == value + 1 || mode->value < 0 ? AM_E_FORMAT : AM_OK;
}

static json_t *
describe (const struct standin_upstream *u)
{
  return json_pack (
      "{s:s,s:b,s:i,s:i,s:i,s:i,s:I,s:I,s:I,s:I}", "service", u->spec.service,
      "up", u->up, "flows", (int)u->flow_count, "busy", (int)u->busy,
      "flows_max", (int)u->flows_max, "busy_max", (int)u->busy_max, "opened",
      (json_int_t)u->opened, "ran", (json_int_t)u->ran, "refused",
      (json_int_t)u->refused, "wrong_service", (json_int_t)u->wrong_service);
}

static json_t *
stats (struct standin_world *w)
{
  json_t *list = json_object ();
  json_int_t flows = 0;
  json_int_t ran = 0;
  json_int_t refused = 0;

  for (size_t i = 0; i < w->count; i++)
    {
      const struct standin_upstream *u = &w->upstreams[i];

      json_object_set_new (list, u->spec.name, describe (u));
      flows += u->flow_count;
      ran += (json_int_t)u->ran;
      refused += (json_int_t)u->refused;
    }
  return json_pack ("{s:I,s:I,s:I,s:o}", "flows", flows, "ran", ran, "refused",
                    refused, "upstreams", list);
}

static bool
set_percent (double *share, const char *text)
{
  uint64_t n;

  if (standin_parse_number (&n, text, 100) != AM_OK)
    return false;
  *share = (double)n / 100;
  return true;
}

static bool
freeze (struct standin_upstream *u, const char *text)
{
  uint64_t ms;

  if (standin_parse_number (&ms, text, UINT32_MAX) != AM_OK)
    return false;
  u->frozen_until_us = standin_now_us () + ms * US_PER_MS;
  return true;
}

/* Carries out VERB with its argument TEXT on U; returns false if it is not
   understood or not possible now.  */
static bool
command_target (struct standin_upstream *u, const char *verb, const char *text)
{
  double share;

  if (strcmp (verb, "drain") == 0)
    u->drained = strcmp (text, "off") != 0;
  else if (strcmp (verb, "stop") == 0 && u->up)
    stop_target (u);
  else if (strcmp (verb, "start") == 0 && !u->up
           && standin_now_us () - u->changed_us > RESTART_US)
    return start_target (u) == AM_OK;
  else if (strcmp (verb, "shed") == 0)
    return set_percent (&u->shed, text);
  else if (strcmp (verb, "slow") == 0)
    return standin_parse_number (&u->slow_ms, text, UINT32_MAX) == AM_OK;
  else if (strcmp (verb, "freeze") == 0)
    return freeze (u, text);
  else if (strcmp (verb, "report") == 0)
    return parse_report (&u->report, text) == AM_OK;
  else if (strcmp (verb, "forget") == 0 && set_percent (&share, text))
    standin_flow_forget (u, share, false);
  else
    return false;
  return true;
}

static json_t *
on_command (void *userdata, char *const *words, int count)
{
  struct standin_world *w = userdata;
  int done = 0;

  if (strcmp (words[0], "stats") == 0)
    return stats (w);
  if (count < 2)
    return NULL;
  for (size_t i = 0; i < w->count; i++)
    if (strcmp (words[1], w->upstreams[i].spec.name) == 0
        || strcmp (words[1], "*") == 0)
      done += command_target (&w->upstreams[i], words[0], words[2]);
  return done ? json_pack ("{s:b,s:i}", "ok", 1, "targets", done) : NULL;
}

/* ---- options
 * -----------------------------------------------------------------------------
 */

const char *argp_program_version = "standin-upstream " AM_VERSION;

enum option_key
{
  OPTION_SERVICE_MS = 256,
  OPTION_ALERT_MS,
  OPTION_COLD_MS,
  OPTION_ANSWER_BYTES,
  OPTION_REPORT,
  OPTION_SHED,
  OPTION_SEED,
  OPTION_QUEUE,
};

static const struct argp_option options[]
    = { { "record", 'r', "FILE", 0, "Service record; may be repeated", 0 },
        { "history", 'h', "FILE", 0, "Where to write the history", 0 },
        { "only", 'o', "NAME", 0, "Only this upstream; may be repeated", 0 },
        { "service-ms", OPTION_SERVICE_MS, "N", 0,
          "Mean time to serve a request (20)", 0 },
        { "alert-ms", OPTION_ALERT_MS, "N", 0,
          "Interval of alerts on each flow (0: none)", 0 },
        { "cold-ms", OPTION_COLD_MS, "N", 0,
          "How long a started target is slow (0)", 0 },
        { "answer-bytes", OPTION_ANSWER_BYTES, "N", 0,
          "Mean size of answers (3000)", 0 },
        { "queue", OPTION_QUEUE, "N", 0,
          "Requests that may wait for a slot (0)", 0 },
        { "report", OPTION_REPORT, "MODE", 0,
          "honest, lag:MS or lie:FACTOR (honest)", 0 },
        { "shed-percent", OPTION_SHED, "N", 0, "Share of work refused (0)",
          0 },
        { "seed", OPTION_SEED, "N", 0, "Seed of all choices (1)", 0 },
        { "control", 'c', "IP:PORT", 0, "Control port", 0 },
        { 0 } };

static void
add_only (struct options *o, const char *name, struct argp_state *state)
{
  const char **grown
      = realloc (o->only, (o->only_count + 1) * sizeof *o->only);

  if (!grown)
    argp_failure (state, AM_EXIT_SOFTWARE, 0, "out of memory");
  else
    {
      o->only = grown;
      o->only[o->only_count++] = name;
    }
}

static void
add_record (struct options *o, const char *file, struct argp_state *state)
{
  struct am_fault f;
  char line[FAULT_LINE_SIZE];

  if (standin_targets_read (&o->targets, &o->target_count, file, &f) == AM_OK)
    return;
  am_fault_format (&f, file, line, sizeof line);
  argp_failure (state, AM_EXIT_DATA, 0, "%s", line);
}

static int
parse_work (int key, char *text, struct options *o)
{
  switch (key)
    {
    case OPTION_SERVICE_MS:
      return standin_parse_number (&o->work.service_ms, text, UINT32_MAX);
    case OPTION_ALERT_MS:
      return standin_parse_number (&o->work.alert_ms, text, UINT32_MAX);
    case OPTION_COLD_MS:
      return standin_parse_number (&o->work.cold_ms, text, UINT32_MAX);
    case OPTION_ANSWER_BYTES:
      return standin_parse_number (&o->work.answer_bytes, text,
                                   (uint64_t)AM_ANSWER_SIZE_MAX);
    case OPTION_QUEUE:
      return standin_parse_number (&o->work.queue, text, UINT32_MAX);
    case OPTION_REPORT:
      return parse_report (&o->work.report, text);
    case OPTION_SHED:
      return set_percent (&o->work.shed, text) ? AM_OK : AM_E_FORMAT;
    case OPTION_SEED:
      return standin_parse_number (&o->seed, text, UINT64_MAX);
    case 'c':
      return am_address_parse (&o->control, text);
    default:
      return AM_E_NOT_FOUND;
    }
}

static error_t
parse_option (int key, char *text, struct argp_state *state)
{
  struct options *o = state->input;

  switch (key)
    {
    case 'r':
      add_record (o, text, state);
      return 0;
    case 'h':
      o->history = text;
      return 0;
    case 'o':
      add_only (o, text, state);
      return 0;
    case ARGP_KEY_END:
      if (!o->target_count || !o->history)
        argp_error (state, "--record and --history are needed");
      return 0;
    default:
      return standin_option_result (state, text, parse_work (key, text, o));
    }
}

static bool
is_wanted (const struct options *o, const char *name)
{
  for (size_t i = 0; i < o->only_count; i++)
    if (strcmp (o->only[i], name) == 0)
      return true;
  return o->only_count == 0;
}

static void
init_target (struct standin_upstream *u, struct standin_world *w,
             const struct standin_target *spec)
{
  u->spec = *spec;
  u->world = w;
  u->shed = w->work.shed;
  u->report = w->work.report;
  am_list_init (&u->streams);
  am_list_init (&u->running);
  am_list_init (&u->queued);
  am_list_init (&u->frozen);
}

static int
start_world (struct standin_world *w, const struct options *o)
{
  w->upstreams = calloc (o->target_count, sizeof *w->upstreams);
  if (!w->upstreams)
    return AM_E_MEMORY;
  standin_wheel_init (&w->wheel, STANDIN_TICK_US, standin_now_us ());
  am_list_init (&w->idle);
  for (size_t i = 0; i < o->target_count; i++)
    {
      struct standin_upstream *u = &w->upstreams[w->count];
      int err;

      if (!is_wanted (o, o->targets[i].name))
        continue;
      init_target (u, w, &o->targets[i]);
      err = start_target (u);
      if (err)
        return err;
      w->count++;
    }
  uv_timer_init (&w->program.loop, &w->tick);
  w->tick.data = w;
  uv_timer_start (&w->tick, on_tick, STANDIN_TICK_MS, STANDIN_TICK_MS);
  return AM_OK;
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option,
          NULL,    "Stand-in for the upstreams of service records.",
          NULL,    NULL,
          NULL };
  static struct standin_world w;
  static struct standin_control control;
  struct options o
      = { .seed = 1, .work = { .service_ms = 20, .answer_bytes = 3000 } };
  int err;

  am_program_parse (&argp, argc, argv, &o);
  w.work = o.work;
  am_rng_init (&w.rng, o.seed);
  err = standin_program_init (&w.program, NULL, NULL);
  if (!err)
    err = standin_history_open (&w.history, &w.program.loop, o.history,
                                "upstream");
  if (err)
    return standin_fail ("standin-upstream", o.history, err,
                         AM_EXIT_UNAVAILABLE);
  err = start_world (&w, &o);
  free (o.targets);
  free (o.only);
  if (!err)
    err = standin_control_open (&control, &w.program.loop, o.control,
                                on_command, &w);
  if (err)
    return standin_fail ("standin-upstream", "listen", err,
                         AM_EXIT_UNAVAILABLE);
  standin_program_run (&w.program);
  for (size_t i = 0; i < w.count; i++)
    if (w.upstreams[i].up)
      note (&w.upstreams[i], "stop");
  standin_history_close (&w.history);
  return AM_EXIT_OK;
}
