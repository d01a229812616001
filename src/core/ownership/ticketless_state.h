/* State of the ticketless requests of a service at the forwarder, and queries
   on it.  See core/ownership/ticketless.h.  */

#ifndef AM_CORE_TICKETLESS_STATE_H
#define AM_CORE_TICKETLESS_STATE_H

#include "core/board.h"
#include "core/ownership/handover.h"
#include "core/ownership/dedup_table.h"

struct am_request;

/* After a table transfer the successor acquires the key within its poll
   interval of 2 s and a few store calls.  Until then it replies to nothing, so
   that the callers retransmit their requests.  */
#define AM_TICKETLESS_GRANT_WAIT_US 5000000u

/* State of one service.  Kept when the service is removed, because the
   deduplication table must outlive it.  */
struct am_ticketless
{
  UT_hash_handle hh;
  uint32_t service_id;
  struct am_dedup dedup;
  uint64_t grant_wait_until_us; /* received a complete table, grant not yet
                                   received */
  uint64_t released_epoch;   /* last epoch released; its grants are rejected */
  bool leaving;              /* accepts no new requests, finishes those in
                                 progress and releases ownership */
  uint64_t next_announce_us; /* next announcement to the home VMs */
  uint32_t owner_id; /* cached id of another VM that is the owner; 0: none */
  uint64_t owner_epoch;        /* epoch of that owner */
  uint64_t announced_us;       /* when it last announced itself; 0: never */
  uint64_t known_until_us;     /* expiry of the cached owner */
  struct am_handover outgoing; /* table transfer to the successor */
  struct am_handover incoming; /* table transfer from the previous owner */
};

/* Returns the state of a service, which is created if there is none, or NULL
   if out of memory.  It belongs to B.  */
struct am_ticketless *am_ticketless_find_or_add (struct am_board *b,
                                                 uint32_t service_id);

/* Returns the key of a request in the deduplication table.  */
struct am_dedup_key am_ticketless_key (struct am_address caller,
                                       uint64_t connection_id);

/* Records the outcome of the ticketless request R, which has reached a final
   state.  */
void am_ticketless_request_ended (struct am_board *b,
                                  const struct am_request *r);

/* Returns the monotonic time before which an upstream may begin to execute a
   request of the service that is sent now, or 0 if none may be sent.  */
uint64_t am_ticketless_not_after_us (const struct am_board *b,
                                     uint32_t service_id);

/* Returns true if this VM is the owner and accepts new requests.  */
bool am_ticketless_is_accepting (const struct am_board *b,
                                 uint32_t service_id);

/* Returns true if this VM has cached member MEMBER_ID as the owner and is not
   the owner itself, so that it executes no ticketless request of the service.
 */
bool am_ticketless_is_owner (const struct am_board *b, uint32_t service_id,
                             uint32_t member_id);

#endif
