/* Batch of copies of tracked flows in one datagram:

     kind (1), sequence (4), groups

   The kind is AM_TRACKED_COPY or AM_TRACKED_HINTS; AM_TRACKED_COPY_ACK repeats
   the sequence number.  A group holds flows of one upstream:

     upstream (4), incarnation (4), count (1 to 255), keys

   Sizes are in bytes.  Keys are those of am_address_key in ascending order,
   delta-encoded (the first as the difference from 0) as variable-length
   integers of 7 bits a byte, the lowest bits first; the high bit of a byte is
   set if another byte follows.  */

#ifndef AM_CORE_TRACKED_BATCH_H
#define AM_CORE_TRACKED_BATCH_H

#include "core/binding/tracked.h"

#define AM_TRACKED_BATCH_HEADER_SIZE 5

/* Sorts the N flows at LIST by upstream, incarnation and key.  */
void am_tracked_batch_sort (struct am_tracked_flow **list, size_t n);

/* Writes the groups of BATCH and its length from the sorted LIST of N flows.
   Returns how many of the flows fitted.  */
size_t am_tracked_batch_fill (struct am_tracked_batch *batch,
                              struct am_tracked_flow *const *list, size_t n);

/* Calls CALLBACK for each flow in the LEN bytes at BODY, or for none if they
   are malformed.  Returns AM_OK, AM_E_SHORT or AM_E_FORMAT.  */
int am_tracked_batch_parse (const uint8_t *body, size_t len,
                            void (*callback) (void *userdata, uint64_t key,
                                              uint32_t id,
                                              uint32_t incarnation),
                            void *userdata);

#endif
