/* Credits: the share of each upstream's slots and connections that this entry
   VM may use, and lending of idle slots between peers.

   Shares over the home set of the service differ by at most one, and their sum
   never exceeds the limit while views agree.

   Split.  Each home VM gets the whole part of slots / VMs of every upstream.
   Each unit that remains goes to the VM with the highest rendezvous score for
   the upstream that still has room, where the room is the average over the
   service, rounded down, and one more for as many VMs as the sum needs.  A
   last step moves units until the sums differ by at most one.  Connections are
   split the same way.  Of 7 VMs and 15 upstreams of 2 slots a vanished member
   moves 8 % of the other members' slots; a rotation by index moves 88 %.

   Request shares.  With 30 slots and 7 VMs some have 4 and some 5, and an
   upstream whose slots belong to VMs with few is busier.  Each VM works out
   how all of them should spread equal numbers of requests over their slots so
   that every upstream gets its part, by scaling rows and columns in turn, and
   follows its own row.

   Hold-down.  When a member leaves the home set, the old split stays in force
   for AM_QUOTA_HOLD_DOWN_US, so that its requests can end before others take
   its slots.  A home set that only grew is taken at once.

   Lending.  Body of AM_PEER_CREDIT, big endian:

     offset size field
     0      1    operation (enum am_slot_lease_op)
     1      1    count of items
     2      2    ASK: slots wanted; LEND: validity in milliseconds
     4      4    service id
     8      4    number of the ASK; in a LEND that of the ASK it answers
     12     2    idle slots that the sender keeps
     14     2    ASK: 1 if the owner of the requests (core/ownership/owned.h)
   asks, who wants its loans renewed, else 0; LEND: how many items, the last
   ones, are loans that were renewed 16     8n   items: loan id (4), upstream
   id (4)

   ASK goes to one peer; LEND answers it with 0 or more slots.  RETURN gives
   loans back and is repeated until RETURNED confirms them.  A renewal counts
   its time as a new loan does.  A renewed loan that the borrower does not hold
   is given back, never taken: its RETURN may have overtaken the LEND.

   Both sides count from their own clock.  The borrower begins work on a loan
   only until the sending of its ASK plus the validity; since the lender
   handled that ASK later, its count ends later.  Work that is still running
   then keeps the loan.  The lender takes a slot back on RETURN, when the
   borrower's process is gone, or when validity, the longest deadline of the
   service and the grace of a late answer have passed; by then no request sent
   on the loan can be running.  */

#ifndef AM_CORE_CREDIT_H
#define AM_CORE_CREDIT_H

#include "core/board.h"

/* How long a vanished member's share is left alone.  */
#define AM_QUOTA_HOLD_DOWN_US 2000000u

enum am_slot_lease_op
{
  AM_SLOT_LEASE_REQUEST = 1,
  AM_SLOT_LEASE_GRANT = 2,
  AM_SLOT_LEASE_RELEASE = 3,
  AM_SLOT_LEASE_RELEASE_ACK = 4,
};

/* Recomputes the shares of every service after a change of members or
   upstreams.  */
void am_quota_recompute (struct am_board *b);

/* The same for S alone.  */
void am_quota_recompute_service (struct am_board *b, struct am_service *s);

/* Splits the services anew whose new home set has lasted long enough.  */
void am_quota_apply_due (struct am_board *b);

/* Returns how many requests may be in flight at U: own and borrowed slots
   without those lent.  */
uint32_t am_quota_slots (const struct am_upstream *u);

/* Returns true if U has a free slot (or connection) of ours.  */
bool am_quota_slot_free (const struct am_upstream *u);
bool am_quota_connection_free (const struct am_upstream *u);

/* Asks a peer for an idle slot of S, at most once per request interval.  */
void am_quota_borrow (struct am_board *b, struct am_service *s);

/* Handles a borrow, lend or return message of a peer (see wire/peer.h).  The
   requests that wait may be sent after it.
   Returns AM_OK, AM_E_SHORT, AM_E_FORMAT, AM_E_SERVICE_UNKNOWN, AM_E_NOT_FOUND
   (no such member) or AM_E_STATE (lending is not set up).  */
int am_quota_handle_message (struct am_board *b, uint32_t sender_id,
                             const uint8_t *body, size_t len);

/* Gives back loans that are not in use and whose validity has ended or for
   which nothing waits.  Called before a slot is chosen and when one becomes
   free.  */
void am_quota_release_idle_leases (struct am_board *b);

/* Ends hold-downs, returns loans and takes back lent slots whose
   borrower is gone.  Called at each tick.  */
void am_quota_tick (struct am_board *b);

/* Upstream U is about to be freed: its loans are forgotten.  */
void am_quota_upstream_removed (struct am_board *b, struct am_upstream *u);

/* Set up and free B->lending; called by am_requests_init and
   am_requests_finish.  am_lending_init returns AM_OK or AM_E_MEMORY.  */
int am_lending_init (struct am_board *b);
void am_lending_finish (struct am_board *b);

#endif
