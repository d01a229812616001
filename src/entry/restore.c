#include <inttypes.h>

#include "base/error.h"
#include "entry/entry.h"
#include "flow/revision.h"

/* A store that comes back from an older copy of itself: which items the
   replica has later states of than the copy, and what happens when it enters
   the new era.  */

/* Until then, targets and the operator have written again what the copy
   lacks.  */
#define RELIST_DELAY_US AM_STORE_SYNC_GRACE_US

static bool
is_outdated_target (struct am_entry *e, const struct am_store_item *copy)
{
  struct am_target_spec spec;
  const struct am_target *target;

  if (e->adapter->target_parse (&spec, copy->key, copy->value,
                                copy->value_len))
    return false;
  target = am_target_by_id (&e->targets, spec.id);
  return target
         && target->spec.registration
                == am_entry_registration (copy->key, copy->key_len)
         && am_target_is_ahead_of (target, &spec);
}

/* Returns true if the replica has a later state than COPY from before the
   store was restored.  An order to evacuate that was taken back and stands in
   the copy counts again: to follow it breaks nothing.  */
static bool
is_outdated (struct am_entry *e, const struct am_store_item *copy)
{
  const struct am_replica_item *known
      = am_replica_find_any (&e->replica, copy->key);

  if (!known || !copy->value
      || am_revision_era (known->revision) >= am_revision_era (copy->revision))
    return false;
  switch (e->adapter->item_kind (copy->key))
    {
    case AM_ITEM_TARGET:
      return is_outdated_target (e, copy);
    case AM_ITEM_CONFIGURATION:
      return am_entry_configuration_version (e, copy->value, copy->value_len)
             < e->routes.active.version;
    default:
      return false;
    }
}

int
am_entry_write_listed_item (struct am_entry *e,
                            const struct am_store_item *item)
{
  if (!is_outdated (e, item))
    return am_entry_write_item (e, item);
  am_replica_hold (&e->replica, item->key, item->key_len, item->revision);
  return AM_OK;
}

int
am_entry_check_era (const struct am_entry *e, am_revision expected,
                    am_revision revision)
{
  uint32_t era = am_revision_era (revision);

  if (era < am_revision_era (e->replica.revision))
    return AM_E_STORE_OLD;
  return expected && era != am_revision_era (expected) ? AM_E_EXPIRED : AM_OK;
}

/* The replica has entered a new era of the store.  */
static void
begin_era (struct am_entry *e, am_revision before, uint64_t now_us)
{
  e->counters.restores++;
  e->relist_us = now_us + RELIST_DELAY_US;
  am_store_sync_restored (&e->sync, now_us);
  am_line_log_add (
      &e->log, AM_LINE_STATE, now_us,
      "store-restored era=%" PRIu32 " before=%" PRIu32 " revision=%" PRIu64
      " revision_before=%" PRIu64 " newest_change_ms=%" PRIu64,
      am_revision_era (e->replica.revision), am_revision_era (before),
      am_revision_number (e->replica.revision), am_revision_number (before),
      (now_us - e->advanced_us) / 1000);
}

void
am_entry_replica_advanced (struct am_entry *e, am_revision before,
                           uint64_t now_us)
{
  if (e->replica.revision == before)
    return;
  if (before
      && am_revision_era (e->replica.revision) > am_revision_era (before))
    begin_era (e, before, now_us);
  e->advanced_us = now_us;
}
