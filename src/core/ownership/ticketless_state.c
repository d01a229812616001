#include "core/ownership/ticketless_state.h"

#include <stdlib.h>

#include "core/requests/request_table.h"

static struct am_ticketless *
find (const struct am_board *b, uint32_t service_id)
{
  struct am_ticketless *o;

  HASH_FIND (hh, b->owned, &service_id, sizeof service_id, o);
  return o;
}

struct am_ticketless *
am_ticketless_find_or_add (struct am_board *b, uint32_t service_id)
{
  struct am_ticketless *o = find (b, service_id);

  if (o)
    return o;
  o = calloc (1, sizeof *o);
  if (!o)
    return NULL;
  o->service_id = service_id;
  am_dedup_init (&o->dedup, b->now_us, b->self.boot_id);
  HASH_ADD (hh, b->owned, service_id, sizeof o->service_id, o);
  return o;
}

struct am_dedup_key
am_ticketless_key (struct am_address caller, uint64_t connection_id)
{
  return (struct am_dedup_key){ .connection_id = connection_id,
                                .ip = caller.ip };
}

void
am_ticketless_request_ended (struct am_board *b, const struct am_request *r)
{
  struct am_dedup_key key = am_ticketless_key (r->caller, r->connection_id);
  struct am_ticketless *o = find (b, r->service->id);
  enum am_dedup_outcome outcome = AM_DEDUP_LOST;

  if (r->state == AM_REQUEST_ANSWERED)
    outcome = AM_DEDUP_ANSWERED;
  else if (r->state == AM_REQUEST_NOT_RUN)
    outcome = AM_DEDUP_NOT_RUN;
  if (o)
    am_dedup_set_outcome (&o->dedup, &key, outcome, r->error);
}

uint64_t
am_ticketless_not_after_us (const struct am_board *b, uint32_t service_id)
{
  const struct am_ticketless *o = find (b, service_id);

  return o ? am_dedup_not_after (&o->dedup, b->now_us) : 0;
}

bool
am_ticketless_is_accepting (const struct am_board *b, uint32_t service_id)
{
  const struct am_ticketless *o = find (b, service_id);

  return o && !o->leaving && b->now_us < o->dedup.until_us;
}

bool
am_ticketless_is_owner (const struct am_board *b, uint32_t service_id,
                        uint32_t member_id)
{
  const struct am_ticketless *o = find (b, service_id);

  return o && o->owner_id == member_id && b->now_us < o->known_until_us
         && b->now_us >= o->dedup.until_us;
}
