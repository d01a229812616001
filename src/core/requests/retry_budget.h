/* Retry budget: limits retries of repeatable requests to a share of the
   successes, am_service.retry_budget percent, so that retries do not multiply
   the load of a failing service.  A burst may be as large as the budget of 100
   successes, so 10 with the default.  */

#ifndef AM_CORE_RETRY_BUDGET_H
#define AM_CORE_RETRY_BUDGET_H

#include "core/board.h"

#define AM_RETRY_PERCENT_DEFAULT 10

/* Fills the budget of S (am_service.retry_tokens, in retries) to its maximum.
 */
void am_retry_budget_init (struct am_service *s);

/* Adds the share of one success, up to the maximum.  */
void am_retry_budget_add_success (struct am_service *s);

/* Takes one retry.  Returns false if the budget is exhausted.  */
bool am_retry_budget_take (struct am_service *s);

#endif
