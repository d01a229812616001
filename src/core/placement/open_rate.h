/* Rate limit on OPEN packets, by caller address and service.

   The open_rate of a service record is the limit for all entry VMs together,
   in OPEN packets per second and caller address.  The network in front of the
   entry VMs distributes the OPEN packets of a caller over them, so each VM of
   the home set enforces a share with a token bucket, which holds the tokens of
   two seconds and starts full.  The share is 1.5 times an equal part, because
   the distribution is random, and at least AM_OPEN_SHARE_MIN per second,
   because the relative variance is larger for a small share.  Over all VMs a
   caller gets at most the larger of 1.5 x open_rate and AM_HOME_MAX x
   AM_OPEN_SHARE_MIN per second, and never more than AM_HOME_MAX x open_rate.
   */

#ifndef AM_CORE_OPEN_RATE_H
#define AM_CORE_OPEN_RATE_H

#include <uthash.h>

#include "core/board.h"

/* Minimum share of one entry VM in OPEN packets per second, unless open_rate
   is lower.  */
#define AM_OPEN_SHARE_MIN 4.0

/* Maximum number of token buckets, each for one caller address and service.
   When the table is full, the least recently used one is evicted.  */
#define AM_OPEN_CALLERS_MAX 8192

/* Table of token buckets.  */
struct am_open_rate
{
  struct am_open_bucket *buckets; /* hash table by service and address */
  struct am_list callers; /* the same buckets, least recently used first */
};

/* Set up an empty table, and free all buckets.  */
void am_open_rate_init (struct am_open_rate *t);
void am_open_rate_finish (struct am_open_rate *t);

/* Takes a token for one OPEN of the caller address IP (host byte order) to S
   at the time NOW_US (am_board.now_us; must not go back).  Returns AM_OK, or
   AM_E_RATE if the limit is exceeded or memory is exhausted.  */
int am_open_rate_take (struct am_open_rate *t, const struct am_service *s,
                       uint32_t ip, uint64_t now_us);

#endif
