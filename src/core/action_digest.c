#include "core/action_digest.h"

#include "base/hash.h"

void
am_action_digest_add (struct am_action_digest *d, const struct am_action *a)
{
  uint64_t fields[] = { a->type,       am_address_key (a->to),
                        a->service_id, a->upstream_id,
                        a->tag,        a->len };

  d->value = am_hash_bytes (fields, sizeof fields, d->value);
  if (a->len)
    d->value = am_hash_bytes (a->data, a->len, d->value);
  d->actions++;
}
