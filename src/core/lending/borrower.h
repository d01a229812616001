/* Slots that this VM borrows from peers.  am_quota_borrow and
   am_quota_release_idle_leases (core/lending/credit.h) are here as well.  */

#ifndef AM_CORE_BORROWER_H
#define AM_CORE_BORROWER_H

#include "core/lending/slot_lease_message.h"

struct borrowing;

struct am_borrower
{
  struct borrowing *services; /* by id */
  struct am_list loans;
  uint32_t next_ask;
  struct am_token_bucket asks;
};

void am_borrower_init (struct am_borrower *w, struct am_board *b);
void am_borrower_finish (struct am_borrower *w);

/* Notes that peer MEMBER_ID had IDLE slots of the service to lend.  */
void am_borrower_note_idle (struct am_board *b, uint32_t service_id,
                            uint32_t member_id, uint32_t idle);

/* Adds the loans of a LEND, or gives them back if it is not expected any
   more.  */
void am_borrower_granted (struct am_board *b, struct am_service *s,
                          uint32_t sender_id,
                          const struct am_slot_lease_message *m);

/* Forgets the loans whose RETURN the lender confirms.  */
void am_borrower_release_acked (struct am_board *b, uint32_t sender_id,
                                const struct am_slot_lease_message *m);

/* Ends the validity of loans that nobody uses and repeats RETURN.  */
void am_borrower_tick (struct am_board *b);

/* Gives back the loans of U.  */
void am_borrower_upstream_removed (struct am_board *b,
                                   const struct am_upstream *u);

#endif
