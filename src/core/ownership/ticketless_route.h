/* Way of a ticketless request to its owner (docs/notes/one-time-tracked.md).

   The owner tells the home VMs each second that it is the owner.  A request
   makes one hop: to the owner that is known, else to a home VM.  A VM that a
   request was passed to and that is not the owner passes nothing on.  It
   answers the VM before it: if the owner has just told of itself, it names the
   owner and leaves the request unanswered, because the caller sends it again.
   Else the caller is told UNKNOWN.  */

#ifndef AM_CORE_OWNED_ROUTE_H
#define AM_CORE_OWNED_ROUTE_H

#include "core/ownership/ticketless.h"

/* How long an owner counts as known.  A wrong one answers the next request
   that is passed to it, and a dead one is not used.  */
#define AM_TICKETLESS_OWNER_CACHE_US 60000000u

enum am_ticketless_route
{
  AM_TICKETLESS_NO_ROUTE, /* answer UNKNOWN */
  AM_TICKETLESS_FORWARDED,
  AM_TICKETLESS_REDIRECTED, /* answer nothing */
};

/* Passes on REQUEST, the datagram DATA of CALLER.  */
enum am_ticketless_route
am_ticketless_forward (struct am_board *b, struct am_service *s,
                       struct am_ticketless *o, struct am_address caller,
                       uint64_t request, const uint8_t *data, size_t len);

/* At the owner: tells a VM outside the home set that passed a request here
   that this is the owner.  */
void am_ticketless_announce_to_sender (struct am_board *b,
                                       const struct am_service *s,
                                       const struct am_ticketless *o);

/* Tells the home VMs that OWNER_ID is the owner.  */
void am_ticketless_announce_owner (struct am_board *b,
                                   const struct am_ticketless *o,
                                   uint32_t owner_id);

/* The same each second while this VM is the owner.  */
void am_ticketless_announce_tick (struct am_board *b, struct am_ticketless *o);

/* Handles a claim.  Returns AM_OK or AM_E_FORMAT.  */
int am_ticketless_apply_announcement (const struct am_board *b,
                                      struct am_ticketless *o,
                                      uint32_t sender_id, const uint8_t *body,
                                      size_t len);

#endif
