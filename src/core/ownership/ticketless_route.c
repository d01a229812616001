#include "core/ownership/ticketless_route.h"

#include "base/error.h"
#include "core/binding/forward.h"
#include "wire/bytes.h"

#define ANNOUNCEMENT_SIZE 13
#define ANNOUNCE_INTERVAL_US 1000000u

/* An owner that announced itself within this time is named to other VMs: three
   announcement intervals, so that one announcement may be lost.  */
#define OWNER_RECENT_US 3000000u

/* ---- announcements ------------------------------------------------ */

static void
send_announcement (struct am_board *b, const struct am_ticketless *o,
                   const struct am_member *to, uint64_t epoch,
                   uint32_t owner_id)
{
  uint8_t body[ANNOUNCEMENT_SIZE] = { AM_OWNER_MESSAGE_ANNOUNCE };

  am_put_u64 (body + 1, epoch);
  am_put_u32 (body + 9, owner_id);
  am_board_send_peer (b, to, AM_PEER_OWNER, o->service_id, body, sizeof body);
}

void
am_ticketless_announce_owner (struct am_board *b,
                              const struct am_ticketless *o, uint32_t owner_id)
{
  const struct am_service *s = am_board_service (b, o->service_id);

  for (size_t i = 0; s && i < s->home_count; i++)
    if (s->home_set[i]->id != b->self.id)
      send_announcement (b, o, s->home_set[i], o->dedup.epoch, owner_id);
}

void
am_ticketless_announce_tick (struct am_board *b, struct am_ticketless *o)
{
  if (b->now_us >= o->dedup.until_us || b->now_us < o->next_announce_us)
    return;
  o->next_announce_us = b->now_us + ANNOUNCE_INTERVAL_US;
  am_ticketless_announce_owner (b, o, b->self.id);
}

int
am_ticketless_apply_announcement (const struct am_board *b,
                                  struct am_ticketless *o, uint32_t sender_id,
                                  const uint8_t *body, size_t len)
{
  uint64_t epoch;
  uint32_t id;

  if (len != ANNOUNCEMENT_SIZE)
    return AM_E_FORMAT;
  epoch = am_get_u64 (body + 1);
  id = am_get_u32 (body + 9);
  if (!id && o->owner_id == sender_id)
    o->owner_id = 0;
  if (!id || epoch < o->owner_epoch)
    return AM_OK;
  if (id == sender_id)
    o->announced_us = b->now_us;
  else if (id != o->owner_id)
    o->announced_us = 0;
  o->owner_epoch = epoch;
  o->owner_id = id;
  o->known_until_us = b->now_us + AM_TICKETLESS_OWNER_CACHE_US;
  return AM_OK;
}

static bool
is_home (const struct am_service *s, uint32_t id)
{
  for (size_t i = 0; i < s->home_count; i++)
    if (s->home_set[i]->id == id)
      return true;
  return false;
}

void
am_ticketless_announce_to_sender (struct am_board *b,
                                  const struct am_service *s,
                                  const struct am_ticketless *o)
{
  const struct am_member *from = am_board_member (b, b->peer_id);

  if (b->via_peer && from && !is_home (s, from->id))
    send_announcement (b, o, from, o->dedup.epoch, b->self.id);
}

/* ---- forwarding --------------------------------------------------- */

/* Returns the cached owner if it is usable, or NULL.  */
static const struct am_member *
known_owner (struct am_board *b, const struct am_ticketless *o)
{
  const struct am_member *m
      = o->owner_id ? am_board_member (b, o->owner_id) : NULL;

  if (!m || m->id == b->self.id || b->now_us >= o->known_until_us
      || m->state == AMARANTH__MEMBER_STATE__MEMBER_DEAD
      || m->state == AMARANTH__MEMBER_STATE__MEMBER_LEFT)
    return NULL;
  return m;
}

/* Replies to the VM that forwarded a request: with the owner if it has
   announced itself recently, else that this VM is not the owner.  */
static enum am_ticketless_route
redirect_sender (struct am_board *b, struct am_ticketless *o, uint64_t request)
{
  const struct am_member *from = am_board_member (b, b->peer_id);
  const struct am_member *m = known_owner (b, o);

  if (!from)
    return AM_TICKETLESS_NO_ROUTE;
  if (!m || !o->announced_us || b->now_us - o->announced_us >= OWNER_RECENT_US
      || m->id == from->id)
    {
      send_announcement (b, o, from, 0, 0);
      return AM_TICKETLESS_NO_ROUTE;
    }
  am_board_decision (b, request,
                     "event=name_owner request=%llu owner=%s to=%s",
                     (unsigned long long)request, m->name, from->name);
  send_announcement (b, o, from, o->owner_epoch, m->id);
  return AM_TICKETLESS_REDIRECTED;
}

enum am_ticketless_route
am_ticketless_forward (struct am_board *b, struct am_service *s,
                       struct am_ticketless *o, struct am_address caller,
                       uint64_t request, const uint8_t *data, size_t len)
{
  const struct am_member *m;

  if (b->via_peer)
    return redirect_sender (b, o, request);
  if (!am_dedup_may_forward (&o->dedup, b->now_us))
    return AM_TICKETLESS_NO_ROUTE;
  m = known_owner (b, o);
  if (!m)
    m = am_forward_pick_home (b, s);
  if (!m)
    return AM_TICKETLESS_NO_ROUTE;
  am_board_decision (b, request,
                     "event=forward request=%llu service=%s to=%s "
                     "reason=owner revision=%llu",
                     (unsigned long long)request, s->name, m->name,
                     (unsigned long long)s->revision);
  am_forward (b, s, m, caller, data, len);
  return AM_TICKETLESS_FORWARDED;
}
