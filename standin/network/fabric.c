/* Stand-in for the fabric: owns the service addresses, sprays each packet of a
   caller over the forwarders and carries replies back.  */

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "base/rng.h"
#include "common/standin_control.h"
#include "common/standin_program.h"
#include "io/program.h"
#include "io/udp_batch.h"
#include "wire/proxy_header.h"

#define SERVICES_MAX 1024
#define FORWARDERS_MAX 1024

struct fabric;

struct service
{
  struct fabric *fabric;
  struct am_address address;
  struct am_udp_port port;
  struct am_udp_batch batch;
};

struct forwarder
{
  struct am_address address;
  struct am_address via; /* a relay in front of it, or its address */
  uint64_t packets;
};

struct fabric
{
  struct standin_program program;
  struct standin_control control;
  struct am_address return_address;
  struct am_address control_address;
  struct am_udp_port port;
  struct am_udp_batch batch; /* towards the forwarders */
  struct service *services;
  size_t service_count;
  struct forwarder forwarders[FORWARDERS_MAX];
  size_t forwarder_count;
  size_t via_count;
  bool pin;
  uint64_t seed;
  struct am_rng rng;
  uint64_t packets_up;
  uint64_t packets_down;
  uint64_t dropped_up;   /* no forwarder */
  uint64_t dropped_down; /* not for a service of ours */
};

/* ---- packets ------------------------------------------------------------ */

static struct forwarder *
choose (struct fabric *f, struct am_address caller)
{
  uint64_t key = am_address_key (caller);
  struct forwarder *best = NULL;
  uint64_t best_score = 0;

  if (!f->forwarder_count)
    return NULL;
  if (!f->pin)
    return &f->forwarders[am_rng_below (&f->rng,
                                        (uint32_t)f->forwarder_count)];
  for (size_t i = 0; i < f->forwarder_count; i++)
    {
      struct forwarder *candidate = &f->forwarders[i];
      uint64_t id = am_address_key (candidate->address);
      uint64_t score = am_hash_rendezvous (
          key, (uint32_t)am_hash_bytes (&id, sizeof id, 0));

      if (!best || score > best_score)
        {
          best = candidate;
          best_score = score;
        }
    }
  return best;
}

static void
on_caller (void *userdata, struct am_address from, const uint8_t *data,
           size_t len)
{
  struct service *s = userdata;
  struct fabric *f = s->fabric;
  struct forwarder *to = choose (f, from);
  struct am_proxy_header h = { from, s->address };
  uint8_t *room;

  room
      = to ? am_udp_batch_room (&f->batch, to->via, AM_PROXY_HEADER_SIZE + len)
           : NULL;
  if (!room)
    {
      f->dropped_up++;
      return;
    }
  am_proxy_encode (&h, room);
  memcpy (room + AM_PROXY_HEADER_SIZE, data, len);
  f->packets_up++;
  to->packets++;
}

static struct service *
find_service (struct fabric *f, struct am_address address)
{
  for (size_t i = 0; i < f->service_count; i++)
    if (am_address_equal (f->services[i].address, address))
      return &f->services[i];
  return NULL;
}

static void
on_return (void *userdata, struct am_address from, const uint8_t *data,
           size_t len)
{
  struct fabric *f = userdata;
  struct am_proxy_header h;
  struct service *s;
  uint8_t *room;
  size_t used;

  (void)from;
  if (am_proxy_decode (&h, data, len, &used) != AM_OK)
    {
      f->dropped_down++;
      return;
    }
  s = find_service (f, h.source);
  room = s ? am_udp_batch_room (&s->batch, h.destination, len - used) : NULL;
  if (!room)
    {
      f->dropped_down++;
      return;
    }
  memcpy (room, data + used, len - used);
  f->packets_down++;
}

/* ---- commands
 * --------------------------------------------------------------- */

static size_t
find_forwarder (const struct fabric *f, struct am_address address)
{
  for (size_t i = 0; i < f->forwarder_count; i++)
    if (am_address_equal (f->forwarders[i].address, address))
      return i;
  return f->forwarder_count;
}

static int
add_forwarder (struct fabric *f, struct am_address address,
               struct am_address via)
{
  struct forwarder *n = &f->forwarders[f->forwarder_count];

  if (f->forwarder_count == FORWARDERS_MAX)
    return AM_E_LIMIT;
  if (find_forwarder (f, address) < f->forwarder_count)
    return AM_E_EXISTS;
  n->address = address;
  n->via = via;
  n->packets = 0;
  f->forwarder_count++;
  return AM_OK;
}

static int
remove_forwarder (struct fabric *f, struct am_address address)
{
  size_t i = find_forwarder (f, address);

  if (i == f->forwarder_count)
    return AM_E_NOT_FOUND;
  f->forwarders[i] = f->forwarders[--f->forwarder_count];
  return AM_OK;
}

static json_t *
stats (struct fabric *f)
{
  json_t *forwarders = json_object ();
  char text[AM_ADDRESS_TEXT_SIZE];
  uint64_t refused = f->port.send_drops;

  for (size_t i = 0; i < f->service_count; i++)
    refused += f->services[i].port.send_drops;
  for (size_t i = 0; i < f->forwarder_count; i++)
    json_object_set_new (forwarders,
                         am_address_format (f->forwarders[i].address, text),
                         json_integer ((json_int_t)f->forwarders[i].packets));
  return json_pack (
      "{s:I,s:I,s:I,s:I,s:I,s:o}", "packets_up", (json_int_t)f->packets_up,
      "packets_down", (json_int_t)f->packets_down, "dropped_up",
      (json_int_t)f->dropped_up, "dropped_down", (json_int_t)f->dropped_down,
      "refused_by_sockets", (json_int_t)refused, "forwarders", forwarders);
}

static json_t *
on_command (void *userdata, char *const *words, int count)
{
  struct fabric *f = userdata;
  struct am_address address;
  struct am_address via;
  int err = AM_E_FORMAT;

  if (strcmp (words[0], "stats") == 0)
    return stats (f);
  if (count < 3 || strcmp (words[0], "forwarder") != 0
      || am_address_parse (&address, words[2]) != AM_OK)
    return NULL;
  via = address;
  if (count > 3 && am_address_parse (&via, words[3]) != AM_OK)
    return NULL;
  if (strcmp (words[1], "add") == 0)
    err = add_forwarder (f, address, via);
  else if (strcmp (words[1], "remove") == 0)
    err = remove_forwarder (f, address);
  return err ? json_pack ("{s:s}", "error", am_error_name (err))
             : standin_control_ok ();
}

/* ---- options
 * ------------------------------------------------------------------ */

const char *argp_program_version = "standin-fabric " AM_VERSION;

enum option_key
{
  OPTION_MODE = 256,
  OPTION_VIA,
  OPTION_SEED,
};

static const struct argp_option options[]
    = { { "return", 'r', "IP:PORT", 0, "Where forwarders send replies", 0 },
        { "service", 's', "IP:PORT", 0, "A service address; may be repeated",
          0 },
        { "forwarder", 'f', "IP:PORT", 0, "A forwarder; may be repeated", 0 },
        { "via", OPTION_VIA, "IP:PORT", 0,
          "Relay in front of a forwarder, in the order of --forwarder", 0 },
        { "mode", OPTION_MODE, "spray|pin", 0,
          "A random forwarder for each packet, or one for each caller", 0 },
        { "seed", OPTION_SEED, "N", 0, "Seed of all choices (1)", 0 },
        { "control", 'c', "IP:PORT", 0, "Control port", 0 },
        { 0 } };

static int
add_service (struct fabric *f, const char *text)
{
  if (f->service_count == SERVICES_MAX)
    return AM_E_LIMIT;
  return am_address_parse (&f->services[f->service_count++].address, text);
}

static int
parse_value (int key, const char *text, struct fabric *f)
{
  struct am_address a;

  switch (key)
    {
    case 'r':
      return am_address_parse (&f->return_address, text);
    case 'c':
      return am_address_parse (&f->control_address, text);
    case 's':
      return add_service (f, text);
    case 'f':
      if (am_address_parse (&a, text) != AM_OK)
        return AM_E_FORMAT;
      return add_forwarder (f, a, a);
    case OPTION_VIA:
      if (f->via_count == FORWARDERS_MAX)
        return AM_E_LIMIT;
      return am_address_parse (&f->forwarders[f->via_count++].via, text);
    case OPTION_MODE:
      f->pin = strcmp (text, "pin") == 0;
      return f->pin || strcmp (text, "spray") == 0 ? AM_OK : AM_E_FORMAT;
    case OPTION_SEED:
      return standin_parse_number (&f->seed, text, UINT64_MAX);
    default:
      return AM_E_NOT_FOUND;
    }
}

static error_t
parse_option (int key, char *text, struct argp_state *state)
{
  struct fabric *f = state->input;

  if (key == ARGP_KEY_END)
    {
      if (!f->return_address.port || !f->service_count)
        argp_error (state, "--return and --service are needed");
      if (f->via_count > f->forwarder_count)
        argp_error (state, "more --via than --forwarder");
      return 0;
    }
  if (!text)
    return ARGP_ERR_UNKNOWN;
  return standin_option_result (state, text, parse_value (key, text, f));
}

static int
start (struct fabric *f)
{
  uv_loop_t *loop = &f->program.loop;
  int err = standin_program_init (&f->program, NULL, NULL);

  if (!err)
    err = am_udp_open (&f->port, loop, f->return_address, on_return, f);
  if (err)
    return err;
  (void)am_udp_batch_init (&f->batch, loop, &f->port);
  for (size_t i = 0; i < f->service_count; i++)
    {
      struct service *s = &f->services[i];

      s->fabric = f;
      err = am_udp_open (&s->port, loop, s->address, on_caller, s);
      if (err)
        return err;
      (void)am_udp_batch_init (&s->batch, loop, &s->port);
    }
  return standin_control_open (&f->control, loop, f->control_address,
                               on_command, f);
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option,
          NULL,    "Stand-in for the fabric between callers and forwarders.",
          NULL,    NULL,
          NULL };
  static struct fabric f;
  int err;

  f.seed = 1;
  f.services = calloc (SERVICES_MAX, sizeof *f.services);
  if (!f.services)
    return AM_EXIT_SOFTWARE;
  am_program_parse (&argp, argc, argv, &f);
  am_rng_init (&f.rng, f.seed);
  err = start (&f);
  if (err)
    return standin_fail ("standin-fabric", "listen", err, AM_EXIT_UNAVAILABLE);
  standin_program_run (&f.program);
  standin_program_finish (&f.program);
  free (f.services);
  return AM_EXIT_OK;
}
