#include "flow/liveness.h"

static uint64_t
retry_pause_us (uint32_t failures)
{
  uint64_t pause = AM_LIVENESS_RETRY_US;

  while (failures > 1 && pause < AM_LIVENESS_RETRY_MAX_US)
    {
      pause *= 2;
      failures--;
    }
  return pause;
}

void
am_liveness_asked (struct am_target *t, uint64_t now_us)
{
  if (!t->silent_us)
    t->silent_us = now_us;
  else if (t->retry_us && now_us >= t->retry_us)
    t->retry_us = now_us + retry_pause_us (t->failures + 1);
}

void
am_liveness_progress (struct am_target *t, uint64_t now_us)
{
  t->progress_us = now_us;
  t->silent_us = 0;
  t->retry_us = 0;
  t->failures = 0;
}

void
am_liveness_failure (struct am_target *t, uint64_t now_us)
{
  if (!t->failures)
    t->first_failure_us = now_us;
  t->failures++;
  t->failure_us = now_us;
  if (!t->silent_us)
    t->silent_us = now_us;
  if (t->retry_us <= now_us)
    t->retry_us = now_us + retry_pause_us (t->failures);
}

bool
am_liveness_silent (const struct am_target *t, uint64_t now_us)
{
  if (!t->silent_us)
    return false;
  return t->failures || now_us - t->silent_us > AM_LIVENESS_SILENCE_US;
}

bool
am_liveness_dead (const struct am_target *t, size_t peers, uint64_t now_us)
{
  if (peers >= AM_LIVENESS_WITNESSES && !t->silent_at)
    return false;
  if (!t->failures || t->failures + t->silent_at < AM_LIVENESS_FAILURES
      || now_us - t->first_failure_us < AM_LIVENESS_SPAN_US)
    return false;
  return now_us - t->failure_us < AM_LIVENESS_RECENT_US
         && now_us - t->progress_us > AM_LIVENESS_QUIET_US;
}

bool
am_liveness_doubtful (const struct am_target_table *t, uint64_t now_us)
{
  unsigned silent = 0;
  unsigned answer = 0;

  am_list_each (g, &t->targets, struct am_target, node)
  {
    if (g->spec.data_centre != t->data_centre)
      continue;
    if (g->failures && now_us - g->failure_us < AM_LIVENESS_RECENT_US)
      silent++;
    else if (g->progress_us && now_us - g->progress_us < AM_LIVENESS_RECENT_US)
      answer++;
  }
  return silent > answer;
}

bool
am_liveness_usable (const struct am_target *t, uint64_t now_us)
{
  if (t->silent_at >= AM_LIVENESS_PEERS
      && now_us - t->progress_us > AM_LIVENESS_QUIET_US)
    return false;
  if (!am_liveness_silent (t, now_us))
    return true;
  return t->retry_us && now_us >= t->retry_us;
}
