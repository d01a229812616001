#include "core/targets/control_verdicts.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "core/membership/control_members.h"

/* Maximum number of entries; evidence for a further one is ignored.  */
#define EVIDENCE_MAX 16384

/* Interval between checks for expired evidence.  */
#define EXPIRY_INTERVAL_US AM_SECOND_US

int
am_verdicts_init (struct am_control *c, uint64_t serial)
{
  am_list_init (&c->verdicts.queue);
  c->verdicts.serial = serial;
  return AM_OK;
}

static void
drop (struct am_control *c, struct am_evidence *e)
{
  /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): false, by uthash */
  HASH_DELETE (by_key, c->verdicts.by_key, e);
  am_list_remove (&e->queue);
  free (e);
}

void
am_verdicts_finish (struct am_control *c)
{
  struct am_evidence *e;
  struct am_evidence *next;

  HASH_ITER (by_key, c->verdicts.by_key, e, next) { drop (c, e); }
  free (c->verdicts.ejected);
}

/* Returns the entry of KEY, or NULL.  CREATE adds a missing one if there is
   room.  */
static struct am_evidence *
find_evidence (struct am_control *c, const struct am_evidence_key *key,
               bool create)
{
  struct am_evidence *e;

  HASH_FIND (by_key, c->verdicts.by_key, key, sizeof *key, e);
  if (e || !create || HASH_CNT (by_key, c->verdicts.by_key) >= EVIDENCE_MAX)
    return e;
  e = calloc (1, sizeof *e);
  if (!e)
    return NULL;
  e->key = *key;
  am_list_init (&e->queue);
  HASH_ADD (by_key, c->verdicts.by_key, key, sizeof e->key, e);
  return e;
}

/* Stores a new observation in E and queues it for gossip.  */
static void
update (struct am_control *c, struct am_evidence *e, bool failing,
        uint64_t serial)
{
  if (e->failing != failing)
    c->verdicts.stale = true;
  e->failing = failing;
  e->serial = serial;
  e->at_us = c->now_us;
  e->transmits = am_members_transmit_limit (c);
  am_list_remove (&e->queue);
  am_list_push_front (&c->verdicts.queue, &e->queue);
}

void
am_verdicts_apply_evidence (struct am_control *c,
                            const Amaranth__UpstreamEvidence *m)
{
  struct am_evidence_key key
      = { m->service_id, m->upstream_id, m->observer_id };
  struct am_evidence *e;

  if (m->observer_id == c->self.id || m->observer_id == 0)
    return;
  e = find_evidence (c, &key, m->failing);
  if (e && m->serial > e->serial)
    update (c, e, m->failing, m->serial);
}

static void
observe (struct am_control *c, const Amaranth__UpstreamLoad *l)
{
  struct am_evidence_key key = { l->service_id, l->upstream_id, c->self.id };
  struct am_evidence *e = find_evidence (c, &key, l->avoided);

  if (!e)
    return;
  if (e->failing == l->avoided
      && (!l->avoided || c->now_us - e->at_us < AM_EVIDENCE_REPEAT_US))
    return;
  if (e->failing != l->avoided)
    am_control_log (
        c, AM_LOG_INFO,
        "event=evidence service=%u upstream=%u failing=%d failures=%u",
        l->service_id, l->upstream_id, l->avoided, l->failures);
  update (c, e, l->avoided, ++c->verdicts.serial);
}

void
am_verdicts_apply_report (struct am_control *c, const Amaranth__Report *r)
{
  for (size_t i = 0; i < r->n_upstreams; i++)
    observe (c, r->upstreams[i]);
}

void
am_verdicts_withdraw_own (struct am_control *c)
{
  struct am_evidence *e;
  struct am_evidence *next;

  HASH_ITER (by_key, c->verdicts.by_key, e, next)
  {
    if (e->key.observer_id == c->self.id && e->failing)
      update (c, e, false, ++c->verdicts.serial);
  }
}

size_t
am_verdicts_fill_gossip (struct am_control *c, Amaranth__UpstreamEvidence *out,
                         size_t room)
{
  struct am_list sent;
  size_t n = 0;

  am_list_init (&sent);
  while (n < room && !am_list_empty (&c->verdicts.queue))
    {
      struct am_evidence *e = am_container_of (
          am_list_pop_front (&c->verdicts.queue), struct am_evidence, queue);

      amaranth__upstream_evidence__init (&out[n]);
      out[n].service_id = e->key.service_id;
      out[n].upstream_id = e->key.upstream_id;
      out[n].observer_id = e->key.observer_id;
      out[n].failing = e->failing;
      out[n].serial = e->serial;
      n++;
      if (--e->transmits > 0)
        am_list_push_back (&sent, &e->queue);
    }
  while (!am_list_empty (&sent))
    am_list_push_back (&c->verdicts.queue, am_list_pop_front (&sent));
  return n;
}

/* ---- decision ----------------------------------------------------- */

/* An upstream that is reported as failing.  */
struct candidate
{
  uint32_t service_id;
  uint32_t upstream_id;
  unsigned observers;
};

static int
by_upstream (const void *a, const void *b)
{
  const struct candidate *x = a;
  const struct candidate *y = b;

  if (x->service_id != y->service_id)
    return x->service_id < y->service_id ? -1 : 1;
  if (x->upstream_id != y->upstream_id)
    return x->upstream_id < y->upstream_id ? -1 : 1;
  return 0;
}

/* Most observers first, then by id, so that agents with the same evidence
   reach the same verdicts.  */
static int
by_observers (const void *a, const void *b)
{
  const struct candidate *x = a;
  const struct candidate *y = b;

  if (x->observers != y->observers)
    return x->observers > y->observers ? -1 : 1;
  return by_upstream (a, b);
}

static bool
observer_counts (struct am_control *c, uint32_t id)
{
  const struct am_vm *v;

  if (id == c->self.id)
    return true;
  v = am_members_find (c, id);
  return v && am_vm_live (v);
}

/* Fills OUT with one entry for each upstream that at least AM_OBSERVERS_MIN
   live observers report as failing.  OUT must have room for all evidence.
   Returns the number of entries.  */
static size_t
collect (struct am_control *c, struct candidate *out)
{
  struct am_evidence *e;
  struct am_evidence *next;
  size_t n = 0;
  size_t kept = 0;

  HASH_ITER (by_key, c->verdicts.by_key, e, next)
  {
    if (e->failing && observer_counts (c, e->key.observer_id))
      {
        struct candidate x = { e->key.service_id, e->key.upstream_id, 1 };

        out[n++] = x;
      }
  }
  qsort (out, n, sizeof *out, by_upstream);
  for (size_t i = 0; i < n;)
    {
      size_t j = i;

      while (j < n && by_upstream (&out[i], &out[j]) == 0)
        j++;
      out[kept] = out[i];
      out[kept].observers = (unsigned)(j - i);
      if (out[kept].observers >= AM_OBSERVERS_MIN)
        kept++;
      i = j;
    }
  qsort (out, kept, sizeof *out, by_observers);
  return kept;
}

static const Amaranth__Service *
find_service (const struct am_control *c, uint32_t id)
{
  struct am_config_entry *e;
  struct am_config_entry *next;

  HASH_ITER (by_name, c->config.by_name, e, next)
  {
    if (e->service && e->service->id == id)
      return e->service;
  }
  return NULL;
}

static const Amaranth__Upstream *
find_upstream (const Amaranth__Service *s, uint32_t id)
{
  for (size_t i = 0; i < s->n_upstreams; i++)
    if (s->upstreams[i]->id == id
        && s->upstreams[i]->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE)
      return s->upstreams[i];
  return NULL;
}

static bool
is_ejected (const struct candidate *list, size_t n, uint32_t service_id,
            uint32_t upstream_id)
{
  for (size_t i = 0; i < n; i++)
    if (list[i].service_id == service_id && list[i].upstream_id == upstream_id)
      return true;
  return false;
}

/* Returns true if one more upstream of S in data centre DC may be ejected in
   addition to the N in LIST.  */
static bool
within_limit (const Amaranth__Service *s, const char *dc,
              const struct candidate *list, size_t n)
{
  size_t active = 0;
  size_t out = 1;

  for (size_t i = 0; i < s->n_upstreams; i++)
    {
      const Amaranth__Upstream *u = s->upstreams[i];

      if (u->state != AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE
          || strcmp (u->data_centre, dc) != 0)
        continue;
      active++;
      if (is_ejected (list, n, s->id, u->id))
        out++;
    }
  return out * 100 <= active * AM_EJECT_PERCENT_MAX;
}

/* Removes from LIST the candidates that are not active or exceed
   AM_EJECT_PERCENT_MAX.  Returns the number that remains.  */
static size_t
apply_limit (struct am_control *c, struct candidate *list, size_t n)
{
  size_t kept = 0;

  for (size_t i = 0; i < n; i++)
    {
      const Amaranth__Service *s = find_service (c, list[i].service_id);
      const Amaranth__Upstream *u
          = s ? find_upstream (s, list[i].upstream_id) : NULL;

      if (!u)
        continue;
      if (within_limit (s, u->data_centre, list, kept))
        list[kept++] = list[i];
      else
        c->counters.ejections_limited++;
    }
  return kept;
}

/* Logs the entries of TO that FROM lacks as changed to EJECTED.  */
static void
report_changes (struct am_control *c, const struct am_verdict *from,
                size_t from_count, const struct am_verdict *to,
                size_t to_count, bool ejected)
{
  for (size_t i = 0; i < to_count; i++)
    {
      bool known = false;

      for (size_t j = 0; j < from_count; j++)
        known = known
                || (from[j].service_id == to[i].service_id
                    && from[j].upstream_id == to[i].upstream_id);
      if (known)
        continue;
      c->counters.ejections += ejected;
      c->link.dirty = true;
      am_control_log (c, AM_LOG_NOTICE,
                      "event=verdict service=%u upstream=%u ejected=%d",
                      to[i].service_id, to[i].upstream_id, ejected);
    }
}

/* Recomputes the list of ejected upstreams.  */
static void
recompute (struct am_control *c)
{
  struct am_verdicts *v = &c->verdicts;
  /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): false, by uthash */
  size_t room = HASH_CNT (by_key, v->by_key) + 1;
  struct candidate *list = calloc (room, sizeof *list);
  struct am_verdict *ejected = calloc (room, sizeof *ejected);
  size_t n;

  if (!list || !ejected)
    {
      free (list);
      free (ejected);
      return;
    }
  n = apply_limit (c, list, collect (c, list));
  qsort (list, n, sizeof *list, by_upstream);
  for (size_t i = 0; i < n; i++)
    {
      ejected[i].service_id = list[i].service_id;
      ejected[i].upstream_id = list[i].upstream_id;
    }
  report_changes (c, v->ejected, v->ejected_count, ejected, n, true);
  report_changes (c, ejected, n, v->ejected, v->ejected_count, false);
  free (list);
  free (v->ejected);
  v->ejected = ejected;
  v->ejected_count = n;
  v->stale = false;
}

/* Expired evidence is kept as "not failing" for one more lifetime, so that
   delayed copies of older evidence do not restore it.  */
static void
expire (struct am_control *c)
{
  struct am_evidence *e;
  struct am_evidence *next;

  HASH_ITER (by_key, c->verdicts.by_key, e, next)
  {
    if (c->now_us - e->at_us < AM_EVIDENCE_LIFETIME_US)
      continue;
    if (!e->failing)
      {
        drop (c, e);
        continue;
      }
    e->failing = false;
    e->at_us = c->now_us;
    c->verdicts.stale = true;
  }
}

void
am_verdicts_tick (struct am_control *c)
{
  if (c->now_us >= c->verdicts.next_us)
    {
      c->verdicts.next_us = c->now_us + EXPIRY_INTERVAL_US;
      expire (c);
    }
  if (c->verdicts.stale)
    recompute (c);
}
