#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "entry/entry.h"
#include "entry/store_limits.h"
#include "io/clock.h"

/* Reads the store: a listing of all items, then watches for changes after its
   revision.  */

/* Pause between two watches: the platform charges for each call, and changes
   come in groups.  It is short compared with the seconds within which a change
   must be active.  */
#define WATCH_PAUSE_US 250000u

/* After a failed call a listing continues from the same page; otherwise a
   large one would never complete while the store refuses many calls.  It is
   abandoned at this age, when the store's history may no longer reach back to
   its first page.  */
#define LIST_DURATION_MAX_US 8000000u

/* Pause after a failed call; doubles with each consecutive failure up to
   RETRY_MAX_MS.  */
#define RETRY_MS 150
#define RETRY_MAX_MS 2400

static void next_call (struct am_entry *e, uint64_t now_us);

static uint64_t
retry_pause_us (struct am_entry *e, uint32_t failures)
{
  uint64_t pause_ms = RETRY_MS;

  while (failures-- > 1 && pause_ms < RETRY_MAX_MS)
    pause_ms *= 2;
  /* Jitter: VMs whose calls failed together do not retry together.  */
  return pause_ms * 1000u * (75 + am_rng_below (&e->path.rng, 50)) / 100;
}

static void
call_failed (struct am_entry *e, int error, uint64_t now_us)
{
  struct am_entry_reader *r = &e->reader;

  /* What else this connection carries may belong to another call.  */
  am_http_client_reset (&r->client);
  r->failures++;
  r->retry_us = now_us + retry_pause_us (e, r->failures);
  if (r->active || r->failures == 1)
    am_line_log_add (
        &e->log, AM_LINE_STATE, now_us,
        "store-lost error=%s revision=%" PRIu64 " answer_age_ms=%" PRIu64,
        am_error_name (error), e->replica.revision,
        r->last_success_us ? (now_us - r->last_success_us) / 1000 : 0);
  r->active = false;
}

static void
call_succeeded (struct am_entry *e, uint64_t now_us)
{
  struct am_entry_reader *r = &e->reader;

  if (!r->active)
    am_line_log_add (&e->log, AM_LINE_STATE, now_us,
                     "store-regained revision=%" PRIu64 " failures=%" PRIu32,
                     e->replica.revision, r->failures);
  r->active = true;
  r->failures = 0;
  r->last_success_us = now_us;
  am_store_sync_confirmed (&e->sync, now_us);
}

static int
apply_item (void *userdata, const struct am_store_item *i)
{
  struct am_entry *e = userdata;

  if (!i->value)
    return am_replica_remove (&e->replica, i->key, i->key_len, i->revision);
  return am_entry_write_item (e, i);
}

/* ---- listing ------------------------------------------------------ */

/* Kinds in the order in which they are listed.  Targets come first: packets of
   open flows need only the targets, and on a slow link the configuration takes
   longer than all targets.  Evacuations come with the configuration.  */
static const enum am_item_kind kinds[]
    = { AM_ITEM_TARGET, AM_ITEM_CONFIGURATION, AM_ITEM_SUPPLIERS };

#define KIND_COUNT (sizeof kinds / sizeof kinds[0])

static const enum am_store_call_type list_calls[] = {
  [AM_ITEM_TARGET] = AM_STORE_CALL_TARGETS,
  [AM_ITEM_CONFIGURATION] = AM_STORE_CALL_CONFIGURATION,
  [AM_ITEM_SUPPLIERS] = AM_STORE_CALL_SUPPLIERS,
};

struct list_page
{
  struct am_entry *e;
  char *last_key; /* owned */
};

/* Returns true if I can be on the page that was requested, and false if this
   is a second copy of the response to an earlier call.  */
static bool
is_requested (const struct am_entry *e, const struct am_store_item *i)
{
  const struct am_entry_reader *r = &e->reader;
  enum am_item_kind kind = e->adapter->item_kind (i->key);

  if (kind == AM_ITEM_EVACUATION)
    kind = AM_ITEM_CONFIGURATION;
  return (kind == kinds[r->list_step] || kind == AM_ITEM_OTHER)
         && (!r->list_after || strcmp (i->key, r->list_after) > 0);
}

static int
apply_listed_item (void *userdata, const struct am_store_item *i)
{
  struct list_page *page = userdata;
  int err = am_entry_check_era (page->e, page->e->reader.list_revision,
                                i->revision);

  if (err)
    return err;
  if (!is_requested (page->e, i))
    return AM_E_FORMAT;
  free (page->last_key);
  page->last_key = strdup (i->key);
  if (!page->last_key)
    return AM_E_MEMORY;
  return am_entry_write_listed_item (page->e, i);
}

/* Cancels the call in progress.  */
static void
cancel_call (struct am_entry_reader *r)
{
  if (am_http_client_busy (&r->client))
    am_store_calls_add (&r->calls, r->call, AM_STORE_OUTCOME_CANCELLED);
  am_http_client_reset (&r->client);
}

static void
end_listing (struct am_entry *e)
{
  e->reader.listing = false;
  free (e->reader.list_after);
  e->reader.list_after = NULL;
}

/* A listing whose pages may be old does not confirm the replica: a watch or a
   peer does.  */
static void
finish_stale_listing (struct am_entry *e, uint64_t now_us)
{
  struct am_entry_reader *r = &e->reader;

  r->failures = 0;
  r->last_success_us = now_us;
  am_line_log_add (&e->log, AM_LINE_STATE, now_us,
                   "store-listed revision=%" PRIu64, e->replica.revision);
}

/* All items of one kind have been listed.  */
static void
finish_kind (struct am_entry *e, uint64_t now_us)
{
  struct am_entry_reader *r = &e->reader;
  am_revision before = e->replica.revision;

  if (++r->list_step < KIND_COUNT)
    return;
  am_replica_list_end (&e->replica, r->list_revision);
  if (r->list_begin_us >= e->relist_us)
    e->relist_us = 0;
  am_entry_replica_advanced (e, before, now_us);
  end_listing (e);
  if (r->list_stale)
    finish_stale_listing (e, now_us);
  else
    call_succeeded (e, now_us);
  am_entry_digests_send_advance (e, now_us);
}

static void
on_list (void *userdata, const struct am_http_answer *a)
{
  struct am_entry *e = userdata;
  struct am_entry_reader *r = &e->reader;
  struct list_page page = { .e = e };
  struct am_store_response response;
  uint64_t now_us = am_clock_us ();
  int err = a->error;

  if (!err)
    err = e->adapter->response_parse (&response, a->status, a->header, a->body,
                                      a->body_len, apply_listed_item, &page);
  if (!err)
    err = am_entry_check_era (e, r->list_revision, response.revision);
  if (!err && response.more && !page.last_key)
    err = AM_E_FORMAT;
  am_store_calls_add (&r->calls, r->call, am_store_outcome_of (err));
  if (err)
    {
      free (page.last_key);
      /* The pages of two eras are no listing.  */
      if (err == AM_E_EXPIRED
          || now_us - r->list_begin_us > LIST_DURATION_MAX_US)
        end_listing (e);
      call_failed (e, err, now_us);
      return;
    }
  am_histogram_add (&r->list_times, (now_us - r->call_begin_us) * 1000u);
  if (!r->list_revision || response.revision < r->list_revision)
    r->list_revision = response.revision;
  free (r->list_after);
  r->list_after = NULL;
  if (response.more)
    r->list_after = page.last_key;
  else
    free (page.last_key);
  if (!response.more)
    finish_kind (e, now_us);
  next_call (e, now_us);
  am_entry_packets_poll (e, now_us);
}

/* The first listing may be stale, as all VMs may be starting together; a later
   one replaces a history that the store has discarded, so it must be newer
   than that.  */
static void
list (struct am_entry *e)
{
  struct am_entry_reader *r = &e->reader;
  struct am_http_limits limits;
  char path[AM_HTTP_PATH_SIZE];

  if (!r->listing)
    {
      am_replica_list_begin (&e->replica);
      r->listing = true;
      r->list_stale = !e->replica.revision;
      r->list_step = 0;
      r->list_revision = 0;
      r->list_begin_us = am_clock_us ();
    }
  e->adapter->list_path (path, sizeof path, kinds[r->list_step], r->list_after,
                         r->list_stale);
  r->call = list_calls[kinds[r->list_step]];
  r->call_begin_us = am_clock_us ();
  limits = am_store_list_limits (e->settings.link_mbps);
  am_http_get_within (&r->client, path, &limits, on_list, e);
}

/* ---- watch -------------------------------------------------------- */

/* An event that is not newer than the requested revision belongs to the
   response to an earlier call.  */
static int
apply_event (void *userdata, const struct am_store_item *i)
{
  struct am_entry *e = userdata;
  int err = am_entry_check_era (e, e->reader.watch_after, i->revision);

  if (err)
    return err;
  if (i->revision <= e->reader.watch_after)
    return AM_E_FORMAT;
  return apply_item (e, i);
}

/* Returns true if the changes have to be listed, as a watch from the same
   revision would end like the one that ended with A and ERR: the store has
   discarded them or was restored, or they are more than a listing or than the
   link carries in time.  */
static bool
must_list (const struct am_http_answer *a, int err)
{
  return err == AM_E_EXPIRED || err == AM_E_TOO_LARGE
         || (err == AM_E_TIMEOUT && a->begun);
}

static void
on_watch (void *userdata, const struct am_http_answer *a)
{
  struct am_entry *e = userdata;
  struct am_store_response response;
  uint64_t now_us = am_clock_us ();
  am_revision before = e->replica.revision;
  int err = a->error;

  if (!err)
    err = e->adapter->response_parse (&response, a->status, a->header, a->body,
                                      a->body_len, apply_event, e);
  if (!err)
    err = am_entry_check_era (e, e->reader.watch_after, response.revision);
  am_store_calls_add (&e->reader.calls, e->reader.call,
                      am_store_outcome_of (err));
  if (must_list (a, err))
    {
      am_line_log_add (&e->log, AM_LINE_STATE, now_us, "%s revision=%" PRIu64,
                       err == AM_E_EXPIRED ? "history-expired"
                                           : "changes-too-large",
                       before);
      list (e);
      return;
    }
  if (err)
    {
      call_failed (e, err, now_us);
      return;
    }
  am_replica_advance (&e->replica, response.revision);
  am_entry_replica_advanced (e, before, now_us);
  call_succeeded (e, now_us);
  e->reader.retry_us = now_us + WATCH_PAUSE_US;
  if (e->replica.revision > before)
    am_entry_digests_send_advance (e, now_us);
}

static void
watch (struct am_entry *e)
{
  char path[AM_HTTP_PATH_SIZE];
  /* The response to the first watch of a VM that becomes a reader confirms the
     replica.  Its peers wait for that, and would read themselves.  */
  uint32_t wait_ms = e->reader.active ? AM_STORE_WATCH_MS : 0;
  struct am_http_limits limits = am_store_watch_limits (
      e->settings.link_mbps,
      am_store_listing_bytes (e->replica.item_count, e->replica.item_bytes));

  e->reader.watch_after = e->replica.revision;
  e->adapter->watch_path (path, sizeof path, e->replica.revision, wait_ms);
  e->reader.call = AM_STORE_CALL_WATCH;
  am_http_get_within (&e->reader.client, path, &limits, on_watch, e);
}

/* Returns true if a VM that reads the store is to list it: a listing is in
   progress, the replica is empty, or what a restored store lacked has been
   written again since.  */
static bool
is_listing_due (const struct am_entry *e, uint64_t now_us)
{
  return e->reader.listing || !e->replica.revision
         || (e->relist_us && now_us >= e->relist_us);
}

static void
next_call (struct am_entry *e, uint64_t now_us)
{
  struct am_entry_reader *r = &e->reader;

  if (!e->settings.store.port || am_http_client_busy (&r->client)
      || now_us < r->retry_us)
    return;
  if (!r->listing && !e->replica.revision
      && !am_startup_lists_store (&e->startup, now_us))
    return;
  if (!r->listing && e->replica.revision
      && !am_fleet_should_read (&e->fleet, r->active, now_us))
    {
      r->active = false;
      return;
    }
  if (is_listing_due (e, now_us))
    list (e);
  else
    watch (e);
}

void
am_entry_reader_init (struct am_entry *e)
{
  memset (&e->reader, 0, sizeof e->reader);
  am_http_client_init (&e->reader.client, e->loop, e->settings.store);
  e->reader.client.header = e->adapter->era_header;
}

void
am_entry_reader_tick (struct am_entry *e, uint64_t now_us)
{
  next_call (e, now_us);
}

void
am_entry_reader_stop_listing (struct am_entry *e)
{
  if (!e->reader.listing)
    return;
  cancel_call (&e->reader);
  end_listing (e);
}

void
am_entry_reader_resume (struct am_entry *e)
{
  cancel_call (&e->reader);
  end_listing (e);
  e->reader.active = false;
  e->reader.retry_us = 0;
}
