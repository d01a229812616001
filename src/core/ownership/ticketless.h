/* Ticketless requests of services with tracked binding: path of a REQUEST or
   CANCEL at the forwarder (docs/notes/one-time-tracked.md).

   The owner admits a request under its gate (core/ownership/owner.h); after
   that it is a request as any other.  Other entry VMs pass it to the owner
   (core/ownership/owned_route.h).  */

#ifndef AM_CORE_OWNED_H
#define AM_CORE_OWNED_H

#include "core/ownership/ticketless_state.h"

void am_ticketless_finish (struct am_board *b);

/* Returns true if the datagram is a ticketless REQUEST or CANCEL and S has
   classes of requests.  */
bool am_ticketless_is_request (const struct am_service *s, const uint8_t *data,
                               size_t len);

/* Handles such a datagram.  Returns AM_OK or the typed error that the outcome
   carries.  */
int am_ticketless_receive (struct am_board *b, struct am_service *s,
                           struct am_address caller, const uint8_t *data,
                           size_t len);

/* Handles a packed OwnerGrant.  Returns AM_OK, AM_E_FORMAT, AM_E_MEMORY,
   AM_E_REVISION (given up) or an error of am_dedup_apply_grant.  */
int am_ticketless_apply_grant (struct am_board *b, const uint8_t *data,
                               size_t len);

/* Handles AM_PEER_OWNER.  Returns AM_OK, AM_E_FORMAT or AM_E_MEMORY.  */
int am_ticketless_peer_message (struct am_board *b, uint32_t sender_id,
                                uint32_t service_id, const uint8_t *body,
                                size_t len);

void am_ticketless_tick (struct am_board *b);
bool am_ticketless_may_exit (const struct am_board *b);

#endif
