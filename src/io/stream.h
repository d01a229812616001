/* TCP streams on a libuv loop, cut into messages.

   A format says how messages are cut and sealed: authenticated frames between
   our own processes, or length-prefixed packets to upstreams.  */

#ifndef AM_IO_STREAM_H
#define AM_IO_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "base/address.h"
#include "base/list.h"

/* How a stream is cut into messages.  */
struct am_stream_format
{
  /* Finds one whole message in the LEN bytes at BUF.  Returns AM_OK,
     AM_E_SHORT if more bytes are needed, or the error that ends the
     stream.  */
  int (*split) (const uint8_t *key, const uint8_t *buf, size_t len,
                const uint8_t **message, size_t *message_len, size_t *used);
  /* Writes the header of a message; returns its size.  */
  size_t (*seal) (const uint8_t *key, const uint8_t *message, size_t len,
                  uint8_t *header);
};

/* Frames of wire/frame.h, under the peer key.  */
extern const struct am_stream_format am_stream_frames;

/* Length-prefixed packets of wire/packet.h; no key.  */
extern const struct am_stream_format am_stream_packets;

struct am_stream;

struct am_stream_callbacks
{
  /* One message; valid during the call.  The callback may close S.  */
  void (*message) (void *userdata, struct am_stream *s, const uint8_t *data,
                   size_t len);
  /* The connection is established, outgoing or accepted.  May be NULL.  */
  void (*connected) (void *userdata, struct am_stream *s);
  /* S has ended for the reason ERROR (AM_OK: by the peer or by
     am_stream_close) and is freed after the call.  */
  void (*closed) (void *userdata, struct am_stream *s, int error);
};

/* Allocated by the functions below; freed after the closed callback.  */
struct am_stream
{
  uv_tcp_t tcp;
  struct am_list node; /* free for the user of the stream; initialised */
  const struct am_stream_format *format;
  const uint8_t *key; /* not owned */
  struct am_stream_callbacks callbacks;
  void *userdata;
  uint8_t *buffer;
  size_t used;
  size_t size;
  bool closing;
  bool established;
  int error;
};

struct am_listener
{
  uv_tcp_t tcp;
  const struct am_stream_format *format;
  const uint8_t *key;
  struct am_stream_callbacks callbacks;
  void *userdata;
  size_t streams;     /* open incoming streams */
  size_t streams_max; /* further connections are refused */
};

/* Listens on ADDRESS; incoming streams use CALLBACKS and USERDATA.  Returns
   AM_OK, AM_E_IO or AM_E_EXISTS (address in use).  */
int am_listener_open (struct am_listener *l, uv_loop_t *loop,
                      struct am_address address,
                      const struct am_stream_format *format,
                      const uint8_t *key,
                      const struct am_stream_callbacks *callbacks,
                      void *userdata);
void am_listener_close (struct am_listener *l);

/* Connects to ADDRESS; messages may be sent at once and wait for the
   connection.  Returns the stream, or NULL if memory or the socket fails.  */
struct am_stream *
am_stream_connect (uv_loop_t *loop, struct am_address address,
                   const struct am_stream_format *format, const uint8_t *key,
                   const struct am_stream_callbacks *callbacks,
                   void *userdata);

/* Sends one message (copied).  Returns AM_OK, AM_E_MEMORY, AM_E_CONNECTION,
   or AM_E_LIMIT if more than 16 MiB wait to be sent.  */
int am_stream_send (struct am_stream *s, const uint8_t *data, size_t len);

/* Closes S; the closed callback follows on a later turn of the loop.  */
void am_stream_close (struct am_stream *s);

#endif
