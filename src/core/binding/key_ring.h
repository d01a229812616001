/* Key ring: tickets are issued under the active key and accepted under every
   known key.  */

#ifndef AM_CORE_KEY_RING_H
#define AM_CORE_KEY_RING_H

#include "core/board.h"

/* Slots of the cache of verified tickets, which saves computing the MAC for
   every packet (figures in docs/notes/flow-binding.md).  A ticket replaces the
   one whose MAC gives the same slot.  An entry VM is planned for about 10,700
   flows.  */
#define AM_TICKET_CACHE_SLOTS 16384

/* Allocate and free B->tickets.  am_key_ring_init returns AM_OK or
   AM_E_MEMORY.  */
int am_key_ring_init (struct am_board *b);
void am_key_ring_finish (struct am_board *b);

/* Replaces the keys by the N at KEYS, N at most AM_KEYS_MAX, and clears the
   cache of verified tickets.  Does nothing if the keys are the same; they are
   compared as bytes, so padding must be zero.  */
void am_key_ring_replace (struct am_board *b, const struct am_key *keys,
                          size_t n);

/* Returns the key under which tickets are issued, or NULL if no key is active.
   Of several active keys it is the one with the greatest id, so that every
   entry VM uses the same one.  */
const struct am_key *am_key_ring_active (const struct am_board *b);

/* Issues T: sets T->key_id to the active key, seals the ticket under it and
   writes it to BUF (AM_TICKET_SIZE bytes).
   Returns AM_OK, or AM_E_KEY_UNKNOWN if no key is active.  */
int am_key_ring_mint (const struct am_board *b, struct am_ticket *t,
                      const struct am_ticket_scope *scope, uint8_t *buf);

/* Decodes and verifies the ticket at BUF for service SERVICE_ID.  Sets *RENEW
   if its key is being withdrawn and another one is active.  Returns AM_OK,
   AM_E_VERSION, AM_E_FORMAT, AM_E_KEY_UNKNOWN, AM_E_AUTH, or AM_E_TICKET if
   it was issued for another service.  After AM_E_KEY_UNKNOWN too, T holds the
   fields of the ticket, which are not authenticated then.  */
int am_key_ring_verify (const struct am_board *b, struct am_ticket *t,
                        const struct am_ticket_scope *scope,
                        uint32_t service_id, const uint8_t *buf, bool *renew);

#endif
