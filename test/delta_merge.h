/* Applies a delta to a snapshot message, as a model of what a forwarder has in
   force.  Records move from the delta into the snapshot.  */

#ifndef TEST_DELTA_MERGE_H
#define TEST_DELTA_MERGE_H

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "wire/amaranth.pb-c.h"

/* Puts IN in the place of the record with the same id or at the end, in the
   array LIST of N; FREE_IT frees the record replaced.  */
#define MERGE_PUT(list, n, in, free_it)                      \
  do                                                         \
    {                                                        \
      size_t at_ = 0;                                        \
                                                             \
      while (at_ < (n) && (list)[at_]->id != (in)->id)       \
        at_++;                                               \
      if (at_ < (n))                                         \
        free_it ((list)[at_], NULL);                         \
      else                                                   \
        (list) = realloc ((list), (++(n)) * sizeof *(list)); \
      (list)[at_] = (in);                                    \
    }                                                        \
  while (0)

/* Removes the record with ID from the array LIST of N.  */
#define MERGE_REMOVE(list, n, gone, free_it)         \
  do                                                 \
    {                                                \
      size_t at_ = 0;                                \
                                                     \
      while (at_ < (n) && (list)[at_]->id != (gone)) \
        at_++;                                       \
      if (at_ == (n))                                \
        break;                                       \
      free_it ((list)[at_], NULL);                   \
      (list)[at_] = (list)[--(n)];                   \
    }                                                \
  while (0)

static void
merge_drop_verdict (Amaranth__Snapshot *s, uint32_t service_id,
                    uint32_t upstream_id, bool all)
{
  size_t kept = 0;

  for (size_t i = 0; i < s->n_verdicts; i++)
    {
      Amaranth__Verdict *v = s->verdicts[i];

      if (v->service_id == service_id
          && (all || v->upstream_id == upstream_id))
        amaranth__verdict__free_unpacked (v, NULL);
      else
        s->verdicts[kept++] = v;
    }
  s->n_verdicts = kept;
}

static void
merge_verdicts (Amaranth__Snapshot *s, Amaranth__SnapshotDelta *d)
{
  for (size_t i = 0; i < d->n_services; i++)
    merge_drop_verdict (s, d->services[i]->id, 0, true);
  for (size_t i = 0; i < d->n_verdicts; i++)
    {
      Amaranth__Verdict *v = d->verdicts[i];

      merge_drop_verdict (s, v->service_id, v->upstream_id, false);
      if (!v->ejected)
        {
          amaranth__verdict__free_unpacked (v, NULL);
          continue;
        }
      s->verdicts
          = realloc (s->verdicts, (s->n_verdicts + 1) * sizeof *s->verdicts);
      s->verdicts[s->n_verdicts++] = v;
    }
  d->n_verdicts = 0;
}

static void
merge_keys (Amaranth__Snapshot *s, Amaranth__SnapshotDelta *d)
{
  Amaranth__Key **keys = s->keys;
  size_t n = s->n_keys;

  if (!d->keys_changed)
    return;
  s->keys = d->keys;
  s->n_keys = d->n_keys;
  d->keys = keys;
  d->n_keys = n;
}

static int
merge_by_name (const void *a, const void *b)
{
  return strcmp ((*(Amaranth__Service *const *)a)->name,
                 (*(Amaranth__Service *const *)b)->name);
}

static int
merge_by_id (const void *a, const void *b)
{
  uint32_t x = (*(Amaranth__Member *const *)a)->id;
  uint32_t y = (*(Amaranth__Member *const *)b)->id;

  return (x > y) - (x < y);
}

static void
merge_delta (Amaranth__Snapshot *s, Amaranth__SnapshotDelta *d)
{
  merge_verdicts (s, d);
  merge_keys (s, d);
  for (size_t i = 0; i < d->n_services_gone; i++)
    MERGE_REMOVE (s->services, s->n_services, d->services_gone[i],
                  amaranth__service__free_unpacked);
  for (size_t i = 0; i < d->n_members_gone; i++)
    MERGE_REMOVE (s->members, s->n_members, d->members_gone[i],
                  amaranth__member__free_unpacked);
  for (size_t i = 0; i < d->n_services; i++)
    MERGE_PUT (s->services, s->n_services, d->services[i],
               amaranth__service__free_unpacked);
  for (size_t i = 0; i < d->n_members; i++)
    MERGE_PUT (s->members, s->n_members, d->members[i],
               amaranth__member__free_unpacked);
  if (s->n_services)
    qsort (s->services, s->n_services, sizeof *s->services, merge_by_name);
  if (s->n_members)
    qsort (s->members, s->n_members, sizeof *s->members, merge_by_id);
  d->n_services = 0;
  d->n_members = 0;
  s->digest = d->digest;
}

#endif
