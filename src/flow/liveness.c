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
am_liveness_syn_sent (struct am_target *t, uint64_t now_us)
{
  if (!t->silent_us)
    t->silent_us = now_us;
  else if (t->retry_us && now_us >= t->retry_us)
    t->retry_us = now_us + retry_pause_us (t->failures + 1);
}

void
am_liveness_progress (struct am_target *t, uint64_t now_us)
{
  t->last_progress_us = now_us;
  t->silent_us = 0;
  t->retry_us = 0;
  t->failures = 0;
}

void
am_liveness_unanswered (struct am_target *t, uint64_t now_us)
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
am_liveness_unresponsive (const struct am_target *t, uint64_t now_us)
{
  if (!t->silent_us)
    return false;
  return t->failures || now_us - t->silent_us > AM_LIVENESS_SYN_TIMEOUT_US;
}

bool
am_liveness_failed (const struct am_target *t, size_t peers, uint64_t now_us)
{
  if (peers >= AM_LIVENESS_CORROBORATION_PEERS && !t->silent_at)
    return false;
  if (!t->failures || t->failures + t->silent_at < AM_LIVENESS_FAILURES_MIN
      || now_us - t->first_failure_us < AM_LIVENESS_FAILURE_SPAN_MIN_US)
    return false;
  return now_us - t->failure_us < AM_LIVENESS_EVIDENCE_MAX_AGE_US
         && now_us - t->last_progress_us > AM_LIVENESS_NO_PROGRESS_US;
}

bool
am_liveness_local_fault (const struct am_target_table *t, uint64_t now_us)
{
  unsigned silent = 0;
  unsigned answer = 0;

  am_list_each (g, &t->targets, struct am_target, node)
  {
    if (g->spec.data_centre != t->data_centre)
      continue;
    if (g->failures
        && now_us - g->failure_us < AM_LIVENESS_EVIDENCE_MAX_AGE_US)
      silent++;
    else if (g->last_progress_us
             && now_us - g->last_progress_us < AM_LIVENESS_EVIDENCE_MAX_AGE_US)
      answer++;
  }
  return silent > answer;
}

bool
am_liveness_usable (const struct am_target *t, uint64_t now_us)
{
  if (t->silent_at >= AM_LIVENESS_UNRESPONSIVE_PEERS_MIN
      && now_us - t->last_progress_us > AM_LIVENESS_NO_PROGRESS_US)
    return false;
  if (!am_liveness_unresponsive (t, now_us))
    return true;
  return t->retry_us && now_us >= t->retry_us;
}
