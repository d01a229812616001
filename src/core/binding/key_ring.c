#include "core/binding/key_ring.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "wire/bytes.h"

struct slot
{
  struct am_ticket_scope scope;
  uint8_t ticket[AM_TICKET_SIZE];
};

struct am_ticket_cache
{
  struct slot slots[AM_TICKET_CACHE_SLOTS];
};

int
am_key_ring_init (struct am_board *b)
{
  b->tickets = calloc (1, sizeof *b->tickets);
  return b->tickets ? AM_OK : AM_E_MEMORY;
}

void
am_key_ring_finish (struct am_board *b)
{
  free (b->tickets);
  b->tickets = NULL;
}

void
am_key_ring_replace (struct am_board *b, const struct am_key *keys, size_t n)
{
  if (n == b->key_count && memcmp (b->keys, keys, n * sizeof *keys) == 0)
    return;
  memset (b->keys, 0, sizeof b->keys);
  if (n)
    memcpy (b->keys, keys, n * sizeof *keys);
  b->key_count = n;
  memset (b->tickets, 0, sizeof *b->tickets);
}

/* The last bytes of the MAC distribute the tickets evenly.  */
static struct slot *
cache_slot (const struct am_board *b, const uint8_t *ticket)
{
  uint32_t end = am_get_u32 (ticket + AM_TICKET_SIZE - 4);

  return &b->tickets->slots[end % AM_TICKET_CACHE_SLOTS];
}

static bool
is_verified (const struct slot *s, const struct am_ticket_scope *scope,
             const uint8_t *ticket)
{
  return s->scope.connection_id == scope->connection_id
         && s->scope.caller_ip == scope->caller_ip
         && am_address_equal (s->scope.service, scope->service)
         && am_ticket_equal (s->ticket, ticket);
}

const struct am_key *
am_key_ring_active (const struct am_board *b)
{
  const struct am_key *best = NULL;

  for (size_t i = 0; i < b->key_count; i++)
    if (b->keys[i].state == AMARANTH__KEY_STATE__KEY_ACTIVE
        && (!best || b->keys[i].id > best->id))
      best = &b->keys[i];
  return best;
}

static const struct am_key *
find_key (const struct am_board *b, uint32_t id)
{
  for (size_t i = 0; i < b->key_count; i++)
    if (b->keys[i].id == id)
      return &b->keys[i];
  return NULL;
}

int
am_key_ring_mint (const struct am_board *b, struct am_ticket *t,
                  const struct am_ticket_scope *scope, uint8_t *buf)
{
  const struct am_key *key = am_key_ring_active (b);

  if (!key)
    return AM_E_KEY_UNKNOWN;
  t->key_id = key->id;
  am_ticket_seal (t, scope, key->secret, buf);
  return AM_OK;
}

int
am_key_ring_verify (const struct am_board *b, struct am_ticket *t,
                    const struct am_ticket_scope *scope, uint32_t service_id,
                    const uint8_t *buf, bool *renew)
{
  struct slot *slot = cache_slot (b, buf);
  const struct am_key *key;
  int err = am_ticket_peek (t, buf);

  *renew = false;
  if (err)
    return err;
  if (t->service_id != service_id)
    return AM_E_TICKET;
  key = find_key (b, t->key_id);
  if (!key)
    return AM_E_KEY_UNKNOWN;
  if (!is_verified (slot, scope, buf))
    {
      err = am_ticket_open (t, scope, key->secret, buf);
      if (err)
        return err;
      slot->scope = *scope;
      memcpy (slot->ticket, buf, AM_TICKET_SIZE);
    }
  *renew = key->state == AMARANTH__KEY_STATE__KEY_VERIFY
           && am_key_ring_active (b);
  return AM_OK;
}
