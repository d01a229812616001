#include <string.h>

#include "base/error.h"
#include "core/binding/tracked.h"
#include "core/binding/tracked_batch.h"
#include "wire/bytes.h"

#define ACK_SIZE 5

/* Maximum number of queued flows that are examined to fill a batch, since the
   destination differs between buckets.  The more flows are sorted, the smaller
   their encoding.  */
#define SCAN_MAX 2048

/* IPv4 and UDP headers.  */
#define DATAGRAM_HEADERS_SIZE 28

#define MICROSECONDS 1e6

/* Returns the member to which flows of K are copied, or NULL.  */
static const struct am_member *
destination (struct am_board *b, const struct am_tracked_bucket *k)
{
  uint32_t id = am_tracked_is_owner (b, k) ? k->backup_id : k->owner_id;
  const struct am_member *m = id ? am_board_member (b, id) : NULL;

  return m && m->id != b->self.id ? m : NULL;
}

/* Collects queued flows with the destination and kind of the first one into
   LIST of SCAN_MAX.  Returns the destination or NULL if there is none.  */
static const struct am_member *
collect (struct am_board *b, struct am_tracked *t,
         struct am_tracked_flow **list, size_t *n)
{
  const struct am_member *to = NULL;
  int scanned = 0;

  *n = 0;
  am_list_each_safe (f, next, &t->copy_queue, struct am_tracked_flow,
                     copy_node)
  {
    const struct am_member *m = destination (b, &t->buckets[f->bucket]);

    if (scanned++ == SCAN_MAX)
      break;
    if (!m)
      am_list_remove (&f->copy_node);
    else if (!to || (m == to && f->hint == list[0]->hint))
      {
        to = m;
        list[(*n)++] = f;
      }
  }
  return to;
}

/* Moves queued flows of one destination into BATCH.  Returns the destination
   or NULL if there are none.  */
static const struct am_member *
fill_batch (struct am_board *b, struct am_tracked *t,
            struct am_tracked_batch *batch)
{
  struct am_tracked_flow *list[SCAN_MAX];
  size_t n;
  const struct am_member *to = collect (b, t, list, &n);

  if (!to)
    return NULL;
  am_tracked_batch_sort (list, n);
  batch->body[0] = list[0]->hint ? AM_TRACKED_HINTS : AM_TRACKED_COPY;
  batch->count = am_tracked_batch_fill (batch, list, n);
  for (size_t i = 0; i < batch->count; i++)
    am_list_remove (&list[i]->copy_node);
  return to;
}

static void
refill_tokens (struct am_board *b)
{
  double passed = (double)(b->now_us - b->copy_at_us) / MICROSECONDS;

  if (b->copy_at_us == 0)
    b->copy_tokens = AM_TRACKED_COPY_BURST;
  else
    b->copy_tokens += passed * AM_TRACKED_COPY_RATE;
  if (b->copy_tokens > AM_TRACKED_COPY_BURST)
    b->copy_tokens = AM_TRACKED_COPY_BURST;
  b->copy_at_us = b->now_us ? b->now_us : 1;
}

/* Returns true if a batch may be sent now.  A planned stop is not limited.  */
static bool
may_send (const struct am_board *b)
{
  return b->stopping
         || b->copy_tokens >= AM_TRACKED_BATCH_SIZE + AM_PEER_HEADER_SIZE
                                  + DATAGRAM_HEADERS_SIZE;
}

static void
send_batch (struct am_board *b, struct am_service *s,
            struct am_tracked_batch *batch, const struct am_member *to)
{
  batch->sent_us = b->now_us;
  b->copy_tokens
      -= (double)(batch->len + AM_PEER_HEADER_SIZE + DATAGRAM_HEADERS_SIZE);
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
  batch->retransmits = 0;
  am_put_u32 (batch->body + 1, batch->sequence);
  send_batch (b, s, batch, to);
}

static void
retransmit_batch (struct am_board *b, struct am_service *s,
                  struct am_tracked_batch *batch)
{
  const struct am_member *to = am_board_member (b, batch->to_id);

  if (b->now_us - batch->sent_us < AM_TRACKED_RETRANSMIT_US || !may_send (b))
    return;
  if (!to || batch->retransmits >= AM_TRACKED_RETRANSMITS_MAX)
    {
      am_board_decision (b, 0,
                         "event=copy_lost service=%s to=%u flows=%zu "
                         "revision=%llu",
                         s->name, batch->to_id, batch->count,
                         (unsigned long long)s->revision);
      batch->sequence = 0;
      return;
    }
  batch->retransmits++;
  send_batch (b, s, batch, to);
}

static void
start_handover (struct am_board *b, struct am_service *s)
{
  struct am_tracked *t = s->binding_state;
  unsigned planned = 0;

  t->handing_over = true;
  am_list_each (f, &t->by_idle_time, struct am_tracked_flow, node)
  {
    if (f->owned)
      {
        am_tracked_queue_copy (t, f);
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

  refill_tokens (b);
  if (b->stopping && !t->handing_over)
    start_handover (b, s);
  for (size_t i = 0; i < AM_TRACKED_WINDOW_MAX; i++)
    if (t->batches[i].sequence)
      retransmit_batch (b, s, &t->batches[i]);
  for (size_t i = 0; i < AM_TRACKED_WINDOW_MAX; i++)
    if (!t->batches[i].sequence && may_send (b))
      start_batch (b, s, &t->batches[i]);
}

struct receiver
{
  struct am_board *board;
  struct am_service *service;
  bool hints;
};

/* Adds or updates a received flow.  A copy from an owner replaces any binding
   here, a hint only a provisional one.  */
static void
apply_flow (void *userdata, uint64_t key, uint32_t id, uint32_t incarnation)
{
  struct receiver *r = userdata;
  struct am_board *b = r->board;
  struct am_service *s = r->service;
  struct am_address caller = { (uint32_t)(key >> 16), (uint16_t)key };
  struct am_tracked_flow *f;

  if (!am_tracked_find_upstream (s, id, incarnation)
      && !am_tracked_is_newer (s, id, incarnation))
    return;
  f = am_tracked_find (s->binding_state, caller);
  if (f && r->hints && !am_tracked_is_provisional (b, f))
    return;
  if (!f)
    f = am_tracked_add (b, s, caller);
  if (!f)
    return;
  am_tracked_touch (b, s->binding_state, f);
  am_tracked_bind (b, s, f, id, incarnation);
}

int
am_tracked_copy_receive (struct am_board *b, struct am_service *s,
                         uint32_t sender_id, const uint8_t *body, size_t len)
{
  const struct am_member *sender = am_board_member (b, sender_id);
  struct receiver r = { b, s, len > 0 && body[0] == AM_TRACKED_HINTS };
  uint8_t ack[ACK_SIZE];
  int err = am_tracked_batch_parse (body, len, apply_flow, &r);

  if (err || !sender)
    return err;
  ack[0] = AM_TRACKED_COPY_ACK;
  memcpy (ack + 1, body + 1, 4);
  am_board_send_peer (b, sender, AM_PEER_BINDING, s->id, ack, sizeof ack);
  return AM_OK;
}

int
am_tracked_copy_receive_ack (struct am_tracked *t, const uint8_t *body,
                             size_t len)
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
