/* Datagrams by which home VMs lend slots to each other, and the token bucket
   that limits their rate.  core/lending/quota.h has the wire format,
   docs/notes/credits.md the protocol.  */

#ifndef AM_CORE_SLOT_LEASE_MESSAGE_H
#define AM_CORE_SLOT_LEASE_MESSAGE_H

#include "core/board.h"

/* Most slots in one message.  */
#define AM_SLOT_LEASE_ITEMS_MAX 8

struct am_slot_lease_item
{
  uint32_t lease_id; /* unique per lender */
  uint32_t upstream_id;
};

struct am_slot_lease_message
{
  uint8_t op; /* enum am_slot_lease_op */
  uint8_t count;
  uint16_t value; /* REQUEST: slots wanted; GRANT: validity in milliseconds */
  uint32_t service_id;
  uint32_t number; /* of the REQUEST */
  uint16_t idle;   /* GRANT: idle slots that the lender keeps; else 0 */
  uint16_t renew;  /* REQUEST: 1 to renew leases too; GRANT: number of items,
                      the last ones, that are renewals */
  struct am_slot_lease_item items[AM_SLOT_LEASE_ITEMS_MAX];
};

/* Parses the LEN bytes at BUF into M.  Returns AM_OK, AM_E_SHORT or
   AM_E_FORMAT.  */
int am_slot_lease_decode (struct am_slot_lease_message *m, const uint8_t *buf,
                          size_t len);

/* Returns true if an item of M has the id LEASE_ID.  */
bool am_slot_lease_message_contains (const struct am_slot_lease_message *m,
                                     uint32_t lease_id);

/* Sends M to the peer port of member TO.  Does nothing if there is no such
   member.  */
void am_slot_lease_send (struct am_board *b, uint32_t to,
                         const struct am_slot_lease_message *m);

struct am_token_bucket
{
  double tokens;
  uint64_t at_us; /* time of the last refill */
};

/* Refills K with RATE tokens per second up to BURST, then takes one token.
   Returns false if there is none.  */
bool am_token_bucket_take (struct am_token_bucket *k, uint64_t now_us,
                           double rate, double burst);

#endif
