#include "base/error.h"
#include "core/lending/quota.h"
#include "core/placement/admission.h"
#include "core/placement/choice.h"
#include "core/requests/request.h"
#include "core/requests/request_send.h"
#include "core/requests/request_transition.h"
#include "core/requests/request_table.h"
#include "core/requests/retry_budget.h"

/* Answers, refusals and lost connections from upstreams.  */

/* Number of refusals by upstreams after which a request ends as refused.  Each
   refusal causes a back-off; this many mean that no upstream has a free slot.
 */
#define REFUSALS_MAX 8u

static void
handle_answer (struct am_board *b, struct am_request *r, struct am_upstream *u,
               const uint8_t *answer, size_t len)
{
  uint64_t took_us = b->now_us - r->sent_us;

  am_request_table_release_slot (b, r);
  am_health_ok (b, u, took_us);
  am_admission_answered (b, r->service, r->class_id, took_us);
  am_retry_budget_add_success (r->service);
  if (!am_request_apply_event (b, r, AM_REQUEST_ON_ANSWER, AM_OK))
    return;
  b->requests->last_reply_us = b->now_us;
  am_request_table_cache_answer (b->requests, r, answer, len);
  am_reply_segments (b, r, answer, len, 0);
}

/* U has not run R: queues R again for another upstream.  */
static void
requeue_refused (struct am_board *b, struct am_request *r,
                 const struct am_upstream *u, int error)
{
  am_request_table_release_slot (b, r);
  if (r->state != AM_REQUEST_SENT)
    return;
  r->moves++;
  b->counters.moved++;
  am_board_decision (b, r->connection_id,
                     "event=request_refused request=%llu flow=%llu service=%s "
                     "upstream=%s reason=%s moves=%u revision=%llu",
                     (unsigned long long)r->serial,
                     (unsigned long long)r->connection_id, r->service->name,
                     u->name, am_error_name (error), r->moves,
                     (unsigned long long)r->service->revision);
  am_request_requeue (b, r, AM_REQUEST_ON_SHED);
  if (r->state == AM_REQUEST_QUEUED && r->moves >= REFUSALS_MAX)
    am_request_apply_event (b, r, AM_REQUEST_ON_REFUSE, error);
}

static void
handle_refusal (struct am_board *b, struct am_request *r,
                struct am_upstream *u, int error)
{
  if (error != AM_E_CANCELLED && error != AM_E_DEADLINE)
    am_health_refused (b, u);
  requeue_refused (b, r, u, error);
}

int
am_requests_upstream_packet (struct am_board *b, struct am_upstream *u,
                             const struct am_packet *p)
{
  struct am_outcome_body o = { 0 };
  struct am_request *r;

  if (p->type != AM_PACKET_ANSWER && p->type != AM_PACKET_OUTCOME)
    return AM_E_FORMAT;
  if (p->body_len < AM_LOAD_SIZE
      || p->body_len > AM_LOAD_SIZE + AM_ANSWER_SIZE_MAX)
    return AM_E_FORMAT;
  if (p->type == AM_PACKET_OUTCOME
      && am_outcome_body_decode (&o, p->body + AM_LOAD_SIZE,
                                 p->body_len - AM_LOAD_SIZE))
    return AM_E_FORMAT;
  r = am_request_table_find_by_sequence (b->requests, u, p->sequence,
                                         p->connection_id);
  if (!r)
    {
      b->requests->dropped++;
      return AM_OK;
    }
  if (p->type == AM_PACKET_ANSWER)
    handle_answer (b, r, u, p->body + AM_LOAD_SIZE,
                   p->body_len - AM_LOAD_SIZE);
  else if (o.outcome == AM_OUTCOME_NOT_RUN)
    handle_refusal (b, r, u, o.error);
  else
    {
      am_request_table_release_slot (b, r);
      am_request_retry_or_fail (b, r, o.error);
    }
  am_request_send_queued (b, u->service);
  return AM_OK;
}

static bool
has_sent_requests (const struct am_board *b, const struct am_upstream *u)
{
  am_list_each (r, &b->requests->held, struct am_request, held)
  {
    if (r->upstream == u)
      return true;
  }
  return false;
}

/* Fails or retries the requests sent to U, whose answers can no longer be
   matched.  */
static void
fail_upstream_requests (struct am_board *b, struct am_upstream *u, int error)
{
  am_list_each_safe (r, next, &b->requests->held, struct am_request, held)
  {
    if (r->upstream != u)
      continue;
    am_request_table_release_slot (b, r);
    am_request_retry_or_fail (b, r, error);
  }
}

static struct am_upstream *
find_upstream (struct am_board *b, uint32_t service_id, uint32_t upstream_id)
{
  struct am_service *s = am_board_service (b, service_id);

  return s ? am_service_upstream (s, upstream_id) : NULL;
}

void
am_requests_connection_lost (struct am_board *b, uint32_t service_id,
                             uint32_t upstream_id)
{
  struct am_upstream *u = find_upstream (b, service_id, upstream_id);

  /* An upstream that closes an idle connection has not failed.  */
  if (!u || !has_sent_requests (b, u))
    return;
  am_health_failed (b, u);
  fail_upstream_requests (b, u, AM_E_CONNECTION);
  am_request_send_queued (b, u->service);
}

void
am_requests_connection_failed (struct am_board *b, uint32_t service_id,
                               uint32_t upstream_id)
{
  struct am_upstream *u = find_upstream (b, service_id, upstream_id);

  if (!u)
    return;
  am_health_failed (b, u);
  am_list_each_safe (r, next, &b->requests->held, struct am_request, held)
  {
    if (r->upstream == u)
      requeue_refused (b, r, u, AM_E_CONNECTION);
  }
  am_request_send_queued (b, u->service);
}

void
am_requests_upstream_removed (struct am_board *b, struct am_upstream *u)
{
  fail_upstream_requests (b, u, AM_E_UPSTREAM_UNKNOWN);
  am_quota_upstream_removed (b, u);
}
