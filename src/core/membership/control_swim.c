#include "core/membership/control_swim.h"

#include <string.h>

#include "base/error.h"
#include "core/configuration/control_spread.h"
#include "core/membership/control_gossip.h"
#include "core/membership/control_members.h"
#include "core/targets/control_verdicts.h"

/* Interval at which one dead member and one seed that is not a live member are
   pinged, so that the sides of a healed partition rediscover each other within
   two seconds.  */
#define REJOIN_INTERVAL_US (2 * AM_SECOND_US)

/* A VM without a live member has to find one: it pings seeds more often, and
   several at a time, as most of them may be gone.  AM_SEEDS_MAX seeds are
   pinged within REJOIN_INTERVAL_US.  */
#define JOIN_INTERVAL_US (REJOIN_INTERVAL_US / 4)
#define JOIN_SEEDS (AM_SEEDS_MAX / 4)

/* An unanswered PING is retransmitted every PING_INTERVAL_US, and another
   round of indirect requests follows after INDIRECT_INTERVAL_US.  With a
   single PING and a single round, 7.8 % of the probes failed on links that
   lost 20 % of the datagrams; in a fleet of 200 the updates of 15 suspicions
   per second exceeded the budget, so that live members were declared dead.  */
#define PING_INTERVAL_US (AM_SECOND_US / 5)
#define PINGS_MAX 4u
#define INDIRECT_INTERVAL_US (3 * AM_SECOND_US / 10)
#define INDIRECT_ROUNDS_MAX 2u

/* am_control.probe_late is averaged over about LATE_WEIGHT probes.  Above
   LATE_LIMIT (an eighth of the scale) this VM's own links lose or delay so
   many datagrams that a member is suspected only after two failed probes.  */
#define LATE_WEIGHT 16u
#define LATE_LIMIT (AM_PROBE_LATE_SCALE / 8)

static uint32_t
next_sequence (struct am_control *c)
{
  if (++c->sequence == 0)
    c->sequence = 1;
  return c->sequence;
}

/* Returns V if its state here is one that the member itself must be sent, to
   refute it; else NULL.  */
static const struct am_vm *
update_to_refute (const struct am_vm *v)
{
  bool own_state = v->state == AMARANTH__MEMBER_STATE__MEMBER_ALIVE
                   || v->state == AMARANTH__MEMBER_STATE__MEMBER_LEAVING;

  return own_state ? NULL : v;
}

static void
handle_ping (struct am_control *c, struct am_address from,
             const Amaranth__Gossip *g, const struct am_vm *sender)
{
  const struct am_vm *about = NULL;

  if (sender
      && (update_to_refute (sender)
          || sender->incarnation > g->sender->incarnation))
    about = sender;
  am_gossip_send (c, from, AMARANTH__GOSSIP_KIND__GOSSIP_ACK, g->sequence, 0,
                  about);
}

static void
handle_ping_request (struct am_control *c, struct am_address from,
                     const Amaranth__Gossip *g)
{
  struct am_vm *target = am_members_find (c, g->target_id);
  struct am_relay *r = &c->relays[c->relay_next];

  if (!target)
    return;
  c->relay_next = (c->relay_next + 1) % AM_RELAYS_MAX;
  r->sequence = next_sequence (c);
  r->target_id = g->target_id;
  r->requester = from;
  r->requester_sequence = g->sequence;
  am_gossip_send (c, am_vm_gossip (target), AMARANTH__GOSSIP_KIND__GOSSIP_PING,
                  r->sequence, 0, update_to_refute (target));
}

static void
relay_ack (struct am_control *c, const Amaranth__Gossip *g)
{
  for (size_t i = 0; i < AM_RELAYS_MAX; i++)
    {
      struct am_relay *r = &c->relays[i];

      if (r->sequence == 0 || r->sequence != g->sequence
          || r->target_id != g->sender->id)
        continue;
      r->sequence = 0;
      am_gossip_send (c, r->requester, AMARANTH__GOSSIP_KIND__GOSSIP_ACK,
                      r->requester_sequence, r->target_id, NULL);
    }
}

static void
handle_ack (struct am_control *c, const Amaranth__Gossip *g)
{
  struct am_probe *p = &c->probe;

  if (g->sequence == 0)
    return;
  if (p->target_id && g->sequence == p->sequence
      && (g->sender->id == p->target_id || g->target_id == p->target_id))
    p->acked = true;
  relay_ack (c, g);
}

/* Handles a message from a member that is dead here at its current
   incarnation, as after a partition.  The member is sent its record, which it
   refutes, and the whole tables are exchanged.  */
static void
handle_dead_sender (struct am_control *c, struct am_address from,
                    const Amaranth__Gossip *g, const struct am_vm *sender)
{
  if (am_vm_live (sender) || sender->incarnation < g->sender->incarnation)
    return;
  if (g->kind != AMARANTH__GOSSIP_KIND__GOSSIP_PING)
    am_gossip_send (c, from, AMARANTH__GOSSIP_KIND__GOSSIP_ACK, 0, 0, sender);
  am_spread_exchange (c, sender);
}

int
am_swim_receive (struct am_control *c, struct am_address from,
                 const Amaranth__Gossip *g)
{
  struct am_vm *sender;
  int err;

  if (!g->sender || g->sender->id == c->self.id)
    return AM_E_FORMAT;
  err = am_members_update (c, g->sender, AM_UPDATE_GOSSIP);
  for (size_t i = 0; i < g->n_updates && !err; i++)
    err = am_members_update (c, g->updates[i], AM_UPDATE_GOSSIP);
  if (err)
    return err;
  for (size_t i = 0; i < g->n_evidence; i++)
    am_verdicts_apply_evidence (c, g->evidence[i]);
  sender = am_members_find (c, g->sender->id);
  if (sender)
    {
      handle_dead_sender (c, from, g, sender);
      if (sender->incarnation == g->sender->incarnation)
        am_members_confirm_alive (c, sender);
    }
  if (g->kind == AMARANTH__GOSSIP_KIND__GOSSIP_PING)
    handle_ping (c, from, g, sender);
  else if (g->kind == AMARANTH__GOSSIP_KIND__GOSSIP_PING_REQUEST)
    handle_ping_request (c, from, g);
  else
    handle_ack (c, g);
  if (sender && am_vm_live (sender))
    am_spread_compare (c, sender, g);
  return AM_OK;
}

static void
shuffle (struct am_control *c)
{
  struct am_vms *t = &c->vms;

  for (size_t i = t->count; i > 1; i--)
    {
      size_t j = am_rng_below (&c->rng, (uint32_t)i);
      struct am_vm *v = t->order[i - 1];

      t->order[i - 1] = t->order[j];
      t->order[j] = v;
    }
  t->order_next = 0;
}

static struct am_vm *
next_target (struct am_control *c)
{
  struct am_vms *t = &c->vms;

  for (size_t tries = 0; tries <= t->count; tries++)
    {
      if (t->order_next >= t->count)
        shuffle (c);
      if (t->count && am_vm_live (t->order[t->order_next]))
        return t->order[t->order_next++];
      t->order_next++;
    }
  return NULL;
}

static void
ping (struct am_control *c, const struct am_vm *v)
{
  c->probe.pings++;
  am_gossip_send (c, am_vm_gossip (v), AMARANTH__GOSSIP_KIND__GOSSIP_PING,
                  c->probe.sequence, 0, update_to_refute (v));
}

/* Starts a probe of V; if V is NULL, of the next member in the probe order. */
static void
start_probe (struct am_control *c, const struct am_vm *v)
{
  struct am_probe *p = &c->probe;

  memset (p, 0, sizeof *p);
  p->again = v != NULL;
  if (!v)
    v = next_target (c);
  if (!v)
    return;
  p->target_id = v->id;
  p->sequence = next_sequence (c);
  p->started_us = c->now_us;
  c->counters.probes++;
  ping (c, v);
}

static void
send_ping_requests (struct am_control *c)
{
  struct am_probe *p = &c->probe;
  struct am_vm *peers[AM_PROBE_INDIRECT_PEERS];
  size_t n
      = am_members_random (c, p->target_id, peers, AM_PROBE_INDIRECT_PEERS);

  c->counters.probes_indirect += p->asked++ == 0;
  for (size_t i = 0; i < n; i++)
    am_gossip_send (c, am_vm_gossip (peers[i]),
                    AMARANTH__GOSSIP_KIND__GOSSIP_PING_REQUEST, p->sequence,
                    p->target_id, NULL);
}

static void
continue_probe (struct am_control *c)
{
  struct am_probe *p = &c->probe;
  struct am_vm *v = p->target_id ? am_members_find (c, p->target_id) : NULL;
  uint64_t passed = c->now_us - p->started_us;

  if (!v || p->acked)
    return;
  if (p->pings < PINGS_MAX && passed >= p->pings * PING_INTERVAL_US)
    {
      c->counters.pings_repeated++;
      ping (c, v);
    }
  if (p->asked < INDIRECT_ROUNDS_MAX
      && passed
             >= AM_PROBE_DIRECT_TIMEOUT_US + p->asked * INDIRECT_INTERVAL_US)
    send_ping_requests (c);
}

/* Updates the average of late answers.  Only answered probes count: a dead
   member gives no information on the links.  */
static void
record_answer (struct am_control *c, bool late)
{
  c->probe_late -= c->probe_late / LATE_WEIGHT;
  if (late)
    c->probe_late += AM_PROBE_LATE_SCALE / LATE_WEIGHT;
}

/* Evaluates the current probe.  Returns its member if that has to be probed
   once more, else NULL.  */
static const struct am_vm *
end_probe (struct am_control *c)
{
  struct am_probe *p = &c->probe;
  struct am_vm *v = p->target_id ? am_members_find (c, p->target_id) : NULL;

  if (!v)
    return NULL;
  if (p->acked)
    {
      record_answer (c, p->pings > 1);
      return NULL;
    }
  c->counters.probes_failed++;
  if (c->probe_late > LATE_LIMIT && !p->again && am_vm_live (v))
    return v;
  am_members_suspect (c, v);
  return NULL;
}

static bool
seed_is_live (const struct am_control *c, struct am_address seed)
{
  if (am_address_equal (am_vm_gossip (&c->self), seed))
    return true;
  am_list_each (v, &c->vms.all, struct am_vm, node)
  {
    if (am_vm_live (v) && am_address_equal (am_vm_gossip (v), seed))
      return true;
  }
  return false;
}

/* Pings the next COUNT seeds that are not live members.  */
static void
ping_seeds (struct am_control *c, size_t count)
{
  for (size_t i = 0; i < c->seed_count && count; i++)
    {
      struct am_address seed = c->seeds[c->seed_next++ % c->seed_count];

      if (seed_is_live (c, seed))
        continue;
      am_gossip_send (c, seed, AMARANTH__GOSSIP_KIND__GOSSIP_PING,
                      next_sequence (c), 0, NULL);
      count--;
    }
}

static void
ping_dead_member (struct am_control *c)
{
  struct am_vms *t = &c->vms;
  size_t start = t->count ? am_rng_below (&c->rng, (uint32_t)t->count) : 0;

  for (size_t i = 0; i < t->count; i++)
    {
      struct am_vm *v = t->order[(start + i) % t->count];

      if (am_vm_live (v))
        continue;
      am_gossip_send (c, am_vm_gossip (v), AMARANTH__GOSSIP_KIND__GOSSIP_PING,
                      next_sequence (c), 0, v);
      return;
    }
}

static void
ping_outside_members (struct am_control *c)
{
  bool joining = c->vms.live == 0;

  c->next_outsider_us
      = c->now_us + (joining ? JOIN_INTERVAL_US : REJOIN_INTERVAL_US);
  ping_seeds (c, joining ? JOIN_SEEDS : 1);
  if (c->vms.count > c->vms.live)
    ping_dead_member (c);
}

void
am_swim_flush_urgent (struct am_control *c)
{
  struct am_vm *to[AM_FANOUT];
  size_t n;

  if (!c->urgent || c->update_tokens < AM_GOSSIP_MAX)
    return;
  n = am_members_random (c, 0, to, AM_FANOUT);
  c->urgent = false;
  for (size_t i = 0; i < n; i++)
    am_gossip_send (c, am_vm_gossip (to[i]), AMARANTH__GOSSIP_KIND__GOSSIP_ACK,
                    0, 0, NULL);
}

void
am_swim_tick (struct am_control *c)
{
  am_gossip_refill_budget (c);
  if (c->now_us < c->next_probe_us)
    continue_probe (c);
  else
    {
      start_probe (c, end_probe (c));
      c->next_probe_us = c->now_us + AM_PROBE_PERIOD_US;
    }
  if (c->now_us >= c->next_outsider_us)
    ping_outside_members (c);
  am_swim_flush_urgent (c);
}
