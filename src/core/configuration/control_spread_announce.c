#include "core/configuration/control_spread.h"

#include "core/configuration/control_spread_parts.h"
#include "core/configuration/control_store_index.h"
#include "core/membership/control_members.h"

/* A version counts as recent this long; the announcements and the probes of a
   fleet of 1,000 need about three seconds.  */
#define RECENT_US (30 * AM_SECOND_US)

#define FANOUT_MAX 1024

static void
announce_to (struct am_control *c, struct am_address to,
             const struct am_config_entry *const *entries, size_t n)
{
  Amaranth__RecordVersion versions[AM_ANNOUNCE_MAX];
  Amaranth__RecordVersion *list[AM_ANNOUNCE_MAX];
  Amaranth__Announce a = AMARANTH__ANNOUNCE__INIT;
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;

  for (size_t i = 0; i < n; i++)
    {
      am_spread_version_describe (entries[i], &versions[i]);
      list[i] = &versions[i];
    }
  a.versions = list;
  a.n_versions = n;
  a.config_digest = c->config.digest;
  a.store_index = am_store_index (c);
  e.body_case = AMARANTH__ENVELOPE__BODY_ANNOUNCE;
  e.announce = &a;
  c->counters.announcements++;
  am_control_emit (c, AM_CONTROL_SEND_GOSSIP, to, 0, &e);
}

void
am_spread_announce (struct am_control *c,
                    const struct am_config_entry *const *entries, size_t n)
{
  struct am_vm *to[FANOUT_MAX];
  size_t count;

  if (n == 0 || n > AM_ANNOUNCE_MAX || c->fanout == AM_FANOUT_NONE)
    return;
  count = am_members_random (c, 0, to,
                             c->fanout < FANOUT_MAX ? c->fanout : FANOUT_MAX);
  for (size_t i = 0; i < count; i++)
    announce_to (c, am_vm_gossip (to[i]), entries, n);
}

static size_t
recent (const struct am_control *c, const struct am_config_entry **out)
{
  size_t n = 0;

  am_list_each (e, &c->config.recent, struct am_config_entry, recent)
  {
    if (n == AM_ANNOUNCE_MAX || c->now_us - e->changed_us > RECENT_US)
      break;
    out[n++] = e;
  }
  return n;
}

void
am_spread_compare (struct am_control *c, const struct am_vm *v,
                   const Amaranth__Gossip *g)
{
  const struct am_config_entry *entries[AM_ANNOUNCE_MAX];
  size_t n;

  am_store_index_heard (c, g->config_digest, g->store_index);
  if (g->config_digest == c->config.digest)
    {
      c->spread.mismatch_id = 0;
      return;
    }
  n = recent (c, entries);
  if (n)
    announce_to (c, am_vm_gossip (v), entries, n);
  if (g->kind == AMARANTH__GOSSIP_KIND__GOSSIP_ACK)
    c->spread.mismatch_id = v->id;
}
