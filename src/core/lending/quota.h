/* Quotas: how many of each upstream's slots and connections this entry VM may
   use, and temporary leases of idle slots between peers.

   The home set of a service is the set of entry VMs responsible for it, its
   home VMs, chosen by rendezvous hashing.  A unit is one slot or one
   connection of an upstream.  Quotas of the home VMs of a service differ by at
   most one unit, and their sum never exceeds the limit of the upstream while
   the VMs have the same view of members and upstreams.

   Split.  Each home VM gets the quotient of slots and VMs, rounded down, of
   every upstream.  Each remaining unit goes to the VM with the highest
   rendezvous score for the upstream that still has room.  The room is the
   average number of remaining units over the service, rounded down, and one
   more for as many VMs as the sum requires.  A last step moves units until the
   sums differ by at most one.  Connections are split in the same way.  With 7
   VMs and 15 upstreams of 2 slots, removing a member moves 8 % of the other
   members' slots; a rotation by index moves 88 %.

   Request shares.  With 30 slots and 7 VMs some VMs have 4 slots and some 5,
   and an upstream whose slots belong to VMs with 4 is busier.  Each VM
   computes how all of them should distribute equal numbers of requests over
   their slots so that every upstream gets its proportion, by scaling the rows
   and columns of the matrix in turn, and uses its own row.

   Hold-down.  When a member leaves the home set, the old split stays active
   for AM_QUOTA_HOLD_DOWN_US, so that its requests can end before others use
   its slots.  A home set that only grew is applied at once.

   Slot leases.  REQUEST, GRANT, RELEASE and RELEASE_ACK are messages between
   home VMs; a request is one of a caller.  A slot is idle if no request runs
   on it; a lease is idle if this VM has a free slot at the lease's upstream.
   Body of AM_PEER_CREDIT, big endian:

     offset  size  field
     0       1     operation (enum am_slot_lease_op)
     1       1     count of items
     2       2     REQUEST: slots wanted; GRANT: validity in milliseconds
     4       4     service id
     8       4     number of the REQUEST; in a GRANT that of the REQUEST it
                   answers
     12      2     GRANT: idle slots that the lender keeps; else 0
     14      2     REQUEST: 1 if the sender is the owner of the service's
                   requests (core/ownership/ticketless.h) and its leases are
                   to be renewed, else 0; GRANT: how many items, the last
                   ones, are renewed leases
     16      8n    items: lease id (4), upstream id (4)

   A borrower sends a REQUEST to one peer, which answers with a GRANT of 0 or
   more slots.  RELEASE ends leases and is retransmitted until a RELEASE_ACK
   arrives.  The validity of a renewal is counted as that of a new lease.  A
   renewed lease that the borrower does not hold is released and never used:
   its RELEASE may have overtaken the GRANT.

   Each side uses its own clock.  The borrower starts requests on a lease only
   until the validity has passed since it sent the REQUEST; the lender handled
   that REQUEST later, so the validity ends later by its clock.  A request that
   is still running then keeps the lease.  The lender reclaims a slot (deletes
   its lease and uses the slot again) on RELEASE, at most AM_QUOTA_HOLD_DOWN_US
   after the borrower has failed, left or restarted, or when the validity, the
   longest deadline of the service and the grace period for late answers have
   passed; no request that was sent on the lease can be running by then.  */

#ifndef AM_CORE_QUOTA_H
#define AM_CORE_QUOTA_H

#include "core/board.h"

/* Time in microseconds for which the quota of a member that left the home set
   is not redistributed.  */
#define AM_QUOTA_HOLD_DOWN_US 2000000u

enum am_slot_lease_op
{
  AM_SLOT_LEASE_REQUEST = 1,
  AM_SLOT_LEASE_GRANT = 2,
  AM_SLOT_LEASE_RELEASE = 3,
  AM_SLOT_LEASE_RELEASE_ACK = 4,
};

/* Recomputes the quotas of every service after a change of members or
   upstreams.  */
void am_quota_recompute (struct am_board *b);

/* The same for S alone.  */
void am_quota_recompute_service (struct am_board *b, struct am_service *s);

/* Applies the new home set of each service whose hold-down has ended and
   recomputes its quotas.  */
void am_quota_apply_due (struct am_board *b);

/* Returns how many requests may be in flight at U: own slots plus borrowed
   ones minus lent ones.  */
uint32_t am_quota_slots (const struct am_upstream *u);

/* Return true if this VM's quota at U has a free slot, borrowed ones included,
   or a free connection.  */
bool am_quota_slot_free (const struct am_upstream *u);
bool am_quota_connection_free (const struct am_upstream *u);

/* Requests idle slots of S from one peer.  Does nothing if lending is off for
   S, while a REQUEST is outstanding, if every peer has recently reported none,
   or if the rate limit is exceeded.  */
void am_quota_borrow (struct am_board *b, struct am_service *s);

/* Handles the body of an AM_PEER_CREDIT message (see wire/peer.h) of peer
   SENDER_ID.  Requests in the queue may have become sendable afterwards.
   Returns AM_OK, AM_E_SHORT, AM_E_FORMAT, AM_E_SERVICE_UNKNOWN, AM_E_NOT_FOUND
   (no such member) or AM_E_STATE (B->lending is not allocated).  */
int am_quota_handle_message (struct am_board *b, uint32_t sender_id,
                             const uint8_t *body, size_t len);

/* Releases idle leases that have expired or for which no request is queued;
   the owner of a service's requests keeps its leases until they expire.
   Called before a slot is chosen and when one becomes free.  */
void am_quota_release_idle_leases (struct am_board *b);

/* Ends hold-downs, releases idle leases, retransmits RELEASE and reclaims lent
   slots that have expired or whose borrower has failed.  Called at each tick.
 */
void am_quota_tick (struct am_board *b);

/* Releases borrowed slots of U, which is about to be freed, and reclaims those
   that are lent.
 */
void am_quota_upstream_removed (struct am_board *b, struct am_upstream *u);

/* Allocate and free B->lending; called by am_requests_init and
   am_requests_finish.  am_lending_init returns AM_OK or AM_E_MEMORY.  */
int am_lending_init (struct am_board *b);
void am_lending_finish (struct am_board *b);

#endif
