#include "core/board.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "wire/proxy_header.h"

#define DECISION_SIZE 512
#define DATAGRAM_SIZE (AM_PROXY_HEADER_SIZE + AM_PACKET_SIZE_MAX)

void
am_board_init (struct am_board *b, const struct am_self *self, uint64_t seed,
               const struct am_sink *sink)
{
  memset (b, 0, sizeof *b);
  b->self = *self;
  b->sink = *sink;
  am_rng_init (&b->rng, seed);
  am_list_init (&b->services);
  am_list_init (&b->members);
}

static void
free_service (struct am_board *b, struct am_service *s)
{
  HASH_CLEAR (by_address, s->upstreams_by_address);
  am_list_each_safe (u, next, &s->upstreams, struct am_upstream, node)
  {
    HASH_DELETE (by_id, s->upstreams_by_id, u);
    free (u);
  }
  HASH_DELETE (by_id, b->services_by_id, s);
  HASH_DELETE (by_address, b->services_by_address, s);
  free (s);
}

void
am_board_finish (struct am_board *b)
{
  am_list_each_safe (s, next, &b->services, struct am_service, node)
  {
    free_service (b, s);
  }
  am_list_each_safe (m, next, &b->members, struct am_member, node)
  {
    HASH_DELETE (by_id, b->members_by_id, m);
    free (m);
  }
  am_list_init (&b->services);
  am_list_init (&b->members);
}

struct am_service *
am_board_service (struct am_board *b, uint32_t id)
{
  struct am_service *s;

  HASH_FIND (by_id, b->services_by_id, &id, sizeof id, s);
  return s;
}

struct am_service *
am_board_service_at (struct am_board *b, struct am_address address)
{
  uint64_t key = am_address_key (address);
  struct am_service *s;

  HASH_FIND (by_address, b->services_by_address, &key, sizeof key, s);
  return s;
}

struct am_upstream *
am_service_upstream (struct am_service *s, uint32_t id)
{
  struct am_upstream *u;

  HASH_FIND (by_id, s->upstreams_by_id, &id, sizeof id, u);
  return u;
}

struct am_upstream *
am_service_upstream_at (struct am_service *s, struct am_address address)
{
  uint64_t key = am_address_key (address);
  struct am_upstream *u;

  HASH_FIND (by_address, s->upstreams_by_address, &key, sizeof key, u);
  return u;
}

struct am_member *
am_board_member (struct am_board *b, uint32_t id)
{
  struct am_member *m;

  HASH_FIND (by_id, b->members_by_id, &id, sizeof id, m);
  return m;
}

static bool
may_be_home (const struct am_member *m, const struct am_service *s)
{
  return (m->state == AMARANTH__MEMBER_STATE__MEMBER_ALIVE
          || m->state == AMARANTH__MEMBER_STATE__MEMBER_SUSPECT)
         && strcmp (m->region, s->region) == 0;
}

size_t
am_home_set (const struct am_board *b, const struct am_service *s,
             struct am_member *home[AM_HOME_MAX])
{
  uint64_t scores[AM_HOME_MAX];
  size_t n = 0;

  am_list_each (m, &b->members, struct am_member, node)
  {
    uint64_t score = am_hash_rendezvous (s->id, m->id);
    size_t at;

    if (!may_be_home (m, s))
      continue;
    if (n == AM_HOME_MAX && score <= scores[n - 1])
      continue;
    if (n < AM_HOME_MAX)
      n++;
    for (at = n - 1; at > 0 && scores[at - 1] < score; at--)
      {
        scores[at] = scores[at - 1];
        home[at] = home[at - 1];
      }
    scores[at] = score;
    home[at] = m;
  }
  return n;
}

bool
am_home_set_concerns (const struct am_service *s, const struct am_member *m)
{
  for (size_t i = 0; i < s->home_count; i++)
    if (s->home_set[i] == m)
      return true;
  if (!may_be_home (m, s))
    return false;
  return s->home_count < AM_HOME_MAX
         || am_hash_rendezvous (s->id, m->id) >= am_hash_rendezvous (
                s->id, s->home_set[s->home_count - 1]->id);
}

void
am_board_emit (struct am_board *b, const struct am_action *a)
{
  b->sink.emit (b->sink.userdata, a);
}

void
am_board_decision (struct am_board *b, uint64_t connection_id,
                   const char *format, ...)
{
  char line[DECISION_SIZE];
  struct am_action a = { .type = AM_ACTION_LOG, .tag = connection_id };
  va_list ap;
  int n;

  if (!b->log_decisions)
    return;
  va_start (ap, format);
  n = vsnprintf (line, sizeof line, format, ap);
  va_end (ap);
  if (n < 0)
    return;
  a.data = (const uint8_t *)line;
  a.len = (size_t)n < sizeof line ? (size_t)n : sizeof line - 1;
  am_board_emit (b, &a);
}

static void
send_datagram (struct am_board *b, struct am_action *a,
               const struct am_proxy_header *h, const struct am_packet *p)
{
  uint8_t buf[DATAGRAM_SIZE];
  size_t len;

  if (am_packet_encode (p, buf + AM_PROXY_HEADER_SIZE, AM_PACKET_SIZE_MAX,
                        &len))
    return;
  am_proxy_encode (h, buf);
  a->data = buf;
  a->len = AM_PROXY_HEADER_SIZE + len;
  am_board_emit (b, a);
}

void
am_board_send_caller (struct am_board *b, struct am_address service,
                      struct am_address caller, const struct am_packet *p)
{
  struct am_action a = { .type = AM_ACTION_CALLER };
  struct am_proxy_header h = { .source = service, .destination = caller };

  send_datagram (b, &a, &h, p);
}

void
am_board_send_upstream (struct am_board *b, const struct am_upstream *u,
                        struct am_address caller, const struct am_packet *p)
{
  struct am_action a = { .type = AM_ACTION_UPSTREAM,
                         .to = u->address,
                         .service_id = u->service->id,
                         .upstream_id = u->id };
  struct am_proxy_header h
      = { .source = caller, .destination = u->service->address };

  send_datagram (b, &a, &h, p);
}

void
am_board_send_peer (struct am_board *b, const struct am_member *m,
                    enum am_peer_type type, uint32_t service_id,
                    const uint8_t *body, size_t len)
{
  uint8_t buf[AM_PEER_HEADER_SIZE + AM_PEER_BODY_MAX];
  struct am_peer_header h = { .type = (uint8_t)type,
                              .sender_id = b->self.id,
                              .sender_boot_id = b->self.boot_id,
                              .service_id = service_id };
  struct am_action a = { .type = AM_ACTION_PEER,
                         .to = m->peer,
                         .service_id = service_id,
                         .data = buf };

  if (am_peer_encode (&h, b->peer_key, body, len, buf, sizeof buf, &a.len))
    return;
  am_board_emit (b, &a);
}
