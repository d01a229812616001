#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "core/binding/binding.h"
#include "core/binding/forward.h"
#include "core/binding/tracked_owner.h"
#include "core/ownership/ticketless.h"
#include "core/targets/address_validation.h"
#include "wire/bytes.h"

#define BIND_SIZE 15
#define CLEAR_SIZE 7

static int
tracked_init (struct am_board *b, struct am_service *s)
{
  struct am_tracked *t = calloc (1, sizeof *t);

  (void)b;
  if (!t)
    return AM_E_MEMORY;
  am_list_init (&t->by_idle_time);
  am_list_init (&t->copy_queue);
  s->binding_state = t;
  return AM_OK;
}

static void
tracked_finish (struct am_board *b, struct am_service *s)
{
  struct am_tracked *t = s->binding_state;

  (void)b;
  if (!t)
    return;
  am_list_each_safe (f, next, &t->by_idle_time, struct am_tracked_flow, node)
  {
    am_tracked_remove (t, f);
  }
  free (t);
  s->binding_state = NULL;
}

/* ---- from callers and upstreams ----------------------------------- */

/* Returns true if the packet may be sent directly to the flow's upstream,
   without introduction to the owner.  */
static bool
may_send_direct (const struct am_board *b, const struct am_tracked_bucket *k,
                 const struct am_tracked_flow *f)
{
  return !k->changed && f->epoch == k->epoch
         && f->introductions >= AM_TRACKED_INTRODUCTIONS
         && b->now_us - f->introduced_us < AM_TRACKED_REFRESH_US;
}

static void
record_introduction (struct am_board *b, struct am_tracked *t,
                     const struct am_tracked_bucket *k,
                     struct am_tracked_flow *f)
{
  if (f->epoch != k->epoch)
    f->introductions = 0;
  f->epoch = k->epoch;
  f->introductions++;
  f->introduced_us = b->now_us;
  am_tracked_touch (b, t, f);
}

static int
introduce (struct am_board *b, struct am_service *s,
           const struct am_member *owner, struct am_tracked_flow *f,
           struct am_tracked_introduction *in)
{
  struct am_tracked *t = s->binding_state;
  struct am_tracked_bucket *k
      = &t->buckets[am_tracked_bucket_of (s, in->caller)];
  const struct am_upstream *u = am_service_upstream (s, k->default_id);

  in->flags = k->changed ? AM_TRACKED_FLAG_CHANGED : 0;
  in->assumed_id = k->default_id;
  if (f)
    {
      in->hint_id = f->upstream_id;
      in->hint_incarnation = f->incarnation;
      if (am_tracked_is_provisional (b, f))
        in->flags |= AM_TRACKED_FLAG_PROVISIONAL;
    }
  else if (u)
    {
      f = am_tracked_add (b, s, in->caller);
      if (f)
        {
          am_tracked_bind (b, s, f, u->id, u->incarnation);
          f->provisional = true;
        }
      am_board_decision (
          b, am_address_key (in->caller),
          "event=introduced flow=%llu service=%s owner=%s bucket=%u "
          "reason=%s revision=%llu",
          (unsigned long long)am_address_key (in->caller), s->name,
          owner->name, am_tracked_bucket_of (s, in->caller),
          k->changed ? "changed" : "first", (unsigned long long)s->revision);
    }
  if (f)
    record_introduction (b, t, k, f);
  return am_tracked_send_introduction (b, s, owner, in);
}

static int
tracked_from_caller (struct am_board *b, struct am_service *s,
                     struct am_address caller, const uint8_t *data, size_t len)
{
  struct am_tracked *t = s->binding_state;
  struct am_tracked_bucket *k = &t->buckets[am_tracked_bucket_of (s, caller)];
  struct am_tracked_introduction in
      = { .caller = caller, .data = data, .len = len };
  const struct am_member *owner;
  struct am_upstream *u = NULL;
  struct am_tracked_flow *f;

  if (s->retired)
    return AM_E_SERVICE_UNKNOWN;
  if (am_ticketless_is_request (s, data, len))
    return am_ticketless_receive (b, s, caller, data, len);
  if (am_tracked_is_owner (b, k))
    return am_tracked_serve_as_owner (b, s, NULL, &in);
  f = am_tracked_find (t, caller);
  if (f)
    u = am_tracked_find_upstream (s, f->upstream_id, f->incarnation);
  if (f && !u)
    {
      am_tracked_remove (t, f);
      f = NULL;
    }
  if (f && may_send_direct (b, k, f) && am_validation_check_or_probe (b, u))
    {
      am_tracked_deliver (b, t, f, u, data, len);
      return AM_OK;
    }
  owner = am_board_member (b, k->owner_id);
  if (!owner)
    return am_tracked_serve_as_owner (b, s, NULL, &in);
  return introduce (b, s, owner, f, &in);
}

static int
tracked_from_upstream (struct am_board *b, struct am_service *s,
                       struct am_upstream *u, struct am_address caller,
                       const uint8_t *data, size_t len)
{
  struct am_tracked_flow *f = am_tracked_find (s->binding_state, caller);

  if (f)
    {
      f->provisional = f->provisional && f->upstream_id != u->id;
      f->unanswered = 0;
      f->reported_unresponsive = false;
    }
  am_send_opaque_caller (b, s->address, caller, data, len);
  return AM_OK;
}

/* Delivers the packet of IN because the owner does not know the upstream.  */
static int
deliver_for_owner (struct am_board *b, struct am_service *s,
                   const struct am_tracked_introduction *in)
{
  struct am_tracked *t = s->binding_state;
  struct am_upstream *u
      = am_tracked_find_upstream (s, in->hint_id, in->hint_incarnation);
  struct am_tracked_flow *f = am_tracked_find (t, in->caller);

  if (!u)
    return AM_E_UPSTREAM_UNKNOWN;
  if (!f)
    f = am_tracked_add (b, s, in->caller);
  if (!f)
    return AM_E_MEMORY;
  am_tracked_bind (b, s, f, u->id, u->incarnation);
  am_tracked_deliver (b, t, f, u, in->data, in->len);
  return AM_OK;
}

/* ---- peers -------------------------------------------------------- */

static int
receive_introduction (struct am_board *b, struct am_service *s,
                      uint32_t sender_id, const uint8_t *body, size_t len)
{
  const struct am_member *sender = am_board_member (b, sender_id);
  struct am_tracked_introduction in;
  int err = am_tracked_parse_introduction (&in, body, len);

  if (err)
    return err;
  if (in.flags & AM_TRACKED_FLAG_DELIVER)
    return deliver_for_owner (b, s, &in);
  if (in.flags & AM_TRACKED_FLAG_QUERY)
    return am_tracked_answer_query (b, s, sender, &in);
  return am_tracked_serve_as_owner (b, s, sender, &in);
}

/* Binds a flow as the owner reports.  If its upstream is not known here, the
   flow is removed, so that all its packets go through the owner.  */
static int
receive_bind (struct am_board *b, struct am_service *s, const uint8_t *body,
              size_t len)
{
  struct am_tracked *t = s->binding_state;
  const struct am_upstream *u;
  struct am_tracked_flow *f;

  if (len != BIND_SIZE)
    return AM_E_FORMAT;
  u = am_tracked_find_upstream (s, am_get_u32 (body + 7),
                                am_get_u32 (body + 11));
  f = am_tracked_find (t, am_tracked_get_address (body + 1));
  if (!f)
    return AM_E_NOT_FOUND;
  if (u)
    am_tracked_bind (b, s, f, u->id, u->incarnation);
  else
    am_tracked_remove (t, f);
  return AM_OK;
}

static int
receive_clear (struct am_service *s, uint32_t sender_id, const uint8_t *body,
               size_t len)
{
  struct am_tracked *t = s->binding_state;
  struct am_tracked_bucket *k;

  if (len != CLEAR_SIZE || am_get_u16 (body + 1) >= AM_TRACKED_BUCKETS)
    return AM_E_FORMAT;
  k = &t->buckets[am_get_u16 (body + 1)];
  if (k->owner_id != sender_id || k->default_id != am_get_u32 (body + 3))
    return AM_E_STATE;
  k->changed = false;
  return AM_OK;
}

static int
tracked_from_peer (struct am_board *b, struct am_service *s,
                   uint32_t sender_id, const uint8_t *body, size_t len)
{
  if (len == 0)
    return AM_E_SHORT;
  switch (body[0])
    {
    case AM_TRACKED_INTRODUCE:
      return receive_introduction (b, s, sender_id, body, len);
    case AM_TRACKED_BIND:
      return receive_bind (b, s, body, len);
    case AM_TRACKED_CLEAR:
      return receive_clear (s, sender_id, body, len);
    case AM_TRACKED_COPY:
    case AM_TRACKED_HINTS:
      return am_tracked_copy_receive (b, s, sender_id, body, len);
    case AM_TRACKED_COPY_ACK:
      return am_tracked_copy_receive_ack (s->binding_state, body, len);
    default:
      b->counters.malformed++;
      return AM_E_FORMAT;
    }
}

/* ---- changes and time --------------------------------------------- */

static void
tracked_changed (struct am_board *b, struct am_service *s)
{
  am_tracked_recompute (b, s);
}

static void
tracked_upstream_removed (struct am_board *b, struct am_service *s,
                          struct am_upstream *u)
{
  (void)b;
  (void)s;
  (void)u;
}

static void
tracked_tick (struct am_board *b, struct am_service *s)
{
  am_tracked_copy_tick (b, s);
  am_tracked_expire (b, s);
}

static bool
tracked_may_exit (const struct am_board *b, const struct am_service *s)
{
  const struct am_tracked *t = s->binding_state;

  if (b->now_us - b->stopping_since_us >= AM_TRACKED_HANDOVER_MAX_US)
    return true;
  return t->handing_over && am_tracked_copy_done (t);
}

const struct am_binding_ops am_binding_tracked = {
  .name = "tracked",
  .init = tracked_init,
  .finish = tracked_finish,
  .from_caller = tracked_from_caller,
  .from_upstream = tracked_from_upstream,
  .from_peer = tracked_from_peer,
  .changed = tracked_changed,
  .upstream_removed = tracked_upstream_removed,
  .tick = tracked_tick,
  .may_exit = tracked_may_exit,
};
