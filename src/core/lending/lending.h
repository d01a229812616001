/* Lending of idle slots between home VMs; see core/lending/quota.h for the
   protocol.  core/lending/lender.h and core/lending/borrower.h are its two
   sides, core/lending/slot_lease_message.h is the message format.
   am_lending_init and am_lending_finish are declared in core/lending/quota.h.
 */

#ifndef AM_CORE_LENDING_H
#define AM_CORE_LENDING_H

#include "core/lending/borrower.h"
#include "core/lending/lender.h"

/* Validity of a slot lease, in milliseconds: a borrower starts requests on it
   for this long after it sent its REQUEST.  Shorter than
   AM_QUOTA_HOLD_DOWN_US, so that a lease ends before the lender's quota is
   redistributed.  */
#define AM_SLOT_LEASE_VALID_MS 1800u

/* Safety margin, in microseconds, that the borrower subtracts from the
   validity and the lender adds to its expiry time.  */
#define AM_SLOT_LEASE_MARGIN_US 50000u

struct am_lending
{
  struct am_lender lender;
  struct am_borrower borrower;
};

#endif
