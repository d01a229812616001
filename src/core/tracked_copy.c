#include <string.h>

#include "base/error.h"
#include "core/tracked.h"
#include "wire/bytes.h"

/* kind, sequence, count */
#define BATCH_HEADER_SIZE 6

/* address, port, upstream, incarnation */
#define ENTRY_SIZE 14

#define ACK_SIZE 5

/* A batch is filled from at most this many waiting flows, since each bucket
   has its own next owner.  */
#define SCAN_MAX 2048

void
am_tracked_copy_plan (struct am_tracked *t, struct am_tracked_flow *f)
{
  am_list_remove (&f->copy_node);
  am_list_push_back (&t->copy_queue, &f->copy_node);
}

/* Returns the member that needs a copy of a flow of K, or NULL.  */
static const struct am_member *
destination (struct am_board *b, const struct am_tracked_bucket *k)
{
  uint32_t id = am_tracked_is_owner (b, k) ? k->backup_id : k->owner_id;
  const struct am_member *m = id ? am_board_member (b, id) : NULL;

  return m && m->id != b->self.id ? m : NULL;
}

static void
put_entry (uint8_t *p, const struct am_tracked_flow *f)
{
  am_put_u32 (p, (uint32_t)(f->key >> 16));
  am_put_u16 (p + 4, (uint16_t)f->key);
  am_put_u32 (p + 6, f->upstream_id);
  am_put_u32 (p + 10, f->incarnation);
}

/* Moves waiting flows with the same destination as the first one into BATCH.
   Returns the destination or NULL if nothing was taken.  */
static const struct am_member *
fill_batch (struct am_board *b, struct am_tracked *t,
            struct am_tracked_batch *batch)
{
  const struct am_member *to = NULL;
  size_t count = 0;
  int scanned = 0;

  am_list_each_safe (f, next, &t->copy_queue, struct am_tracked_flow,
                     copy_node)
  {
    const struct am_member *m = destination (b, &t->buckets[f->bucket]);

    if (count == AM_TRACKED_BATCH_MAX || scanned++ == SCAN_MAX)
      break;
    if (m && to && m != to)
      continue;
    am_list_remove (&f->copy_node);
    if (!m)
      continue;
    to = m;
    put_entry (batch->body + BATCH_HEADER_SIZE + count++ * ENTRY_SIZE, f);
  }
  batch->body[0] = AM_TRACKED_COPY;
  batch->body[5] = (uint8_t)count;
  batch->len = BATCH_HEADER_SIZE + count * ENTRY_SIZE;
  return to;
}

static void
send_batch (struct am_board *b, struct am_service *s,
            struct am_tracked_batch *batch, const struct am_member *to)
{
  batch->sent_us = b->now_us;
  am_board_send_peer (b, to, AM_PEER_BINDING, s->id, batch->body, batch->len);
}

static void
start_batch (struct am_board *b, struct am_service *s,
             struct am_tracked_batch *batch)
{
  struct am_tracked *t = s->binding_state;
  const struct am_member *to = fill_batch (b, t, batch);

  if (!to)
    return;
  if (++t->copy_sequence == 0)
    t->copy_sequence = 1;
  batch->sequence = t->copy_sequence;
  batch->to_id = to->id;
  batch->resends = 0;
  am_put_u32 (batch->body + 1, batch->sequence);
  send_batch (b, s, batch, to);
}

static void
resend_batch (struct am_board *b, struct am_service *s,
              struct am_tracked_batch *batch)
{
  const struct am_member *to = am_board_member (b, batch->to_id);

  if (b->now_us - batch->sent_us < AM_TRACKED_RESEND_US)
    return;
  if (!to || batch->resends >= AM_TRACKED_RESENDS_MAX)
    {
      am_board_decision (b, 0,
                         "event=copy_lost service=%s to=%u flows=%u "
                         "revision=%llu",
                         s->name, batch->to_id, batch->body[5],
                         (unsigned long long)s->revision);
      batch->sequence = 0;
      return;
    }
  batch->resends++;
  send_batch (b, s, batch, to);
}

static void
start_handover (struct am_board *b, struct am_service *s)
{
  struct am_tracked *t = s->binding_state;
  unsigned planned = 0;

  t->handing_over = true;
  am_list_each (f, &t->by_age, struct am_tracked_flow, node)
  {
    if (f->owned)
      {
        am_tracked_copy_plan (t, f);
        planned++;
      }
  }
  am_board_decision (b, 0, "event=handover service=%s flows=%u revision=%llu",
                     s->name, planned, (unsigned long long)s->revision);
}

void
am_tracked_copy_tick (struct am_board *b, struct am_service *s)
{
  struct am_tracked *t = s->binding_state;
  size_t window = b->stopping ? AM_TRACKED_WINDOW_MAX : 1;

  if (b->stopping && !t->handing_over)
    start_handover (b, s);
  for (size_t i = 0; i < AM_TRACKED_WINDOW_MAX; i++)
    if (t->batches[i].sequence)
      resend_batch (b, s, &t->batches[i]);
  if (!b->stopping && b->now_us < t->next_batch_us)
    return;
  t->next_batch_us = b->now_us + AM_TRACKED_BATCH_INTERVAL_US;
  for (size_t i = 0; i < window; i++)
    if (!t->batches[i].sequence)
      start_batch (b, s, &t->batches[i]);
}

/* The sender was the owner: its word replaces what is known here.  */
static void
take_entry (struct am_board *b, struct am_service *s, const uint8_t *p)
{
  struct am_tracked *t = s->binding_state;
  struct am_address caller = { am_get_u32 (p), am_get_u16 (p + 4) };
  uint32_t id = am_get_u32 (p + 6);
  uint32_t incarnation = am_get_u32 (p + 10);
  struct am_tracked_flow *f;

  if (!am_tracked_upstream (s, id, incarnation)
      && !am_tracked_is_newer (s, id, incarnation))
    return;
  f = am_tracked_find (t, caller);
  if (!f)
    f = am_tracked_add (b, s, caller);
  if (!f)
    return;
  am_tracked_touch (b, t, f);
  am_tracked_assign (b, s, f, id, incarnation);
}

int
am_tracked_copy_receive (struct am_board *b, struct am_service *s,
                         uint32_t sender_id, const uint8_t *body, size_t len)
{
  const struct am_member *sender = am_board_member (b, sender_id);
  uint8_t ack[ACK_SIZE];
  size_t count;

  if (len < BATCH_HEADER_SIZE)
    return AM_E_SHORT;
  count = body[5];
  if (count > AM_TRACKED_BATCH_MAX
      || len != BATCH_HEADER_SIZE + count * ENTRY_SIZE)
    return AM_E_FORMAT;
  for (size_t i = 0; i < count; i++)
    take_entry (b, s, body + BATCH_HEADER_SIZE + i * ENTRY_SIZE);
  if (!sender)
    return AM_OK;
  ack[0] = AM_TRACKED_COPY_ACK;
  memcpy (ack + 1, body + 1, 4);
  am_board_send_peer (b, sender, AM_PEER_BINDING, s->id, ack, sizeof ack);
  return AM_OK;
}

int
am_tracked_copy_ack (struct am_tracked *t, const uint8_t *body, size_t len)
{
  uint32_t sequence;

  if (len != ACK_SIZE)
    return AM_E_FORMAT;
  sequence = am_get_u32 (body + 1);
  for (size_t i = 0; i < AM_TRACKED_WINDOW_MAX; i++)
    if (sequence && t->batches[i].sequence == sequence)
      t->batches[i].sequence = 0;
  return AM_OK;
}

bool
am_tracked_copy_done (const struct am_tracked *t)
{
  for (size_t i = 0; i < AM_TRACKED_WINDOW_MAX; i++)
    if (t->batches[i].sequence)
      return false;
  return am_list_empty (&t->copy_queue);
}
