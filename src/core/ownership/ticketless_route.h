/* Routing of a ticketless request to its owner
   (docs/notes/one-time-tracked.md).

   The owner announces itself to the home VMs every second.  A request is
   forwarded at most once: to the owner if it is known, else to a home VM.  A
   VM that receives a forwarded request and is not the owner does not forward
   it again but replies to the sender.  If the owner has announced itself
   recently, the reply names the owner and the request is left unanswered,
   because the caller retransmits it.  Otherwise the caller gets the outcome
   UNKNOWN.  */

#ifndef AM_CORE_TICKETLESS_ROUTE_H
#define AM_CORE_TICKETLESS_ROUTE_H

#include "core/ownership/ticketless.h"

/* How long an announced owner is cached.  A VM that is no longer the owner
   says so in reply to the next request forwarded to it, and a failed one is
   not used.  */
#define AM_TICKETLESS_OWNER_CACHE_US 60000000u

enum am_ticketless_route
{
  AM_TICKETLESS_NO_ROUTE, /* reply UNKNOWN to the caller */
  AM_TICKETLESS_FORWARDED,
  AM_TICKETLESS_REDIRECTED, /* owner named to the sender; no reply to the
                                caller */
};

/* Forwards REQUEST, the datagram DATA of LEN bytes from CALLER.  */
enum am_ticketless_route
am_ticketless_forward (struct am_board *b, struct am_service *s,
                       struct am_ticketless *o, struct am_address caller,
                       uint64_t request, const uint8_t *data, size_t len);

/* At the owner: announces this VM as the owner to a VM outside the home set
   that forwarded the current request.  */
void am_ticketless_announce_to_sender (struct am_board *b,
                                       const struct am_service *s,
                                       const struct am_ticketless *o);

/* Announces OWNER_ID as the owner to the home VMs.  */
void am_ticketless_announce_owner (struct am_board *b,
                                   const struct am_ticketless *o,
                                   uint32_t owner_id);

/* Announces this VM to the home VMs every second while it is the owner.  */
void am_ticketless_announce_tick (struct am_board *b, struct am_ticketless *o);

/* Handles an announcement from SENDER_ID.  The owner id 0 means that the
   sender is not the owner.  Returns AM_OK or AM_E_FORMAT.  */
int am_ticketless_apply_announcement (const struct am_board *b,
                                      struct am_ticketless *o,
                                      uint32_t sender_id, const uint8_t *body,
                                      size_t len);

#endif
