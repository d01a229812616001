#include "core/configuration/control_spread.h"

#include <stdlib.h>

#include "base/log.h"
#include "core/configuration/control_spread_parts.h"
#include "core/membership/control_members.h"

/* A whole exchange waits until the fast spread of the last change is over.  */
#define SYNC_QUIET_US (3 * AM_SECOND_US)
#define SYNC_WAIT_MIN_US (2 * AM_SECOND_US)
#define SYNC_WAIT_MAX_US (128 * AM_SECOND_US)

/* Exchanges of the table with a member held dead: at once, then with a wait
   that doubles until none has been needed for the calm time.  Links that lose
   20 % gave false deaths every few seconds.  */
#define EXCHANGE_WAIT_US (2 * AM_SECOND_US)
#define EXCHANGE_CALM_US (128 * AM_SECOND_US)

/* A fresh agent asks another peer after JOIN_RETRY_US, and goes on without an
   answer after JOIN_LIMIT_US.  */
#define JOIN_RETRY_US AM_SECOND_US
#define JOIN_LIMIT_US (5 * AM_SECOND_US)

/* After a join the tables of members are exchanged again, because the first
   peer may have been as fresh as this one; the wait doubles while nothing is
   new, up to the limit, which ends the exchanges.  */
#define MEMBERS_WAIT_MIN_US (2 * AM_SECOND_US)
#define MEMBERS_WAIT_LIMIT_US (4 * AM_SECOND_US)

void
am_spread_exchange_init (struct am_control *c)
{
  c->spread.sync_wait_us = SYNC_WAIT_MIN_US;
  c->spread.exchange_wait_us = EXCHANGE_WAIT_US;
  c->spread.started_us = c->now_us;
}

static void
request (struct am_control *c, struct am_address to, bool join)
{
  Amaranth__DigestRequest r = AMARANTH__DIGEST_REQUEST__INIT;
  Amaranth__Envelope env = AMARANTH__ENVELOPE__INIT;
  size_t n = c->config.count;
  Amaranth__RecordVersion *versions = calloc (n + 1, sizeof *versions);
  Amaranth__RecordVersion **list
      = calloc (n + 1, sizeof (Amaranth__RecordVersion *));
  struct am_config_entry *e;
  struct am_config_entry *next;

  if (versions && list)
    {
      HASH_ITER (by_name, c->config.by_name, e, next)
      {
        am_spread_version_describe (e, &versions[r.n_have]);
        list[r.n_have] = &versions[r.n_have];
        r.n_have++;
      }
      r.have = list;
      r.join = join;
      if (join)
        r.members = am_spread_members_list (c, &r.n_members);
      env.body_case = AMARANTH__ENVELOPE__BODY_DIGEST_REQUEST;
      env.digest_request = &r;
      c->counters.syncs++;
      am_control_emit (c, AM_CONTROL_SEND_PEER, to, 0, &env);
      free (r.members);
    }
  free (versions);
  free (list);
}

void
am_spread_exchange (struct am_control *c, const struct am_vm *v)
{
  struct am_spread *s = &c->spread;

  if (c->now_us < s->next_exchange_us)
    return;
  if (c->now_us - s->next_exchange_us > EXCHANGE_CALM_US)
    s->exchange_wait_us = EXCHANGE_WAIT_US;
  s->next_exchange_us = c->now_us + s->exchange_wait_us;
  if (s->exchange_wait_us < EXCHANGE_CALM_US)
    s->exchange_wait_us *= 2;
  request (c, am_vm_control (v), true);
}

static void
sync_tick (struct am_control *c)
{
  struct am_spread *s = &c->spread;
  const struct am_vm *v
      = s->mismatch_id ? am_members_find (c, s->mismatch_id) : NULL;

  if (!v || c->now_us < s->next_sync_us
      || c->now_us - c->config.changed_us < SYNC_QUIET_US)
    return;
  if (s->synced_digest == c->config.digest)
    s->sync_wait_us *= 2;
  else
    s->sync_wait_us = SYNC_WAIT_MIN_US;
  if (s->sync_wait_us > SYNC_WAIT_MAX_US)
    s->sync_wait_us = SYNC_WAIT_MAX_US;
  s->synced_digest = c->config.digest;
  s->next_sync_us = c->now_us + s->sync_wait_us;
  s->mismatch_id = 0;
  request (c, am_vm_control (v), false);
}

static void
join_tick (struct am_control *c)
{
  struct am_spread *s = &c->spread;
  struct am_vm *v;

  if (s->joined)
    return;
  if (c->now_us - s->started_us >= JOIN_LIMIT_US)
    {
      s->joined = true;
      c->link.dirty = true;
      am_control_log (c, AM_LOG_NOTICE,
                      "event=join_timeout members=%zu records=%zu",
                      c->vms.live, c->config.count);
      return;
    }
  if (c->now_us < s->next_join_us || am_members_random (c, 0, &v, 1) == 0)
    return;
  s->next_join_us = c->now_us + JOIN_RETRY_US;
  request (c, am_vm_control (v), true);
}

static void
members_tick (struct am_control *c)
{
  struct am_spread *s = &c->spread;
  struct am_vm *v;

  if (!s->joined || s->members_wait_us > MEMBERS_WAIT_LIMIT_US
      || c->now_us < s->next_members_us)
    return;
  if (s->members_wait_us == 0 || c->vms.count > s->members_before)
    s->members_wait_us = MEMBERS_WAIT_MIN_US;
  else
    s->members_wait_us *= 2;
  s->next_members_us = c->now_us + s->members_wait_us;
  if (s->members_before && am_members_random (c, 0, &v, 1))
    request (c, am_vm_control (v), true);
  s->members_before = c->vms.count;
}

void
am_spread_exchange_tick (struct am_control *c)
{
  join_tick (c);
  members_tick (c);
  sync_tick (c);
}
