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

/* Until the replica has been supplied, when each step of it matters.  */
#define START_TICK_MS 10

/* The process was suspended if a tick comes this late, or if CLOCK_BOOTTIME
   advanced this much more than CLOCK_MONOTONIC.  */
#define SUSPENSION_MIN_US 1000000u

/* If its calls to the store fail, a VM remains in sync for this long without
   confirmation by a peer: a peer that has just read a change is ahead of this
   VM's replica for a moment and does not confirm it.  */
#define UNCONFIRMED_US 800000u

/* After a suspension of GAP_US the replica may lack changes, and connections
   may have failed.  */
static void
handle_resume (struct am_entry *e, uint64_t now_us, uint64_t gap_us)
{
  e->counters.suspensions++;
  am_line_log_add (&e->log, AM_LINE_STATE, now_us,
                   "woke gap_ms=%" PRIu64 " revision=%" PRIu64, gap_us / 1000,
                   e->replica.revision);
  am_store_sync_lost (&e->sync);
  am_entry_reader_resume (e);
  am_entry_peers_resume (e);
}

static void
check_suspension (struct am_entry *e, uint64_t now_us)
{
  uint64_t boot_us = am_clock_boot_us ();
  uint64_t step_us = now_us - e->tick_us;
  uint64_t boot_step_us = boot_us - e->boot_us;
  uint64_t lag_us = step_us > TICK_US ? step_us - TICK_US : 0;

  e->tick_us = now_us;
  e->boot_us = boot_us;
  if (step_us > SUSPENSION_MIN_US
      || boot_step_us > step_us + SUSPENSION_MIN_US)
    handle_resume (e, now_us, boot_step_us > step_us ? boot_step_us : step_us);
  else
    am_readiness_record_lag (&e->readiness, lag_us, now_us);
}

static void
update_lag (struct am_entry *e, uint64_t now_us)
{
  uint64_t claimed = am_fleet_claimed_revision (&e->fleet, now_us);
  bool before = e->lagging;

  am_replica_lag_update (&e->lag, e->replica.revision, claimed, now_us);
  e->lagging = am_replica_lags (&e->lag, now_us);
  if (e->lagging && !before)
    am_line_log_add (&e->log, AM_LINE_STATE, now_us,
                     "replica-lags revision=%" PRIu64 " claimed=%" PRIu64,
                     e->replica.revision, claimed);
}

/* A reader's claim confirms the replica as of the time when it was heard.  */
static void
confirm_by_peers (struct am_entry *e, uint64_t now_us)
{
  uint64_t confirmed_us
      = am_fleet_confirmed_us (&e->fleet, e->replica.revision, now_us);

  if (confirmed_us > e->sync.last_confirmed_us && !e->lagging)
    am_store_sync_confirmed (&e->sync, confirmed_us);
}

static void
update_sync (struct am_entry *e, uint64_t now_us)
{
  bool before = e->sync.in_sync;

  update_lag (e, now_us);
  confirm_by_peers (e, now_us);
  if (!e->reader.active && e->reader.failures
      && now_us - e->sync.last_confirmed_us > UNCONFIRMED_US)
    am_store_sync_lost (&e->sync);
  am_store_sync_check (&e->sync, now_us);
  e->path.peers = am_fleet_count_local (&e->fleet, now_us);
  e->path.report_age_us = am_fleet_report_age_us (&e->fleet, now_us);
  e->path.targets_complete = am_store_sync_authoritative (&e->sync, now_us);
  if (before != e->sync.in_sync)
    am_line_log_add (&e->log, AM_LINE_STATE, now_us,
                     "contact %s revision=%" PRIu64 " age_ms=%" PRIu64,
                     before ? "lost" : "regained", e->replica.revision,
                     am_store_sync_age (&e->sync, now_us) / 1000);
}

static void
check_stop (struct am_entry *e, uint64_t now_us)
{
  if (!am_shutdown_complete (&e->shutdown, e->last_packet_us,
                             e->path.queue.count, now_us))
    return;
  am_line_log_add (&e->log, AM_LINE_STATE, now_us, "stopped after_ms=%" PRIu64,
                   (now_us - e->shutdown.begin_us) / 1000);
  am_line_log_flush (&e->log);
  am_udp_batch_flush (&e->packet_batch);
  uv_stop (e->loop);
}

static void
on_tick (uv_timer_t *timer)
{
  struct am_entry *e = timer->data;
  uint64_t now_us = am_clock_us ();

  if (e->replica.revision)
    uv_timer_set_repeat (timer, TICK_MS);
  check_suspension (e, now_us);
  am_entry_reload_tick (e, now_us);
  am_entry_suppliers_look_up (e);
  am_entry_reader_tick (e, now_us);
  am_entry_peers_tick (e, now_us);
  am_entry_suppliers_tick (e, now_us);
  update_sync (e, now_us);
  am_entry_items_tick (e, now_us);
  am_entry_packets_reset_orphaned (e, now_us);
  am_path_expire (&e->path, now_us);
  am_entry_packets_poll (e, now_us);
  check_stop (e, now_us);
  am_line_log_flush (&e->log);
}

static void
on_sigterm (uv_signal_t *signal, int number)
{
  struct am_entry *e = signal->data;

  (void)number;
  if (e->shutdown.begin_us)
    return;
  e->shutdown.begin_us = am_clock_us ();
  e->readiness.stopping = true;
  am_line_log_add (&e->log, AM_LINE_STATE, e->shutdown.begin_us,
                   "stopping flows=%zu queued=%zu", e->path.flows.count,
                   e->path.queue.count);
}

static void
on_sighup (uv_signal_t *signal, int number)
{
  (void)number;
  am_entry_reload (signal->data, am_clock_us ());
}

static int
open_ports (struct am_entry *e)
{
  int err
      = am_http_server_open (&e->readiness_server, e->loop,
                             e->settings.readiness, am_entry_status_handle, e);

  if (!err)
    err = am_entry_peers_open (e);
  if (!err)
    err = am_entry_packets_open (e);
  if (err || !e->settings.metrics.port)
    return err;
  /* A metrics port that cannot be opened is not fatal.  */
  e->metrics_open
      = am_http_server_open (&e->metrics_server, e->loop, e->settings.metrics,
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
  uv_signal_init (e->loop, &e->sigterm);
  e->sigterm.data = e;
  uv_signal_start (&e->sigterm, on_sigterm, SIGTERM);
  uv_signal_init (e->loop, &e->sighup);
  e->sighup.data = e;
  uv_signal_start (&e->sighup, on_sighup, SIGHUP);
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
  am_entry_reload_init (e);
  e->started_us = am_clock_us ();
  e->tick_us = e->started_us;
  e->boot_us = am_clock_boot_us ();
  seed = am_hash_name (e->settings.name) ^ e->started_us;
  am_line_log_init (&e->log, STDOUT_FILENO);
  am_replica_init (&e->replica, am_entry_item_changed, e);
  am_target_table_init (&e->targets);
  am_route_table_init (&e->routes);
  am_evacuations_init (&e->evacuations);
  am_path_init (&e->path, &e->targets, &e->routes, data_centre, seed);
  e->path.evacuations = &e->evacuations;
  am_store_sync_init (&e->sync, e->started_us);
  am_replica_lag_init (&e->lag);
  am_readiness_init (&e->readiness);
  e->shutdown.limit_us = e->settings.stop_ms * UINT64_C (1000);
  am_fleet_init (&e->fleet, e->settings.name, data_centre,
                 e->settings.link_mbps, e->started_us);
  e->warm_up = (struct am_warm_up){ .bounds = e->settings.warm_up,
                                    .fleet = &e->fleet,
                                    .routes = &e->routes };
  e->path.warm_up = &e->warm_up;
  am_remote_loads_init (&e->remote_loads);
  e->path.remote = &e->remote_loads;
  e->path.crossing_cost_us = e->settings.crossing_cost_ms * UINT64_C (1000);
  e->next_source = am_rng_below (&e->path.rng, AM_ENTRY_SEEDS_MAX);
  am_digest_schedule_init (&e->digest_schedule, e->started_us);
  am_startup_init (&e->startup, e->settings.seed_count, e->settings.link_mbps,
                   e->started_us);
  am_transfer_budget_init (&e->transfer_budget, e->settings.link_mbps,
                           e->started_us);
  am_entry_reader_init (e);
  am_entry_suppliers_open (e);
  open_signals (e);
  am_line_log_add (&e->log, AM_LINE_STATE, e->started_us,
                   "started version=%s name=%s seeds=%zu", AM_VERSION,
                   e->settings.name, e->settings.seed_count);
  uv_timer_init (loop, &e->tick);
  e->tick.data = e;
  uv_timer_start (&e->tick, on_tick, 0, START_TICK_MS);
  return open_ports (e);
}
