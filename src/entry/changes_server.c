#include <stdlib.h>
#include <string.h>
#include <zlib.h>

#include "base/error.h"
#include "entry/peers.h"
#include "io/clock.h"
#include "wire/bytes.h"

/* Adds the items after revision AFTER to C.  Removals are left out if all
   items are sent.  Returns AM_OK or AM_E_MEMORY.  */
static int
add_items (struct am_entry *e, Fleet__Changes *c, uint64_t after)
{
  size_t count = 0;

  am_list_each (i, &e->replica.by_revision, struct am_replica_item, node) count
      += i->revision > after;
  c->items = calloc (count + 1, sizeof (void *));
  if (!c->items)
    return AM_E_MEMORY;
  am_list_each (i, &e->replica.by_revision, struct am_replica_item, node)
  {
    Fleet__Item *item;

    if (i->revision <= after || (c->whole && i->removed))
      continue;
    item = malloc (sizeof *item);
    if (!item)
      return AM_E_MEMORY;
    am_entry_fill_item (item, i);
    c->items[c->n_items++] = item;
  }
  return AM_OK;
}

static int
add_members (struct am_entry *e, Fleet__Changes *c)
{
  c->members = calloc (e->fleet.count + 1, sizeof (void *));
  if (!c->members)
    return AM_E_MEMORY;
  am_list_each (p, &e->fleet.peers, struct am_peer, node)
  {
    Fleet__Member *m = malloc (sizeof *m);

    if (!m)
      return AM_E_MEMORY;
    am_entry_fill_member (m, p->name, p->data_centre, p->address);
    c->members[c->n_members++] = m;
  }
  return AM_OK;
}

static void
free_changes (Fleet__Changes *c)
{
  for (size_t i = 0; i < c->n_items; i++)
    free (c->items[i]);
  for (size_t i = 0; i < c->n_members; i++)
    free (c->members[i]);
  free (c->items);
  free (c->members);
}

/* Appends C, compressed, to the *LEN bytes at *BODY, which is reallocated: a
   large configuration compresses to a tenth of its size.  Returns AM_OK or
   AM_E_MEMORY.  */
static int
append_message (const Fleet__Changes *c, uint8_t **body, size_t *len)
{
  size_t plain_len = fleet__changes__get_packed_size (c);
  uLongf compressed_len = compressBound (plain_len);
  uint8_t *plain = malloc (plain_len + 1);
  uint8_t *grown
      = realloc (*body, *len + AM_ENTRY_CHANGES_HEADER_SIZE + compressed_len);
  int err = AM_E_MEMORY;

  if (grown)
    *body = grown;
  if (plain && grown)
    {
      fleet__changes__pack (c, plain);
      am_put_u32 (grown + *len, (uint32_t)plain_len);
      *len += AM_ENTRY_CHANGES_HEADER_SIZE;
      if (compress2 (grown + *len, &compressed_len, plain, plain_len,
                     Z_BEST_SPEED)
          == Z_OK)
        {
          *len += compressed_len;
          err = AM_OK;
        }
    }
  free (plain);
  return err;
}

/* Appends the changes after revision AFTER, or all items if WHOLE.  */
static int
append_changes (struct am_entry *e, uint64_t after, bool whole, uint8_t **body,
                size_t *len)
{
  Fleet__Changes c;
  int err;

  fleet__changes__init (&c);
  c.revision = e->replica.revision;
  c.whole = whole;
  err = add_items (e, &c, whole ? 0 : after);
  if (!err)
    err = append_message (&c, body, len);
  free_changes (&c);
  return err;
}

static int
append_members (struct am_entry *e, uint8_t **body, size_t *len)
{
  Fleet__Changes c;
  int err;

  fleet__changes__init (&c);
  err = add_members (e, &c);
  if (!err)
    err = append_message (&c, body, len);
  free_changes (&c);
  return err;
}

/* Brings e->whole up to date.  VMs that start together all ask for the same
   items, and compressing them for each takes longer than sending them.  */
static int
update_whole (struct am_entry *e)
{
  struct am_whole_replica *w = &e->whole;
  int err;

  if (w->revision == e->replica.revision)
    return AM_OK;
  w->revision = 0;
  w->len = 0;
  err = append_changes (e, 0, true, &w->data, &w->len);
  if (!err)
    w->revision = e->replica.revision;
  return err;
}

/* Sets the body to all items.  Returns AM_OK, AM_E_MEMORY or, if such
   responses have used up their share of the link, AM_E_RATE.  */
static int
reply_whole (struct am_entry *e, struct am_http_reply *reply)
{
  int err = update_whole (e);

  if (err)
    return err;
  if (!am_transfer_budget_take (&e->transfer_budget, e->whole.len,
                                am_clock_us ()))
    return AM_E_RATE;
  reply->body = malloc (e->whole.len);
  if (!reply->body)
    return AM_E_MEMORY;
  memcpy (reply->body, e->whole.data, e->whole.len);
  reply->body_len = e->whole.len;
  return AM_OK;
}

/* Returns true if the replica is old: it was neither confirmed lately nor
   listed at a recent start.  */
static bool
is_stale (const struct am_entry *e)
{
  return am_store_sync_age (&e->sync, am_clock_us ()) > AM_STORE_SYNC_STALE_US;
}

static void
handle_members (struct am_entry *e, struct am_http_reply *reply)
{
  int err = append_members (e, &reply->body, &reply->body_len);

  reply->status = err ? 503 : 200;
}

void
am_entry_changes_handle (void *userdata, const char *path,
                         struct am_http_reply *reply)
{
  struct am_entry *e = userdata;
  uint64_t after;
  int err;

  if (strcmp (path, AM_ENTRY_MEMBERS_PATH) == 0)
    {
      handle_members (e, reply);
      return;
    }
  reply->status = 404;
  if (strncmp (path, AM_ENTRY_CHANGES_PATH, strlen (AM_ENTRY_CHANGES_PATH))
      != 0)
    return;
  reply->status = 503;
  if (!e->replica.revision
      || (strstr (path, AM_ENTRY_CHANGES_RECENT) && is_stale (e)))
    return;
  after = strtoull (path + strlen (AM_ENTRY_CHANGES_PATH), NULL, 10);
  err = am_replica_has_changes_since (&e->replica, after)
            ? append_changes (e, after, false, &reply->body, &reply->body_len)
            : reply_whole (e, reply);
  if (!err)
    err = append_members (e, &reply->body, &reply->body_len);
  if (!err)
    reply->status = 200;
}
