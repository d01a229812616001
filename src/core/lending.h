/* Lending of idle slots between home VMs; see core/credit.h.  */

#ifndef AM_CORE_LENDING_H
#define AM_CORE_LENDING_H

#include "core/board.h"

/* A borrower begins work on a loan for this long after its ASK.  Shorter than
   the hold-down, so that a loan ends before its lender's share moves on.  */
#define AM_LOAN_VALID_MS 1800u

/* Ends the validity of loans that nobody uses, repeats RETURN, takes back
   lent slots whose time is up or whose borrower is gone.  */
void am_lending_tick (struct am_board *b);

#endif
