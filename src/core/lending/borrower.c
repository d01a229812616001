#include "core/lending/borrower.h"

#include <stdlib.h>

#include "core/lending/quota.h"
#include "core/lending/lending.h"
#include "core/ownership/ticketless.h"
#include "core/placement/admission.h"

/* Rate limit of REQUESTs.  One REQUEST causes at most four datagrams of about
   90 bytes with their IP and UDP headers, so lending stays below 3 KB/s for
   each side.  */
#define REQUESTS_PER_SECOND 8.0
#define REQUESTS_BURST 16.0

/* A REQUEST without answer is abandoned after this time; the latency between
   peers is about 1 ms.  */
#define REQUEST_TIMEOUT_US 50000u

/* How long a report of idle slots is used.  A peer that reported none gets no
   REQUEST for this long.  */
#define HINT_LIFETIME_US 100000u

#define RELEASE_INTERVAL_US 200000u
#define RELEASE_ATTEMPTS_MAX 5u

/* Idle slots that a peer last reported.  */
struct hint
{
  uint32_t member_id;
  uint32_t idle;
  uint64_t at_us;
};

/* State of borrowing for one service.  */
struct borrower_service
{
  UT_hash_handle by_id;
  uint32_t service_id;
  uint32_t number;          /* of the last REQUEST */
  uint32_t peer_id;         /* peer that the last REQUEST was sent to */
  uint64_t request_sent_us; /* 0: none outstanding */
  struct hint hints[AM_HOME_MAX];
};

/* A slot leased from a peer.  UPSTREAM is NULL once the lease is released; the
   entry then stays until RELEASE_ACK arrives.  */
struct borrowed_slot
{
  struct am_list node;
  struct am_upstream *upstream;
  uint32_t service_id;
  uint32_t upstream_id;
  uint32_t lender_id;
  uint32_t id;
  uint64_t valid_until_us;
  uint64_t released_us;
  uint32_t attempts;
};

void
am_borrower_init (struct am_borrower *w, struct am_board *b)
{
  am_list_init (&w->leases);
  w->services = NULL;
  w->next_request = (uint32_t)am_rng_next (&b->rng);
  w->request_bucket = (struct am_token_bucket){ REQUESTS_BURST, b->now_us };
}

void
am_borrower_finish (struct am_borrower *w)
{
  struct borrower_service *s = w->services;

  am_list_each_safe (x, after, &w->leases, struct borrowed_slot, node)
      free (x);
  HASH_CLEAR (by_id, w->services);
  while (s)
    {
      struct borrower_service *next = s->by_id.next;

      free (s);
      s = next;
    }
}

static struct borrower_service *
find_or_add_service (struct am_board *b, uint32_t service_id)
{
  struct borrower_service *w;

  HASH_FIND (by_id, b->lending->borrower.services, &service_id,
             sizeof service_id, w);
  if (w)
    return w;
  w = calloc (1, sizeof *w);
  if (!w)
    return NULL;
  w->service_id = service_id;
  HASH_ADD (by_id, b->lending->borrower.services, service_id,
            sizeof w->service_id, w);
  return w;
}

static struct hint *
find_or_add_hint (struct borrower_service *w, uint32_t member_id)
{
  struct hint *oldest = &w->hints[0];

  for (size_t i = 0; i < AM_HOME_MAX; i++)
    {
      if (w->hints[i].member_id == member_id)
        return &w->hints[i];
      if (w->hints[i].at_us < oldest->at_us)
        oldest = &w->hints[i];
    }
  oldest->member_id = member_id;
  oldest->at_us = 0;
  oldest->idle = 0;
  return oldest;
}

void
am_borrower_note_idle (struct am_board *b, uint32_t service_id,
                       uint32_t member_id, uint32_t idle)
{
  struct borrower_service *w = find_or_add_service (b, service_id);
  struct hint *h;

  if (!w)
    return;
  h = find_or_add_hint (w, member_id);
  h->idle = idle;
  h->at_us = b->now_us;
}

/* Returns the peer to send a REQUEST to: the one that last reported the most
   idle slots.  A peer without a report in the last HINT_LIFETIME_US counts as
   having one.  Returns NULL if all of them reported none.  */
static struct am_member *
choose_lender (struct am_board *b, struct am_service *s,
               struct borrower_service *w)
{
  uint32_t start = am_rng_below (&b->rng, (uint32_t)s->home_count);
  struct am_member *best = NULL;
  uint32_t most = 0;

  for (size_t i = 0; i < s->home_count; i++)
    {
      struct am_member *m = s->home_set[(start + i) % s->home_count];
      struct hint *h = find_or_add_hint (w, m->id);
      bool fresh = h->at_us && b->now_us - h->at_us < HINT_LIFETIME_US;
      uint32_t idle = fresh ? h->idle : 1;

      if (m->id != b->self.id && idle > most)
        {
          best = m;
          most = idle;
        }
    }
  return best;
}

void
am_quota_borrow (struct am_board *b, struct am_service *s)
{
  struct am_slot_lease_message m
      = { .op = AM_SLOT_LEASE_REQUEST, .service_id = s->id };
  struct borrower_service *w;
  struct am_member *peer;
  size_t wanted = s->queue ? s->queue->count : 1;

  if (am_ticketless_is_accepting (b, s->id))
    {
      wanted = AM_SLOT_LEASE_ITEMS_MAX;
      m.renew = 1;
    }
  if (!b->lending || s->lending == AMARANTH__LENDING__LENDING_OFF
      || s->home_count < 2 || !(w = find_or_add_service (b, s->id)))
    return;
  if (w->request_sent_us
      && b->now_us - w->request_sent_us < REQUEST_TIMEOUT_US)
    return;
  if (w->request_sent_us)
    am_borrower_note_idle (b, s->id, w->peer_id, 0);
  w->request_sent_us = 0;
  peer = choose_lender (b, s, w);
  if (!peer
      || !am_token_bucket_take (&b->lending->borrower.request_bucket,
                                b->now_us, REQUESTS_PER_SECOND,
                                REQUESTS_BURST))
    return;
  w->number = b->lending->borrower.next_request++;
  w->peer_id = peer->id;
  w->request_sent_us = b->now_us ? b->now_us : 1;
  m.number = w->number;
  m.value
      = (uint16_t)(wanted < AM_SLOT_LEASE_ITEMS_MAX ? wanted
                                                    : AM_SLOT_LEASE_ITEMS_MAX);
  am_slot_lease_send (b, peer->id, &m);
}

static struct borrowed_slot *
find_lease (struct am_board *b, uint32_t lender_id, uint32_t id)
{
  am_list_each (x, &b->lending->borrower.leases, struct borrowed_slot, node)
  {
    if (x->lender_id == lender_id && x->id == id)
      return x;
  }
  return NULL;
}

static void
send_release (struct am_board *b, struct borrowed_slot *x)
{
  struct am_slot_lease_message m = { .op = AM_SLOT_LEASE_RELEASE,
                                     .count = 1,
                                     .service_id = x->service_id,
                                     .items = { { x->id, x->upstream_id } } };

  x->released_us = b->now_us;
  x->attempts++;
  am_slot_lease_send (b, x->lender_id, &m);
}

static void
release_lease (struct am_board *b, struct borrowed_slot *x)
{
  if (x->upstream && x->upstream->quota.borrowed > 0)
    x->upstream->quota.borrowed--;
  x->upstream = NULL;
  send_release (b, x);
}

static struct borrowed_slot *
add_lease (struct am_board *b, uint32_t service_id, uint32_t lender_id,
           const struct am_slot_lease_item *item)
{
  struct borrowed_slot *x = calloc (1, sizeof *x);

  if (!x)
    return NULL;
  x->service_id = service_id;
  x->upstream_id = item->upstream_id;
  x->lender_id = lender_id;
  x->id = item->lease_id;
  am_list_push_back (&b->lending->borrower.leases, &x->node);
  return x;
}

void
am_borrower_granted (struct am_board *b, struct am_service *s,
                     uint32_t sender_id, const struct am_slot_lease_message *m)
{
  struct borrower_service *w = find_or_add_service (b, s->id);
  bool expected = w && w->request_sent_us && w->peer_id == sender_id
                  && w->number == m->number;
  uint64_t valid_us = (uint64_t)m->value * 1000;
  uint64_t until = 0;

  if (expected && valid_us > AM_SLOT_LEASE_MARGIN_US)
    until = w->request_sent_us + valid_us - AM_SLOT_LEASE_MARGIN_US;
  if (expected)
    w->request_sent_us = 0;
  for (size_t i = 0; i < m->count; i++)
    {
      struct am_upstream *u = am_service_upstream (s, m->items[i].upstream_id);
      struct borrowed_slot *x
          = find_lease (b, sender_id, m->items[i].lease_id);
      bool renewed = i + m->renew >= m->count;

      if (x && x->upstream && renewed && until > x->valid_until_us)
        x->valid_until_us = until;
      if (x)
        continue;
      x = add_lease (b, s->id, sender_id, &m->items[i]);
      if (!x)
        continue;
      if (!u || renewed || b->now_us >= until)
        {
          release_lease (b, x);
          continue;
        }
      x->upstream = u;
      x->valid_until_us = until;
      u->quota.borrowed++;
      b->counters.borrowed++;
    }
}

void
am_borrower_release_acked (struct am_board *b, uint32_t sender_id,
                           const struct am_slot_lease_message *m)
{
  am_list_each_safe (x, next, &b->lending->borrower.leases,
                     struct borrowed_slot, node)
  {
    if (x->upstream || x->lender_id != sender_id
        || !am_slot_lease_message_contains (m, x->id))
      continue;
    am_list_remove (&x->node);
    free (x);
  }
}

/* Returns true if X is free and either its lease has expired or no request is
   queued for it.  The owner of a service's requests keeps its leases until
   they expire: the lenders run no requests, and new REQUESTs for each short
   queue exhausted REQUESTS_PER_SECOND.  */
static bool
may_release (const struct am_board *b, const struct borrowed_slot *x)
{
  const struct am_queue *q;

  if (!x->upstream || !am_quota_slot_free (x->upstream))
    return false;
  if (b->now_us >= x->valid_until_us)
    return true;
  q = x->upstream->service->queue;
  return (!q || q->count == 0)
         && !am_ticketless_is_accepting (b, x->service_id);
}

void
am_quota_release_idle_leases (struct am_board *b)
{
  if (!b->lending)
    return;
  am_list_each (x, &b->lending->borrower.leases, struct borrowed_slot, node)
  {
    if (may_release (b, x))
      release_lease (b, x);
  }
}

void
am_borrower_tick (struct am_board *b)
{
  am_quota_release_idle_leases (b);
  am_list_each_safe (x, next, &b->lending->borrower.leases,
                     struct borrowed_slot, node)
  {
    if (x->upstream || b->now_us - x->released_us < RELEASE_INTERVAL_US)
      continue;
    if (x->attempts < RELEASE_ATTEMPTS_MAX)
      send_release (b, x);
    else
      {
        am_list_remove (&x->node);
        free (x);
      }
  }
}

void
am_borrower_upstream_removed (struct am_board *b, const struct am_upstream *u)
{
  am_list_each (x, &b->lending->borrower.leases, struct borrowed_slot, node)
  {
    if (x->upstream == u)
      release_lease (b, x);
  }
}
