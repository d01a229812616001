/* Gossip datagrams.

   Each carries the sender's own record in the membership table
   (core/membership/control_members.h), the digest of its configuration and, as
   far as AM_GOSSIP_MAX and the byte budget of updates allow, queued membership
   updates and health evidence.  */

#ifndef AM_CORE_CONTROL_GOSSIP_H
#define AM_CORE_CONTROL_GOSSIP_H

#include "core/control_board.h"

/* Sends one message of KIND to TO.  The record of ABOUT, unless NULL,
   precedes all other updates and is not charged to the byte budget.  TARGET_ID
   is the member that TO is to ping (PING_REQUEST), or that answered the PING
   which this VM sent for TO (ACK); otherwise 0.  */
void am_gossip_send (struct am_control *c, struct am_address to,
                     Amaranth__GossipKind kind, uint32_t sequence,
                     uint32_t target_id, const struct am_vm *about);

/* Adds the bytes accrued since the last call to the byte budget of updates, a
   token bucket.  */
void am_gossip_refill_budget (struct am_control *c);

#endif
