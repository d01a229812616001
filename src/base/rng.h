/* Seeded pseudo-random generator (SplitMix64).

   The state is handed in by the caller, so the same seed gives the same
   sequence.  Not for secrets.  */

#ifndef AM_BASE_RNG_H
#define AM_BASE_RNG_H

#include <stdint.h>

struct am_rng
{
  uint64_t state;
};

static inline void
am_rng_init (struct am_rng *r, uint64_t seed)
{
  r->state = seed;
}

/* Returns the next 64 bits.  */
static inline uint64_t
am_rng_next (struct am_rng *r)
{
  uint64_t z = (r->state += 0x9e3779b97f4a7c15u);

  z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9u;
  z = (z ^ z >> 27) * 0x94d049bb133111ebu;
  return z ^ z >> 31;
}

/* Returns a number in [0, N).  N must be greater than zero.  */
static inline uint32_t
am_rng_below (struct am_rng *r, uint32_t n)
{
  return (uint32_t)((am_rng_next (r) >> 32) * n >> 32);
}

/* Returns a number in [0, 1).  */
static inline double
am_rng_unit (struct am_rng *r)
{
  return (double)(am_rng_next (r) >> 11) * 0x1.0p-53;
}

#endif
