#include "forwarder/control.h"

#include <stdlib.h>

#include "base/error.h"
#include "core/configuration/snapshot_pack.h"
#include "wire/amaranth.pb-c.h"

/* Agents of this entry VM: one, and its successor during a restart.  */
#define STREAMS_MAX 8

#define EXPLAIN_LINES_MAX 100

static void
send_envelope (struct am_stream *s, const Amaranth__Envelope *e)
{
  size_t len = amaranth__envelope__get_packed_size (e);
  uint8_t *data = malloc (len ? len : 1);

  if (!data)
    return;
  amaranth__envelope__pack (e, data);
  (void)am_stream_send (s, data, len);
  free (data);
}

static void
send_failure (struct am_stream *s, int error)
{
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;
  Amaranth__Failure failure = AMARANTH__FAILURE__INIT;

  failure.error = error;
  failure.detail = (char *)(uintptr_t)am_error_text (error);
  e.body_case = AMARANTH__ENVELOPE__BODY_FAILURE;
  e.failure = &failure;
  send_envelope (s, &e);
}

static void
send_report (struct am_forwarder *f, struct am_stream *s)
{
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;
  Amaranth__Report report = AMARANTH__REPORT__INIT;

  if (am_dispatch_report (&f->dispatch, &report))
    return;
  e.body_case = AMARANTH__ENVELOPE__BODY_REPORT;
  e.report = &report;
  send_envelope (s, &e);
  am_dispatch_report_free (&report);
}

/* Tells an agent the snapshot in force, so that it does not offer less.  */
static void
send_snapshot (struct am_forwarder *f, struct am_stream *s)
{
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;
  uint8_t *data;
  size_t len;

  if (am_snapshot_pack (&f->dispatch.board, &data, &len))
    return;
  e.body_case = AMARANTH__ENVELOPE__BODY_SNAPSHOT;
  e.snapshot = amaranth__snapshot__unpack (NULL, len, data);
  free (data);
  if (!e.snapshot)
    return;
  send_envelope (s, &e);
  amaranth__snapshot__free_unpacked (e.snapshot, NULL);
}

static void
take_snapshot (struct am_forwarder *f, struct am_stream *s,
               Amaranth__Snapshot *snapshot)
{
  struct am_event e = { .type = AM_EVENT_SNAPSHOT };
  uint8_t *data;
  int err;

  e.len = amaranth__snapshot__get_packed_size (snapshot);
  data = malloc (e.len ? e.len : 1);
  if (!data)
    return;
  amaranth__snapshot__pack (snapshot, data);
  e.data = data;
  err = am_forwarder_event (f, &e);
  free (data);
  if (err)
    {
      am_log_line (&f->log, AM_LOG_WARNING,
                   "event=snapshot_refused digest=%016llx reason=%s",
                   (unsigned long long)snapshot->digest, am_error_name (err));
      send_failure (s, err);
    }
  send_report (f, s);
}

static void
take_delta (struct am_forwarder *f, struct am_stream *s,
            const Amaranth__SnapshotDelta *delta)
{
  struct am_event e = { .type = AM_EVENT_DELTA };
  uint8_t *data;
  int err;

  e.len = amaranth__snapshot_delta__get_packed_size (delta);
  data = malloc (e.len ? e.len : 1);
  if (!data)
    return;
  amaranth__snapshot_delta__pack (delta, data);
  e.data = data;
  err = am_forwarder_event (f, &e);
  free (data);
  if (err)
    {
      am_log_line (&f->log, AM_LOG_WARNING,
                   "event=delta_refused base=%016llx digest=%016llx reason=%s",
                   (unsigned long long)delta->base_digest,
                   (unsigned long long)delta->digest, am_error_name (err));
      send_failure (s, err);
    }
  send_report (f, s);
}

static void
take_grant (struct am_forwarder *f, const Amaranth__OwnerGrant *grant)
{
  struct am_event e = { .type = AM_EVENT_GRANT };
  uint8_t *data;

  e.len = amaranth__owner_grant__get_packed_size (grant);
  data = malloc (e.len ? e.len : 1);
  if (!data)
    return;
  amaranth__owner_grant__pack (grant, data);
  e.data = data;
  (void)am_forwarder_event (f, &e);
  free (data);
}

static void
take_explain (struct am_forwarder *f, struct am_stream *s, uint64_t id)
{
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;
  Amaranth__Explain explain = AMARANTH__EXPLAIN__INIT;
  const char *lines[EXPLAIN_LINES_MAX];

  explain.id = id;
  explain.n_lines
      = am_decision_log_find (&f->decisions, id, lines, EXPLAIN_LINES_MAX);
  explain.lines = (char **)(uintptr_t)lines;
  e.body_case = AMARANTH__ENVELOPE__BODY_EXPLAIN;
  e.explain = &explain;
  send_envelope (s, &e);
}

static void
take_metrics_request (struct am_forwarder *f, struct am_stream *s)
{
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;
  Amaranth__MetricsReply reply = AMARANTH__METRICS_REPLY__INIT;
  Amaranth__Report report = AMARANTH__REPORT__INIT;

  if (am_dispatch_report (&f->dispatch, &report))
    return;
  reply.n_metrics = report.n_metrics;
  reply.metrics = report.metrics;
  e.body_case = AMARANTH__ENVELOPE__BODY_METRICS_REPLY;
  e.metrics_reply = &reply;
  send_envelope (s, &e);
  am_dispatch_report_free (&report);
}

static void
take_log_level (struct am_forwarder *f, struct am_stream *s, const char *level)
{
  int err = am_log_level_parse (&f->log.level, level);

  if (err)
    send_failure (s, err);
}

static void
take_envelope (struct am_forwarder *f, struct am_stream *s,
               const Amaranth__Envelope *e)
{
  switch (e->body_case)
    {
    case AMARANTH__ENVELOPE__BODY_SNAPSHOT:
      take_snapshot (f, s, e->snapshot);
      return;
    case AMARANTH__ENVELOPE__BODY_SNAPSHOT_DELTA:
      take_delta (f, s, e->snapshot_delta);
      return;
    case AMARANTH__ENVELOPE__BODY_OWNER_GRANT:
      take_grant (f, e->owner_grant);
      return;
    case AMARANTH__ENVELOPE__BODY_STATUS_REQUEST:
      send_snapshot (f, s);
      send_report (f, s);
      return;
    case AMARANTH__ENVELOPE__BODY_SET_LOG_LEVEL:
      take_log_level (f, s, e->set_log_level->level);
      return;
    case AMARANTH__ENVELOPE__BODY_EXPLAIN:
      take_explain (f, s, e->explain->id);
      return;
    case AMARANTH__ENVELOPE__BODY_METRICS_REQUEST:
      take_metrics_request (f, s);
      return;
    case AMARANTH__ENVELOPE__BODY_STOP_REQUEST:
      if (am_forwarder_stop (f))
        am_control_report (f);
      return;
    default:
      send_failure (s, AM_E_ARGUMENT);
    }
}

/* An agent speaks only after it knows the boot id and what is in force.  */
static void
on_connected (void *userdata, struct am_stream *s)
{
  struct am_forwarder *f = userdata;

  am_list_push_back (&f->control_streams, &s->node);
  send_snapshot (f, s);
  send_report (f, s);
}

static void
on_message (void *userdata, struct am_stream *s, const uint8_t *data,
            size_t len)
{
  struct am_forwarder *f = userdata;
  Amaranth__Envelope *e;

  e = amaranth__envelope__unpack (NULL, len, data);
  if (!e)
    {
      am_stream_close (s);
      return;
    }
  take_envelope (f, s, e);
  amaranth__envelope__free_unpacked (e, NULL);
}

static void
on_closed (void *userdata, struct am_stream *s, int error)
{
  struct am_forwarder *f = userdata;

  am_list_remove (&s->node);
  if (error)
    am_log_line (&f->log, AM_LOG_NOTICE, "event=control_lost reason=%s",
                 am_error_name (error));
}

int
am_control_open (struct am_forwarder *f)
{
  static const struct am_stream_callbacks callbacks = {
    .message = on_message, .connected = on_connected, .closed = on_closed
  };
  struct am_address address
      = am_settings_address (f->settings, f->settings->ports.control);
  int err;

  am_list_init (&f->control_streams);
  err = am_listener_open (&f->control, &f->loop, address, &am_stream_frames,
                          f->peer_key, &callbacks, f);
  if (!err)
    f->control.streams_max = STREAMS_MAX;
  return err;
}

void
am_control_close (struct am_forwarder *f)
{
  am_listener_close (&f->control);
  am_list_each (s, &f->control_streams, struct am_stream, node)
  {
    am_stream_close (s);
  }
}

void
am_control_send (struct am_forwarder *f, const uint8_t *data, size_t len)
{
  am_list_each (s, &f->control_streams, struct am_stream, node)
  {
    (void)am_stream_send (s, data, len);
  }
}

void
am_control_report (struct am_forwarder *f)
{
  am_list_each (s, &f->control_streams, struct am_stream, node)
  {
    send_report (f, s);
  }
}
