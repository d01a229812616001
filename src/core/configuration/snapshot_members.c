#include <stdlib.h>

#include "base/error.h"
#include "core/configuration/snapshot.h"
#include "core/configuration/snapshot_parts.h"

static struct am_member *
add_member (struct am_board *b, uint32_t id)
{
  struct am_member *m = calloc (1, sizeof *m);
  struct am_list *at = &b->members;

  if (!m)
    return NULL;
  m->id = id;
  am_list_each (other, &b->members, struct am_member, node)
  {
    if (other->id > id)
      {
        at = &other->node;
        break;
      }
  }
  am_list_insert_between (&m->node, at->prev, at);
  HASH_ADD (by_id, b->members_by_id, id, sizeof m->id, m);
  return m;
}

static void
drop_member (struct am_board *b, struct am_member *m)
{
  HASH_DELETE (by_id, b->members_by_id, m);
  am_list_remove (&m->node);
  free (m);
}

static int
apply_member (struct am_board *b, const Amaranth__Member *in)
{
  struct am_member *m = am_board_member (b, in->id);

  if (!m)
    m = add_member (b, in->id);
  if (!m)
    return AM_E_MEMORY;
  am_snapshot_name (m->name, in->name);
  am_snapshot_name (m->data_centre, in->data_centre);
  am_snapshot_name (m->region, in->region);
  m->peer.ip = in->ip;
  m->peer.port = (uint16_t)in->peer_port;
  m->state = in->state;
  m->boot_id = in->boot_id;
  m->present = true;
  m->missing_since_us = 0;
  return AM_OK;
}

static bool
is_gone (const struct am_member *m)
{
  return m->state == AMARANTH__MEMBER_STATE__MEMBER_DEAD
         || m->state == AMARANTH__MEMBER_STATE__MEMBER_LEFT;
}

static int
apply_members (struct am_board *b, const Amaranth__Snapshot *snap)
{
  for (size_t i = 0; i < snap->n_members; i++)
    {
      int err = apply_member (b, snap->members[i]);

      if (err)
        return err;
    }
  if (!b->members_since_us && HASH_CNT (by_id, b->members_by_id) > 1)
    b->members_since_us = b->now_us ? b->now_us : 1;
  return AM_OK;
}

/* M is not mentioned any more.  */
static void
miss_member (struct am_board *b, struct am_member *m)
{
  m->present = false;
  if (is_gone (m))
    drop_member (b, m);
  else if (!m->missing_since_us)
    m->missing_since_us = b->now_us ? b->now_us : 1;
}

int
am_snapshot_members (struct am_board *b, const Amaranth__Snapshot *snap)
{
  int err;

  am_list_each (m, &b->members, struct am_member, node) { m->present = false; }
  err = apply_members (b, snap);
  if (err)
    return err;
  am_list_each_safe (m, next, &b->members, struct am_member, node)
  {
    if (!m->present)
      miss_member (b, m);
  }
  return AM_OK;
}

int
am_snapshot_members_delta (struct am_board *b,
                           const Amaranth__Snapshot *changed,
                           const uint32_t *gone, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      struct am_member *m = am_board_member (b, gone[i]);

      if (m)
        miss_member (b, m);
    }
  return apply_members (b, changed);
}

void
am_snapshot_drop_missing (struct am_board *b)
{
  am_list_each_safe (m, next, &b->members, struct am_member, node)
  {
    if (m->missing_since_us
        && b->now_us - m->missing_since_us >= AM_MEMBER_KEEP_US)
      drop_member (b, m);
  }
}
