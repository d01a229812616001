#include "core/binding/tracked_owner.h"

#include <string.h>

#include "base/error.h"
#include "core/binding/forward.h"
#include "core/targets/address_validation.h"
#include "wire/bytes.h"

/* Introduction: kind (1), flags (1), caller (6), hint and its incarnation (8),
   assumed_id (4), packet.  Sizes are in bytes.  The hint is the upstream that
   the sender last used for the flow, 0 if none; assumed_id is the upstream
   that it uses unless the owner corrects it, or in a query to all home VMs the
   member that sent the query.  */
#define INTRODUCE_HEADER_SIZE 20
#define BIND_SIZE 15
#define CLEAR_SIZE 7

/* ---- messages ----------------------------------------------------- */

static void
put_address (uint8_t *p, struct am_address a)
{
  am_put_u32 (p, a.ip);
  am_put_u16 (p + 4, a.port);
}

struct am_address
am_tracked_get_address (const uint8_t *p)
{
  struct am_address a = { am_get_u32 (p), am_get_u16 (p + 4) };

  return a;
}

int
am_tracked_send_introduction (struct am_board *b, const struct am_service *s,
                              const struct am_member *to,
                              const struct am_tracked_introduction *in)
{
  uint8_t body[AM_PEER_BODY_MAX];

  if (in->len > sizeof body - INTRODUCE_HEADER_SIZE)
    return AM_E_TOO_LARGE;
  body[0] = AM_TRACKED_INTRODUCE;
  body[1] = in->flags;
  put_address (body + 2, in->caller);
  am_put_u32 (body + 8, in->hint_id);
  am_put_u32 (body + 12, in->hint_incarnation);
  am_put_u32 (body + 16, in->assumed_id);
  if (in->len)
    memcpy (body + INTRODUCE_HEADER_SIZE, in->data, in->len);
  b->counters.tracked_introduced++;
  am_board_send_peer (b, to, AM_PEER_BINDING, s->id, body,
                      INTRODUCE_HEADER_SIZE + in->len);
  return AM_OK;
}

int
am_tracked_parse_introduction (struct am_tracked_introduction *in,
                               const uint8_t *body, size_t len)
{
  if (len < INTRODUCE_HEADER_SIZE)
    return AM_E_SHORT;
  in->flags = body[1];
  in->caller = am_tracked_get_address (body + 2);
  in->hint_id = am_get_u32 (body + 8);
  in->hint_incarnation = am_get_u32 (body + 12);
  in->assumed_id = am_get_u32 (body + 16);
  in->data = body + INTRODUCE_HEADER_SIZE;
  in->len = len - INTRODUCE_HEADER_SIZE;
  return AM_OK;
}

static void
send_bind (struct am_board *b, const struct am_service *s,
           const struct am_member *to, struct am_address caller,
           const struct am_upstream *u)
{
  uint8_t body[BIND_SIZE] = { AM_TRACKED_BIND };

  put_address (body + 1, caller);
  am_put_u32 (body + 7, u->id);
  am_put_u32 (body + 11, u->incarnation);
  am_board_send_peer (b, to, AM_PEER_BINDING, s->id, body, sizeof body);
}

static void
send_clear (struct am_board *b, const struct am_service *s,
            const struct am_member *to, uint32_t bucket, uint32_t default_id)
{
  uint8_t body[CLEAR_SIZE] = { AM_TRACKED_CLEAR };

  am_put_u16 (body + 1, (uint16_t)bucket);
  am_put_u32 (body + 3, default_id);
  am_board_send_peer (b, to, AM_PEER_BINDING, s->id, body, sizeof body);
}

/* ---- at the owner ------------------------------------------------- */

void
am_tracked_deliver (struct am_board *b, struct am_tracked *t,
                    struct am_tracked_flow *f, struct am_upstream *u,
                    const uint8_t *data, size_t len)
{
  struct am_address caller = { (uint32_t)(f->key >> 16), (uint16_t)f->key };

  am_tracked_touch (b, t, f);
  if (!am_validation_check_or_probe (b, u))
    return;
  if (f->unanswered++ == 0)
    f->unanswered_since_us = b->now_us;
  am_send_opaque_upstream (b, u, caller, data, len);
}

/* Returns the former owner if a query about the unknown flow of IN should be
   sent to it, else NULL.  */
static const struct am_member *
former_owner (struct am_board *b, const struct am_tracked_bucket *k,
              const struct am_tracked_introduction *in)
{
  if (in->flags & (AM_TRACKED_FLAG_QUERY | AM_TRACKED_FLAG_QUERY_REPLY)
      || k->former_id == 0 || k->former_id == b->self.id
      || b->now_us - k->owner_since_us > AM_TRACKED_OWNER_QUERY_US)
    return NULL;
  return am_board_member (b, k->former_id);
}

/* Returns the alive home VM with the lowest id above AFTER, other than the
   owner that sent the query IN, or NULL.  */
static const struct am_member *
next_to_query (const struct am_service *s,
               const struct am_tracked_introduction *in, uint32_t after)
{
  const struct am_member *next = NULL;

  for (size_t i = 0; i < s->home_count; i++)
    {
      const struct am_member *m = s->home_set[i];

      if (m->state == AMARANTH__MEMBER_STATE__MEMBER_ALIVE && m->id > after
          && m->id != in->assumed_id && (!next || m->id < next->id))
        next = m;
    }
  return next;
}

/* Returns true if this entry VM should query all home VMs before it binds a
   flow of K: it is an owner without copies, or others regard it as the owner
   because of a change that it has not received yet.  */
static bool
should_query_all (const struct am_board *b, const struct am_tracked_bucket *k)
{
  if (!am_tracked_is_owner (b, k))
    return true;
  return k->queries_peers
         && b->now_us - k->owner_since_us <= AM_TRACKED_OWNER_QUERY_US;
}

/* Sends a query about the unknown flow of IN before it is bound to the
   default: to the former owner, or to one home VM after the other if owner and
   backup failed together.  The query carries the caller's packet, so that the
   packet is neither stored nor duplicated.  Returns false if no query was
   sent.  */
static bool
query_others (struct am_board *b, struct am_service *s,
              const struct am_tracked_bucket *k,
              const struct am_tracked_introduction *in)
{
  const struct am_member *to = former_owner (b, k, in);
  struct am_tracked_introduction query = *in;

  query.flags = AM_TRACKED_FLAG_QUERY;
  if (!to && should_query_all (b, k)
      && !(in->flags & (AM_TRACKED_FLAG_QUERY | AM_TRACKED_FLAG_QUERY_REPLY)))
    {
      query.flags |= AM_TRACKED_FLAG_QUERY_ALL;
      query.assumed_id = b->self.id;
      to = next_to_query (s, &query, 0);
    }
  return to && am_tracked_send_introduction (b, s, to, &query) == AM_OK;
}

static const char *
upstream_name (struct am_service *s, uint32_t id)
{
  const struct am_upstream *u = am_service_upstream (s, id);

  return u ? u->name : "unknown";
}

/* Binds a flow that the owner does not know to the sender's hint if it is
   usable, else to the default.  Returns NULL if there is no upstream or no
   memory.  */
static struct am_tracked_flow *
bind_new (struct am_board *b, struct am_service *s,
          const struct am_tracked_introduction *in)
{
  struct am_tracked *t = s->binding_state;
  uint32_t bucket = am_tracked_bucket_of (s, in->caller);
  const struct am_upstream *u
      = am_service_upstream (s, t->buckets[bucket].default_id);
  bool hint = am_tracked_find_upstream (s, in->hint_id, in->hint_incarnation)
              || am_tracked_is_newer (s, in->hint_id, in->hint_incarnation);
  struct am_tracked_flow *f;

  if (!hint && !u)
    return NULL;
  f = am_tracked_add (b, s, in->caller);
  if (!f)
    return NULL;
  f->owned = true;
  if (hint)
    am_tracked_bind (b, s, f, in->hint_id, in->hint_incarnation);
  else
    am_tracked_bind (b, s, f, u->id, u->incarnation);
  if (t->handing_over || !am_tracked_is_owner (b, &t->buckets[bucket]))
    am_tracked_queue_copy (t, f);
  am_board_decision (
      b, f->key,
      "event=bound flow=%llu service=%s upstream=%s policy=tracked bucket=%u "
      "reason=%s revision=%llu",
      (unsigned long long)f->key, s->name,
      !hint ? u->name : upstream_name (s, in->hint_id), bucket,
      hint ? "hint" : "default", (unsigned long long)s->revision);
  return f;
}

/* Informs the sender of IN if it assumed another upstream for the flow, or if
   its changed bucket has no exceptions.  */
static void
correct_sender (struct am_board *b, struct am_service *s,
                const struct am_member *sender,
                const struct am_tracked_introduction *in,
                const struct am_tracked_flow *f, const struct am_upstream *u)
{
  const struct am_tracked *t = s->binding_state;
  const struct am_tracked_bucket *k = &t->buckets[f->bucket];
  uint32_t assumed = in->hint_id ? in->hint_id : in->assumed_id;

  if (!sender || in->flags & AM_TRACKED_FLAG_QUERY)
    return;
  if (assumed != u->id)
    send_bind (b, s, sender, in->caller, u);
  if (in->flags & AM_TRACKED_FLAG_CHANGED && k->exceptions == 0)
    send_clear (b, s, sender, f->bucket, k->default_id);
}

/* Returns the packet of a flow whose upstream is only in a newer configuration
   to the sender, which may have that configuration, for delivery.  */
static int
return_to_sender (struct am_board *b, const struct am_service *s,
                  const struct am_member *sender,
                  const struct am_tracked_introduction *in,
                  const struct am_tracked_flow *f)
{
  struct am_tracked_introduction reply = *in;

  if (!sender)
    return AM_E_UPSTREAM_UNKNOWN;
  reply.flags = AM_TRACKED_FLAG_DELIVER;
  reply.hint_id = f->upstream_id;
  reply.hint_incarnation = f->incarnation;
  return am_tracked_send_introduction (b, s, sender, &reply);
}

/* Returns the flow of IN or NULL.  Removes it if its upstream cannot be used
   any more.  */
static struct am_tracked_flow *
find_owned (struct am_board *b, struct am_service *s,
            const struct am_tracked_introduction *in)
{
  struct am_tracked *t = s->binding_state;
  struct am_tracked_flow *f = am_tracked_find (t, in->caller);

  if (!f || am_tracked_flow_upstream (s, f)
      || am_tracked_is_unresolved (b, s, f))
    return f;
  am_tracked_remove (t, f);
  return NULL;
}

/* Returns true if neither this entry VM nor the sender has a confirmed binding
   of the flow.  */
static bool
is_uncertain (const struct am_board *b, const struct am_tracked_flow *f,
              const struct am_tracked_introduction *in)
{
  if (f)
    return am_tracked_is_provisional (b, f);
  return in->hint_id == 0 || in->flags & AM_TRACKED_FLAG_PROVISIONAL;
}

/* Replaces a provisional binding of F by the hint in the reply to a query.  */
static void
apply_hint (struct am_board *b, struct am_service *s,
            struct am_tracked_flow *f,
            const struct am_tracked_introduction *in)
{
  if (am_tracked_is_provisional (b, f)
      && am_tracked_find_upstream (s, in->hint_id, in->hint_incarnation))
    am_tracked_bind (b, s, f, in->hint_id, in->hint_incarnation);
}

int
am_tracked_serve_as_owner (struct am_board *b, struct am_service *s,
                           const struct am_member *sender,
                           const struct am_tracked_introduction *in)
{
  struct am_tracked *t = s->binding_state;
  struct am_tracked_bucket *k
      = &t->buckets[am_tracked_bucket_of (s, in->caller)];
  struct am_tracked_flow *f = find_owned (b, s, in);
  struct am_upstream *u;

  if (is_uncertain (b, f, in) && query_others (b, s, k, in))
    return AM_OK;
  if (f && in->flags & AM_TRACKED_FLAG_QUERY_REPLY)
    apply_hint (b, s, f, in);
  if (!f)
    f = bind_new (b, s, in);
  if (!f)
    return AM_E_NO_UPSTREAM;
  f->owned = true;
  am_tracked_bind (b, s, f, f->upstream_id, f->incarnation);
  u = am_tracked_flow_upstream (s, f);
  if (!u)
    return return_to_sender (b, s, sender, in, f);
  am_tracked_deliver (b, t, f, u, in->data, in->len);
  correct_sender (b, s, sender, in, f, u);
  return AM_OK;
}

int
am_tracked_answer_query (struct am_board *b, struct am_service *s,
                         const struct am_member *sender,
                         const struct am_tracked_introduction *in)
{
  struct am_tracked *t = s->binding_state;
  const struct am_tracked_flow *f = am_tracked_find (t, in->caller);
  const struct am_member *owner = sender;
  struct am_tracked_introduction reply = *in;

  if (in->flags & AM_TRACKED_FLAG_QUERY_ALL)
    {
      f = f && am_tracked_is_provisional (b, f) ? NULL : f;
      const struct am_member *next
          = f ? NULL : next_to_query (s, in, b->self.id);

      if (next)
        return am_tracked_send_introduction (b, s, next, in);
      owner = am_board_member (b, in->assumed_id);
    }
  if (!owner)
    return AM_E_NOT_FOUND;
  reply.flags = AM_TRACKED_FLAG_QUERY_REPLY;
  if (f)
    {
      reply.hint_id = f->upstream_id;
      reply.hint_incarnation = f->incarnation;
    }
  reply.assumed_id = reply.hint_id;
  return am_tracked_send_introduction (b, s, owner, &reply);
}
