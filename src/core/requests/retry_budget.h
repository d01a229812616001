/* Budget for running repeatable requests again: a share of the successes,
   am_service.retry_budget percent.  It keeps retries from multiplying the load
   of a service that fails.  A burst may be as large as the budget of 100
   successes, so 10 with the default.  */

#ifndef AM_CORE_RETRY_BUDGET_H
#define AM_CORE_RETRY_BUDGET_H

#include "core/board.h"

#define AM_RETRY_PERCENT_DEFAULT 10

void am_retry_budget_init (struct am_service *s);
void am_retry_budget_add_success (struct am_service *s);

/* Takes one retry.  Returns false if the budget is spent.  */
bool am_retry_budget_take (struct am_service *s);

#endif
