#include "io/clock.h"

#include <time.h>

static uint64_t
read_ns (clockid_t clock)
{
  struct timespec t;

  clock_gettime (clock, &t);
  return (uint64_t)t.tv_sec * 1000000000u + (uint64_t)t.tv_nsec;
}

uint64_t
am_clock_ns (void)
{
  return read_ns (CLOCK_MONOTONIC);
}

uint64_t
am_clock_us (void)
{
  return am_clock_ns () / 1000u;
}

uint64_t
am_clock_boot_us (void)
{
  return read_ns (CLOCK_BOOTTIME) / 1000u;
}

uint64_t
am_clock_wall_ms (void)
{
  return read_ns (CLOCK_REALTIME) / 1000000u;
}
