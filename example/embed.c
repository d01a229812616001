/* Smallest driver of the decision core: one service, one upstream, one OPEN.
   Prints the actions that the core asks for.  See docs/notes/embedding.md.  */

#include <stdio.h>
#include <stdlib.h>

#include "base/error.h"
#include "core/dispatch.h"
#include "wire/frame.h"
#include "wire/proxy_header.h"

#define LOOPBACK 0x7f280000u

static void
print_action (void *userdata, const struct am_action *a)
{
  static const char *const names[]
      = { "caller", "upstream", "stream", "peer", "log", "exit" };
  char to[AM_ADDRESS_TEXT_SIZE];

  (void)userdata;
  if (a->type == AM_ACTION_LOG)
    printf ("log      %.*s\n", (int)a->len, (const char *)a->data);
  else
    printf ("%-8s to %s, %zu bytes\n", names[a->type],
            am_address_format (a->to, to), a->len);
}

static int
feed_snapshot (struct am_dispatch *d)
{
  Amaranth__Upstream up = AMARANTH__UPSTREAM__INIT;
  Amaranth__Upstream *ups[] = { &up };
  Amaranth__Service s = AMARANTH__SERVICE__INIT;
  Amaranth__Service *services[] = { &s };
  Amaranth__Member m = AMARANTH__MEMBER__INIT;
  Amaranth__Member *members[] = { &m };
  Amaranth__Snapshot snap = AMARANTH__SNAPSHOT__INIT;
  uint8_t buf[1024];
  struct am_event e = { .type = AM_EVENT_SNAPSHOT, .data = buf };

  up.id = 11, up.name = "dispatch-1", up.incarnation = 1;
  up.ip = LOOPBACK + 0x701, up.port = 9000;
  up.slots = 2, up.connections = 2000;
  s.id = 7, s.name = "dispatch", s.region = "lv-central", s.revision = 1;
  s.ip = LOOPBACK + 0x901, s.port = 8001;
  s.upstreams = ups, s.n_upstreams = 1;
  m.id = 1, m.name = "lv-a-1", m.region = "lv-central";
  snap.services = services, snap.n_services = 1;
  snap.members = members, snap.n_members = 1;
  e.len = amaranth__snapshot__pack (&snap, buf);
  return am_dispatch_event (d, &e);
}

static int
feed_open (struct am_dispatch *d)
{
  struct am_proxy_header h = { .source = { LOOPBACK + 0x601, 5555 },
                               .destination = { LOOPBACK + 0x901, 8001 } };
  uint8_t body[AM_OPEN_BODY_SIZE] = { AM_OPEN_FLOW, 0 };
  struct am_packet p = { .type = AM_PACKET_OPEN,
                         .connection_id = 42,
                         .body = body,
                         .body_len = sizeof body };
  uint8_t buf[256];
  size_t len;
  struct am_event e = { .type = AM_EVENT_CALLER, .now_us = 1000, .data = buf };

  am_proxy_encode (&h, buf);
  am_packet_encode (&p, buf + AM_PROXY_HEADER_SIZE,
                    sizeof buf - AM_PROXY_HEADER_SIZE, &len);
  e.len = AM_PROXY_HEADER_SIZE + len;
  return am_dispatch_event (d, &e);
}

int
main (void)
{
  static const uint8_t peer_key[AM_PEER_KEY_SIZE] = { 2 };
  static struct am_dispatch d;
  struct am_dispatch_options o
      = { .self = { .id = 1, .region = "lv-central", .boot_id = 1 },
          .peer_key = peer_key,
          .log_decisions = true,
          .sink = { print_action, NULL } };
  int err = am_dispatch_init (&d, &o);

  if (!err)
    err = feed_snapshot (&d);
  if (!err)
    err = feed_open (&d);
  if (err)
    fprintf (stderr, "embed: %s\n", am_error_text (err));
  am_dispatch_finish (&d);
  return err ? EXIT_FAILURE : EXIT_SUCCESS;
}
