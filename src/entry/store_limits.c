#include "entry/store_limits.h"

/* 1 Mbit/s in bytes per millisecond.  */
#define BYTES_PER_MS 125.0

static double
link_bytes_per_ms (uint32_t link_mbps)
{
  return BYTES_PER_MS * (link_mbps ? link_mbps : AM_STORE_LINK_DEFAULT_MBPS);
}

static uint32_t
transfer_ms (uint32_t link_mbps, size_t bytes)
{
  double bytes_per_ms = link_bytes_per_ms (link_mbps) * AM_STORE_LINK_SHARE;

  return (uint32_t)((double)bytes / bytes_per_ms);
}

size_t
am_store_listing_bytes (size_t count, size_t bytes)
{
  return (size_t)((double)bytes * AM_STORE_VALUE_FACTOR)
         + count * AM_STORE_ITEM_OVERHEAD;
}

struct am_http_limits
am_store_watch_limits (uint32_t link_mbps, size_t listing_bytes)
{
  double carried = link_bytes_per_ms (link_mbps) * AM_STORE_WATCH_TRANSFER_MS;
  size_t max = AM_HTTP_BODY_MAX;

  if (carried < (double)max)
    max = (size_t)carried;
  if (max < listing_bytes)
    max = listing_bytes < AM_HTTP_BODY_MAX ? listing_bytes : AM_HTTP_BODY_MAX;
  return (struct am_http_limits){ .begin_ms = AM_STORE_WATCH_BEGIN_MS,
                                  .stall_ms = AM_STORE_STALL_MS,
                                  .total_ms = AM_STORE_WATCH_BEGIN_MS
                                              + transfer_ms (link_mbps, max),
                                  .body_max = max };
}

struct am_http_limits
am_store_list_limits (uint32_t link_mbps)
{
  return (struct am_http_limits){
    .begin_ms = AM_STORE_LIST_BEGIN_MS,
    .stall_ms = AM_STORE_STALL_MS,
    .total_ms
    = AM_STORE_LIST_BEGIN_MS + transfer_ms (link_mbps, AM_STORE_PAGE_BYTES),
    .body_max = AM_HTTP_BODY_MAX
  };
}
