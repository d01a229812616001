/* Budget for running repeatable requests again: a tenth of successes, burst
   10.  It keeps retries from multiplying the load of a service that fails.  */

#ifndef AM_CORE_RETRY_BUDGET_H
#define AM_CORE_RETRY_BUDGET_H

#include "core/board.h"

#define AM_RETRY_BURST 10.0
#define AM_RETRY_SHARE 0.1

void am_retry_init (struct am_service *s);
void am_retry_success (struct am_service *s);

/* Takes one retry.  Returns false if the budget is spent.  */
bool am_retry_take (struct am_service *s);

#endif
