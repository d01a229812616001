#include "wire/ticket.h"

#include <sodium.h>
#include <string.h>

#include "base/error.h"
#include "wire/bytes.h"

#define MAC_OFFSET (AM_TICKET_SIZE - AM_TICKET_MAC_SIZE)
#define SCOPE_SIZE 18

static void
ticket_mac (const uint8_t *buf, const struct am_ticket_scope *scope,
            const uint8_t *key, uint8_t *mac)
{
  uint8_t input[MAC_OFFSET + SCOPE_SIZE];

  memcpy (input, buf, MAC_OFFSET);
  am_put_u32 (input + MAC_OFFSET, scope->caller_ip);
  am_put_u32 (input + MAC_OFFSET + 4, scope->service.ip);
  am_put_u16 (input + MAC_OFFSET + 8, scope->service.port);
  am_put_u64 (input + MAC_OFFSET + 10, scope->connection_id);
  crypto_generichash (mac, AM_TICKET_MAC_SIZE, input, sizeof input, key,
                      AM_TICKET_KEY_SIZE);
}

void
am_ticket_seal (const struct am_ticket *t, const struct am_ticket_scope *scope,
                const uint8_t *key, uint8_t *buf)
{
  buf[0] = AM_TICKET_VERSION;
  buf[1] = t->kind;
  buf[2] = t->request_class;
  buf[3] = 0;
  am_put_u32 (buf + 4, t->key_id);
  am_put_u32 (buf + 8, t->service_id);
  am_put_u32 (buf + 12, t->upstream_id);
  am_put_u32 (buf + 16, t->upstream_incarnation);
  am_put_u32 (buf + 20, t->issuer_id);
  am_put_u64 (buf + 24, t->issuer_boot_id);
  am_put_u64 (buf + 32, t->serial);
  am_put_u64 (buf + 40, t->issued_ms);
  ticket_mac (buf, scope, key, buf + MAC_OFFSET);
}

int
am_ticket_peek (struct am_ticket *t, const uint8_t *buf)
{
  if (buf[0] != AM_TICKET_VERSION)
    return AM_E_VERSION;
  if (buf[1] > AM_OPEN_REQUEST || buf[3] != 0)
    return AM_E_FORMAT;
  t->kind = buf[1];
  t->request_class = buf[2];
  t->key_id = am_get_u32 (buf + 4);
  t->service_id = am_get_u32 (buf + 8);
  t->upstream_id = am_get_u32 (buf + 12);
  t->upstream_incarnation = am_get_u32 (buf + 16);
  t->issuer_id = am_get_u32 (buf + 20);
  t->issuer_boot_id = am_get_u64 (buf + 24);
  t->serial = am_get_u64 (buf + 32);
  t->issued_ms = am_get_u64 (buf + 40);
  return AM_OK;
}

bool
am_ticket_equal (const uint8_t *a, const uint8_t *b)
{
  return sodium_memcmp (a, b, AM_TICKET_SIZE) == 0;
}

int
am_ticket_open (struct am_ticket *t, const struct am_ticket_scope *scope,
                const uint8_t *key, const uint8_t *buf)
{
  uint8_t mac[AM_TICKET_MAC_SIZE];
  int err = am_ticket_peek (t, buf);

  if (err)
    return err;
  ticket_mac (buf, scope, key, mac);
  if (sodium_memcmp (mac, buf + MAC_OFFSET, sizeof mac) != 0)
    return AM_E_AUTH;
  return AM_OK;
}
