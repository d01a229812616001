/* Ticketless requests of services with tracked binding: handling of a REQUEST
   or CANCEL by the forwarder (docs/notes/one-time-tracked.md).

   The owner admits a request after a look-up in its deduplication table
   (core/ownership/dedup_table.h); from then on it is handled like any other
   request.  Other entry VMs forward it to the owner
   (core/ownership/ticketless_route.h).  */

#ifndef AM_CORE_TICKETLESS_H
#define AM_CORE_TICKETLESS_H

#include "core/ownership/ticketless_state.h"

/* Frees the state of all services.  */
void am_ticketless_finish (struct am_board *b);

/* Returns true if the datagram is a ticketless REQUEST or CANCEL and S has
   request classes.  */
bool am_ticketless_is_request (const struct am_service *s, const uint8_t *data,
                               size_t len);

/* Handles such a datagram of CALLER.  Returns AM_OK, AM_E_MEMORY,
   AM_E_STOPPING (left unanswered between two owners), the error of a malformed
   packet, or the error reported to the caller in the outcome.  */
int am_ticketless_receive (struct am_board *b, struct am_service *s,
                           struct am_address caller, const uint8_t *data,
                           size_t len);

/* Applies a packed OwnerGrant of the agent.  Returns AM_OK, AM_E_FORMAT,
   AM_E_MEMORY, AM_E_REVISION (ownership of this epoch has been released) or an
   error of am_dedup_apply_grant.  */
int am_ticketless_apply_grant (struct am_board *b, const uint8_t *data,
                               size_t len);

/* Handles the body of an AM_PEER_OWNER message of another entry VM
   (enum am_owner_message).  Returns AM_OK, AM_E_FORMAT, AM_E_LIMIT or
   AM_E_MEMORY.  */
int am_ticketless_peer_message (struct am_board *b, uint32_t sender_id,
                                uint32_t service_id, const uint8_t *body,
                                size_t len);

/* To be called at least every 100 ms.  */
void am_ticketless_tick (struct am_board *b);

/* Returns true if a stopping forwarder holds no valid grant and no table
   transfer is in progress.  */
bool am_ticketless_may_exit (const struct am_board *b);

#endif
