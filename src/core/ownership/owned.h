/* Ticketless requests of services with tracked binding: path of a REQUEST or
   CANCEL at the forwarder (docs/notes/one-time-tracked.md).

   The owner admits a request under its gate (core/ownership/owner.h); after
   that it is a request as any other.  Other entry VMs pass it to the owner
   (core/ownership/owned_route.h).  */

#ifndef AM_CORE_OWNED_H
#define AM_CORE_OWNED_H

#include "core/board.h"
#include "core/ownership/owned_table.h"
#include "core/ownership/owner.h"

struct am_request;

/* After a hand-over the successor has the key within its poll of 2 s and a few
   calls of the store.  Until then it answers nothing, so that the callers send
   their requests again.  */
#define AM_OWNED_AWAIT_US 5000000u

/* Requests of one service.  Kept when the service is dropped, because the
   memory of ids must outlast it.  */
struct am_owned
{
  UT_hash_handle hh;
  uint32_t service_id;
  struct am_owner gate;
  uint64_t awaited_until_us; /* has a whole table and waits for the grant */
  uint64_t left_epoch;       /* given up; its grants do not count any more */
  bool leaving;              /* takes nothing new, finishes, gives up */
  uint64_t claim_us;         /* when home VMs are told next */
  uint32_t owner_id;         /* of another VM that is known; 0: none */
  uint64_t owner_epoch;      /* its epoch */
  uint64_t told_us;          /* when it last told so itself; 0: never */
  uint64_t known_until_us;
  struct am_owned_parts to;   /* hand-over to the successor */
  struct am_owned_parts from; /* table taken over */
};

void am_owned_finish (struct am_board *b);

/* Returns true if the datagram is a ticketless REQUEST or CANCEL and S has
   classes of requests.  */
bool am_owned_is_request (const struct am_service *s, const uint8_t *data,
                          size_t len);

/* Handles such a datagram.  Returns AM_OK or the typed error that the outcome
   carries.  */
int am_owned_from_caller (struct am_board *b, struct am_service *s,
                          struct am_address caller, const uint8_t *data,
                          size_t len);

/* Handles a packed OwnerGrant.  Returns AM_OK, AM_E_FORMAT, AM_E_MEMORY,
   AM_E_REVISION (given up) or an error of am_owner_grant.  */
int am_owned_grant (struct am_board *b, const uint8_t *data, size_t len);

/* Handles AM_PEER_OWNER.  Returns AM_OK, AM_E_FORMAT or AM_E_MEMORY.  */
int am_owned_peer (struct am_board *b, uint32_t sender_id, uint32_t service_id,
                   const uint8_t *body, size_t len);

/* Owned request R has reached a final state.  */
void am_owned_ended (struct am_board *b, const struct am_request *r);

/* Returns the time before which an upstream may begin a request of the service
   that is sent now, or 0 if none may be sent.  */
uint64_t am_owned_not_after_us (const struct am_board *b, uint32_t service_id);

/* Returns true if this VM is the owner and takes new requests.  */
bool am_owned_runs_all (const struct am_board *b, uint32_t service_id);

/* Returns true if this VM knows member MEMBER_ID as the owner and so runs no
   request of the service itself.  */
bool am_owned_is_owner (const struct am_board *b, uint32_t service_id,
                        uint32_t member_id);

void am_owned_tick (struct am_board *b);
bool am_owned_may_exit (const struct am_board *b);

#endif
