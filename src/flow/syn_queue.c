#include "flow/syn_queue.h"

#include <string.h>

#include "base/error.h"

void
am_syn_queue_init (struct am_syn_queue *q)
{
  q->count = 0;
}

static struct am_queued_syn *
find (struct am_syn_queue *q, const struct am_packet *p)
{
  for (size_t i = 0; i < q->count; i++)
    {
      const struct am_packet *w = &q->entries[i].packet;

      if (w->seq == p->seq && am_address_equal (w->caller, p->caller)
          && am_address_equal (w->destination, p->destination))
        return &q->entries[i];
    }
  return NULL;
}

int
am_syn_queue_add (struct am_syn_queue *q, const struct am_packet *p,
                  uint32_t service, const uint8_t *data, size_t len,
                  uint64_t now_us, uint64_t deadline_us)
{
  struct am_queued_syn *w = find (q, p);

  if (len > sizeof w->data)
    return AM_E_TOO_LARGE;
  if (!w && q->count == AM_SYN_QUEUE_MAX)
    return AM_E_QUEUE_FULL;
  if (!w)
    {
      w = &q->entries[q->count++];
      w->enqueued_us = now_us;
      w->deadline_us = deadline_us;
    }
  if (deadline_us < w->deadline_us)
    w->deadline_us = deadline_us;
  w->packet = *p;
  w->service = service;
  w->len = len;
  memcpy (w->data, data, len);
  return AM_OK;
}

/* Services whose load is queried during one call; others count as busy.  */
#define SERVICES_MAX 8

/* Results of the has_slots callback, cached for one call: it scans every
   target.  */
struct slots_cache
{
  size_t count;
  uint32_t services[SERVICES_MAX];
  bool free[SERVICES_MAX];
};

static bool
has_slots (struct slots_cache *c, uint32_t service,
           am_syn_queue_has_slots query, void *userdata)
{
  for (size_t i = 0; i < c->count; i++)
    if (c->services[i] == service)
      return c->free[i];
  if (c->count == SERVICES_MAX)
    return false;
  c->services[c->count] = service;
  c->free[c->count] = query (userdata, service);
  return c->free[c->count++];
}

bool
am_syn_queue_take (struct am_syn_queue *q, uint64_t now_us,
                   am_syn_queue_has_slots query, void *userdata,
                   struct am_queued_syn *w)
{
  struct am_queued_syn *first = NULL;
  struct slots_cache cache = { 0 };

  for (size_t i = 0; i < q->count; i++)
    {
      struct am_queued_syn *next = &q->entries[i];

      if (first && next->deadline_us >= first->deadline_us)
        continue;
      if (now_us >= next->deadline_us
          || has_slots (&cache, next->service, query, userdata))
        first = next;
    }
  if (!first)
    return false;
  *w = *first;
  *first = q->entries[--q->count];
  return true;
}
