/* The part of a service's upstreams that one entry VM uses if there are more
   than AM_CANDIDATES_MAX.

   Every home VM computes the same table: upstreams in an order of their ids'
   hashes, home VMs by id, and each upstream goes to as many consecutive home
   VMs as the bound allows, beginning where the one before ended.  So every
   upstream is used by the same number of home VMs, and their shares differ by
   at most one upstream.  Independent choices by rendezvous of VM and upstream
   gave 1 to 7 of 7 VMs to each of 100 upstreams, and 1.55 times the mean of
   flows to the fullest.  */

#ifndef AM_CORE_SUBSET_H
#define AM_CORE_SUBSET_H

#include "core/board.h"

/* Sets am_upstream.in_subset of the upstreams of S.  Does nothing but clear it
   if one entry VM may use all active ones.  */
void am_subset_recompute (struct am_board *b, struct am_service *s);

#endif
