#include "agent.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "io/clock.h"

#define SEEDS_MAX 64

/* How often a lone agent asks the platform for the list of entry VMs.  */
#define LIST_INTERVAL_US 10000000u

#define RECONNECT_MS 250
#define TICK_MS (AM_CONTROL_TICK_US / 1000u)

/* ---- store -------------------------------------------------------- */

static const char *
record_name (const char *key)
{
  size_t n = strlen (AM_RECORD_PREFIX);

  return strncmp (key, AM_RECORD_PREFIX, n) == 0 ? key + n : key;
}

static void
on_watch (void *userdata, const struct am_store_result *result)
{
  struct am_control_store s
      = { .error = result->error, .index = result->index, .index_only = true };
  struct am_control_event e = { .type = AM_CONTROL_STORE, .store = &s };

  am_agent_event (userdata, &e);
}

static void
on_store (void *userdata, const struct am_store_result *result)
{
  struct am_agent *a = userdata;
  struct am_control_store s
      = { .error = result->error, .index = result->index };
  struct am_control_event e = { .type = AM_CONTROL_STORE, .store = &s };
  struct am_control_value *values
      = calloc (result->entry_count + 1, sizeof *values);

  if (!values)
    s.error = AM_E_MEMORY;
  for (size_t i = 0; values && i < result->entry_count; i++)
    {
      const struct am_store_entry *in = &result->entries[i];
      struct am_control_value *v = &values[s.count];

      v->name = record_name (in->key);
      v->text = in->value;
      v->len = in->value_len;
      if (v->name[0])
        s.count++;
    }
  s.values = values;
  am_agent_event (a, &e);
  free (values);
}

static void
read_store (struct am_agent *a, const struct am_control_action *action)
{
  static const struct am_store_result failed = { .error = AM_E_STORE };
  int err;

  if (action->index)
    err = am_store_watch (a->store, AM_RECORD_PREFIX, action->index,
                          action->wait_ms, on_watch, a);
  else
    err = am_store_read (a->store, AM_RECORD_PREFIX, on_store, a);
  if (err)
    on_store (a, &failed);
}

/* ---- actions ------------------------------------------------------ */

static void
send_gossip (struct am_agent *a, const struct am_control_action *action)
{
  uint8_t buf[AM_FRAME_HEADER_SIZE + 2048];

  if (action->len > sizeof buf - AM_FRAME_HEADER_SIZE)
    return;
  am_frame_seal (a->peer_key, action->data, action->len, buf);
  memcpy (buf + AM_FRAME_HEADER_SIZE, action->data, action->len);
  a->sent_bytes += AM_FRAME_HEADER_SIZE + action->len;
  am_udp_send (&a->gossip, action->to, buf,
               AM_FRAME_HEADER_SIZE + action->len);
}

static void
log_action (struct am_agent *a, const struct am_control_action *action)
{
  if (action->level >= AM_LOG_INFO && !am_settings_log_decisions (a->settings))
    return;
  am_log_line (&a->log, action->level, "%.*s", (int)action->len,
               (const char *)action->data);
}

void
am_agent_action (void *userdata, const struct am_control_action *action)
{
  struct am_agent *a = userdata;

  switch (action->type)
    {
    case AM_CONTROL_SEND_GOSSIP:
      send_gossip (a, action);
      break;
    case AM_CONTROL_SEND_PEER:
      am_agent_send_peer (a, action->to, action->data, action->len);
      break;
    case AM_CONTROL_SEND_STREAM:
      am_agent_send_stream (a, action->stream, action->data, action->len);
      break;
    case AM_CONTROL_SEND_FORWARDER:
      am_agent_send_forwarder (a, action->data, action->len);
      break;
    case AM_CONTROL_READ_STORE:
      read_store (a, action);
      break;
    case AM_CONTROL_LOG:
      log_action (a, action);
      break;
    case AM_CONTROL_OWNER_CALL:
      am_agent_owner_call (a, action->owner_call);
      break;
    case AM_CONTROL_EXIT:
      a->stopping = true;
      uv_stop (&a->loop);
      break;
    }
}

/* ---- inputs ------------------------------------------------------- */

static void
on_datagram (void *userdata, struct am_address from, const uint8_t *data,
             size_t len)
{
  struct am_agent *a = userdata;
  struct am_control_event e = { .type = AM_CONTROL_GOSSIP, .from = from };
  size_t used;

  a->received_bytes += len;
  if (am_frame_open (a->peer_key, data, len, &e.data, &e.len, &used) != AM_OK
      || used != len)
    {
      am_log_line (&a->log, AM_LOG_DEBUG, "event=datagram_refused error=auth");
      return;
    }
  am_agent_event (a, &e);
}

static void
on_tick (uv_timer_t *timer)
{
  struct am_agent *a = timer->data;
  struct am_control_event e = { .type = AM_CONTROL_TICK };

  am_agent_event (a, &e);
  am_agent_expire_streams (a, am_clock_us ());
}

static void
set_seeds (struct am_agent *a)
{
  struct am_address seeds[SEEDS_MAX];
  struct am_control_event e = { .type = AM_CONTROL_SEEDS, .seeds = seeds };
  unsigned named = a->settings->peers.seeds_count;

  for (unsigned i = 0; i < named && e.seed_count < SEEDS_MAX; i++)
    if (am_address_parse (&seeds[e.seed_count], a->settings->peers.seeds[i])
        == AM_OK)
      e.seed_count++;
  for (size_t i = 0; i < a->listed_count && e.seed_count < SEEDS_MAX; i++)
    seeds[e.seed_count++] = a->listed[i];
  am_agent_event (a, &e);
}

/* The platform's list of entry VMs lags, so it only adds seeds.  */
static void
on_vms (void *userdata, const struct am_store_result *result)
{
  struct am_agent *a = userdata;
  size_t n = 0;

  if (result->error)
    return;
  for (size_t i = 0; i < result->entry_count && n < AM_LISTED_MAX; i++)
    n += am_address_parse (&a->listed[n], (char *)result->entries[i].value)
         == AM_OK;
  a->listed_count = n;
  am_log_line (&a->log, AM_LOG_INFO, "event=vm_list count=%zu", n);
  set_seeds (a);
}

/* Without a live member the seeds of the settings may all be gone: VMs are
   replaced at any time.  */
static void
ask_for_vms (struct am_agent *a)
{
  struct am_control_view v;
  uint64_t now_us = am_clock_us ();

  am_control_look (a->control, &v);
  if (v.members_alive > 0 || now_us < a->list_next_us)
    return;
  a->list_next_us = now_us + LIST_INTERVAL_US;
  (void)am_store_vms (a->store, on_vms, a);
}

static void
on_reconnect (uv_timer_t *timer)
{
  struct am_agent *a = timer->data;

  if (!a->forwarder)
    am_agent_connect_forwarder (a);
  ask_for_vms (a);
}

/* Takes the log level and the seeds from the settings file again; nothing
   else may change while the agent runs.  */
static void
reload (struct am_agent *a)
{
  struct am_settings *fresh;
  struct am_fault f;
  char line[512];

  if (am_settings_load (&fresh, a->settings_file, &f))
    {
      am_fault_format (&f, a->settings_file, line, sizeof line);
      am_log_line (&a->log, AM_LOG_ERROR, "event=settings_refused %s", line);
      return;
    }
  am_settings_free (a->settings);
  a->settings = fresh;
  a->log.level = am_settings_log_level (fresh);
  set_seeds (a);
  am_log_line (&a->log, AM_LOG_NOTICE, "event=settings_read seeds=%u",
               fresh->peers.seeds_count);
}

static void
on_signal (uv_signal_t *handle, int number)
{
  struct am_agent *a = handle->data;
  struct am_control_event e = { .type = AM_CONTROL_STOP };

  if (number == SIGHUP)
    reload (a);
  else
    {
      am_log_line (&a->log, AM_LOG_NOTICE, "event=stopping signal=%d", number);
      am_agent_event (a, &e);
    }
}

/* ---- set-up ------------------------------------------------------- */

static int
new_engine (struct am_agent *a)
{
  const struct am_settings *s = a->settings;
  struct am_control_options o = {
    .self = { .id = s->vm.id,
              .name = s->vm.name,
              .data_centre = s->vm.data_centre,
              .region = s->vm.region,
              .ip = am_settings_address (s, 0).ip,
              .agent_port = s->ports.gossip,
              .control_port = s->ports.agent,
              .peer_port = s->ports.peer },
    .incarnation = am_clock_wall_ms (),
    .sink = { am_agent_action, a },
  };

  randombytes_buf (&o.seed, sizeof o.seed);
  return am_control_new (&a->control, &o);
}

static int
open_ports (struct am_agent *a)
{
  int err = am_udp_open (
      &a->gossip, &a->loop,
      am_settings_address (a->settings, a->settings->ports.gossip),
      on_datagram, a);

  if (err)
    {
      am_log_line (&a->log, AM_LOG_ERROR,
                   "event=port_unavailable port=%u error=%s",
                   a->settings->ports.gossip, am_error_name (err));
      return err;
    }
  err = am_agent_listen (a);
  if (err)
    am_log_line (&a->log, AM_LOG_ERROR,
                 "event=port_unavailable port=%u error=%s",
                 a->settings->ports.agent, am_error_name (err));
  return err;
}

/* The agent works without its metrics port.  */
static void
open_metrics (struct am_agent *a)
{
  uint16_t port = a->settings->ports.agent_metrics;

  if (am_metrics_port_open (&a->metrics, &a->loop,
                            am_settings_address (a->settings, port),
                            am_agent_metrics_text, a))
    am_log_line (&a->log, AM_LOG_WARNING,
                 "event=metrics_port_unavailable port=%u", port);
}

static void
start_timers (struct am_agent *a)
{
  static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };

  uv_timer_init (&a->loop, &a->tick);
  a->tick.data = a;
  uv_timer_start (&a->tick, on_tick, TICK_MS, TICK_MS);
  uv_timer_init (&a->loop, &a->reconnect);
  a->reconnect.data = a;
  uv_timer_start (&a->reconnect, on_reconnect, 0, RECONNECT_MS);
  for (size_t i = 0; i < sizeof numbers / sizeof numbers[0]; i++)
    {
      uv_signal_init (&a->loop, &a->signals[i]);
      a->signals[i].data = a;
      uv_signal_start (&a->signals[i], on_signal, numbers[i]);
    }
}

int
am_agent_init (struct am_agent *a, const char *file,
               struct am_settings *settings, const uint8_t *peer_key)
{
  memset (a, 0, sizeof *a);
  a->settings_file = file;
  a->settings = settings;
  memcpy (a->peer_key, peer_key, sizeof a->peer_key);
  am_list_init (&a->streams);
  am_list_init (&a->owner_calls);
  am_log_init (&a->log, stderr, "amaranth-agent",
               am_settings_log_level (settings));
  signal (SIGPIPE, SIG_IGN);
  if (uv_loop_init (&a->loop) != 0)
    return AM_EXIT_SOFTWARE;
  if (new_engine (a)
      || am_store_client_new (&a->store, &a->loop, settings->store.url,
                              settings->store.timeout_ms))
    return AM_EXIT_SOFTWARE;
  if (open_ports (a))
    return AM_EXIT_UNAVAILABLE;
  open_metrics (a);
  set_seeds (a);
  start_timers (a);
  am_log_line (&a->log, AM_LOG_NOTICE,
               "event=started id=%u name=%s data_centre=%s version=%s",
               settings->vm.id, settings->vm.name, settings->vm.data_centre,
               AM_VERSION);
  return AM_EXIT_OK;
}

static void
close_all (struct am_agent *a)
{
  am_udp_close (&a->gossip);
  am_listener_close (&a->listener);
  am_metrics_port_close (&a->metrics);
  am_agent_close_streams (a);
  if (a->forwarder)
    am_stream_close (a->forwarder);
  am_store_client_free (a->store);
  am_agent_end_owner_calls (a);
  uv_close ((uv_handle_t *)&a->tick, NULL);
  uv_close ((uv_handle_t *)&a->reconnect, NULL);
  for (size_t i = 0; i < sizeof a->signals / sizeof a->signals[0]; i++)
    uv_close ((uv_handle_t *)&a->signals[i], NULL);
}

void
am_agent_run (struct am_agent *a)
{
  while (!a->stopping)
    uv_run (&a->loop, UV_RUN_DEFAULT);
  close_all (a);
  uv_run (&a->loop, UV_RUN_DEFAULT);
  uv_loop_close (&a->loop);
  am_control_free (a->control);
  am_log_line (&a->log, AM_LOG_NOTICE, "event=stopped");
  am_settings_free (a->settings);
}
