/* Key ring: tickets are minted under the active key and accepted under any
   known key.  */

#ifndef AM_CORE_KEY_RING_H
#define AM_CORE_KEY_RING_H

#include "core/board.h"

/* Tickets verified before are remembered, so that the MAC is not computed for
   every packet (figures in docs/notes/flow-binding.md).  A slot is taken over
   by the next ticket that falls into it; one entry VM of the target size holds
   about 10,700 flows.  */
#define AM_TICKET_CACHE_SLOTS 16384

/* Set up and free B->tickets.  am_key_ring_init returns AM_OK or
   AM_E_MEMORY.  */
int am_key_ring_init (struct am_board *b);
void am_key_ring_finish (struct am_board *b);

/* Replaces the keys by the N of KEYS, N at most AM_KEYS_MAX, and forgets every
   verified ticket.  No effect if they are the same; padding must be zero.  */
void am_key_ring_replace (struct am_board *b, const struct am_key *keys,
                          size_t n);

/* Returns the key that mints, or NULL if no key is active.  Of several active
   keys it is the one with the greatest id, so that every entry VM picks the
   same.  */
const struct am_key *am_key_ring_active (const struct am_board *b);

/* Sets T->key_id and writes the sealed ticket to BUF (AM_TICKET_SIZE bytes).
   Returns AM_OK, or AM_E_KEY_UNKNOWN if no key is active.  */
int am_key_ring_mint (const struct am_board *b, struct am_ticket *t,
                      const struct am_ticket_scope *scope, uint8_t *buf);

/* Reads and checks the ticket at BUF for service SERVICE_ID.  Sets *RENEW if
   its key is being withdrawn and another is active.  Returns AM_OK,
   AM_E_VERSION, AM_E_FORMAT, AM_E_KEY_UNKNOWN, AM_E_AUTH, or AM_E_TICKET if
   it was issued for another service.  T holds the ticket's fields, unchecked,
   after AM_E_KEY_UNKNOWN too.  */
int am_key_ring_verify (const struct am_board *b, struct am_ticket *t,
                        const struct am_ticket_scope *scope,
                        uint32_t service_id, const uint8_t *buf, bool *renew);

#endif
