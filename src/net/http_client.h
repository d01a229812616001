/* HTTP/1.1 client of one server, one call at a time, on a libuv loop.

   The connection is kept between calls.  A call that fails or times out closes
   it: what a late answer would bring belongs to no call.  So do bytes that
   follow an answer or come between two calls.  Messages are parsed by
   http_parser.

   HTTP does not tell which call an answer belongs to.  If a server answers a
   call twice, and the second copy comes during the next call, the caller has
   to recognize it by its content.  */

#ifndef AM_NET_HTTP_CLIENT_H
#define AM_NET_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "base/address.h"

/* Largest body of an answer, bytes.  */
#define AM_HTTP_BODY_MAX (16u << 20)

/* Room for the name and for the value of the header that is looked for, and
   their NULs; a longer value is passed on as one that
   begins with "?".  */
#define AM_HTTP_HEADER_SIZE 32

/* Largest path of a call with its query, and largest body of a call, bytes. */
#define AM_HTTP_PATH_SIZE 1024
#define AM_HTTP_SENT_BODY_MAX 1024

/* How long a call may take, and how large its answer may be.  */
struct am_http_limits
{
  uint32_t begin_ms; /* until the first bytes of the answer */
  uint32_t stall_ms; /* between two reads of it */
  uint32_t total_ms; /* until the whole answer is there */
  size_t body_max;   /* bytes; at most AM_HTTP_BODY_MAX */
};

struct am_http_answer
{
  int error;           /* AM_OK, AM_E_CONNECTION, AM_E_TIMEOUT, AM_E_FORMAT,
                          AM_E_TOO_LARGE or AM_E_MEMORY */
  bool begun;          /* some of the answer was read */
  int status;          /* of HTTP; 0 on an error */
  const uint8_t *body; /* valid during the call; a NUL follows it */
  size_t body_len;
  const char *header; /* value of the header that the client looks for, valid
                         during the call; NULL: there is none */
};

typedef void (*am_http_done) (void *userdata, const struct am_http_answer *a);

struct am_http_connection;

struct am_http_client
{
  uv_loop_t *loop;
  struct am_address server;
  const char *header; /* name of a header of answers to look for; NULL: none.
                         May be set after am_http_client_init.  */
  struct am_http_connection *connection; /* owned; NULL: none */
  am_http_done done;                     /* NULL: no call in progress */
  void *userdata;
};

void am_http_client_init (struct am_http_client *c, uv_loop_t *loop,
                          struct am_address server);

/* Ends the call in progress without its callback and closes the connection.
   C may be used again at once.  */
void am_http_client_reset (struct am_http_client *c);

/* Returns true if a call is in progress.  */
bool am_http_client_busy (const struct am_http_client *c);

/* Returns true if a call is in progress whose connection is not open yet: the
   server's host may not answer at all.  */
bool am_http_client_connecting (const struct am_http_client *c);

/* Sends GET PATH.  DONE is called once, within the times of LIMITS, and may
   begin the next call.  An answer that states a larger body than LIMITS allow
   is not read: the error is AM_E_TOO_LARGE.  Returns AM_OK, AM_E_STATE if a
   call is in progress, or AM_E_MEMORY.  */
int am_http_get_within (struct am_http_client *c, const char *path,
                        const struct am_http_limits *limits, am_http_done done,
                        void *userdata);

/* Sends GET PATH; the whole answer, of any size up to AM_HTTP_BODY_MAX, has to
   come within TIMEOUT_MS.  Otherwise as am_http_get_within.  */
int am_http_get (struct am_http_client *c, const char *path,
                 uint32_t timeout_ms, am_http_done done, void *userdata);

/* Sends POST PATH with the JSON text BODY; otherwise as am_http_get.  Returns
   AM_E_TOO_LARGE, too, if BODY is longer than AM_HTTP_SENT_BODY_MAX.  */
int am_http_post (struct am_http_client *c, const char *path, const char *body,
                  uint32_t timeout_ms, am_http_done done, void *userdata);

#endif
