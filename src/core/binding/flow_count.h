/* Number of open flows per upstream whose tickets this forwarder issued.

   Packets are routed by their ticket, without flow state; the count is used
   only for the choice of an upstream and for quotas.  A flow is removed from
   it by CLOSE, by RESET, or when this entry VM received none of its packets
   for AM_FLOW_COUNT_IDLE_US; a later packet adds it again.  */

#ifndef AM_CORE_FLOW_COUNT_H
#define AM_CORE_FLOW_COUNT_H

#include "core/board.h"

/* With one ping a second distributed over 7 entry VMs, the issuer receives a
   packet of a flow every 7 s on average; in 10 minutes it receives none from
   a live flow with a probability below 1e-30, with 146 entry VMs below 2 %. */
#define AM_FLOW_COUNT_IDLE_US 600000000u

/* Allocate and free the flow count of S, which is the S->binding_state of a
   service with ticket binding.  am_flow_count_init returns AM_OK or
   AM_E_MEMORY.  */
int am_flow_count_init (struct am_service *s);
void am_flow_count_finish (struct am_service *s);

/* Counts the flow with ticket SERIAL at U, or renews its idle time if it is
   counted already.  Does nothing if memory is exhausted.  */
void am_flow_count_add (struct am_board *b, struct am_service *s,
                        struct am_upstream *u, uint64_t serial);

/* Removes the flow with ticket SERIAL, if it is counted.  */
void am_flow_count_remove (struct am_service *s, uint64_t serial);

/* Removes all flows at U.  To be called before U is freed.  */
void am_flow_count_upstream_removed (struct am_service *s,
                                     const struct am_upstream *u);

/* A flow that is idle for this time is removed if the upstream reports fewer
   connections than are counted here: a restart of the upstream resets its
   flows, and only the callers are notified of that.  */
#define AM_FLOW_COUNT_RECONCILE_US 30000000u

/* Removes idle flows.  May be called at every tick; checks at most once a
   second.  */
void am_flow_count_tick (struct am_board *b, struct am_service *s);

#endif
