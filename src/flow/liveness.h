/* Whether a target answers, from the packets of its flows alone.

   The VM sees only what callers send.  A caller that goes on after its SYN,
   or acknowledges more of an answer, has heard from the target: progress.  A
   SYN that draws no further packet, or is sent again, is silence.  */

#ifndef AM_FLOW_LIVENESS_H
#define AM_FLOW_LIVENESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "flow/target_table.h"

/* A caller goes on within about 10 ms of its SYN if the target answers.  */
#define AM_LIVENESS_SYN_TIMEOUT_US 60000u

/* Pause before a silent target is tried with a new flow; doubles with each
   failure up to the maximum.  */
#define AM_LIVENESS_RETRY_US 1000000u
#define AM_LIVENESS_RETRY_MAX_US 8000000u

/* A target counts as dead after this many unanswered packets, its peers'
   findings included, over at least AM_LIVENESS_FAILURE_SPAN_MIN_US: a link
   that is slow for a moment delays answers by less.  */
#define AM_LIVENESS_FAILURES_MIN 3
#define AM_LIVENESS_FAILURE_SPAN_MIN_US 350000u

/* With this many peers in the data centre at least one of them has to find the
   target silent too: a VM whose own link is full delays every packet.  */
#define AM_LIVENESS_CORROBORATION_PEERS 2

/* The last sign of life of a dead target is older than this, and the last
   unanswered packet is younger: old evidence proves nothing.  */
#define AM_LIVENESS_NO_PROGRESS_US 300000u
#define AM_LIVENESS_EVIDENCE_MAX_AGE_US 600000u

/* A data packet that comes again earlier than this is out of order: callers
   wait 200 ms before they send it again.  */
#define AM_LIVENESS_RETRANSMIT_MIN_US 150000u

/* Peers whose silence is enough to avoid a target of which this VM has heard
   nothing for AM_LIVENESS_NO_PROGRESS_US.  */
#define AM_LIVENESS_UNRESPONSIVE_PEERS_MIN 2

/* A new flow was sent to T.  */
void am_liveness_syn_sent (struct am_target *t, uint64_t now_us);

/* A caller has heard from T.  */
void am_liveness_progress (struct am_target *t, uint64_t now_us);

/* A caller has sent a packet again because T did not answer.  */
void am_liveness_unanswered (struct am_target *t, uint64_t now_us);

/* Returns true if T left a SYN without an answer and none of its flows has
   gone on since.  */
bool am_liveness_unresponsive (const struct am_target *t, uint64_t now_us);

/* Returns true if packets of several flows, seen here or by peers, found T
   silent over some time and the last one did so just now.  PEERS is the number
   of peers heard in the data centre.  */
bool am_liveness_failed (const struct am_target *t, size_t peers,
                         uint64_t now_us);

/* Returns true if of the targets in this VM's data centre more are silent than
   answer: the fault is then this VM's own, and proves nothing of them.  */
bool am_liveness_local_fault (const struct am_target_table *t,
                              uint64_t now_us);

/* Returns true if T may take a new flow: it is not silent, or it is time to
   try it again.  */
bool am_liveness_usable (const struct am_target *t, uint64_t now_us);

#endif
