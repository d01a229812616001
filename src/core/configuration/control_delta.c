#include "core/configuration/control_delta.h"

#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "base/log.h"
#include "core/configuration/control_config.h"

void
am_delta_finish (struct am_control *c)
{
  am_snapshot_marks_finish (&c->link.delta.base);
  am_snapshot_marks_finish (&c->link.delta.next);
}

void
am_delta_reset (struct am_control *c)
{
  c->link.delta.pending = false;
  c->link.delta.unsupported = false;
}

/* A record version never changes its content in one agent.  A service that
   the forwarder told has no record here.  */
static uint64_t
version (void *userdata, const Amaranth__Service *s)
{
  const struct am_config_entry *e = am_config_find (userdata, s->name);

  if (!e || e->service != s)
    return 0;
  return am_hash_bytes (e->write_id, strlen (e->write_id), e->revision) | 1;
}

int
am_delta_mark (struct am_control *c, Amaranth__Snapshot *snap)
{
  struct am_delta_state *d = &c->link.delta;
  int err;

  am_snapshot_marks_finish (&d->next);
  err = am_snapshot_marks_make (&d->next, snap, &d->base, version, c);
  if (err != AM_E_EXISTS)
    return err;
  /* The forwarder refuses such a snapshot; its digest only has to differ from
     that of the one before.  */
  snap->digest = c->config.digest | 1;
  return AM_OK;
}

static bool
allowed (const struct am_control *c)
{
  const struct am_link *l = &c->link;

  return !l->delta.unsupported && l->delta.next.digest && l->last_digest
         && l->last_digest == l->digest
         && l->delta.base.digest == l->last_digest;
}

static void
emit (struct am_control *c, Amaranth__SnapshotDelta *d)
{
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;
  struct am_address none = { 0 };

  e.body_case = AMARANTH__ENVELOPE__BODY_SNAPSHOT_DELTA;
  e.snapshot_delta = d;
  c->counters.deltas++;
  am_control_emit (c, AM_CONTROL_SEND_FORWARDER, none, 0, &e);
  am_control_log (
      c, AM_LOG_INFO,
      "event=delta_sent base=%016llx digest=%016llx services=%zu members=%zu "
      "keys=%zu verdicts=%zu",
      (unsigned long long)d->base_digest, (unsigned long long)d->digest,
      d->n_services + d->n_services_gone, d->n_members + d->n_members_gone,
      d->n_keys, d->n_verdicts);
}

/* A delta of more than half of the records saves little, and the whole
   snapshot needs no base.  */
static bool
is_short (const Amaranth__SnapshotDelta *d, const Amaranth__Snapshot *snap)
{
  return 2 * (d->n_services + d->n_members)
         <= snap->n_services + snap->n_members;
}

bool
am_delta_send (struct am_control *c, const Amaranth__Snapshot *snap)
{
  struct am_delta_state *s = &c->link.delta;
  Amaranth__SnapshotDelta d;
  bool sent;

  s->pending = false;
  if (!allowed (c) || am_snapshot_diff (&d, &s->base, snap, &s->next))
    return false;
  sent = is_short (&d, snap);
  if (sent)
    emit (c, &d);
  s->pending = sent;
  am_snapshot_diff_finish (&d);
  return sent;
}

void
am_delta_keep (struct am_control *c)
{
  struct am_delta_state *s = &c->link.delta;
  struct am_snapshot_marks empty = { 0 };

  am_snapshot_marks_finish (&s->base);
  s->base = s->next;
  s->next = empty;
}

static void
send_whole (struct am_control *c, int error)
{
  c->link.delta.pending = false;
  c->link.last_digest = 0;
  c->link.dirty = true;
  c->counters.deltas_refused++;
  am_control_log (c, AM_LOG_WARNING, "event=delta_failed error=%s",
                  am_error_name (error));
}

void
am_delta_acknowledged (struct am_control *c, uint64_t digest)
{
  if (!c->link.delta.pending)
    return;
  if (digest == c->link.last_digest)
    c->link.delta.pending = false;
  else if (c->now_us - c->link.last_sent_us >= AM_DELTA_ACK_US)
    send_whole (c, AM_E_TIMEOUT);
}

void
am_delta_failed (struct am_control *c, const Amaranth__Failure *f)
{
  if (!c->link.delta.pending)
    return;
  if (f->error == AM_E_ARGUMENT)
    c->link.delta.unsupported = true;
  send_whole (c, f->error);
}
