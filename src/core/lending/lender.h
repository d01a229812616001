/* Slots that this VM lends to peers.  */

#ifndef AM_CORE_LENDER_H
#define AM_CORE_LENDER_H

#include "core/lending/slot_lease_message.h"

struct am_lender
{
  struct am_list lent;
  uint32_t next_loan_id;
  struct am_token_bucket lends;
};

void am_lender_init (struct am_lender *l, struct am_board *b);
void am_lender_finish (struct am_lender *l);

/* Answers an ASK of peer SENDER_ID with LEND.  */
void am_lender_requested (struct am_board *b, struct am_service *s,
                          uint32_t sender_id,
                          const struct am_slot_lease_message *ask);

/* Takes back the slots of a RETURN and confirms it.  */
void am_lender_released (struct am_board *b, uint32_t sender_id,
                         const struct am_slot_lease_message *m);

/* Takes back slots whose time is up or whose borrower is gone.  */
void am_lender_tick (struct am_board *b);

/* Forgets what was lent of U.  */
void am_lender_upstream_removed (struct am_board *b,
                                 const struct am_upstream *u);

#endif
