#include "io/clock.h"

#include <time.h>

uint64_t
am_clock_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (uint64_t)t.tv_sec * 1000000000u + (uint64_t)t.tv_nsec;
}

uint64_t
am_clock_us (void)
{
  return am_clock_ns () / 1000u;
}

uint64_t
am_clock_wall_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  return (uint64_t)t.tv_sec * 1000u + (uint64_t)t.tv_nsec / 1000000u;
}
