/* Datagrams by which home VMs lend slots to each other, and the token bucket
   that bounds them.  docs/notes/credits.md has the protocol.  */

#ifndef AM_CORE_CREDIT_MESSAGE_H
#define AM_CORE_CREDIT_MESSAGE_H

#include "core/board.h"

/* Slots in one message.  */
#define AM_SLOT_LEASE_ITEMS_MAX 8

struct am_slot_lease_item
{
  uint32_t loan_id;
  uint32_t upstream_id;
};

struct am_slot_lease_message
{
  uint8_t op; /* enum am_slot_lease_op */
  uint8_t count;
  uint16_t value; /* ASK: slots wanted; LEND: validity in milliseconds */
  uint32_t service_id;
  uint32_t number; /* of the ASK */
  uint16_t idle;   /* LEND: idle slots that are left */
  uint16_t renew;  /* ASK: 1 to renew loans too; LEND: renewed, last items */
  struct am_slot_lease_item items[AM_SLOT_LEASE_ITEMS_MAX];
};

/* Reads the LEN bytes at BUF.  Returns AM_OK, AM_E_SHORT or AM_E_FORMAT.  */
int am_slot_lease_decode (struct am_slot_lease_message *m, const uint8_t *buf,
                          size_t len);

/* Returns true if M is about loan LOAN_ID.  */
bool am_slot_lease_message_contains (const struct am_slot_lease_message *m,
                                     uint32_t loan_id);

/* Sends M to the peer port of member TO, if there is such a member.  */
void am_slot_lease_send (struct am_board *b, uint32_t to,
                         const struct am_slot_lease_message *m);

struct am_token_bucket
{
  double tokens;
  uint64_t at_us;
};

/* Takes a token of K, which fills by RATE a second up to BURST.  Returns false
   if there is none.  */
bool am_token_bucket_take (struct am_token_bucket *k, uint64_t now_us,
                           double rate, double burst);

#endif
