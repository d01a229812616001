#include "core/configuration/control_store_index.h"

uint64_t
am_store_index (const struct am_control *c)
{
  const struct am_readers *r = &c->readers;

  if (r->known.digest == c->config.digest && r->known.index)
    return r->known.index;
  return r->hint.digest == c->config.digest ? r->hint.index : 0;
}

void
am_store_index_heard (struct am_control *c, uint64_t digest, uint64_t index)
{
  struct am_store_point p = { digest, index };

  if (index == 0 || digest == 0)
    return;
  if (digest != c->config.digest)
    c->readers.hint = p;
  else if (index > am_store_index (c))
    c->readers.known = p;
}
