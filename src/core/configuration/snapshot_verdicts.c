#include "core/configuration/snapshot_parts.h"

#include <string.h>

#include "core/binding/key_ring.h"

void
am_snapshot_keys (struct am_board *b, const Amaranth__Snapshot *snap)
{
  struct am_key keys[AM_KEYS_MAX];

  if (snap->n_keys == 0)
    return;
  memset (keys, 0, sizeof keys);
  for (size_t i = 0; i < snap->n_keys; i++)
    {
      keys[i].id = snap->keys[i]->id;
      keys[i].state = snap->keys[i]->state;
      memcpy (keys[i].secret, snap->keys[i]->secret.data, AM_TICKET_KEY_SIZE);
    }
  am_key_ring_replace (b, keys, snap->n_keys);
}

static void
log_ejections (struct am_board *b, const struct am_service *s)
{
  am_list_each (u, &s->upstreams, struct am_upstream, node)
  {
    if (u->health.ejected != u->health.was_ejected)
      am_board_decision (
          b, 0,
          "event=ejection service=%s upstream=%s ejected=%d revision=%llu",
          s->name, u->name, u->health.ejected,
          (unsigned long long)s->revision);
  }
}

static void
note_ejections (struct am_service *s)
{
  am_list_each (u, &s->upstreams, struct am_upstream, node)
  {
    u->health.was_ejected = u->health.ejected;
  }
}

static void
clear_ejections (struct am_service *s)
{
  am_list_each (u, &s->upstreams, struct am_upstream, node)
  {
    u->health.ejected = false;
  }
}

static void
set_ejection (struct am_service *s, const Amaranth__Verdict *v)
{
  struct am_upstream *u = s ? am_service_upstream (s, v->upstream_id) : NULL;

  if (u)
    u->health.ejected = v->ejected;
}

void
am_snapshot_verdicts (struct am_board *b, const Amaranth__Snapshot *snap)
{
  am_list_each (s, &b->services, struct am_service, node)
  {
    note_ejections (s);
    clear_ejections (s);
  }
  for (size_t i = 0; i < snap->n_verdicts; i++)
    set_ejection (am_board_service (b, snap->verdicts[i]->service_id),
                  snap->verdicts[i]);
  am_list_each (s, &b->services, struct am_service, node)
  {
    log_ejections (b, s);
  }
}

/* Returns the service with ID, which the delta is about, or NULL.  */
static struct am_service *
touch (struct am_board *b, uint32_t id)
{
  struct am_service *s = am_board_service (b, id);

  if (s && !s->touched)
    {
      s->touched = true;
      note_ejections (s);
    }
  return s;
}

void
am_snapshot_verdicts_delta (struct am_board *b,
                            const Amaranth__Snapshot *changed)
{
  am_list_each (s, &b->services, struct am_service, node)
  {
    s->touched = false;
  }
  for (size_t i = 0; i < changed->n_services; i++)
    {
      struct am_service *s = touch (b, changed->services[i]->id);

      if (s)
        clear_ejections (s);
    }
  for (size_t i = 0; i < changed->n_verdicts; i++)
    set_ejection (touch (b, changed->verdicts[i]->service_id),
                  changed->verdicts[i]);
  am_list_each (s, &b->services, struct am_service, node)
  {
    if (s->touched)
      log_ejections (b, s);
  }
}
