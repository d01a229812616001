#include <inttypes.h>
#include <string.h>

#include "base/error.h"
#include "entry/peers.h"
#include "io/clock.h"

#define WRITE_TIMEOUT_MS 1500

/* Room for the record of AM_SUPPLIERS_MAX members, and for the call that
   writes it.  */
#define RECORD_SIZE 512
#define CALL_SIZE 1024

/* A record is a Changes message that holds members only.  Fills RECORD, which
   has room for RECORD_SIZE bytes, and returns its length, or 0 if the names
   are too long.  */
static size_t
fill_record (struct am_entry *e, uint8_t *record, uint64_t now_us)
{
  const struct am_peer *peers[AM_SUPPLIERS_MAX];
  Fleet__Member members[AM_SUPPLIERS_MAX];
  Fleet__Member *list[AM_SUPPLIERS_MAX];
  Fleet__Changes c;

  fleet__changes__init (&c);
  c.n_members = am_suppliers_select (&e->fleet, peers, now_us);
  c.members = list;
  for (size_t i = 0; i < c.n_members; i++)
    {
      const struct am_peer *p = peers[i];

      list[i] = &members[i];
      am_entry_fill_member (
          &members[i], p ? (char *)p->name : e->settings.name,
          e->fleet.data_centre, p ? p->address : e->settings.peers);
    }
  if (fleet__changes__get_packed_size (&c) > RECORD_SIZE)
    return 0;
  return fleet__changes__pack (&c, record);
}

static void
on_written (void *userdata, const struct am_http_answer *a)
{
  struct am_entry *e = userdata;
  int err = a->error;

  if (!err && a->status != 200)
    err = AM_E_STORE;
  am_store_calls_add (&e->reader.calls, AM_STORE_CALL_WRITE,
                      am_store_outcome_of (err));
  am_http_client_reset (&e->suppliers_client);
  am_line_log_add (&e->log, AM_LINE_STATE, am_clock_us (),
                   "suppliers-written error=%s", am_error_name (err));
}

static void
write_record (struct am_entry *e, const char *key, const uint8_t *record,
              size_t len)
{
  char path[CALL_SIZE];
  char body[CALL_SIZE];
  int err = e->adapter->write_call (path, body, CALL_SIZE, key, record, len);

  if (!err)
    err = am_http_post (&e->suppliers_client, path, body, WRITE_TIMEOUT_MS,
                        on_written, e);
  if (err)
    am_line_log_add (&e->log, AM_LINE_STATE, am_clock_us (),
                     "suppliers-written error=%s", am_error_name (err));
}

void
am_entry_suppliers_open (struct am_entry *e)
{
  am_suppliers_init (&e->suppliers, e->started_us);
  am_http_client_init (&e->suppliers_client, e->loop, e->settings.store);
}

void
am_entry_suppliers_tick (struct am_entry *e, uint64_t now_us)
{
  char key[CALL_SIZE];
  uint8_t record[RECORD_SIZE];
  const struct am_replica_item *stored;
  size_t len;
  bool differs;

  if (!e->reader.active || e->shutdown.begin_us
      || am_http_client_busy (&e->suppliers_client))
    return;
  len = fill_record (e, record, now_us);
  e->adapter->suppliers_key (key, sizeof key, e->settings.data_centre);
  stored = am_replica_find (&e->replica, key);
  differs = !stored || stored->value_len != len
            || memcmp (stored->value, record, len) != 0;
  if (len && am_suppliers_write_due (&e->suppliers, differs, now_us))
    write_record (e, key, record, len);
}

int
am_entry_suppliers_read (struct am_entry *e, const uint8_t *value, size_t len,
                         uint64_t now_us)
{
  Fleet__Changes *c = fleet__changes__unpack (NULL, len, value);

  if (!c)
    return AM_E_FORMAT;
  if (c->n_members && c->members[0]->data_centre == e->fleet.data_centre)
    {
      am_suppliers_clear (&e->suppliers);
      e->next_source = am_rng_below (&e->path.rng, AM_SUPPLIERS_MAX);
    }
  for (size_t i = 0; i < c->n_members; i++)
    {
      struct am_peer *p
          = am_entry_add_or_refresh_member (e, c->members[i], now_us);

      if (p && p->data_centre == e->fleet.data_centre)
        am_suppliers_add (&e->suppliers, p->address);
    }
  fleet__changes__free_unpacked (c, NULL);
  return AM_OK;
}
