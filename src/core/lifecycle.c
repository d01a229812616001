#include "core/lifecycle.h"

#include "core/binding/binding.h"
#include "core/ownership/ticketless.h"
#include "core/placement/flow_setup.h"
#include "core/requests/request.h"

void
am_lifecycle_stop (struct am_dispatch *d)
{
  struct am_board *b = &d->board;

  if (b->stopping)
    return;
  b->stopping = true;
  b->stopping_since_us = b->now_us;
  am_board_decision (b, 0, "event=stopping requests=%zu opens=%zu",
                     am_requests_in_progress (b), am_flow_setup_pending (b));
}

static bool
bindings_may_exit (struct am_board *b)
{
  am_list_each (s, &b->services, struct am_service, node)
  {
    if (!s->binding->may_exit (b, s))
      return false;
  }
  return true;
}

void
am_lifecycle_tick (struct am_dispatch *d)
{
  struct am_board *b = &d->board;
  struct am_action a = { .type = AM_ACTION_EXIT };

  if (!b->stopping || d->exit_emitted)
    return;
  if (b->now_us - b->stopping_since_us < AM_STOP_MINIMUM_US)
    return;
  if (am_flow_setup_pending (b) > 0 || !bindings_may_exit (b)
      || !am_requests_may_exit (b) || !am_ticketless_may_exit (b))
    return;
  d->exit_emitted = true;
  am_board_decision (b, 0, "event=stopped after_us=%llu",
                     (unsigned long long)(b->now_us - b->stopping_since_us));
  am_board_emit (b, &a);
}
