/* Upstream choice: which upstream takes a new flow or request.

   A policy is a table of function pointers.  A candidate is active, not
   ejected, not avoided and below its credit; when every credit is used the
   result is AM_E_LIMIT, so that the caller can queue or borrow.  */

#ifndef AM_CORE_CHOICE_H
#define AM_CORE_CHOICE_H

#include "core/board.h"

/* Most upstreams that one choice looks at, which bounds the number of
   connections an entry VM holds.  With more, those of its subset are looked at
   (core/placement/subset.h); if none of them is free, those of the others with
   the highest rendezvous score for this entry VM.  */
#define AM_CANDIDATES_MAX 64

enum am_work
{
  AM_WORK_FLOW,
  AM_WORK_REQUEST,
};

struct am_choice_ops
{
  const char *name;
  /* Returns the chosen one of the N candidates, 1 to AM_CANDIDATES_MAX.  */
  struct am_upstream *(*pick) (struct am_board *b, struct am_service *s,
                               enum am_work work,
                               struct am_upstream *const *candidates, size_t n,
                               uint64_t key);
};

/* Returns the table of POLICY; AMARANTH__POLICY__POLICY_LOCAL for a value
   outside the list.  */
const struct am_choice_ops *am_choice_policy (Amaranth__Policy policy);

/* Chooses an upstream of S for WORK into *U.  EXCLUDE (may be NULL) is not
   chosen if there is another.  KEY identifies the flow for the hash policy.
   Returns AM_OK, AM_E_NO_UPSTREAM or AM_E_LIMIT.  */
int am_choice_pick (struct am_board *b, struct am_service *s,
                    enum am_work work, const struct am_upstream *exclude,
                    uint64_t key, struct am_upstream **u);

/* Health by own evidence.  am_health_ok: the upstream answered after
   ANSWER_US.  am_health_refused: it refused new work (back-off with jitter, 50
   ms doubling to 2 s).  am_health_failed: a connection failed or an answer
   timed out.  */
void am_health_ok (struct am_board *b, struct am_upstream *u,
                   uint64_t answer_us);
void am_health_refused (struct am_board *b, struct am_upstream *u);
void am_health_failed (struct am_board *b, struct am_upstream *u);

/* Returns the share of its full load that U may take now, 0.1 to 1, while it
   ramps up after joining.  */
double am_slow_start_factor (const struct am_board *b,
                             const struct am_upstream *u);

#endif
