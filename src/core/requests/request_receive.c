#include "base/error.h"
#include "core/placement/admission.h"
#include "core/requests/request.h"
#include "core/requests/request_send.h"
#include "core/requests/request_transition.h"
#include "core/requests/request_table.h"

/* Issue of request tickets, and REQUEST and CANCEL from callers.  */

static const struct am_class *
find_class (const struct am_service *s, uint32_t id)
{
  for (size_t i = 0; i < s->class_count; i++)
    {
      if (s->classes[i].id == id)
        return &s->classes[i];
    }
  return NULL;
}

void
am_requests_make_ticket (struct am_board *b, const struct am_service *s,
                         uint8_t request_class, struct am_ticket *t)
{
  *t = (struct am_ticket){ .kind = AM_OPEN_REQUEST,
                           .request_class = request_class,
                           .service_id = s->id,
                           .issuer_id = b->self.id,
                           .issuer_boot_id = b->self.boot_id,
                           .serial = am_serial_issue (&b->requests->serials),
                           .issued_ms = b->now_us / 1000 };
}

int
am_requests_issue (struct am_board *b, struct am_service *s,
                   uint8_t request_class, struct am_ticket *t)
{
  if (b->stopping)
    return AM_E_STOPPING;
  if (!find_class (s, request_class))
    return AM_E_FIELD_VALUE;
  am_requests_make_ticket (b, s, request_class, t);
  b->requests->last_issue_us = b->now_us;
  b->requests->issued = true;
  return AM_OK;
}

bool
am_requests_known (const struct am_board *b, uint64_t serial)
{
  return am_request_table_find (b->requests, serial) != NULL;
}

static bool
has_usable_upstream (const struct am_service *s)
{
  am_list_each (u, &s->upstreams, struct am_upstream, node)
  {
    if (u->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE
        && !u->health.ejected)
      return true;
  }
  return false;
}

static void
set_class (struct am_board *b, struct am_request *r, const struct am_class *c,
           uint32_t requested_ms)
{
  uint32_t ms = c->deadline_ms ? c->deadline_ms : AM_DEADLINE_DEFAULT_MS;

  if (requested_ms && requested_ms < ms)
    ms = requested_ms;
  r->class_id = c->id;
  r->one_time = c->one_time;
  r->weight = c->weight;
  r->priority = c->priority;
  r->deadline_us = b->now_us + (uint64_t)ms * 1000;
}

static bool
ticket_expired (const struct am_board *b, const struct am_ticket *t)
{
  return b->now_us / 1000 > t->issued_ms + AM_TICKET_USE_WINDOW_MS;
}

/* The limit of a class applies to one home VM.  The owner queues the requests
   of all home VMs, so its limit is that of all together: with 64 places it
   refused about 260 of the 350 requests that arrived while the upstreams were
   unreachable for 0.7 s.  */
static uint32_t
queue_limit (const struct am_request_arrival *a, const struct am_class *c)
{
  uint32_t limit = c->queue_limit ? c->queue_limit : AM_QUEUE_LIMIT_DEFAULT;

  if (a->owned && a->service->home_count > 1)
    limit *= (uint32_t)a->service->home_count;
  return limit;
}

/* Returns AM_OK if the new request R may be queued, else the reason.  */
static int
admit (struct am_board *b, struct am_request *r,
       const struct am_request_arrival *a)
{
  const struct am_class *c = find_class (a->service, a->ticket.request_class);
  int error;

  if (ticket_expired (b, &a->ticket))
    return AM_E_EXPIRED;
  if (!c)
    return AM_E_FIELD_VALUE;
  if (a->payload_len > AM_REQUEST_SIZE_MAX)
    return AM_E_TOO_LARGE;
  if (!has_usable_upstream (a->service))
    return AM_E_NO_UPSTREAM;
  set_class (b, r, c, a->body.deadline_ms);
  error = am_admission_prepare (a->service);
  if (!error)
    error = am_admission_check (b, a->service, r, queue_limit (a, c));
  if (!error)
    error = am_request_table_store_payload (r, a->payload, a->payload_len);
  return error;
}

static int
receive_first (struct am_board *b, const struct am_request_arrival *a)
{
  struct am_request *r;
  int error;

  /* Mark the serial before any reply: a NOT-RUN must hold for every
     retransmission of the REQUEST that is still in transit.  */
  am_serial_mark_used (&b->requests->serials, a->ticket.serial);
  r = am_request_table_add (b->requests, a->ticket.serial);
  if (!r)
    {
      b->counters.not_run++;
      am_reply_outcome (b, a->service, a->caller, a->connection_id,
                        a->ticket.serial, AM_OUTCOME_NOT_RUN, AM_E_MEMORY);
      return AM_E_MEMORY;
    }
  r->service = a->service;
  r->caller = a->caller;
  r->connection_id = a->connection_id;
  r->arrived_us = b->now_us;
  r->queued_us = b->now_us;
  r->owned = a->owned;
  error = admit (b, r, a);
  if (error)
    {
      am_request_apply_event (b, r, AM_REQUEST_ON_REFUSE, error);
      return error;
    }
  b->counters.requests++;
  am_request_apply_event (b, r, AM_REQUEST_ON_ACCEPT, AM_OK);
  am_admission_push (a->service, r, false);
  am_request_send_queued (b, a->service);
  return AM_OK;
}

static int
receive_retransmission (struct am_board *b, struct am_request *r,
                        const struct am_request_arrival *a)
{
  b->counters.retransmissions++;
  r->caller = a->caller;
  if (!am_request_is_final (r->state))
    return AM_OK;
  am_reply_final (b, r, a->body.received);
  return r->state == AM_REQUEST_ANSWERED && r->answer ? AM_OK : r->error;
}

static int
reply_unknown (struct am_board *b, const struct am_service *s,
               struct am_address caller, uint64_t connection_id,
               uint64_t serial, int error)
{
  b->counters.unknown++;
  am_reply_outcome (b, s, caller, connection_id, serial, AM_OUTCOME_UNKNOWN,
                    error);
  return error;
}

int
am_requests_receive (struct am_board *b, const struct am_request_arrival *a)
{
  const struct am_ticket *t = &a->ticket;
  enum am_serial_state state
      = am_serial_state (&b->requests->serials, t->serial);
  struct am_request *r = am_request_table_find (b->requests, t->serial);

  if (t->kind != AM_OPEN_REQUEST || t->service_id != a->service->id
      || state == AM_SERIAL_NOT_ISSUED)
    return reply_unknown (b, a->service, a->caller, a->connection_id,
                          t->serial, AM_E_TICKET);
  if (r && r->service == a->service && r->connection_id == a->connection_id)
    return receive_retransmission (b, r, a);
  if (r || state != AM_SERIAL_UNUSED)
    return reply_unknown (b, a->service, a->caller, a->connection_id,
                          t->serial, AM_E_FORGOTTEN);
  return receive_first (b, a);
}

static void
cancel_unused (struct am_board *b, struct am_service *s,
               struct am_address caller, uint64_t connection_id,
               uint64_t serial)
{
  struct am_request *r;

  am_serial_mark_used (&b->requests->serials, serial);
  r = am_request_table_add (b->requests, serial);
  if (!r)
    {
      am_reply_outcome (b, s, caller, connection_id, serial,
                        AM_OUTCOME_NOT_RUN, AM_E_CANCELLED);
      return;
    }
  r->service = s;
  r->caller = caller;
  r->connection_id = connection_id;
  r->arrived_us = b->now_us;
  am_request_apply_event (b, r, AM_REQUEST_ON_CANCEL, AM_E_CANCELLED);
}

static void
cancel_known (struct am_board *b, struct am_request *r)
{
  if (r->state == AM_REQUEST_SENT)
    {
      r->cancelled = true;
      am_request_forward_cancel (b, r);
    }
  else if (r->state == AM_REQUEST_QUEUED)
    am_request_apply_event (b, r, AM_REQUEST_ON_CANCEL, AM_E_CANCELLED);
  else if (r->state != AM_REQUEST_ANSWERED)
    am_reply_final (b, r, 0);
}

void
am_requests_cancel (struct am_board *b, struct am_service *s,
                    struct am_address caller, uint64_t connection_id,
                    const struct am_ticket *t)
{
  enum am_serial_state state
      = am_serial_state (&b->requests->serials, t->serial);
  struct am_request *r = am_request_table_find (b->requests, t->serial);

  if (t->kind != AM_OPEN_REQUEST || t->service_id != s->id
      || state == AM_SERIAL_NOT_ISSUED)
    reply_unknown (b, s, caller, connection_id, t->serial, AM_E_TICKET);
  else if (r && r->service == s && r->connection_id == connection_id)
    cancel_known (b, r);
  else if (r || state != AM_SERIAL_UNUSED)
    reply_unknown (b, s, caller, connection_id, t->serial, AM_E_FORGOTTEN);
  else
    cancel_unused (b, s, caller, connection_id, t->serial);
}
