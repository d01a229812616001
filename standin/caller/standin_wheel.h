/* Many coarse timers on one tick: a wheel of lists.

   A timer fires at the first turn at or after its due time.  Setting and
   cancelling take constant time.  */

#ifndef AM_STANDIN_WHEEL_H
#define AM_STANDIN_WHEEL_H

#include <stdint.h>

#include "base/list.h"

#define STANDIN_WHEEL_SLOTS 512

struct standin_timer
{
  struct am_list node;
  uint64_t due_us;
  /* May set, cancel or free T.  */
  void (*fire) (struct standin_timer *t, uint64_t now_us);
};

struct standin_wheel
{
  struct am_list slots[STANDIN_WHEEL_SLOTS];
  uint64_t tick_us;
  uint64_t at; /* number of the last tick */
};

void standin_wheel_init (struct standin_wheel *w, uint64_t tick_us,
                         uint64_t now_us);

/* Initialises T, unset.  */
void standin_timer_init (struct standin_timer *t,
                         void (*fire) (struct standin_timer *, uint64_t));

/* Sets T, which may be set already, to DUE_US.  */
void standin_timer_set (struct standin_wheel *w, struct standin_timer *t,
                        uint64_t due_us);
void standin_timer_cancel (struct standin_timer *t);

/* Fires what is due at NOW_US.  */
void standin_wheel_turn (struct standin_wheel *w, uint64_t now_us);

#endif
