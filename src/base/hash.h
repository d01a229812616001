/* Hashes used for ids, buckets and rendezvous (highest random weight)
   placement.  All are stable across versions and machines.  */

#ifndef AM_BASE_HASH_H
#define AM_BASE_HASH_H

#include <stddef.h>
#include <stdint.h>

/* Returns the id of a service or upstream: XXH32 of its NAME, seed 0.  Zero
   is never returned, so that zero can mean "none".  */
uint32_t am_hash_name (const char *name);

/* Returns a 64-bit hash of LEN bytes at DATA under SEED.  */
uint64_t am_hash_bytes (const void *data, size_t len, uint64_t seed);

/* Returns the rendezvous score of candidate NODE for KEY.  The candidate with
   the highest score is chosen.  */
uint64_t am_hash_rendezvous (uint64_t key, uint32_t node);

/* Returns the weighted rendezvous score of NODE for KEY.  A candidate wins
   with probability proportional to WEIGHT; weight zero never wins.  */
double am_hash_rendezvous_weighted (uint64_t key, uint32_t node,
                                    double weight);

#endif
