#include "core/lending.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "core/admission.h"
#include "core/credit.h"
#include "core/request_table.h"
#include "wire/bytes.h"
#include "wire/peer.h"

#define HEADER_SIZE 16
#define ITEM_SIZE 8

/* Slots in one message.  */
#define ITEMS_MAX 8

/* An ASK costs at most four datagrams of about 90 bytes with their IP and UDP
   headers; at this rate lending stays below 3 KB/s for each side.  */
#define ASKS_PER_SECOND 8.0
#define ASKS_BURST 16.0

/* ASKs that are answered.  Several borrowers may ask the one peer with idle
   slots; to those without an answer it has none.  */
#define LENDS_PER_SECOND 16.0
#define LENDS_BURST 16.0

/* An ASK without answer is given up after this time; peers are about 1 ms
   away.  */
#define ASK_TIMEOUT_US 50000u

/* A peer that had nothing to lend is not asked again for this long.  */
#define HINT_LIFE_US 100000u

/* The borrower's validity ends this much before what the lender counts.  */
#define VALID_MARGIN_US 50000u

#define RETURN_INTERVAL_US 200000u
#define RETURN_ATTEMPTS 5u

struct hint
{
  uint32_t member_id;
  uint32_t idle;
  uint64_t at_us;
};

/* Borrowing of one service.  */
struct borrower
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

/* A slot lent to a peer.  */
struct lent
{
  struct am_list node;
  struct am_upstream *upstream;
  uint32_t borrower_id;
  uint64_t borrower_boot_id;
  uint32_t id;
  uint64_t until_us;
};

struct bucket
{
  double tokens;
  uint64_t at_us;
};

struct am_lending
{
  struct borrower *borrowers;
  struct am_list loans;
  struct am_list lent;
  uint32_t next_loan_id;
  uint32_t next_ask;
  struct bucket asks;
  struct bucket lends;
};

struct item
{
  uint32_t loan_id;
  uint32_t upstream_id;
};

struct message
{
  uint8_t op;
  uint8_t count;
  uint16_t value;
  uint32_t service_id;
  uint32_t number;
  uint16_t idle;
  struct item items[ITEMS_MAX];
};

int
am_lending_init (struct am_board *b)
{
  struct am_lending *l = calloc (1, sizeof *l);

  if (!l)
    return AM_E_MEMORY;
  am_list_init (&l->loans);
  am_list_init (&l->lent);
  l->next_loan_id = (uint32_t)am_rng_next (&b->rng);
  l->next_ask = (uint32_t)am_rng_next (&b->rng);
  l->asks = (struct bucket){ ASKS_BURST, b->now_us };
  l->lends = (struct bucket){ LENDS_BURST, b->now_us };
  b->lending = l;
  return AM_OK;
}

void
am_lending_finish (struct am_board *b)
{
  struct am_lending *l = b->lending;
  struct borrower *w;

  if (!l)
    return;
  am_list_each_safe (x, after, &l->loans, struct loan, node) free (x);
  am_list_each_safe (x, after, &l->lent, struct lent, node) free (x);
  w = l->borrowers;
  HASH_CLEAR (by_id, l->borrowers);
  while (w)
    {
      struct borrower *next = w->by_id.next;

      free (w);
      w = next;
    }
  free (l);
  b->lending = NULL;
}

static bool
take_token (const struct am_board *b, struct bucket *k, double rate,
            double burst)
{
  k->tokens += (double)(b->now_us - k->at_us) / 1e6 * rate;
  k->at_us = b->now_us;
  if (k->tokens > burst)
    k->tokens = burst;
  if (k->tokens < 1)
    return false;
  k->tokens -= 1;
  return true;
}

/* ---- messages ----------------------------------------------------- */

static size_t
encode (const struct message *m, uint8_t *buf)
{
  buf[0] = m->op;
  buf[1] = m->count;
  am_put_u16 (buf + 2, m->value);
  am_put_u32 (buf + 4, m->service_id);
  am_put_u32 (buf + 8, m->number);
  am_put_u16 (buf + 12, m->idle);
  am_put_u16 (buf + 14, 0);
  for (size_t i = 0; i < m->count; i++)
    {
      am_put_u32 (buf + HEADER_SIZE + i * ITEM_SIZE, m->items[i].loan_id);
      am_put_u32 (buf + HEADER_SIZE + i * ITEM_SIZE + 4,
                  m->items[i].upstream_id);
    }
  return HEADER_SIZE + m->count * (size_t)ITEM_SIZE;
}

static int
decode (struct message *m, const uint8_t *buf, size_t len)
{
  if (len < HEADER_SIZE)
    return AM_E_SHORT;
  m->op = buf[0];
  m->count = buf[1];
  if (m->op < AM_CREDIT_ASK || m->op > AM_CREDIT_RETURNED
      || m->count > ITEMS_MAX)
    return AM_E_FORMAT;
  if (len != HEADER_SIZE + m->count * (size_t)ITEM_SIZE)
    return AM_E_FORMAT;
  m->value = am_get_u16 (buf + 2);
  m->service_id = am_get_u32 (buf + 4);
  m->number = am_get_u32 (buf + 8);
  m->idle = am_get_u16 (buf + 12);
  for (size_t i = 0; i < m->count; i++)
    {
      m->items[i].loan_id = am_get_u32 (buf + HEADER_SIZE + i * ITEM_SIZE);
      m->items[i].upstream_id
          = am_get_u32 (buf + HEADER_SIZE + i * ITEM_SIZE + 4);
    }
  return AM_OK;
}

static void
send (struct am_board *b, uint32_t to, const struct message *m)
{
  uint8_t body[HEADER_SIZE + ITEMS_MAX * ITEM_SIZE];
  uint8_t buf[AM_PEER_HEADER_SIZE + sizeof body];
  struct am_peer_header h = { .type = AM_PEER_CREDIT,
                              .sender_id = b->self.id,
                              .sender_boot_id = b->self.boot_id,
                              .service_id = m->service_id };
  struct am_member *member = am_board_member (b, to);
  struct am_action a = { .type = AM_ACTION_PEER, .data = buf };
  size_t len;

  if (!member)
    return;
  len = encode (m, body);
  if (am_peer_encode (&h, b->peer_key, body, len, buf, sizeof buf, &a.len))
    return;
  a.to = member->peer;
  am_board_emit (b, &a);
}

/* ---- lender ------------------------------------------------------- */

/* Returns how many own idle slots of U may be lent.  */
static uint32_t
lendable (const struct am_board *b, const struct am_upstream *u)
{
  const struct am_upstream_credit *c = &u->credit;
  uint32_t own = c->slots > c->lent ? c->slots - c->lent : 0;
  uint32_t limit = am_credit_slots (u);
  uint32_t idle = limit > u->use.busy ? limit - u->use.busy : 0;

  if (u->state != AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE
      || u->health.ejected || b->now_us < u->health.avoid_until_us
      || b->now_us < u->ramp_next_us)
    return 0;
  return own < idle ? own : idle;
}

static uint32_t
lendable_total (const struct am_board *b, const struct am_service *s)
{
  uint32_t total = 0;

  if (b->stopping || !s->home || s->credit_due_us
      || (s->queue && s->queue->count))
    return 0;
  am_list_each (u, &s->upstreams, struct am_upstream, node)
  {
    total += lendable (b, u);
  }
  return total;
}

static struct am_upstream *
slot_to_lend (struct am_board *b, struct am_service *s, uint32_t number)
{
  struct am_upstream *best = NULL;
  uint64_t highest = 0;

  am_list_each (u, &s->upstreams, struct am_upstream, node)
  {
    uint64_t score = am_hash_rendezvous (number, u->id);

    if (lendable (b, u) && (!best || score > highest))
      {
        best = u;
        highest = score;
      }
  }
  return best;
}

static uint64_t
longest_deadline_us (const struct am_service *s)
{
  uint32_t ms = AM_DEADLINE_DEFAULT_MS;

  for (size_t i = 0; i < s->class_count; i++)
    {
      if (s->classes[i].deadline_ms > ms)
        ms = s->classes[i].deadline_ms;
    }
  return (uint64_t)ms * 1000;
}

static int
lend_one (struct am_board *b, struct am_upstream *u, uint32_t borrower_id,
          struct item *item)
{
  struct am_member *m = am_board_member (b, borrower_id);
  struct lent *x = calloc (1, sizeof *x);

  if (!x)
    return AM_E_MEMORY;
  x->upstream = u;
  x->borrower_id = borrower_id;
  x->borrower_boot_id = m ? m->boot_id : 0;
  x->id = b->lending->next_loan_id++;
  x->until_us = b->now_us + AM_LOAN_VALID_MS * (uint64_t)1000
                + longest_deadline_us (u->service) + AM_SLOT_GRACE_US
                + VALID_MARGIN_US;
  am_list_push_back (&b->lending->lent, &x->node);
  u->credit.lent++;
  b->counters.lent++;
  item->loan_id = x->id;
  item->upstream_id = u->id;
  return AM_OK;
}

static void
handle_ask (struct am_board *b, struct am_service *s, uint32_t sender_id,
            const struct message *ask)
{
  struct message reply = { .op = AM_CREDIT_LEND,
                           .value = AM_LOAN_VALID_MS,
                           .service_id = s->id,
                           .number = ask->number };
  uint32_t idle = lendable_total (b, s);
  uint32_t give = (idle + 1) / 2;

  if (!take_token (b, &b->lending->lends, LENDS_PER_SECOND, LENDS_BURST))
    return;
  if (give > ask->value)
    give = ask->value;
  while (reply.count < give && reply.count < ITEMS_MAX)
    {
      struct am_upstream *u = slot_to_lend (b, s, ask->number + reply.count);

      if (!u || lend_one (b, u, sender_id, &reply.items[reply.count]))
        break;
      reply.count++;
    }
  reply.idle = (uint16_t)(idle - reply.count);
  send (b, sender_id, &reply);
}

static void
take_back (struct lent *x)
{
  if (x->upstream->credit.lent > 0)
    x->upstream->credit.lent--;
  am_list_remove (&x->node);
  free (x);
}

static struct lent *
find_lent (struct am_board *b, uint32_t borrower_id, uint32_t id)
{
  am_list_each (x, &b->lending->lent, struct lent, node)
  {
    if (x->borrower_id == borrower_id && x->id == id)
      return x;
  }
  return NULL;
}

static void
handle_return (struct am_board *b, uint32_t sender_id, const struct message *m)
{
  struct message reply = *m;

  for (size_t i = 0; i < m->count; i++)
    {
      struct lent *x = find_lent (b, sender_id, m->items[i].loan_id);

      if (x)
        take_back (x);
    }
  reply.op = AM_CREDIT_RETURNED;
  send (b, sender_id, &reply);
}

static bool
borrower_gone (const struct am_board *b, const struct lent *x)
{
  const struct am_member *m
      = am_board_member ((struct am_board *)b, x->borrower_id);

  if (!m || m->state == AMARANTH__MEMBER_STATE__MEMBER_DEAD
      || m->state == AMARANTH__MEMBER_STATE__MEMBER_LEFT)
    return true;
  return x->borrower_boot_id && m->boot_id
         && x->borrower_boot_id != m->boot_id;
}

static void
tick_lent (struct am_board *b)
{
  am_list_each_safe (x, next, &b->lending->lent, struct lent, node)
  {
    if (borrower_gone (b, x) && x->until_us > b->now_us + AM_CREDIT_HOLD_US)
      x->until_us = b->now_us + AM_CREDIT_HOLD_US;
    if (b->now_us >= x->until_us)
      take_back (x);
  }
}

/* ---- borrower ----------------------------------------------------- */

static struct borrower *
borrower_of (struct am_board *b, uint32_t service_id)
{
  struct borrower *w;

  HASH_FIND (by_id, b->lending->borrowers, &service_id, sizeof service_id, w);
  if (w)
    return w;
  w = calloc (1, sizeof *w);
  if (!w)
    return NULL;
  w->service_id = service_id;
  HASH_ADD (by_id, b->lending->borrowers, service_id, sizeof w->service_id, w);
  return w;
}

static struct hint *
hint_of (struct borrower *w, uint32_t member_id)
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

static void
note_idle (struct am_board *b, uint32_t service_id, uint32_t member_id,
           uint32_t idle)
{
  struct borrower *w = borrower_of (b, service_id);
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
peer_to_ask (struct am_board *b, struct am_service *s, struct borrower *w)
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
am_credit_borrow (struct am_board *b, struct am_service *s)
{
  struct message m = { .op = AM_CREDIT_ASK, .service_id = s->id };
  struct borrower *w;
  struct am_member *peer;
  size_t wanted = s->queue ? s->queue->count : 1;

  if (!b->lending || s->home_count < 2 || !(w = borrower_of (b, s->id)))
    return;
  if (w->asked_us && b->now_us - w->asked_us < ASK_TIMEOUT_US)
    return;
  if (w->asked_us)
    note_idle (b, s->id, w->asked_id, 0);
  w->asked_us = 0;
  peer = peer_to_ask (b, s, w);
  if (!peer || !take_token (b, &b->lending->asks, ASKS_PER_SECOND, ASKS_BURST))
    return;
  w->number = b->lending->next_ask++;
  w->asked_id = peer->id;
  w->asked_us = b->now_us ? b->now_us : 1;
  m.number = w->number;
  m.value = (uint16_t)(wanted < ITEMS_MAX ? wanted : ITEMS_MAX);
  send (b, peer->id, &m);
}

static struct loan *
find_loan (struct am_board *b, uint32_t lender_id, uint32_t id)
{
  am_list_each (x, &b->lending->loans, struct loan, node)
  {
    if (x->lender_id == lender_id && x->id == id)
      return x;
  }
  return NULL;
}

static void
send_return (struct am_board *b, struct loan *x)
{
  struct message m = { .op = AM_CREDIT_RETURN,
                       .count = 1,
                       .service_id = x->service_id,
                       .items = { { x->id, x->upstream_id } } };

  x->returned_us = b->now_us;
  x->attempts++;
  send (b, x->lender_id, &m);
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
          const struct item *item)
{
  struct loan *x = calloc (1, sizeof *x);

  if (!x)
    return NULL;
  x->service_id = service_id;
  x->upstream_id = item->upstream_id;
  x->lender_id = lender_id;
  x->id = item->loan_id;
  am_list_push_back (&b->lending->loans, &x->node);
  return x;
}

static void
handle_lend (struct am_board *b, struct am_service *s, uint32_t sender_id,
             const struct message *m)
{
  struct borrower *w = borrower_of (b, s->id);
  bool expected
      = w && w->asked_us && w->asked_id == sender_id && w->number == m->number;
  uint64_t valid_us = (uint64_t)m->value * 1000;
  uint64_t until = 0;

  if (expected && valid_us > VALID_MARGIN_US)
    until = w->asked_us + valid_us - VALID_MARGIN_US;
  if (expected)
    w->asked_us = 0;
  for (size_t i = 0; i < m->count; i++)
    {
      struct am_upstream *u = am_service_upstream (s, m->items[i].upstream_id);
      struct loan *x;

      if (find_loan (b, sender_id, m->items[i].loan_id))
        continue;
      x = add_loan (b, s->id, sender_id, &m->items[i]);
      if (!x)
        continue;
      if (!u || b->now_us >= until)
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

static void
handle_returned (struct am_board *b, uint32_t sender_id,
                 const struct message *m)
{
  for (size_t i = 0; i < m->count; i++)
    {
      struct loan *x = find_loan (b, sender_id, m->items[i].loan_id);

      if (!x || x->upstream)
        continue;
      am_list_remove (&x->node);
      free (x);
    }
}

/* Returns true if X is free and either its validity has ended or nothing waits
   for it.  */
static bool
may_go_back (const struct am_board *b, const struct loan *x)
{
  const struct am_queue *q;

  if (!x->upstream || !am_credit_slot_free (x->upstream))
    return false;
  q = x->upstream->service->queue;
  return b->now_us >= x->valid_until_us || !q || q->count == 0;
}

void
am_credit_expire (struct am_board *b)
{
  if (!b->lending)
    return;
  am_list_each (x, &b->lending->loans, struct loan, node)
  {
    if (may_go_back (b, x))
      give_back (b, x);
  }
}

static void
tick_loans (struct am_board *b)
{
  am_credit_expire (b);
  am_list_each_safe (x, next, &b->lending->loans, struct loan, node)
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
am_lending_tick (struct am_board *b)
{
  if (!b->lending)
    return;
  tick_lent (b);
  tick_loans (b);
}

int
am_credit_peer (struct am_board *b, uint32_t sender_id, const uint8_t *body,
                size_t len)
{
  struct message m;
  struct am_service *s;
  int error = decode (&m, body, len);

  if (error)
    return error;
  if (!b->lending)
    return AM_E_STATE;
  s = am_board_service (b, m.service_id);
  if (!s)
    return AM_E_SERVICE_UNKNOWN;
  if (!am_board_member (b, sender_id))
    return AM_E_NOT_FOUND;
  if (m.op == AM_CREDIT_LEND)
    note_idle (b, s->id, sender_id, m.idle);
  switch (m.op)
    {
    case AM_CREDIT_ASK:
      handle_ask (b, s, sender_id, &m);
      break;
    case AM_CREDIT_LEND:
      handle_lend (b, s, sender_id, &m);
      am_requests_tick (b);
      break;
    case AM_CREDIT_RETURN:
      handle_return (b, sender_id, &m);
      break;
    default:
      handle_returned (b, sender_id, &m);
      break;
    }
  return AM_OK;
}

void
am_credit_upstream_gone (struct am_board *b, struct am_upstream *u)
{
  if (!b->lending)
    return;
  am_list_each (x, &b->lending->loans, struct loan, node)
  {
    if (x->upstream == u)
      give_back (b, x);
  }
  am_list_each_safe (x, next, &b->lending->lent, struct lent, node)
  {
    if (x->upstream == u)
      take_back (x);
  }
}
