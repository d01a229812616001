/* TCP connections to upstreams, one per upstream, opened on demand.  */

#ifndef AM_IO_POOL_H
#define AM_IO_POOL_H

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

/* A connection that is not established after this time is given up: an
   upstream VM that has gone answers no SYN, and a request's deadline would
   pass before the system gives up.  */
#define AM_POOL_CONNECT_US 500000u

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
  uint64_t begun_us;  /* when the connection was begun */
  uint32_t under_way; /* requests sent and not answered */
  bool unsure;        /* an earlier connection of the upstream was replaced
                         with requests under way */
  bool unopened;      /* in lost: no packet has left */
};

struct am_pool_callbacks
{
  /* One packet.  Returns false to end the connection.  */
  bool (*packet) (void *userdata, struct am_pool_key key, const uint8_t *data,
                  size_t len);
  /* The connection failed or was closed by the upstream.  */
  void (*lost) (void *userdata, struct am_pool_key key);
  /* The connection could not be opened: nothing that was sent to the upstream
     since the last call of lost or unopened has left.  */
  void (*unopened) (void *userdata, struct am_pool_key key);
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
   A failure is reported by the lost or unopened callback, never during the
   call.  While a failure waits to be reported the packet is dropped, so that
   the report covers it.  */
void am_pool_send (struct am_pool *p, struct am_pool_key key,
                   struct am_address address, uint64_t now_us,
                   const uint8_t *data, size_t len);

/* Reports failures, gives up connections that do not open, and closes idle
   ones.  */
void am_pool_tick (struct am_pool *p, uint64_t now_us);

#endif
