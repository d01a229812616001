#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "entry/entry.h"
#include "io/clock.h"

/* Receives packets of callers and executes the decisions of
   flow/packet_path.h on them.  */

/* If no target is known this long after the start, packets are read anyway,
   so that callers get a reset.  */
#define DISCOVERY_WAIT_US 1000000u

static void
log_decision (struct am_entry *e, const struct am_packet *p,
              const struct am_decision *d, uint64_t now_us)
{
  char caller[AM_ADDRESS_TEXT_SIZE];
  char route[AM_ADDRESS_TEXT_SIZE];
  const struct am_target *t = d->target;
  bool room
      = d->reason == AM_REASON_NO_ROOM || d->reason == AM_REASON_OVERLOADED;
  char detail[64] = "";
  enum am_line_class class = d->verdict == AM_VERDICT_FORWARD
                                 ? AM_LINE_FLOW
                                 : AM_LINE_NOT_FORWARDED;

  if (d->reason == AM_REASON_TICKET)
    return;
  if (room)
    snprintf (detail, sizeof detail, " priority=%" PRIu32 " room=%.1f/%.1f",
              d->priority, d->requests, d->limit);
  am_line_log_add (&e->log, class, now_us,
                   "flow caller=%s route=%s seq=%" PRIu32 " ticket=%08" PRIx32
                   " reason=%s target=%" PRIx64 " busy=%" PRIu32
                   " open=%" PRIu32 " version=%" PRIu64
                   " config_age_ms=%" PRIu64 " store_age_ms=%" PRIu64 "%s",
                   am_address_format (p->caller, caller),
                   am_address_format (p->destination, route), p->seq,
                   p->ticket, am_reason_name (d->reason), t ? t->spec.id : 0,
                   t ? t->load.busy + t->peers_load.busy : 0,
                   t ? t->load.open_flows + t->peers_load.open_flows : 0,
                   e->routes.active.version,
                   (now_us - e->configuration_us) / 1000,
                   am_store_sync_age (&e->sync, now_us) / 1000, detail);
}

static void
forward (struct am_entry *e, const struct am_target *t, const uint8_t *data,
         size_t len)
{
  uint8_t *out = am_udp_batch_room (&e->packet_batch, t->spec.address,
                                    len + AM_ADAPTER_OVERHEAD_MAX);
  size_t n;

  if (!out)
    return;
  n = e->adapter->packet_encapsulate (out, data, len, t->spec.id, t->ticket);
  am_udp_batch_cut (&e->packet_batch, n);
}

/* Callers receive packets on the port number that this VM receives on.  */
static void
send_reset (struct am_entry *e, const struct am_packet *p)
{
  struct am_address to = { p->caller.ip, e->settings.packets.port };
  uint8_t *out
      = am_udp_batch_room (&e->packet_batch, to, AM_ADAPTER_OVERHEAD_MAX);

  e->counters.resets++;
  if (out)
    am_udp_batch_cut (&e->packet_batch,
                      e->adapter->packet_build_reset (out, p));
}

static void
execute_decision (struct am_entry *e, const struct am_packet *p,
                  const struct am_decision *d, const uint8_t *data, size_t len,
                  uint64_t now_us)
{
  e->counters.reasons[d->reason]++;
  log_decision (e, p, d, now_us);
  switch (d->verdict)
    {
    case AM_VERDICT_FORWARD:
      forward (e, d->target, data, len);
      break;
    case AM_VERDICT_RESET:
      send_reset (e, p);
      break;
    case AM_VERDICT_DROP:
      e->counters.packets_dropped++;
      break;
    case AM_VERDICT_WAIT:
      break;
    }
}

static void
process_queue (struct am_entry *e, uint64_t now_us)
{
  struct am_queued_syn w;
  struct am_decision d;

  while (am_path_dequeue (&e->path, &w, &d, now_us))
    execute_decision (e, &w.packet, &d, w.data, w.len, now_us);
}

void
am_entry_packets_reset_orphaned (struct am_entry *e, uint64_t now_us)
{
  struct am_packet p;

  while (am_path_next_orphan (&e->path, &p, now_us))
    {
      struct am_target *t = am_target_by_ticket (&e->targets, p.ticket, 0);
      struct am_decision d = { .verdict = AM_VERDICT_RESET,
                               .reason = AM_REASON_ORPHANED,
                               .target = t };

      execute_decision (e, &p, &d, NULL, 0, now_us);
    }
}

/* Records the latency of the decision on a SYN that was read at READ_NS, and
   the age of the target list it was based on.  */
static void
measure_flow_setup (struct am_entry *e, uint64_t read_ns)
{
  uint64_t age_us = am_store_sync_age (&e->sync, read_ns / 1000u);

  am_histogram_add (&e->decide_times, am_clock_ns () - read_ns);
  am_histogram_add (&e->target_list_ages, age_us * 1000u);
}

static void
on_packet (void *userdata, struct am_address from, const uint8_t *data,
           size_t len)
{
  struct am_entry *e = userdata;
  uint64_t now_ns = am_clock_ns ();
  uint64_t now_us = now_ns / 1000u;
  struct am_packet p;
  struct am_decision d;

  (void)from;
  e->counters.packets++;
  e->last_packet_us = now_us;
  if (e->adapter->packet_parse (&p, data, len))
    {
      e->counters.packets_malformed++;
      return;
    }
  d = am_path_process (&e->path, &p, data, len, now_us);
  if (p.opens)
    measure_flow_setup (e, now_ns);
  execute_decision (e, &p, &d, data, len, now_us);
  process_queue (e, now_us);
}

int
am_entry_packets_open (struct am_entry *e)
{
  int err = am_udp_open (&e->packets_port, e->loop, e->settings.packets,
                         on_packet, e);

  if (!err)
    err = am_udp_batch_init (&e->packet_batch, e->loop, &e->packets_port);
  if (!err)
    am_udp_pause (&e->packets_port);
  return err;
}

/* Packets are read once a target is ready, without waiting for the
   configuration: packets of open flows need only the targets.  */
void
am_entry_packets_poll (struct am_entry *e, uint64_t now_us)
{
  process_queue (e, now_us);
  if (e->forwarding
      || (!e->targets.ready_count
          && now_us - e->started_us < DISCOVERY_WAIT_US))
    return;
  e->forwarding = true;
  am_udp_resume (&e->packets_port);
  am_line_log_add (&e->log, AM_LINE_STATE, now_us,
                   "carrying start_ms=%" PRIu64 " targets=%zu routes=%zu",
                   (now_us - e->started_us) / 1000, e->targets.ready_count,
                   e->routes.active.route_count);
}
