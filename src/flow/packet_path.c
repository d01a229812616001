#include "flow/packet_path.h"

#include <string.h>

#include "flow/liveness.h"
#include "flow/new_flow.h"

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
  p->remote = NULL;
  p->liveness_changes = 0;
  am_flow_rate_init (&p->placements);
  p->peers = 0;
  p->report_age_us = 0;
  p->crossing_cost_us = 0;
  p->targets_complete = false;
  am_rng_init (&p->rng, seed);
  am_flow_table_init (&p->flows);
  am_service_stats_init (&p->service_stats);
  memset (p->waited, 0, sizeof p->waited);
  memset (p->rejected, 0, sizeof p->rejected);
  p->released = false;
  p->searched_us = 0;
  p->next_return_us = 0;
  p->searched_version = 0;
  am_syn_queue_init (&p->queue, &am_syn_queue_fair);
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
  return (struct am_decision){ .verdict = v, .reason = r, .target = target };
}

/* A caller has retransmitted data for the first time that TARGET did not
   answer.  */
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

/* The caller of F has received some of the response to its request, as PACKET
   tells.  The acknowledgement of a response's last packet may come only with
   the next request, or the end of the flow; then it does not tell when the
   response came.  */
static void
note_response (struct am_path *p, struct am_flow *f,
               const struct am_packet *packet, uint64_t now_us)
{
  if (f->busy && !packet->data_len && f->requests == 1)
    am_service_stats_add_response (&p->service_stats, f->target->spec.service,
                                   now_us - f->forwarded_us, now_us);
  p->released = p->released || f->recent_end_us;
  am_flow_set_busy (f, false);
  note_progress (p, f->target, now_us);
}

/* The caller of F has sent a request, or the next part of one.  */
static void
note_request (struct am_path *p, struct am_flow *f, uint64_t now_us)
{
  uint64_t recent_us = am_service_stats_recent_us (&p->service_stats,
                                                   f->target->spec.service);

  f->forwarded_us = now_us;
  f->repeats = 0;
  am_flow_begin_request (&p->flows, f, now_us + recent_us);
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
      note_response (p, f, packet, now_us);
    }
  if (packet->data_len && seq_after (end, f->next_seq))
    {
      f->next_seq = end;
      note_request (p, f, now_us);
    }
  else if (packet->data_len
           && now_us - f->forwarded_us >= AM_LIVENESS_RETRANSMIT_MIN_US)
    note_retransmission (p, f, now_us);
  if (packet->finishes)
    {
      p->released = p->released || f->recent_end_us;
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
        {
          p->released = p->released || f->recent_end_us;
          am_flow_remove (&p->flows, f);
        }
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
  if (packet->opens)
    return am_new_flow_process (p, packet, data, len, now_us);
  return process_flow_packet (p, packet, now_us);
}

bool
am_path_dequeue (struct am_path *p, struct am_queued_syn *w,
                 struct am_decision *d, uint64_t now_us)
{
  return am_new_flow_dequeue (p, w, d, now_us);
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
