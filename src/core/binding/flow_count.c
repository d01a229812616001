#include "core/binding/flow_count.h"

#include <stdlib.h>

#include "base/error.h"

#define REPORT_MAX_AGE_US 5000000u
#define CHECK_INTERVAL_US 1000000u

struct flow
{
  struct am_list node; /* longest idle first */
  UT_hash_handle hh;
  uint64_t serial;
  struct am_upstream *upstream;
  uint64_t seen_us;
};

struct count
{
  struct flow *flows;
  struct am_list by_idle_time;
  uint64_t next_check_us;
};

int
am_flow_count_init (struct am_service *s)
{
  struct count *c = calloc (1, sizeof *c);

  if (!c)
    return AM_E_MEMORY;
  am_list_init (&c->by_idle_time);
  s->binding_state = c;
  return AM_OK;
}

static void
remove_flow (struct count *c, struct flow *f)
{
  if (f->upstream->use.flows)
    f->upstream->use.flows--;
  am_list_remove (&f->node);
  HASH_DEL (c->flows, f);
  free (f);
}

void
am_flow_count_finish (struct am_service *s)
{
  struct count *c = s->binding_state;

  if (!c)
    return;
  am_list_each_safe (f, next, &c->by_idle_time, struct flow, node)
  {
    remove_flow (c, f);
  }
  free (c);
  s->binding_state = NULL;
}

void
am_flow_count_add (struct am_board *b, struct am_service *s,
                   struct am_upstream *u, uint64_t serial)
{
  struct count *c = s->binding_state;
  struct flow *f;

  HASH_FIND (hh, c->flows, &serial, sizeof serial, f);
  if (!f)
    {
      f = calloc (1, sizeof *f);
      if (!f)
        return;
      f->serial = serial;
      f->upstream = u;
      am_list_init (&f->node);
      HASH_ADD (hh, c->flows, serial, sizeof f->serial, f);
      u->use.flows++;
    }
  f->seen_us = b->now_us;
  am_list_remove (&f->node);
  am_list_push_back (&c->by_idle_time, &f->node);
}

void
am_flow_count_remove (struct am_service *s, uint64_t serial)
{
  struct count *c = s->binding_state;
  struct flow *f;

  HASH_FIND (hh, c->flows, &serial, sizeof serial, f);
  if (f)
    remove_flow (c, f);
}

void
am_flow_count_upstream_removed (struct am_service *s,
                                const struct am_upstream *u)
{
  struct count *c = s->binding_state;

  am_list_each_safe (f, next, &c->by_idle_time, struct flow, node)
  {
    if (f->upstream == u)
      remove_flow (c, f);
  }
}

/* Returns true if F's upstream recently reported fewer connections than there
   are flows counted at it, so that some of these are no longer open.  */
static bool
exceeds_reported_connections (const struct am_board *b, const struct flow *f)
{
  const struct am_upstream_report *r = &f->upstream->report;

  return r->at_us != 0 && b->now_us - r->at_us < REPORT_MAX_AGE_US
         && r->load.connections < f->upstream->use.flows;
}

void
am_flow_count_tick (struct am_board *b, struct am_service *s)
{
  struct count *c = s->binding_state;

  if (b->now_us < c->next_check_us)
    return;
  c->next_check_us = b->now_us + CHECK_INTERVAL_US;
  am_list_each_safe (f, next, &c->by_idle_time, struct flow, node)
  {
    uint64_t idle_us = b->now_us - f->seen_us;

    if (idle_us < AM_FLOW_COUNT_RECONCILE_US)
      return;
    if (idle_us >= AM_FLOW_COUNT_IDLE_US
        || exceeds_reported_connections (b, f))
      remove_flow (c, f);
  }
}
