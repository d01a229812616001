/* Passing of a caller's datagram to another entry VM, and typed resets.

   A datagram makes one hop at most: what came through the peer port
   (am_board.via_peer) is never passed on.  */

#ifndef AM_CORE_FORWARD_H
#define AM_CORE_FORWARD_H

#include "core/board.h"

/* Passes the datagram DATA (without PROXY header) of CALLER to M.  */
void am_forward (struct am_board *b, const struct am_service *s,
                 const struct am_member *m, struct am_address caller,
                 const uint8_t *data, size_t len);

/* Returns a home VM of S other than this one, or NULL.  Alive members are
   preferred to suspect ones.  */
struct am_member *am_forward_pick_home (struct am_board *b,
                                        struct am_service *s);

/* A fresh entry VM may not know every member before this time after its first
   snapshot with others; the bound for a configuration to be in force
   everywhere is 6 s.  */
#define AM_MEMBERS_CONVERGENCE_US 10000000u

/* Returns true if a member that is not known here cannot be a live one.  */
bool am_forward_members_complete (const struct am_board *b);

/* Returns the member that issued T if it may still serve, or NULL: it is this
   entry VM, unknown, dead or has left.  */
struct am_member *am_forward_find_issuer (struct am_board *b,
                                          const struct am_ticket *t);

/* Sends RESET with reason ERROR to CALLER, without a decision line.  */
void am_send_reset (struct am_board *b, const struct am_service *s,
                    struct am_address caller, uint64_t connection_id,
                    int error);

/* As am_send_reset, with its decision line.  */
void am_reset (struct am_board *b, const struct am_service *s,
               struct am_address caller, uint64_t connection_id, int error);

/* Send the LEN bytes at DATA, which are not interpreted, behind a PROXY
   header.  More than AM_OPAQUE_MAX bytes are dropped.  */
#define AM_OPAQUE_MAX 2048
void am_send_opaque_caller (struct am_board *b, struct am_address service,
                            struct am_address caller, const uint8_t *data,
                            size_t len);
void am_send_opaque_upstream (struct am_board *b, const struct am_upstream *u,
                              struct am_address caller, const uint8_t *data,
                              size_t len);

/* Keeps the load that U reported.  Returns AM_OK or AM_E_SHORT.  */
int am_record_reported_load (struct am_board *b, struct am_upstream *u,
                             const uint8_t *body, size_t len);

#endif
