/* Whether a target answers, from the packets of its flows alone.

   The VM sees only what callers send.  A caller that goes on after its SYN,
   or acknowledges more of an answer, has heard from the target: progress.  A
   SYN that draws no further packet, or is sent again, is silence.  */

#ifndef AM_FLOW_LIVENESS_H
#define AM_FLOW_LIVENESS_H

#include <stdbool.h>
#include <stdint.h>

#include "flow/target_table.h"

/* A caller goes on within about 10 ms of its SYN if the target answers.  */
#define AM_LIVENESS_SILENCE_US 60000u

/* Pause before a silent target is tried with a new flow; doubles with each
   failure up to the maximum.  */
#define AM_LIVENESS_RETRY_US 1000000u
#define AM_LIVENESS_RETRY_MAX_US 8000000u

/* A new flow was sent to T.  */
void am_liveness_asked (struct am_target *t, uint64_t now_us);

/* A caller has heard from T.  */
void am_liveness_progress (struct am_target *t, uint64_t now_us);

/* A caller has sent a packet again because T did not answer.  */
void am_liveness_failure (struct am_target *t, uint64_t now_us);

/* Returns true if T left a SYN without an answer and none of its flows has
   gone on since.  */
bool am_liveness_silent (const struct am_target *t, uint64_t now_us);

/* Returns true if T may take a new flow: it is not silent, or it is time to
   try it again.  */
bool am_liveness_usable (const struct am_target *t, uint64_t now_us);

#endif
