#include "core/requests/request_transition.h"

#include "base/error.h"
#include "core/lending/quota.h"
#include "core/ownership/ticketless.h"
#include "core/placement/admission.h"
#include "core/placement/choice.h"
#include "core/requests/request_send.h"
#include "core/requests/retry_budget.h"

#define NS_PER_US 1000u

static bool
in_progress (enum am_request_state state)
{
  return state == AM_REQUEST_QUEUED || state == AM_REQUEST_SENT;
}

static void
count_final (struct am_board *b, const struct am_request *r)
{
  if (r->state == AM_REQUEST_ANSWERED)
    b->counters.answers++;
  else if (r->state == AM_REQUEST_NOT_RUN)
    b->counters.not_run++;
  else
    b->counters.unknown++;
}

bool
am_request_apply_event (struct am_board *b, struct am_request *r,
                        enum am_request_event event, int error)
{
  enum am_request_state old = r->state;
  enum am_request_state state = am_request_next (old, event, r->may_have_run);

  if (state == old)
    return false;
  r->state = state;
  b->requests->in_progress += in_progress (state);
  b->requests->in_progress -= in_progress (old);
  if (state != AM_REQUEST_QUEUED)
    am_admission_remove (r->service, r);
  if (!am_request_is_final (state))
    return true;
  r->error = error;
  count_final (b, r);
  if (r->owned)
    am_ticketless_request_ended (b, r);
  am_board_decision (b, r->connection_id,
                     "event=request_ended request=%llu flow=%llu service=%s "
                     "state=%s reason=%s revision=%llu",
                     (unsigned long long)r->serial,
                     (unsigned long long)r->connection_id, r->service->name,
                     am_request_state_name (state), am_error_name (error),
                     (unsigned long long)r->service->revision);
  if (state != AM_REQUEST_ANSWERED)
    am_reply_final (b, r, 0);
  am_request_table_retain (b, r);
  return true;
}

void
am_request_requeue (struct am_board *b, struct am_request *r,
                    enum am_request_event event)
{
  if (!am_request_apply_event (b, r, event, AM_OK))
    return;
  r->queued_us = b->now_us;
  am_admission_push (r->service, r, true);
  if (r->cancelled)
    am_request_apply_event (b, r, AM_REQUEST_ON_CANCEL, AM_E_CANCELLED);
  else if (b->now_us >= r->deadline_us)
    am_request_apply_event (b, r, AM_REQUEST_ON_DEADLINE, AM_E_DEADLINE);
}

void
am_request_retry_or_fail (struct am_board *b, struct am_request *r, int error)
{
  bool late = b->now_us >= r->deadline_us;

  if (r->state != AM_REQUEST_SENT)
    return;
  if (r->one_time || r->cancelled || late)
    {
      am_request_apply_event (b, r, AM_REQUEST_ON_LOST, error);
      return;
    }
  if (!am_retry_budget_take (r->service))
    {
      b->counters.retries_denied++;
      am_request_apply_event (b, r, AM_REQUEST_ON_LOST, AM_E_BUDGET);
      return;
    }
  b->counters.retries++;
  r->may_have_run = true;
  am_board_decision (b, r->connection_id,
                     "event=request_retried request=%llu flow=%llu service=%s "
                     "reason=%s revision=%llu",
                     (unsigned long long)r->serial,
                     (unsigned long long)r->connection_id, r->service->name,
                     am_error_name (error),
                     (unsigned long long)r->service->revision);
  am_request_requeue (b, r, AM_REQUEST_ON_RETRY);
}

static void
send_to_upstream (struct am_board *b, struct am_request *r,
                  struct am_upstream *u)
{
  am_request_apply_event (b, r, AM_REQUEST_ON_SEND, AM_OK);
  am_admission_sent (r->service, r);
  am_histogram_add (&b->queue_wait, (b->now_us - r->queued_us) * NS_PER_US);
  am_request_table_acquire_slot (b, r, u);
  am_board_decision (b, r->connection_id,
                     "event=request_sent request=%llu flow=%llu service=%s "
                     "upstream=%s policy=%s moves=%u waited_us=%llu "
                     "revision=%llu",
                     (unsigned long long)r->serial,
                     (unsigned long long)r->connection_id, r->service->name,
                     u->name, r->service->choice->name, r->moves,
                     (unsigned long long)(b->now_us - r->arrived_us),
                     (unsigned long long)r->service->revision);
  am_request_forward (b, r);
}

/* Sends R or ends it.  Returns false if it has to wait for a slot; no other
   request can be sent then.  */
static bool
try_send (struct am_board *b, struct am_service *s, struct am_request *r)
{
  struct am_upstream *last = NULL;
  struct am_upstream *u;
  int error;

  if (b->now_us >= r->deadline_us)
    return am_request_apply_event (b, r, AM_REQUEST_ON_DEADLINE,
                                   AM_E_DEADLINE);
  if (r->owned && !am_ticketless_not_after_us (b, s->id))
    return am_request_apply_event (b, r, AM_REQUEST_ON_DEADLINE,
                                   AM_E_NO_OWNER);
  if (!am_admission_meets_deadline (b, s, r))
    return am_request_apply_event (b, r, AM_REQUEST_ON_REFUSE, AM_E_DEADLINE);
  if (r->last_upstream_id)
    last = am_service_upstream (s, r->last_upstream_id);
  error = am_choice_pick (b, s, AM_WORK_REQUEST, last, r->connection_id, &u);
  if (error == AM_E_LIMIT)
    am_quota_borrow (b, s);
  if (error)
    return false;
  send_to_upstream (b, r, u);
  return true;
}

void
am_request_send_queued (struct am_board *b, struct am_service *s)
{
  struct am_request *r;

  while ((r = am_admission_next (s)) && try_send (b, s, r))
    continue;
}
