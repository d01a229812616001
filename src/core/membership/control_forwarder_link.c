#include "core/membership/control_forwarder_link.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "core/configuration/control_config.h"
#include "core/configuration/control_delta.h"
#include "core/membership/control_members.h"
#include "core/ownership/control_owners.h"
#include "core/targets/control_verdicts.h"

#define KEYS_RECORD "ticket-keys"

void
am_forwarder_link_init (struct am_control *c)
{
  c->link.down_us = c->now_us;
  c->link.dirty = true;
}

static void
forget_told (struct am_control *c)
{
  if (c->link.told)
    amaranth__snapshot__free_unpacked (c->link.told, NULL);
  c->link.told = NULL;
}

void
am_forwarder_link_finish (struct am_control *c)
{
  forget_told (c);
  am_delta_finish (c);
  free (c->link.report);
}

/* Asks the forwarder what it serves with; it answers with its Snapshot, if it
   has one, and from then on sends reports.  */
static void
ask_snapshot (struct am_control *c)
{
  Amaranth__StatusRequest r = AMARANTH__STATUS_REQUEST__INIT;
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;
  struct am_address none = { 0 };

  e.body_case = AMARANTH__ENVELOPE__BODY_STATUS_REQUEST;
  e.status_request = &r;
  am_control_emit (c, AM_CONTROL_SEND_FORWARDER, none, 0, &e);
}

void
am_forwarder_link_connected (struct am_control *c)
{
  c->link.up = true;
  c->link.reported = false;
  c->link.last_digest = 0;
  c->link.dirty = true;
  am_delta_reset (c);
  forget_told (c);
  am_control_log (c, AM_LOG_INFO, "event=forwarder connected=1");
  ask_snapshot (c);
}

void
am_forwarder_link_lost (struct am_control *c)
{
  if (!c->link.up)
    return;
  c->link.up = false;
  c->link.down_us = c->now_us;
  am_control_log (c, AM_LOG_NOTICE, "event=forwarder connected=0");
}

/* ---- messages of the forwarder ------------------------------------ */

static void
set_life (struct am_control *c)
{
  bool serving = c->link.life == AMARANTH__LIFE_STATE__LIFE_SERVING;

  am_members_set_self (c,
                       serving ? AMARANTH__MEMBER_STATE__MEMBER_ALIVE
                               : AMARANTH__MEMBER_STATE__MEMBER_LEAVING,
                       c->link.boot_id);
}

static void
acknowledge (struct am_control *c, uint64_t digest)
{
  c->link.digest = digest;
  for (size_t i = 0; i < AM_SENT_MAX; i++)
    {
      const struct am_sent_snapshot *s = &c->link.sent[i];

      if (s->number == 0 || s->digest != digest)
        continue;
      c->link.acked_config = s->config_digest;
      am_config_acknowledge (c, s->number);
    }
}

static int
keep_report (struct am_control *c, const Amaranth__Report *r)
{
  size_t len = amaranth__report__get_packed_size (r);
  uint8_t *packed = malloc (len + 1);

  if (!packed)
    return AM_E_MEMORY;
  c->link.report_len = amaranth__report__pack (r, packed);
  free (c->link.report);
  c->link.report = packed;
  return AM_OK;
}

static int
take_report (struct am_control *c, const Amaranth__Report *r)
{
  if (r->boot_id == 0)
    return AM_E_FORMAT;
  if (c->link.boot_id && c->link.boot_id != r->boot_id)
    {
      am_verdicts_withdraw_own (c);
      c->link.last_digest = 0;
      c->link.dirty = true;
    }
  if (!c->link.reported)
    c->link.dirty = true;
  c->link.reported = true;
  c->link.boot_id = r->boot_id;
  c->link.life = r->life;
  acknowledge (c, r->digest);
  am_delta_acknowledged (c, r->digest);
  if (!c->stopping_us)
    set_life (c);
  am_verdicts_apply_report (c, r);
  return keep_report (c, r);
}

/* The forwarder tells the snapshot it serves with: what a fresh agent must not
   lower, and members to ask.  */
static int
take_snapshot (struct am_control *c, const Amaranth__Snapshot *s)
{
  size_t len = amaranth__snapshot__get_packed_size (s);
  uint8_t *packed = malloc (len + 1);
  int err = AM_OK;

  if (!packed)
    return AM_E_MEMORY;
  amaranth__snapshot__pack (s, packed);
  forget_told (c);
  c->link.told = amaranth__snapshot__unpack (NULL, len, packed);
  free (packed);
  if (!c->link.told)
    return AM_E_MEMORY;
  for (size_t i = 0; i < s->n_members && !err; i++)
    if (s->members[i]->id != c->self.id)
      err = am_members_update (c, s->members[i], AM_UPDATE_TABLE_EXCHANGE);
  return err;
}

int
am_forwarder_link_receive (struct am_control *c, const Amaranth__Envelope *e)
{
  switch (e->body_case)
    {
    case AMARANTH__ENVELOPE__BODY_REPORT:
      return take_report (c, e->report);
    case AMARANTH__ENVELOPE__BODY_SNAPSHOT:
      return take_snapshot (c, e->snapshot);
    case AMARANTH__ENVELOPE__BODY_OWNER_GIVEN_UP:
      return am_owners_given_up (c, e->owner_given_up);
    case AMARANTH__ENVELOPE__BODY_FAILURE:
      am_delta_failed (c, e->failure);
      return AM_OK;
    default:
      return AM_E_FORMAT;
    }
}

/* ---- snapshots ---------------------------------------------------- */

struct builder
{
  Amaranth__Snapshot snapshot;
  Amaranth__Member *members;
  Amaranth__Verdict *verdicts;
};

static int
by_name (const void *a, const void *b)
{
  const Amaranth__Service *const *x = a;
  const Amaranth__Service *const *y = b;

  return strcmp ((*x)->name, (*y)->name);
}

/* Services in the order in which they are kept when two have one address:
   the greater revision, then the lesser name.  */
static int
by_claim (const void *a, const void *b)
{
  const Amaranth__Service *const *x = a;
  const Amaranth__Service *const *y = b;

  if ((*x)->revision != (*y)->revision)
    return (*x)->revision > (*y)->revision ? -1 : 1;
  return by_name (a, b);
}

struct claim
{
  UT_hash_handle hh;
  uint64_t address;
};

/* Returns false if another service of the list has the address of S.  */
static bool
claim_address (struct claim **index, struct claim *memory,
               const Amaranth__Service *s)
{
  struct am_address a = { s->ip, (uint16_t)s->port };
  struct claim *held;

  memory->address = am_address_key (a);
  HASH_FIND (hh, *index, &memory->address, sizeof memory->address, held);
  if (held)
    return false;
  HASH_ADD (hh, *index, address, sizeof memory->address, memory);
  return true;
}

/* Leaves out the services whose address another one has, so that a packet
   never reaches the wrong one of the two.  */
static int
drop_conflicts (struct am_control *c, Amaranth__Snapshot *snap)
{
  struct claim *memory = calloc (snap->n_services + 1, sizeof *memory);
  struct claim *index = NULL;
  size_t kept = 0;

  if (!memory)
    return AM_E_MEMORY;
  qsort (snap->services, snap->n_services, sizeof (Amaranth__Service *),
         by_claim);
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

/* Puts the service that the forwarder told in the place of an older record.
   Returns true if the record is older or missing.  */
static bool
keep_told (Amaranth__Snapshot *snap, Amaranth__Service *told)
{
  for (size_t i = 0; i < snap->n_services; i++)
    if (snap->services[i]->id == told->id)
      {
        if (snap->services[i]->revision >= told->revision)
          return false;
        snap->services[i] = told;
        return true;
      }
  snap->services[snap->n_services++] = told;
  return true;
}

static void
add_told (struct am_control *c, Amaranth__Snapshot *snap)
{
  Amaranth__Snapshot *told = c->link.told;
  bool needed = false;

  if (!told)
    return;
  for (size_t i = 0; i < told->n_services; i++)
    needed |= keep_told (snap, told->services[i]);
  if (snap->n_keys == 0 && told->n_keys)
    {
      snap->keys = told->keys;
      snap->n_keys = told->n_keys;
      needed = true;
    }
  if (!needed)
    forget_told (c);
}

static int
add_services (struct am_control *c, struct builder *b)
{
  size_t room = c->config.count + 1;
  struct am_config_entry *e;
  struct am_config_entry *next;

  if (c->link.told)
    room += c->link.told->n_services;
  b->snapshot.services = calloc (room, sizeof (Amaranth__Service *));
  if (!b->snapshot.services)
    return AM_E_MEMORY;
  HASH_ITER (by_name, c->config.by_name, e, next)
  {
    if (e->service)
      b->snapshot.services[b->snapshot.n_services++] = e->service;
  }
  add_told (c, &b->snapshot);
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
add_member (struct builder *b, const struct am_vm *v)
{
  Amaranth__Member *m = &b->members[b->snapshot.n_members];

  am_members_fill_message (v, m);
  m->config_digest = 0;
  b->snapshot.members[b->snapshot.n_members++] = m;
}

static int
add_members (struct am_control *c, struct builder *b)
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
add_verdicts (struct am_control *c, struct builder *b)
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

static int
build (struct am_control *c, struct builder *b)
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

static void
builder_finish (struct builder *b)
{
  free (b->members);
  free (b->verdicts);
  free (b->snapshot.services);
  free (b->snapshot.members);
  free (b->snapshot.verdicts);
}

/* A forwarder that serves with a snapshot from before gets none until this
   agent has joined and has a configuration, its own or the one told.  */
static bool
may_send (const struct am_control *c)
{
  if (c->link.digest == 0)
    return c->config.count || c->spread.joined;
  return c->spread.joined && (c->config.count || c->link.told);
}

/* Notes which configuration the snapshot with DIGEST stands for.  Two can have
   one snapshot: a record can change in fields that forwarders do not get.  */
static void
remember (struct am_control *c, uint64_t digest)
{
  struct am_link *l = &c->link;
  struct am_sent_snapshot *s = &l->sent[l->numbers % AM_SENT_MAX];
  struct am_config_entry *e;
  struct am_config_entry *next;

  l->numbers++;
  s->digest = digest;
  s->config_digest = c->config.digest;
  s->number = l->numbers;
  l->last_digest = digest;
  l->last_sent_us = c->now_us;
  HASH_ITER (by_name, c->config.by_name, e, next)
  {
    if (e->snapshot == 0)
      e->snapshot = l->numbers;
  }
}

static void
send_snapshot (struct am_control *c, struct builder *b)
{
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;
  struct am_address none = { 0 };

  if (am_delta_send (c, &b->snapshot))
    {
      remember (c, b->snapshot.digest);
      return;
    }
  e.body_case = AMARANTH__ENVELOPE__BODY_SNAPSHOT;
  e.snapshot = &b->snapshot;
  c->counters.snapshots++;
  remember (c, b->snapshot.digest);
  am_control_emit (c, AM_CONTROL_SEND_FORWARDER, none, 0, &e);
  am_control_log (
      c, AM_LOG_INFO,
      "event=snapshot_sent digest=%016llx services=%zu members=%zu "
      "keys=%zu verdicts=%zu",
      (unsigned long long)b->snapshot.digest, b->snapshot.n_services,
      b->snapshot.n_members, b->snapshot.n_keys, b->snapshot.n_verdicts);
}

static void
try_send (struct am_control *c)
{
  struct builder b;

  c->link.dirty = false;
  if (build (c, &b) != AM_OK || am_delta_mark (c, &b.snapshot) != AM_OK)
    c->link.dirty = true;
  else if (b.snapshot.digest != c->link.last_digest)
    send_snapshot (c, &b);
  else
    {
      remember (c, b.snapshot.digest);
      acknowledge (c, c->link.digest);
    }
  if (!c->link.dirty)
    am_delta_keep (c);
  builder_finish (&b);
}

static void
watch_forwarder (struct am_control *c)
{
  if (c->link.up || c->stopping_us
      || c->now_us - c->link.down_us < AM_FORWARDER_GRACE_US)
    return;
  am_members_set_self (c, AMARANTH__MEMBER_STATE__MEMBER_LEAVING,
                       c->link.boot_id);
}

void
am_forwarder_link_tick (struct am_control *c)
{
  watch_forwarder (c);
  if (!c->link.up || !c->link.reported || !c->link.dirty
      || c->now_us - c->link.last_sent_us < AM_SNAPSHOT_INTERVAL_MIN_US)
    return;
  if (!may_send (c))
    {
      c->counters.snapshots_held++;
      return;
    }
  try_send (c);
}
