/* Membership table: entries, precedence of updates, refutation, and the queue
   of updates that still have to be sent.

   At equal incarnations a state of higher rank replaces one of lower rank:
   alive, suspect, leaving, dead, left.  A greater incarnation always wins.
   Only a member itself raises its incarnation.  */

#ifndef AM_CORE_CONTROL_MEMBERS_H
#define AM_CORE_CONTROL_MEMBERS_H

#include "core/control_board.h"

/* A suspected member that does not refute within this time is dead.  */
#define AM_SUSPICION_TIMEOUT_US (5 * AM_SECOND_US)

/* Dead members are kept this long, so that both sides of a partition find
   each other again, and then forgotten, so that the table stays bounded.  */
#define AM_DEAD_RETENTION_US (900 * AM_SECOND_US)

enum am_update_source
{
  AM_UPDATE_GOSSIP,
  AM_UPDATE_TABLE_EXCHANGE, /* whole table of a peer: dead there means suspect
                         here, so that two sides of a partition that meet again
                         do not bury the members of one another */
};

int am_members_init (struct am_control *c, const struct am_control_options *o);
void am_members_finish (struct am_control *c);

/* Returns member ID or NULL.  This VM itself is not in the table.  */
struct am_vm *am_members_find (struct am_control *c, uint32_t id);

/* Returns the member whose gossip address is A, or NULL.  */
struct am_vm *am_members_find_by_address (struct am_control *c,
                                          struct am_address a);

bool am_vm_live (const struct am_vm *v);

/* Applies what M says about a member, or refutes it if it is about this VM.
   Returns AM_OK, AM_E_FORMAT or AM_E_MEMORY.  */
int am_members_update (struct am_control *c, const Amaranth__Member *m,
                       enum am_update_source source);

/* Marks V suspect because its probe failed.  */
void am_members_suspect (struct am_control *c, struct am_vm *v);

/* V has been heard from at its held incarnation.  */
void am_members_confirm_alive (struct am_control *c, struct am_vm *v);

/* Sets this VM's own state and boot id; a change raises the incarnation and
   spreads at once.  */
void am_members_set_self (struct am_control *c, Amaranth__MemberState state,
                          uint64_t boot_id);

/* Ends suspicions and forgets dead members.  */
void am_members_tick (struct am_control *c);

/* Fills M with V; the strings are those of V.  */
void am_members_fill_message (const struct am_vm *v, Amaranth__Member *m);

/* Puts V in front of the queue of updates.  */
void am_members_queue_update (struct am_control *c, struct am_vm *v);

/* Returns how often an update is sent in a fleet of this size.  */
uint32_t am_members_transmit_limit (const struct am_control *c);

/* Picks up to N different live members at random into OUT; returns their
   number.  EXCEPT (may be 0) is left out.  */
size_t am_members_random (struct am_control *c, uint32_t except,
                          struct am_vm **out, size_t n);

#endif
