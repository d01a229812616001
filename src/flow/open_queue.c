#include "flow/open_queue.h"

#include <string.h>

#include "base/error.h"

void
am_open_queue_init (struct am_open_queue *q)
{
  q->count = 0;
}

static struct am_queued_syn *
find (struct am_open_queue *q, const struct am_packet *p)
{
  for (size_t i = 0; i < q->count; i++)
    {
      const struct am_packet *w = &q->waiting[i].packet;

      if (w->seq == p->seq && am_address_equal (w->caller, p->caller)
          && am_address_equal (w->route, p->route))
        return &q->waiting[i];
    }
  return NULL;
}

int
am_open_queue_add (struct am_open_queue *q, const struct am_packet *p,
                   uint32_t service, const uint8_t *data, size_t len,
                   uint64_t now_us, uint64_t until_us)
{
  struct am_queued_syn *w = find (q, p);

  if (len > sizeof w->data)
    return AM_E_TOO_LARGE;
  if (!w && q->count == AM_OPEN_QUEUE_MAX)
    return AM_E_QUEUE_FULL;
  if (!w)
    {
      w = &q->waiting[q->count++];
      w->since_us = now_us;
      w->until_us = until_us;
    }
  if (until_us < w->until_us)
    w->until_us = until_us;
  w->packet = *p;
  w->service = service;
  w->len = len;
  memcpy (w->data, data, len);
  return AM_OK;
}

/* Services whose load is asked once a call; further ones count as busy.  */
#define SERVICES 8

/* Answers of the caller's function: it looks at every target.  */
struct known
{
  size_t count;
  uint32_t services[SERVICES];
  bool free[SERVICES];
};

static bool
is_free (struct known *k, uint32_t service, am_open_queue_has_slots free,
         void *userdata)
{
  for (size_t i = 0; i < k->count; i++)
    if (k->services[i] == service)
      return k->free[i];
  if (k->count == SERVICES)
    return false;
  k->services[k->count] = service;
  k->free[k->count] = free (userdata, service);
  return k->free[k->count++];
}

bool
am_open_queue_take (struct am_open_queue *q, uint64_t now_us,
                    am_open_queue_has_slots free, void *userdata,
                    struct am_queued_syn *w)
{
  struct am_queued_syn *first = NULL;
  struct known known = { 0 };

  for (size_t i = 0; i < q->count; i++)
    {
      struct am_queued_syn *next = &q->waiting[i];

      if (first && next->until_us >= first->until_us)
        continue;
      if (now_us >= next->until_us
          || is_free (&known, next->service, free, userdata))
        first = next;
    }
  if (!first)
    return false;
  *w = *first;
  *first = q->waiting[--q->count];
  return true;
}
