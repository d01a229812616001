#include "core/requests/retry_budget.h"

/* The binary floating-point sum of ten tenths is slightly below one.  */
#define ROUNDING_TOLERANCE 1e-9

static double
percent (const struct am_service *s)
{
  return s->retry_budget ? s->retry_budget : AM_RETRY_PERCENT_DEFAULT;
}

void
am_retry_budget_init (struct am_service *s)
{
  s->retry_tokens = percent (s);
}

void
am_retry_budget_add_success (struct am_service *s)
{
  s->retry_tokens += percent (s) / 100;
  if (s->retry_tokens > percent (s))
    s->retry_tokens = percent (s);
}

bool
am_retry_budget_take (struct am_service *s)
{
  if (s->retry_tokens < 1 - ROUNDING_TOLERANCE)
    return false;
  s->retry_tokens -= 1;
  return true;
}
