/* Membership table: one record (struct am_vm) for each member, precedence of
   updates, refutation, and the queue of updates to disseminate.  A member is
   an entry VM, represented by its agent.

   A member is alive, suspect (presumed to have failed unless it refutes
   this), leaving (running, but to be given no new work), dead (declared failed
   by others) or left (it stopped as planned).

   Between updates of equal incarnation, the state of the higher rank wins:
   alive, suspect, leaving, dead, left, in ascending order.  A higher
   incarnation always wins.  Only the member itself raises its incarnation.  */

#ifndef AM_CORE_CONTROL_MEMBERS_H
#define AM_CORE_CONTROL_MEMBERS_H

#include "core/control_board.h"

/* A suspected member that does not refute the suspicion within this time is
   declared dead.  */
#define AM_SUSPICION_TIMEOUT_US (5 * AM_SECOND_US)

/* Dead members stay in the table for this time, so that both sides of a
   partition find each other again when it heals, and are then removed, which
   bounds the table.  */
#define AM_DEAD_RETENTION_US (900 * AM_SECOND_US)

enum am_update_source
{
  AM_UPDATE_GOSSIP,
  AM_UPDATE_TABLE_EXCHANGE, /* a peer's whole table: its dead members are only
                               suspected here, so that after a partition heals
                               neither side declares members of the other
                               dead */
};

/* Initializes an empty table and the record of this VM.  Returns AM_OK or
   AM_E_MEMORY.  */
int am_members_init (struct am_control *c, const struct am_control_options *o);
void am_members_finish (struct am_control *c);

/* Returns member ID or NULL.  This VM itself is not in the table.  */
struct am_vm *am_members_find (struct am_control *c, uint32_t id);

/* Returns the member whose gossip address is A, or NULL.  */
struct am_vm *am_members_find_by_address (struct am_control *c,
                                          struct am_address a);

/* Returns true if V is neither dead nor left.  Live members are thus those in
   state alive, suspect or leaving.  */
bool am_vm_live (const struct am_vm *v);

/* Applies the member update M, or refutes it if it is about this VM.  Returns
   AM_OK, AM_E_FORMAT or AM_E_MEMORY.  */
int am_members_update (struct am_control *c, const Amaranth__Member *m,
                       enum am_update_source source);

/* Suspects V after a failed probe.  A leaving member keeps its state while it
   is suspected.  */
void am_members_suspect (struct am_control *c, struct am_vm *v);

/* Ends the suspicion of V if V is leaving, else does nothing: a suspect member
   refutes by an update of higher incarnation.  To be called when a message of
   V's current incarnation arrives.  */
void am_members_confirm_alive (struct am_control *c, struct am_vm *v);

/* Sets this VM's own state and boot id.  A change raises the incarnation and
   is queued as an urgent update.  */
void am_members_set_self (struct am_control *c, Amaranth__MemberState state,
                          uint64_t boot_id);

/* Declares members dead whose suspicion has timed out, and removes dead
   members after AM_DEAD_RETENTION_US.  */
void am_members_tick (struct am_control *c);

/* Fills the message M from V; its strings remain owned by V.  */
void am_members_fill_message (const struct am_vm *v, Amaranth__Member *m);

/* Queues V's record for dissemination, ahead of all others, and requests an
   urgent flush.  */
void am_members_queue_update (struct am_control *c, struct am_vm *v);

/* Returns how many times each update is sent; grows with the logarithm of the
   number of members.  */
uint32_t am_members_transmit_limit (const struct am_control *c);

/* Stores up to N distinct live members, chosen at random, in OUT and returns
   their number.  Member EXCEPT is not chosen; 0 excludes none.  */
size_t am_members_random (struct am_control *c, uint32_t except,
                          struct am_vm **out, size_t n);

#endif
