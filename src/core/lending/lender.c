#include "core/lending/lender.h"

#include <stdlib.h>

#include "base/error.h"
#include "base/hash.h"
#include "core/lending/quota.h"
#include "core/lending/lending.h"
#include "core/ownership/ticketless.h"
#include "core/placement/admission.h"
#include "core/requests/request_table.h"

/* Rate limit of GRANTs.  Several borrowers may send a REQUEST to the one peer
   with idle slots; one that gets no answer assumes that the peer has none.  */
#define GRANTS_PER_SECOND 16.0
#define GRANTS_BURST 16.0

/* A slot leased to a peer, until UNTIL_US at the latest.  */
struct lent_slot
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
  l->next_lease_id = (uint32_t)am_rng_next (&b->rng);
  l->grant_bucket = (struct am_token_bucket){ GRANTS_BURST, b->now_us };
}

void
am_lender_finish (struct am_lender *l)
{
  am_list_each_safe (x, after, &l->lent, struct lent_slot, node) free (x);
}

static bool
usable (const struct am_board *b, const struct am_upstream *u)
{
  return u->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE
         && !u->health.ejected && b->now_us >= u->health.avoid_until_us
         && b->now_us >= u->slow_start_next_us;
}

/* Returns how many own idle slots of U may be lent.  */
static uint32_t
lendable (const struct am_board *b, const struct am_upstream *u)
{
  const struct am_upstream_quota *c = &u->quota;
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
choose_upstream (struct am_board *b, struct am_service *s, uint32_t number)
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
lease_expiry_us (const struct am_board *b, const struct am_service *s)
{
  return b->now_us + AM_SLOT_LEASE_VALID_MS * (uint64_t)1000
         + longest_deadline_us (s) + AM_SLOT_GRACE_US
         + AM_SLOT_LEASE_MARGIN_US;
}

static int
grant_lease (struct am_board *b, struct am_upstream *u, uint32_t borrower_id,
             struct am_slot_lease_item *item)
{
  struct am_member *m = am_board_member (b, borrower_id);
  struct lent_slot *x = calloc (1, sizeof *x);

  if (!x)
    return AM_E_MEMORY;
  x->upstream = u;
  x->borrower_id = borrower_id;
  x->borrower_boot_id = m ? m->boot_id : 0;
  x->id = b->lending->lender.next_lease_id++;
  x->until_us = lease_expiry_us (b, u->service);
  am_list_push_back (&b->lending->lender.lent, &x->node);
  u->quota.lent++;
  b->counters.lent++;
  item->lease_id = x->id;
  item->upstream_id = u->id;
  return AM_OK;
}

static bool
borrower_lost (const struct am_board *b, const struct lent_slot *x)
{
  const struct am_member *m
      = am_board_member ((struct am_board *)b, x->borrower_id);

  if (!m || m->state == AMARANTH__MEMBER_STATE__MEMBER_DEAD
      || m->state == AMARANTH__MEMBER_STATE__MEMBER_LEFT)
    return true;
  return x->borrower_boot_id && m->boot_id
         && x->borrower_boot_id != m->boot_id;
}

/* Renews the oldest leases of BORROWER_ID and adds them to REPLY, as far as
   there is room.  Leases at an upstream where more slots are lent than the
   quota now has are left to expire.  */
static void
renew (struct am_board *b, const struct am_service *s, uint32_t borrower_id,
       struct am_slot_lease_message *reply)
{
  struct am_list *all = &b->lending->lender.lent;
  struct am_list renewed;

  am_list_init (&renewed);
  am_list_each_safe (x, next, all, struct lent_slot, node)
  {
    const struct am_upstream *u = x->upstream;

    if (reply->count == AM_SLOT_LEASE_ITEMS_MAX)
      break;
    if (x->borrower_id != borrower_id || u->service != s || !usable (b, u)
        || u->quota.lent > u->quota.slots || borrower_lost (b, x))
      continue;
    x->until_us = lease_expiry_us (b, s);
    am_list_remove (&x->node);
    am_list_push_back (&renewed, &x->node);
    reply->items[reply->count++] = (struct am_slot_lease_item){ x->id, u->id };
    reply->renew++;
  }
  am_list_each_safe (x, next, &renewed, struct lent_slot, node)
  {
    am_list_remove (&x->node);
    am_list_push_back (all, &x->node);
  }
}

void
am_lender_requested (struct am_board *b, struct am_service *s,
                     uint32_t sender_id,
                     const struct am_slot_lease_message *request)
{
  struct am_slot_lease_message reply = { .op = AM_SLOT_LEASE_GRANT,
                                         .value = AM_SLOT_LEASE_VALID_MS,
                                         .service_id = s->id,
                                         .number = request->number };
  uint32_t idle = lendable_total (b, s);
  bool to_owner = am_ticketless_is_owner (b, s->id, sender_id);
  uint32_t granted_max = to_owner ? idle : (idle + 1) / 2;

  if (!am_token_bucket_take (&b->lending->lender.grant_bucket, b->now_us,
                             GRANTS_PER_SECOND, GRANTS_BURST))
    return;
  if (granted_max > request->value)
    granted_max = request->value;
  while (reply.count < granted_max && reply.count < AM_SLOT_LEASE_ITEMS_MAX)
    {
      struct am_upstream *u
          = choose_upstream (b, s, request->number + reply.count);

      if (!u || grant_lease (b, u, sender_id, &reply.items[reply.count]))
        break;
      reply.count++;
    }
  reply.idle = (uint16_t)(idle - reply.count);
  if (to_owner && request->renew && may_lend (b, s))
    renew (b, s, sender_id, &reply);
  am_slot_lease_send (b, sender_id, &reply);
}

static void
reclaim (struct lent_slot *x)
{
  if (x->upstream->quota.lent > 0)
    x->upstream->quota.lent--;
  am_list_remove (&x->node);
  free (x);
}

void
am_lender_released (struct am_board *b, uint32_t sender_id,
                    const struct am_slot_lease_message *m)
{
  struct am_slot_lease_message reply = *m;

  am_list_each_safe (x, next, &b->lending->lender.lent, struct lent_slot, node)
  {
    if (x->borrower_id == sender_id
        && am_slot_lease_message_contains (m, x->id))
      reclaim (x);
  }
  reply.op = AM_SLOT_LEASE_RELEASE_ACK;
  am_slot_lease_send (b, sender_id, &reply);
}

void
am_lender_tick (struct am_board *b)
{
  am_list_each_safe (x, next, &b->lending->lender.lent, struct lent_slot, node)
  {
    if (borrower_lost (b, x)
        && x->until_us > b->now_us + AM_QUOTA_HOLD_DOWN_US)
      x->until_us = b->now_us + AM_QUOTA_HOLD_DOWN_US;
    if (b->now_us >= x->until_us)
      reclaim (x);
  }
}

void
am_lender_upstream_removed (struct am_board *b, const struct am_upstream *u)
{
  am_list_each_safe (x, next, &b->lending->lender.lent, struct lent_slot, node)
  {
    if (x->upstream == u)
      reclaim (x);
  }
}
