#include "core/dispatch.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "core/binding/binding.h"
#include "core/binding/forward.h"
#include "core/binding/key_ring.h"
#include "core/configuration/snapshot.h"
#include "core/lending/quota.h"
#include "core/lifecycle.h"
#include "core/ownership/ticketless.h"
#include "core/placement/flow_setup.h"
#include "core/requests/request.h"
#include "core/targets/address_validation.h"
#include "core/targets/probe.h"
#include "core/targets/probe_packet.h"
#include "wire/frame.h"
#include "wire/proxy_header.h"

/* Interval of work that may wait: bindings' expiry, members, probes.  */
#define SLOW_TICK_US 100000u

int
am_dispatch_init (struct am_dispatch *d, const struct am_dispatch_options *o)
{
  struct am_board *b = &d->board;
  int err;

  memset (d, 0, sizeof *d);
  am_board_init (b, &o->self, o->seed, &o->sink);
  b->log_decisions = o->log_decisions;
  memcpy (d->peer_key, o->peer_key, AM_PEER_KEY_SIZE);
  b->peer_key = d->peer_key;
  err = am_flow_setup_init (b);
  if (!err)
    err = am_key_ring_init (b);
  if (!err)
    err = am_requests_init (b);
  if (!err)
    return AM_OK;
  am_key_ring_finish (b);
  am_flow_setup_finish (b);
  return err;
}

void
am_dispatch_finish (struct am_dispatch *d)
{
  struct am_board *b = &d->board;

  am_requests_finish (b);
  am_snapshot_finish (b);
  am_flow_setup_finish (b);
  am_key_ring_finish (b);
  am_ticketless_finish (b);
  am_board_finish (b);
}

/* ---- datagrams ---------------------------------------------------- */

static int
refuse (struct am_board *b, int error)
{
  b->counters.malformed++;
  return error;
}

/* A datagram for a service address that is not known here.  An answer to a
   PROBE is one if the upstream's service is not known.  */
static int
to_unknown (struct am_board *b, const struct am_address *from,
            const struct am_proxy_header *h)
{
  if (from && am_probe_is_source (h->destination))
    am_validation_revoke (b, *from);
  return refuse (b, AM_E_SERVICE_UNKNOWN);
}

/* FROM is NULL if the datagram came through a peer.  */
static int
from_caller (struct am_board *b, const struct am_address *from,
             const uint8_t *data, size_t len)
{
  struct am_proxy_header h;
  struct am_service *s;
  size_t used;
  int err = am_proxy_decode (&h, data, len, &used);

  if (err)
    return refuse (b, err);
  s = am_board_service_at (b, h.destination);
  if (!s)
    return to_unknown (b, from, &h);
  return s->binding->from_caller (b, s, h.source, data + used, len - used);
}

static int
from_upstream (struct am_board *b, const struct am_event *e)
{
  struct am_proxy_header h;
  struct am_upstream *u;
  struct am_service *s;
  size_t used;
  int err = am_proxy_decode (&h, e->data, e->len, &used);

  if (err)
    return refuse (b, err);
  s = am_board_service_at (b, h.source);
  if (!s)
    return refuse (b, AM_E_SERVICE_UNKNOWN);
  u = am_service_upstream_at (s, e->from);
  if (!u)
    return refuse (b, AM_E_UPSTREAM_UNKNOWN);
  am_validation_renew (b, u);
  if (am_probe_is_source (h.destination))
    return am_probe_reply (b, u, e->data + used, e->len - used);
  return s->binding->from_upstream (b, s, u, h.destination, e->data + used,
                                    e->len - used);
}

static int
take_credit (struct am_board *b, uint32_t sender_id, const uint8_t *body,
             size_t len)
{
  int err = am_quota_handle_message (b, sender_id, body, len);

  if (!err)
    am_requests_tick (b);
  return err;
}

static int
from_peer (struct am_board *b, const struct am_event *e)
{
  struct am_peer_header h;
  struct am_service *s;
  const uint8_t *body;
  size_t len;
  int err = am_peer_decode (&h, b->peer_key, e->data, e->len, &body, &len);

  if (err)
    return refuse (b, err);
  b->peer_id = h.sender_id;
  if (h.type == AM_PEER_FORWARD)
    return from_caller (b, NULL, body, len);
  if (h.type == AM_PEER_CREDIT)
    return take_credit (b, h.sender_id, body, len);
  if (h.type == AM_PEER_OWNER)
    return am_ticketless_peer_message (b, h.sender_id, h.service_id, body,
                                       len);
  s = am_board_service (b, h.service_id);
  if (!s)
    return AM_E_SERVICE_UNKNOWN;
  return s->binding->from_peer (b, s, h.sender_id, body, len);
}

/* ---- streams ------------------------------------------------------ */

static int
from_stream (struct am_board *b, const struct am_event *e)
{
  struct am_service *s = am_board_service (b, e->service_id);
  struct am_upstream *u = s ? am_service_upstream (s, e->upstream_id) : NULL;
  struct am_packet p;
  int err;

  if (!u)
    return AM_E_UPSTREAM_UNKNOWN;
  err = am_packet_decode_stream (&p, e->data, e->len);
  if (err)
    return refuse (b, err);
  am_record_reported_load (b, u, p.body, p.body_len);
  return am_requests_upstream_packet (b, u, &p);
}

/* ---- time --------------------------------------------------------- */

static void
slow_tick (struct am_dispatch *d)
{
  struct am_board *b = &d->board;

  if (b->now_us < d->next_slow_tick_us)
    return;
  d->next_slow_tick_us = b->now_us + SLOW_TICK_US;
  am_snapshot_tick (b);
  am_probe_tick (b);
  am_ticketless_tick (b);
  am_list_each (s, &b->services, struct am_service, node)
  {
    s->binding->tick (b, s);
  }
}

static void
tick (struct am_dispatch *d)
{
  struct am_board *b = &d->board;

  am_flow_setup_tick (b);
  am_quota_tick (b);
  am_requests_tick (b);
  slow_tick (d);
  am_lifecycle_tick (d);
}

int
am_dispatch_event (struct am_dispatch *d, const struct am_event *e)
{
  struct am_board *b = &d->board;

  b->now_us = e->now_us;
  b->wall_ms = e->wall_ms;
  b->via_peer = e->type == AM_EVENT_PEER;
  switch (e->type)
    {
    case AM_EVENT_CALLER:
      b->counters.packets_in++;
      return from_caller (b, &e->from, e->data, e->len);
    case AM_EVENT_UPSTREAM:
      b->counters.packets_upstream++;
      return from_upstream (b, e);
    case AM_EVENT_PEER:
      b->counters.packets_peer++;
      return from_peer (b, e);
    case AM_EVENT_STREAM:
      return from_stream (b, e);
    case AM_EVENT_STREAM_LOST:
      am_requests_connection_lost (b, e->service_id, e->upstream_id);
      return AM_OK;
    case AM_EVENT_STREAM_UNOPENED:
      am_requests_connection_failed (b, e->service_id, e->upstream_id);
      return AM_OK;
    case AM_EVENT_SNAPSHOT:
      return am_snapshot_apply (b, e->data, e->len);
    case AM_EVENT_DELTA:
      return am_snapshot_apply_delta (b, e->data, e->len);
    case AM_EVENT_TICK:
      tick (d);
      return AM_OK;
    case AM_EVENT_GRANT:
      return am_ticketless_apply_grant (b, e->data, e->len);
    case AM_EVENT_STOP:
      am_lifecycle_stop (d);
      return AM_OK;
    }
  return AM_E_ARGUMENT;
}

enum am_event_type
am_dispatch_classify (struct am_dispatch *d, struct am_address from,
                      const uint8_t *data, size_t len)
{
  struct am_proxy_header h;
  struct am_service *s;
  size_t used;

  if (am_proxy_decode (&h, data, len, &used))
    return AM_EVENT_CALLER;
  s = am_board_service_at (&d->board, h.source);
  if (s && am_service_upstream_at (s, from))
    return AM_EVENT_UPSTREAM;
  return AM_EVENT_CALLER;
}
