/* Stand-in for callers: feeds and requests of many callers in one process. */

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "caller/standin_caller.h"
#include "io/program.h"

#define US_PER_SECOND 1000000u
#define TICK_MS 5

/* After a stop, requests in progress may end as long as a caller waits.  */
#define STOP_PATIENCE_US 8000000u

struct options
{
  struct standin_caller *caller;
  const char *history;
  uint64_t seed;
};

/* ---- measured values ------------------------------------------------------
 */

void
standin_values_add (struct standin_values *v, uint64_t value)
{
  if (v->count == v->size)
    {
      size_t size = v->size ? v->size * 2 : 1024;
      uint32_t *grown = realloc (v->values, size * sizeof *grown);

      if (!grown)
        return;
      v->values = grown;
      v->size = size;
    }
  v->values[v->count++] = value > UINT32_MAX ? UINT32_MAX : (uint32_t)value;
}

static int
compare (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return (x > y) - (x < y);
}

static json_int_t
percentile (const struct standin_values *v, unsigned percent)
{
  size_t at = v->count * percent / 100;

  if (!v->count)
    return 0;
  return v->values[at < v->count ? at : v->count - 1];
}

json_t *
standin_values_summary (struct standin_values *v)
{
  if (v->count)
    qsort (v->values, v->count, sizeof *v->values, compare);
  return json_pack ("{s:I,s:I,s:I,s:I,s:I}", "count", (json_int_t)v->count,
                    "p50", percentile (v, 50), "p95", percentile (v, 95),
                    "p99", percentile (v, 99), "max", percentile (v, 100));
}

void
standin_reasons_summary (json_t *o, const uint64_t *reasons)
{
  for (int i = 0; i < STANDIN_REASONS; i++)
    if (reasons[i])
      json_object_set_new (o, am_error_name (-i),
                           json_integer ((json_int_t)reasons[i]));
}

/* ---- sockets
 * ------------------------------------------------------------------ */

void
standin_caller_send (struct am_udp_port *port,
                     const struct standin_caller_service *s,
                     const struct am_packet *p)
{
  uint8_t buf[AM_PACKET_SIZE_MAX];
  size_t len;

  if (am_packet_encode (p, buf, sizeof buf, &len) == AM_OK)
    am_udp_send (port, s->address, buf, len);
}

uint64_t
standin_caller_id (struct standin_caller *c)
{
  uint64_t id;

  do
    id = am_rng_next (&c->rng);
  while (!id);
  return id;
}

static void
on_datagram (void *userdata, struct am_address from, const uint8_t *data,
             size_t len)
{
  struct standin_caller *c = userdata;
  struct am_packet p;

  (void)from;
  if (am_packet_decode (&p, data, len) != AM_OK)
    return;
  if (!standin_feeds_packet (c, &p))
    standin_loads_packet (c, &p);
}

static int
open_sources (struct standin_caller *c)
{
  for (uint32_t i = 0; i < STANDIN_SOURCES; i++)
    {
      struct am_address a = { c->options.base.ip + i, 0 };
      int err
          = am_udp_open (&c->sources[i], &c->program.loop, a, on_datagram, c);

      if (err)
        return err;
    }
  return AM_OK;
}

/* ---- loop
 * ---------------------------------------------------------------------------
 */

static void
begin_stop (void *userdata)
{
  struct standin_caller *c = userdata;

  if (c->stopping_us)
    return;
  c->stopping_us = standin_now_us ();
  standin_feeds_stop (c);
}

static bool
all_requests_sent (const struct standin_caller *c)
{
  return c->options.request_count
         && c->request_counts.sent >= c->options.request_count
         && standin_loads_idle (c) && !c->feeds;
}

static void
on_tick (uv_timer_t *timer)
{
  struct standin_caller *c = timer->data;
  uint64_t now = standin_now_us ();

  standin_wheel_turn (&c->wheel, now);
  if (!c->stopping_us)
    {
      standin_feeds_start (c, now);
      standin_loads_start (c, now);
      if ((c->options.seconds
           && now - c->started_us >= c->options.seconds * US_PER_SECOND)
          || all_requests_sent (c))
        begin_stop (c);
    }
  else if (standin_loads_idle (c) || now - c->stopping_us > STOP_PATIENCE_US)
    standin_program_end (&c->program);
}

static void
print_summary (struct standin_caller *c)
{
  json_t *summary = json_pack (
      "{s:f,s:o,s:o}", "seconds",
      (double)(standin_now_us () - c->started_us) / US_PER_SECOND, "flows",
      standin_feeds_summary (c), "requests", standin_loads_summary (c));
  char *line = json_dumps (summary, JSON_COMPACT);

  if (line)
    puts (line);
  free (line);
  json_decref (summary);
}

/* ---- options
 * ------------------------------------------------------------------------------
 */

const char *argp_program_version = "standin-caller " AM_VERSION;

enum option_key
{
  OPTION_ADDRESS = 256,
  OPTION_FLOWS,
  OPTION_OPEN_RATE,
  OPTION_REQUESTS,
  OPTION_CLOSED,
  OPTION_COUNT,
  OPTION_SECONDS,
  OPTION_PING,
  OPTION_PAYLOAD,
  OPTION_SEED,
  OPTION_RETRANSMIT,
  OPTION_DEADLINE,
  OPTION_CANCEL,
};

static const struct argp_option options[] = {
  { "service", 's', "NAME=IP:PORT[:ticket|opaque]", 0,
    "A service; may be repeated", 0 },
  { "history", 'h', "FILE", 0, "Where to write the history", 0 },
  { "address", OPTION_ADDRESS, "127.A.B.C", 0,
    "First of 16 addresses to send from (127.0.0.1)", 0 },
  { "flows", OPTION_FLOWS, "SERVICE:N", 0, "Feeds to hold open", 0 },
  { "open-rate", OPTION_OPEN_RATE, "N", 0, "Feeds opened a second (200)", 0 },
  { "requests", OPTION_REQUESTS, "SERVICE:CLASS:KIND:PER_SECOND", 0,
    "Requests at a rate; KIND is one_time or repeatable", 0 },
  { "closed", OPTION_CLOSED, "SERVICE:CLASS:KIND:N", 0,
    "Requests, N at a time", 0 },
  { "request-count", OPTION_COUNT, "N", 0, "End after this many requests", 0 },
  { "seconds", OPTION_SECONDS, "N", 0, "End after this time", 0 },
  { "ping-ms", OPTION_PING, "N", 0, "Cadence of pings (1000)", 0 },
  { "payload-bytes", OPTION_PAYLOAD, "N", 0, "Size of DATA and requests (100)",
    0 },
  { "seed", OPTION_SEED, "N", 0, "Seed of all choices (1)", 0 },
  { "retransmit-ms", OPTION_RETRANSMIT, "N", 0,
    "First interval of retransmissions (100)", 0 },
  { "deadline-ms", OPTION_DEADLINE, "N", 0, "Deadline of requests (5000)", 0 },
  { "cancel-percent", OPTION_CANCEL, "N", 0,
    "Share of requests cancelled after sending (0)", 0 },
  { 0 }
};

static struct standin_caller_service *
find_service (struct standin_caller *c, const char *name, size_t len)
{
  for (size_t i = 0; i < c->service_count; i++)
    if (strlen (c->services[i].name) == len
        && strncmp (c->services[i].name, name, len) == 0)
      return &c->services[i];
  return NULL;
}

static int
add_service (struct standin_caller *c, const char *text)
{
  struct standin_caller_service *s = &c->services[c->service_count];
  char address[AM_ADDRESS_TEXT_SIZE + 8];
  const char *equals = strchr (text, '=');
  char *form;

  if (!equals || c->service_count == STANDIN_SERVICES_MAX
      || (size_t)(equals - text) >= sizeof s->name)
    return AM_E_FORMAT;
  memcpy (s->name, text, (size_t)(equals - text));
  if (snprintf (address, sizeof address, "%s", equals + 1)
      >= (int)sizeof address)
    return AM_E_FORMAT;
  form = strchr (address, ':');
  form = form ? strchr (form + 1, ':') : NULL;
  if (form)
    {
      *form++ = '\0';
      s->opaque = strcmp (form, "opaque") == 0;
      if (!s->opaque && strcmp (form, "ticket") != 0)
        return AM_E_FORMAT;
    }
  s->caller = c;
  c->service_count++;
  return am_address_parse (&s->address, address);
}

static int
add_flows (struct standin_caller *c, const char *text)
{
  const char *colon = strchr (text, ':');
  struct standin_caller_service *s
      = colon ? find_service (c, text, (size_t)(colon - text)) : NULL;
  uint64_t n;

  if (!s || standin_parse_number (&n, colon + 1, UINT32_MAX) != AM_OK)
    return AM_E_FORMAT;
  s->flows_wanted = (uint32_t)n;
  return AM_OK;
}

/* Parses "SERVICE:CLASS:KIND:NUMBER" into the next load.  */
static int
add_load (struct standin_caller *c, const char *text, bool closed)
{
  struct standin_load *l = &c->loads[c->load_count];
  char name[STANDIN_NAME_SIZE];
  char kind[16];
  unsigned request_class;
  double number;

  if (c->load_count == STANDIN_LOADS_MAX
      || sscanf (text, "%63[^:]:%3u:%15[a-z_]:%lf", name, &request_class, kind,
                 &number)
             != 4
      || request_class > UINT8_MAX || !(number >= 0 && number < 1e6))
    return AM_E_FORMAT;
  l->service = find_service (c, name, strlen (name));
  l->request_class = (uint8_t)request_class;
  l->one_time = strcmp (kind, "one_time") == 0;
  if (!l->service || (!l->one_time && strcmp (kind, "repeatable") != 0))
    return AM_E_FORMAT;
  if (closed)
    l->concurrency = (uint32_t)number;
  else
    l->per_second = number;
  c->load_count++;
  return AM_OK;
}

static int
parse_address (struct standin_caller *c, const char *text)
{
  char with_port[AM_ADDRESS_TEXT_SIZE];

  if (snprintf (with_port, sizeof with_port, "%s:1", text)
      >= (int)sizeof with_port)
    return AM_E_FORMAT;
  return am_address_parse (&c->options.base, with_port);
}

static int
parse_number (int key, const char *text, struct options *o)
{
  struct standin_caller_options *c = &o->caller->options;
  uint64_t percent;
  int err;

  switch (key)
    {
    case OPTION_OPEN_RATE:
      return standin_parse_number (&c->open_rate, text, UINT32_MAX);
    case OPTION_COUNT:
      return standin_parse_number (&c->request_count, text, UINT32_MAX);
    case OPTION_SECONDS:
      return standin_parse_number (&c->seconds, text, UINT32_MAX);
    case OPTION_PING:
      return standin_parse_number (&c->ping_ms, text, UINT32_MAX);
    case OPTION_PAYLOAD:
      return standin_parse_number (&c->payload_bytes, text,
                                   AM_REQUEST_SIZE_MAX);
    case OPTION_SEED:
      return standin_parse_number (&o->seed, text, UINT64_MAX);
    case OPTION_RETRANSMIT:
      return standin_parse_number (&c->retransmit_ms, text, UINT32_MAX);
    case OPTION_DEADLINE:
      return standin_parse_number (&c->deadline_ms, text, UINT32_MAX);
    case OPTION_CANCEL:
      err = standin_parse_number (&percent, text, 100);
      c->cancel = err ? 0 : (double)percent / 100;
      return err;
    default:
      return AM_E_NOT_FOUND;
    }
}

static int
parse_part (int key, char *text, struct options *o)
{
  switch (key)
    {
    case 's':
      return add_service (o->caller, text);
    case 'h':
      o->history = text;
      return AM_OK;
    case OPTION_ADDRESS:
      return parse_address (o->caller, text);
    case OPTION_FLOWS:
      return add_flows (o->caller, text);
    case OPTION_REQUESTS:
      return add_load (o->caller, text, false);
    case OPTION_CLOSED:
      return add_load (o->caller, text, true);
    default:
      return parse_number (key, text, o);
    }
}

static error_t
parse_option (int key, char *text, struct argp_state *state)
{
  struct options *o = state->input;

  if (key == ARGP_KEY_END)
    {
      if (!o->history || !o->caller->service_count)
        argp_error (state, "--service and --history are needed");
      return 0;
    }
  if (!text)
    return ARGP_ERR_UNKNOWN;
  return standin_option_result (state, text, parse_part (key, text, o));
}

static int
start (struct standin_caller *c, const struct options *o)
{
  int err = standin_program_init (&c->program, begin_stop, c);

  if (!err)
    err = standin_history_open (&c->history, &c->program.loop, o->history,
                                "caller");
  if (!err)
    err = open_sources (c);
  if (err)
    return err;
  am_rng_init (&c->rng, am_hash_bytes (&o->seed, sizeof o->seed, 0));
  am_list_init (&c->finished);
  c->started_us = standin_now_us ();
  c->open_at_us = c->started_us;
  standin_wheel_init (&c->wheel, STANDIN_CALLER_TICK_US, c->started_us);
  uv_timer_init (&c->program.loop, &c->tick);
  c->tick.data = c;
  uv_timer_start (&c->tick, on_tick, TICK_MS, TICK_MS);
  return AM_OK;
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option,
          NULL,    "Stand-in for callers; prints a summary as JSON.",
          NULL,    NULL,
          NULL };
  static struct standin_caller c;
  struct options o = { .caller = &c, .seed = 1 };
  int err;

  c.options = (struct standin_caller_options){ .base = { 0x7f000001, 1 },
                                               .open_rate = 200,
                                               .ping_ms = 1000,
                                               .payload_bytes = 100,
                                               .retransmit_ms = 100,
                                               .deadline_ms = 5000 };
  am_program_parse (&argp, argc, argv, &o);
  err = start (&c, &o);
  if (err)
    return standin_fail ("standin-caller", "start", err, AM_EXIT_UNAVAILABLE);
  standin_program_run (&c.program);
  print_summary (&c);
  standin_history_close (&c.history);
  return AM_EXIT_OK;
}
