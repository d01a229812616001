#include "core/binding/forward.h"

#include <string.h>

#include "base/error.h"
#include "wire/proxy_header.h"

void
am_forward (struct am_board *b, const struct am_service *s,
            const struct am_member *m, struct am_address caller,
            const uint8_t *data, size_t len)
{
  uint8_t body[AM_PEER_BODY_MAX];
  struct am_proxy_header h = { .source = caller, .destination = s->address };

  if (len > sizeof body - AM_PROXY_HEADER_SIZE)
    return;
  am_proxy_encode (&h, body);
  memcpy (body + AM_PROXY_HEADER_SIZE, data, len);
  b->counters.forwarded++;
  am_board_send_peer (b, m, AM_PEER_FORWARD, s->id, body,
                      AM_PROXY_HEADER_SIZE + len);
}

struct am_member *
am_forward_pick_home (struct am_board *b, struct am_service *s)
{
  struct am_member *alive[AM_HOME_MAX];
  struct am_member *suspect[AM_HOME_MAX];
  size_t alive_count = 0;
  size_t suspect_count = 0;

  for (size_t i = 0; i < s->home_count; i++)
    {
      struct am_member *m = s->home_set[i];

      if (m->id == b->self.id)
        continue;
      if (m->state == AMARANTH__MEMBER_STATE__MEMBER_ALIVE)
        alive[alive_count++] = m;
      else
        suspect[suspect_count++] = m;
    }
  if (alive_count)
    return alive[am_rng_below (&b->rng, (uint32_t)alive_count)];
  if (suspect_count)
    return suspect[am_rng_below (&b->rng, (uint32_t)suspect_count)];
  return NULL;
}

bool
am_forward_members_complete (const struct am_board *b)
{
  return b->members_since_us != 0
         && b->now_us - b->members_since_us >= AM_MEMBERS_CONVERGENCE_US;
}

struct am_member *
am_forward_find_issuer (struct am_board *b, const struct am_ticket *t)
{
  struct am_member *m;

  if (t->issuer_id == b->self.id)
    return NULL;
  m = am_board_member (b, t->issuer_id);
  if (!m || m->state == AMARANTH__MEMBER_STATE__MEMBER_DEAD
      || m->state == AMARANTH__MEMBER_STATE__MEMBER_LEFT)
    return NULL;
  return m;
}

void
am_send_reset (struct am_board *b, const struct am_service *s,
               struct am_address caller, uint64_t connection_id, int error)
{
  uint8_t body[AM_REASON_BODY_SIZE];
  struct am_reason_body reason = { .error = error };
  struct am_packet p = { .type = AM_PACKET_RESET,
                         .connection_id = connection_id,
                         .body = body,
                         .body_len = sizeof body };

  am_reason_body_encode (&reason, body);
  b->counters.resets++;
  am_board_send_caller (b, s->address, caller, &p);
}

void
am_reset (struct am_board *b, const struct am_service *s,
          struct am_address caller, uint64_t connection_id, int error)
{
  am_board_decision (
      b, connection_id,
      "event=reset flow=%llu service=%s reason=%s revision=%llu",
      (unsigned long long)connection_id, s->name, am_error_name (error),
      (unsigned long long)s->revision);
  am_send_reset (b, s, caller, connection_id, error);
}

static void
send_opaque (struct am_board *b, struct am_action *a,
             const struct am_proxy_header *h, const uint8_t *data, size_t len)
{
  uint8_t buf[AM_PROXY_HEADER_SIZE + AM_OPAQUE_MAX];

  if (len > AM_OPAQUE_MAX)
    return;
  am_proxy_encode (h, buf);
  if (len)
    memcpy (buf + AM_PROXY_HEADER_SIZE, data, len);
  a->data = buf;
  a->len = AM_PROXY_HEADER_SIZE + len;
  am_board_emit (b, a);
  a->data = NULL;
}

void
am_send_opaque_caller (struct am_board *b, struct am_address service,
                       struct am_address caller, const uint8_t *data,
                       size_t len)
{
  struct am_action a = { .type = AM_ACTION_CALLER };
  struct am_proxy_header h = { .source = service, .destination = caller };

  send_opaque (b, &a, &h, data, len);
}

void
am_send_opaque_upstream (struct am_board *b, const struct am_upstream *u,
                         struct am_address caller, const uint8_t *data,
                         size_t len)
{
  struct am_action a = { .type = AM_ACTION_UPSTREAM,
                         .to = u->address,
                         .service_id = u->service->id,
                         .upstream_id = u->id };
  struct am_proxy_header h
      = { .source = caller, .destination = u->service->address };

  send_opaque (b, &a, &h, data, len);
}

int
am_record_reported_load (struct am_board *b, struct am_upstream *u,
                         const uint8_t *body, size_t len)
{
  int err = am_load_decode (&u->report.load, body, len);

  if (!err)
    u->report.at_us = b->now_us;
  return err;
}
