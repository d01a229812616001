/* Gossip datagrams: the sender's own entry, the digest of its configuration,
   and the updates and evidence that fit the datagram and the budget.  */

#ifndef AM_CORE_CONTROL_GOSSIP_H
#define AM_CORE_CONTROL_GOSSIP_H

#include "core/control_board.h"

/* Sends one message of KIND to TO.  ABOUT (may be NULL) is told first, outside
   of the budget; TARGET_ID may be 0.  */
void am_gossip_send (struct am_control *c, struct am_address to,
                     Amaranth__GossipKind kind, uint32_t sequence,
                     uint32_t target_id, const struct am_vm *about);

/* Adds what the budget of updates has gained since the last call.  */
void am_gossip_refill_budget (struct am_control *c);

#endif
