#include "flow/store_sync.h"

void
am_store_sync_init (struct am_store_sync *c, uint64_t now_us)
{
  *c = (struct am_store_sync){ .begin_us = now_us };
}

uint64_t
am_store_sync_age (const struct am_store_sync *c, uint64_t now_us)
{
  return now_us - (c->last_confirmed_us ? c->last_confirmed_us : c->begin_us);
}

void
am_store_sync_confirmed (struct am_store_sync *c, uint64_t now_us)
{
  if (!c->present)
    c->regained_us = now_us;
  c->present = true;
  c->last_confirmed_us = now_us;
}

void
am_store_sync_lost (struct am_store_sync *c)
{
  c->present = false;
}

bool
am_store_sync_check (struct am_store_sync *c, uint64_t now_us)
{
  if (c->present && now_us - c->last_confirmed_us > AM_STORE_SYNC_STALE_US)
    c->present = false;
  return c->present;
}

uint64_t
am_store_sync_grace_end (const struct am_store_sync *c)
{
  if (!c->present)
    return UINT64_MAX;
  return c->regained_us + AM_STORE_SYNC_GRACE_US;
}

bool
am_store_sync_authoritative (const struct am_store_sync *c, uint64_t now_us)
{
  return now_us >= am_store_sync_grace_end (c);
}
