#include "core/control.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "core/configuration/control_config.h"
#include "core/configuration/control_readers.h"
#include "core/configuration/control_spread.h"
#include "core/control_board.h"
#include "core/membership/control_forwarder_link.h"
#include "core/membership/control_members.h"
#include "core/membership/control_swim.h"
#include "core/ownership/service_leases.h"
#include "core/targets/control_verdicts.h"

/* How long a stopping agent waits for its forwarder to begin its own stop,
   and then for the end of that stop.  */
#define STOP_NOTICE_US (3 * AM_SECOND_US / 2)
#define STOP_LIMIT_US (60 * AM_SECOND_US)

/* Time to release the leases for requests; without it they lapse.  */
#define OWNERS_LIMIT_US (3 * AM_SECOND_US)

/* Time for the last word to leave, sent twice.  */
#define LEAVE_US (3 * AM_SECOND_US / 10)

int
am_control_new (struct am_control **out, const struct am_control_options *o)
{
  struct am_control *c = calloc (1, sizeof *c);
  int err;

  *out = NULL;
  if (!c)
    return AM_E_MEMORY;
  c->sink = o->sink;
  c->fanout = o->fanout ? o->fanout : AM_ANNOUNCE_FANOUT;
  c->reader_count = o->readers ? o->readers : AM_READERS;
  am_rng_init (&c->rng, o->seed);
  am_config_init (c);
  am_spread_init (c);
  am_forwarder_link_init (c);
  err = am_members_init (c, o);
  if (!err)
    err = am_verdicts_init (c, o->incarnation);
  if (err)
    {
      am_control_free (c);
      return err;
    }
  *out = c;
  return AM_OK;
}

void
am_control_free (struct am_control *c)
{
  if (!c)
    return;
  am_service_leases_finish (c);
  am_members_finish (c);
  am_config_finish (c);
  am_spread_finish (c);
  am_verdicts_finish (c);
  am_forwarder_link_finish (c);
  free (c);
}

/* Times that count from the start are set by the first event, because the
   engine has no clock.  */
static void
start (struct am_control *c, uint64_t now_us)
{
  c->now_us = now_us;
  c->spread.started_us = now_us;
  c->link.down_us = now_us;
  c->update_filled_us = now_us;
  c->next_probe_us
      = now_us
        + (uint64_t)(am_rng_unit (&c->rng) * (double)AM_PROBE_PERIOD_US);
  c->seed_next = am_rng_below (&c->rng, AM_SEEDS_MAX);
  am_members_queue_update (c, &c->self);
}

/* ---- stop --------------------------------------------------------- */

static void
stop (struct am_control *c)
{
  if (c->stopping_us)
    return;
  c->stopping_us = c->now_us;
  am_members_set_self (c, AMARANTH__MEMBER_STATE__MEMBER_LEAVING,
                       c->link.boot_id);
}

static bool
forwarder_goes_on (const struct am_control *c)
{
  return c->link.up && c->link.life == AMARANTH__LIFE_STATE__LIFE_SERVING;
}

/* While the forwarder stops, this VM stays a leaving member, because requests
   pinned to it are not over.  A forwarder that goes on serving keeps its
   member leaving: it is not left.  */
static bool
may_leave (const struct am_control *c)
{
  uint64_t waited = c->now_us - c->stopping_us;

  if (!am_service_leases_may_exit (c) && waited < OWNERS_LIMIT_US)
    return false;
  if (!c->link.up)
    return true;
  if (forwarder_goes_on (c))
    return waited >= STOP_NOTICE_US;
  return waited >= STOP_LIMIT_US;
}

static void
stop_tick (struct am_control *c)
{
  struct am_control_action a = { .type = AM_CONTROL_EXIT };

  if (!c->stopping_us)
    return;
  if (!c->left_us)
    {
      if (!may_leave (c))
        return;
      c->left_us = c->now_us;
      if (!forwarder_goes_on (c))
        am_members_set_self (c, AMARANTH__MEMBER_STATE__MEMBER_LEFT,
                             c->link.boot_id);
    }
  c->urgent = true;
  if (c->now_us - c->left_us >= LEAVE_US)
    c->sink.emit (c->sink.userdata, &a);
}

/* ---- events ------------------------------------------------------- */

static int
send_status (struct am_control *c, uint64_t stream)
{
  struct am_control_action a
      = { .type = AM_CONTROL_SEND_STREAM, .stream = stream };
  uint8_t *data;
  int err = am_control_status (c, &data, &a.len);

  if (err)
    return err;
  a.data = data;
  c->sink.emit (c->sink.userdata, &a);
  free (data);
  return AM_OK;
}

static int
handle_gossip (struct am_control *c, const struct am_control_event *e,
               const Amaranth__Envelope *m)
{
  c->counters.received_bytes_gossip += e->len;
  if (m->body_case == AMARANTH__ENVELOPE__BODY_GOSSIP)
    return am_swim_receive (c, e->from, m->gossip);
  if (m->body_case == AMARANTH__ENVELOPE__BODY_OWNER_PROMISE)
    return am_service_leases_promise_message (c, m->owner_promise);
  if (m->body_case != AMARANTH__ENVELOPE__BODY_ANNOUNCE)
    return AM_E_FORMAT;
  am_spread_announced (c, e->from, m->announce);
  return AM_OK;
}

static int
handle_stream (struct am_control *c, const struct am_control_event *e,
               const Amaranth__Envelope *m)
{
  c->counters.received_bytes_stream += e->len;
  switch (m->body_case)
    {
    case AMARANTH__ENVELOPE__BODY_ANNOUNCE:
      am_spread_announced (c, e->from, m->announce);
      return AM_OK;
    case AMARANTH__ENVELOPE__BODY_DIGEST_REQUEST:
      return am_spread_digest_request (c, e->stream, m->digest_request);
    case AMARANTH__ENVELOPE__BODY_RECORD_LIST:
      return am_spread_records (c, e->stream, m->record_list);
    case AMARANTH__ENVELOPE__BODY_STATUS_REQUEST:
      return send_status (c, e->stream);
    case AMARANTH__ENVELOPE__BODY_STOP_REQUEST:
      stop (c);
      return AM_OK;
    default:
      return AM_E_FORMAT;
    }
}

static int
handle_message (struct am_control *c, const struct am_control_event *e)
{
  Amaranth__Envelope *m = amaranth__envelope__unpack (NULL, e->len, e->data);
  int err;

  if (!m)
    return AM_E_FORMAT;
  if (e->type == AM_CONTROL_GOSSIP)
    err = handle_gossip (c, e, m);
  else if (e->type == AM_CONTROL_STREAM)
    err = handle_stream (c, e, m);
  else
    err = am_forwarder_link_receive (c, m);
  amaranth__envelope__free_unpacked (m, NULL);
  return err;
}

static int
set_seeds (struct am_control *c, const struct am_control_event *e)
{
  if (e->seed_count > AM_SEEDS_MAX)
    return AM_E_TOO_LARGE;
  memcpy (c->seeds, e->seeds, e->seed_count * sizeof c->seeds[0]);
  c->seed_count = e->seed_count;
  c->next_outsider_us = c->now_us;
  return AM_OK;
}

static void
tick (struct am_control *c)
{
  am_members_tick (c);
  am_swim_tick (c);
  am_spread_tick (c);
  am_readers_tick (c);
  am_verdicts_tick (c);
  am_service_leases_tick (c);
  stop_tick (c);
}

static int
dispatch (struct am_control *c, const struct am_control_event *e)
{
  switch (e->type)
    {
    case AM_CONTROL_GOSSIP:
    case AM_CONTROL_STREAM:
    case AM_CONTROL_FORWARDER:
      return handle_message (c, e);
    case AM_CONTROL_FORWARDER_UP:
      am_forwarder_link_connected (c);
      return AM_OK;
    case AM_CONTROL_FORWARDER_LOST:
      am_forwarder_link_lost (c);
      return AM_OK;
    case AM_CONTROL_STORE:
      return am_readers_result (c, e->store);
    case AM_CONTROL_SEEDS:
      return set_seeds (c, e);
    case AM_CONTROL_TICK:
      tick (c);
      return AM_OK;
    case AM_CONTROL_OWNER:
      return am_service_leases_store_result (c, e->owner);
    case AM_CONTROL_STOP:
      stop (c);
      return AM_OK;
    }
  return AM_E_ARGUMENT;
}

int
am_control_event (struct am_control *c, const struct am_control_event *e)
{
  int err;

  if (c->now_us == 0)
    start (c, e->now_us);
  c->now_us = e->now_us;
  err = dispatch (c, e);
  if (err == AM_E_FORMAT && e->type != AM_CONTROL_STORE)
    c->counters.malformed++;
  am_swim_flush_urgent (c);
  am_forwarder_link_tick (c);
  return err;
}
