/* Slots that this VM borrows from peers.  am_quota_borrow and
   am_quota_release_idle_leases (core/lending/quota.h) are implemented here as
   well.  */

#ifndef AM_CORE_BORROWER_H
#define AM_CORE_BORROWER_H

#include "core/lending/slot_lease_message.h"

struct borrower_service;

struct am_borrower
{
  struct borrower_service *services; /* by id */
  struct am_list leases;             /* of struct borrowed_slot */
  uint32_t next_request;             /* number of the next REQUEST */
  struct am_token_bucket request_bucket;
};

void am_borrower_init (struct am_borrower *w, struct am_board *b);
void am_borrower_finish (struct am_borrower *w);

/* Records that peer MEMBER_ID has reported IDLE idle slots of the service,
   which it could lend.  */
void am_borrower_note_idle (struct am_board *b, uint32_t service_id,
                            uint32_t member_id, uint32_t idle);

/* Handles a GRANT of peer SENDER_ID: adds its leases, or releases them if the
   GRANT does not answer the outstanding REQUEST.  */
void am_borrower_granted (struct am_board *b, struct am_service *s,
                          uint32_t sender_id,
                          const struct am_slot_lease_message *m);

/* Handles a RELEASE_ACK of lender SENDER_ID: deletes the released leases that
   it lists, whose RELEASE is then no longer retransmitted.  */
void am_borrower_release_acked (struct am_board *b, uint32_t sender_id,
                                const struct am_slot_lease_message *m);

/* Releases idle leases (am_quota_release_idle_leases) and retransmits RELEASE
   where no RELEASE_ACK has arrived.  */
void am_borrower_tick (struct am_board *b);

/* Releases the leases of slots of U, which is about to be freed.  */
void am_borrower_upstream_removed (struct am_board *b,
                                   const struct am_upstream *u);

#endif
