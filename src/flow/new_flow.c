#include "flow/new_flow.h"

#include <math.h>

#include "flow/admission.h"
#include "flow/liveness.h"
#include "flow/placement.h"

/* More than a caller sends, bytes, between its SYN and a retransmission of it
   that is read late.  */
#define OPENED_BYTES_MAX 65536u

/* What a SYN asks for.  */
struct request
{
  uint32_t service;  /* 0: not known yet */
  uint32_t priority; /* of its route */
};

static struct am_decision
make_decision (enum am_packet_verdict v, enum am_reason r,
               const struct am_target *target)
{
  return (struct am_decision){ .verdict = v, .reason = r, .target = target };
}

static struct request
request_of (const struct am_route *route, const struct am_packet *packet)
{
  return (struct request){ am_route_service (route, am_flow_hash (packet)),
                           route->terms.priority };
}

/* ---- placement ---------------------------------------------------- */

/* Returns the number of flows that peers have opened since their reports.  The
   routers distribute flows evenly, so each peer opens as many as this VM.  */
static double
unreported_flows (const struct am_path *p, uint64_t now_us)
{
  return am_flow_rate_per_us (&p->placements, now_us)
         * (double)p->report_age_us;
}

/* Returns what leaving the data centre costs a flow of R, in requests per slot
   that it would wait for here; 0 if that is not known.  */
static double
crossing (const struct am_path *p, struct request r)
{
  double response_us
      = am_service_stats_response_us (&p->service_stats, r.service);

  if (response_us <= 0 || !p->crossing_cost_us)
    return 0;
  return fmin (fmax ((double)p->crossing_cost_us / response_us,
                     AM_PLACEMENT_REMOTE_PENALTY_MIN),
               AM_PLACEMENT_REMOTE_PENALTY);
}

static struct am_placement
placement (struct am_path *p, struct request r, uint64_t now_us)
{
  const struct am_service *s = am_route_table_service (p->routes, r.service);

  return (struct am_placement){
    .rng = &p->rng,
    .service = r.service,
    .data_centre = p->data_centre,
    .connections_max = s ? s->connections_max : 0,
    .better_share = am_service_stats_better_share (
        &p->service_stats, r.service, r.priority, now_us),
    .vms = (uint32_t)p->peers + 1,
    .crossing = crossing (p, r),
    .evacuations = p->evacuations,
    .warm_up = p->warm_up,
    .remote = p->remote,
    .unreported_flows = unreported_flows (p, now_us),
    .now_us = now_us
  };
}

static struct am_target *
choose (struct am_path *p, struct request r, uint64_t now_us)
{
  struct am_placement m;

  am_flow_rate_add (&p->placements, now_us);
  m = placement (p, r, now_us);
  return am_placement_choose (p->targets, &m);
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

/* Returns true if only the limits of targets that warm up keep a flow of R
   from being placed.  */
static bool
waits_for_warm_up (struct am_path *p, struct request r, uint64_t now_us)
{
  struct am_placement m = placement (p, r, now_us);

  if (!p->warm_up || !p->warm_up->bounds.stated
      || am_placement_choose (p->targets, &m))
    return false;
  m.warm_up = NULL;
  return am_placement_choose (p->targets, &m);
}

/* Decides on a flow of R that no target accepts now.  It waits for the limit
   of a target that warms up; anything else does not pass soon.  */
static struct am_decision
refuse (struct am_path *p, struct request r, uint64_t now_us)
{
  struct am_placement m = placement (p, r, now_us);

  if (waits_for_warm_up (p, r, now_us))
    return make_decision (AM_VERDICT_WAIT, AM_REASON_WARMING_UP, NULL);
  m.connections_max = 0;
  if (am_placement_choose (p->targets, &m))
    return make_decision (AM_VERDICT_RESET, AM_REASON_FULL, NULL);
  m.evacuations = NULL;
  if (am_placement_choose (p->targets, &m))
    return make_decision (AM_VERDICT_RESET, AM_REASON_EVACUATED, NULL);
  return make_decision (AM_VERDICT_RESET, AM_REASON_NO_TARGET, NULL);
}

static struct am_decision
place (struct am_path *p, const struct am_packet *packet, struct request r,
       uint64_t now_us)
{
  struct am_target *target = choose (p, r, now_us);
  struct am_flow *f;

  if (!target)
    return refuse (p, r, now_us);
  am_warm_up_admitted (p->warm_up, target, now_us);
  f = am_flow_add (&p->flows, packet, target, AM_FLOW_OPENING, now_us);
  if (f)
    am_flow_set_recent (
        &p->flows, f,
        now_us + am_service_stats_recent_us (&p->service_stats, r.service));
  am_liveness_syn_sent (target, now_us);
  return make_decision (AM_VERDICT_FORWARD, placed_reason (p, packet, target),
                        target);
}

/* ---- retransmitted SYNs -------------------------------------------

   A SYN never goes to two targets: both may accept the flow, and a caller that
   hears from both sends the packets of one with the ticket of the other.  The
   first transmission reaches one VM, once, so that VM alone places the flow.
   A retransmission goes to the same target, or the attempt is reset, so that
   the caller opens another flow.  A caller whose flow has just opened ignores
   this reset, as its sequence number is none of that flow.  */

/* Returns true if the target of F has accepted another flow since the SYN of F
   was forwarded: its response to that SYN was lost.  */
static bool
has_accepted_since (const struct am_flow *f)
{
  return f->target->state == AM_TARGET_READY
         && f->target->last_accepted_us > f->forwarded_us;
}

/* Returns true if a new flow of R would be placed elsewhere than at TARGET. */
static bool
prefers_another (struct am_path *p, const struct am_target *target,
                 struct request r, uint64_t now_us)
{
  struct am_placement m = placement (p, r, now_us);

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

/* Returns true if F has opened, and SYN, a retransmission, is its own rather
   than that of a new flow from the same port.  F may be known only from its
   later packets.  */
static bool
has_opened (const struct am_flow *f, const struct am_packet *syn)
{
  return syn->ack && f->state != AM_FLOW_OPENING
         && f->next_seq - syn->seq <= OPENED_BYTES_MAX;
}

/* The SYN of F was retransmitted.  It goes to the same target or to none.  */
static struct am_decision
retransmit_syn (struct am_path *p, struct am_flow *f, struct request r,
                uint64_t now_us)
{
  struct am_target *target = f->target;

  am_flow_touch (&p->flows, f, now_us);
  if (!target)
    return make_decision (AM_VERDICT_RESET, AM_REASON_SYN_UNANSWERED, NULL);
  if (am_candidate_evacuated (target, p->evacuations))
    return abandon_attempt (f, AM_REASON_EVACUATED);
  if (now_us - f->forwarded_us < AM_PATH_RETRANSMIT_MIN_US)
    return make_decision (AM_VERDICT_FORWARD, AM_REASON_SAME_TARGET, target);
  if (!has_accepted_since (f))
    {
      if (!target->unanswered_count)
        p->liveness_changes++;
      am_liveness_unanswered (target, now_us);
      if (prefers_another (p, target, r, now_us))
        return abandon_attempt (f, AM_REASON_SYN_UNANSWERED);
    }
  f->forwarded_us = now_us;
  return make_decision (AM_VERDICT_FORWARD, AM_REASON_SAME_TARGET, target);
}

/* ---- admission ---------------------------------------------------- */

/* Returns true if the data centre has no free slots for a request that can
   hardly be answered in time.  */
static bool
is_busy (struct am_path *p, struct request r, uint64_t now_us)
{
  struct am_placement m = placement (p, r, now_us);

  return am_placement_load_per_slot (p->targets, &m)
         > AM_PATH_LOAD_PER_SLOT_MAX;
}

static void
measure_room (struct am_admission *a, struct am_path *p, struct request r,
              uint64_t now_us)
{
  struct am_placement m = placement (p, r, now_us);

  am_flow_table_expire_recent (&p->flows, now_us);
  am_admission_measure (a, p->targets, &m);
}

/* Returns true if this VM may have another request in progress.  */
static bool
has_room (struct am_path *p, struct request r, uint64_t now_us)
{
  struct am_admission a;

  measure_room (&a, p, r, now_us);
  return am_admission_admits (&a);
}

/* Tells callers of R to return no faster than this VM gets room for them.  */
static void
delay_next_return (struct am_path *p, struct request r, uint64_t now_us)
{
  double response_us
      = am_service_stats_response_us (&p->service_stats, r.service);
  struct am_admission a;
  double limit;

  measure_room (&a, p, r, now_us);
  limit = am_admission_limit (&a);
  if (limit > 0)
    p->next_return_us = now_us + (uint64_t)(response_us / limit);
}

/* The SYN PACKET for ROUTE, NULL if unknown, was retransmitted, and this VM
   has forwarded none of its transmissions.  W is its entry if it was queued,
   otherwise NULL.  If its first transmission did not reach this VM, the caller
   has to open another flow.  It is told so once there are free slots, as the
   callers of an outage that return all at once take the slots of those who can
   still be answered in time.  */
static struct am_decision
retransmit_unknown_syn (struct am_path *p, const struct am_packet *packet,
                        const struct am_route *route,
                        const struct am_queued_syn *w, uint64_t now_us)
{
  struct request r = { 0 };

  if (route)
    r = request_of (route, packet);
  if (!w
      && (am_syn_queue_holds (&p->queue, packet)
          || (route && is_busy (p, r, now_us))))
    return make_decision (AM_VERDICT_WAIT, AM_REASON_BUSY, NULL);
  if (w)
    delay_next_return (p, r, now_us);
  return make_decision (AM_VERDICT_RESET, AM_REASON_FIRST_SYN_UNSEEN, NULL);
}

/* Returns the decision V on a SYN of R, for which A has no room, for the
   reason REASON.  */
static struct am_decision
decide_without_room (struct am_path *p, struct request r,
                     const struct am_admission *a, enum am_packet_verdict v,
                     enum am_reason reason)
{
  struct am_decision d = make_decision (v, reason, NULL);

  d.priority = r.priority;
  d.requests = am_admission_requests (a);
  d.limit = am_admission_limit (a);
  if (v == AM_VERDICT_WAIT)
    p->waited[r.priority]++;
  else
    p->rejected[r.priority]++;
  return d;
}

/* Returns true if first SYNs of R's service wait for room.  A new one does not
   overtake them: the queue decides on their order.  */
static bool
is_awaited (const struct am_path *p, struct request r)
{
  for (size_t i = 0; i < p->queue.count; i++)
    if (p->queue.entries[i].service == r.service
        && !p->queue.entries[i].packet.ack)
      return true;
  return false;
}

/* Decides on the SYN PACKET.  W is its entry if it was queued, otherwise
   NULL.  */
static struct am_decision
open_flow (struct am_path *p, const struct am_packet *packet,
           const struct am_queued_syn *w, uint64_t now_us)
{
  const struct am_route *route
      = am_route_find (p->routes, packet->destination);
  struct am_flow *f = am_flow_find (&p->flows, packet);
  bool is_opening
      = f && f->state == AM_FLOW_OPENING && f->syn_seq == packet->seq;
  struct request r;

  if (f && has_opened (f, packet))
    return make_decision (AM_VERDICT_DROP, AM_REASON_ALREADY_OPEN, NULL);
  if (packet->ack && !is_opening && (!w || w->first_unseen))
    return retransmit_unknown_syn (p, packet, route, w, now_us);
  if (!p->routes->active.version)
    return make_decision (AM_VERDICT_WAIT, AM_REASON_NO_CONFIGURATION, NULL);
  if (!route)
    return make_decision (AM_VERDICT_RESET, AM_REASON_NO_ROUTE, NULL);
  r = request_of (route, packet);
  if (is_opening)
    return retransmit_syn (p, f, r, now_us);
  if (f)
    am_flow_remove (&p->flows, f);
  if (!w && !packet->ack)
    am_service_stats_add_flow (&p->service_stats, r.service, r.priority,
                               now_us);
  if ((!w && is_awaited (p, r)) || !has_room (p, r, now_us))
    return make_decision (AM_VERDICT_WAIT, AM_REASON_NO_ROOM, NULL);
  return place (p, packet, r, now_us);
}

/* ---- waiting ------------------------------------------------------ */

/* Returns how long PACKET, a SYN, may wait from now before its attempt times
   out.  The number of the retransmission tells the age of the attempt.  */
static uint64_t
attempt_left_us (const struct am_packet *packet)
{
  uint64_t age = packet->ack == 0   ? 0
                 : packet->ack == 1 ? AM_PATH_RETRANSMIT_1_US
                                    : AM_PATH_RETRANSMIT_2_US;

  return AM_PATH_OPEN_TIMEOUT_US - AM_PATH_OPEN_MARGIN_US - age;
}

/* Returns how long PACKET, a SYN for ROUTE, may wait for room.  */
static uint64_t
room_wait_us (const struct am_packet *packet, const struct am_route *route)
{
  uint64_t left = attempt_left_us (packet);
  uint64_t share_us;

  if (packet->ack || !route->terms.objective_ms)
    return left;
  share_us = (uint64_t)(AM_PATH_WAIT_SHARE * 1000 * route->terms.objective_ms);
  return share_us < left ? share_us : left;
}

/* Returns true if a SYN of R with this number of others AHEAD will find no
   room within WAIT_US.  In the mean time of a response this VM gets room for
   as many flows as it may have requests in progress, by A.  */
static bool
waits_in_vain (const struct am_path *p, struct request r,
               const struct am_admission *a, size_t ahead, uint64_t wait_us)
{
  double response_us
      = am_service_stats_response_us (&p->service_stats, r.service);
  double limit = am_admission_limit (a);

  return limit > 0 && (double)ahead * response_us > (double)wait_us * limit;
}

/* Queues PACKET, a SYN of R, until DEADLINE_US at the latest, unless it would
   wait in vain.  */
static struct am_decision
wait_for_room (struct am_path *p, const struct am_packet *packet,
               struct request r, const uint8_t *data, size_t len,
               uint64_t deadline_us, uint64_t now_us)
{
  uint64_t wait_us = deadline_us > now_us ? deadline_us - now_us : 0;
  size_t ahead = am_syn_queue_ahead (&p->queue, packet, r.service, r.priority,
                                     now_us, deadline_us);
  struct am_admission a;

  measure_room (&a, p, r, now_us);
  if (!wait_us || waits_in_vain (p, r, &a, ahead, wait_us)
      || am_syn_queue_add (&p->queue, packet, r.service, r.priority, data, len,
                           now_us, deadline_us))
    return decide_without_room (p, r, &a, AM_VERDICT_RESET,
                                AM_REASON_OVERLOADED);
  return decide_without_room (p, r, &a, AM_VERDICT_WAIT, AM_REASON_NO_ROOM);
}

/* Queues PACKET, a SYN of R that waits for the reason of D, until DEADLINE_US
   at the latest.  If the queue is full, the attempt is reset.  */
static struct am_decision
wait_or_reset (struct am_path *p, const struct am_packet *packet,
               struct request r, const uint8_t *data, size_t len,
               uint64_t deadline_us, struct am_decision d, uint64_t now_us)
{
  if (am_syn_queue_add (&p->queue, packet, r.service, r.priority, data, len,
                        now_us, deadline_us))
    d.verdict = AM_VERDICT_RESET;
  return d;
}

/* Makes PACKET wait for the reason of D, until ATTEMPT_END_US at the latest,
   when its attempt is about to time out.  */
static struct am_decision
wait (struct am_path *p, const struct am_packet *packet, const uint8_t *data,
      size_t len, uint64_t attempt_end_us, struct am_decision d,
      uint64_t now_us)
{
  const struct am_route *route
      = am_route_find (p->routes, packet->destination);
  struct request r = { 0 };
  uint64_t room_end_us;

  if (route)
    r = request_of (route, packet);
  if (d.reason != AM_REASON_NO_ROOM)
    return wait_or_reset (p, packet, r, data, len, attempt_end_us, d, now_us);
  room_end_us = now_us + room_wait_us (packet, route);
  return wait_for_room (
      p, packet, r, data, len,
      room_end_us < attempt_end_us ? room_end_us : attempt_end_us, now_us);
}

struct am_decision
am_new_flow_process (struct am_path *p, const struct am_packet *packet,
                     const uint8_t *data, size_t len, uint64_t now_us)
{
  struct am_decision d = open_flow (p, packet, NULL, now_us);

  if (d.verdict != AM_VERDICT_WAIT)
    return d;
  return wait (p, packet, data, len, now_us + attempt_left_us (packet), d,
               now_us);
}

struct queue_query
{
  struct am_path *path;
  uint64_t now_us;
};

static bool
may_leave (void *userdata, const struct am_queued_syn *w)
{
  struct queue_query *q = userdata;
  struct request r = { w->service, w->priority };

  if (!q->path->routes->active.version)
    return false;
  if (!w->service)
    return true;
  if (w->first_unseen && q->now_us < q->path->next_return_us)
    return false;
  return (!w->packet.ack || !is_busy (q->path, r, q->now_us))
         && has_room (q->path, r, q->now_us)
         && !waits_for_warm_up (q->path, r, q->now_us);
}

/* Returns true if a search of the queue may find something that the last one
   did not.  */
static bool
is_search_due (const struct am_path *p, uint64_t now_us)
{
  if (!p->queue.count && !p->queue.has_displaced)
    return false;
  return p->released || now_us - p->searched_us >= AM_PATH_DEQUEUE_US
         || p->searched_version != p->routes->active.version;
}

static struct am_decision
reject_without_room (struct am_path *p, const struct am_queued_syn *w,
                     uint64_t now_us)
{
  struct request r = { w->service, w->priority };
  struct am_admission a;

  measure_room (&a, p, r, now_us);
  return decide_without_room (p, r, &a, AM_VERDICT_RESET,
                              AM_REASON_OVERLOADED);
}

/* Decides on W, which has left the queue.  One that waited for the
   configuration has a service only now, and may have to wait for room as
   well.  Any other has waited as long as it may.  */
static struct am_decision
decide_dequeued (struct am_path *p, const struct am_queued_syn *w,
                 uint64_t now_us)
{
  struct am_decision d = open_flow (p, &w->packet, w, now_us);

  if (d.verdict != AM_VERDICT_WAIT)
    return d;
  if (!w->service && now_us < w->deadline_us)
    return wait (p, &w->packet, w->data, w->len, w->deadline_us, d, now_us);
  if (d.reason == AM_REASON_NO_ROOM)
    return reject_without_room (p, w, now_us);
  d.verdict = AM_VERDICT_RESET;
  return d;
}

bool
am_new_flow_dequeue (struct am_path *p, struct am_queued_syn *w,
                     struct am_decision *d, uint64_t now_us)
{
  struct queue_query query = { p, now_us };

  if (!is_search_due (p, now_us))
    return false;
  if (!am_syn_queue_take (&p->queue, now_us, may_leave, &query, w))
    {
      p->released = false;
      p->searched_us = now_us;
      p->searched_version = p->routes->active.version;
      return false;
    }
  *d = decide_dequeued (p, w, now_us);
  if (d->verdict != AM_VERDICT_WAIT)
    am_histogram_add (&p->wait_times, (now_us - w->enqueued_us) * 1000u);
  return true;
}
