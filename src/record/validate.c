#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/error.h"
#include "record/fields.h"

/* One address and what holds it.  */
struct claim
{
  uint64_t key; /* ip and port */
  const struct am_record *owner;
  size_t upstream; /* index; SERVICE_ADDRESS: the service's own */
  bool released;   /* retired; held by the quarantine only */
};

#define SERVICE_ADDRESS SIZE_MAX

static int64_t
retired_at (const json_t *object)
{
  return json_integer_value (json_object_get (object, "retired_at"));
}

/* A retirement without a time is held for good, which is the safe side.  */
static bool
in_quarantine (const json_t *object, int64_t now)
{
  int64_t at = retired_at (object);

  return at == 0 || now < at + AM_RECORD_QUARANTINE_S;
}

static void
add_claim (struct claim *claims, size_t *n, const struct am_record *r,
           size_t upstream, const json_t *object, bool retired, int64_t now)
{
  const Amaranth__Service *s = r->service;
  struct claim *c = &claims[*n];

  if (retired && !in_quarantine (object, now))
    return;
  if (upstream == SERVICE_ADDRESS)
    c->key = (uint64_t)s->ip << 16 | s->port;
  else
    c->key = (uint64_t)s->upstreams[upstream]->ip << 16
             | s->upstreams[upstream]->port;
  c->owner = r;
  c->upstream = upstream;
  c->released = retired;
  (*n)++;
}

static void
add_claims (struct claim *claims, size_t *n, const struct am_record *r,
            int64_t now)
{
  const Amaranth__Service *s = r->service;
  const json_t *list = json_object_get (r->root, "upstreams");

  add_claim (claims, n, r, SERVICE_ADDRESS, r->root, s->retired, now);
  for (size_t i = 0; i < s->n_upstreams; i++)
    {
      bool gone = s->upstreams[i]->state
                  == AMARANTH__UPSTREAM_STATE__UPSTREAM_RETIRED;
      const json_t *object = gone ? json_array_get (list, i) : r->root;

      add_claim (claims, n, r, i, object, gone || s->retired, now);
    }
}

/* By address; of one address, claims in use come last.  */
static int
compare_claims (const void *a, const void *b)
{
  const struct claim *x = a;
  const struct claim *y = b;

  if (x->key != y->key)
    return x->key < y->key ? -1 : 1;
  return (int)y->released - (int)x->released;
}

static int
overlap (const struct claim *held, const struct claim *wanted,
         struct am_fault *f)
{
  char field[2 * sizeof f->field];
  char allowed[sizeof f->allowed];
  int error = held->released ? AM_E_QUARANTINE : AM_E_ADDRESS_IN_USE;

  if (wanted->upstream == SERVICE_ADDRESS)
    snprintf (field, sizeof field, "%s: address", wanted->owner->name);
  else
    snprintf (field, sizeof field, "%s: upstreams[%zu].address",
              wanted->owner->name, wanted->upstream);
  if (held->upstream == SERVICE_ADDRESS)
    snprintf (allowed, sizeof allowed, "address of service %s",
              held->owner->name);
  else
    snprintf (allowed, sizeof allowed, "upstream %s of service %s",
              held->owner->service->upstreams[held->upstream]->name,
              held->owner->name);
  return am_fault_set (f, error, field, allowed);
}

static int
check_claims (struct claim *claims, size_t n, struct am_fault *f)
{
  size_t first = 0;

  qsort (claims, n, sizeof *claims, compare_claims);
  for (size_t i = 1; i < n; i++)
    {
      if (claims[i].key != claims[first].key)
        first = i;
      for (size_t j = first; j < i; j++)
        {
          bool own = claims[i].owner == claims[j].owner
                     && (claims[i].upstream == SERVICE_ADDRESS)
                            == (claims[j].upstream == SERVICE_ADDRESS);

          if (!own && !claims[i].released)
            return overlap (&claims[j], &claims[i], f);
        }
    }
  return AM_OK;
}

static bool
has_address (const Amaranth__Service *s, const Amaranth__Upstream *u)
{
  for (size_t i = 0; i < s->n_upstreams; i++)
    if (s->upstreams[i]->ip == u->ip && s->upstreams[i]->port == u->port)
      return true;
  return false;
}

/* An entry VM that missed the retirement of OLD tells its upstreams from
   others by the service address that they answer under.  So NEXT may take the
   service address or upstream addresses of OLD, but never both.  */
static int
check_successor (const struct am_record *old, const struct am_record *next,
                 struct am_fault *f)
{
  const Amaranth__Service *s = next->service;
  char field[2 * sizeof f->field];
  char allowed[sizeof f->allowed];

  if (!old->service->retired || s->retired || s->ip != old->service->ip
      || s->port != old->service->port)
    return AM_OK;
  for (size_t i = 0; i < s->n_upstreams; i++)
    {
      if (!has_address (old->service, s->upstreams[i]))
        continue;
      snprintf (field, sizeof field, "%s: upstreams[%zu].address", next->name,
                i);
      snprintf (allowed, sizeof allowed,
                "address of an upstream of retired service %s at the same "
                "service address",
                old->name);
      return am_fault_set (f, AM_E_QUARANTINE, field, allowed);
    }
  return AM_OK;
}

static int
check_successors (const struct am_record *const *set, size_t n,
                  struct am_fault *f)
{
  int err = AM_OK;

  for (size_t i = 0; i < n && !err; i++)
    for (size_t j = 0; j < n && !err; j++)
      if (set[i]->service && set[j]->service)
        err = check_successor (set[i], set[j], f);
  return err;
}

struct identity
{
  uint32_t id;
  const struct am_record *record;
};

static int
compare_identities (const void *a, const void *b)
{
  const struct identity *x = a;
  const struct identity *y = b;

  return x->id < y->id ? -1 : x->id > y->id;
}

static int
check_names (struct identity *list, size_t n, struct am_fault *f)
{
  char field[sizeof f->field];

  qsort (list, n, sizeof *list, compare_identities);
  for (size_t i = 1; i < n; i++)
    if (list[i].id == list[i - 1].id)
      {
        const char *name = list[i].record->name;
        bool same = strcmp (name, list[i - 1].record->name) == 0;

        snprintf (field, sizeof field, "%s: name", name);
        return am_fault_set (f, AM_E_EXISTS, field,
                             same ? "name is used twice"
                                  : "hash of another service's name");
      }
  return AM_OK;
}

int
am_record_validate_set_at (const struct am_record *const *set, size_t n,
                           int64_t now, struct am_fault *f)
{
  size_t claim_count = 0;
  size_t total = 1;
  size_t names = 0;
  struct claim *claims;
  struct identity *identities;
  int err;

  memset (f, 0, sizeof *f);
  for (size_t i = 0; i < n; i++)
    total += set[i]->service ? 1 + set[i]->service->n_upstreams : 1;
  claims = calloc (total, sizeof *claims);
  identities = calloc (n + 1, sizeof *identities);
  if (!claims || !identities)
    {
      free (claims);
      free (identities);
      return am_fault_set (f, AM_E_MEMORY, "", "");
    }
  for (size_t i = 0; i < n; i++)
    if (set[i]->service)
      {
        add_claims (claims, &claim_count, set[i], now);
        identities[names].id = set[i]->service->id;
        identities[names++].record = set[i];
      }
  err = check_names (identities, names, f);
  if (!err)
    err = check_claims (claims, claim_count, f);
  if (!err)
    err = check_successors (set, n, f);
  free (claims);
  free (identities);
  return err;
}

int
am_record_validate_set (const struct am_record *const *set, size_t n,
                        struct am_fault *f)
{
  return am_record_validate_set_at (set, n, (int64_t)time (NULL), f);
}
