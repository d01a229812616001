/* Feeds arbitrary bytes to every parser of src/wire.  */

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "wire/amaranth.pb-c.h"
#include "wire/frame.h"
#include "wire/packet.h"
#include "wire/peer.h"
#include "wire/proxy_header.h"
#include "wire/ticket.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t len);

static void
parse_bodies (const uint8_t *data, size_t len)
{
  struct am_open_body open;
  struct am_load load;
  struct am_reason_body reason;
  struct am_outcome_body outcome;
  struct am_request_body request;
  struct am_run_body run;
  struct am_segment_body segment;

  (void)am_open_body_decode (&open, data, len);
  (void)am_load_decode (&load, data, len);
  (void)am_reason_body_decode (&reason, data, len);
  (void)am_outcome_body_decode (&outcome, data, len);
  (void)am_request_body_decode (&request, data, len);
  (void)am_run_body_decode (&run, data, len);
  (void)am_segment_body_decode (&segment, data, len);
}

/* What decodes must encode to the same bytes.  */
static void
parse_packet (const uint8_t *data, size_t len)
{
  uint8_t buf[AM_PACKET_SIZE_MAX];
  struct am_packet p;
  size_t out;

  if (am_packet_decode (&p, data, len) != AM_OK)
    return;
  parse_bodies (p.body, p.body_len);
  if (am_packet_encode (&p, buf, sizeof buf, &out) != AM_OK || out != len
      || memcmp (buf, data, len) != 0)
    abort ();
}

static void
parse_stream (const uint8_t *data, size_t len)
{
  const uint8_t *packet;
  struct am_packet p;
  size_t packet_len;
  size_t used;

  while (am_stream_split (data, len, &packet, &packet_len, &used) == AM_OK)
    {
      (void)am_packet_decode_stream (&p, packet, packet_len);
      data += used;
      len -= used;
    }
}

static void
parse_ticket (const uint8_t *data, size_t len)
{
  static const uint8_t key[AM_TICKET_KEY_SIZE] = { 1 };
  struct am_ticket_scope scope = { 1, { 2, 3 }, 4 };
  struct am_ticket t;

  if (len < AM_TICKET_SIZE)
    return;
  (void)am_ticket_peek (&t, data);
  (void)am_ticket_open (&t, &scope, key, data);
}

static void
parse_sealed (const uint8_t *data, size_t len)
{
  static const uint8_t key[AM_PEER_KEY_SIZE] = { 1 };
  struct am_peer_header h;
  const uint8_t *body;
  size_t body_len;
  size_t used;

  (void)am_peer_decode (&h, key, data, len, &body, &body_len);
  (void)am_frame_open (key, data, len, &body, &body_len, &used);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t len)
{
  struct am_proxy_header h;
  size_t used;
  Amaranth__Snapshot *snapshot;
  Amaranth__SnapshotDelta *delta;
  Amaranth__Envelope *envelope;

  if (am_proxy_decode (&h, data, len, &used) == AM_OK)
    parse_packet (data + used, len - used);
  parse_packet (data, len);
  parse_bodies (data, len);
  parse_stream (data, len);
  parse_ticket (data, len);
  parse_sealed (data, len);
  snapshot = amaranth__snapshot__unpack (NULL, len, data);
  amaranth__snapshot__free_unpacked (snapshot, NULL);
  delta = amaranth__snapshot_delta__unpack (NULL, len, data);
  amaranth__snapshot_delta__free_unpacked (delta, NULL);
  envelope = amaranth__envelope__unpack (NULL, len, data);
  amaranth__envelope__free_unpacked (envelope, NULL);
  return 0;
}
