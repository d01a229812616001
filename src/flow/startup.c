#include "flow/startup.h"

/* Time of a listing on a link of LINK_MBPS: bits divided by bits per
   microsecond.  */
static uint64_t
wait_us (uint32_t link_mbps)
{
  uint64_t wait;

  if (!link_mbps)
    return 0;
  wait = AM_STARTUP_LISTING_BYTES * 8u / link_mbps;
  return wait < AM_STARTUP_WAIT_MAX_US ? wait : AM_STARTUP_WAIT_MAX_US;
}

void
am_startup_init (struct am_startup *s, size_t seeds, uint32_t link_mbps,
                 uint64_t now_us)
{
  uint64_t wait = seeds ? wait_us (link_mbps) : 0;

  *s = (struct am_startup){ .lookup = AM_STARTUP_LOOKUP_DONE,
                            .list_us = now_us + wait,
                            .seeds = (uint32_t)seeds,
                            .sources = (uint32_t)seeds };
  if (wait > AM_STARTUP_CONNECT_US)
    s->lookup = AM_STARTUP_LOOKUP_DUE;
}

void
am_startup_lookup_begun (struct am_startup *s)
{
  s->lookup = AM_STARTUP_LOOKUP_BEGUN;
}

void
am_startup_lookup_done (struct am_startup *s, size_t suppliers,
                        uint64_t now_us)
{
  s->lookup = AM_STARTUP_LOOKUP_DONE;
  if (!suppliers)
    return;
  s->sources = s->seeds + (uint32_t)suppliers;
  s->failures = 0;
  s->unanswered = 0;
  s->retry_us = now_us;
}

bool
am_startup_asks_source (const struct am_startup *s, uint64_t now_us)
{
  return s->sources && now_us >= s->retry_us;
}

void
am_startup_source_asked (struct am_startup *s, uint64_t now_us)
{
  s->asked_us = now_us;
}

bool
am_startup_abandons_source (const struct am_startup *s, uint64_t now_us)
{
  return now_us - s->asked_us >= AM_STARTUP_CONNECT_US;
}

/* Returns the pause before the next request.  */
static uint64_t
retry_pause_us (const struct am_startup *s)
{
  uint64_t pause = AM_STARTUP_RETRY_MIN_US;

  if (s->failures < s->sources)
    return 0;
  for (uint32_t n = s->failures / AM_STARTUP_RETRY_COUNT;
       n && pause < AM_STARTUP_RETRY_MAX_US; n--)
    pause *= 2;
  return pause;
}

void
am_startup_source_failed (struct am_startup *s, bool answered, uint64_t now_us)
{
  s->failures++;
  s->unanswered += !answered;
  s->retry_us = now_us + retry_pause_us (s);
}

bool
am_startup_lists_store (const struct am_startup *s, uint64_t now_us)
{
  if (now_us >= s->list_us)
    return true;
  return s->lookup == AM_STARTUP_LOOKUP_DONE && s->unanswered >= s->sources;
}

bool
am_startup_requires_recent (const struct am_startup *s)
{
  return s->failures < s->sources;
}
