#include "flow/store_sync.h"

void
am_store_sync_init (struct am_store_sync *s, uint64_t now_us)
{
  *s = (struct am_store_sync){ .started_us = now_us };
}

uint64_t
am_store_sync_age (const struct am_store_sync *s, uint64_t now_us)
{
  return now_us
         - (s->last_confirmed_us ? s->last_confirmed_us : s->started_us);
}

void
am_store_sync_confirmed (struct am_store_sync *s, uint64_t now_us)
{
  if (!s->in_sync)
    s->in_sync_since_us = now_us;
  s->in_sync = true;
  s->last_confirmed_us = now_us;
}

void
am_store_sync_lost (struct am_store_sync *s)
{
  s->in_sync = false;
}

void
am_store_sync_restored (struct am_store_sync *s, uint64_t now_us)
{
  s->in_sync_since_us = now_us;
}

bool
am_store_sync_check (struct am_store_sync *s, uint64_t now_us)
{
  if (s->in_sync && now_us - s->last_confirmed_us > AM_STORE_SYNC_STALE_US)
    s->in_sync = false;
  return s->in_sync;
}

uint64_t
am_store_sync_grace_end (const struct am_store_sync *s)
{
  if (!s->in_sync)
    return UINT64_MAX;
  return s->in_sync_since_us + AM_STORE_SYNC_GRACE_US;
}

bool
am_store_sync_authoritative (const struct am_store_sync *s, uint64_t now_us)
{
  return now_us >= am_store_sync_grace_end (s);
}
