#include "flow/packet_path.h"

#include <string.h>

#include "flow/liveness.h"
#include "flow/placement.h"

const char *
am_reason_name (enum am_reason r)
{
  static const char *const names[] = {
#define AM_REASON_NAME(symbol, name) name,
    AM_REASON_LIST (AM_REASON_NAME)
#undef AM_REASON_NAME
  };

  return r < AM_REASON_COUNT ? names[r] : "unknown";
}

void
am_path_init (struct am_path *p, struct am_target_table *targets,
              struct am_route_table *routes, uint32_t data_centre,
              uint64_t seed)
{
  memset (&p->open_times, 0, sizeof p->open_times);
  memset (&p->wait_times, 0, sizeof p->wait_times);
  p->targets = targets;
  p->routes = routes;
  p->data_centre = data_centre;
  targets->data_centre = data_centre;
  p->evacuations = NULL;
  p->warm_up = NULL;
  p->liveness_changes = 0;
  am_flow_rate_init (&p->placements);
  p->peers = 0;
  p->report_age_us = 0;
  p->targets_complete = false;
  am_rng_init (&p->rng, seed);
  am_flow_table_init (&p->flows);
  am_syn_queue_init (&p->queue);
}

void
am_path_finish (struct am_path *p)
{
  am_flow_table_finish (&p->flows);
}

static struct am_decision
make_decision (enum am_packet_verdict v, enum am_reason r,
               const struct am_target *target)
{
  return (struct am_decision){ v, r, target };
}

/* ---- new flows ---------------------------------------------------- */

/* Returns the number of flows that peers have opened since their reports.  The
   routers distribute flows evenly, so each peer opens as many as this VM.  */
static double
unreported_flows (const struct am_path *p, uint64_t now_us)
{
  return am_flow_rate_per_us (&p->placements, now_us)
         * (double)p->report_age_us;
}

static struct am_placement
placement (struct am_path *p, uint32_t service, uint64_t now_us)
{
  return (struct am_placement){ .rng = &p->rng,
                                .service = service,
                                .data_centre = p->data_centre,
                                .evacuations = p->evacuations,
                                .warm_up = p->warm_up,
                                .unreported_flows
                                = unreported_flows (p, now_us),
                                .now_us = now_us };
}

static struct am_target *
choose (struct am_path *p, uint32_t service, uint64_t now_us)
{
  struct am_placement m;

  am_flow_rate_add (&p->placements, now_us);
  m = placement (p, service, now_us);
  return am_placement_choose (p->targets, &m);
}

static bool
is_busy (struct am_path *p, uint32_t service, uint64_t now_us)
{
  struct am_placement m = placement (p, service, now_us);

  return am_placement_load_per_slot (p->targets, &m)
         > AM_PATH_LOAD_PER_SLOT_MAX;
}

/* A caller has retransmitted a SYN, or data for the first time, that TARGET
   did not answer.  */
static void
note_unanswered (struct am_path *p, struct am_target *target, uint64_t now_us)
{
  if (!target->unanswered_count)
    p->liveness_changes++;
  am_liveness_unanswered (target, now_us);
}

/* The caller of F has retransmitted data again that its target did not
   answer.  */
static void
note_data_unanswered (struct am_path *p, const struct am_flow *f,
                      uint64_t now_us)
{
  if (!f->target->data_unanswered_count)
    p->liveness_changes++;
  am_liveness_data_unanswered (f->target, f->repeated_us, now_us);
}

/* A caller of TARGET has received packets from it.  */
static void
note_progress (struct am_path *p, struct am_target *target, uint64_t now_us)
{
  if (target->unanswered_count)
    p->liveness_changes++;
  am_liveness_progress (target, now_us);
}

/* Returns true if the target of F has accepted another flow since the SYN of F
   was forwarded: its response to that SYN was lost.  */
static bool
has_accepted_since (const struct am_flow *f)
{
  return f->target->state == AM_TARGET_READY
         && f->target->last_accepted_us > f->forwarded_us;
}

/* Returns true if a new flow of SERVICE would be placed elsewhere than at
   TARGET.  */
static bool
prefers_another (struct am_path *p, const struct am_target *target,
                 uint32_t service, uint64_t now_us)
{
  struct am_placement m = placement (p, service, now_us);

  return am_placement_choose (p->targets, &m) != target;
}

/* Resets the attempt of F, whose SYN is not forwarded to its target again.  */
static struct am_decision
abandon_attempt (struct am_flow *f, enum am_reason reason)
{
  struct am_target *target = f->target;

  am_flow_set_target (f, NULL);
  return make_decision (AM_VERDICT_RESET, reason, target);
}

/* The SYN of F was retransmitted.  It never goes to a second target: the first
   one may have accepted the flow, and a caller that hears from both sends the
   packets of one with the ticket of the other.  If the first one may have
   failed or be full, the attempt is reset, so that the caller opens another
   flow.  A caller whose flow has just opened ignores this reset, as its
   sequence number is none of that flow.  */
static struct am_decision
retransmit_syn (struct am_path *p, struct am_flow *f, uint32_t service,
                uint64_t now_us)
{
  struct am_target *target = f->target;

  am_flow_touch (&p->flows, f, now_us);
  if (!target)
    return make_decision (AM_VERDICT_RESET, AM_REASON_SYN_UNANSWERED, NULL);
  if (am_placement_evacuated (target, p->evacuations))
    return abandon_attempt (f, AM_REASON_EVACUATED);
  if (now_us - f->forwarded_us < AM_PATH_RETRANSMIT_MIN_US)
    return make_decision (AM_VERDICT_FORWARD, AM_REASON_SAME_TARGET, target);
  if (!has_accepted_since (f))
    {
      note_unanswered (p, target, now_us);
      if (prefers_another (p, target, service, now_us))
        return abandon_attempt (f, AM_REASON_SYN_UNANSWERED);
    }
  f->forwarded_us = now_us;
  return make_decision (AM_VERDICT_FORWARD, AM_REASON_SAME_TARGET, target);
}

static enum am_reason
placed_reason (const struct am_path *p, const struct am_packet *packet,
               const struct am_target *target)
{
  if (packet->ack)
    return AM_REASON_PLACED_AGAIN;
  return target->spec.data_centre == p->data_centre
             ? AM_REASON_PLACED
             : AM_REASON_PLACED_ELSEWHERE;
}

/* Returns true if only the limits of targets that warm up keep a flow of
   SERVICE from being placed.  */
static bool
waits_for_warm_up (struct am_path *p, uint32_t service, uint64_t now_us)
{
  struct am_placement m = placement (p, service, now_us);

  if (!p->warm_up || !p->warm_up->bounds.stated
      || am_placement_choose (p->targets, &m))
    return false;
  m.warm_up = NULL;
  return am_placement_choose (p->targets, &m);
}

/* Decides on a flow of SERVICE that no target accepts now.  It waits for the
   limit of a target that warms up; anything else does not pass by itself.  */
static struct am_decision
refuse (struct am_path *p, uint32_t service, uint64_t now_us)
{
  struct am_placement m = placement (p, service, now_us);

  if (waits_for_warm_up (p, service, now_us))
    return make_decision (AM_VERDICT_WAIT, AM_REASON_WARMING_UP, NULL);
  m.evacuations = NULL;
  if (am_placement_choose (p->targets, &m))
    return make_decision (AM_VERDICT_RESET, AM_REASON_EVACUATED, NULL);
  return make_decision (AM_VERDICT_RESET, AM_REASON_NO_TARGET, NULL);
}

static struct am_decision
place (struct am_path *p, const struct am_packet *packet, uint32_t service,
       uint64_t now_us)
{
  struct am_target *target = choose (p, service, now_us);

  if (!target)
    return refuse (p, service, now_us);
  am_warm_up_admitted (p->warm_up, target, now_us);
  am_flow_add (&p->flows, packet, target, AM_FLOW_OPENING, now_us);
  am_liveness_syn_sent (target, now_us);
  return make_decision (AM_VERDICT_FORWARD, placed_reason (p, packet, target),
                        target);
}

static struct am_decision
open_flow (struct am_path *p, const struct am_packet *packet, bool was_queued,
           uint64_t now_us)
{
  const struct am_route *route
      = am_route_find (p->routes, packet->destination);
  struct am_flow *f = am_flow_find (&p->flows, packet);
  uint32_t service;

  if (!p->routes->active.version)
    return make_decision (AM_VERDICT_WAIT, AM_REASON_NO_CONFIGURATION, NULL);
  if (!route)
    return make_decision (AM_VERDICT_RESET, AM_REASON_NO_ROUTE, NULL);
  service = am_route_service (route, am_flow_hash (packet));
  if (f && f->state == AM_FLOW_OPENING && f->syn_seq == packet->seq)
    return retransmit_syn (p, f, service, now_us);
  if (f)
    am_flow_remove (&p->flows, f);
  if (packet->ack && !was_queued && is_busy (p, service, now_us))
    return make_decision (AM_VERDICT_WAIT, AM_REASON_BUSY, NULL);
  return place (p, packet, service, now_us);
}

/* Returns the latest time at which PACKET, a SYN received at NOW_US, may leave
   the queue.  Its retransmission number gives the age of the attempt.  */
static uint64_t
queue_deadline (const struct am_packet *packet, uint64_t now_us)
{
  uint64_t age = packet->ack == 0   ? 0
                 : packet->ack == 1 ? AM_PATH_RETRANSMIT_1_US
                                    : AM_PATH_RETRANSMIT_2_US;

  return now_us + AM_PATH_OPEN_TIMEOUT_US - AM_PATH_OPEN_MARGIN_US - age;
}

/* Queues PACKET.  If the queue is full, its caller is told only if it will not
   transmit this SYN again: until then the queue may become shorter.  */
static struct am_decision
wait_or_reject (struct am_path *p, const struct am_packet *packet,
                const uint8_t *data, size_t len, struct am_decision d,
                uint64_t now_us)
{
  const struct am_route *route
      = am_route_find (p->routes, packet->destination);
  uint32_t service
      = route ? am_route_service (route, am_flow_hash (packet)) : 0;

  if (am_syn_queue_add (&p->queue, packet, service, data, len, now_us,
                        queue_deadline (packet, now_us)))
    d.verdict = packet->ack < AM_PATH_RETRANSMISSIONS ? AM_VERDICT_DROP
                                                      : AM_VERDICT_RESET;
  return d;
}

struct slots_query
{
  struct am_path *path;
  uint64_t now_us;
};

static bool
has_slots (void *userdata, uint32_t service)
{
  struct slots_query *q = userdata;

  if (!q->path->routes->active.version)
    return false;
  return !service
         || (!is_busy (q->path, service, q->now_us)
             && !waits_for_warm_up (q->path, service, q->now_us));
}

bool
am_path_dequeue (struct am_path *p, struct am_queued_syn *w,
                 struct am_decision *d, uint64_t now_us)
{
  struct slots_query query = { p, now_us };

  if (!p->queue.count
      || !am_syn_queue_take (&p->queue, now_us, has_slots, &query, w))
    return false;
  am_histogram_add (&p->wait_times, (now_us - w->enqueued_us) * 1000u);
  *d = open_flow (p, &w->packet, true, now_us);
  /* Its deadline has passed: the attempt would time out.  */
  if (d->verdict == AM_VERDICT_WAIT)
    d->verdict = AM_VERDICT_RESET;
  return true;
}

/* ---- packets of open flows ---------------------------------------- */

/* Returns true if sequence number A is after B, modulo 2^32.  */
static bool
seq_after (uint32_t a, uint32_t b)
{
  return (int32_t)(a - b) > 0;
}

/* The caller of F has retransmitted its data.  A target acknowledges every
   second packet only, so a request that takes long is retransmitted once
   although it is at work.  */
static void
note_retransmission (struct am_path *p, struct am_flow *f, uint64_t now_us)
{
  if (f->repeats < UINT8_MAX)
    f->repeats++;
  if (f->repeats > 1)
    {
      note_data_unanswered (p, f, now_us);
      return;
    }
  f->repeated_us = now_us;
  note_unanswered (p, f->target, now_us);
}

/* Updates F, and the load and the liveness of its target, from PACKET.  */
static void
update_flow (struct am_path *p, struct am_flow *f,
             const struct am_packet *packet, uint64_t now_us)
{
  struct am_target *target = f->target;
  uint32_t end = packet->seq + packet->data_len;

  if (f->state == AM_FLOW_OPENING)
    {
      am_histogram_add (&p->open_times, (now_us - f->forwarded_us) * 1000u);
      am_flow_set_state (f, AM_FLOW_OPEN);
      target->last_accepted_us = now_us;
      note_progress (p, target, now_us);
      f->ack = packet->ack;
    }
  else if (packet->acknowledges && seq_after (packet->ack, f->ack))
    {
      f->ack = packet->ack;
      am_flow_set_busy (f, false);
      note_progress (p, target, now_us);
    }
  if (packet->data_len && seq_after (end, f->next_seq))
    {
      f->next_seq = end;
      f->forwarded_us = now_us;
      f->repeats = 0;
      am_flow_set_busy (f, true);
    }
  else if (packet->data_len
           && now_us - f->forwarded_us >= AM_LIVENESS_RETRANSMIT_MIN_US)
    note_retransmission (p, f, now_us);
  if (packet->finishes)
    {
      am_flow_set_busy (f, false);
      am_flow_set_state (f, AM_FLOW_CLOSING);
    }
}

/* Decides on PACKET, whose target is not in the target table.  */
static struct am_decision
unknown_target (struct am_path *p, const struct am_packet *packet)
{
  if (!packet->ticket)
    return make_decision (AM_VERDICT_RESET, AM_REASON_NO_TICKET, NULL);
  if (p->targets_complete && packet->data_len)
    return make_decision (AM_VERDICT_RESET, AM_REASON_UNKNOWN_TICKET, NULL);
  return make_decision (AM_VERDICT_DROP, AM_REASON_UNKNOWN_TICKET, NULL);
}

/* Returns true if TARGET was removed and has made no progress since.  */
static bool
was_removed (const struct am_target *target)
{
  return target->state == AM_TARGET_REMOVED
         && target->last_progress_us < target->removed_us;
}

static bool
has_failed (const struct am_path *p, const struct am_target *target,
            uint64_t now_us)
{
  return am_liveness_failed (target, p->peers, now_us)
         && !am_liveness_local_fault (p->targets, now_us);
}

static struct am_decision
process_flow_packet (struct am_path *p, const struct am_packet *packet,
                     uint64_t now_us)
{
  struct am_target *target
      = am_target_by_ticket (p->targets, packet->ticket, 0);
  struct am_flow *f = am_flow_find (&p->flows, packet);

  if (packet->resets)
    {
      if (f)
        am_flow_remove (&p->flows, f);
      return make_decision (target ? AM_VERDICT_FORWARD : AM_VERDICT_DROP,
                            AM_REASON_TICKET, target);
    }
  if (!target)
    return unknown_target (p, packet);
  if (!f)
    f = am_flow_add (&p->flows, packet, target, AM_FLOW_OPEN, now_us);
  if (!f)
    return make_decision (AM_VERDICT_FORWARD, AM_REASON_TICKET, target);
  if (f->target != target)
    am_flow_set_target (f, target);
  am_flow_touch (&p->flows, f, now_us);
  update_flow (p, f, packet, now_us);
  if (packet->data_len && p->targets_complete && was_removed (target))
    {
      am_flow_remove (&p->flows, f);
      return make_decision (AM_VERDICT_RESET, AM_REASON_TARGET_REMOVED,
                            target);
    }
  if (packet->data_len && has_failed (p, target, now_us))
    {
      am_flow_remove (&p->flows, f);
      return make_decision (AM_VERDICT_RESET, AM_REASON_TARGET_FAILED, target);
    }
  return make_decision (AM_VERDICT_FORWARD, AM_REASON_TICKET, target);
}

struct am_decision
am_path_process (struct am_path *p, const struct am_packet *packet,
                 const uint8_t *data, size_t len, uint64_t now_us)
{
  struct am_decision d;

  if (!packet->opens)
    return process_flow_packet (p, packet, now_us);
  d = open_flow (p, packet, false, now_us);
  if (d.verdict == AM_VERDICT_WAIT)
    d = wait_or_reject (p, packet, data, len, d, now_us);
  return d;
}

static bool
is_orphaned (const struct am_path *p, const struct am_flow *f, uint64_t now_us)
{
  const struct am_target *target = f->target;

  if (!target || f->state != AM_FLOW_OPEN)
    return false;
  if (was_removed (target))
    return true;
  return target->data_unanswered_count
         && now_us - f->seen_us < AM_PATH_CALLER_WAIT_MAX_US
         && has_failed (p, target, now_us);
}

bool
am_path_next_orphan (struct am_path *p, struct am_packet *reset,
                     uint64_t now_us)
{
  if (!p->targets_complete)
    return false;
  am_list_each_safe (f, next, &p->flows.by_age, struct am_flow, node)
  {
    if (!is_orphaned (p, f, now_us))
      continue;
    *reset = (struct am_packet){ .caller = f->caller,
                                 .destination = f->destination,
                                 .acknowledges = true,
                                 .ticket = f->target->ticket,
                                 .seq = f->next_seq,
                                 .ack = f->ack };
    am_flow_remove (&p->flows, f);
    return true;
  }
  return false;
}

void
am_path_expire (struct am_path *p, uint64_t now_us)
{
  am_flow_table_expire (&p->flows, now_us, AM_PATH_FLOW_IDLE_US);
}
