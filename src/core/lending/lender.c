#include "core/lending/lender.h"

#include <stdlib.h>

#include "base/error.h"
#include "base/hash.h"
#include "core/lending/quota.h"
#include "core/lending/lending.h"
#include "core/ownership/owned.h"
#include "core/placement/admission.h"
#include "core/requests/request_table.h"

/* ASKs that are answered.  Several borrowers may ask the one peer with idle
   slots; to those without an answer it has none.  */
#define LENDS_PER_SECOND 16.0
#define LENDS_BURST 16.0

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

void
am_lender_init (struct am_lender *l, struct am_board *b)
{
  am_list_init (&l->lent);
  l->next_loan_id = (uint32_t)am_rng_next (&b->rng);
  l->lends = (struct am_token_bucket){ LENDS_BURST, b->now_us };
}

void
am_lender_finish (struct am_lender *l)
{
  am_list_each_safe (x, after, &l->lent, struct lent, node) free (x);
}

static bool
usable (const struct am_board *b, const struct am_upstream *u)
{
  return u->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE
         && !u->health.ejected && b->now_us >= u->health.avoid_until_us
         && b->now_us >= u->ramp_next_us;
}

/* Returns how many own idle slots of U may be lent.  */
static uint32_t
lendable (const struct am_board *b, const struct am_upstream *u)
{
  const struct am_upstream_credit *c = &u->credit;
  uint32_t own = c->slots > c->lent ? c->slots - c->lent : 0;
  uint32_t limit = am_quota_slots (u);
  uint32_t idle = limit > u->use.busy ? limit - u->use.busy : 0;

  if (!usable (b, u))
    return 0;
  return own < idle ? own : idle;
}

static bool
may_lend (const struct am_board *b, const struct am_service *s)
{
  return !b->stopping && s->home && !s->credit_due_us
         && s->lending != AMARANTH__LENDING__LENDING_OFF
         && !(s->queue && s->queue->count);
}

static uint32_t
lendable_total (const struct am_board *b, const struct am_service *s)
{
  uint32_t total = 0;

  if (!may_lend (b, s))
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

static uint64_t
lent_until (const struct am_board *b, const struct am_service *s)
{
  return b->now_us + AM_SLOT_LEASE_VALID_MS * (uint64_t)1000
         + longest_deadline_us (s) + AM_SLOT_GRACE_US
         + AM_SLOT_LEASE_MARGIN_US;
}

static int
lend_one (struct am_board *b, struct am_upstream *u, uint32_t borrower_id,
          struct am_slot_lease_item *item)
{
  struct am_member *m = am_board_member (b, borrower_id);
  struct lent *x = calloc (1, sizeof *x);

  if (!x)
    return AM_E_MEMORY;
  x->upstream = u;
  x->borrower_id = borrower_id;
  x->borrower_boot_id = m ? m->boot_id : 0;
  x->id = b->lending->lender.next_loan_id++;
  x->until_us = lent_until (b, u->service);
  am_list_push_back (&b->lending->lender.lent, &x->node);
  u->credit.lent++;
  b->counters.lent++;
  item->loan_id = x->id;
  item->upstream_id = u->id;
  return AM_OK;
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

/* Adds to REPLY the oldest loans of BORROWER_ID, as far as there is room.
   Loans of an upstream of which the share is now smaller than what is lent run
   out instead.  */
static void
renew (struct am_board *b, const struct am_service *s, uint32_t borrower_id,
       struct am_slot_lease_message *reply)
{
  struct am_list *all = &b->lending->lender.lent;
  struct am_list renewed;

  am_list_init (&renewed);
  am_list_each_safe (x, next, all, struct lent, node)
  {
    const struct am_upstream *u = x->upstream;

    if (reply->count == AM_SLOT_LEASE_ITEMS_MAX)
      break;
    if (x->borrower_id != borrower_id || u->service != s || !usable (b, u)
        || u->credit.lent > u->credit.slots || borrower_gone (b, x))
      continue;
    x->until_us = lent_until (b, s);
    am_list_remove (&x->node);
    am_list_push_back (&renewed, &x->node);
    reply->items[reply->count++] = (struct am_slot_lease_item){ x->id, u->id };
    reply->renew++;
  }
  am_list_each_safe (x, next, &renewed, struct lent, node)
  {
    am_list_remove (&x->node);
    am_list_push_back (all, &x->node);
  }
}

void
am_lender_requested (struct am_board *b, struct am_service *s,
                     uint32_t sender_id,
                     const struct am_slot_lease_message *ask)
{
  struct am_slot_lease_message reply = { .op = AM_SLOT_LEASE_GRANT,
                                         .value = AM_SLOT_LEASE_VALID_MS,
                                         .service_id = s->id,
                                         .number = ask->number };
  uint32_t idle = lendable_total (b, s);
  bool to_owner = am_owned_is_owner (b, s->id, sender_id);
  uint32_t give = to_owner ? idle : (idle + 1) / 2;

  if (!am_token_bucket_take (&b->lending->lender.lends, b->now_us,
                             LENDS_PER_SECOND, LENDS_BURST))
    return;
  if (give > ask->value)
    give = ask->value;
  while (reply.count < give && reply.count < AM_SLOT_LEASE_ITEMS_MAX)
    {
      struct am_upstream *u = slot_to_lend (b, s, ask->number + reply.count);

      if (!u || lend_one (b, u, sender_id, &reply.items[reply.count]))
        break;
      reply.count++;
    }
  reply.idle = (uint16_t)(idle - reply.count);
  if (to_owner && ask->renew && may_lend (b, s))
    renew (b, s, sender_id, &reply);
  am_slot_lease_send (b, sender_id, &reply);
}

static void
take_back (struct lent *x)
{
  if (x->upstream->credit.lent > 0)
    x->upstream->credit.lent--;
  am_list_remove (&x->node);
  free (x);
}

void
am_lender_released (struct am_board *b, uint32_t sender_id,
                    const struct am_slot_lease_message *m)
{
  struct am_slot_lease_message reply = *m;

  am_list_each_safe (x, next, &b->lending->lender.lent, struct lent, node)
  {
    if (x->borrower_id == sender_id
        && am_slot_lease_message_contains (m, x->id))
      take_back (x);
  }
  reply.op = AM_SLOT_LEASE_RELEASE_ACK;
  am_slot_lease_send (b, sender_id, &reply);
}

void
am_lender_tick (struct am_board *b)
{
  am_list_each_safe (x, next, &b->lending->lender.lent, struct lent, node)
  {
    if (borrower_gone (b, x)
        && x->until_us > b->now_us + AM_QUOTA_HOLD_DOWN_US)
      x->until_us = b->now_us + AM_QUOTA_HOLD_DOWN_US;
    if (b->now_us >= x->until_us)
      take_back (x);
  }
}

void
am_lender_upstream_removed (struct am_board *b, const struct am_upstream *u)
{
  am_list_each_safe (x, next, &b->lending->lender.lent, struct lent, node)
  {
    if (x->upstream == u)
      take_back (x);
  }
}
