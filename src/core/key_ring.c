#include "core/key_ring.h"

#include "base/error.h"

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
  err = am_ticket_open (t, scope, key->secret, buf);
  if (err)
    return err;
  *renew = key->state == AMARANTH__KEY_STATE__KEY_VERIFY
           && am_key_ring_active (b);
  return AM_OK;
}
