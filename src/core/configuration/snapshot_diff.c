#include "core/configuration/snapshot_diff.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"

enum seed
{
  SEED_SERVICE = 1,
  SEED_MEMBER,
  SEED_KEYS,
  SEED_VERDICT,
  SEED_WHOLE
};

/* Memory for one packed record.  */
struct scratch
{
  uint8_t *data;
  size_t size;
};

static int
by_id (const void *a, const void *b)
{
  const struct am_mark *x = a;
  const struct am_mark *y = b;

  return (x->id > y->id) - (x->id < y->id);
}

static const struct am_mark *
find (const struct am_mark_list *l, uint64_t id)
{
  struct am_mark key = { .id = id };

  if (l->count == 0)
    return NULL;
  return bsearch (&key, l->marks, l->count, sizeof key, by_id);
}

/* Sorts L.  Returns AM_E_EXISTS if an id is there twice.  */
static int
sort (struct am_mark_list *l)
{
  qsort (l->marks, l->count, sizeof l->marks[0], by_id);
  for (size_t i = 1; i < l->count; i++)
    if (l->marks[i].id == l->marks[i - 1].id)
      return AM_E_EXISTS;
  return AM_OK;
}

static int
allocate (struct am_mark_list *l, size_t n)
{
  l->marks = calloc (n + 1, sizeof l->marks[0]);
  return l->marks ? AM_OK : AM_E_MEMORY;
}

/* ---- marks -------------------------------------------------------- */

static int
digest_service (struct scratch *t, const Amaranth__Service *s,
                uint64_t *digest)
{
  size_t len = amaranth__service__get_packed_size (s);

  if (len > t->size)
    {
      uint8_t *grown = realloc (t->data, 2 * len);

      if (!grown)
        return AM_E_MEMORY;
      t->data = grown;
      t->size = 2 * len;
    }
  amaranth__service__pack (s, t->data);
  *digest = am_hash_bytes (t->data, len, SEED_SERVICE);
  return AM_OK;
}

static int
mark_services (struct am_snapshot_marks *m, const Amaranth__Snapshot *s,
               const struct am_snapshot_marks *before,
               am_service_version version, void *userdata)
{
  struct am_mark_list *l = &m->services;
  struct scratch t = { NULL, 0 };
  int err = allocate (l, s->n_services);

  for (size_t i = 0; !err && i < s->n_services; i++)
    {
      struct am_mark *k = &l->marks[l->count++];
      const struct am_mark *old = find (&before->services, s->services[i]->id);

      k->id = s->services[i]->id;
      k->version = version ? version (userdata, s->services[i]) : 0;
      if (old && k->version && k->version == old->version)
        k->digest = old->digest;
      else
        err = digest_service (&t, s->services[i], &k->digest);
    }
  free (t.data);
  return err ? err : sort (l);
}

static uint64_t
digest_text (const char *text, uint64_t digest)
{
  return am_hash_bytes (text, strlen (text) + 1, digest);
}

/* Packing 730 members took as long as all the rest of a change of one.  */
static uint64_t
digest_member (const Amaranth__Member *m)
{
  uint64_t fields[] = { m->id,
                        (uint64_t)m->ip << 32 | m->peer_port,
                        (uint64_t)m->agent_port << 32 | m->control_port,
                        m->incarnation,
                        m->state,
                        m->boot_id,
                        m->config_digest };
  uint64_t digest = am_hash_bytes (fields, sizeof fields, SEED_MEMBER);

  digest = digest_text (m->name, digest);
  digest = digest_text (m->data_centre, digest);
  return digest_text (m->region, digest);
}

static int
mark_members (struct am_snapshot_marks *m, const Amaranth__Snapshot *s)
{
  struct am_mark_list *l = &m->members;
  int err = allocate (l, s->n_members);

  for (size_t i = 0; !err && i < s->n_members; i++)
    {
      l->marks[i].id = s->members[i]->id;
      l->marks[i].digest = digest_member (s->members[i]);
      l->count++;
    }
  return err ? err : sort (l);
}

static uint64_t
verdict_id (const Amaranth__Verdict *v)
{
  return (uint64_t)v->service_id << 32 | v->upstream_id;
}

static int
mark_verdicts (struct am_snapshot_marks *m, const Amaranth__Snapshot *s)
{
  struct am_mark_list *l = &m->verdicts;
  int err = allocate (l, s->n_verdicts);

  for (size_t i = 0; !err && i < s->n_verdicts; i++)
    if (s->verdicts[i]->ejected)
      {
        struct am_mark *k = &l->marks[l->count++];

        k->id = verdict_id (s->verdicts[i]);
        k->digest = am_hash_bytes (&k->id, sizeof k->id, SEED_VERDICT);
      }
  return err ? err : sort (l);
}

static uint64_t
digest_keys (const Amaranth__Snapshot *s)
{
  uint64_t digest = SEED_KEYS;

  for (size_t i = 0; i < s->n_keys; i++)
    {
      const Amaranth__Key *k = s->keys[i];
      uint64_t fields[] = { k->id, k->state, k->secret.len };

      digest = am_hash_bytes (fields, sizeof fields, digest);
      if (k->secret.len)
        digest = am_hash_bytes (k->secret.data, k->secret.len, digest);
    }
  return digest;
}

static uint64_t
sum (const struct am_mark_list *l)
{
  uint64_t digest = l->count;

  for (size_t i = 0; i < l->count; i++)
    digest += l->marks[i].digest;
  return digest;
}

static uint64_t
digest_whole (const struct am_snapshot_marks *m)
{
  uint64_t parts[]
      = { sum (&m->services), sum (&m->members), sum (&m->verdicts), m->keys };
  uint64_t digest = am_hash_bytes (parts, sizeof parts, SEED_WHOLE);

  return digest ? digest : 1;
}

int
am_snapshot_marks_make (struct am_snapshot_marks *m, Amaranth__Snapshot *s,
                        const struct am_snapshot_marks *before,
                        am_service_version version, void *userdata)
{
  int err;

  memset (m, 0, sizeof *m);
  err = mark_services (m, s, before, version, userdata);
  if (!err)
    err = mark_members (m, s);
  if (!err)
    err = mark_verdicts (m, s);
  if (err)
    {
      am_snapshot_marks_finish (m);
      return err;
    }
  m->keys = digest_keys (s);
  m->digest = digest_whole (m);
  s->digest = m->digest;
  return AM_OK;
}

void
am_snapshot_marks_finish (struct am_snapshot_marks *m)
{
  free (m->services.marks);
  free (m->members.marks);
  free (m->verdicts.marks);
  memset (m, 0, sizeof *m);
}

/* ---- delta -------------------------------------------------------- */

static bool
differs (const struct am_mark_list *from, const struct am_mark_list *to,
         uint64_t id)
{
  const struct am_mark *a = find (from, id);
  const struct am_mark *b = find (to, id);

  return !a || !b || a->digest != b->digest;
}

/* Fills GONE with the ids in FROM that TO does not have.  Returns their
   number.  */
static size_t
list_gone (const struct am_mark_list *from, const struct am_mark_list *to,
           uint32_t *gone)
{
  size_t n = 0;

  for (size_t i = 0; i < from->count; i++)
    if (!find (to, from->marks[i].id))
      gone[n++] = (uint32_t)from->marks[i].id;
  return n;
}

static int
diff_services (Amaranth__SnapshotDelta *d,
               const struct am_snapshot_marks *from,
               const Amaranth__Snapshot *to,
               const struct am_snapshot_marks *marks)
{
  d->services = calloc (to->n_services + 1, sizeof (Amaranth__Service *));
  d->services_gone
      = calloc (from->services.count + 1, sizeof d->services_gone[0]);
  if (!d->services || !d->services_gone)
    return AM_E_MEMORY;
  for (size_t i = 0; i < to->n_services; i++)
    if (differs (&from->services, &marks->services, to->services[i]->id))
      d->services[d->n_services++] = to->services[i];
  d->n_services_gone
      = list_gone (&from->services, &marks->services, d->services_gone);
  return AM_OK;
}

static int
diff_members (Amaranth__SnapshotDelta *d, const struct am_snapshot_marks *from,
              const Amaranth__Snapshot *to,
              const struct am_snapshot_marks *marks)
{
  d->members = calloc (to->n_members + 1, sizeof (Amaranth__Member *));
  d->members_gone
      = calloc (from->members.count + 1, sizeof d->members_gone[0]);
  if (!d->members || !d->members_gone)
    return AM_E_MEMORY;
  for (size_t i = 0; i < to->n_members; i++)
    if (differs (&from->members, &marks->members, to->members[i]->id))
      d->members[d->n_members++] = to->members[i];
  d->n_members_gone
      = list_gone (&from->members, &marks->members, d->members_gone);
  return AM_OK;
}

static int
add_verdict (Amaranth__SnapshotDelta *d, uint64_t id, bool ejected)
{
  Amaranth__Verdict *v = malloc (sizeof *v);

  if (!v)
    return AM_E_MEMORY;
  amaranth__verdict__init (v);
  v->service_id = (uint32_t)(id >> 32);
  v->upstream_id = (uint32_t)id;
  v->ejected = ejected;
  d->verdicts[d->n_verdicts++] = v;
  return AM_OK;
}

/* A service that changed may have new upstreams, which its verdicts are to
   reach although they are not new.  */
static int
diff_verdicts (Amaranth__SnapshotDelta *d,
               const struct am_snapshot_marks *from,
               const struct am_snapshot_marks *marks)
{
  size_t room = from->verdicts.count + marks->verdicts.count + 1;
  int err = AM_OK;

  d->verdicts = calloc (room, sizeof (Amaranth__Verdict *));
  if (!d->verdicts)
    return AM_E_MEMORY;
  for (size_t i = 0; !err && i < from->verdicts.count; i++)
    if (!find (&marks->verdicts, from->verdicts.marks[i].id))
      err = add_verdict (d, from->verdicts.marks[i].id, false);
  for (size_t i = 0; !err && i < marks->verdicts.count; i++)
    {
      uint64_t id = marks->verdicts.marks[i].id;

      if (!find (&from->verdicts, id)
          || differs (&from->services, &marks->services, id >> 32))
        err = add_verdict (d, id, true);
    }
  return err;
}

int
am_snapshot_diff (Amaranth__SnapshotDelta *d,
                  const struct am_snapshot_marks *from,
                  const Amaranth__Snapshot *to,
                  const struct am_snapshot_marks *marks)
{
  int err;

  amaranth__snapshot_delta__init (d);
  d->base_digest = from->digest;
  d->digest = marks->digest;
  err = diff_services (d, from, to, marks);
  if (!err)
    err = diff_members (d, from, to, marks);
  if (!err)
    err = diff_verdicts (d, from, marks);
  if (err)
    am_snapshot_diff_finish (d);
  else if (from->keys != marks->keys)
    {
      d->keys_changed = true;
      d->keys = to->keys;
      d->n_keys = to->n_keys;
    }
  return err;
}

void
am_snapshot_diff_finish (Amaranth__SnapshotDelta *d)
{
  for (size_t i = 0; i < d->n_verdicts; i++)
    free (d->verdicts[i]);
  free (d->verdicts);
  free (d->services);
  free (d->services_gone);
  free (d->members);
  free (d->members_gone);
  amaranth__snapshot_delta__init (d);
}
