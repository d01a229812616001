#include "base/error.h"
#include "base/hash.h"
#include "core/binding/binding.h"
#include "core/binding/forward.h"
#include "core/targets/address_validation.h"

/* Baseline for comparison: hash of the caller modulo the number of active
   upstreams.  Every change of the upstreams moves most flows.  */

static int
hash_init (struct am_board *b, struct am_service *s)
{
  (void)b;
  s->binding_state = NULL;
  return AM_OK;
}

static void
hash_finish (struct am_board *b, struct am_service *s)
{
  (void)b;
  (void)s;
}

static bool
is_active (const struct am_upstream *u)
{
  return u->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE
         && !u->health.ejected;
}

static struct am_upstream *
pick (struct am_service *s, struct am_address caller)
{
  uint64_t key = am_address_key (caller);
  uint64_t n = 0;
  uint64_t at;

  am_list_each (u, &s->upstreams, struct am_upstream, node)
  {
    n += is_active (u);
  }
  if (n == 0)
    return NULL;
  at = am_hash_bytes (&key, sizeof key, s->id) % n;
  am_list_each (u, &s->upstreams, struct am_upstream, node)
  {
    if (is_active (u) && at-- == 0)
      return u;
  }
  return NULL;
}

static int
hash_from_caller (struct am_board *b, struct am_service *s,
                  struct am_address caller, const uint8_t *data, size_t len)
{
  struct am_upstream *u = pick (s, caller);

  if (!u)
    return AM_E_NO_UPSTREAM;
  if (!am_validation_check_or_probe (b, u))
    return AM_E_TIMEOUT;
  am_send_opaque_upstream (b, u, caller, data, len);
  return AM_OK;
}

static int
hash_from_upstream (struct am_board *b, struct am_service *s,
                    struct am_upstream *u, struct am_address caller,
                    const uint8_t *data, size_t len)
{
  (void)u;
  am_send_opaque_caller (b, s->address, caller, data, len);
  return AM_OK;
}

static void
hash_upstream_removed (struct am_board *b, struct am_service *s,
                       struct am_upstream *u)
{
  (void)b;
  (void)s;
  (void)u;
}

static bool
hash_may_exit (const struct am_board *b, const struct am_service *s)
{
  (void)b;
  (void)s;
  return true;
}

const struct am_binding_ops am_binding_hash = {
  .name = "hash",
  .init = hash_init,
  .finish = hash_finish,
  .from_caller = hash_from_caller,
  .from_upstream = hash_from_upstream,
  .from_peer = am_binding_reject_peer_message,
  .changed = am_binding_do_nothing,
  .upstream_removed = hash_upstream_removed,
  .tick = am_binding_do_nothing,
  .may_exit = hash_may_exit,
};
