#include "core/configuration/control_snapshot.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "core/configuration/control_config.h"
#include "core/membership/control_members.h"

#define KEYS_RECORD "ticket-keys"

void
am_snapshot_drop_earlier (struct am_control *c)
{
  if (c->link.earlier_snapshot)
    amaranth__snapshot__free_unpacked (c->link.earlier_snapshot, NULL);
  c->link.earlier_snapshot = NULL;
}

static int
by_name (const void *a, const void *b)
{
  const Amaranth__Service *const *x = a;
  const Amaranth__Service *const *y = b;

  return strcmp ((*x)->name, (*y)->name);
}

/* Orders services by precedence for an address that several of them have: the
   higher revision first, then the lower name.  */
static int
by_precedence (const void *a, const void *b)
{
  const Amaranth__Service *const *x = a;
  const Amaranth__Service *const *y = b;

  if ((*x)->revision != (*y)->revision)
    return (*x)->revision > (*y)->revision ? -1 : 1;
  return by_name (a, b);
}

struct address_holder
{
  UT_hash_handle hh;
  uint64_t address;
};

/* Returns false if another service of the list has the address of S.  */
static bool
claim_address (struct address_holder **index, struct address_holder *memory,
               const Amaranth__Service *s)
{
  struct am_address a = { s->ip, (uint16_t)s->port };
  struct address_holder *held;

  memory->address = am_address_key (a);
  HASH_FIND (hh, *index, &memory->address, sizeof memory->address, held);
  if (held)
    return false;
  HASH_ADD (hh, *index, address, sizeof memory->address, memory);
  return true;
}

/* Removes services whose address is also that of a service of higher
   precedence, so that a packet never reaches the wrong one of the two.  */
static int
drop_conflicts (struct am_control *c, Amaranth__Snapshot *snap)
{
  struct address_holder *memory
      = calloc (snap->n_services + 1, sizeof *memory);
  struct address_holder *index = NULL;
  size_t kept = 0;

  if (!memory)
    return AM_E_MEMORY;
  qsort (snap->services, snap->n_services, sizeof (Amaranth__Service *),
         by_precedence);
  for (size_t i = 0; i < snap->n_services; i++)
    {
      Amaranth__Service *s = snap->services[i];

      if (s->retired || claim_address (&index, &memory[i], s))
        snap->services[kept++] = s;
      else
        am_control_log (c, AM_LOG_ERROR,
                        "event=config_left_out record=%s error=address_in_use",
                        s->name);
    }
  snap->n_services = kept;
  HASH_CLEAR (hh, index);
  free (memory);
  qsort (snap->services, kept, sizeof (Amaranth__Service *), by_name);
  return AM_OK;
}

/* Replaces the agent's record of a service by the one that the forwarder
   reported if the record is older, or adds the latter if there is no record.
   Returns true if the reported one is used.  */
static bool
add_reported_service (Amaranth__Snapshot *snap, Amaranth__Service *reported)
{
  for (size_t i = 0; i < snap->n_services; i++)
    if (snap->services[i]->id == reported->id)
      {
        if (snap->services[i]->revision >= reported->revision)
          return false;
        snap->services[i] = reported;
        return true;
      }
  snap->services[snap->n_services++] = reported;
  return true;
}

static void
add_reported_config (struct am_control *c, Amaranth__Snapshot *snap)
{
  Amaranth__Snapshot *reported = c->link.earlier_snapshot;
  bool needed = false;

  if (!reported)
    return;
  for (size_t i = 0; i < reported->n_services; i++)
    needed |= add_reported_service (snap, reported->services[i]);
  if (snap->n_keys == 0 && reported->n_keys)
    {
      snap->keys = reported->keys;
      snap->n_keys = reported->n_keys;
      needed = true;
    }
  if (!needed)
    am_snapshot_drop_earlier (c);
}

static int
add_services (struct am_control *c, struct am_snapshot_builder *b)
{
  size_t room = c->config.count + 1;
  struct am_config_entry *e;
  struct am_config_entry *next;

  if (c->link.earlier_snapshot)
    room += c->link.earlier_snapshot->n_services;
  b->snapshot.services = calloc (room, sizeof (Amaranth__Service *));
  if (!b->snapshot.services)
    return AM_E_MEMORY;
  HASH_ITER (by_name, c->config.by_name, e, next)
  {
    if (e->service)
      b->snapshot.services[b->snapshot.n_services++] = e->service;
  }
  add_reported_config (c, &b->snapshot);
  return drop_conflicts (c, &b->snapshot);
}

static int
by_id (const void *a, const void *b)
{
  const Amaranth__Member *const *x = a;
  const Amaranth__Member *const *y = b;

  return (*x)->id < (*y)->id ? -1 : (*x)->id > (*y)->id;
}

static void
add_member (struct am_snapshot_builder *b, const struct am_vm *v)
{
  Amaranth__Member *m = &b->members[b->snapshot.n_members];

  am_members_fill_message (v, m);
  m->config_digest = 0;
  b->snapshot.members[b->snapshot.n_members++] = m;
}

static int
add_members (struct am_control *c, struct am_snapshot_builder *b)
{
  size_t n = c->vms.count + 1;

  b->members = calloc (n, sizeof *b->members);
  b->snapshot.members = calloc (n, sizeof (Amaranth__Member *));
  if (!b->members || !b->snapshot.members)
    return AM_E_MEMORY;
  add_member (b, &c->self);
  am_list_each (v, &c->vms.all, struct am_vm, node) { add_member (b, v); }
  qsort (b->snapshot.members, n, sizeof (Amaranth__Member *), by_id);
  return AM_OK;
}

static int
add_verdicts (struct am_control *c, struct am_snapshot_builder *b)
{
  size_t n = c->verdicts.ejected_count;

  b->verdicts = calloc (n + 1, sizeof *b->verdicts);
  b->snapshot.verdicts = calloc (n + 1, sizeof (Amaranth__Verdict *));
  if (!b->verdicts || !b->snapshot.verdicts)
    return AM_E_MEMORY;
  for (size_t i = 0; i < n; i++)
    {
      amaranth__verdict__init (&b->verdicts[i]);
      b->verdicts[i].service_id = c->verdicts.ejected[i].service_id;
      b->verdicts[i].upstream_id = c->verdicts.ejected[i].upstream_id;
      b->verdicts[i].ejected = true;
      b->snapshot.verdicts[i] = &b->verdicts[i];
    }
  b->snapshot.n_verdicts = n;
  return AM_OK;
}

int
am_snapshot_builder_init (struct am_snapshot_builder *b, struct am_control *c)
{
  const struct am_config_entry *keys = am_config_find (c, KEYS_RECORD);
  int err;

  memset (b, 0, sizeof *b);
  amaranth__snapshot__init (&b->snapshot);
  if (keys)
    {
      b->snapshot.keys = keys->keys;
      b->snapshot.n_keys = keys->key_count;
    }
  err = add_services (c, b);
  if (!err)
    err = add_members (c, b);
  if (!err)
    err = add_verdicts (c, b);
  return err;
}

void
am_snapshot_builder_finish (struct am_snapshot_builder *b)
{
  free (b->members);
  free (b->verdicts);
  free (b->snapshot.services);
  free (b->snapshot.members);
  free (b->snapshot.verdicts);
}
