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

      am_dedup_finish (&o->dedup);
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
send_outcome (struct am_board *b, const struct am_service *s,
              struct am_address caller, const struct am_packet *p,
              enum am_outcome outcome, int error)
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
start_request (struct am_board *b, struct am_service *s,
               struct am_ticketless *o, struct am_dedup_entry *id,
               struct am_request_arrival *a, uint8_t class_id)
{
  uint32_t left_ms = (uint32_t)((o->dedup.until_us - b->now_us) / 1000);
  struct am_dedup_key key = id->key;
  int err;

  if (!a->body.deadline_ms || a->body.deadline_ms > left_ms)
    a->body.deadline_ms = left_ms ? left_ms : 1;
  am_requests_make_ticket (b, s, class_id, &a->ticket);
  id->serial = a->ticket.serial;
  err = am_requests_receive (b, a);
  if (!am_requests_known (b, a->ticket.serial))
    am_dedup_set_outcome (&o->dedup, &key, AM_DEDUP_NOT_RUN, err);
  return err;
}

static int
answer_duplicate (struct am_board *b, const struct am_dedup_entry *id,
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
    return send_outcome (b, a->service, a->caller, p, AM_OUTCOME_NOT_RUN,
                         id->error);
  return send_outcome (b, a->service, a->caller, p, AM_OUTCOME_UNKNOWN,
                       AM_E_FORGOTTEN);
}

/* During a planned stop a new request is left unanswered: the caller
   retransmits it, and the successor executes it.  */
static bool
is_between_owners (const struct am_board *b, const struct am_ticketless *o,
                   const struct am_dedup_key *key)
{
  if (b->now_us < o->dedup.until_us)
    return o->leaving && !am_dedup_contains (&o->dedup, key);
  if (b->now_us < o->grant_wait_until_us || o->outgoing.epoch)
    return true;
  return b->stopping && b->via_peer && o->released_epoch;
}

static uint64_t
request_age_us (const struct am_packet *p)
{
  uint32_t age_ms;

  if (p->type != AM_PACKET_REQUEST || !am_request_age (&age_ms, p->sequence))
    return AM_DEDUP_AGE_UNKNOWN;
  return (uint64_t)age_ms * 1000;
}

static int
forward_to_owner (struct am_board *b, struct am_ticketless *o,
                  const struct am_request_arrival *a,
                  const struct am_packet *p, const uint8_t *data, size_t len)
{
  enum am_ticketless_route route = am_ticketless_forward (
      b, a->service, o, a->caller, p->connection_id, data, len);

  if (route != AM_TICKETLESS_NO_ROUTE)
    return AM_OK;
  return send_outcome (b, a->service, a->caller, p, AM_OUTCOME_UNKNOWN,
                       AM_E_NO_OWNER);
}

static int
admit (struct am_board *b, struct am_ticketless *o,
       struct am_request_arrival *a, const struct am_packet *p,
       const uint8_t *data, size_t len)
{
  struct am_dedup_key key = am_ticketless_key (a->caller, a->connection_id);
  enum am_dedup_result verdict;
  struct am_dedup_entry *id;

  if (is_between_owners (b, o, &key))
    return AM_E_STOPPING;
  verdict
      = am_dedup_admit (&o->dedup, b->now_us, &key, request_age_us (p), &id);
  if (verdict != AM_DEDUP_NOT_OWNER)
    am_ticketless_announce_to_sender (b, a->service, o);
  switch (verdict)
    {
    case AM_DEDUP_NOT_OWNER:
      return forward_to_owner (b, o, a, p, data, len);
    case AM_DEDUP_UNKNOWN:
      return send_outcome (b, a->service, a->caller, p, AM_OUTCOME_UNKNOWN,
                           AM_E_ISSUER_GONE);
    case AM_DEDUP_DUPLICATE:
      return answer_duplicate (b, id, a, p);
    case AM_DEDUP_NEW:
      break;
    }
  if (p->type == AM_PACKET_REQUEST)
    return start_request (b, a->service, o, id, a, (uint8_t)p->sequence);
  id->error = AM_E_CANCELLED;
  id->outcome = AM_DEDUP_NOT_RUN;
  return send_outcome (b, a->service, a->caller, p, AM_OUTCOME_NOT_RUN,
                       id->error);
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
  return admit (b, o, &a, &p, data, len);
}

/* ---- grants and messages of peers --------------------------------- */

static int
apply_grant (struct am_board *b, struct am_ticketless *o,
             const struct am_lease_grant *g)
{
  if (!o)
    return AM_E_MEMORY;
  if (g->epoch <= o->released_epoch)
    return AM_E_REVISION;
  return am_dedup_apply_grant (&o->dedup, b->now_us, g);
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
  err = apply_grant (b, o, &g);
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
has_pending (const struct am_ticketless *o)
{
  am_list_each (i, &o->dedup.by_age, struct am_dedup_entry, node)
  {
    if (i->outcome == AM_DEDUP_PENDING)
      return true;
  }
  return false;
}

/* Reports to the agent that nothing is executed under the grant any more.  */
static void
report_stopped (struct am_board *b, struct am_ticketless *o,
                uint32_t handed_to)
{
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;
  Amaranth__OwnerGivenUp g = AMARANTH__OWNER_GIVEN_UP__INIT;
  uint8_t buf[64];
  struct am_action a = { .type = AM_ACTION_CONTROL, .data = buf };

  am_board_decision (b, 0, "event=given_up service=%u epoch=%llu to=%u",
                     o->service_id, (unsigned long long)o->dedup.epoch,
                     handed_to);
  if (handed_to)
    {
      o->owner_id = handed_to;
      o->owner_epoch = o->dedup.epoch;
      o->known_until_us = b->now_us + AM_TICKETLESS_OWNER_CACHE_US;
      o->announced_us = 0;
      am_ticketless_announce_owner (b, o, handed_to);
    }
  g.handed_to = handed_to;
  g.service_id = o->service_id;
  g.epoch = o->dedup.epoch;
  e.body_case = AMARANTH__ENVELOPE__BODY_OWNER_GIVEN_UP;
  e.owner_given_up = &g;
  a.len = amaranth__envelope__pack (&e, buf);
  am_board_emit (b, &a);
}

/* After the last request has ended, withdraws the grant and begins to transfer
   the table.  */
static void
leave (struct am_board *b, struct am_ticketless *o)
{
  if (has_pending (o))
    return;
  o->leaving = false;
  o->released_epoch = o->dedup.epoch;
  o->dedup.until_us = 0;
  if (!am_handover_begin (b, o))
    report_stopped (b, o, 0);
}

static void
tick_one (struct am_board *b, struct am_ticketless *o)
{
  uint32_t handed_to;

  if (o->outgoing.epoch)
    {
      if (am_handover_poll (b, o, &handed_to))
        report_stopped (b, o, handed_to);
      return;
    }
  am_dedup_tick (&o->dedup, b->now_us);
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
    if (o->dedup.until_us > b->now_us || o->outgoing.epoch)
      return false;
  }
  return true;
}
