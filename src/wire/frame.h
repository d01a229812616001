/* Authenticated frame between our own processes.

     offset size field
     0      4    length of the payload in bytes, big endian
     4      16   keyed BLAKE2b of the payload under the peer key
     20     n    payload: a protobuf message (amaranth.proto)

   A gossip datagram is one frame.  Handling of every message is idempotent,
   so a replayed frame changes nothing.  */

#ifndef AM_WIRE_FRAME_H
#define AM_WIRE_FRAME_H

#include <stddef.h>
#include <stdint.h>

#define AM_FRAME_HEADER_SIZE 20
#define AM_FRAME_PAYLOAD_MAX (4u << 20)
#define AM_PEER_KEY_SIZE 32

/* Writes the header of a frame for the LEN bytes at PAYLOAD to HEADER
   (AM_FRAME_HEADER_SIZE bytes).  */
void am_frame_seal (const uint8_t *key, const uint8_t *payload, size_t len,
                    uint8_t *header);

/* Looks for one whole frame in the LEN bytes at BUF and checks its MAC.  Sets
   *PAYLOAD and *PAYLOAD_LEN (into BUF) and *USED.  Returns AM_OK, AM_E_SHORT
   if more bytes are needed, AM_E_TOO_LARGE or AM_E_AUTH.  */
int am_frame_open (const uint8_t *key, const uint8_t *buf, size_t len,
                   const uint8_t **payload, size_t *payload_len, size_t *used);

#endif
