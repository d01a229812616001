/* Passive failure detection: whether a target responds, inferred from the
   packets of its flows alone.

   The VM sees only what callers send.  A caller that continues after its SYN,
   or acknowledges more of a response, has received packets from the target:
   this is progress.  A SYN that is followed by no further packet, or that is
   retransmitted, was not answered; so was data that is retransmitted.

   Two of these signs are those of targets that work, too.  One that holds all
   the flows it can answers no SYN, but serves the flows that it has.  One that
   takes long over a request acknowledges its data only once it is
   retransmitted, as it acknowledges every second packet.  So a SYN, and data
   that is retransmitted once, only keep new flows away; that a target has
   failed, and its flows with it, is concluded from data that is retransmitted
   again.  "Unanswered data" below is such data.

   All times are microseconds of the monotonic clock.  */

#ifndef AM_FLOW_LIVENESS_H
#define AM_FLOW_LIVENESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "flow/target_table.h"

/* A SYN counts as unanswered after this time.  If the target responds, the
   caller continues within about 10 ms of its SYN.  */
#define AM_LIVENESS_SYN_TIMEOUT_US 60000u

/* Delay before an unresponsive target is tried with a new flow; doubles with
   each unanswered packet after the first, up to the maximum.  */
#define AM_LIVENESS_RETRY_US 1000000u
#define AM_LIVENESS_RETRY_MAX_US 8000000u

/* A target counts as failed only once the number of its unanswered data
   packets plus the number of peers that report such packets is at least
   AM_LIVENESS_UNANSWERED_MIN, and the first retransmission of the first one is
   at least AM_LIVENESS_UNANSWERED_SPAN_MIN_US ago.  A link that is briefly
   congested delays responses by less than that.  In a large data centre each
   VM has few flows at a target, and each caller would wait for its second
   retransmission; so the first report of a peer counts as the first packet if
   at least AM_LIVENESS_REPORTING_PEERS_MIN peers report such packets.  */
#define AM_LIVENESS_UNANSWERED_MIN 3
#define AM_LIVENESS_UNANSWERED_SPAN_MIN_US 350000u

/* With at least this many peers in the data centre, one of them must report
   unanswered data too: a VM whose own link is saturated delays
   every packet.  */
#define AM_LIVENESS_CORROBORATION_PEERS 2

/* A target counts as failed only if its last progress is older than
   AM_LIVENESS_NO_PROGRESS_US and its last unanswered data is younger than
   AM_LIVENESS_EVIDENCE_MAX_AGE_US: old observations are not conclusive.  */
#define AM_LIVENESS_NO_PROGRESS_US 300000u
#define AM_LIVENESS_EVIDENCE_MAX_AGE_US 600000u

/* A data packet that is repeated sooner than this was reordered, not
   retransmitted: callers wait 200 ms before they retransmit.  */
#define AM_LIVENESS_RETRANSMIT_MIN_US 150000u

/* A target that at least this many peers report as unresponsive is avoided if
   this VM has seen no progress of it for AM_LIVENESS_NO_PROGRESS_US.  */
#define AM_LIVENESS_REPORTING_PEERS_MIN 2

/* Records that the SYN of a new flow was forwarded to T.  If this was a retry
   of an unresponsive target, postpones the next retry.  */
void am_liveness_syn_sent (struct am_target *t, uint64_t now_us);

/* Records that a caller has received packets from T; T counts as responsive
   again.  */
void am_liveness_progress (struct am_target *t, uint64_t now_us);

/* Records that a caller has retransmitted a SYN, or data for the first time,
   that T did not answer.  */
void am_liveness_unanswered (struct am_target *t, uint64_t now_us);

/* Records that a caller has retransmitted data again that T did not answer,
   for the first time at SINCE_US.  */
void am_liveness_data_unanswered (struct am_target *t, uint64_t since_us,
                                  uint64_t now_us);

/* Returns true if T has not answered a SYN or a retransmitted packet and none
   of its flows has made progress since.  */
bool am_liveness_unresponsive (const struct am_target *t, uint64_t now_us);

/* Returns true if T has failed, by the thresholds above: enough unanswered
   data over a long enough time, the last of it recent, no recent progress and,
   with enough PEERS, corroboration by a peer.  At least one unanswered data
   packet must have been seen here.  PEERS is the number of live
   peers (other entry VMs) in this data centre.  */
bool am_liveness_failed (const struct am_target *t, size_t peers,
                         uint64_t now_us);

/* Returns true if, within AM_LIVENESS_EVIDENCE_MAX_AGE_US, more targets of
   this VM's data centre had unanswered packets than made progress.  The fault
   is then assumed to be local to this VM, and its observations are not
   conclusive about the targets.  */
bool am_liveness_local_fault (const struct am_target_table *t,
                              uint64_t now_us);

/* Returns true if a new flow may be sent to T: it is responsive, or its next
   retry is due.  False if enough peers report it as unresponsive and this VM
   has seen no recent progress.  */
bool am_liveness_usable (const struct am_target *t, uint64_t now_us);

#endif
