#include "flow/shutdown.h"

bool
am_shutdown_complete (const struct am_shutdown *s, uint64_t last_packet_us,
                      size_t queued, uint64_t now_us)
{
  uint64_t stopping_us = now_us - s->begin_us;

  if (!s->begin_us)
    return false;
  if (stopping_us >= s->limit_us)
    return true;
  return stopping_us >= AM_SHUTDOWN_MIN_US && !queued
         && now_us - last_packet_us >= AM_SHUTDOWN_QUIET_US;
}
