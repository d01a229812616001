/* Lending of idle slots between home VMs; see core/lending/credit.h.
   core/lending/lender.h and core/lending/borrower.h are its two sides,
   core/lending/credit_message.h what they send.
 */

#ifndef AM_CORE_LENDING_H
#define AM_CORE_LENDING_H

#include "core/lending/borrower.h"
#include "core/lending/lender.h"

/* A borrower begins work on a loan for this long after its ASK.  Shorter than
   the hold-down, so that a loan ends before its lender's share moves on.  */
#define AM_SLOT_LEASE_VALID_MS 1800u

/* The borrower's validity ends this much before what the lender counts.  */
#define AM_SLOT_LEASE_MARGIN_US 50000u

struct am_lending
{
  struct am_lender lender;
  struct am_borrower borrower;
};

#endif
