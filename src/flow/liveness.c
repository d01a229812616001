#include "flow/liveness.h"

static uint64_t
retry_delay_us (uint32_t unanswered)
{
  uint64_t delay = AM_LIVENESS_RETRY_US;

  while (unanswered > 1 && delay < AM_LIVENESS_RETRY_MAX_US)
    {
      delay *= 2;
      unanswered--;
    }
  return delay;
}

void
am_liveness_syn_sent (struct am_target *t, uint64_t now_us)
{
  if (!t->unanswered_since_us)
    t->unanswered_since_us = now_us;
  else if (t->retry_us && now_us >= t->retry_us)
    t->retry_us = now_us + retry_delay_us (t->unanswered_count + 1);
}

void
am_liveness_progress (struct am_target *t, uint64_t now_us)
{
  t->last_progress_us = now_us;
  t->unanswered_since_us = 0;
  t->retry_us = 0;
  t->unanswered_count = 0;
  t->data_unanswered_count = 0;
}

void
am_liveness_unanswered (struct am_target *t, uint64_t now_us)
{
  t->unanswered_count++;
  t->last_unanswered_us = now_us;
  if (!t->unanswered_since_us)
    t->unanswered_since_us = now_us;
  if (t->retry_us <= now_us)
    t->retry_us = now_us + retry_delay_us (t->unanswered_count);
}

void
am_liveness_data_unanswered (struct am_target *t, uint64_t since_us,
                             uint64_t now_us)
{
  am_liveness_unanswered (t, now_us);
  if (!t->data_unanswered_count)
    t->first_data_unanswered_us = since_us;
  t->data_unanswered_count++;
  t->last_data_unanswered_us = now_us;
}

bool
am_liveness_unresponsive (const struct am_target *t, uint64_t now_us)
{
  if (!t->unanswered_since_us)
    return false;
  return t->unanswered_count
         || now_us - t->unanswered_since_us > AM_LIVENESS_SYN_TIMEOUT_US;
}

/* Returns the time since which T does not answer data, here or at enough
   peers.  */
static uint64_t
data_unanswered_since_us (const struct am_target *t)
{
  if (t->data_reporting_peers >= AM_LIVENESS_REPORTING_PEERS_MIN
      && t->data_reported_since_us < t->first_data_unanswered_us)
    return t->data_reported_since_us;
  return t->first_data_unanswered_us;
}

bool
am_liveness_failed (const struct am_target *t, size_t peers, uint64_t now_us)
{
  uint32_t count = t->data_unanswered_count + t->data_reporting_peers;

  if (peers >= AM_LIVENESS_CORROBORATION_PEERS && !t->data_reporting_peers)
    return false;
  if (!t->data_unanswered_count || count < AM_LIVENESS_UNANSWERED_MIN
      || now_us - data_unanswered_since_us (t)
             < AM_LIVENESS_UNANSWERED_SPAN_MIN_US)
    return false;
  return now_us - t->last_data_unanswered_us < AM_LIVENESS_EVIDENCE_MAX_AGE_US
         && now_us - t->last_progress_us > AM_LIVENESS_NO_PROGRESS_US;
}

bool
am_liveness_local_fault (const struct am_target_table *t, uint64_t now_us)
{
  unsigned unresponsive = 0;
  unsigned responsive = 0;

  am_list_each (g, &t->targets, struct am_target, node)
  {
    if (g->spec.data_centre != t->data_centre)
      continue;
    if (g->unanswered_count
        && now_us - g->last_unanswered_us < AM_LIVENESS_EVIDENCE_MAX_AGE_US)
      unresponsive++;
    else if (g->last_progress_us
             && now_us - g->last_progress_us < AM_LIVENESS_EVIDENCE_MAX_AGE_US)
      responsive++;
  }
  return unresponsive > responsive;
}

bool
am_liveness_usable (const struct am_target *t, uint64_t now_us)
{
  if (t->reporting_peers >= AM_LIVENESS_REPORTING_PEERS_MIN
      && now_us - t->last_progress_us > AM_LIVENESS_NO_PROGRESS_US)
    return false;
  if (!am_liveness_unresponsive (t, now_us))
    return true;
  return t->retry_us && now_us >= t->retry_us;
}
