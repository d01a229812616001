#include "core/placement/admission.h"

#include <stdlib.h>

#include "base/error.h"
#include "core/lending/quota.h"
#include "core/requests/retry_budget.h"

/* A new sample has a weight of 1/8 in the smoothed response time.  */
#define ANSWER_SMOOTHING 8u

/* A refusal lowers an estimate by 1/8 if its last sample is older than this.
   Lowering it at every refusal kept the estimate too low throughout an
   overload.  */
#define ESTIMATE_LIFE_US 1000000u
#define ESTIMATE_DECAY 8u

/* Deviations added to the response time, as in the retransmission timer of TCP
   (RFC 6298).  */
#define DEVIATION_FACTOR 4u

int
am_admission_prepare (struct am_service *s)
{
  if (s->queue)
    return AM_OK;
  s->queue = calloc (1, sizeof *s->queue);
  if (!s->queue)
    return AM_E_MEMORY;
  am_retry_budget_init (s);
  return AM_OK;
}

void
am_admission_finish (struct am_service *s)
{
  free (s->queue);
  s->queue = NULL;
}

static struct am_queue_class *
find_class (struct am_queue *q, uint32_t id)
{
  for (size_t i = 0; i < q->class_count; i++)
    {
      if (q->classes[i].id == id)
        return &q->classes[i];
    }
  return NULL;
}

/* Returns the queue of class ID, added if necessary.  If the table is full, an
   empty queue is reused, since classes may have been removed from the record;
   if none is empty, the last queue is shared.  */
static struct am_queue_class *
class_of (struct am_queue *q, uint32_t id)
{
  struct am_queue_class *c = find_class (q, id);

  if (c)
    return c;
  if (q->class_count < AM_CLASSES_MAX)
    {
      c = &q->classes[q->class_count++];
      am_list_init (&c->waiting);
    }
  else
    {
      c = &q->classes[AM_CLASSES_MAX - 1];
      for (size_t i = 0; i < AM_CLASSES_MAX && c->count; i++)
        {
          if (q->classes[i].count == 0)
            c = &q->classes[i];
        }
      if (c->count)
        return c;
    }
  c->id = id;
  c->answer_us = 0;
  c->deviation_us = 0;
  return c;
}

/* Returns the slots that this VM may use at upstreams that take new work.  */
static uint64_t
usable_slots (const struct am_board *b, const struct am_service *s)
{
  uint64_t n = 0;

  am_list_each (u, &s->upstreams, struct am_upstream, node)
  {
    if (u->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE
        && !u->health.ejected && b->now_us >= u->health.avoid_until_us)
      n += am_quota_slots (u);
  }
  return n;
}

/* Returns the priority level of R; the lowest level is sent first.  */
static int64_t
level (const struct am_request *r)
{
  return (int64_t)r->priority - (r->weight >= 2 ? 1 : 0);
}

static struct am_request *
head (const struct am_queue_class *c)
{
  return am_container_of (c->waiting.next, struct am_request, wait);
}

/* Returns true if the head of C is to be sent before that of OTHER.  BYPASSED
   gives precedence to the lower class.  */
static bool
precedes (const struct am_queue_class *c, const struct am_queue_class *other,
          bool bypassed)
{
  const struct am_request *r = head (c);
  const struct am_request *o = head (other);

  if (level (r) != level (o))
    return bypassed ? level (r) > level (o) : level (r) < level (o);
  return r->arrived_us < o->arrived_us;
}

/* Returns the sum of the expected response times of the requests that would be
   sent before R, in microseconds.  */
static uint64_t
work_ahead_us (const struct am_queue *q, const struct am_queue_class *own,
               const struct am_request *r)
{
  uint64_t sum = 0;

  for (size_t i = 0; i < q->class_count; i++)
    {
      const struct am_queue_class *c = &q->classes[i];

      if (c->count && (c == own || level (head (c)) <= level (r)))
        sum += c->count * c->answer_us;
    }
  return sum;
}

static uint64_t
time_left (const struct am_board *b, const struct am_request *r)
{
  return r->deadline_us > b->now_us ? r->deadline_us - b->now_us : 0;
}

static void
lower_estimate (const struct am_board *b, struct am_queue_class *c)
{
  if (b->now_us - c->sampled_us < ESTIMATE_LIFE_US)
    return;
  c->answer_us -= c->answer_us / ESTIMATE_DECAY;
  c->deviation_us -= c->deviation_us / ESTIMATE_DECAY;
}

static uint64_t
wait_limit (const struct am_board *b, const struct am_request *r)
{
  uint64_t share = time_left (b, r) / AM_QUEUE_WAIT_DEADLINE_DIVISOR;

  return share > AM_QUEUE_WAIT_MIN_US ? share : AM_QUEUE_WAIT_MIN_US;
}

int
am_admission_check (const struct am_board *b, struct am_service *s,
                    const struct am_request *r, uint32_t limit)
{
  struct am_queue_class *c = class_of (s->queue, r->class_id);
  uint64_t slots;
  uint64_t wait_us;
  int error = AM_OK;

  if (c->count >= (limit ? limit : AM_QUEUE_LIMIT_DEFAULT))
    return AM_E_QUEUE_FULL;
  if (s->queue->count == 0)
    return AM_OK;
  slots = usable_slots (b, s);
  if (slots == 0)
    return AM_OK;
  wait_us = work_ahead_us (s->queue, c, r) / slots;
  if (wait_us + c->answer_us > time_left (b, r))
    error = AM_E_DEADLINE;
  else if (wait_us > wait_limit (b, r))
    error = AM_E_QUEUE_FULL;
  if (error)
    lower_estimate (b, c);
  return error;
}

void
am_admission_push (struct am_service *s, struct am_request *r, bool front)
{
  struct am_queue_class *c = class_of (s->queue, r->class_id);

  if (front)
    am_list_push_front (&c->waiting, &r->wait);
  else
    am_list_push_back (&c->waiting, &r->wait);
  r->queued_in = c;
  c->count++;
  s->queue->count++;
}

void
am_admission_remove (struct am_service *s, struct am_request *r)
{
  if (am_list_empty (&r->wait))
    return;
  am_list_remove (&r->wait);
  r->queued_in->count--;
  s->queue->count--;
}

struct am_request *
am_admission_next (const struct am_service *s)
{
  const struct am_queue_class *best = NULL;
  bool bypassed;

  if (!s->queue || s->queue->count == 0)
    return NULL;
  bypassed = s->queue->bypass_count >= AM_PRIORITY_BYPASS_MAX;
  for (size_t i = 0; i < s->queue->class_count; i++)
    {
      const struct am_queue_class *c = &s->queue->classes[i];

      if (c->count && (!best || precedes (c, best, bypassed)))
        best = c;
    }
  return head (best);
}

void
am_admission_sent (struct am_service *s, const struct am_request *r)
{
  bool lower_waits = false;

  for (size_t i = 0; i < s->queue->class_count; i++)
    {
      const struct am_queue_class *c = &s->queue->classes[i];

      lower_waits |= c->count && level (head (c)) > level (r);
    }
  s->queue->bypass_count = lower_waits ? s->queue->bypass_count + 1 : 0;
}

bool
am_admission_meets_deadline (const struct am_board *b, struct am_service *s,
                             const struct am_request *r)
{
  struct am_queue_class *c = class_of (s->queue, r->class_id);

  if (c->answer_us + DEVIATION_FACTOR * c->deviation_us <= time_left (b, r))
    return true;
  lower_estimate (b, c);
  return false;
}

void
am_admission_answered (const struct am_board *b, struct am_service *s,
                       uint32_t class_id, uint64_t answer_us)
{
  struct am_queue_class *c;
  uint64_t deviation;

  if (!s->queue)
    return;
  c = class_of (s->queue, class_id);
  c->sampled_us = b->now_us;
  deviation = answer_us > c->answer_us ? answer_us - c->answer_us
                                       : c->answer_us - answer_us;
  if (c->answer_us == 0)
    c->answer_us = answer_us;
  else
    c->deviation_us = (c->deviation_us * (ANSWER_SMOOTHING - 1) + deviation)
                      / ANSWER_SMOOTHING;
  c->answer_us
      = (c->answer_us * (ANSWER_SMOOTHING - 1) + answer_us) / ANSWER_SMOOTHING;
}
