#include "agent.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "io/clock.h"

/* An outgoing connection without messages is closed after this time; pulls
   that follow one another use one connection.  */
#define IDLE_US 3000000u

static struct am_agent_stream *
find (struct am_agent *a, const struct am_stream *s)
{
  am_list_each (n, &a->streams, struct am_agent_stream, node)
  {
    if (n->stream == s)
      return n;
  }
  return NULL;
}

static struct am_agent_stream *
number (struct am_agent *a, struct am_stream *s, struct am_address to)
{
  struct am_agent_stream *n = calloc (1, sizeof *n);

  if (!n)
    return NULL;
  n->number = ++a->stream_numbers;
  n->stream = s;
  n->to = to;
  n->used_us = am_clock_us ();
  am_list_push_back (&a->streams, &n->node);
  return n;
}

static void
answer (struct am_agent *a, struct am_stream *s, const Amaranth__Envelope *e)
{
  size_t len = amaranth__envelope__get_packed_size (e);
  uint8_t *data = malloc (len + 1);

  if (!data)
    return;
  amaranth__envelope__pack (e, data);
  if (am_stream_send (s, data, len) == AM_OK)
    a->sent_bytes += AM_FRAME_HEADER_SIZE + len;
  free (data);
}

static void
fail (struct am_agent *a, struct am_stream *s, int error, const char *detail)
{
  Amaranth__Failure f = AMARANTH__FAILURE__INIT;
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;

  f.error = error;
  f.detail = (char *)detail;
  e.body_case = AMARANTH__ENVELOPE__BODY_FAILURE;
  e.failure = &f;
  answer (a, s, &e);
}

static void
send_metrics (struct am_agent *a, struct am_stream *s)
{
  uint8_t *data;
  size_t len;

  if (am_agent_metrics (a, &data, &len))
    return;
  if (am_stream_send (s, data, len) == AM_OK)
    a->sent_bytes += AM_FRAME_HEADER_SIZE + len;
  free (data);
}

static void
set_log_level (struct am_agent *a, const Amaranth__SetLogLevel *m)
{
  int level;

  if (am_log_level_parse (&level, m->level) != AM_OK)
    return;
  a->log.level = level;
  am_log_line (&a->log, AM_LOG_NOTICE, "event=log_level level=%s", m->level);
}

/* Handles the operators' messages that are not the engine's.  Returns false
   if E is for the engine.  */
static bool
handle_operator (struct am_agent *a, struct am_agent_stream *n,
                 const Amaranth__Envelope *e, const uint8_t *data, size_t len)
{
  switch (e->body_case)
    {
    case AMARANTH__ENVELOPE__BODY_METRICS_REQUEST:
      send_metrics (a, n->stream);
      return true;
    case AMARANTH__ENVELOPE__BODY_SET_LOG_LEVEL:
      set_log_level (a, e->set_log_level);
      am_agent_send_forwarder (a, data, len);
      return true;
    case AMARANTH__ENVELOPE__BODY_EXPLAIN:
      if (!a->forwarder_up)
        fail (a, n->stream, AM_E_CONNECTION, "forwarder is not connected");
      n->explains = a->forwarder_up;
      n->explain_id = e->explain->id;
      am_agent_send_forwarder (a, data, len);
      return true;
    case AMARANTH__ENVELOPE__BODY_FAILURE:
      return true;
    default:
      return false;
    }
}

static void
on_message (void *userdata, struct am_stream *s, const uint8_t *data,
            size_t len)
{
  struct am_agent *a = userdata;
  struct am_address none = { 0 };
  struct am_agent_stream *n = find (a, s);
  struct am_control_event event
      = { .type = AM_CONTROL_STREAM, .data = data, .len = len };
  Amaranth__Envelope *e = amaranth__envelope__unpack (NULL, len, data);
  bool handled;

  a->received_bytes += AM_FRAME_HEADER_SIZE + len;
  if (!n)
    n = number (a, s, none);
  if (!e || !n)
    {
      if (e)
        amaranth__envelope__free_unpacked (e, NULL);
      am_stream_close (s);
      return;
    }
  n->used_us = am_clock_us ();
  handled = handle_operator (a, n, e, data, len);
  amaranth__envelope__free_unpacked (e, NULL);
  if (handled)
    return;
  event.stream = n->number;
  am_agent_event (a, &event);
}

static void
on_closed (void *userdata, struct am_stream *s, int error)
{
  struct am_agent *a = userdata;
  struct am_agent_stream *n = find (a, s);

  (void)error;
  if (!n)
    return;
  am_list_remove (&n->node);
  free (n);
}

static const struct am_stream_callbacks callbacks
    = { .message = on_message, .closed = on_closed };

int
am_agent_listen (struct am_agent *a)
{
  return am_listener_open (
      &a->listener, &a->loop,
      am_settings_address (a->settings, a->settings->ports.agent),
      &am_stream_frames, a->peer_key, &callbacks, a);
}

void
am_agent_send_stream (struct am_agent *a, uint64_t wanted, const uint8_t *data,
                      size_t len)
{
  am_list_each (n, &a->streams, struct am_agent_stream, node)
  {
    if (n->number != wanted)
      continue;
    if (am_stream_send (n->stream, data, len) == AM_OK)
      a->sent_bytes += AM_FRAME_HEADER_SIZE + len;
    return;
  }
}

static struct am_agent_stream *
outgoing (struct am_agent *a, struct am_address to)
{
  struct am_stream *s;
  struct am_agent_stream *made;

  am_list_each (n, &a->streams, struct am_agent_stream, node)
  {
    if (am_address_equal (n->to, to) && !n->stream->closing)
      return n;
  }
  s = am_stream_connect (&a->loop, to, &am_stream_frames, a->peer_key,
                         &callbacks, a);
  if (!s)
    return NULL;
  made = number (a, s, to);
  if (!made)
    am_stream_close (s);
  return made;
}

void
am_agent_send_peer (struct am_agent *a, struct am_address to,
                    const uint8_t *data, size_t len)
{
  struct am_agent_stream *n = outgoing (a, to);

  if (!n)
    return;
  n->used_us = am_clock_us ();
  if (am_stream_send (n->stream, data, len) == AM_OK)
    a->sent_bytes += AM_FRAME_HEADER_SIZE + len;
}

void
am_agent_expire_streams (struct am_agent *a, uint64_t now_us)
{
  am_list_each (n, &a->streams, struct am_agent_stream, node)
  {
    if (n->to.ip && now_us - n->used_us >= IDLE_US)
      am_stream_close (n->stream);
  }
}

void
am_agent_close_streams (struct am_agent *a)
{
  am_list_each (n, &a->streams, struct am_agent_stream, node)
  {
    am_stream_close (n->stream);
  }
}

void
am_agent_explained (struct am_agent *a, uint64_t id, const uint8_t *data,
                    size_t len)
{
  am_list_each (n, &a->streams, struct am_agent_stream, node)
  {
    if (!n->explains || n->explain_id != id)
      continue;
    n->explains = false;
    if (am_stream_send (n->stream, data, len) == AM_OK)
      a->sent_bytes += AM_FRAME_HEADER_SIZE + len;
  }
}

/* ---- forwarder ---------------------------------------------------- */

static void
on_forwarder_message (void *userdata, struct am_stream *s, const uint8_t *data,
                      size_t len)
{
  struct am_agent *a = userdata;
  struct am_control_event event
      = { .type = AM_CONTROL_FORWARDER, .data = data, .len = len };
  Amaranth__Envelope *e = amaranth__envelope__unpack (NULL, len, data);
  bool engine;

  if (!e)
    {
      am_stream_close (s);
      return;
    }
  engine = e->body_case == AMARANTH__ENVELOPE__BODY_REPORT
           || e->body_case == AMARANTH__ENVELOPE__BODY_SNAPSHOT
           || e->body_case == AMARANTH__ENVELOPE__BODY_FAILURE
           || e->body_case == AMARANTH__ENVELOPE__BODY_OWNER_GIVEN_UP;
  if (e->body_case == AMARANTH__ENVELOPE__BODY_EXPLAIN)
    am_agent_explained (a, e->explain->id, data, len);
  amaranth__envelope__free_unpacked (e, NULL);
  if (engine)
    am_agent_event (a, &event);
}

static void
on_forwarder_connected (void *userdata, struct am_stream *s)
{
  struct am_agent *a = userdata;
  struct am_control_event e = { .type = AM_CONTROL_FORWARDER_UP };

  (void)s;
  a->forwarder_up = true;
  am_agent_event (a, &e);
}

static void
on_forwarder_closed (void *userdata, struct am_stream *s, int error)
{
  struct am_agent *a = userdata;
  struct am_control_event e = { .type = AM_CONTROL_FORWARDER_LOST };
  bool was_up = a->forwarder_up && a->forwarder == s;

  (void)error;
  if (a->forwarder == s)
    {
      a->forwarder = NULL;
      a->forwarder_up = false;
    }
  if (was_up && !a->stopping)
    am_agent_event (a, &e);
}

void
am_agent_connect_forwarder (struct am_agent *a)
{
  static const struct am_stream_callbacks forwarder_callbacks
      = { .message = on_forwarder_message,
          .connected = on_forwarder_connected,
          .closed = on_forwarder_closed };

  a->forwarder = am_stream_connect (
      &a->loop, am_settings_address (a->settings, a->settings->ports.control),
      &am_stream_frames, a->peer_key, &forwarder_callbacks, a);
}

void
am_agent_send_forwarder (struct am_agent *a, const uint8_t *data, size_t len)
{
  if (a->forwarder_up && a->forwarder)
    am_stream_send (a->forwarder, data, len);
}
