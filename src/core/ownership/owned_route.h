/* Way of a ticketless request to its owner (docs/notes/one-time-tracked.md).

   The owner tells the home VMs each second that it is the owner.  A request
   makes one hop: to the owner that is known, else to a home VM.  A VM that a
   request was passed to and that is not the owner passes nothing on.  It
   answers the VM before it: if the owner has just told of itself, it names the
   owner and leaves the request unanswered, because the caller sends it again.
   Else the caller is told UNKNOWN.  */

#ifndef AM_CORE_OWNED_ROUTE_H
#define AM_CORE_OWNED_ROUTE_H

#include "core/ownership/owned.h"

/* How long an owner counts as known.  A wrong one answers the next request
   that is passed to it, and a dead one is not used.  */
#define AM_OWNED_KNOWN_US 60000000u

enum am_owned_way
{
  AM_OWNED_NOWHERE, /* answer UNKNOWN */
  AM_OWNED_PASSED,
  AM_OWNED_NAMED, /* answer nothing */
};

/* Passes on REQUEST, the datagram DATA of CALLER.  */
enum am_owned_way am_owned_pass (struct am_board *b, struct am_service *s,
                                 struct am_owned *o, struct am_address caller,
                                 uint64_t request, const uint8_t *data,
                                 size_t len);

/* At the owner: tells a VM outside the home set that passed a request here
   that this is the owner.  */
void am_owned_refresh (struct am_board *b, const struct am_service *s,
                       const struct am_owned *o);

/* Tells the home VMs that OWNER_ID is the owner.  */
void am_owned_send_claims (struct am_board *b, const struct am_owned *o,
                           uint32_t owner_id);

/* The same each second while this VM is the owner.  */
void am_owned_claim (struct am_board *b, struct am_owned *o);

/* Handles a claim.  Returns AM_OK or AM_E_FORMAT.  */
int am_owned_take_claim (const struct am_board *b, struct am_owned *o,
                         uint32_t sender_id, const uint8_t *body, size_t len);

#endif
