/* Time and size limits of the store's responses, by this VM's link.

   A response that is on its way takes as long as the link needs for it, while
   a connection that has gone silent should be left soon.  So a call has a
   limit until its response begins, one between two reads, and one for the
   whole, which follows from the bytes that may come.

   A watch returns each change in full.  If a large item, such as the
   configuration, has changed several times, that is more than a listing, which
   returns it once; then the store is listed instead.  */

#ifndef AM_ENTRY_STORE_LIMITS_H
#define AM_ENTRY_STORE_LIMITS_H

#include "net/http_client.h"

/* Until a response begins, ms.  A watch without changes is answered after
   AM_STORE_WATCH_MS.  A connection may fail without a reset; this is detected
   soon enough for changes of the configuration to become active in time.  */
#define AM_STORE_WATCH_MS 800
#define AM_STORE_WATCH_BEGIN_MS 1400
#define AM_STORE_LIST_BEGIN_MS 1500

/* Between two reads of a response, ms.  */
#define AM_STORE_STALL_MS 700

/* Share of the link's bandwidth that a response gets at least; packets take
   the rest.  */
#define AM_STORE_LINK_SHARE 0.5

/* Assumed bandwidth of a link that the settings do not state, Mbit/s.  */
#define AM_STORE_LINK_DEFAULT_MBPS 10

/* Largest page of a listing: values of 1 MiB, of which the last may exceed it
   by as much, with the factor of their encoding.  */
#define AM_STORE_PAGE_BYTES (3u << 20)

/* Size of a value in a response, relative to its bytes, and what comes with
   it.  */
#define AM_STORE_VALUE_FACTOR 1.4
#define AM_STORE_ITEM_OVERHEAD 128

/* A response that the whole link carries in this time, ms, is read in any
   case: a listing takes a call more.  */
#define AM_STORE_WATCH_TRANSFER_MS 500

/* Returns the size of a listing of COUNT items whose keys and values take
   BYTES.  */
size_t am_store_listing_bytes (size_t count, size_t bytes);

/* Return the limits of a watch, where a listing would take LISTING_BYTES, and
   of a page of a listing.  LINK_MBPS is the bandwidth of this VM's link; 0: it
   is not known.  */
struct am_http_limits am_store_watch_limits (uint32_t link_mbps,
                                             size_t listing_bytes);
struct am_http_limits am_store_list_limits (uint32_t link_mbps);

#endif
