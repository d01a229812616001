#include "flow/admission.h"

#include <math.h>

#include "flow/liveness.h"

static struct am_room *
get_or_add (struct am_admission *a, uint32_t data_centre)
{
  for (size_t i = 0; i < a->count; i++)
    if (a->rooms[i].data_centre == data_centre)
      return &a->rooms[i];
  if (a->count == AM_ADMISSION_DATA_CENTRES_MAX)
    return NULL;
  a->rooms[a->count] = (struct am_room){ .data_centre = data_centre };
  return &a->rooms[a->count++];
}

/* Removes the room of the own data centre, the first one, if there is no
   usable target.  */
static void
remove_empty (struct am_admission *a)
{
  if (a->rooms[0].slots <= 0)
    a->rooms[0] = a->rooms[--a->count];
}

/* Requests on flows that are open already go to their target, however full it
   is.  Beyond what it bears they do not take up the room of other targets.  */
static void
add_target (struct am_room *r, const struct am_target *t)
{
  double slots = am_candidate_slots (t);
  double all = am_candidate_recent (t);
  double later = t->load.later;
  double max = AM_ADMISSION_PER_SLOT * slots;

  r->slots += slots;
  r->own += am_candidate_own_recent (t) - later;
  r->own += all > max ? later * max / all : later;
  r->load += fmin (all, max);
}

static bool
is_local (const struct am_room *r, const struct am_placement *p)
{
  return r->data_centre == p->data_centre;
}

/* Takes the load of R from the report of its data centre, if there is one.  */
static void
apply_report (struct am_room *r, const struct am_placement *p)
{
  const struct am_service_load *report = NULL;

  if (p->remote && !is_local (r, p))
    report = am_remote_loads_find (p->remote, r->data_centre, p->service,
                                   p->now_us);
  if (!report || !report->slots)
    return;
  r->reported = true;
  r->load = (double)report->requests / report->slots;
}

/* Returns the number of data centres that send flows to R, this one among
   them.  */
static double
count_senders (const struct am_admission *a, const struct am_room *r,
               const struct am_placement *p)
{
  double n = 1;

  for (size_t i = 0; i < a->count; i++)
    {
      const struct am_room *other = &a->rooms[i];

      n += other != r && !is_local (other, p) && other->reported
           && other->load >= AM_ADMISSION_SENDER_PER_SLOT;
    }
  return n;
}

static void
set_limit (struct am_admission *a, struct am_room *r,
           const struct am_placement *p)
{
  double capacity = AM_ADMISSION_PER_SLOT * r->slots / am_candidate_vms (p);
  bool has_local = am_admission_room (a, p->data_centre) != NULL;

  if (is_local (r, p))
    r->limit = capacity;
  else if (r->reported && r->load < AM_ADMISSION_CLOSED_PER_SLOT)
    r->limit
        = (1 - AM_ADMISSION_RESERVED_MAX - r->load / AM_ADMISSION_PER_SLOT)
          * capacity / count_senders (a, r, p);
  /* Without targets of its own, or a report, a data centre has an equal part
     of every other one.  */
  if (!is_local (r, p) && (!r->reported || !has_local))
    r->limit = fmax (r->limit, capacity / (double)(a->count + !has_local));
}

/* Returns the part of a limit that is left free for better flows than P.  */
static double
reserve (const struct am_placement *p)
{
  if (p->better_share <= AM_ADMISSION_BETTER_MIN)
    return 0;
  return fmin (fmax (p->better_share, AM_ADMISSION_RESERVED_MIN),
               AM_ADMISSION_RESERVED_MAX);
}

static bool
is_open (const struct am_room *r, const struct am_placement *p)
{
  double limit = r->limit * (1 - reserve (p));

  if (!is_local (r, p))
    return r->own < r->limit;
  /* However many VMs share the slots, each may use one.  */
  return r->own < limit || r->own < 1;
}

void
am_admission_measure (struct am_admission *a, const struct am_target_table *t,
                      const struct am_placement *p)
{
  a->count = 0;
  a->complete = true;
  get_or_add (a, p->data_centre);
  am_list_each (g, &t->targets, struct am_target, node)
  {
    struct am_room *r;

    if (!am_candidate_accepts (g, p) || !am_liveness_usable (g, p->now_us))
      continue;
    r = get_or_add (a, g->spec.data_centre);
    if (r)
      add_target (r, g);
    else
      a->complete = false;
  }
  remove_empty (a);
  for (size_t i = 0; i < a->count; i++)
    {
      a->rooms[i].load /= a->rooms[i].slots;
      apply_report (&a->rooms[i], p);
    }
  for (size_t i = 0; i < a->count; i++)
    {
      set_limit (a, &a->rooms[i], p);
      a->rooms[i].open = is_open (&a->rooms[i], p);
    }
}

const struct am_room *
am_admission_room (const struct am_admission *a, uint32_t data_centre)
{
  for (size_t i = 0; i < a->count; i++)
    if (a->rooms[i].data_centre == data_centre)
      return &a->rooms[i];
  return NULL;
}

bool
am_admission_admits (const struct am_admission *a)
{
  for (size_t i = 0; i < a->count; i++)
    if (a->rooms[i].open)
      return true;
  return a->count == 0;
}

double
am_admission_requests (const struct am_admission *a)
{
  double requests = 0;

  for (size_t i = 0; i < a->count; i++)
    requests += a->rooms[i].own;
  return requests;
}

double
am_admission_limit (const struct am_admission *a)
{
  double limit = 0;

  for (size_t i = 0; i < a->count; i++)
    limit += a->rooms[i].limit;
  return limit;
}
