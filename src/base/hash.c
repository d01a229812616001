#include "base/hash.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

uint32_t
am_hash_name (const char *name)
{
  uint32_t h = XXH32 (name, strlen (name), 0);

  return h ? h : 1;
}

uint64_t
am_hash_bytes (const void *data, size_t len, uint64_t seed)
{
  return XXH64 (data, len, seed);
}

uint64_t
am_hash_rendezvous (uint64_t key, uint32_t node)
{
  uint64_t pair[2] = { key, node };

  return XXH64 (pair, sizeof pair, 0);
}

double
am_hash_rendezvous_weighted (uint64_t key, uint32_t node, double weight)
{
  double u;

  if (weight <= 0)
    return -HUGE_VAL;
  u = ((double)(am_hash_rendezvous (key, node) >> 11) + 0.5) * 0x1.0p-53;
  return weight / -log (u);
}
