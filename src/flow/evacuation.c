#include "flow/evacuation.h"

#include <stdlib.h>

#include "base/error.h"

void
am_evacuations_init (struct am_evacuations *e)
{
  am_list_init (&e->orders);
  e->count = 0;
}

static void
remove_order (struct am_evacuations *e, struct am_evacuation *order)
{
  am_list_remove (&order->node);
  e->count--;
  free (order);
}

void
am_evacuations_finish (struct am_evacuations *e)
{
  am_list_each_safe (order, next, &e->orders, struct am_evacuation, node)
      remove_order (e, order);
}

static struct am_evacuation *
find (const struct am_evacuations *e, uint32_t data_centre)
{
  am_list_each (order, &e->orders, struct am_evacuation, node)
  {
    if (order->data_centre == data_centre)
      return order;
  }
  return NULL;
}

int
am_evacuations_begin (struct am_evacuations *e, uint32_t data_centre,
                      uint64_t now_us)
{
  struct am_evacuation *order = find (e, data_centre);

  if (order)
    return AM_OK;
  order = malloc (sizeof *order);
  if (!order)
    return AM_E_MEMORY;
  order->data_centre = data_centre;
  order->begun_us = now_us;
  am_list_push_back (&e->orders, &order->node);
  e->count++;
  return AM_OK;
}

uint64_t
am_evacuations_end (struct am_evacuations *e, uint32_t data_centre,
                    uint64_t now_us)
{
  struct am_evacuation *order = find (e, data_centre);
  uint64_t lasted_us;

  if (!order)
    return 0;
  lasted_us = now_us - order->begun_us;
  remove_order (e, order);
  return lasted_us;
}

bool
am_evacuations_apply (const struct am_evacuations *e, uint32_t data_centre)
{
  return find (e, data_centre) != NULL;
}
