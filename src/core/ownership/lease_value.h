/* JSON value of the key that names the owner of the ticketless requests of a
   service:

   {"owner": 1, "boot": "4f2a...", "epoch": 3, "released": false,
    "handed_to": 0, "eligible": [1, 2, 3]}  */

#ifndef AM_CORE_LEASE_VALUE_H
#define AM_CORE_LEASE_VALUE_H

#include "core/ownership/owner_lease.h"

/* Size of the buffer in bytes, NUL included.  */
#define AM_LEASE_VALUE_SIZE 512

/* Formats V as NUL-terminated text in BUF.  Returns the length without the
   NUL.  */
size_t am_lease_value_format (const struct am_lease_value *v,
                              char buf[AM_LEASE_VALUE_SIZE]);

/* Parses LEN bytes of TEXT into V.  Returns AM_OK or AM_E_FORMAT.  */
int am_lease_value_parse (struct am_lease_value *v, const uint8_t *text,
                          size_t len);

#endif
