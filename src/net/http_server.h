/* HTTP/1.1 server on a libuv loop, for GET with short answers.

   Connections are bounded in number and time, so that a client that hangs or
   sends garbage costs neither memory nor service.  Messages are parsed by
   http_parser.  */

#ifndef AM_NET_HTTP_SERVER_H
#define AM_NET_HTTP_SERVER_H

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "base/address.h"
#include "base/list.h"
#include "net/http_client.h"

/* Connections at a time; another one is closed at once.  */
#define AM_HTTP_SERVER_CONNECTIONS 64

/* A connection without a complete request for this time is closed, ms.  */
#define AM_HTTP_SERVER_IDLE_MS 10000u

struct am_http_reply
{
  int status;
  uint8_t *body; /* owned by the server, freed with free; NULL: none */
  size_t body_len;
};

/* Answers GET PATH, which has its query.  */
typedef void (*am_http_handler) (void *userdata, const char *path,
                                 struct am_http_reply *reply);

struct am_http_server
{
  uv_tcp_t tcp;
  uv_loop_t *loop;
  struct am_list connections;
  size_t connection_count;
  am_http_handler handler;
  void *userdata;
};

/* Listens on ADDRESS.  Returns AM_OK, AM_E_IO or AM_E_EXISTS.  After a
   failure S must not be closed.  */
int am_http_server_open (struct am_http_server *s, uv_loop_t *loop,
                         struct am_address address, am_http_handler handler,
                         void *userdata);

/* Closes S and its connections.  Its memory may be reused once the loop has
   run again.  */
void am_http_server_close (struct am_http_server *s);

#endif
