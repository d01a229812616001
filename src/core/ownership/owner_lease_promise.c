#include "core/ownership/owner_lease_internal.h"

uint64_t
am_lease_promised_until (const struct am_lease *l)
{
  uint64_t until = l->confirmed_us + AM_LEASE_OUTAGE_MAX_US;

  for (size_t i = 0; i < l->value.eligible_count; i++)
    {
      if (l->value.eligible[i] == l->self_id)
        continue;
      if (l->promises[i].until_us < until)
        until = l->promises[i].until_us;
    }
  return until > AM_LEASE_MARGIN_US ? until - AM_LEASE_MARGIN_US : 0;
}

void
am_lease_extend_grant (struct am_lease *l)
{
  uint64_t until = l->lease_until_us;
  uint64_t promised = l->outage ? am_lease_promised_until (l) : 0;

  if (promised > until)
    until = promised;
  if (until <= l->now_us || until <= l->grant.until_us)
    return;
  l->grant.until_us = until;
  am_lease_emit (l, AM_LEASE_NOTIFY_FORWARDER);
}

/* An acquisition that was sent cannot be revoked, so no promise is given from
   then until its session has ended.  */
static bool
may_promise (const struct am_lease *l, uint64_t epoch)
{
  return l->state <= AM_LEASE_READING && !am_lease_is_granted (l)
         && epoch >= l->highest_epoch
         && l->now_us - l->started_us >= AM_LEASE_SESSION_MAX_US;
}

void
am_lease_promise_requested (struct am_lease *l, uint64_t now_us, uint32_t from,
                            uint64_t question, uint64_t epoch)
{
  struct am_lease_action a = {
    .type = AM_LEASE_PROMISE, .call = question, .to = from, .epoch = epoch
  };

  l->now_us = now_us;
  if (!may_promise (l, epoch))
    return;
  l->highest_epoch = epoch;
  l->promised_until_us = now_us + AM_LEASE_PROMISE_US;
  l->sink.emit (l->sink.userdata, &a);
}

void
am_lease_promise_received (struct am_lease *l, uint64_t now_us, uint32_t from,
                           uint64_t question)
{
  l->now_us = now_us;
  for (size_t i = 0; i < l->value.eligible_count; i++)
    {
      struct am_lease_promise *p = &l->promises[i];

      if (l->value.eligible[i] != from || !p->question
          || p->question != question)
        continue;
      p->until_us = p->requested_us + AM_LEASE_PROMISE_US;
      p->question = 0;
    }
  if (l->state == AM_LEASE_HOLDING)
    am_lease_extend_grant (l);
}

void
am_lease_request_promises (struct am_lease *l)
{
  for (size_t i = 0; i < l->value.eligible_count; i++)
    {
      struct am_lease_promise *p = &l->promises[i];
      uint64_t wait
          = p->question ? AM_LEASE_RETRY_US : AM_LEASE_PROMISE_RENEW_US;
      struct am_lease_action a = { .type = AM_LEASE_REQUEST_PROMISE,
                                   .to = l->value.eligible[i],
                                   .epoch = l->grant.epoch };

      if (a.to == l->self_id
          || (p->requested_us && l->now_us - p->requested_us < wait))
        continue;
      p->requested_us = l->now_us;
      p->question = ++l->questions;
      a.call = p->question;
      l->sink.emit (l->sink.userdata, &a);
    }
}
