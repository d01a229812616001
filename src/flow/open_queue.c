#include "flow/open_queue.h"

#include <string.h>

#include "base/error.h"

void
am_open_queue_init (struct am_open_queue *q)
{
  q->count = 0;
}

static struct am_waiting *
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
                   const uint8_t *data, size_t len, uint64_t now_us,
                   uint64_t until_us)
{
  struct am_waiting *w = find (q, p);

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
  w->len = len;
  memcpy (w->data, data, len);
  return AM_OK;
}

bool
am_open_queue_take (struct am_open_queue *q, uint64_t now_us, bool free,
                    struct am_waiting *w)
{
  size_t first = 0;

  if (!q->count)
    return false;
  for (size_t i = 1; i < q->count; i++)
    if (q->waiting[i].until_us < q->waiting[first].until_us)
      first = i;
  if (!free && now_us < q->waiting[first].until_us)
    return false;
  *w = q->waiting[first];
  q->waiting[first] = q->waiting[--q->count];
  return true;
}
