/* Bound on the OPEN of one caller address to one service.

   The record's open_rate holds for the fleet.  The fabric spreads a caller's
   OPEN over the entry VMs, so each VM of the home set enforces a share: half
   as much again as an even part, because the spread is random, and at least
   AM_OPEN_SHARE_MIN a second, because a small share meets chance more often.
   A caller gets at most the larger of 1.5 x open_rate and AM_HOME_MAX x
   AM_OPEN_SHARE_MIN a second, and never more than AM_HOME_MAX x open_rate.  */

#ifndef AM_CORE_OPEN_RATE_H
#define AM_CORE_OPEN_RATE_H

#include <uthash.h>

#include "core/board.h"

/* Least share of one entry VM, OPEN a second, unless open_rate is lower.  */
#define AM_OPEN_SHARE_MIN 4.0

/* Callers whose rate is kept.  A full table forgets the one used longest
   ago.  */
#define AM_OPEN_CALLERS_MAX 8192

struct am_open_rate
{
  struct am_open_bucket *buckets;
  struct am_list callers; /* least recently used first */
};

void am_open_rate_init (struct am_open_rate *t);
void am_open_rate_finish (struct am_open_rate *t);

/* Takes one OPEN of the caller address IP to S.  Returns AM_OK or
   AM_E_RATE.  */
int am_open_rate_take (struct am_open_rate *t, const struct am_service *s,
                       uint32_t ip, uint64_t now_us);

#endif
