/* Applies a delta to a snapshot message, as a model of what a forwarder has in
   force.  Records move from the delta into the snapshot.  */

#ifndef TEST_DELTA_MERGE_H
#define TEST_DELTA_MERGE_H

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "wire/amaranth.pb-c.h"

/* How Amaranth__Service and Amaranth__Member begin.  */
struct merge_record
{
  ProtobufCMessage base;
  uint32_t id;
};

static int
merge_by_id (const void *a, const void *b)
{
  uint32_t x = (*(struct merge_record *const *)a)->id;
  uint32_t y = (*(struct merge_record *const *)b)->id;

  return (x > y) - (x < y);
}

static void
merge_remove (struct merge_record **list, size_t *n, uint32_t id)
{
  size_t kept = 0;

  for (size_t i = 0; i < *n; i++)
    if (list[i]->id == id)
      protobuf_c_message_free_unpacked (&list[i]->base, NULL);
    else
      list[kept++] = list[i];
  *n = kept;
}

/* Returns LIST without the records GONE and with those of IN, by id.  */
static void *
merge_records (void *old, size_t *n, void *in, size_t *n_in,
               const uint32_t *gone, size_t n_gone)
{
  struct merge_record **list
      = realloc (old, (*n + *n_in + 1) * sizeof (struct merge_record *));
  struct merge_record **added = in;

  for (size_t i = 0; i < n_gone; i++)
    merge_remove (list, n, gone[i]);
  for (size_t i = 0; i < *n_in; i++)
    {
      merge_remove (list, n, added[i]->id);
      list[(*n)++] = added[i];
    }
  *n_in = 0;
  qsort (list, *n, sizeof (struct merge_record *), merge_by_id);
  return list;
}

static void
merge_drop_verdicts (Amaranth__Snapshot *s, uint32_t service_id,
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
  s->verdicts = realloc (s->verdicts, (s->n_verdicts + d->n_verdicts + 1)
                                          * sizeof (Amaranth__Verdict *));
  for (size_t i = 0; i < d->n_services; i++)
    merge_drop_verdicts (s, d->services[i]->id, 0, true);
  for (size_t i = 0; i < d->n_verdicts; i++)
    {
      Amaranth__Verdict *v = d->verdicts[i];

      merge_drop_verdicts (s, v->service_id, v->upstream_id, false);
      if (v->ejected)
        s->verdicts[s->n_verdicts++] = v;
      else
        amaranth__verdict__free_unpacked (v, NULL);
    }
  d->n_verdicts = 0;
}

static void
merge_delta (Amaranth__Snapshot *s, Amaranth__SnapshotDelta *d)
{
  Amaranth__Key **keys = s->keys;
  size_t n = s->n_keys;

  merge_verdicts (s, d);
  s->services
      = merge_records (s->services, &s->n_services, d->services,
                       &d->n_services, d->services_gone, d->n_services_gone);
  s->members
      = merge_records (s->members, &s->n_members, d->members, &d->n_members,
                       d->members_gone, d->n_members_gone);
  s->digest = d->digest;
  if (!d->keys_changed)
    return;
  s->keys = d->keys;
  s->n_keys = d->n_keys;
  d->keys = keys;
  d->n_keys = n;
}

#endif
