/* Health verdicts: outlier ejection of upstreams for all entry VMs.

   Evidence is the observation of one entry VM, the observer, that an upstream
   is or is no longer failing.  An upstream is failing for an observer while
   the observer's own forwarder avoids it (core/placement/choice.h), according
   to the Amaranth__Report that the forwarder sends.  Evidence is gossiped to
   the other entry VMs, repeated every AM_EVIDENCE_REPEAT_US while the upstream
   keeps failing, and expires after AM_EVIDENCE_LIFETIME_US.

   An upstream is ejected for all VMs (its verdict) while at least
   AM_OBSERVERS_MIN live observers have evidence that it is failing, but never
   more than AM_EJECT_PERCENT_MAX of the active upstreams of a service in one
   data centre.  With fewer than four upstreams none is ejected; each forwarder
   then relies on its own observations.  */

#ifndef AM_CORE_CONTROL_VERDICTS_H
#define AM_CORE_CONTROL_VERDICTS_H

#include "core/control_board.h"

/* Number of observers that must agree on a failing upstream.  */
#define AM_OBSERVERS_MIN 2

/* Maximum percentage of ejected upstreams, per service and data centre.  */
#define AM_EJECT_PERCENT_MAX 30

/* Interval at which an observer repeats its evidence, and the time after which
   evidence that was not repeated expires.  */
#define AM_EVIDENCE_REPEAT_US (10 * AM_SECOND_US)
#define AM_EVIDENCE_LIFETIME_US (30 * AM_SECOND_US)

/* Sets up C->verdicts.  Own evidence is numbered from SERIAL + 1, in the order
   of observation; SERIAL must not be lower than numbers that this VM used in
   an earlier run, or its peers ignore the evidence as old.  (Serials of
   tickets are another sequence.)  Always returns AM_OK.  */
int am_verdicts_init (struct am_control *c, uint64_t serial);

/* Frees the evidence and the verdicts.  */
void am_verdicts_finish (struct am_control *c);

/* Updates own evidence from the report R of this VM's forwarder.  Evidence on
   upstreams that R does not list is left unchanged.  */
void am_verdicts_apply_report (struct am_control *c,
                               const Amaranth__Report *r);

/* Withdraws all own evidence, after a restart of the forwarder.  */
void am_verdicts_withdraw_own (struct am_control *c);

/* Applies evidence of another observer, unless it is not newer than the
   evidence known from that observer.  */
void am_verdicts_apply_evidence (struct am_control *c,
                                 const Amaranth__UpstreamEvidence *e);

/* Fills OUT with up to ROOM items of evidence that have been transmitted fewer
   times than am_members_transmit_limit allows, most recently updated first,
   and counts each as transmitted once.  The items need not be freed.  Returns
   their number.  */
size_t am_verdicts_fill_gossip (struct am_control *c,
                                Amaranth__UpstreamEvidence *out, size_t room);

/* Expires evidence and recomputes the verdicts if anything has changed.  To be
   called periodically.  */
void am_verdicts_tick (struct am_control *c);

#endif
