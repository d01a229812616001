#include "flow/fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

#define RANK_SEED 0x72616e6bu

static uint64_t
hash_name (const char *name)
{
  return am_hash_bytes (name, strlen (name), RANK_SEED);
}

/* Orders by descending link bandwidth, then by the hash of the name.  */
static uint64_t
rank (uint64_t hash, uint32_t link_mbps)
{
  return (uint64_t)(UINT32_MAX - link_mbps) << 32 | hash >> 32;
}

void
am_fleet_init (struct am_fleet *f, const char *name, uint32_t data_centre,
               uint32_t link_mbps, uint64_t now_us)
{
  memset (f, 0, sizeof *f);
  am_list_init (&f->peers);
  snprintf (f->name, sizeof f->name, "%s", name);
  f->link_mbps = link_mbps;
  f->name_hash = hash_name (f->name);
  f->rank = rank (f->name_hash, link_mbps);
  f->data_centre = data_centre;
  f->started_us = now_us;
}

static void
remove_peer (struct am_fleet *f, struct am_peer *p)
{
  am_list_remove (&p->node);
  f->count--;
  free (p);
}

void
am_fleet_finish (struct am_fleet *f)
{
  am_list_each_safe (p, next, &f->peers, struct am_peer, node)
      remove_peer (f, p);
}

struct am_peer *
am_fleet_get_or_add_peer (struct am_fleet *f, const char *name,
                          uint64_t now_us)
{
  uint64_t hash = hash_name (name);
  struct am_peer *p;

  if (strlen (name) >= AM_FLEET_NAME_SIZE || strcmp (name, f->name) == 0)
    return NULL;
  am_list_each (known, &f->peers, struct am_peer,
                node) if (strcmp (known->name, name) == 0) return known;
  if (f->count >= AM_FLEET_PEERS_MAX)
    return NULL;
  p = calloc (1, sizeof *p);
  if (!p)
    return NULL;
  snprintf (p->name, sizeof p->name, "%s", name);
  p->name_hash = hash;
  p->rank = rank (hash, 0);
  p->interval_us = AM_FLEET_READER_INTERVAL_US;
  p->named_us = now_us;
  am_list_push_back (&f->peers, &p->node);
  f->count++;
  return p;
}

bool
am_fleet_peer_alive (const struct am_peer *p, uint64_t now_us)
{
  return p->heard_us
         && now_us - p->heard_us
                < AM_FLEET_MISSED_DIGESTS_MAX * p->interval_us;
}

/* Returns true if P claims to read the store, and its claim counts.  */
static bool
is_reader (const struct am_peer *p, uint64_t now_us)
{
  return p->reads && am_fleet_peer_alive (p, now_us)
         && now_us - p->heard_us < AM_FLEET_CLAIM_US;
}

void
am_peer_set_link_mbps (struct am_peer *p, uint32_t link_mbps)
{
  p->rank = rank (p->name_hash, link_mbps);
}

size_t
am_fleet_count_local (const struct am_fleet *f, uint64_t now_us)
{
  size_t n = 0;

  am_list_each (p, &f->peers, struct am_peer, node) n
      += p->data_centre == f->data_centre && am_fleet_peer_alive (p, now_us);
  return n;
}

struct am_peer *
am_fleet_take_new_peer (struct am_fleet *f)
{
  am_list_each (p, &f->peers, struct am_peer, node)
  {
    if (p->introduced || p->data_centre != f->data_centre)
      continue;
    p->introduced = true;
    return p;
  }
  return NULL;
}

bool
am_fleet_sends_digests_to (const struct am_fleet *f, struct am_address address,
                           bool reads)
{
  am_list_each (p, &f->peers, struct am_peer, node)
  {
    if ((reads || p->data_centre == f->data_centre)
        && am_address_equal (p->address, address))
      return true;
  }
  return false;
}

uint64_t
am_fleet_report_age_us (const struct am_fleet *f, uint64_t now_us)
{
  uint64_t sum = 0;

  am_list_each (p, &f->peers, struct am_peer, node)
  {
    if (p->data_centre == f->data_centre && p->loads_us
        && am_fleet_peer_alive (p, now_us))
      sum += now_us - p->loads_us;
  }
  return sum;
}

/* Returns the time from which this VM reads, with BETTER live peers of better
   rank that do not.  */
static uint64_t
succession_us (const struct am_fleet *f, uint64_t better)
{
  uint64_t wait = better * AM_FLEET_SUCCESSION_US;

  if (wait > AM_FLEET_SUCCESSION_MAX_US)
    wait = AM_FLEET_SUCCESSION_MAX_US;
  if (f->readers_seen_us)
    return f->readers_seen_us + wait;
  return f->started_us + AM_FLEET_ELECTION_DELAY_US + wait;
}

bool
am_fleet_should_read (struct am_fleet *f, bool reads, uint64_t now_us)
{
  unsigned better = 0;
  unsigned better_readers = 0;

  am_list_each (p, &f->peers, struct am_peer, node)
  {
    if (p->data_centre != f->data_centre || p->rank >= f->rank
        || !am_fleet_peer_alive (p, now_us))
      continue;
    better++;
    better_readers += is_reader (p, now_us);
  }
  if (better_readers >= AM_FLEET_READERS)
    {
      f->readers_seen_us = now_us;
      return false;
    }
  return reads || now_us >= succession_us (f, better);
}

static bool
pull_failed_lately (const struct am_peer *p, uint64_t now_us)
{
  return p->pull_failed_us
         && now_us - p->pull_failed_us < AM_FLEET_PULL_RETRY_US;
}

/* Returns true if A is a better source of changes than B.  */
static bool
is_better_source (const struct am_fleet *f, const struct am_peer *a,
                  const struct am_peer *b, uint64_t now_us)
{
  bool a_failed = pull_failed_lately (a, now_us);
  bool b_failed = pull_failed_lately (b, now_us);
  bool a_local = a->data_centre == f->data_centre;
  bool b_local = b->data_centre == f->data_centre;

  if (a_failed != b_failed)
    return b_failed;
  if (a_local != b_local)
    return a_local;
  return a->revision > b->revision;
}

struct am_peer *
am_fleet_pull_source (const struct am_fleet *f, am_revision revision,
                      bool allow_full, uint64_t now_us)
{
  struct am_peer *best = NULL;

  am_list_each (p, &f->peers, struct am_peer, node)
  {
    if (p->revision <= revision || !am_fleet_peer_alive (p, now_us)
        || (!allow_full && p->compaction_revision > revision))
      continue;
    if (!best || is_better_source (f, p, best, now_us))
      best = p;
  }
  return best;
}

struct am_peer *
am_fleet_configuration_source (const struct am_fleet *f, uint64_t version,
                               am_revision revision, uint64_t now_us)
{
  am_list_each (p, &f->peers, struct am_peer, node)
  {
    if (p->configuration > version && p->revision <= revision
        && am_fleet_peer_alive (p, now_us) && !pull_failed_lately (p, now_us))
      return p;
  }
  return NULL;
}

struct am_peer *
am_fleet_members_source (const struct am_fleet *f, size_t count,
                         uint64_t now_us)
{
  struct am_peer *best = NULL;

  am_list_each (p, &f->peers, struct am_peer, node)
  {
    if (p->data_centre == f->data_centre && p->local_vms > count
        && am_fleet_peer_alive (p, now_us) && !pull_failed_lately (p, now_us)
        && (!best || p->local_vms > best->local_vms))
      best = p;
  }
  return best;
}

void
am_fleet_pull_failed (struct am_fleet *f, struct am_address address,
                      uint64_t now_us)
{
  am_list_each (p, &f->peers, struct am_peer, node)
  {
    if (am_address_equal (p->address, address))
      p->pull_failed_us = now_us;
  }
}

uint64_t
am_fleet_confirmed_us (const struct am_fleet *f, am_revision revision,
                       uint64_t now_us)
{
  uint64_t latest_us = 0;

  am_list_each (p, &f->peers, struct am_peer, node)
  {
    if (p->revision && p->revision <= revision
        && am_revision_era (p->revision) == am_revision_era (revision)
        && p->heard_us > latest_us && is_reader (p, now_us))
      latest_us = p->heard_us;
  }
  return latest_us;
}

am_revision
am_fleet_claimed_revision (const struct am_fleet *f, uint64_t now_us)
{
  am_revision highest = 0;

  am_list_each (p, &f->peers, struct am_peer, node)
  {
    if (p->revision > highest && is_reader (p, now_us))
      highest = p->revision;
  }
  return highest;
}

void
am_fleet_expire (struct am_fleet *f, struct am_target_table *t,
                 uint64_t now_us)
{
  am_list_each_safe (p, next, &f->peers, struct am_peer, node)
  {
    uint64_t last = p->heard_us > p->named_us ? p->heard_us : p->named_us;

    if (!am_fleet_peer_alive (p, now_us))
      am_peer_load_set (&p->load, t, NULL, 0, now_us);
    if (now_us - last > AM_FLEET_PEER_EXPIRY_US)
      remove_peer (f, p);
  }
}
