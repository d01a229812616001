#include "agent/agent.h"
#include "base/error.h"
#include "io/clock.h"

void
am_agent_event (struct am_agent *a, struct am_control_event *e)
{
  int err;

  e->now_us = am_clock_us ();
  err = am_control_event (a->control, e);
  if (err && e->type != AM_CONTROL_STORE)
    am_log_line (&a->log, AM_LOG_DEBUG, "event=refused type=%d error=%s",
                 e->type, am_error_name (err));
}
