/* Placeholder: lets the core link without choice, credit and request.  */

#include "base/error.h"
#include "core/choice.h"
#include "core/credit.h"
#include "core/request.h"

static struct am_upstream *
pick_first (struct am_board *b, struct am_service *s, enum am_work work,
            struct am_upstream *const *candidates, size_t n, uint64_t key)
{
  (void)s;
  (void)work;
  (void)key;
  return candidates[am_rng_below (&b->rng, (uint32_t)n)];
}

static const struct am_choice_ops first = { "random", pick_first };

const struct am_choice_ops *
am_choice_policy (Amaranth__Policy policy)
{
  (void)policy;
  return &first;
}

int
am_choice_pick (struct am_board *b, struct am_service *s, enum am_work work,
                const struct am_upstream *exclude, uint64_t key,
                struct am_upstream **u)
{
  struct am_upstream *candidates[64];
  size_t n = 0;

  am_list_each (c, &s->upstreams, struct am_upstream, node)
  {
    if (n < 64 && c != exclude && !c->health.ejected
        && c->health.avoid_until_us <= b->now_us
        && c->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE)
      candidates[n++] = c;
  }
  if (n == 0)
    return AM_E_NO_UPSTREAM;
  *u = pick_first (b, s, work, candidates, n, key);
  return AM_OK;
}

void
am_health_ok (struct am_board *b, struct am_upstream *u, uint64_t answer_us)
{
  (void)b;
  u->health.failures = 0;
  u->health.answer_us = answer_us;
}

void
am_health_refused (struct am_board *b, struct am_upstream *u)
{
  u->health.avoid_until_us = b->now_us + 50000;
}

void
am_health_failed (struct am_board *b, struct am_upstream *u)
{
  (void)b;
  u->health.failures++;
}

double
am_ramp_share (const struct am_board *b, const struct am_upstream *u)
{
  (void)b;
  (void)u;
  return 1.0;
}

void
am_credit_recompute (struct am_board *b)
{
  (void)b;
}

bool
am_credit_slot_free (const struct am_upstream *u)
{
  (void)u;
  return true;
}

bool
am_credit_connection_free (const struct am_upstream *u)
{
  (void)u;
  return true;
}

void
am_credit_borrow (struct am_board *b, struct am_service *s)
{
  (void)b;
  (void)s;
}

int
am_credit_peer (struct am_board *b, uint32_t sender_id, const uint8_t *body,
                size_t len)
{
  (void)b;
  (void)sender_id;
  (void)body;
  (void)len;
  return AM_OK;
}

void
am_credit_tick (struct am_board *b)
{
  (void)b;
}

int
am_requests_init (struct am_board *b)
{
  (void)b;
  return AM_OK;
}

void
am_requests_finish (struct am_board *b)
{
  (void)b;
}

int
am_requests_issue (struct am_board *b, struct am_service *s,
                   uint8_t request_class, struct am_ticket *t)
{
  t->kind = AM_OPEN_REQUEST;
  t->request_class = request_class;
  t->service_id = s->id;
  t->issuer_id = b->self.id;
  t->issuer_boot_id = b->self.boot_id;
  t->serial = 1;
  t->issued_ms = b->now_us / 1000;
  return AM_OK;
}

int
am_requests_arrive (struct am_board *b, const struct am_request_arrival *a)
{
  (void)b;
  (void)a;
  return AM_OK;
}

void
am_requests_cancel (struct am_board *b, struct am_service *s,
                    struct am_address caller, uint64_t connection_id,
                    const struct am_ticket *t)
{
  (void)b;
  (void)s;
  (void)caller;
  (void)connection_id;
  (void)t;
}

int
am_requests_stream (struct am_board *b, struct am_upstream *u,
                    const struct am_packet *p)
{
  (void)b;
  (void)u;
  (void)p;
  return AM_OK;
}

void
am_requests_stream_lost (struct am_board *b, uint32_t service_id,
                         uint32_t upstream_id)
{
  (void)b;
  (void)service_id;
  (void)upstream_id;
}

void
am_requests_upstream_gone (struct am_board *b, struct am_upstream *u)
{
  (void)b;
  (void)u;
}

void
am_requests_service_gone (struct am_board *b, struct am_service *s)
{
  (void)b;
  (void)s;
}

void
am_requests_tick (struct am_board *b)
{
  (void)b;
}

size_t
am_requests_in_progress (const struct am_board *b)
{
  (void)b;
  return 0;
}

bool
am_requests_may_exit (const struct am_board *b)
{
  (void)b;
  return true;
}
