/* Forwarding of a caller's datagram to another entry VM, and RESET packets.

   A datagram is forwarded once at most: one that was received from a peer
   (am_board.via_peer) must not be forwarded again.

   The home VMs of a service are the entry VMs responsible for it, chosen by
   rendezvous hashing.  A decision line is a log line written by
   am_board_decision: the outcome for one flow, or an event of this entry VM.
 */

#ifndef AM_CORE_FORWARD_H
#define AM_CORE_FORWARD_H

#include "core/board.h"

/* Forwards the datagram DATA of LEN bytes (without PROXY header) of CALLER to
   M.  Drops it if it does not fit into a peer message.  */
void am_forward (struct am_board *b, const struct am_service *s,
                 const struct am_member *m, struct am_address caller,
                 const uint8_t *data, size_t len);

/* Returns a random home VM of S other than this one, or NULL.  Alive members
   are preferred to suspect ones.  */
struct am_member *am_forward_pick_home (struct am_board *b,
                                        struct am_service *s);

/* An entry VM that has just started may not know every member before this time
   after its first snapshot with other members; a configuration is active on
   every entry VM within 6 s.  */
#define AM_MEMBERS_CONVERGENCE_US 10000000u

/* Returns true if the member list is complete, so that a member which is
   missing from it cannot be alive.  */
bool am_forward_members_complete (const struct am_board *b);

/* Returns the member that issued T if it may still be running; NULL if the
   issuer is this entry VM, unknown, dead or has left.  */
struct am_member *am_forward_find_issuer (struct am_board *b,
                                          const struct am_ticket *t);

/* Sends RESET with reason ERROR to CALLER.  Logs no decision line: for a
   caller that logs its own, or none.  */
void am_send_reset (struct am_board *b, const struct am_service *s,
                    struct am_address caller, uint64_t connection_id,
                    int error);

/* Calls am_send_reset and logs a decision line with ERROR.  */
void am_reset (struct am_board *b, const struct am_service *s,
               struct am_address caller, uint64_t connection_id, int error);

/* Send the LEN bytes at DATA unchanged after a PROXY header:
   am_send_opaque_caller to CALLER, with SERVICE as source address;
   am_send_opaque_upstream to U, with CALLER as source address.  Datagrams of
   more than AM_OPAQUE_MAX bytes are dropped.  */
#define AM_OPAQUE_MAX 2048
void am_send_opaque_caller (struct am_board *b, struct am_address service,
                            struct am_address caller, const uint8_t *data,
                            size_t len);
void am_send_opaque_upstream (struct am_board *b, const struct am_upstream *u,
                              struct am_address caller, const uint8_t *data,
                              size_t len);

/* Records the load that U reported in the LEN bytes at BODY, with the current
   time.  Returns AM_OK or AM_E_SHORT.  */
int am_record_reported_load (struct am_board *b, struct am_upstream *u,
                             const uint8_t *body, size_t len);

#endif
