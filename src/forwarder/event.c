#include "base/error.h"
#include "forwarder/forwarder.h"
#include "io/clock.h"

static void
record (struct am_forwarder *f, const struct am_event *e)
{
  if (!f->recording || am_event_log_write (&f->events, e) == AM_OK)
    return;
  am_log_line (&f->log, AM_LOG_ERROR, "event=recording_failed");
  f->recording = false;
}

int
am_forwarder_event (struct am_forwarder *f, struct am_event *e)
{
  uint64_t start_ns;
  int err;

  /* First, so that a pause here makes times on the wall clock early.  */
  e->wall_ms = am_clock_wall_ms ();
  start_ns = am_clock_ns ();

  e->now_us = start_ns / 1000u;
  record (f, e);
  err = am_dispatch_event (&f->dispatch, e);
  am_histogram_add (&f->durations[e->type], am_clock_ns () - start_ns);
  return err;
}

bool
am_forwarder_stop (struct am_forwarder *f)
{
  struct am_event e = { .type = AM_EVENT_STOP };

  if (f->dispatch.board.stopping)
    return false;
  am_log_line (&f->log, AM_LOG_NOTICE, "event=stopping");
  (void)am_forwarder_event (f, &e);
  return true;
}
