/* Forwarding decision for each packet from a caller.

   The path owns its flow table and its SYN queue.  The target and route tables
   belong to the embedding program, which updates them from discovery and
   configuration.  The path reads no clock, uses no socket and allocates
   nothing but flows.

   Times are microseconds of the monotonic clock.  */

#ifndef AM_FLOW_PACKET_PATH_H
#define AM_FLOW_PACKET_PATH_H

#include <stdbool.h>
#include <stdint.h>

#include "base/metrics.h"
#include "base/rng.h"
#include "flow/evacuation.h"
#include "flow/flow_rate.h"
#include "flow/flow_table.h"
#include "flow/syn_queue.h"
#include "flow/packet.h"
#include "flow/remote_load.h"
#include "flow/route_table.h"
#include "flow/service_stats.h"
#include "flow/target_table.h"
#include "flow/warm_up.h"

/* A retransmitted SYN that is read earlier than this after the first one was
   forwarded was delayed in this VM's own receive queue: the target has had no
   time to answer.  */
#define AM_PATH_RETRANSMIT_MIN_US 120000u

/* Flows not seen for this time are removed from the flow table; twice the
   longest pause between the packets of a flow that targets allow today.  */
#define AM_PATH_FLOW_IDLE_US 6000000u

/* A caller abandons an attempt to open a flow this long after its first SYN,
   which it retransmits twice, 200 and 600 ms after the first transmission.  */
#define AM_PATH_OPEN_TIMEOUT_US 1400000u
#define AM_PATH_RETRANSMIT_1_US 200000u
#define AM_PATH_RETRANSMIT_2_US 600000u

/* Time that is left of an attempt when its SYN leaves the queue: enough for
   the round trip to the target.  */
#define AM_PATH_OPEN_MARGIN_US 150000u

/* Part of its latency objective that a first SYN may wait for room: what is
   rejected after it can still be tried again in time.  */
#define AM_PATH_WAIT_SHARE 0.2

/* The queue is not searched again before this time unless a request of this VM
   has ended.  */
#define AM_PATH_DEQUEUE_US 1000u

/* Queued SYNs that were retransmitted wait while am_placement_load_per_slot of
   their service is above this: one more request would have to queue at its
   target.  */
#define AM_PATH_LOAD_PER_SLOT_MAX 1.0

/* A caller that has not been seen for this time is assumed not to be waiting
   for an answer.  Its flow is not reset when its target has failed but is
   still registered, since it may survive a network partition.  */
#define AM_PATH_CALLER_WAIT_MAX_US 5000000u

enum am_packet_verdict
{
  AM_VERDICT_FORWARD,
  AM_VERDICT_RESET,
  AM_VERDICT_DROP,
  AM_VERDICT_WAIT, /* queued; am_path_dequeue returns it later */
};

/* Reasons for a decision, X (symbol, name), with their stable short names:

   PLACED            a target was selected for a new flow
   PLACED_ELSEWHERE  the same, a target in another data centre
   PLACED_AGAIN      a target was selected for a retransmitted SYN whose first
                     transmission this VM had queued
   SAME_TARGET       retransmitted SYN, forwarded to the same target
   SYN_UNANSWERED    the target of a retransmitted SYN has not answered: it may
                     have failed or be full
   FIRST_SYN_UNSEEN  retransmitted SYN whose first transmission this VM has not
                     received: another VM may have forwarded it
   ALREADY_OPEN      SYN of a flow that has opened: it was read late
   TICKET            packet of a flow whose ticket identifies the target; also
                     any RST, which is dropped if its target is unknown
   NO_CONFIGURATION  no configuration is known yet
   EVACUATED         the data centre of the target of a retransmitted SYN, or
                     of each target that could accept a new flow, is evacuated
   FULL              each target that could accept a new flow holds all the
                     flows that it can
   WARMING_UP        each target that could accept a new flow warms up and has
                     reached its limit
   BUSY              retransmitted SYN that waits until slots of the service
                     are free
   NO_ROOM           this VM has its share of requests in progress, or other
                     SYNs wait for room
   OVERLOADED        there is no room for the SYN in the time that it may wait
   NO_ROUTE          the destination address is not configured
   NO_TARGET         no target of the service accepts new flows
   NO_TICKET         the packet has no ticket: its flow was never open
   UNKNOWN_TICKET    the ticket is that of no known target
   TARGET_REMOVED    the target has been removed
   ORPHANED          the caller waits for a target that was removed or failed
   TARGET_FAILED     the target has failed: it does not answer  */
#define AM_REASON_LIST(X)                            \
  X (AM_REASON_PLACED, "placed")                     \
  X (AM_REASON_PLACED_ELSEWHERE, "placed_elsewhere") \
  X (AM_REASON_PLACED_AGAIN, "placed_again")         \
  X (AM_REASON_SAME_TARGET, "same_target")           \
  X (AM_REASON_SYN_UNANSWERED, "syn_unanswered")     \
  X (AM_REASON_FIRST_SYN_UNSEEN, "first_syn_unseen") \
  X (AM_REASON_ALREADY_OPEN, "already_open")         \
  X (AM_REASON_TICKET, "ticket")                     \
  X (AM_REASON_NO_CONFIGURATION, "no_configuration") \
  X (AM_REASON_EVACUATED, "evacuated")               \
  X (AM_REASON_FULL, "full")                         \
  X (AM_REASON_WARMING_UP, "warming_up")             \
  X (AM_REASON_BUSY, "busy")                         \
  X (AM_REASON_NO_ROOM, "no_room")                   \
  X (AM_REASON_OVERLOADED, "overloaded")             \
  X (AM_REASON_NO_ROUTE, "no_route")                 \
  X (AM_REASON_NO_TARGET, "no_target")               \
  X (AM_REASON_NO_TICKET, "no_ticket")               \
  X (AM_REASON_UNKNOWN_TICKET, "unknown_ticket")     \
  X (AM_REASON_TARGET_REMOVED, "target_gone")        \
  X (AM_REASON_ORPHANED, "stranded")                 \
  X (AM_REASON_TARGET_FAILED, "target_silent")

enum am_reason
{
#define AM_REASON_ENUM(symbol, name) symbol,
  AM_REASON_LIST (AM_REASON_ENUM)
#undef AM_REASON_ENUM
      AM_REASON_COUNT
};

/* Returns the stable short name of R, for logs and metrics, or "unknown" if R
   is out of range.  */
const char *am_reason_name (enum am_reason r);

struct am_decision
{
  enum am_packet_verdict verdict;
  enum am_reason reason;
  const struct am_target *target; /* to forward to; otherwise the target of the
                                     packet, if known, or NULL */
  /* Of AM_REASON_NO_ROOM and AM_REASON_OVERLOADED: */
  uint32_t priority; /* of the route */
  double requests;   /* that this VM has in progress for the service */
  double limit;      /* that it may have */
};

struct am_path
{
  struct am_target_table *targets;          /* not owned */
  struct am_route_table *routes;            /* not owned */
  const struct am_evacuations *evacuations; /* not owned; set by the embedding
                                               program, NULL: none */
  const struct am_warm_up *warm_up;         /* likewise; NULL: no limits */
  const struct am_remote_loads *remote;     /* likewise; NULL: no reports */
  struct am_flow_table flows;
  struct am_syn_queue queue;
  struct am_histogram open_times; /* ns, from SYN forwarded to the
                                     caller's next packet */
  struct am_histogram wait_times; /* ns, of SYNs in the queue */
  struct am_rng rng;
  uint32_t data_centre;           /* of this VM; hash by am_hash_name */
  uint64_t liveness_changes;      /* times that a target was detected as
                                   unresponsive, or responsive again */
  struct am_flow_rate placements; /* flows that this VM opens */
  struct am_service_stats service_stats;
  /* SYNs that had to wait for room, and that were rejected for lack of it, by
     priority of their routes.  */
  uint64_t waited[AM_ROUTE_PRIORITY_COUNT];
  uint64_t rejected[AM_ROUTE_PRIORITY_COUNT];
  bool released; /* a request of this VM ended since the last search of
                    the queue */
  uint64_t next_return_us;   /* until then no queued SYN is reset for
                                AM_REASON_FIRST_SYN_UNSEEN */
  uint64_t searched_us;      /* last search of the queue that found nothing */
  uint64_t searched_version; /* of the configuration then */
  /* Set by the embedding program: live peers in the data centre, and the time
     since the load report of each, added up.  */
  size_t peers;
  uint64_t report_age_us;
  uint64_t crossing_cost_us; /* set by the embedding program: what a flow to
                                another data centre costs, as time that a
                                caller would rather wait; 0: not stated */
  bool targets_complete;     /* set by the embedding program: the replica
                                is authoritative, so a target that is missing
                                from the target table has been removed */
};

/* Initializes P without flows.  TARGETS and ROUTES must outlive P.
   DATA_CENTRE, that of this VM, hashed by am_hash_name, is also set in
   TARGETS.  SEED is for breaking ties between targets.  */
void am_path_init (struct am_path *p, struct am_target_table *targets,
                   struct am_route_table *routes, uint32_t data_centre,
                   uint64_t seed);

/* Frees the flows.  The targets must still exist.  */
void am_path_finish (struct am_path *p);

/* Decides whether PACKET is forwarded, reset, dropped or queued, and updates
   the flow, the load and the liveness of its target.  DATA is its datagram,
   LEN bytes, which is copied if the verdict is AM_VERDICT_WAIT.  */
struct am_decision am_path_process (struct am_path *p,
                                    const struct am_packet *packet,
                                    const uint8_t *data, size_t len,
                                    uint64_t now_us);

/* Takes one SYN that need not wait any longer from the queue into *W and
   stores the decision on it in *D; AM_VERDICT_WAIT if it waited for the
   configuration and has to wait for room now.  Returns false if there is none.
   To be called after each packet and on a timer, each time until it returns
   false.  */
bool am_path_dequeue (struct am_path *p, struct am_queued_syn *w,
                      struct am_decision *d, uint64_t now_us);

/* Removes one orphaned flow: its target has been removed or has failed while
   the caller waits for an answer.  Such a caller sends no packet that could be
   answered with a reset, so it would wait until its deadline.  Stores in
   *RESET the packet to answer with a reset.  Returns false if there is no
   orphaned flow, or while targets_complete is false.  To be called on a timer,
   each time until it returns false.  */
bool am_path_next_orphan (struct am_path *p, struct am_packet *reset,
                          uint64_t now_us);

/* Removes the flows that were idle for AM_PATH_FLOW_IDLE_US.  To be called
   about once a second.  */
void am_path_expire (struct am_path *p, uint64_t now_us);

#endif
