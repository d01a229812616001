#include "core/configuration/snapshot.h"

#include "base/error.h"
#include "core/binding/binding.h"
#include "core/configuration/snapshot_check.h"
#include "core/configuration/snapshot_parts.h"
#include "core/lending/quota.h"

static void
find_home (struct am_board *b, struct am_service *s)
{
  s->home_count = am_home_set (b, s, s->home_set);
  s->home = false;
  for (size_t i = 0; i < s->home_count; i++)
    if (s->home_set[i]->id == b->self.id)
      s->home = true;
}

static void
derive (struct am_board *b)
{
  am_list_each (s, &b->services, struct am_service, node) { find_home (b, s); }
  am_quota_recompute (b);
  am_list_each (s, &b->services, struct am_service, node)
  {
    s->binding->changed (b, s);
  }
}

/* The home sets point to members; none may be dropped while they do.  */
static void
forget_home_sets (struct am_board *b)
{
  am_list_each (s, &b->services, struct am_service, node)
  {
    s->home_count = 0;
  }
}

/* ---- whole -------------------------------------------------------- */

static int
apply (struct am_board *b, const Amaranth__Snapshot *snap)
{
  int err = am_snapshot_check (snap);

  if (err)
    return err;
  b->delta_base = 0;
  forget_home_sets (b);
  err = am_snapshot_members (b, snap);
  if (!err)
    err = am_snapshot_services (b, snap);
  am_snapshot_keys (b, snap);
  am_snapshot_verdicts (b, snap);
  derive (b);
  if (err)
    return err;
  b->snapshot_digest = snap->digest;
  if (am_snapshot_services_taken (b, snap))
    b->delta_base = snap->digest;
  return AM_OK;
}

int
am_snapshot_apply (struct am_board *b, const uint8_t *data, size_t len)
{
  Amaranth__Snapshot *snap = amaranth__snapshot__unpack (NULL, len, data);
  int err;

  err = snap ? apply (b, snap) : AM_E_FORMAT;
  if (err)
    b->counters.snapshots_refused++;
  else
    b->counters.snapshots++;
  if (snap)
    am_board_decision (
        b, 0,
        "event=snapshot digest=%016llx services=%zu members=%zu result=%s",
        (unsigned long long)snap->digest, snap->n_services, snap->n_members,
        am_error_name (err));
  amaranth__snapshot__free_unpacked (snap, NULL);
  return err;
}

/* ---- delta -------------------------------------------------------- */

/* A delta changes few home sets: with 730 members one member is in those of
   about 6 of 580 services, and ranking all members for all services took most
   of the time of a whole snapshot.  */
static void
touch_by_members (struct am_board *b, const Amaranth__Snapshot *changed)
{
  for (size_t i = 0; i < changed->n_members; i++)
    {
      const struct am_member *m = am_board_member (b, changed->members[i]->id);

      am_list_each (s, &b->services, struct am_service, node)
      {
        s->touched = s->touched || !m || am_home_set_concerns (s, m);
      }
    }
}

static void
derive_touched (struct am_board *b)
{
  am_list_each (s, &b->services, struct am_service, node)
  {
    if (!s->touched)
      continue;
    find_home (b, s);
    am_quota_recompute_service (b, s);
  }
  am_list_each (s, &b->services, struct am_service, node)
  {
    if (s->touched)
      s->binding->changed (b, s);
  }
}

/* A member that is dropped here is dead or has left, so that no home set
   points to it.  */
static int
apply_delta (struct am_board *b, const Amaranth__SnapshotDelta *d,
             const Amaranth__Snapshot *changed)
{
  int err;

  b->delta_base = 0;
  err = am_snapshot_members_delta (b, changed, d->members_gone,
                                   d->n_members_gone);
  if (!err)
    err = am_snapshot_services_delta (b, changed, d->services_gone,
                                      d->n_services_gone);
  if (d->keys_changed)
    am_snapshot_keys (b, changed);
  am_snapshot_verdicts_delta (b, changed);
  touch_by_members (b, changed);
  derive_touched (b);
  if (err)
    return err;
  b->snapshot_digest = d->digest;
  if (am_snapshot_services_taken (b, changed))
    b->delta_base = d->digest;
  return AM_OK;
}

static int
check_and_apply (struct am_board *b, const Amaranth__SnapshotDelta *d)
{
  Amaranth__Snapshot changed;
  int err;

  if (b->delta_base == 0 || d->base_digest != b->delta_base)
    return AM_E_BASE;
  am_snapshot_of_delta (&changed, d);
  err = am_snapshot_check_delta (b, d, &changed);
  return err ? err : apply_delta (b, d, &changed);
}

int
am_snapshot_apply_delta (struct am_board *b, const uint8_t *data, size_t len)
{
  Amaranth__SnapshotDelta *d
      = amaranth__snapshot_delta__unpack (NULL, len, data);
  int err = d ? check_and_apply (b, d) : AM_E_FORMAT;

  if (err)
    b->counters.deltas_refused++;
  else
    b->counters.deltas++;
  if (d)
    am_board_decision (
        b, 0,
        "event=delta base=%016llx digest=%016llx services=%zu members=%zu "
        "result=%s",
        (unsigned long long)d->base_digest, (unsigned long long)d->digest,
        d->n_services + d->n_services_gone, d->n_members + d->n_members_gone,
        am_error_name (err));
  amaranth__snapshot_delta__free_unpacked (d, NULL);
  return err;
}

/* ---- time --------------------------------------------------------- */

void
am_snapshot_tick (struct am_board *b)
{
  bool dropped = false;

  am_list_each (m, &b->members, struct am_member, node)
  {
    if (m->missing_since_us
        && b->now_us - m->missing_since_us >= AM_MEMBER_KEEP_US)
      dropped = true;
  }
  if (!dropped)
    return;
  forget_home_sets (b);
  am_snapshot_drop_missing (b);
  derive (b);
}

void
am_snapshot_finish (struct am_board *b)
{
  am_list_each (s, &b->services, struct am_service, node)
  {
    s->binding->finish (b, s);
  }
}
