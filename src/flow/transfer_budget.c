#include "flow/transfer_budget.h"

/* 1 Mbit/s in bytes per microsecond.  */
#define BYTES_PER_US 0.125

static double
burst (const struct am_transfer_budget *b)
{
  return b->bytes_per_us * AM_TRANSFER_BURST_US;
}

void
am_transfer_budget_init (struct am_transfer_budget *b, uint32_t link_mbps,
                         uint64_t now_us)
{
  b->bytes_per_us = link_mbps * BYTES_PER_US * AM_TRANSFER_LINK_SHARE;
  b->bytes = burst (b);
  b->updated_us = now_us;
}

bool
am_transfer_budget_take (struct am_transfer_budget *b, size_t len,
                         uint64_t now_us)
{
  if (b->bytes_per_us <= 0)
    return true;
  b->bytes += (double)(now_us - b->updated_us) * b->bytes_per_us;
  if (b->bytes > burst (b))
    b->bytes = burst (b);
  b->updated_us = now_us;
  if (b->bytes <= 0)
    return false;
  b->bytes -= (double)len;
  return true;
}
