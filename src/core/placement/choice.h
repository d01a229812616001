/* Upstream selection: which upstream serves a new flow or request.

   A balancing policy is a table of function pointers.  An upstream is a
   candidate if it is active, its address is validated, it is neither ejected
   nor avoided because of failures, and this VM's quota of it is not used up.
   If only quotas stand in the way, the result is AM_E_LIMIT, so that the
   caller can queue the request or request a slot lease.  */

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
  AM_WORK_FLOW,    /* counts against the quota of connections */
  AM_WORK_REQUEST, /* counts against the quota of slots */
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
   NULL) is selected only if there is no other.  Upstreams that report draining
   are selected only if there is no other that may serve.  KEY identifies the
   flow or request for the hash policy.  The caller counts the work in U->use.
   Returns AM_OK, AM_E_NO_UPSTREAM if no upstream may serve, or AM_E_LIMIT if
   those that may have no quota left; *U is then unchanged.  */
int am_choice_pick (struct am_board *b, struct am_service *s,
                    enum am_work work, const struct am_upstream *exclude,
                    uint64_t key, struct am_upstream **u);

/* Passive health checks: record the outcome of an exchange with U.

   am_health_ok: U answered after ANSWER_US microseconds.  Resets the count of
   consecutive failures.

   am_health_refused: U refused new work.  U gets no new work for a back-off
   with jitter, 50 ms doubling to 2 s.

   am_health_failed: a connection to U failed or a response timed out.  U gets
   no new work for 250 ms, doubled with each consecutive failure to 5 s, with
   jitter.  */
void am_health_ok (struct am_board *b, struct am_upstream *u,
                   uint64_t answer_us);
void am_health_refused (struct am_board *b, struct am_upstream *u);
void am_health_failed (struct am_board *b, struct am_upstream *u);

/* Returns the fraction of its full load that U may take now: 0.1 when it has
   just joined, rising linearly to 1 over the slow start period of its service.
 */
double am_slow_start_factor (const struct am_board *b,
                             const struct am_upstream *u);

#endif
