#include "flow/flow_table.h"

#include <stdlib.h>

#include "base/hash.h"

#define FLOW_SEED 0x666c6f77u

void
am_flow_table_init (struct am_flow_table *t)
{
  for (size_t i = 0; i < AM_FLOW_BUCKETS; i++)
    am_list_init (&t->buckets[i]);
  am_list_init (&t->by_age);
  am_list_init (&t->recent);
  t->count = 0;
}

void
am_flow_table_finish (struct am_flow_table *t)
{
  am_list_each_safe (f, next, &t->by_age, struct am_flow, node)
      am_flow_remove (t, f);
}

uint64_t
am_flow_hash (const struct am_packet *p)
{
  uint64_t key[2]
      = { am_address_key (p->caller), am_address_key (p->destination) };

  return am_hash_bytes (key, sizeof key, FLOW_SEED);
}

static struct am_list *
bucket (struct am_flow_table *t, const struct am_packet *p)
{
  return &t->buckets[am_flow_hash (p) % AM_FLOW_BUCKETS];
}

struct am_flow *
am_flow_find (struct am_flow_table *t, const struct am_packet *p)
{
  am_list_each (f, bucket (t, p), struct am_flow,
                bucket) if (am_address_equal (f->caller, p->caller)
                            && am_address_equal (f->destination,
                                                 p->destination)) return f;
  return NULL;
}

/* Adds STEP, 1 or -1, to the load counters of F's target that include F.  */
static void
update_load (const struct am_flow *f, int step)
{
  struct am_target_load *l;

  if (!f->target)
    return;
  l = &f->target->load;
  if (f->state == AM_FLOW_OPENING)
    l->opening += (uint32_t)step;
  if (f->state == AM_FLOW_OPEN)
    l->open_flows += (uint32_t)step;
  if (f->busy)
    l->busy += (uint32_t)step;
  if (f->recent_end_us)
    l->recent += (uint32_t)step;
  if (f->recent_end_us && f->requests > 1)
    l->later += (uint32_t)step;
}

/* The caller updates the load.  */
static void
clear_recent (struct am_flow *f)
{
  f->recent_end_us = 0;
  am_list_remove (&f->recent);
}

struct am_flow *
am_flow_add (struct am_flow_table *t, const struct am_packet *p,
             struct am_target *target, enum am_flow_state state,
             uint64_t now_us)
{
  struct am_flow *f;

  if (t->count >= AM_FLOW_MAX)
    am_flow_remove (t, am_container_of (t->by_age.next, struct am_flow, node));
  f = calloc (1, sizeof *f);
  if (!f)
    return NULL;
  f->caller = p->caller;
  f->destination = p->destination;
  f->target = target;
  f->state = state;
  f->syn_seq = p->seq;
  f->next_seq = p->seq;
  f->ack = p->ack;
  f->forwarded_us = now_us;
  f->seen_us = now_us;
  am_list_init (&f->recent);
  am_list_push_back (bucket (t, p), &f->bucket);
  am_list_push_back (&t->by_age, &f->node);
  t->count++;
  update_load (f, 1);
  return f;
}

void
am_flow_set_target (struct am_flow *f, struct am_target *target)
{
  update_load (f, -1);
  f->target = target;
  update_load (f, 1);
}

void
am_flow_set_state (struct am_flow *f, enum am_flow_state state)
{
  update_load (f, -1);
  f->state = state;
  clear_recent (f);
  update_load (f, 1);
}

void
am_flow_set_busy (struct am_flow *f, bool busy)
{
  update_load (f, -1);
  f->busy = busy;
  clear_recent (f);
  update_load (f, 1);
}

void
am_flow_begin_request (struct am_flow_table *t, struct am_flow *f,
                       uint64_t recent_end_us)
{
  am_flow_set_busy (f, true);
  if (f->requests < UINT8_MAX)
    f->requests++;
  am_flow_set_recent (t, f, recent_end_us);
}

void
am_flow_set_recent (struct am_flow_table *t, struct am_flow *f,
                    uint64_t end_us)
{
  update_load (f, -1);
  clear_recent (f);
  f->recent_end_us = end_us;
  am_list_push_back (&t->recent, &f->recent);
  update_load (f, 1);
}

void
am_flow_table_expire_recent (struct am_flow_table *t, uint64_t now_us)
{
  am_list_each_safe (f, next, &t->recent, struct am_flow, recent)
  {
    if (now_us < f->recent_end_us)
      return;
    update_load (f, -1);
    clear_recent (f);
    update_load (f, 1);
  }
}

void
am_flow_touch (struct am_flow_table *t, struct am_flow *f, uint64_t now_us)
{
  f->seen_us = now_us;
  am_list_remove (&f->node);
  am_list_push_back (&t->by_age, &f->node);
}

void
am_flow_remove (struct am_flow_table *t, struct am_flow *f)
{
  update_load (f, -1);
  am_list_remove (&f->bucket);
  am_list_remove (&f->node);
  am_list_remove (&f->recent);
  t->count--;
  free (f);
}

void
am_flow_table_expire (struct am_flow_table *t, uint64_t now_us,
                      uint64_t idle_us)
{
  am_list_each_safe (f, next, &t->by_age, struct am_flow, node)
  {
    if (now_us - f->seen_us < idle_us)
      return;
    am_flow_remove (t, f);
  }
}

void
am_flow_table_detach_target (struct am_flow_table *t,
                             const struct am_target *target)
{
  am_list_each (f, &t->by_age, struct am_flow, node) if (f->target == target)
      f->target
      = NULL;
}
