/* Bound on what a VM sends to peers that request its whole replica.

   Such a response is large, and VMs that start together all ask the same few
   seeds.  On a narrow link the responses would delay the packets that the seed
   forwards, and callers would retransmit them.  The budget leaves half of the
   link to packets; a peer that is refused lists the store.  */

#ifndef AM_FLOW_TRANSFER_BUDGET_H
#define AM_FLOW_TRANSFER_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Share of the link's bandwidth that responses may use.  */
#define AM_TRANSFER_LINK_SHARE 0.5

/* What this share carries in this time may be sent at once.  */
#define AM_TRANSFER_BURST_US 100000u

struct am_transfer_budget
{
  double bytes_per_us; /* 0: not bounded */
  double bytes; /* that may be sent now; below 0 after a response that is
                   larger than the budget */
  uint64_t updated_us; /* monotonic clock */
};

/* LINK_MBPS is the bandwidth of this VM's link in Mbit/s; 0: not known, which
   leaves the budget unbounded.  */
void am_transfer_budget_init (struct am_transfer_budget *b, uint32_t link_mbps,
                              uint64_t now_us);

/* Takes LEN bytes from the budget.  Returns false, and takes nothing, if it is
   used up.  */
bool am_transfer_budget_take (struct am_transfer_budget *b, size_t len,
                              uint64_t now_us);

#endif
