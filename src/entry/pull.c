#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <zlib.h>

#include "base/error.h"
#include "entry/peers.h"
#include "io/clock.h"
#include "wire/bytes.h"

#define PULL_TIMEOUT_MS 800
#define PATH_SIZE 64

/* Shorter than PULL_TIMEOUT_MS: a source without power does not respond, and
   another one may.  */
#define SOURCE_TIMEOUT_MS 400

/* A VM that knows no live peer, or fewer than one of its peers does, asks for
   members at this interval, which grows with the time since its start.  */
#define MEMBERS_INTERVAL_MIN_US 250000u
#define MEMBERS_INTERVAL_MAX_US 5000000u

/* Changes that do not fit into a digest are pulled by all peers of the reader;
   they distribute their pulls over this time for each peer.  */
#define PULL_SPREAD_PER_PEER_US 1000u

/* The reader of this VM's own data centre has a change as soon as that of
   another one, or within its pause between watches.  */
#define REMOTE_PULL_DELAY_US 300000u

/* Time without confirmation of the replica after which all items are requested
   from a peer, not only changes.  */
#define FULL_PULL_DELAY_US 700000u

/* Returns the first message of the *LEN bytes at *BODY, freed by the caller,
   and moves *BODY and *LEN to what follows it.  Returns NULL if it is
   malformed or memory is exhausted.  */
static Fleet__Changes *
unpack_message (const uint8_t **body, size_t *len)
{
  Fleet__Changes *c = NULL;
  uLongf plain_len;
  uLong compressed_len;
  uint8_t *plain;

  if (*len < AM_ENTRY_CHANGES_HEADER_SIZE
      || am_get_u32 (*body) > AM_HTTP_BODY_MAX)
    return NULL;
  plain_len = am_get_u32 (*body);
  compressed_len = *len - AM_ENTRY_CHANGES_HEADER_SIZE;
  plain = malloc (plain_len + 1);
  if (plain
      && uncompress2 (plain, &plain_len, *body + AM_ENTRY_CHANGES_HEADER_SIZE,
                      &compressed_len)
             == Z_OK)
    c = fleet__changes__unpack (NULL, plain_len, plain);
  free (plain);
  *body += AM_ENTRY_CHANGES_HEADER_SIZE + compressed_len;
  *len -= AM_ENTRY_CHANGES_HEADER_SIZE + compressed_len;
  return c;
}

/* Applies the configuration in C, if it is of a later version than the one in
   force.  */
static int
apply_configuration (struct am_entry *e, const Fleet__Changes *c)
{
  int err = AM_OK;

  for (size_t i = 0; c->whole && i < c->n_items && !err; i++)
    err = am_entry_apply_configuration (e, c->items[i]);
  return err;
}

static int
apply_changes (struct am_entry *e, const Fleet__Changes *c, uint64_t now_us)
{
  am_revision before = e->replica.revision;
  int err = AM_OK;

  for (size_t i = 0; i < c->n_members; i++)
    am_entry_add_or_refresh_member (e, c->members[i], now_us);
  /* A replica that is not newer than this VM's has nothing to add, but for a
     configuration that the store has lost.  */
  if (c->revision <= e->replica.revision)
    return apply_configuration (e, c);
  if (c->whole)
    {
      am_entry_reader_stop_listing (e);
      am_replica_list_begin (&e->replica);
    }
  for (size_t i = 0; i < c->n_items && !err; i++)
    err = am_entry_apply_item (e, c->items[i], c->whole);
  if (err)
    return err;
  if (c->whole)
    am_replica_list_end (&e->replica, c->revision);
  else
    am_replica_advance (&e->replica, c->revision);
  am_entry_replica_advanced (e, before, now_us);
  return AM_OK;
}

int
am_entry_changes_apply (struct am_entry *e, const uint8_t *body, size_t len,
                        uint64_t now_us)
{
  int err = len ? AM_OK : AM_E_FORMAT;

  while (len && !err)
    {
      Fleet__Changes *c = unpack_message (&body, &len);

      if (!c)
        return AM_E_FORMAT;
      err = apply_changes (e, c, now_us);
      fleet__changes__free_unpacked (c, NULL);
    }
  return err;
}

static void
pull_failed (struct am_entry *e, int err, uint64_t now_us)
{
  e->counters.pull_failures++;
  am_fleet_pull_failed (&e->fleet, e->pull_client.server, now_us);
  am_line_log_add (&e->log, AM_LINE_STATE, now_us,
                   "pull-failed error=%s revision=%" PRIu64,
                   am_error_name (err), e->replica.revision);
  if (!e->replica.revision)
    am_startup_source_failed (&e->startup, err == AM_E_NOT_FOUND, now_us);
}

static void
on_pull_done (void *userdata, const struct am_http_answer *a)
{
  struct am_entry *e = userdata;
  uint64_t now_us = am_clock_us ();
  am_revision before = e->replica.revision;
  int err = a->error;

  if (!err && a->status != 200)
    err = AM_E_NOT_FOUND;
  if (!err)
    err = am_entry_changes_apply (e, a->body, a->body_len, now_us);
  am_http_client_reset (&e->pull_client);
  if (err)
    {
      pull_failed (e, err, now_us);
      return;
    }
  if (e->replica.revision > before)
    am_line_log_add (&e->log, AM_LINE_DISCOVERY, now_us,
                     "pulled revision=%" PRIu64 " before=%" PRIu64,
                     e->replica.revision, before);
  if (!before)
    am_entry_packets_poll (e, now_us);
  am_entry_pull (e, now_us);
}

static void
request (struct am_entry *e, struct am_address peer, const char *path,
         uint32_t timeout_ms)
{
  am_http_client_init (&e->pull_client, e->loop, peer);
  e->counters.pulls++;
  am_http_get (&e->pull_client, path, timeout_ms, on_pull_done, e);
}

/* Requests of PEER the changes after revision AFTER; 0: all items.  */
static void
pull_from (struct am_entry *e, struct am_address peer, am_revision after)
{
  char path[PATH_SIZE];
  bool starting = !e->replica.revision;
  bool recent = starting && am_startup_requires_recent (&e->startup);

  snprintf (path, sizeof path, AM_ENTRY_CHANGES_PATH "%" PRIu64 "%s", after,
            recent ? AM_ENTRY_CHANGES_RECENT : "");
  if (starting)
    am_startup_source_asked (&e->startup, am_clock_us ());
  request (e, peer, path, starting ? SOURCE_TIMEOUT_MS : PULL_TIMEOUT_MS);
}

/* Returns the time that this VM has to be behind P before it pulls.  */
static uint64_t
pull_delay_us (const struct am_entry *e, const struct am_peer *p)
{
  if (p->data_centre != e->fleet.data_centre)
    return REMOTE_PULL_DELAY_US;
  return e->pull_delay_us;
}

/* Returns true if all items may be requested, not only changes: nothing has
   confirmed this VM's replica for FULL_PULL_DELAY_US, readers are ahead of it,
   or the store was restored.  */
static bool
may_pull_all (const struct am_entry *e, uint64_t now_us)
{
  am_revision claimed = am_fleet_claimed_revision (&e->fleet, now_us);

  if (am_revision_era (claimed) > am_revision_era (e->replica.revision))
    return true;
  return now_us - e->sync.last_confirmed_us > FULL_PULL_DELAY_US || e->lagging;
}

void
am_entry_pull (struct am_entry *e, uint64_t now_us)
{
  am_revision after = e->replica.revision;
  struct am_peer *p;

  if (am_http_client_busy (&e->pull_client) || !e->replica.revision)
    return;
  p = am_fleet_pull_source (&e->fleet, e->replica.revision,
                            may_pull_all (e, now_us), now_us);
  if (!p)
    {
      after = 0;
      p = am_fleet_configuration_source (&e->fleet, e->routes.active.version,
                                         e->replica.revision, now_us);
    }
  if (!p)
    {
      e->behind_us = 0;
      return;
    }
  if (!e->behind_us)
    {
      e->behind_us = now_us;
      e->pull_delay_us = am_rng_below (
          &e->path.rng, (uint32_t)e->path.peers * PULL_SPREAD_PER_PEER_US + 1);
    }
  if (now_us - e->behind_us < pull_delay_us (e, p))
    return;
  e->behind_us = 0;
  pull_from (e, p->address, after);
}

/* Pulls from the next supplier or seed: suppliers first, as they are named by
   a VM that knows them to be alive.  */
static void
pull_from_next_source (struct am_entry *e)
{
  size_t suppliers = e->suppliers.count;
  size_t count = suppliers + e->settings.seed_count;
  struct am_address source;
  size_t i;

  if (!count)
    return;
  i = e->next_source++ % count;
  source = i < suppliers ? e->suppliers.addresses[i]
                         : e->settings.seeds[i - suppliers];
  if (!am_address_equal (source, e->settings.peers))
    pull_from (e, source, e->replica.revision);
}

/* Returns the interval of requests for members at the time AT_US, 0 if there
   has been none.  */
static uint64_t
members_interval_us (const struct am_entry *e, uint64_t at_us)
{
  uint64_t interval = at_us ? (at_us - e->started_us) / 2 : 0;

  if (interval < MEMBERS_INTERVAL_MIN_US)
    return MEMBERS_INTERVAL_MIN_US;
  return interval < MEMBERS_INTERVAL_MAX_US ? interval
                                            : MEMBERS_INTERVAL_MAX_US;
}

/* Returns a peer that knows VMs which this VM does not, once it has done so
   for a while: VMs that start together learn of each other one by one, and do
   not notice at the same time that one has gone.  */
static struct am_peer *
members_source (struct am_entry *e, uint64_t now_us)
{
  uint64_t wait_us = members_interval_us (e, now_us);
  struct am_peer *p
      = am_fleet_members_source (&e->fleet, e->path.peers + 1, now_us);

  if (!p)
    e->members_missing_us = 0;
  else if (!e->members_missing_us)
    e->members_missing_us = now_us;
  return p && now_us - e->members_missing_us >= wait_us ? p : NULL;
}

/* A VM that has listed the store knows its suppliers at most, and one that got
   its replica early those that the source knew then.  The response of a source
   names the VMs that it knows.  */
void
am_entry_pull_members (struct am_entry *e, uint64_t now_us)
{
  struct am_peer *p = members_source (e, now_us);

  if (!e->replica.revision || (e->path.peers && !p)
      || am_http_client_busy (&e->pull_client)
      || now_us - e->members_asked_us
             < members_interval_us (e, e->members_asked_us))
    return;
  e->members_asked_us = now_us;
  if (p)
    request (e, p->address, AM_ENTRY_MEMBERS_PATH, PULL_TIMEOUT_MS);
  else
    pull_from_next_source (e);
}

static void
abandon_silent_source (struct am_entry *e, uint64_t now_us)
{
  if (!am_http_client_connecting (&e->pull_client)
      || !am_startup_abandons_source (&e->startup, now_us))
    return;
  am_http_client_reset (&e->pull_client);
  am_startup_source_failed (&e->startup, false, now_us);
}

void
am_entry_pull_from_source (struct am_entry *e, uint64_t now_us)
{
  if (e->replica.revision)
    return;
  abandon_silent_source (e, now_us);
  if (!am_http_client_busy (&e->pull_client)
      && am_startup_asks_source (&e->startup, now_us))
    pull_from_next_source (e);
}
