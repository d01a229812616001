#include "core/retry_budget.h"

/* Ten tenths added up in binary are a little less than one.  */
#define ROUNDING 1e-9

void
am_retry_init (struct am_service *s)
{
  s->retry_tokens = AM_RETRY_BURST;
}

void
am_retry_success (struct am_service *s)
{
  s->retry_tokens += AM_RETRY_SHARE;
  if (s->retry_tokens > AM_RETRY_BURST)
    s->retry_tokens = AM_RETRY_BURST;
}

bool
am_retry_take (struct am_service *s)
{
  if (s->retry_tokens < 1 - ROUNDING)
    return false;
  s->retry_tokens -= 1;
  return true;
}
