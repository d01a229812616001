#include "core/membership/control_forwarder_link.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "core/configuration/control_config.h"
#include "core/configuration/control_delta.h"
#include "core/configuration/control_snapshot.h"
#include "core/membership/control_members.h"
#include "core/ownership/service_leases.h"
#include "core/targets/control_verdicts.h"

void
am_forwarder_link_init (struct am_control *c)
{
  c->link.down_us = c->now_us;
  c->link.dirty = true;
}

void
am_forwarder_link_finish (struct am_control *c)
{
  am_snapshot_drop_earlier (c);
  am_delta_finish (c);
  free (c->link.report);
}

/* Requests the forwarder's active snapshot.  The forwarder answers with
   Snapshot, if it has one, and sends reports from then on.  */
static void
request_snapshot (struct am_control *c)
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
  am_snapshot_drop_earlier (c);
  am_control_log (c, AM_LOG_INFO, "event=forwarder connected=1");
  request_snapshot (c);
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

/* ---- messages from the forwarder ---------------------------------- */

static void
update_self_state (struct am_control *c)
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
store_report (struct am_control *c, const Amaranth__Report *r)
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
handle_report (struct am_control *c, const Amaranth__Report *r)
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
    update_self_state (c);
  am_verdicts_apply_report (c, r);
  return store_report (c, r);
}

/* Keeps the forwarder's active snapshot: a newly started agent must not send
   older revisions than these, and contacts the members listed in it.  */
static int
handle_snapshot (struct am_control *c, const Amaranth__Snapshot *s)
{
  size_t len = amaranth__snapshot__get_packed_size (s);
  uint8_t *packed = malloc (len + 1);
  int err = AM_OK;

  if (!packed)
    return AM_E_MEMORY;
  amaranth__snapshot__pack (s, packed);
  am_snapshot_drop_earlier (c);
  c->link.earlier_snapshot = amaranth__snapshot__unpack (NULL, len, packed);
  free (packed);
  if (!c->link.earlier_snapshot)
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
      return handle_report (c, e->report);
    case AMARANTH__ENVELOPE__BODY_SNAPSHOT:
      return handle_snapshot (c, e->snapshot);
    case AMARANTH__ENVELOPE__BODY_OWNER_GIVEN_UP:
      return am_service_leases_forwarder_stopped (c, e->owner_given_up);
    case AMARANTH__ENVELOPE__BODY_FAILURE:
      am_delta_failed (c, e->failure);
      return AM_OK;
    default:
      return AM_E_FORMAT;
    }
}

/* ---- snapshots ---------------------------------------------------- */

/* Returns true if the forwarder may be sent a snapshot.  If it already has
   one, this agent must first have joined and have a configuration, its own or
   the one that the forwarder reported.  */
static bool
may_send (const struct am_control *c)
{
  if (c->link.digest == 0)
    return c->config.count || c->spread.joined;
  return c->spread.joined && (c->config.count || c->link.earlier_snapshot);
}

/* Records which configuration the snapshot with DIGEST represents.  Two
   configurations can have the same snapshot, because a record can change in
   fields that are not sent to forwarders.  */
static void
record_sent (struct am_control *c, uint64_t digest)
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
send_snapshot (struct am_control *c, struct am_snapshot_builder *b)
{
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;
  struct am_address none = { 0 };

  if (am_delta_send (c, &b->snapshot))
    {
      record_sent (c, b->snapshot.digest);
      return;
    }
  e.body_case = AMARANTH__ENVELOPE__BODY_SNAPSHOT;
  e.snapshot = &b->snapshot;
  c->counters.snapshots++;
  record_sent (c, b->snapshot.digest);
  am_control_emit (c, AM_CONTROL_SEND_FORWARDER, none, 0, &e);
  am_control_log (
      c, AM_LOG_INFO,
      "event=snapshot_sent digest=%016llx services=%zu members=%zu "
      "keys=%zu verdicts=%zu",
      (unsigned long long)b->snapshot.digest, b->snapshot.n_services,
      b->snapshot.n_members, b->snapshot.n_keys, b->snapshot.n_verdicts);
}

static void
build_and_send (struct am_control *c)
{
  struct am_snapshot_builder b;

  c->link.dirty = false;
  if (am_snapshot_builder_init (&b, c) != AM_OK
      || am_delta_mark (c, &b.snapshot) != AM_OK)
    c->link.dirty = true;
  else if (b.snapshot.digest != c->link.last_digest)
    send_snapshot (c, &b);
  else
    {
      record_sent (c, b.snapshot.digest);
      acknowledge (c, c->link.digest);
    }
  if (!c->link.dirty)
    am_delta_keep (c);
  am_snapshot_builder_finish (&b);
}

static void
check_forwarder_grace (struct am_control *c)
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
  check_forwarder_grace (c);
  if (!c->link.up || !c->link.reported || !c->link.dirty
      || c->now_us - c->link.last_sent_us < AM_SNAPSHOT_INTERVAL_MIN_US)
    return;
  if (!may_send (c))
    {
      c->counters.snapshots_held++;
      return;
    }
  build_and_send (c);
}
