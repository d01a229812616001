/* Slots that this VM borrows from peers.  am_credit_borrow and
   am_credit_expire (core/lending/credit.h) are here as well.  */

#ifndef AM_CORE_BORROWER_H
#define AM_CORE_BORROWER_H

#include "core/lending/credit_message.h"

struct borrowing;

struct am_borrower
{
  struct borrowing *services; /* by id */
  struct am_list loans;
  uint32_t next_ask;
  struct am_credit_bucket asks;
};

void am_borrower_init (struct am_borrower *w, struct am_board *b);
void am_borrower_finish (struct am_borrower *w);

/* Notes that peer MEMBER_ID had IDLE slots of the service to lend.  */
void am_borrower_note_idle (struct am_board *b, uint32_t service_id,
                            uint32_t member_id, uint32_t idle);

/* Adds the loans of a LEND, or gives them back if it is not expected any
   more.  */
void am_borrower_lent (struct am_board *b, struct am_service *s,
                       uint32_t sender_id, const struct am_credit_message *m);

/* Forgets the loans whose RETURN the lender confirms.  */
void am_borrower_confirmed (struct am_board *b, uint32_t sender_id,
                            const struct am_credit_message *m);

/* Ends the validity of loans that nobody uses and repeats RETURN.  */
void am_borrower_tick (struct am_board *b);

/* Gives back the loans of U.  */
void am_borrower_upstream_gone (struct am_board *b,
                                const struct am_upstream *u);

#endif
