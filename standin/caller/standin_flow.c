#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "upstream/standin_upstream.h"

#define US_PER_MS 1000u

/* Length to which alerts are padded: a small sensor reading.  */
#define ALERT_BYTES 120

static void
set_timer (struct standin_flow *f, uint64_t due_us)
{
  standin_timer_set (&f->upstream->world->wheel, &f->timer, due_us);
}

static struct standin_flow_key
make_key (bool opaque, uint64_t id, struct am_address caller)
{
  struct standin_flow_key key
      = { opaque ? 0 : id, opaque ? am_address_key (caller) : caller.ip };

  return key;
}

static struct standin_flow *
find (struct standin_upstream *u, struct standin_flow_key key)
{
  struct standin_flow *f;

  HASH_FIND (hh, u->flows, &key, sizeof key, f);
  return f;
}

static void
drop (struct standin_flow *f, bool note)
{
  struct standin_upstream *u = f->upstream;

  if (note)
    standin_history_event (
        &u->world->history, "flow_close",
        "\"upstream\":\"%s\",\"service\":\"%s\",\"flow\":\"%" PRIu64 "\"",
        u->spec.name, u->spec.service, f->id);
  HASH_DEL (u->flows, f);
  u->flow_count--;
  standin_timer_cancel (&f->timer);
  am_list_remove (&f->idle);
  free (f);
}

static void wake (struct standin_timer *t, uint64_t now_us);

static struct standin_flow *
add (struct standin_upstream *u, struct standin_flow_key key, uint64_t id)
{
  struct standin_world *w = u->world;
  struct standin_flow *f = calloc (1, sizeof *f);

  if (!f)
    return NULL;
  f->upstream = u;
  f->key = key;
  f->id = id;
  standin_timer_init (&f->timer, wake);
  am_list_init (&f->idle);
  HASH_ADD (hh, u->flows, key, sizeof f->key, f);
  am_list_push_back (&w->idle, &f->idle);
  u->flow_count++;
  u->opened++;
  if (u->flow_count > u->flows_max)
    u->flows_max = u->flow_count;
  if (w->work.alert_ms)
    {
      uint64_t interval = w->work.alert_ms * US_PER_MS;

      f->next_us = standin_now_us ()
                   + (uint64_t)(am_rng_unit (&w->rng) * (double)interval);
      set_timer (f, f->next_us);
    }
  standin_history_event (
      &w->history, "flow_open",
      "\"upstream\":\"%s\",\"service\":\"%s\",\"flow\":\"%" PRIu64 "\"",
      u->spec.name, u->spec.service, id);
  return f;
}

/* ---- sending --------------------------------------------------------- */

/* Where a reply goes: entry VM and caller.  */
struct reply
{
  struct standin_upstream *u;
  struct am_address via;
  struct am_address caller;
};

static void
send_packet (const struct reply *r, const struct am_packet *p)
{
  uint8_t buf[AM_PACKET_SIZE_MAX];
  size_t len;

  if (am_packet_encode (p, buf, sizeof buf, &len) == AM_OK)
    standin_send_proxied (&r->u->udp, r->via, r->u->spec.service_address,
                          r->caller, buf, len);
}

/* Sends a packet of TYPE with the load and, if ERROR, its reason.  */
static void
send_load (const struct reply *r, uint8_t type, const struct am_packet *to,
           int error)
{
  struct am_load load = standin_upstream_load (r->u, standin_now_us ());
  struct am_reason_body reason = { error };
  uint8_t body[AM_LOAD_SIZE + AM_REASON_BODY_SIZE];
  struct am_packet p = { .type = type,
                         .connection_id = to->connection_id,
                         .sequence = to->sequence,
                         .body = body,
                         .body_len = AM_LOAD_SIZE };

  am_load_encode (&load, body);
  if (error)
    {
      am_reason_body_encode (&reason, body + AM_LOAD_SIZE);
      p.body_len = sizeof body;
    }
  send_packet (r, &p);
}

static void
send_message (const struct reply *r, char letter, uint64_t id,
              uint32_t sequence)
{
  struct standin_message m = { .letter = letter,
                               .flow = id,
                               .sequence = sequence,
                               .time_us = standin_now_us () };
  uint8_t buf[STANDIN_MESSAGE_MAX];
  size_t len;

  snprintf (m.upstream, sizeof m.upstream, "%s", r->u->spec.name);
  snprintf (m.service, sizeof m.service, "%s", r->u->spec.service);
  len = standin_message_encode (&m, 0, buf);
  standin_send_proxied (&r->u->udp, r->via, r->u->spec.service_address,
                        r->caller, buf, len);
}

static void
send_alert (struct standin_flow *f)
{
  struct standin_upstream *u = f->upstream;
  struct reply r = { u, f->via, f->caller };
  struct standin_message m = { .letter = STANDIN_ALERT,
                               .flow = f->id,
                               .sequence = f->sequence,
                               .time_us = f->alert_us };
  uint8_t buf[STANDIN_MESSAGE_MAX];
  struct am_packet p = { .type = AM_PACKET_DATA,
                         .connection_id = f->id,
                         .sequence = f->sequence,
                         .body = buf };

  snprintf (m.upstream, sizeof m.upstream, "%s", u->spec.name);
  snprintf (m.service, sizeof m.service, "%s", u->spec.service);
  p.body_len = standin_message_encode (&m, ALERT_BYTES, buf);
  if (f->opaque)
    standin_send_proxied (&u->udp, f->via, u->spec.service_address, f->caller,
                          buf, p.body_len);
  else
    send_packet (&r, &p);
}

/* Sends the next alert.  DUE_US is now, or earlier if the alert had to wait
   for the echo of the one before it.  */
static void
begin_alert (struct standin_flow *f, uint64_t now_us, uint64_t due_us)
{
  struct standin_upstream *u = f->upstream;

  f->sequence++;
  f->unacknowledged = true;
  f->alert_us = due_us;
  f->next_us += u->world->work.alert_ms * US_PER_MS;
  standin_history_event (
      &u->world->history, "alert_sent",
      "\"upstream\":\"%s\",\"service\":\"%s\",\"flow\":\"%" PRIu64
      "\",\"seq\":%" PRIu32,
      u->spec.name, u->spec.service, f->id, f->sequence);
  send_alert (f);
  set_timer (f, now_us + STANDIN_ALERT_RESEND_US);
}

static void
wake (struct standin_timer *t, uint64_t now_us)
{
  struct standin_flow *f = am_container_of (t, struct standin_flow, timer);

  if (now_us < f->upstream->frozen_until_us)
    set_timer (f, f->upstream->frozen_until_us);
  else if (f->unacknowledged)
    {
      send_alert (f);
      set_timer (f, now_us + STANDIN_ALERT_RESEND_US);
    }
  else
    begin_alert (f, now_us, now_us);
}

static void
acknowledge (struct standin_flow *f, uint32_t sequence)
{
  uint64_t now = standin_now_us ();

  if (!f->unacknowledged || sequence != f->sequence)
    return;
  f->unacknowledged = false;
  if (f->next_us <= now)
    begin_alert (f, now, f->next_us);
  else
    set_timer (f, f->next_us);
}

/* ---- receiving --------------------------------------------------------- */

/* Returns why a new flow is refused, or AM_OK.  */
static int
refusal (struct standin_upstream *u)
{
  struct standin_world *w = u->world;

  if (u->drained)
    return AM_E_DRAINING;
  if (u->flow_count >= u->spec.connections)
    {
      standin_history_event (
          &w->history, "over_limit",
          "\"upstream\":\"%s\",\"service\":\"%s\",\"what\":\"connections\"",
          u->spec.name, u->spec.service);
      return AM_E_LIMIT;
    }
  if (u->shed > 0 && am_rng_unit (&w->rng) < u->shed)
    return AM_E_SHED;
  return AM_OK;
}

/* Finds or opens the flow; sets *ERROR if it is refused.  */
static struct standin_flow *
open_flow (const struct reply *r, bool opaque, uint64_t id, int *error)
{
  struct standin_upstream *u = r->u;
  struct standin_flow_key key = make_key (opaque, id, r->caller);
  struct standin_flow *f = find (u, key);

  *error = AM_OK;
  if (f && f->id != id)
    {
      drop (f, true);
      f = NULL;
    }
  if (f)
    return f;
  *error = refusal (u);
  if (*error == AM_OK)
    f = add (u, key, id);
  if (f)
    {
      f->opaque = opaque;
      return f;
    }
  u->refused++;
  standin_history_event (
      &u->world->history, "refused",
      "\"upstream\":\"%s\",\"service\":\"%s\",\"flow\":\"%" PRIu64
      "\",\"reason\":\"%s\"",
      u->spec.name, u->spec.service, id, am_error_name (*error));
  return NULL;
}

static void
heard (struct standin_flow *f, const struct reply *r)
{
  struct standin_world *w = r->u->world;

  f->via = r->via;
  f->caller = r->caller;
  f->heard_us = standin_now_us ();
  am_list_remove (&f->idle);
  am_list_push_back (&w->idle, &f->idle);
}

static void
take_payload (struct standin_flow *f, const struct standin_message *m)
{
  struct standin_upstream *u = f->upstream;

  if (m->letter == STANDIN_ACK)
    acknowledge (f, m->sequence);
  else if (m->letter == STANDIN_DATA)
    standin_history_event (&u->world->history, "flow_data",
                           "\"upstream\":\"%s\",\"service\":\"%s\",\"flow\":"
                           "\"%" PRIu64 "\",\"seq\":%" PRIu32,
                           u->spec.name, u->spec.service, f->id, m->sequence);
}

static void
take_open (const struct reply *r, const struct am_packet *p)
{
  int error;
  struct standin_flow *f = open_flow (r, false, p->connection_id, &error);

  if (f)
    heard (f, r);
  send_load (r, f ? AM_PACKET_OPENED : AM_PACKET_RESET, p, error);
}

static void
take_packet (const struct reply *r, const struct am_packet *p)
{
  struct standin_flow_key key = make_key (false, p->connection_id, r->caller);
  struct standin_flow *f = find (r->u, key);
  struct standin_message m;

  if (p->type == AM_PACKET_OPEN)
    {
      take_open (r, p);
      return;
    }
  if (p->type == AM_PACKET_PROBE)
    {
      send_load (r, AM_PACKET_REPORT, p, AM_OK);
      return;
    }
  if (p->type == AM_PACKET_CLOSE)
    {
      if (f)
        drop (f, true);
      return;
    }
  if (!f)
    {
      send_load (r, AM_PACKET_RESET, p, AM_E_FLOW_UNKNOWN);
      return;
    }
  heard (f, r);
  if (p->type == AM_PACKET_PING)
    send_load (r, AM_PACKET_PONG, p, AM_OK);
  if (p->type == AM_PACKET_DATA
      && standin_message_decode (&m, p->body, p->body_len) == AM_OK)
    take_payload (f, &m);
}

static void
take_opaque (const struct reply *r, const struct standin_message *m)
{
  struct standin_flow *f = find (r->u, make_key (true, m->flow, r->caller));
  int error = AM_E_FLOW_UNKNOWN;

  if (f && f->id != m->flow && m->letter != STANDIN_OPEN)
    f = NULL;
  if (m->letter == STANDIN_OPEN)
    f = open_flow (r, true, m->flow, &error);
  if (m->letter == STANDIN_CLOSE)
    {
      if (f)
        drop (f, true);
      return;
    }
  if (!f)
    {
      send_message (r, STANDIN_REFUSED, m->flow, (uint32_t)-error);
      return;
    }
  heard (f, r);
  if (m->letter == STANDIN_OPEN)
    send_message (r, STANDIN_OPENED, m->flow, m->sequence);
  else if (m->letter == STANDIN_PING)
    send_message (r, STANDIN_PONG, m->flow, m->sequence);
  else
    take_payload (f, m);
}

static void
note_wrong_service (struct standin_upstream *u, struct am_address got)
{
  char text[AM_ADDRESS_TEXT_SIZE];

  u->wrong_service++;
  standin_history_event (
      &u->world->history, "wrong_service",
      "\"upstream\":\"%s\",\"service\":\"%s\",\"got\":\"%s\"", u->spec.name,
      u->spec.service, am_address_format (got, text));
}

void
standin_flow_datagram (struct standin_upstream *u, struct am_address via,
                       const struct am_proxy_header *h, const uint8_t *data,
                       size_t len)
{
  struct reply r = { u, via, h->source };
  struct am_packet p;
  struct standin_message m;
  bool is_packet = am_packet_decode (&p, data, len) == AM_OK;

  if (!am_address_equal (h->destination, u->spec.service_address)
      && !(is_packet && p.type == AM_PACKET_PROBE))
    {
      note_wrong_service (u, h->destination);
      return;
    }
  if (is_packet)
    take_packet (&r, &p);
  else if (standin_message_decode (&m, data, len) == AM_OK)
    take_opaque (&r, &m);
}

/* ---- time ----------------------------------------------------------------
 */

void
standin_flow_tick (struct standin_world *w, uint64_t now_us)
{
  standin_wheel_turn (&w->wheel, now_us);
  while (!am_list_empty (&w->idle))
    {
      struct standin_flow *f
          = am_container_of (w->idle.next, struct standin_flow, idle);

      if (now_us - f->heard_us < STANDIN_FLOW_IDLE_US)
        break;
      drop (f, true);
    }
}

void
standin_flow_forget (struct standin_upstream *u, double share, bool note)
{
  struct standin_flow *f = u->flows;

  while (f)
    {
      struct standin_flow *next = f->hh.next;

      if (am_rng_unit (&u->world->rng) < share)
        drop (f, note);
      f = next;
    }
}
