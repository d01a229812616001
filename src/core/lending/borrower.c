#include "core/lending/borrower.h"

#include <stdlib.h>

#include "core/lending/quota.h"
#include "core/lending/lending.h"
#include "core/ownership/owned.h"
#include "core/placement/admission.h"

/* An ASK costs at most four datagrams of about 90 bytes with their IP and UDP
   headers; at this rate lending stays below 3 KB/s for each side.  */
#define ASKS_PER_SECOND 8.0
#define ASKS_BURST 16.0

/* An ASK without answer is given up after this time; peers are about 1 ms
   away.  */
#define ASK_TIMEOUT_US 50000u

/* A peer that had nothing to lend is not asked again for this long.  */
#define HINT_LIFE_US 100000u

#define RETURN_INTERVAL_US 200000u
#define RETURN_ATTEMPTS 5u

struct hint
{
  uint32_t member_id;
  uint32_t idle;
  uint64_t at_us;
};

/* Borrowing of one service.  */
struct borrowing
{
  UT_hash_handle by_id;
  uint32_t service_id;
  uint32_t number; /* of the last ASK */
  uint32_t asked_id;
  uint64_t asked_us; /* 0: none outstanding */
  struct hint hints[AM_HOME_MAX];
};

/* A slot borrowed from a peer.  While it is given back UPSTREAM is NULL.  */
struct loan
{
  struct am_list node;
  struct am_upstream *upstream;
  uint32_t service_id;
  uint32_t upstream_id;
  uint32_t lender_id;
  uint32_t id;
  uint64_t valid_until_us;
  uint64_t returned_us;
  uint32_t attempts;
};

void
am_borrower_init (struct am_borrower *w, struct am_board *b)
{
  am_list_init (&w->loans);
  w->services = NULL;
  w->next_ask = (uint32_t)am_rng_next (&b->rng);
  w->asks = (struct am_token_bucket){ ASKS_BURST, b->now_us };
}

void
am_borrower_finish (struct am_borrower *w)
{
  struct borrowing *s = w->services;

  am_list_each_safe (x, after, &w->loans, struct loan, node) free (x);
  HASH_CLEAR (by_id, w->services);
  while (s)
    {
      struct borrowing *next = s->by_id.next;

      free (s);
      s = next;
    }
}

static struct borrowing *
borrowing_of (struct am_board *b, uint32_t service_id)
{
  struct borrowing *w;

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
hint_of (struct borrowing *w, uint32_t member_id)
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
  struct borrowing *w = borrowing_of (b, service_id);
  struct hint *h;

  if (!w)
    return;
  h = hint_of (w, member_id);
  h->idle = idle;
  h->at_us = b->now_us;
}

/* Returns the peer to ask: the one with the most idle slots by its last
   message; one that said nothing lately counts as one.  NULL if all of them
   had none a moment ago.  */
static struct am_member *
peer_to_ask (struct am_board *b, struct am_service *s, struct borrowing *w)
{
  uint32_t start = am_rng_below (&b->rng, (uint32_t)s->home_count);
  struct am_member *best = NULL;
  uint32_t most = 0;

  for (size_t i = 0; i < s->home_count; i++)
    {
      struct am_member *m = s->home_set[(start + i) % s->home_count];
      struct hint *h = hint_of (w, m->id);
      bool fresh = h->at_us && b->now_us - h->at_us < HINT_LIFE_US;
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
  struct borrowing *w;
  struct am_member *peer;
  size_t wanted = s->queue ? s->queue->count : 1;

  if (am_owned_runs_all (b, s->id))
    {
      wanted = AM_SLOT_LEASE_ITEMS_MAX;
      m.renew = 1;
    }
  if (!b->lending || s->lending == AMARANTH__LENDING__LENDING_OFF
      || s->home_count < 2 || !(w = borrowing_of (b, s->id)))
    return;
  if (w->asked_us && b->now_us - w->asked_us < ASK_TIMEOUT_US)
    return;
  if (w->asked_us)
    am_borrower_note_idle (b, s->id, w->asked_id, 0);
  w->asked_us = 0;
  peer = peer_to_ask (b, s, w);
  if (!peer
      || !am_token_bucket_take (&b->lending->borrower.asks, b->now_us,
                                ASKS_PER_SECOND, ASKS_BURST))
    return;
  w->number = b->lending->borrower.next_ask++;
  w->asked_id = peer->id;
  w->asked_us = b->now_us ? b->now_us : 1;
  m.number = w->number;
  m.value
      = (uint16_t)(wanted < AM_SLOT_LEASE_ITEMS_MAX ? wanted
                                                    : AM_SLOT_LEASE_ITEMS_MAX);
  am_slot_lease_send (b, peer->id, &m);
}

static struct loan *
find_loan (struct am_board *b, uint32_t lender_id, uint32_t id)
{
  am_list_each (x, &b->lending->borrower.loans, struct loan, node)
  {
    if (x->lender_id == lender_id && x->id == id)
      return x;
  }
  return NULL;
}

static void
send_return (struct am_board *b, struct loan *x)
{
  struct am_slot_lease_message m = { .op = AM_SLOT_LEASE_RELEASE,
                                     .count = 1,
                                     .service_id = x->service_id,
                                     .items = { { x->id, x->upstream_id } } };

  x->returned_us = b->now_us;
  x->attempts++;
  am_slot_lease_send (b, x->lender_id, &m);
}

static void
give_back (struct am_board *b, struct loan *x)
{
  if (x->upstream && x->upstream->credit.borrowed > 0)
    x->upstream->credit.borrowed--;
  x->upstream = NULL;
  send_return (b, x);
}

static struct loan *
add_loan (struct am_board *b, uint32_t service_id, uint32_t lender_id,
          const struct am_slot_lease_item *item)
{
  struct loan *x = calloc (1, sizeof *x);

  if (!x)
    return NULL;
  x->service_id = service_id;
  x->upstream_id = item->upstream_id;
  x->lender_id = lender_id;
  x->id = item->loan_id;
  am_list_push_back (&b->lending->borrower.loans, &x->node);
  return x;
}

void
am_borrower_granted (struct am_board *b, struct am_service *s,
                     uint32_t sender_id, const struct am_slot_lease_message *m)
{
  struct borrowing *w = borrowing_of (b, s->id);
  bool expected
      = w && w->asked_us && w->asked_id == sender_id && w->number == m->number;
  uint64_t valid_us = (uint64_t)m->value * 1000;
  uint64_t until = 0;

  if (expected && valid_us > AM_SLOT_LEASE_MARGIN_US)
    until = w->asked_us + valid_us - AM_SLOT_LEASE_MARGIN_US;
  if (expected)
    w->asked_us = 0;
  for (size_t i = 0; i < m->count; i++)
    {
      struct am_upstream *u = am_service_upstream (s, m->items[i].upstream_id);
      struct loan *x = find_loan (b, sender_id, m->items[i].loan_id);
      bool renewed = i + m->renew >= m->count;

      if (x && x->upstream && renewed && until > x->valid_until_us)
        x->valid_until_us = until;
      if (x)
        continue;
      x = add_loan (b, s->id, sender_id, &m->items[i]);
      if (!x)
        continue;
      if (!u || renewed || b->now_us >= until)
        {
          give_back (b, x);
          continue;
        }
      x->upstream = u;
      x->valid_until_us = until;
      u->credit.borrowed++;
      b->counters.borrowed++;
    }
}

void
am_borrower_release_acked (struct am_board *b, uint32_t sender_id,
                           const struct am_slot_lease_message *m)
{
  am_list_each_safe (x, next, &b->lending->borrower.loans, struct loan, node)
  {
    if (x->upstream || x->lender_id != sender_id
        || !am_slot_lease_message_contains (m, x->id))
      continue;
    am_list_remove (&x->node);
    free (x);
  }
}

/* Returns true if X is free and either its validity has ended or nothing waits
   for it.  The owner of a service's requests keeps its loans: the lenders run
   none, and asking again for each short queue exhausted ASKS_PER_SECOND.  */
static bool
may_go_back (const struct am_board *b, const struct loan *x)
{
  const struct am_queue *q;

  if (!x->upstream || !am_quota_slot_free (x->upstream))
    return false;
  if (b->now_us >= x->valid_until_us)
    return true;
  q = x->upstream->service->queue;
  return (!q || q->count == 0) && !am_owned_runs_all (b, x->service_id);
}

void
am_quota_release_idle_leases (struct am_board *b)
{
  if (!b->lending)
    return;
  am_list_each (x, &b->lending->borrower.loans, struct loan, node)
  {
    if (may_go_back (b, x))
      give_back (b, x);
  }
}

void
am_borrower_tick (struct am_board *b)
{
  am_quota_release_idle_leases (b);
  am_list_each_safe (x, next, &b->lending->borrower.loans, struct loan, node)
  {
    if (x->upstream || b->now_us - x->returned_us < RETURN_INTERVAL_US)
      continue;
    if (x->attempts < RETURN_ATTEMPTS)
      send_return (b, x);
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
  am_list_each (x, &b->lending->borrower.loans, struct loan, node)
  {
    if (x->upstream == u)
      give_back (b, x);
  }
}
