#include <inttypes.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "base/error.h"
#include "base/hash.h"
#include "entry/entry.h"
#include "io/clock.h"

#define TICK_MS 50
#define TICK_US 50000u

/* The VM stood still if a tick comes this late, or if the clock that counts
   suspended time ran ahead by it.  */
#define STILL_US 1000000u

/* A VM that the store turns away waits this long for the word of a peer: one
   that has read a change is ahead of this VM's copy for a moment.  */
#define UNCONFIRMED_US 800000u

/* After SIGTERM routers send new packets for about a second: two misses of a
   check twice a second.  The process ends once they have stopped.  */
#define STOP_QUIET_US 1000000u
#define STOP_MIN_US 2000000u

/* What was believed before the VM stood still is old, and its connections may
   be dead.  */
static void
wake (struct am_entry *e, uint64_t now_us, uint64_t gap_us)
{
  e->counters.wakes++;
  am_line_log_add (&e->log, AM_LINE_STATE, now_us,
                   "woke gap_ms=%" PRIu64 " revision=%" PRIu64, gap_us / 1000,
                   e->replica.revision);
  am_contact_lost (&e->contact);
  am_entry_reader_resume (e);
  am_entry_peers_resume (e);
}

static void
check_clocks (struct am_entry *e, uint64_t now_us)
{
  uint64_t boot_us = am_clock_boot_us ();
  uint64_t step_us = now_us - e->tick_us;
  uint64_t boot_step_us = boot_us - e->boot_us;
  uint64_t lag_us = step_us > TICK_US ? step_us - TICK_US : 0;

  e->tick_us = now_us;
  e->boot_us = boot_us;
  if (step_us > STILL_US || boot_step_us > step_us + STILL_US)
    wake (e, now_us, boot_step_us > step_us ? boot_step_us : step_us);
  else
    am_readiness_lag (&e->readiness, lag_us, now_us);
}

static void
check_contact (struct am_entry *e, uint64_t now_us)
{
  bool before = e->contact.present;
  bool confirmed = am_fleet_confirms (&e->fleet, e->replica.revision, now_us);

  if (e->replica.revision && confirmed)
    am_contact_fresh (&e->contact, now_us);
  else if (!e->reader.works && e->reader.failures
           && now_us - e->contact.fresh_us > UNCONFIRMED_US)
    am_contact_lost (&e->contact);
  am_contact_check (&e->contact, now_us);
  e->path.peers = am_fleet_near (&e->fleet, now_us);
  e->path.settled = am_contact_settled (&e->contact, now_us);
  if (before != e->contact.present)
    am_line_log_add (&e->log, AM_LINE_STATE, now_us,
                     "contact %s revision=%" PRIu64 " age_ms=%" PRIu64,
                     before ? "lost" : "regained", e->replica.revision,
                     am_contact_age (&e->contact, now_us) / 1000);
}

static void
check_stop (struct am_entry *e, uint64_t now_us)
{
  uint64_t stopping_us = now_us - e->stop_us;

  if (!e->stop_us)
    return;
  if (stopping_us < (uint64_t)e->settings.stop_ms * 1000u
      && (stopping_us < STOP_MIN_US
          || now_us - e->last_packet_us < STOP_QUIET_US))
    return;
  am_line_log_add (&e->log, AM_LINE_STATE, now_us, "stopped after_ms=%" PRIu64,
                   stopping_us / 1000);
  am_line_log_flush (&e->log);
  uv_stop (e->loop);
}

static void
on_tick (uv_timer_t *timer)
{
  struct am_entry *e = timer->data;
  uint64_t now_us = am_clock_us ();

  check_clocks (e, now_us);
  am_entry_reader_tick (e, now_us);
  am_entry_peers_tick (e, now_us);
  check_contact (e, now_us);
  am_entry_items_tick (e, now_us);
  am_entry_packets_reset_orphaned (e, now_us);
  am_path_tick (&e->path, now_us);
  am_entry_packets_poll (e, now_us);
  check_stop (e, now_us);
  am_line_log_flush (&e->log);
}

static void
on_terminate (uv_signal_t *signal, int number)
{
  struct am_entry *e = signal->data;

  (void)number;
  if (e->stop_us)
    return;
  e->stop_us = am_clock_us ();
  e->readiness.stopping = true;
  am_line_log_add (&e->log, AM_LINE_STATE, e->stop_us, "stopping flows=%zu",
                   e->path.flows.count);
}

/* Takes over the settings that can change while the program runs.  */
static void
on_hang_up (uv_signal_t *signal, int number)
{
  struct am_entry *e = signal->data;
  struct am_entry_settings s;
  struct am_fault f = { 0 };
  uint64_t now_us = am_clock_us ();
  int err = am_entry_settings_load (&s, e->settings_file, &f);

  (void)number;
  if (err)
    {
      am_line_log_add (&e->log, AM_LINE_STATE, now_us,
                       "reload-refused error=%s field=%s", am_error_name (err),
                       f.field);
      return;
    }
  memcpy (e->settings.seeds, s.seeds, sizeof s.seeds);
  e->settings.seed_count = s.seed_count;
  e->settings.stop_ms = s.stop_ms;
  if (!am_address_equal (e->settings.store, s.store))
    {
      e->settings.store = s.store;
      am_http_client_reset (&e->reader.client);
      e->reader.client.server = s.store;
    }
  am_line_log_add (&e->log, AM_LINE_STATE, now_us, "reloaded seeds=%zu",
                   s.seed_count);
  am_entry_settings_finish (&s);
}

static int
open_ports (struct am_entry *e)
{
  int err = am_http_server_open (&e->ready, e->loop, e->settings.readiness,
                                 am_entry_status_handle, e);

  if (!err)
    err = am_entry_peers_open (e);
  if (!err)
    err = am_entry_packets_open (e);
  if (err || !e->settings.metrics.port)
    return err;
  /* Service goes on without metrics.  */
  e->metrics_open
      = am_http_server_open (&e->metrics, e->loop, e->settings.metrics,
                             am_entry_status_handle, e)
        == AM_OK;
  if (!e->metrics_open)
    am_line_log_add (&e->log, AM_LINE_STATE, e->started_us, "metrics-closed");
  return AM_OK;
}

static void
open_signals (struct am_entry *e)
{
  signal (SIGPIPE, SIG_IGN);
  uv_signal_init (e->loop, &e->terminate);
  e->terminate.data = e;
  uv_signal_start (&e->terminate, on_terminate, SIGTERM);
  uv_signal_init (e->loop, &e->hang_up);
  e->hang_up.data = e;
  uv_signal_start (&e->hang_up, on_hang_up, SIGHUP);
}

int
am_entry_init (struct am_entry *e, uv_loop_t *loop,
               const struct am_adapter *adapter, const char *settings_file)
{
  uint32_t data_centre = am_hash_name (e->settings.data_centre);
  uint64_t seed;

  e->loop = loop;
  e->adapter = adapter;
  e->settings_file = settings_file;
  e->started_us = am_clock_us ();
  e->tick_us = e->started_us;
  e->boot_us = am_clock_boot_us ();
  seed = am_hash_name (e->settings.name) ^ e->started_us;
  am_line_log_init (&e->log, STDOUT_FILENO);
  am_replica_init (&e->replica, am_entry_item_changed, e);
  am_target_table_init (&e->targets);
  am_route_table_init (&e->routes);
  am_path_init (&e->path, &e->targets, &e->routes, data_centre, seed);
  am_contact_init (&e->contact, e->started_us);
  am_readiness_init (&e->readiness);
  am_fleet_init (&e->fleet, e->settings.name, data_centre,
                 e->settings.link_mbps);
  am_entry_reader_init (e);
  open_signals (e);
  am_line_log_add (&e->log, AM_LINE_STATE, e->started_us,
                   "started version=%s name=%s seeds=%zu", AM_VERSION,
                   e->settings.name, e->settings.seed_count);
  uv_timer_init (loop, &e->tick);
  e->tick.data = e;
  uv_timer_start (&e->tick, on_tick, 0, TICK_MS);
  return open_ports (e);
}
