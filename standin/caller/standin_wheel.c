#include "caller/standin_wheel.h"

void
standin_wheel_init (struct standin_wheel *w, uint64_t tick_us, uint64_t now_us)
{
  for (int i = 0; i < STANDIN_WHEEL_SLOTS; i++)
    am_list_init (&w->slots[i]);
  w->tick_us = tick_us;
  w->at = now_us / tick_us;
}

void
standin_timer_init (struct standin_timer *t,
                    void (*fire) (struct standin_timer *, uint64_t))
{
  am_list_init (&t->node);
  t->due_us = 0;
  t->fire = fire;
}

void
standin_timer_set (struct standin_wheel *w, struct standin_timer *t,
                   uint64_t due_us)
{
  uint64_t tick = (due_us + w->tick_us - 1) / w->tick_us;

  if (tick <= w->at)
    tick = w->at + 1;
  t->due_us = due_us;
  am_list_remove (&t->node);
  am_list_push_back (&w->slots[tick % STANDIN_WHEEL_SLOTS], &t->node);
}

void
standin_timer_cancel (struct standin_timer *t)
{
  am_list_remove (&t->node);
}

void
standin_wheel_turn (struct standin_wheel *w, uint64_t now_us)
{
  uint64_t tick = now_us / w->tick_us;

  if (tick > w->at + STANDIN_WHEEL_SLOTS)
    w->at = tick - STANDIN_WHEEL_SLOTS;
  while (w->at < tick)
    {
      struct am_list *slot = &w->slots[++w->at % STANDIN_WHEEL_SLOTS];
      struct am_list due;

      am_list_init (&due);
      for (struct am_list *n; (n = am_list_pop_front (slot));)
        am_list_push_back (&due, n);
      for (struct am_list *n; (n = am_list_pop_front (&due));)
        {
          struct standin_timer *t
              = am_container_of (n, struct standin_timer, node);

          if (t->due_us <= now_us)
            t->fire (t, now_us);
          else
            standin_timer_set (w, t, t->due_us);
        }
    }
}
