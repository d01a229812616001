#include <string.h>

#include "base/error.h"
#include "core/binding/binding.h"
#include "core/binding/flow_count.h"
#include "core/binding/forward.h"
#include "core/binding/key_ring.h"
#include "core/placement/choice.h"
#include "core/placement/flow_setup.h"
#include "core/requests/request.h"
#include "core/targets/address_validation.h"

/* A packet received from a caller, directly or through a peer.  */
struct arrival
{
  struct am_service *service;
  struct am_address caller;
  struct am_packet packet;
  const uint8_t *data; /* the packet as received */
  size_t len;
};

static int
ticket_init (struct am_board *b, struct am_service *s)
{
  (void)b;
  return am_flow_count_init (s);
}

static void
ticket_finish (struct am_board *b, struct am_service *s)
{
  if (b->opens)
    am_flow_setup_service_removed (b, s);
  am_flow_count_finish (s);
}

static struct am_ticket_scope
scope_of (const struct arrival *a)
{
  struct am_ticket_scope scope = { .caller_ip = a->caller.ip,
                                   .service = a->service->address,
                                   .connection_id = a->packet.connection_id };

  return scope;
}

static int
reset (struct am_board *b, const struct arrival *a, int error)
{
  am_reset (b, a->service, a->caller, a->packet.connection_id, error);
  return error;
}

static bool
forward_to (struct am_board *b, const struct arrival *a,
            const struct am_member *m, const char *reason)
{
  if (b->via_peer || !m)
    return false;
  am_board_decision (
      b, a->packet.connection_id,
      "event=forward flow=%llu service=%s to=%s reason=%s revision=%llu",
      (unsigned long long)a->packet.connection_id, a->service->name, m->name,
      reason, (unsigned long long)a->service->revision);
  am_forward (b, a->service, m, a->caller, a->data, a->len);
  return true;
}

/* Forwards a packet for which the configuration of this entry VM may be too
   old: to the issuer, which knew key and upstream when it issued the ticket,
   else to a home VM.  */
static bool
forward_stale (struct am_board *b, const struct arrival *a,
               const struct am_ticket *t, int error)
{
  const struct am_member *m = am_forward_find_issuer (b, t);

  if (!m)
    m = am_forward_pick_home (b, a->service);
  return forward_to (b, a, m, am_error_name (error));
}

/* Returns true if this entry VM cannot verify tickets yet: after a start it
   may receive services before it receives keys.  */
static bool
has_no_keys (const struct am_board *b)
{
  return b->key_count == 0;
}

/* ---- open --------------------------------------------------------- */

static int
issue_request_ticket (struct am_board *b, const struct arrival *a,
                      uint8_t request_class)
{
  struct am_ticket_scope scope = scope_of (a);
  struct am_ticket t = { 0 };
  uint8_t ticket[AM_TICKET_SIZE];
  struct am_packet p = { .type = AM_PACKET_OPENED,
                         .connection_id = a->packet.connection_id,
                         .ticket = ticket };
  int err = am_flow_setup_admit (b, a->service, a->caller);

  if (!err)
    err = am_requests_issue (b, a->service, request_class, &t);
  if (!err)
    err = am_key_ring_mint (b, &t, &scope, ticket);
  if (err)
    return reset (b, a, err);
  b->counters.tickets_minted++;
  am_board_decision (b, a->packet.connection_id,
                     "event=issued request=%llu flow=%llu service=%s "
                     "class=%u revision=%llu",
                     (unsigned long long)t.serial,
                     (unsigned long long)a->packet.connection_id,
                     a->service->name, request_class,
                     (unsigned long long)a->service->revision);
  am_board_send_caller (b, a->service->address, a->caller, &p);
  return AM_OK;
}

static int
handle_open (struct am_board *b, const struct arrival *a)
{
  struct am_open_body open;
  int err = am_open_body_decode (&open, a->packet.body, a->packet.body_len);

  if (err)
    return err;
  if (a->service->retired)
    return reset (b, a, AM_E_SERVICE_UNKNOWN);
  if (b->stopping
      && forward_to (b, a, am_forward_pick_home (b, a->service), "stopping"))
    return AM_OK;
  if (!a->service->home
      && forward_to (b, a, am_forward_pick_home (b, a->service), "not_home"))
    return AM_OK;
  if (!am_key_ring_active (b)
      && forward_to (b, a, am_forward_pick_home (b, a->service),
                     "no_active_key"))
    return AM_OK;
  if (open.kind == AM_OPEN_REQUEST)
    return issue_request_ticket (b, a, open.request_class);
  return am_flow_setup_open (b, a->service, a->caller,
                             a->packet.connection_id);
}

/* ---- flow --------------------------------------------------------- */

static void
renew (struct am_board *b, const struct arrival *a, struct am_ticket *t)
{
  struct am_ticket_scope scope = scope_of (a);
  uint8_t ticket[AM_TICKET_SIZE];
  struct am_packet p = { .type = AM_PACKET_RENEWED,
                         .connection_id = a->packet.connection_id,
                         .ticket = ticket };

  if (am_key_ring_mint (b, t, &scope, ticket))
    return;
  b->counters.tickets_renewed++;
  am_board_decision (b, a->packet.connection_id,
                     "event=renewed flow=%llu service=%s key=%u revision=%llu",
                     (unsigned long long)a->packet.connection_id,
                     a->service->name, t->key_id,
                     (unsigned long long)a->service->revision);
  am_board_send_caller (b, a->service->address, a->caller, &p);
}

/* Forwards a packet whose upstream's address is not validated here to another
   entry VM, which has it validated if the upstream is reachable.  */
static int
forward_unvalidated (struct am_board *b, const struct arrival *a,
                     const struct am_ticket *t)
{
  return forward_stale (b, a, t, AM_E_TIMEOUT) ? AM_OK : AM_E_TIMEOUT;
}

/* Removes the closed flow from the flow count of the issuer of T.  */
static void
notify_issuer (struct am_board *b, const struct arrival *a,
               const struct am_ticket *t)
{
  struct am_member *issuer;

  if (t->issuer_id == b->self.id)
    {
      if (t->issuer_boot_id == b->self.boot_id)
        am_flow_count_remove (a->service, t->serial);
      return;
    }
  issuer = am_forward_find_issuer (b, t);
  if (issuer && issuer->boot_id == t->issuer_boot_id && !b->via_peer)
    am_forward (b, a->service, issuer, a->caller, a->data, a->len);
}

static void
close_flow (struct am_board *b, const struct arrival *a, struct am_upstream *u,
            const struct am_ticket *t)
{
  struct arrival closing = *a;
  uint8_t data[AM_PACKET_HEADER_SIZE + AM_TICKET_SIZE];

  closing.packet.type = AM_PACKET_CLOSE;
  closing.packet.body_len = 0;
  closing.data = data;
  if (am_packet_encode (&closing.packet, data, sizeof data, &closing.len))
    return;
  if ((!b->via_peer || t->issuer_id != b->self.id)
      && am_validation_check_or_probe (b, u))
    am_board_send_upstream (b, u, a->caller, &closing.packet);
  notify_issuer (b, &closing, t);
}

static bool
is_unresponsive (const struct arrival *a)
{
  return a->packet.type == AM_PACKET_PING && a->packet.body_len > 0
         && a->packet.body[0] >= a->service->ping_misses;
}

static int
deliver (struct am_board *b, const struct arrival *a, struct am_upstream *u,
         struct am_ticket *t, bool needs_renewal)
{
  if (a->packet.type == AM_PACKET_CLOSE)
    {
      close_flow (b, a, u, t);
      return AM_OK;
    }
  if (t->issuer_id == b->self.id && t->issuer_boot_id == b->self.boot_id)
    am_flow_count_add (b, a->service, u, t->serial);
  if (is_unresponsive (a))
    {
      b->counters.silent++;
      close_flow (b, a, u, t);
      return reset (b, a, AM_E_SILENT);
    }
  if (!am_validation_check_or_probe (b, u))
    return forward_unvalidated (b, a, t);
  am_board_send_upstream (b, u, a->caller, &a->packet);
  if (needs_renewal && a->packet.type == AM_PACKET_PING)
    renew (b, a, t);
  return AM_OK;
}

/* Returns why the packet may not be sent to U, the upstream of T, or AM_OK.
   Sets *STALE if the configuration of this entry VM may be older than T.  */
static int
check_upstream (const struct am_upstream *u, const struct am_ticket *t,
                bool *stale)
{
  *stale = false;
  if (!u)
    {
      *stale = true;
      return AM_E_UPSTREAM_UNKNOWN;
    }
  if (u->incarnation != t->upstream_incarnation)
    {
      *stale = t->upstream_incarnation > u->incarnation;
      return AM_E_INCARNATION;
    }
  if (u->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_RETIRED)
    return AM_E_UPSTREAM_UNKNOWN;
  return AM_OK;
}

static int
handle_flow (struct am_board *b, const struct arrival *a)
{
  struct am_ticket_scope scope = scope_of (a);
  struct am_upstream *u;
  struct am_ticket t;
  bool stale = false;
  bool needs_renewal;
  int err;

  if (!a->packet.ticket)
    err = AM_E_TICKET;
  else
    err = am_key_ring_verify (b, &t, &scope, a->service->id, a->packet.ticket,
                              &needs_renewal);
  if (!err && t.kind != AM_OPEN_FLOW)
    err = AM_E_TICKET;
  if (!err)
    {
      u = am_service_upstream (a->service, t.upstream_id);
      err = check_upstream (u, &t, &stale);
    }
  else if (err == AM_E_KEY_UNKNOWN)
    stale = true;
  if (!err)
    return deliver (b, a, u, &t, needs_renewal);
  if (stale && forward_stale (b, a, &t, err))
    return AM_OK;
  if (stale && has_no_keys (b))
    return err;
  b->counters.tickets_refused++;
  return reset (b, a, err);
}

/* ---- requests ----------------------------------------------------- */

static int
send_unknown_outcome (struct am_board *b, const struct arrival *a, int error)
{
  uint8_t body[AM_OUTCOME_BODY_SIZE];
  struct am_outcome_body outcome
      = { .outcome = AM_OUTCOME_UNKNOWN, .error = error };
  struct am_packet p = { .type = AM_PACKET_OUTCOME,
                         .connection_id = a->packet.connection_id,
                         .body = body,
                         .body_len = sizeof body };

  am_outcome_body_encode (&outcome, body);
  b->counters.unknown++;
  am_board_decision (b, a->packet.connection_id,
                     "event=outcome flow=%llu service=%s outcome=UNKNOWN "
                     "reason=%s revision=%llu",
                     (unsigned long long)a->packet.connection_id,
                     a->service->name, am_error_name (error),
                     (unsigned long long)a->service->revision);
  am_board_send_caller (b, a->service->address, a->caller, &p);
  return error;
}

static int
run_request (struct am_board *b, const struct arrival *a,
             const struct am_ticket *t)
{
  struct am_request_arrival r = { .service = a->service,
                                  .caller = a->caller,
                                  .connection_id = a->packet.connection_id,
                                  .ticket = *t };
  int err;

  if (a->packet.type == AM_PACKET_CANCEL)
    {
      am_requests_cancel (b, a->service, a->caller, a->packet.connection_id,
                          t);
      return AM_OK;
    }
  err = am_request_body_decode (&r.body, a->packet.body, a->packet.body_len);
  if (err)
    return err;
  r.payload = a->packet.body + AM_REQUEST_BODY_SIZE;
  r.payload_len = a->packet.body_len - AM_REQUEST_BODY_SIZE;
  return am_requests_receive (b, &r);
}

/* Forwards a request to the process that issued its ticket, also if the boot
   id known here differs from the ticket's: only the issuer knows whether the
   ticket or the member entry of this VM is the older one.  Until its member
   list is complete, an entry VM does not report an unknown issuer as lost; the
   caller retransmits.  */
static int
forward_to_issuer (struct am_board *b, const struct arrival *a,
                   const struct am_ticket *t)
{
  if (forward_to (b, a, am_forward_find_issuer (b, t), "issuer"))
    return AM_OK;
  if (b->via_peer)
    return AM_E_TICKET;
  if (!am_board_member (b, t->issuer_id) && !am_forward_members_complete (b))
    return AM_E_STATE;
  return send_unknown_outcome (b, a, AM_E_ISSUER_GONE);
}

static int
handle_request (struct am_board *b, const struct arrival *a)
{
  struct am_ticket_scope scope = scope_of (a);
  struct am_ticket t;
  bool unused;
  int err;

  if (!a->packet.ticket)
    return reset (b, a, AM_E_TICKET);
  err = am_key_ring_verify (b, &t, &scope, a->service->id, a->packet.ticket,
                            &unused);
  if (!err && t.kind != AM_OPEN_REQUEST)
    err = AM_E_TICKET;
  if (err == AM_E_KEY_UNKNOWN
      && forward_to (b, a, am_forward_find_issuer (b, &t),
                     am_error_name (err)))
    return AM_OK;
  if (err == AM_E_KEY_UNKNOWN && has_no_keys (b))
    return err;
  if (err)
    {
      b->counters.tickets_refused++;
      return reset (b, a, err);
    }
  if (t.issuer_id != b->self.id)
    return forward_to_issuer (b, a, &t);
  if (t.issuer_boot_id != b->self.boot_id)
    return send_unknown_outcome (b, a, AM_E_ISSUER_GONE);
  return run_request (b, a, &t);
}

static int
ticket_from_caller (struct am_board *b, struct am_service *s,
                    struct am_address caller, const uint8_t *data, size_t len)
{
  struct arrival a
      = { .service = s, .caller = caller, .data = data, .len = len };
  int err = am_packet_decode (&a.packet, data, len);

  if (err)
    {
      b->counters.malformed++;
      return err;
    }
  switch (a.packet.type)
    {
    case AM_PACKET_OPEN:
      return handle_open (b, &a);
    case AM_PACKET_DATA:
    case AM_PACKET_PING:
    case AM_PACKET_CLOSE:
      return handle_flow (b, &a);
    case AM_PACKET_REQUEST:
    case AM_PACKET_CANCEL:
      return handle_request (b, &a);
    default:
      b->counters.malformed++;
      return AM_E_FORMAT;
    }
}

/* ---- from upstreams ----------------------------------------------- */

/* Decodes the reason of an upstream's RESET, which follows its load.  */
static int
reset_reason (const struct am_packet *p)
{
  struct am_reason_body reason;

  if (p->body_len < AM_LOAD_SIZE
      || am_reason_body_decode (&reason, p->body + AM_LOAD_SIZE,
                                p->body_len - AM_LOAD_SIZE))
    return AM_E_SHED;
  return reason.error;
}

static int
handle_upstream_reset (struct am_board *b, struct am_upstream *u,
                       struct am_address caller, const struct am_packet *p)
{
  int reason = reset_reason (p);

  am_record_reported_load (b, u, p->body, p->body_len);
  if (!am_flow_setup_refused (b, u, caller, p->connection_id, reason))
    am_reset (b, u->service, caller, p->connection_id, reason);
  return AM_OK;
}

static int
ticket_from_upstream (struct am_board *b, struct am_service *s,
                      struct am_upstream *u, struct am_address caller,
                      const uint8_t *data, size_t len)
{
  struct am_packet p;
  int err = am_packet_decode (&p, data, len);

  if (err)
    {
      b->counters.malformed++;
      return err;
    }
  switch (p.type)
    {
    case AM_PACKET_OPENED:
      am_record_reported_load (b, u, p.body, p.body_len);
      am_flow_setup_accepted (b, u, caller, p.connection_id);
      return AM_OK;
    case AM_PACKET_RESET:
      return handle_upstream_reset (b, u, caller, &p);
    case AM_PACKET_PONG:
      am_record_reported_load (b, u, p.body, p.body_len);
      am_board_send_caller (b, s->address, caller, &p);
      return AM_OK;
    case AM_PACKET_DATA:
    case AM_PACKET_CLOSE:
      am_board_send_caller (b, s->address, caller, &p);
      return AM_OK;
    default:
      b->counters.malformed++;
      return AM_E_FORMAT;
    }
}

static void
ticket_upstream_removed (struct am_board *b, struct am_service *s,
                         struct am_upstream *u)
{
  am_flow_setup_upstream_removed (b, u);
  am_flow_count_upstream_removed (s, u);
}

static void
ticket_tick (struct am_board *b, struct am_service *s)
{
  am_flow_count_tick (b, s);
}

static bool
ticket_may_exit (const struct am_board *b, const struct am_service *s)
{
  (void)s;
  return am_flow_setup_pending (b) == 0;
}

const struct am_binding_ops am_binding_ticket = {
  .name = "ticket",
  .init = ticket_init,
  .finish = ticket_finish,
  .from_caller = ticket_from_caller,
  .from_upstream = ticket_from_upstream,
  .from_peer = am_binding_reject_peer_message,
  .changed = am_binding_do_nothing,
  .upstream_removed = ticket_upstream_removed,
  .tick = ticket_tick,
  .may_exit = ticket_may_exit,
};
