/* Slots that this VM lends to peers.  */

#ifndef AM_CORE_LENDER_H
#define AM_CORE_LENDER_H

#include "core/lending/slot_lease_message.h"

struct am_lender
{
  struct am_list lent;    /* of struct lent_slot */
  uint32_t next_lease_id; /* lease ids are unique per lender */
  struct am_token_bucket grant_bucket;
};

void am_lender_init (struct am_lender *l, struct am_board *b);
void am_lender_finish (struct am_lender *l);

/* Answers REQUEST of peer SENDER_ID with a GRANT of 0 or more slots.  Sends
   nothing if the rate limit of GRANTs is exceeded.  */
void am_lender_requested (struct am_board *b, struct am_service *s,
                          uint32_t sender_id,
                          const struct am_slot_lease_message *request);

/* Handles a RELEASE of peer SENDER_ID: reclaims its slots and answers with
   RELEASE_ACK.  */
void am_lender_released (struct am_board *b, uint32_t sender_id,
                         const struct am_slot_lease_message *m);

/* Reclaims slots whose lease has expired.  If the borrower has failed, left or
   restarted, its leases expire AM_QUOTA_HOLD_DOWN_US later at the latest.  */
void am_lender_tick (struct am_board *b);

/* Reclaims the lent slots of U, which is about to be freed.  */
void am_lender_upstream_removed (struct am_board *b,
                                 const struct am_upstream *u);

#endif
