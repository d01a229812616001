#include <inttypes.h>
#include <string.h>
#include <sys/stat.h>

#include "base/error.h"
#include "entry/entry.h"

/* Interval at which the settings file is checked: it may change without a
   signal.  */
#define CHECK_US 1000000u

/* Returns what tells versions of the settings file apart, all 0 if it cannot
   be read.  */
static struct am_settings_stamp
read_stamp (const char *file)
{
  struct am_settings_stamp s = { 0 };
  struct stat st;

  if (stat (file, &st) != 0)
    return s;
  s.inode = st.st_ino;
  s.size = (uint64_t)st.st_size;
  s.modified_s = st.st_mtim.tv_sec;
  s.modified_ns = st.st_mtim.tv_nsec;
  return s;
}

static bool
stamps_equal (const struct am_settings_stamp *a,
              const struct am_settings_stamp *b)
{
  return a->inode == b->inode && a->size == b->size
         && a->modified_s == b->modified_s && a->modified_ns == b->modified_ns;
}

static void
set_store (struct am_entry *e, struct am_address store)
{
  if (am_address_equal (e->settings.store, store))
    return;
  e->settings.store = store;
  am_http_client_reset (&e->reader.client);
  e->reader.client.server = store;
  am_http_client_reset (&e->suppliers_client);
  e->suppliers_client.server = store;
}

void
am_entry_reload_init (struct am_entry *e)
{
  e->settings_stamp = read_stamp (e->settings_file);
}

void
am_entry_reload (struct am_entry *e, uint64_t now_us)
{
  struct am_entry_settings s;
  struct am_fault f = { 0 };
  int err;

  e->settings_stamp = read_stamp (e->settings_file);
  err = am_entry_settings_load (&s, e->settings_file, &f);
  if (err)
    {
      am_line_log_add (&e->log, AM_LINE_STATE, now_us,
                       "reload-refused error=%s field=%s", am_error_name (err),
                       f.field);
      return;
    }
  memcpy (e->settings.seeds, s.seeds, sizeof s.seeds);
  e->settings.seed_count = s.seed_count;
  e->settings.stop_ms = s.stop_ms;
  e->warm_up.bounds = s.warm_up;
  e->path.crossing_cost_us = s.crossing_cost_ms * UINT64_C (1000);
  e->shutdown.limit_us = s.stop_ms * UINT64_C (1000);
  set_store (e, s.store);
  am_line_log_add (&e->log, AM_LINE_STATE, now_us, "reloaded seeds=%zu",
                   s.seed_count);
  am_entry_settings_finish (&s);
}

void
am_entry_reload_tick (struct am_entry *e, uint64_t now_us)
{
  struct am_settings_stamp stamp;

  if (now_us - e->settings_checked_us < CHECK_US)
    return;
  e->settings_checked_us = now_us;
  stamp = read_stamp (e->settings_file);
  if (!stamps_equal (&stamp, &e->settings_stamp))
    am_entry_reload (e, now_us);
}
