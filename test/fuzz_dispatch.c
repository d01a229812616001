/* Feeds arbitrary events to the core.

   An input is a row of events: one byte of type, one of time in ticks, two of
   length, then the data.  To get past the MACs, a peer datagram is sealed and
   every service of a snapshot has the fixture's address; a packet with a
   ticket gets one that is valid for the first upstream; a delta gets the base
   that is in force.  */

#include <string.h>

#include "core_fixture.h"

#define EVENT_HEADER 4
#define EVENTS_MAX 64

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t len);

/* Reads every byte, so that a sanitizer sees what is not initialised.  */
static void
ignore (void *userdata, const struct am_action *a)
{
  (void)userdata;
  if (a->len)
    (void)am_hash_bytes (a->data, a->len, 0);
}

static void
apply_config (struct am_dispatch *d, Amaranth__Binding binding)
{
  struct am_event e = { .type = AM_EVENT_SNAPSHOT, .now_us = 1 };
  struct config config;
  uint8_t buf[4096];

  config_init (&config, binding, 3, 3);
  config.snapshot.digest = 1;
  e.data = buf;
  e.len = amaranth__snapshot__pack (&config.snapshot, buf);
  (void)am_dispatch_event (d, &e);
}

static size_t
seal_peer (uint8_t *buf, size_t size, const uint8_t *data, size_t len)
{
  struct am_peer_header h = { .type = (uint8_t)(len ? 1 + data[0] % 3 : 1),
                              .sender_id = 2,
                              .sender_boot_id = 1001,
                              .service_id = 77 };
  size_t out;

  if (len)
    {
      data++;
      len--;
    }
  if (am_peer_encode (&h, fixture_peer_key, data, len, buf, size, &out))
    return 0;
  return out;
}

/* Puts a valid ticket into a caller's packet that has room for one.  */
static void
place_ticket (uint8_t *packet, size_t len)
{
  uint8_t key[AM_TICKET_KEY_SIZE];
  struct am_packet p;
  struct am_ticket t = { .kind = packet[3] >= AM_PACKET_REQUEST,
                         .key_id = 1,
                         .service_id = 77,
                         .upstream_id = 500,
                         .upstream_incarnation = 1,
                         .issuer_id = 1,
                         .issuer_boot_id = 1000,
                         .serial = packet[11] };
  struct am_ticket_scope scope = { fixture_caller.ip, fixture_service, 0 };

  if (am_packet_decode (&p, packet, len) != AM_OK || !p.ticket)
    return;
  memset (key, 1, sizeof key);
  scope.connection_id = p.connection_id;
  am_ticket_seal (&t, &scope, key, packet + AM_PACKET_HEADER_SIZE);
}

static size_t
put_datagram (uint8_t *buf, size_t size, enum am_event_type type,
              const uint8_t *data, size_t len)
{
  struct am_proxy_header h = { fixture_caller, fixture_service };
  struct am_proxy_header back = { fixture_service, fixture_caller };

  if (len > size - AM_PROXY_HEADER_SIZE)
    len = size - AM_PROXY_HEADER_SIZE;
  am_proxy_encode (type == AM_EVENT_CALLER ? &h : &back, buf);
  memcpy (buf + AM_PROXY_HEADER_SIZE, data, len);
  if (type == AM_EVENT_CALLER && len >= AM_PACKET_HEADER_SIZE)
    place_ticket (buf + AM_PROXY_HEADER_SIZE, len);
  return AM_PROXY_HEADER_SIZE + len;
}

/* Gives a delta the digest that is in force as its base.  */
static void
feed_delta (struct am_dispatch *d, struct am_event *e)
{
  Amaranth__SnapshotDelta *delta
      = amaranth__snapshot_delta__unpack (NULL, e->len, e->data);
  uint8_t buf[8192];

  if (delta)
    {
      delta->base_digest = d->board.snapshot_digest;
      if (amaranth__snapshot_delta__get_packed_size (delta) <= sizeof buf)
        {
          e->len = amaranth__snapshot_delta__pack (delta, buf);
          e->data = buf;
        }
      amaranth__snapshot_delta__free_unpacked (delta, NULL);
    }
  (void)am_dispatch_event (d, e);
}

static void
feed (struct am_dispatch *d, uint64_t now_us, uint8_t type,
      const uint8_t *data, size_t len)
{
  uint8_t buf[2048];
  struct am_event e
      = { .type = (enum am_event_type) (type % (AM_EVENT_DELTA + 1)),
          .now_us = now_us,
          .from = { 0x7f280701, 9000 },
          .service_id = 77,
          .upstream_id = 500,
          .data = data,
          .len = len };

  if (type & 0x80)
    {
      (void)am_dispatch_event (d, &e);
      return;
    }
  if (e.type == AM_EVENT_CALLER || e.type == AM_EVENT_UPSTREAM)
    e.len = put_datagram (buf, sizeof buf, e.type, data, len);
  else if (e.type == AM_EVENT_PEER)
    e.len = seal_peer (buf, sizeof buf, data, len);
  else if (e.type == AM_EVENT_DELTA)
    {
      feed_delta (d, &e);
      return;
    }
  else
    {
      (void)am_dispatch_event (d, &e);
      return;
    }
  e.data = buf;
  (void)am_dispatch_event (d, &e);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t len)
{
  static struct am_dispatch d;
  struct am_dispatch_options o
      = { .self = { .id = 1, .name = "vm", .region = "r", .boot_id = 1000 },
          .peer_key = fixture_peer_key,
          .log_decisions = true,
          .sink = { ignore, NULL } };
  uint64_t now_us = 1;

  if (len == 0 || am_dispatch_init (&d, &o))
    return 0;
  apply_config (&d, (Amaranth__Binding)(data[0] % 3));
  data++;
  len--;
  for (int i = 0; i < EVENTS_MAX && len >= EVENT_HEADER; i++)
    {
      size_t n = (size_t)(data[2] << 8 | data[3]);

      if (n > len - EVENT_HEADER)
        n = len - EVENT_HEADER;
      now_us += (uint64_t)data[1] * AM_TICK_US;
      feed (&d, now_us, data[0], data + EVENT_HEADER, n);
      data += EVENT_HEADER + n;
      len -= EVENT_HEADER + n;
    }
  am_dispatch_finish (&d);
  return 0;
}
