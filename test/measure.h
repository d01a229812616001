/* Options and figures of tests that also run as measurements.  */

#ifndef AM_TEST_MEASURE_H
#define AM_TEST_MEASURE_H

#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Returns the value that follows NAME in pairs of option and value, the last
   one if there are several, or FALLBACK.  */
static inline const char *
measure_option (int argc, char **argv, const char *name, const char *fallback)
{
  for (int i = 1; i + 1 < argc; i += 2)
    if (strcmp (argv[i], name) == 0)
      fallback = argv[i + 1];
  return fallback;
}

/* Returns the processor time of this process in seconds.  */
static inline double
measure_processor (void)
{
  struct timespec t;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static inline int
measure_by_value (const void *a, const void *b)
{
  const double *x = a;
  const double *y = b;

  return *x < *y ? -1 : *x > *y;
}

/* Sorts the N values and returns the one in the middle.  */
static inline double
measure_median (double *values, size_t n)
{
  qsort (values, n, sizeof values[0], measure_by_value);
  return values[n / 2];
}

#endif
