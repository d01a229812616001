/* Ticketless requests: what is kept of a service, and questions about it.  See
   core/ownership/owned.h.  */

#ifndef AM_CORE_OWNED_STATE_H
#define AM_CORE_OWNED_STATE_H

#include "core/board.h"
#include "core/ownership/handover.h"
#include "core/ownership/dedup_table.h"

struct am_request;

/* After a hand-over the successor has the key within its poll of 2 s and a few
   calls of the store.  Until then it answers nothing, so that the callers send
   their requests again.  */
#define AM_TICKETLESS_GRANT_WAIT_US 5000000u

/* Requests of one service.  Kept when the service is dropped, because the
   memory of ids must outlast it.  */
struct am_ticketless
{
  UT_hash_handle hh;
  uint32_t service_id;
  struct am_dedup gate;
  uint64_t awaited_until_us; /* has a whole table and waits for the grant */
  uint64_t left_epoch;       /* given up; its grants do not count any more */
  bool leaving;              /* takes nothing new, finishes, gives up */
  uint64_t claim_us;         /* when home VMs are told next */
  uint32_t owner_id;         /* of another VM that is known; 0: none */
  uint64_t owner_epoch;      /* its epoch */
  uint64_t told_us;          /* when it last told so itself; 0: never */
  uint64_t known_until_us;
  struct am_handover to;   /* hand-over to the successor */
  struct am_handover from; /* table taken over */
};

/* Returns what is kept of a service, made if there is none; NULL if out of
   memory.  */
struct am_ticketless *am_ticketless_find_or_add (struct am_board *b,
                                                 uint32_t service_id);

struct am_dedup_key am_ticketless_key (struct am_address caller,
                                       uint64_t connection_id);

/* Owned request R has reached a final state.  */
void am_ticketless_request_ended (struct am_board *b,
                                  const struct am_request *r);

/* Returns the time before which an upstream may begin a request of the service
   that is sent now, or 0 if none may be sent.  */
uint64_t am_ticketless_not_after_us (const struct am_board *b,
                                     uint32_t service_id);

/* Returns true if this VM is the owner and takes new requests.  */
bool am_ticketless_is_accepting (const struct am_board *b,
                                 uint32_t service_id);

/* Returns true if this VM knows member MEMBER_ID as the owner and so runs no
   request of the service itself.  */
bool am_ticketless_is_owner (const struct am_board *b, uint32_t service_id,
                             uint32_t member_id);

#endif
