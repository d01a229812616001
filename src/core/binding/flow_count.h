/* Count of the open flows that this forwarder issued, per upstream.

   Routing needs no flow state; the count only feeds the choice and the
   credits.  A flow leaves it at CLOSE, at a reset, or when none of its packets
   has come this way for AM_FLOW_COUNT_IDLE_US; a packet that comes later
   counts it again.  */

#ifndef AM_CORE_FLOW_COUNT_H
#define AM_CORE_FLOW_COUNT_H

#include "core/board.h"

/* With a ping a second sprayed over 7 entry VMs the issuer sees a flow every
   7 s; at 10 minutes a live flow is missed with probability below 1e-30, and
   with 146 entry VMs below 2 %.  */
#define AM_FLOW_COUNT_IDLE_US 600000000u

/* Set up and free the count of S, kept in S->binding_state of a service bound
   by ticket.  am_flow_count_init returns AM_OK or AM_E_MEMORY.  */
int am_flow_count_init (struct am_service *s);
void am_flow_count_finish (struct am_service *s);

/* Counts the flow of ticket SERIAL at U, or marks it as seen.  */
void am_flow_count_add (struct am_board *b, struct am_service *s,
                        struct am_upstream *u, uint64_t serial);

/* The flow of ticket SERIAL has ended.  */
void am_flow_count_remove (struct am_service *s, uint64_t serial);

/* U is about to be freed.  */
void am_flow_count_upstream_removed (struct am_service *s,
                                     const struct am_upstream *u);

/* A flow unseen for this time is not counted while the upstream reports fewer
   connections than are counted here: it was reset by a restart of the
   upstream, of which only the caller hears.  */
#define AM_FLOW_COUNT_RECONCILE_US 30000000u

/* Forgets flows not seen for a long time.  Looks once a second.  */
void am_flow_count_tick (struct am_board *b, struct am_service *s);

#endif
