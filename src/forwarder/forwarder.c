#include "forwarder/forwarder.h"

#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "forwarder/control.h"
#include "forwarder/forwarder_metrics.h"
#include "io/clock.h"

#define PROGRAM "amaranth-forwarder"
#define TICK_MS (AM_TICK_US / 1000)
#define SECOND_MS 1000

/* ---- core --------------------------------------------------------- */

static void
emit (void *userdata, const struct am_action *a)
{
  struct am_forwarder *f = userdata;
  struct am_pool_key key = { a->service_id, a->upstream_id };
  uint64_t now_us = f->dispatch.board.now_us;

  if (f->recording)
    am_action_digest_add (&f->digest, a);
  switch (a->type)
    {
    case AM_ACTION_CALLER:
      (void)am_udp_batch_add (&f->data_out, f->return_address, a->data,
                              a->len);
      return;
    case AM_ACTION_UPSTREAM:
      (void)am_udp_batch_add (&f->data_out, a->to, a->data, a->len);
      return;
    case AM_ACTION_STREAM:
      am_pool_send (&f->pool, key, a->to, now_us, a->data, a->len);
      return;
    case AM_ACTION_PEER:
      (void)am_udp_send (&f->peer, a->to, a->data, a->len);
      return;
    case AM_ACTION_LOG:
      am_decision_log_add (&f->decisions, now_us, a->tag,
                           (const char *)a->data, a->len);
      return;
    case AM_ACTION_EXIT:
      f->exiting = true;
      return;
    case AM_ACTION_CONTROL:
      am_control_send (f, a->data, a->len);
      return;
    }
}

/* ---- inputs ------------------------------------------------------- */

static void
on_data (void *userdata, struct am_address from, const uint8_t *data,
         size_t len)
{
  struct am_forwarder *f = userdata;
  struct am_event e = { .from = from, .data = data, .len = len };

  e.type = am_dispatch_classify (&f->dispatch, from, data, len);
  (void)am_forwarder_event (f, &e);
}

static void
on_peer (void *userdata, struct am_address from, const uint8_t *data,
         size_t len)
{
  struct am_event e
      = { .type = AM_EVENT_PEER, .from = from, .data = data, .len = len };

  (void)am_forwarder_event (userdata, &e);
}

static bool
on_packet (void *userdata, struct am_pool_key key, const uint8_t *data,
           size_t len)
{
  struct am_event e = { .type = AM_EVENT_STREAM,
                        .service_id = key.service_id,
                        .upstream_id = key.upstream_id,
                        .data = data,
                        .len = len };
  int err = am_forwarder_event (userdata, &e);

  return err != AM_E_FORMAT && err != AM_E_SHORT && err != AM_E_VERSION;
}

static void
connection_ended (struct am_forwarder *f, enum am_event_type type,
                  struct am_pool_key key)
{
  struct am_event e = { .type = type,
                        .service_id = key.service_id,
                        .upstream_id = key.upstream_id };

  if (!f->exiting)
    (void)am_forwarder_event (f, &e);
}

static void
on_lost (void *userdata, struct am_pool_key key)
{
  connection_ended (userdata, AM_EVENT_STREAM_LOST, key);
}

static void
on_unopened (void *userdata, struct am_pool_key key)
{
  connection_ended (userdata, AM_EVENT_STREAM_UNOPENED, key);
}

/* ---- stop --------------------------------------------------------- */

static void
close_all (struct am_forwarder *f)
{
  am_control_report (f);
  uv_close ((uv_handle_t *)&f->tick, NULL);
  uv_close ((uv_handle_t *)&f->second, NULL);
  uv_close ((uv_handle_t *)&f->sigterm, NULL);
  uv_close ((uv_handle_t *)&f->sighup, NULL);
  am_control_close (f);
  am_metrics_port_close (&f->metrics);
  am_udp_batch_finish (&f->data_out);
  am_udp_close (&f->data);
  am_udp_close (&f->peer);
  am_pool_finish (&f->pool);
}

static void
on_sigterm (uv_signal_t *handle, int signum)
{
  (void)signum;
  struct am_forwarder *f = handle->data;

  if (am_forwarder_stop (f))
    am_control_report (f);
}

static void
on_sighup (uv_signal_t *handle, int signum)
{
  struct am_forwarder *f = handle->data;
  struct am_settings *s;
  struct am_fault fault;
  char line[512];

  (void)signum;
  if (am_settings_load (&s, f->settings_file, &fault))
    {
      am_fault_format (&fault, f->settings_file, line, sizeof line);
      am_log_line (&f->log, AM_LOG_ERROR, "event=settings_refused %s", line);
      return;
    }
  f->log.level = am_settings_log_level (s);
  f->decisions.write = am_settings_log_decisions (s);
  am_settings_free (s);
  am_log_line (&f->log, AM_LOG_NOTICE, "event=settings_read level=%d",
               f->log.level);
}

/* ---- time --------------------------------------------------------- */

static void
on_tick (uv_timer_t *handle)
{
  struct am_forwarder *f = handle->data;
  struct am_event e = { .type = AM_EVENT_TICK };

  (void)am_forwarder_event (f, &e);
  am_pool_tick (&f->pool, e.now_us);
  if (f->exiting)
    close_all (f);
}

static void
on_second (uv_timer_t *handle)
{
  struct am_forwarder *f = handle->data;

  am_decision_log_tick (&f->decisions, am_clock_us ());
  am_control_report (f);
}

/* ---- set-up ------------------------------------------------------- */

static void
fill_options (struct am_forwarder *f, struct am_dispatch_options *o)
{
  const struct am_settings_vm *vm = &f->settings->vm;

  memset (o, 0, sizeof *o);
  o->self.id = vm->id;
  snprintf (o->self.name, sizeof o->self.name, "%s", vm->name);
  snprintf (o->self.region, sizeof o->self.region, "%s", vm->region);
  snprintf (o->self.data_centre, sizeof o->self.data_centre, "%s",
            vm->data_centre);
  do
    randombytes_buf (&o->self.boot_id, sizeof o->self.boot_id);
  while (o->self.boot_id == 0);
  randombytes_buf (&o->seed, sizeof o->seed);
  o->peer_key = f->peer_key;
  o->log_decisions = true;
  o->sink.emit = emit;
  o->sink.userdata = f;
}

static int
start_recording (struct am_forwarder *f, const char *file,
                 const struct am_dispatch_options *o)
{
  int err;

  if (!file)
    return AM_OK;
  err = am_event_log_create (&f->events, file, o);
  f->recording = err == AM_OK;
  return err;
}

static int
open_ports (struct am_forwarder *f)
{
  const struct am_settings_ports *ports = &f->settings->ports;
  int err;

  err = am_udp_open (&f->data, &f->loop,
                     am_settings_address (f->settings, ports->data), on_data,
                     f);
  if (err)
    return err;
  err = am_udp_open (&f->peer, &f->loop,
                     am_settings_address (f->settings, ports->peer), on_peer,
                     f);
  if (!err)
    {
      err = am_control_open (f);
      if (err)
        am_udp_close (&f->peer);
    }
  if (!err)
    err = am_udp_batch_init (&f->data_out, &f->loop, &f->data);
  if (err)
    am_udp_close (&f->data);
  return err;
}

static void
start_timers (struct am_forwarder *f)
{
  uv_timer_init (&f->loop, &f->tick);
  uv_timer_init (&f->loop, &f->second);
  signal (SIGPIPE, SIG_IGN);
  uv_signal_init (&f->loop, &f->sigterm);
  uv_signal_init (&f->loop, &f->sighup);
  f->tick.data = f;
  f->second.data = f;
  f->sigterm.data = f;
  f->sighup.data = f;
  uv_timer_start (&f->tick, on_tick, TICK_MS, TICK_MS);
  uv_timer_start (&f->second, on_second, SECOND_MS, SECOND_MS);
  uv_signal_start (&f->sigterm, on_sigterm, SIGTERM);
  uv_signal_start (&f->sighup, on_sighup, SIGHUP);
}

static int
init_core (struct am_forwarder *f, const char *record_file)
{
  struct am_dispatch_options o;
  int err;

  fill_options (f, &o);
  err = am_decision_log_init (&f->decisions, &f->log,
                              am_settings_log_decisions (f->settings));
  if (err)
    return err;
  err = am_dispatch_init (&f->dispatch, &o);
  if (!err)
    {
      err = start_recording (f, record_file, &o);
      if (err)
        am_dispatch_finish (&f->dispatch);
    }
  if (err)
    am_decision_log_finish (&f->decisions);
  return err;
}

static void
finish_core (struct am_forwarder *f)
{
  if (f->recording)
    am_log_line (&f->log, AM_LOG_NOTICE,
                 "event=recorded actions=%llu digest=%016llx",
                 (unsigned long long)f->digest.actions,
                 (unsigned long long)f->digest.value);
  am_event_log_close (&f->events);
  f->recording = false;
  am_dispatch_finish (&f->dispatch);
  am_decision_log_finish (&f->decisions);
}

static void
open_metrics (struct am_forwarder *f)
{
  struct am_address a = am_settings_address (
      f->settings, f->settings->ports.forwarder_metrics);

  if (am_metrics_port_open (&f->metrics, &f->loop, a, am_forwarder_metrics, f))
    am_log_line (&f->log, AM_LOG_WARNING,
                 "event=metrics_port_unavailable port=%u", a.port);
}

int
am_forwarder_init (struct am_forwarder *f, struct am_settings *s,
                   const char *settings_file, const char *record_file)
{
  static const struct am_pool_callbacks pool_callbacks
      = { .packet = on_packet, .lost = on_lost, .unopened = on_unopened };
  int err;

  memset (f, 0, sizeof *f);
  f->settings = s;
  f->settings_file = settings_file;
  am_log_init (&f->log, stderr, PROGRAM, am_settings_log_level (s));
  (void)am_address_parse (&f->return_address, s->fabric.return_address);
  err = am_settings_peer_key (s, settings_file, f->peer_key);
  if (!err)
    err = init_core (f, record_file);
  if (err)
    {
      am_settings_free (s);
      return err;
    }
  uv_loop_init (&f->loop);
  am_pool_init (&f->pool, &f->loop, &pool_callbacks, f);
  err = open_ports (f);
  if (err)
    {
      uv_run (&f->loop, UV_RUN_DEFAULT);
      uv_loop_close (&f->loop);
      finish_core (f);
      am_settings_free (s);
      return err;
    }
  open_metrics (f);
  start_timers (f);
  return AM_OK;
}

void
am_forwarder_run (struct am_forwarder *f)
{
  am_log_line (&f->log, AM_LOG_NOTICE,
               "event=started vm=%s id=%u boot_id=%016llx version=%s",
               f->settings->vm.name, f->settings->vm.id,
               (unsigned long long)f->dispatch.board.self.boot_id, AM_VERSION);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  uv_loop_close (&f->loop);
  am_log_line (&f->log, AM_LOG_NOTICE, "event=stopped");
  finish_core (f);
  am_settings_free (f->settings);
}
