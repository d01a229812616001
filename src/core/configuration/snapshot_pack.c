#include "core/configuration/snapshot_pack.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "core/binding/binding.h"
#include "core/placement/choice.h"

/* Messages under construction.  They point into the board, so that only the
   arrays and the messages themselves are freed.  */
struct pack
{
  Amaranth__Snapshot snapshot;
  bool failed;
};

static void *
make (struct pack *p, size_t size)
{
  void *m = calloc (1, size ? size : 1);

  if (!m)
    p->failed = true;
  return m;
}

static Amaranth__Binding
binding_of (const struct am_service *s)
{
  Amaranth__Binding binding = AMARANTH__BINDING__BINDING_TICKET;

  while (binding < AMARANTH__BINDING__BINDING_HASH
         && am_binding_strategy (binding) != s->binding)
    binding++;
  return binding;
}

static Amaranth__Policy
policy_of (const struct am_service *s)
{
  Amaranth__Policy policy = AMARANTH__POLICY__POLICY_LOCAL;

  while (policy < AMARANTH__POLICY__POLICY_HASH
         && am_choice_policy (policy) != s->choice)
    policy++;
  return policy;
}

static void
add_upstream (struct pack *p, Amaranth__Service *out, struct am_upstream *u)
{
  Amaranth__Upstream *m = make (p, sizeof *m);

  if (!m)
    return;
  amaranth__upstream__init (m);
  m->id = u->id;
  m->name = u->name;
  m->ip = u->address.ip;
  m->port = u->address.port;
  m->data_centre = u->data_centre;
  m->incarnation = u->incarnation;
  m->state = u->state;
  m->slots = u->slots;
  m->connections = u->connections;
  m->weight = u->weight;
  out->upstreams[out->n_upstreams++] = m;
}

static void
add_class (struct pack *p, Amaranth__Service *out, struct am_class *c)
{
  Amaranth__RequestClass *m = make (p, sizeof *m);

  if (!m)
    return;
  amaranth__request_class__init (m);
  m->id = c->id;
  m->name = c->name;
  m->kind = c->one_time ? AMARANTH__REQUEST_KIND__ONE_TIME
                        : AMARANTH__REQUEST_KIND__REPEATABLE;
  m->weight = c->weight;
  m->priority = c->priority;
  m->deadline_ms = c->deadline_ms;
  m->queue_limit = c->queue_limit;
  out->classes[out->n_classes++] = m;
}

static void
fill_service (Amaranth__Service *m, struct am_service *s)
{
  m->id = s->id;
  m->name = s->name;
  m->revision = s->revision;
  m->ip = s->address.ip;
  m->port = s->address.port;
  m->binding = binding_of (s);
  m->objective = s->objective;
  m->policy = policy_of (s);
  m->retired = s->retired;
  m->ping_interval_ms = s->ping_interval_ms;
  m->ping_misses = s->ping_misses;
  m->slow_start_ms = s->slow_start_ms;
  m->open_rate = s->open_rate;
  m->retry_budget = s->retry_budget;
  m->lending = s->lending;
  m->region = s->region;
}

static void
add_verdict (struct pack *p, const struct am_upstream *u)
{
  Amaranth__Verdict *m;

  if (!u->health.ejected)
    return;
  m = make (p, sizeof *m);
  if (!m)
    return;
  amaranth__verdict__init (m);
  m->service_id = u->service->id;
  m->upstream_id = u->id;
  m->ejected = true;
  p->snapshot.verdicts[p->snapshot.n_verdicts++] = m;
}

static void
add_service (struct pack *p, struct am_service *s)
{
  Amaranth__Service *m = make (p, sizeof *m);

  if (!m)
    return;
  amaranth__service__init (m);
  p->snapshot.services[p->snapshot.n_services++] = m;
  fill_service (m, s);
  m->upstreams
      = make (p, HASH_CNT (by_id, s->upstreams_by_id) * sizeof (void *));
  m->classes = make (p, s->class_count * sizeof (void *));
  if (!m->upstreams || !m->classes)
    return;
  am_list_each (u, &s->upstreams, struct am_upstream, node)
  {
    add_upstream (p, m, u);
    add_verdict (p, u);
  }
  for (size_t i = 0; i < s->class_count; i++)
    add_class (p, m, &s->classes[i]);
}

static void
add_member (struct pack *p, struct am_member *from)
{
  Amaranth__Member *m = make (p, sizeof *m);

  if (!m)
    return;
  amaranth__member__init (m);
  m->id = from->id;
  m->name = from->name;
  m->data_centre = from->data_centre;
  m->region = from->region;
  m->ip = from->peer.ip;
  m->peer_port = from->peer.port;
  m->state = from->state;
  m->boot_id = from->boot_id;
  p->snapshot.members[p->snapshot.n_members++] = m;
}

static void
add_key (struct pack *p, const struct am_key *from)
{
  Amaranth__Key *m = make (p, sizeof *m);

  if (!m)
    return;
  amaranth__key__init (m);
  m->id = from->id;
  m->secret.data = (uint8_t *)(uintptr_t)from->secret;
  m->secret.len = AM_TICKET_KEY_SIZE;
  m->state = from->state;
  p->snapshot.keys[p->snapshot.n_keys++] = m;
}

static size_t
count_upstreams (const struct am_board *b)
{
  size_t n = 0;

  am_list_each (s, &b->services, struct am_service, node)
  {
    n += HASH_CNT (by_id, s->upstreams_by_id);
  }
  return n;
}

static bool
make_arrays (struct pack *p, const struct am_board *b)
{
  Amaranth__Snapshot *s = &p->snapshot;

  s->services
      = make (p, HASH_CNT (by_id, b->services_by_id) * sizeof (void *));
  s->members = make (p, HASH_CNT (by_id, b->members_by_id) * sizeof (void *));
  s->keys = make (p, b->key_count * sizeof (void *));
  s->verdicts = make (p, count_upstreams (b) * sizeof (void *));
  return !p->failed;
}

static void
free_service (Amaranth__Service *m)
{
  for (size_t i = 0; i < m->n_upstreams; i++)
    free (m->upstreams[i]);
  for (size_t i = 0; i < m->n_classes; i++)
    free (m->classes[i]);
  free (m->upstreams);
  free (m->classes);
  free (m);
}

static void
finish (struct pack *p)
{
  Amaranth__Snapshot *s = &p->snapshot;

  for (size_t i = 0; i < s->n_services; i++)
    free_service (s->services[i]);
  for (size_t i = 0; i < s->n_members; i++)
    free (s->members[i]);
  for (size_t i = 0; i < s->n_keys; i++)
    free (s->keys[i]);
  for (size_t i = 0; i < s->n_verdicts; i++)
    free (s->verdicts[i]);
  free (s->services);
  free (s->members);
  free (s->keys);
  free (s->verdicts);
}

static void
fill (struct pack *p, const struct am_board *b)
{
  p->snapshot.digest = b->snapshot_digest;
  am_list_each (s, &b->services, struct am_service, node)
  {
    add_service (p, s);
  }
  am_list_each (m, &b->members, struct am_member, node) { add_member (p, m); }
  for (size_t i = 0; i < b->key_count; i++)
    add_key (p, &b->keys[i]);
}

int
am_snapshot_pack (const struct am_board *b, uint8_t **data, size_t *len)
{
  struct pack p = { .failed = false };
  int err = AM_E_MEMORY;

  if (b->counters.snapshots == 0)
    return AM_E_NOT_FOUND;
  amaranth__snapshot__init (&p.snapshot);
  if (make_arrays (&p, b))
    fill (&p, b);
  *data = NULL;
  if (!p.failed)
    *data = malloc (amaranth__snapshot__get_packed_size (&p.snapshot) + 1);
  if (*data)
    {
      *len = amaranth__snapshot__pack (&p.snapshot, *data);
      err = AM_OK;
    }
  finish (&p);
  return err;
}
