#include "core/ownership/ticketless.h"

#include <stdlib.h>

#include "base/error.h"
#include "core/ownership/ticketless_route.h"
#include "core/ownership/ticketless_state.h"
#include "core/requests/request.h"
#include "core/requests/request_send.h"
#include "core/requests/request_table.h"
#include "wire/bytes.h"

void
am_ticketless_finish (struct am_board *b)
{
  struct am_ticketless *o = b->owned;

  HASH_CLEAR (hh, b->owned);
  while (o)
    {
      struct am_ticketless *next = o->hh.next;

      am_dedup_finish (&o->gate);
      free (o);
      o = next;
    }
}

/* ---- packets ------------------------------------------------------ */

bool
am_ticketless_is_request (const struct am_service *s, const uint8_t *data,
                          size_t len)
{
  struct am_packet p;

  return s->class_count > 0 && am_packet_decode (&p, data, len) == AM_OK
         && !p.ticket
         && (p.type == AM_PACKET_REQUEST || p.type == AM_PACKET_CANCEL);
}

static int
tell (struct am_board *b, const struct am_service *s, struct am_address caller,
      const struct am_packet *p, enum am_outcome outcome, int error)
{
  if (outcome == AM_OUTCOME_NOT_RUN)
    b->counters.not_run++;
  else
    b->counters.unknown++;
  am_reply_outcome (b, s, caller, p->connection_id, p->sequence, outcome,
                    error);
  return error;
}

/* ---- at the owner ------------------------------------------------- */

static int
run (struct am_board *b, struct am_service *s, struct am_ticketless *o,
     struct am_dedup_entry *id, struct am_request_arrival *a, uint8_t class_id)
{
  uint32_t left_ms = (uint32_t)((o->gate.until_us - b->now_us) / 1000);
  struct am_dedup_key key = id->key;
  int err;

  if (!a->body.deadline_ms || a->body.deadline_ms > left_ms)
    a->body.deadline_ms = left_ms ? left_ms : 1;
  am_requests_make_ticket (b, s, class_id, &a->ticket);
  id->serial = a->ticket.serial;
  err = am_requests_receive (b, a);
  if (!am_requests_known (b, a->ticket.serial))
    am_dedup_set_outcome (&o->gate, &key, AM_DEDUP_NOT_RUN, err);
  return err;
}

static int
repeat (struct am_board *b, const struct am_dedup_entry *id,
        struct am_request_arrival *a, const struct am_packet *p)
{
  a->ticket = (struct am_ticket){ .kind = AM_OPEN_REQUEST,
                                  .service_id = a->service->id,
                                  .serial = id->serial };
  if (id->serial && am_requests_known (b, id->serial))
    {
      if (p->type == AM_PACKET_REQUEST)
        return am_requests_receive (b, a);
      am_requests_cancel (b, a->service, a->caller, a->connection_id,
                          &a->ticket);
      return AM_OK;
    }
  if (id->outcome == AM_DEDUP_NOT_RUN)
    return tell (b, a->service, a->caller, p, AM_OUTCOME_NOT_RUN, id->error);
  return tell (b, a->service, a->caller, p, AM_OUTCOME_UNKNOWN,
               AM_E_FORGOTTEN);
}

/* During a planned stop a new request is not answered: the caller sends it
   again, and the successor runs it.  */
static bool
is_between_owners (const struct am_board *b, const struct am_ticketless *o,
                   const struct am_dedup_key *key)
{
  if (b->now_us < o->gate.until_us)
    return o->leaving && !am_dedup_contains (&o->gate, key);
  if (b->now_us < o->awaited_until_us || o->to.epoch)
    return true;
  return b->stopping && b->via_peer && o->left_epoch;
}

static uint64_t
age_of (const struct am_packet *p)
{
  uint32_t age_ms;

  if (p->type != AM_PACKET_REQUEST || !am_request_age (&age_ms, p->sequence))
    return AM_DEDUP_AGE_UNKNOWN;
  return (uint64_t)age_ms * 1000;
}

static int
route (struct am_board *b, struct am_ticketless *o,
       const struct am_request_arrival *a, const struct am_packet *p,
       const uint8_t *data, size_t len)
{
  enum am_ticketless_route way = am_ticketless_forward (
      b, a->service, o, a->caller, p->connection_id, data, len);

  if (way != AM_TICKETLESS_NO_ROUTE)
    return AM_OK;
  return tell (b, a->service, a->caller, p, AM_OUTCOME_UNKNOWN, AM_E_NO_OWNER);
}

static int
judge (struct am_board *b, struct am_ticketless *o,
       struct am_request_arrival *a, const struct am_packet *p,
       const uint8_t *data, size_t len)
{
  struct am_dedup_key key = am_ticketless_key (a->caller, a->connection_id);
  enum am_dedup_result verdict;
  struct am_dedup_entry *id;

  if (is_between_owners (b, o, &key))
    return AM_E_STOPPING;
  verdict = am_dedup_admit (&o->gate, b->now_us, &key, age_of (p), &id);
  if (verdict != AM_DEDUP_NOT_OWNER)
    am_ticketless_announce_to_sender (b, a->service, o);
  switch (verdict)
    {
    case AM_DEDUP_NOT_OWNER:
      return route (b, o, a, p, data, len);
    case AM_DEDUP_UNKNOWN:
      return tell (b, a->service, a->caller, p, AM_OUTCOME_UNKNOWN,
                   AM_E_ISSUER_GONE);
    case AM_DEDUP_DUPLICATE:
      return repeat (b, id, a, p);
    case AM_DEDUP_NEW:
      break;
    }
  if (p->type == AM_PACKET_REQUEST)
    return run (b, a->service, o, id, a, (uint8_t)p->sequence);
  id->error = AM_E_CANCELLED;
  id->outcome = AM_DEDUP_NOT_RUN;
  return tell (b, a->service, a->caller, p, AM_OUTCOME_NOT_RUN, id->error);
}

int
am_ticketless_receive (struct am_board *b, struct am_service *s,
                       struct am_address caller, const uint8_t *data,
                       size_t len)
{
  struct am_request_arrival a
      = { .service = s, .caller = caller, .owned = true };
  struct am_ticketless *o = am_ticketless_find_or_add (b, s->id);
  struct am_packet p;
  int err = am_packet_decode (&p, data, len);

  if (!o)
    return AM_E_MEMORY;
  if (!err && p.type == AM_PACKET_REQUEST)
    err = am_request_body_decode (&a.body, p.body, p.body_len);
  if (err)
    {
      b->counters.malformed++;
      return err;
    }
  a.connection_id = p.connection_id;
  if (p.type == AM_PACKET_REQUEST)
    {
      a.payload = p.body + AM_REQUEST_BODY_SIZE;
      a.payload_len = p.body_len - AM_REQUEST_BODY_SIZE;
    }
  return judge (b, o, &a, &p, data, len);
}

/* ---- grants and claims -------------------------------------------- */

static int
take_grant (struct am_board *b, struct am_ticketless *o,
            const struct am_lease_grant *g)
{
  if (!o)
    return AM_E_MEMORY;
  if (g->epoch <= o->left_epoch)
    return AM_E_REVISION;
  return am_dedup_apply_grant (&o->gate, b->now_us, g);
}

int
am_ticketless_apply_grant (struct am_board *b, const uint8_t *data, size_t len)
{
  Amaranth__OwnerGrant *in = amaranth__owner_grant__unpack (NULL, len, data);
  struct am_lease_grant g;
  struct am_ticketless *o;
  int err;

  if (!in)
    return AM_E_FORMAT;
  g = (struct am_lease_grant){ .boot_id = in->boot_id,
                               .epoch = in->epoch,
                               .until_us = in->until_us,
                               .first = in->first,
                               .same = in->same,
                               .handed = in->handed };
  o = am_ticketless_find_or_add (b, in->service_id);
  err = take_grant (b, o, &g);
  if (!err)
    o->leaving = in->leaving && g.until_us;
  am_board_decision (b, 0,
                     "event=grant service=%u epoch=%llu left_us=%lld "
                     "leaving=%d result=%s",
                     in->service_id, (unsigned long long)in->epoch,
                     (long long)(in->until_us - b->now_us), in->leaving,
                     am_error_name (err));
  amaranth__owner_grant__free_unpacked (in, NULL);
  return err;
}

int
am_ticketless_peer_message (struct am_board *b, uint32_t sender_id,
                            uint32_t service_id, const uint8_t *body,
                            size_t len)
{
  struct am_ticketless *o;

  if (len == 0 || !am_board_service (b, service_id))
    return AM_E_FORMAT;
  o = am_ticketless_find_or_add (b, service_id);
  if (!o)
    return AM_E_MEMORY;
  switch (body[0])
    {
    case AM_OWNER_MESSAGE_ANNOUNCE:
      return am_ticketless_apply_announcement (b, o, sender_id, body, len);
    case AM_OWNER_MESSAGE_TABLE:
      return am_handover_receive_part (b, o, sender_id, body, len);
    case AM_OWNER_MESSAGE_ACK:
      return am_handover_receive_ack (o, sender_id, body, len);
    default:
      return AM_E_FORMAT;
    }
}

static bool
has_open (const struct am_ticketless *o)
{
  am_list_each (i, &o->gate.by_age, struct am_dedup_entry, node)
  {
    if (i->outcome == AM_DEDUP_PENDING)
      return true;
  }
  return false;
}

/* Tells the agent that nothing is run under the grant any more.  */
static void
give_up (struct am_board *b, struct am_ticketless *o, uint32_t handed_to)
{
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;
  Amaranth__OwnerGivenUp g = AMARANTH__OWNER_GIVEN_UP__INIT;
  uint8_t buf[64];
  struct am_action a = { .type = AM_ACTION_CONTROL, .data = buf };

  am_board_decision (b, 0, "event=given_up service=%u epoch=%llu to=%u",
                     o->service_id, (unsigned long long)o->gate.epoch,
                     handed_to);
  if (handed_to)
    {
      o->owner_id = handed_to;
      o->owner_epoch = o->gate.epoch;
      o->known_until_us = b->now_us + AM_TICKETLESS_OWNER_CACHE_US;
      o->told_us = 0;
      am_ticketless_announce_owner (b, o, handed_to);
    }
  g.handed_to = handed_to;
  g.service_id = o->service_id;
  g.epoch = o->gate.epoch;
  e.body_case = AMARANTH__ENVELOPE__BODY_OWNER_GIVEN_UP;
  e.owner_given_up = &g;
  a.len = amaranth__envelope__pack (&e, buf);
  am_board_emit (b, &a);
}

/* After the last request has ended, withdraws the grant and hands the table
   over.  */
static void
leave (struct am_board *b, struct am_ticketless *o)
{
  if (has_open (o))
    return;
  o->leaving = false;
  o->left_epoch = o->gate.epoch;
  o->gate.until_us = 0;
  if (!am_handover_begin (b, o))
    give_up (b, o, 0);
}

static void
tick_one (struct am_board *b, struct am_ticketless *o)
{
  uint32_t handed_to;

  if (o->to.epoch)
    {
      if (am_handover_poll (b, o, &handed_to))
        give_up (b, o, handed_to);
      return;
    }
  am_dedup_tick (&o->gate, b->now_us);
  am_ticketless_announce_tick (b, o);
  if (o->leaving)
    leave (b, o);
}

void
am_ticketless_tick (struct am_board *b)
{
  struct am_ticketless *o;
  struct am_ticketless *next;

  HASH_ITER (hh, b->owned, o, next) { tick_one (b, o); }
}

bool
am_ticketless_may_exit (const struct am_board *b)
{
  const struct am_ticketless *o;
  const struct am_ticketless *next;

  HASH_ITER (hh, b->owned, o, next)
  {
    if (o->gate.until_us > b->now_us || o->to.epoch)
      return false;
  }
  return true;
}
