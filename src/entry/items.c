#include <inttypes.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "entry/entry.h"
#include "io/clock.h"

/* Updates the target and route tables from items of the replica.  */

#define REGISTRATION_SEED 0x72656769u

static const char *const state_names[] = {
  [AM_TARGET_READY] = "ready",
  [AM_TARGET_DRAINING] = "draining",
  [AM_TARGET_REMOVED] = "gone",
};

uint64_t
am_entry_registration (const char *key, size_t len)
{
  return am_hash_bytes (key, len, REGISTRATION_SEED);
}

static uint64_t
registration (const struct am_replica_item *item)
{
  return am_entry_registration (item->key, item->key_len);
}

static void
target_unusable (struct am_entry *e, const struct am_replica_item *item,
                 int err, uint64_t now_us)
{
  e->counters.items_unusable++;
  am_line_log_add (&e->log, AM_LINE_DISCOVERY, now_us,
                   "target-unusable key=%s revision=%" PRIu64 " error=%s",
                   item->key, item->revision, am_error_name (err));
}

/* BEFORE is NULL if TARGET was unknown.  */
static void
log_target_state (struct am_entry *e, const struct am_target *target,
                  const char *before, uint64_t revision, uint64_t now_us)
{
  char address[AM_ADDRESS_TEXT_SIZE];

  am_line_log_add (&e->log, AM_LINE_DISCOVERY, now_us,
                   "target id=%" PRIx64 " ticket=%08" PRIx32
                   " address=%s state=%s before=%s revision=%" PRIu64,
                   target->spec.id, target->ticket,
                   am_address_format (target->spec.address, address),
                   state_names[target->state], before ? before : "unknown",
                   revision);
}

static void
target_changed (struct am_entry *e, const struct am_replica_item *item,
                uint64_t now_us)
{
  struct am_target_spec spec;
  struct am_target *target;
  const char *before = NULL;
  int err = e->adapter->target_parse (&spec, item->key, item->value,
                                      item->value_len);

  if (err)
    {
      target_unusable (e, item, err, now_us);
      am_target_table_mark_unusable (&e->targets,
                                     e->adapter->target_id (item->key),
                                     registration (item), now_us);
      return;
    }
  spec.registration = registration (item);
  target = am_target_by_id (&e->targets, spec.id);
  if (target)
    before = state_names[target->state];
  err = am_target_table_put (&e->targets, &spec, now_us, &target);
  if (err == AM_E_EXISTS)
    {
      target_unusable (e, item, err, now_us);
      return;
    }
  if (err)
    {
      am_line_log_add (&e->log, AM_LINE_STATE, now_us, "target-lost error=%s",
                       am_error_name (err));
      return;
    }
  if (before != state_names[target->state])
    log_target_state (e, target, before, item->revision, now_us);
}

uint64_t
am_entry_configuration_version (const struct am_entry *e, const uint8_t *value,
                                size_t len)
{
  struct am_configuration c;
  uint64_t version;

  if (e->adapter->configuration_parse (&c, value, len))
    return 0;
  version = c.version;
  am_configuration_finish (&c);
  return version;
}

static void
configuration_changed (struct am_entry *e, const struct am_replica_item *item,
                       uint64_t now_us)
{
  struct am_configuration c;
  uint64_t version;
  size_t odd_values;
  const char *odd_field;
  int err = e->adapter->configuration_parse (&c, item->value, item->value_len);

  if (!err)
    {
      version = c.version;
      odd_values = c.odd_values;
      odd_field = c.odd_field ? c.odd_field : "none";
      err = am_route_table_accept (&e->routes, &c);
      am_configuration_finish (&c);
      if (!err)
        {
          e->configuration_us = now_us;
          am_line_log_add (&e->log, AM_LINE_DISCOVERY, now_us,
                           "configuration version=%" PRIu64
                           " routes=%zu revision=%" PRIu64
                           " odd_values=%zu odd_field=%s",
                           version, e->routes.active.route_count,
                           item->revision, odd_values, odd_field);
          return;
        }
    }
  am_line_log_add (&e->log, AM_LINE_DISCOVERY, now_us,
                   "configuration-refused error=%s revision=%" PRIu64
                   " version_in_force=%" PRIu64,
                   am_error_name (err), item->revision,
                   e->routes.active.version);
}

static void
suppliers_changed (struct am_entry *e, const struct am_replica_item *item,
                   uint64_t now_us)
{
  int err = am_entry_suppliers_read (e, item->value, item->value_len, now_us);

  if (!err)
    return;
  e->counters.items_unusable++;
  am_line_log_add (&e->log, AM_LINE_DISCOVERY, now_us,
                   "suppliers-unusable key=%s revision=%" PRIu64 " error=%s",
                   item->key, item->revision, am_error_name (err));
}

static size_t
count_targets (const struct am_target_table *t, uint32_t data_centre)
{
  size_t n = 0;

  am_list_each (g, &t->targets, struct am_target, node) n
      += g->state == AM_TARGET_READY && g->spec.data_centre == data_centre;
  return n;
}

/* An order for a data centre without targets is logged like any other: its
   name may be wrong.  */
static void
evacuation_begun (struct am_entry *e, const struct am_replica_item *item,
                  uint64_t now_us)
{
  const char *name = e->adapter->evacuated_data_centre (item->key);
  uint32_t data_centre = am_hash_name (name);
  int err;

  if (am_evacuations_apply (&e->evacuations, data_centre))
    return;
  err = am_evacuations_begin (&e->evacuations, data_centre, now_us);
  am_line_log_add (
      &e->log, AM_LINE_DISCOVERY, now_us,
      "evacuation-begun data_centre=%s revision=%" PRIu64
      " targets=%zu store_age_ms=%" PRIu64 " error=%s",
      name, item->revision, count_targets (&e->targets, data_centre),
      am_store_sync_age (&e->sync, now_us) / 1000, am_error_name (err));
}

static void
evacuation_ended (struct am_entry *e, const struct am_replica_item *item,
                  uint64_t now_us)
{
  const char *name = e->adapter->evacuated_data_centre (item->key);
  uint64_t lasted_us
      = am_evacuations_end (&e->evacuations, am_hash_name (name), now_us);

  am_line_log_add (&e->log, AM_LINE_DISCOVERY, now_us,
                   "evacuation-ended data_centre=%s revision=%" PRIu64
                   " after_ms=%" PRIu64,
                   name, item->revision, lasted_us / 1000);
}

void
am_entry_item_changed (void *userdata, const struct am_replica_item *item)
{
  struct am_entry *e = userdata;
  uint64_t now_us = am_clock_us ();

  switch (e->adapter->item_kind (item->key))
    {
    case AM_ITEM_TARGET:
      if (item->removed)
        am_target_table_mark_absent (&e->targets,
                                     e->adapter->target_id (item->key),
                                     registration (item), now_us);
      else
        target_changed (e, item, now_us);
      break;
    case AM_ITEM_CONFIGURATION:
      if (!item->removed)
        configuration_changed (e, item, now_us);
      break;
    case AM_ITEM_EVACUATION:
      if (item->removed)
        evacuation_ended (e, item, now_us);
      else
        evacuation_begun (e, item, now_us);
      break;
    case AM_ITEM_SUPPLIERS:
      if (!item->removed)
        suppliers_changed (e, item, now_us);
      break;
    case AM_ITEM_OTHER:
      break;
    }
}

static void
on_removed (void *userdata, const struct am_target *target)
{
  struct am_entry *e = userdata;

  am_line_log_add (&e->log, AM_LINE_DISCOVERY, am_clock_us (),
                   "target id=%" PRIx64 " ticket=%08" PRIx32
                   " state=gone absent_ms=%" PRIu64,
                   target->spec.id, target->ticket,
                   (target->removed_us - target->absent_since_us) / 1000);
}

static void
on_expired (void *userdata, const struct am_target *target)
{
  struct am_entry *e = userdata;

  am_flow_table_detach_target (&e->path.flows, target);
}

void
am_entry_items_tick (struct am_entry *e, uint64_t now_us)
{
  struct am_target_events events
      = { .removed = on_removed, .expired = on_expired, .userdata = e };

  am_target_table_sweep (&e->targets, now_us,
                         am_store_sync_grace_end (&e->sync), &events);
}

int
am_entry_write_item (struct am_entry *e, const struct am_store_item *item)
{
  size_t len = item->value_len;

  if (len > AM_ENTRY_VALUE_MAX
      && e->adapter->item_kind (item->key) != AM_ITEM_CONFIGURATION)
    len = 0;
  return am_replica_write (&e->replica, item->key, item->key_len, item->value,
                           len, item->revision);
}
