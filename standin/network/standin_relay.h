/* Faults of the relay: what happens to one datagram or piece of a stream.  */

#ifndef AM_STANDIN_RELAY_H
#define AM_STANDIN_RELAY_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/rng.h"

struct standin_silenced;

struct standin_faults
{
  struct am_rng rng;
  double loss;
  double duplicate;
  double reorder;
  uint64_t delay_ms;
  uint64_t jitter_ms;
  bool cut_up;   /* towards the target */
  bool cut_down; /* from the target */

  struct standin_silenced *flows; /* connection ids seen so far */
  uint64_t passed;
  uint64_t lost;
  uint64_t duplicated;
  uint64_t reordered;
  uint64_t cut;
  uint64_t silenced;
};

/* What to do with a datagram: send COPIES of it, each after its delay.  */
struct standin_fate
{
  unsigned copies; /* 0: drop; at most 2 */
  uint64_t delay_us[2];
};

void standin_faults_init (struct standin_faults *f, uint64_t seed);
void standin_faults_finish (struct standin_faults *f);

/* Decides about the LEN bytes at DATA, which go UP or down.  */
struct standin_fate standin_faults_decide (struct standin_faults *f, bool up,
                                           const uint8_t *data, size_t len);

/* Returns the delay of one piece of a stream in microseconds.  */
uint64_t standin_faults_delay (struct standin_faults *f);

/* Carries out a command: loss, duplicate, reorder, delay, jitter, cut,
   cut-up, cut-down, restore, silence, stats.  Returns a new JSON value, or
   NULL if it is not understood.  */
json_t *standin_faults_command (struct standin_faults *f, char *const *words,
                                int count);

#endif
