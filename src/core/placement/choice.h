/* Upstream selection: which upstream serves a new flow or request.

   A balancing policy is a table of function pointers.  An upstream is eligible
   if it is active, its address is validated, it is not ejected, and it is not
   avoided after a failure or refusal (am_health_failed, am_health_refused).
   An eligible upstream is a candidate if this VM's quota of it is not used up,
   that is, the part of its slots or connections that this VM may use
   (core/lending/quota.h).  If there are eligible upstreams but no candidate,
   the result is AM_E_LIMIT: a request can then wait in the queue, or this VM
   can request a lease of slots from another VM.  */

#ifndef AM_CORE_CHOICE_H
#define AM_CORE_CHOICE_H

#include "core/board.h"

/* Maximum number of upstreams among which one selection is made.  It bounds
   the connections that an entry VM holds.  If there are more candidates, only
   those in the VM's subset are considered (core/placement/subset.h); if the
   subset has no candidate, those with the highest rendezvous score for this
   VM.  */
#define AM_CANDIDATES_MAX 64

/* What the upstream is selected for.  */
enum am_work
{
  AM_WORK_FLOW,    /* counts as one connection against the quota */
  AM_WORK_REQUEST, /* counts as one slot against the quota */
};

struct am_choice_ops
{
  const char *name; /* as in decision log lines */

  /* Returns one of the N candidates; N is 1 to AM_CANDIDATES_MAX.  KEY is that
     of am_choice_pick.  */
  struct am_upstream *(*pick) (struct am_board *b, struct am_service *s,
                               enum am_work work,
                               struct am_upstream *const *candidates, size_t n,
                               uint64_t key);
};

/* Returns the table of POLICY, or that of AMARANTH__POLICY__POLICY_LOCAL if
   POLICY is not a known value.  The table is static.  */
const struct am_choice_ops *am_choice_policy (Amaranth__Policy policy);

/* Selects an upstream of S for WORK and stores it in *U.  EXCLUDE (may be
   NULL) is selected only if there is no other candidate.  Upstreams that
   report draining are selected only if no other upstream is eligible.  KEY
   identifies the flow or request for the hash policy.  This does not count the
   work in (*U)->use: that is left to the calling code, in `opening` for a flow
   and in `busy` for a request.  Returns AM_OK, AM_E_NO_UPSTREAM if no upstream
   is eligible, or AM_E_LIMIT if the eligible ones have no quota left or, for a
   request, are paced during slow start; *U is then unchanged.  */
int am_choice_pick (struct am_board *b, struct am_service *s,
                    enum am_work work, const struct am_upstream *exclude,
                    uint64_t key, struct am_upstream **u);

/* Passive health checks: record the outcome of an exchange with U.  All
   periods have a jitter of plus or minus a quarter.

   am_health_ok: U answered after ANSWER_US microseconds.  Resets the count of
   consecutive failures.  Does not end a period in which U is avoided.

   am_health_refused: U refused new work.  U is avoided, that is, gets no new
   work, for 50 ms, doubled with each further refusal up to 2 s, until it
   answers after the end of such a period.  Further refusals during the period
   do not lengthen it.

   am_health_failed: a connection to U failed, or an answer to a request, OPEN
   or probe timed out.  U is avoided for 250 ms, doubled with each consecutive
   failure up to 5 s.  */
void am_health_ok (struct am_board *b, struct am_upstream *u,
                   uint64_t answer_us);
void am_health_refused (struct am_board *b, struct am_upstream *u);
void am_health_failed (struct am_board *b, struct am_upstream *u);

/* Returns the fraction of its full load that U may take now: 0.1 when it has
   just joined, rising linearly to 1 over the slow start period of its service;
   always 1 if that period is 0 or the time of joining is not known.  */
double am_slow_start_factor (const struct am_board *b,
                             const struct am_upstream *u);

#endif
