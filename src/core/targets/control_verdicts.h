/* Health verdicts: upstreams ejected for all entry VMs.

   A forwarder's report makes this VM an observer of the upstreams it avoids.
   Evidence is gossiped, repeated every AM_EVIDENCE_REPEAT_US while it holds,
   and expires.  An upstream is ejected when AM_OBSERVERS_MIN live members
   report it failing, but never more than AM_EJECT_PERCENT_MAX of the active
   upstreams of a service in one data centre.  That is none of fewer than four:
   there each forwarder's own evidence decides alone.  */

#ifndef AM_CORE_CONTROL_VERDICTS_H
#define AM_CORE_CONTROL_VERDICTS_H

#include "core/control_board.h"

#define AM_OBSERVERS_MIN 2
#define AM_EJECT_PERCENT_MAX 30
#define AM_EVIDENCE_REPEAT_US (10 * AM_SECOND_US)
#define AM_EVIDENCE_LIFETIME_US (30 * AM_SECOND_US)

int am_verdicts_init (struct am_control *c, uint64_t serial);
void am_verdicts_finish (struct am_control *c);

/* Takes the evidence in the forwarder's report R.  */
void am_verdicts_apply_report (struct am_control *c,
                               const Amaranth__Report *r);

/* The forwarder has restarted: what it saw no longer counts.  */
void am_verdicts_withdraw_own (struct am_control *c);

/* Takes evidence of another observer.  */
void am_verdicts_apply_evidence (struct am_control *c,
                                 const Amaranth__UpstreamEvidence *e);

/* Fills OUT with up to ROOM evidence that still has to be sent and counts it
   as sent once.  Returns the number.  */
size_t am_verdicts_fill_gossip (struct am_control *c,
                                Amaranth__UpstreamEvidence *out, size_t room);

/* Expires evidence and decides anew.  */
void am_verdicts_tick (struct am_control *c);

#endif
