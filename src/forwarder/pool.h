/* TCP connections to upstreams, one per upstream, opened on demand.  */

#ifndef AM_FORWARDER_POOL_H
#define AM_FORWARDER_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>
#include <uv.h>

#include "base/address.h"
#include "base/list.h"
#include "io/stream.h"

/* A connection without packets and without a request under way is closed after
   this time.  */
#define AM_POOL_IDLE_US 60000000u

#define AM_POOL_CONNECTIONS_MAX 1024

struct am_pool_key
{
  uint32_t service_id;
  uint32_t upstream_id;
};

struct am_pool_connection
{
  UT_hash_handle by_key;
  UT_hash_handle by_stream;
  struct am_list node; /* in used or lost */
  struct am_pool_key key;
  struct am_address address;
  struct am_stream *stream;
  uint64_t used_us;
  uint32_t under_way; /* requests sent and not answered */
};

struct am_pool_callbacks
{
  /* One packet.  Returns false to end the connection.  */
  bool (*packet) (void *userdata, struct am_pool_key key, const uint8_t *data,
                  size_t len);
  /* The connection failed or was closed by the upstream.  */
  void (*lost) (void *userdata, struct am_pool_key key);
};

struct am_pool
{
  uv_loop_t *loop;
  struct am_pool_callbacks callbacks;
  void *userdata;
  struct am_pool_connection *by_key;
  struct am_pool_connection *by_stream;
  struct am_list used; /* least recently used first */
  struct am_list lost; /* to be reported at the next tick */
  size_t count;
};

void am_pool_init (struct am_pool *p, uv_loop_t *loop,
                   const struct am_pool_callbacks *callbacks, void *userdata);

/* Closes every connection without a callback.  */
void am_pool_finish (struct am_pool *p);

/* Sends a packet to the upstream KEY at ADDRESS, connecting first if need be.
   A failure is reported by the lost callback, never during the call.  While a
   loss waits to be reported the packet is dropped, so that the loss covers
   it.  */
void am_pool_send (struct am_pool *p, struct am_pool_key key,
                   struct am_address address, uint64_t now_us,
                   const uint8_t *data, size_t len);

/* Reports failures and closes idle connections.  */
void am_pool_tick (struct am_pool *p, uint64_t now_us);

#endif
