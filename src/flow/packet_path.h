/* What becomes of one packet of a caller.

   State and owner: the path owns its flow table; the target and route tables
   belong to the driver and are changed by discovery and configuration.  No
   clock, socket or allocation but that of flows.  */

#ifndef AM_FLOW_PACKET_PATH_H
#define AM_FLOW_PACKET_PATH_H

#include <stdbool.h>
#include <stdint.h>

#include "base/metrics.h"
#include "base/rng.h"
#include "flow/flow_table.h"
#include "flow/open_queue.h"
#include "flow/packet.h"
#include "flow/route_table.h"
#include "flow/target_table.h"

/* A copy of a SYN that comes earlier than this after the first was handed on
   waited in this VM's own queue: the target had no time to answer.  */
#define AM_PATH_RETRANSMIT_MIN_US 120000u

/* Flows not seen for this time are forgotten; twice the longest pause that
   targets allow today.  */
#define AM_PATH_FLOW_IDLE_US 6000000u

/* A caller gives up an attempt to open a flow this long after its first SYN;
   copies come 200 and 600 ms after it.  */
#define AM_PATH_OPEN_TIMEOUT_US 1400000u
#define AM_PATH_RETRANSMIT_1_US 200000u
#define AM_PATH_RETRANSMIT_2_US 600000u

/* Left of an attempt when its SYN goes on: enough for the way to the target
   and back.  */
#define AM_PATH_OPEN_MARGIN_US 150000u

/* Copies of SYNs wait while more requests than this are in progress a slot:
   one more would have to queue at its target.  */
#define AM_PATH_LOAD_PER_SLOT_MAX 1.0

/* A caller not seen for this time does not wait for an answer of a target that
   is dead but still registered; its flow may outlast a cut.  */
#define AM_PATH_CALLER_WAIT_MAX_US 5000000u

enum am_verdict
{
  AM_VERDICT_FORWARD,
  AM_VERDICT_RESET,
  AM_VERDICT_DROP,
  AM_VERDICT_WAIT, /* the path keeps it and brings it back */
};

/* X (symbol, name)  */
#define AM_REASON_LIST(X)                                                     \
  X (AM_REASON_PLACED, "placed")             /* new flow */                   \
  X (AM_REASON_PLACED_AGAIN, "placed_again") /* target did not answer */      \
  X (AM_REASON_SAME_TARGET, "same_target")   /* copy of a SYN */              \
  X (AM_REASON_TICKET, "ticket")             /* packet of a flow */           \
  X (AM_REASON_NO_CONFIGURATION, "no_configuration") /* none known yet */     \
  X (AM_REASON_BUSY, "busy")                     /* all slots are in use */   \
  X (AM_REASON_NO_ROUTE, "no_route")             /* address not configured */ \
  X (AM_REASON_NO_TARGET, "no_target")           /* no target takes flows */  \
  X (AM_REASON_NO_TICKET, "no_ticket")           /* flow was never open */    \
  X (AM_REASON_UNKNOWN_TICKET, "unknown_ticket") /* target is not known */    \
  X (AM_REASON_TARGET_REMOVED, "target_gone")    /* target has ended */       \
  X (AM_REASON_ORPHANED, "stranded") /* caller waits for a lost target */     \
  X (AM_REASON_TARGET_FAILED, "target_silent") /* target does not answer */

enum am_reason
{
#define AM_REASON_ENUM(symbol, name) symbol,
  AM_REASON_LIST (AM_REASON_ENUM)
#undef AM_REASON_ENUM
      AM_REASON_COUNT
};

/* Returns the stable short name of R.  */
const char *am_reason_name (enum am_reason r);

struct am_decision
{
  enum am_verdict verdict;
  enum am_reason reason;
  const struct am_target *target; /* of FORWARD; else what is known or NULL */
};

struct am_path
{
  struct am_target_table *targets; /* not owned */
  struct am_route_table *routes;   /* not owned */
  struct am_flow_table flows;
  struct am_open_queue queue;
  struct am_histogram open_times; /* SYN handed on to the caller's next
                                     packet */
  struct am_histogram wait_times; /* of SYNs in the queue */
  struct am_rng rng;
  uint32_t data_centre;  /* of this VM, am_hash_name */
  uint64_t detections;   /* times that a target was found silent */
  size_t peers;          /* heard in the data centre; set by the driver */
  bool targets_complete; /* set by the driver: what is missing from the target
                   table has ended */
};

void am_path_init (struct am_path *p, struct am_target_table *targets,
                   struct am_route_table *routes, uint32_t data_centre,
                   uint64_t seed);
void am_path_finish (struct am_path *p);

/* Decides what becomes of PACKET, whose LEN bytes are DATA, and notes it as
   evidence.  */
struct am_decision am_path_process (struct am_path *p,
                                    const struct am_packet *packet,
                                    const uint8_t *data, size_t len,
                                    uint64_t now_us);

/* Brings back a packet that has waited and decides what becomes of it; to be
   called until it returns false, after packets and at a timer.  */
bool am_path_dequeue (struct am_path *p, struct am_queued_syn *w,
                      struct am_decision *d, uint64_t now_us);

/* Takes one flow that waits for a target which has ended or is dead: a caller
   that waits for an answer sends nothing that could be reset, and waited for
   its deadline.  RESET gets the packet to answer with a reset.  Returns false
   if there is none; to be called at a timer until then.  */
bool am_path_next_orphan (struct am_path *p, struct am_packet *reset,
                          uint64_t now_us);

/* Forgets idle flows.  To be called about once a second.  */
void am_path_tick (struct am_path *p, uint64_t now_us);

#endif
