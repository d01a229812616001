#include "core/membership/control_gossip.h"

#include "core/configuration/control_store_index.h"
#include "core/membership/control_members.h"
#include "core/targets/control_verdicts.h"

#define UPDATES_MAX 24
#define EVIDENCE_MAX 40

/* Upper bound in bytes of one packed UpstreamEvidence: three ids, a flag, a
   serial number and the field headers.  */
#define EVIDENCE_SIZE 32

/* Bytes of the field header and length prefix of an embedded message.  */
#define EMBEDDED_SIZE 4

/* Byte budget of updates over all datagrams (token bucket).  A change costs
   about 100 bytes in each of some 16 datagrams, so the burst admits several
   changes at once and further ones are paced.  Without the budget, suspicions
   and refutations used 14.8 KB/s in a fleet of 200 whose links lost 20 % of
   the datagrams.  */
#define UPDATE_BYTES_PER_SECOND 1200u
#define UPDATE_BYTES_BURST 9000u

struct message
{
  Amaranth__Envelope envelope;
  Amaranth__Gossip gossip;
  Amaranth__Member sender;
  Amaranth__Member members[UPDATES_MAX];
  Amaranth__Member *member_list[UPDATES_MAX];
  Amaranth__UpstreamEvidence evidence[EVIDENCE_MAX];
  Amaranth__UpstreamEvidence *evidence_list[EVIDENCE_MAX];
  size_t size;
};

static void
message_init (struct am_control *c, struct message *m,
              Amaranth__GossipKind kind, uint32_t sequence)
{
  amaranth__envelope__init (&m->envelope);
  amaranth__gossip__init (&m->gossip);
  am_members_fill_message (&c->self, &m->sender);
  m->sender.config_digest = c->link.acked_config;
  m->envelope.body_case = AMARANTH__ENVELOPE__BODY_GOSSIP;
  m->envelope.gossip = &m->gossip;
  m->gossip.kind = kind;
  m->gossip.sequence = sequence;
  m->gossip.sender = &m->sender;
  m->gossip.config_digest = c->config.digest;
  m->gossip.store_index = am_store_index (c);
  m->gossip.updates = m->member_list;
  m->gossip.evidence = m->evidence_list;
  m->size = 0;
}

static bool
add_member (struct message *m, const struct am_vm *v)
{
  size_t n = m->gossip.n_updates;
  size_t size;

  if (n == UPDATES_MAX)
    return false;
  am_members_fill_message (v, &m->members[n]);
  size = amaranth__member__get_packed_size (&m->members[n]) + EMBEDDED_SIZE;
  if (m->size + size > AM_GOSSIP_MAX)
    return false;
  m->size += size;
  m->member_list[n] = &m->members[n];
  m->gossip.n_updates++;
  return true;
}

/* Adds queued updates and counts one transmission of each.  The sender's own
   record is counted but not added, since every datagram carries it.  */
static void
add_queued_updates (struct am_control *c, struct message *m)
{
  struct am_list sent;

  am_list_init (&sent);
  while (!am_list_empty (&c->vms.queue))
    {
      struct am_vm *v
          = am_container_of (c->vms.queue.next, struct am_vm, queue);

      if (v != &c->self && !add_member (m, v))
        break;
      am_list_remove (&v->queue);
      if (--v->transmits > 0)
        am_list_push_back (&sent, &v->queue);
    }
  while (!am_list_empty (&sent))
    am_list_push_back (&c->vms.queue, am_list_pop_front (&sent));
}

static void
add_evidence (struct am_control *c, struct message *m)
{
  size_t room = (AM_GOSSIP_MAX - m->size) / EVIDENCE_SIZE;

  if (room > EVIDENCE_MAX)
    room = EVIDENCE_MAX;
  m->gossip.n_evidence = am_verdicts_fill_gossip (c, m->evidence, room);
  for (size_t i = 0; i < m->gossip.n_evidence; i++)
    m->evidence_list[i] = &m->evidence[i];
}

static void
message_measure_base (struct message *m)
{
  m->size = amaranth__envelope__get_packed_size (&m->envelope) + EMBEDDED_SIZE;
}

/* Adds updates if the budget allows and sends M.  */
static void
send_message (struct am_control *c, struct message *m, struct am_address to)
{
  size_t before = m->size;

  if (c->update_tokens >= AM_GOSSIP_MAX)
    {
      add_queued_updates (c, m);
      add_evidence (c, m);
      c->update_tokens
          -= m->size - before + m->gossip.n_evidence * EVIDENCE_SIZE;
    }
  am_control_emit (c, AM_CONTROL_SEND_GOSSIP, to, 0, &m->envelope);
}

void
am_gossip_send (struct am_control *c, struct am_address to,
                Amaranth__GossipKind kind, uint32_t sequence,
                uint32_t target_id, const struct am_vm *about)
{
  struct message m;

  message_init (c, &m, kind, sequence);
  m.gossip.target_id = target_id;
  message_measure_base (&m);
  if (about)
    add_member (&m, about);
  send_message (c, &m, to);
}

void
am_gossip_refill_budget (struct am_control *c)
{
  uint64_t passed = c->now_us - c->update_filled_us;

  c->update_filled_us = c->now_us;
  c->update_tokens += passed * UPDATE_BYTES_PER_SECOND / AM_SECOND_US;
  if (c->update_tokens > UPDATE_BYTES_BURST)
    c->update_tokens = UPDATE_BYTES_BURST;
}
