#include "core/configuration/control_readers.h"

#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "base/log.h"
#include "core/configuration/control_config.h"
#include "core/configuration/control_spread.h"
#include "core/configuration/control_store_index.h"
#include "core/membership/control_members.h"

#define BACKOFF_MIN_US (AM_SECOND_US / 2)
#define BACKOFF_MAX_US (10 * AM_SECOND_US)

/* Between two reads, so that a burst of writes is read in a few answers; an
   answer holds every record.  */
#define READ_INTERVAL_US (AM_SECOND_US / 2)

/* A fresh agent leaves its peers this time, and up to as much again by
   chance, before it reads the store.  */
#define PEERS_FIRST_US AM_SECOND_US

/* A new reader waits this long for the store's index from its peers before it
   reads everything.  */
#define INDEX_WAIT_US (2 * AM_SECOND_US)

static bool
chosen (struct am_control *c)
{
  const char *dc = c->self.data_centre;
  uint64_t key = am_hash_bytes (dc, strlen (dc), c->config.digest);
  uint64_t own = am_hash_rendezvous (key, c->self.id);
  unsigned ahead = 0;

  if (c->stopping_us)
    return false;
  am_list_each (v, &c->vms.all, struct am_vm, node)
  {
    if (am_vm_live (v) && strcmp (v->data_centre, dc) == 0
        && am_hash_rendezvous (key, v->id) > own && ++ahead >= c->reader_count)
      return false;
  }
  return true;
}

static void
decide (struct am_control *c)
{
  bool reader = c->spread.joined && chosen (c);

  if (reader == c->readers.reader)
    return;
  c->readers.reader = reader;
  c->readers.index = 0;
  c->readers.next_us = c->now_us;
  if (c->config.count && c->readers.error == AM_OK)
    c->readers.next_us += INDEX_WAIT_US;
  am_control_log (c, AM_LOG_INFO, "event=reader chosen=%d data_centre=%s",
                  reader, c->self.data_centre);
}

static void
back_off (struct am_control *c)
{
  struct am_readers *r = &c->readers;

  r->backoff_us = r->backoff_us ? 2 * r->backoff_us : BACKOFF_MIN_US;
  if (r->backoff_us > BACKOFF_MAX_US)
    r->backoff_us = BACKOFF_MAX_US;
  r->next_us = c->now_us
               + (uint64_t)((0.5 + am_rng_unit (&c->rng) / 2)
                            * (double)r->backoff_us);
}

static int
failed (struct am_control *c, int error)
{
  c->counters.store_failures++;
  if (c->readers.error != error)
    am_control_log (c, AM_LOG_WARNING, "event=store error=%s",
                    am_error_name (error));
  c->readers.error = error;
  c->readers.index = 0;
  back_off (c);
  return error;
}

static int
take_values (struct am_control *c, const struct am_control_store *s)
{
  const struct am_config_entry *fresh[AM_ANNOUNCE_MAX + 1];
  size_t n = 0;
  int err = AM_OK;

  for (size_t i = 0; i < s->count; i++)
    {
      const struct am_control_value *v = &s->values[i];
      bool newer;
      int e = am_config_offer (c, v->name, v->text, v->len, AM_CONFIG_STORE,
                               &newer);

      if (newer && n <= AM_ANNOUNCE_MAX)
        fresh[n++] = am_config_find (c, v->name);
      if (e)
        err = e;
    }
  if (c->config.count > s->count)
    {
      am_config_check_missing (c, s);
      err = AM_E_STORE_OLD;
    }
  am_spread_announce (c, fresh, n);
  return err;
}

/* A watch ended: with the same index nothing has changed.  */
static int
take_index (struct am_control *c, uint64_t index)
{
  struct am_readers *r = &c->readers;

  r->reread = index != r->index;
  r->next_us = c->now_us + (r->reread ? 0 : READ_INTERVAL_US);
  return r->error;
}

int
am_readers_result (struct am_control *c, const struct am_control_store *s)
{
  struct am_readers *r = &c->readers;
  int err;

  r->busy = false;
  if (s->error && s->error != AM_E_NOT_FOUND)
    return failed (c, s->error);
  if (s->index_only && r->index)
    return take_index (c, s->index);
  r->reread = false;
  r->backoff_us = 0;
  r->next_us = c->now_us + READ_INTERVAL_US;
  r->answered = true;
  err = take_values (c, s);
  r->index = s->index < r->index ? 0 : s->index;
  r->known.digest = c->config.digest;
  r->known.index = s->index;
  if (r->error != err)
    am_control_log (c, err ? AM_LOG_WARNING : AM_LOG_INFO,
                    "event=store error=%s", am_error_name (err));
  r->error = err;
  return err;
}

static void
start_read (struct am_control *c)
{
  struct am_control_action a = { .type = AM_CONTROL_READ_STORE };

  a.index = c->readers.reader && !c->readers.reread ? c->readers.index : 0;
  a.wait_ms = a.index ? AM_WATCH_MS : 0;
  c->readers.busy = true;
  c->counters.store_reads++;
  c->sink.emit (c->sink.userdata, &a);
}

static bool
fresh_needs_read (struct am_control *c)
{
  struct am_readers *r = &c->readers;

  if (c->config.count || r->answered)
    return false;
  if (r->next_us == 0)
    r->next_us = c->now_us + PEERS_FIRST_US
                 + (uint64_t)(am_rng_unit (&c->rng) * (double)PEERS_FIRST_US);
  return true;
}

void
am_readers_tick (struct am_control *c)
{
  struct am_readers *r = &c->readers;

  decide (c);
  if (r->busy || c->stopping_us)
    return;
  if (!r->reader && !fresh_needs_read (c))
    return;
  if (r->reader && !r->reread && r->index == 0 && r->error == AM_OK
      && am_store_index (c))
    {
      r->index = am_store_index (c);
      r->next_us = c->now_us;
    }
  if (c->now_us >= r->next_us)
    start_read (c);
}
