#include "base/error.h"
#include "entry/peers.h"
#include "io/clock.h"

/* A longer wait than that for a listing is of no use.  */
#define LOOKUP_TIMEOUT_MS (AM_STARTUP_WAIT_MAX_US / 1000u)

static int
apply_supplier (void *userdata, const struct am_store_item *i)
{
  struct am_entry *e = userdata;

  if (e->adapter->item_kind (i->key) != AM_ITEM_SUPPLIERS)
    return AM_E_FORMAT;
  if (i->value
      && am_entry_suppliers_read (e, i->value, i->value_len, am_clock_us ()))
    e->counters.items_unusable++;
  return AM_OK;
}

static void
on_lookup (void *userdata, const struct am_http_answer *a)
{
  struct am_entry *e = userdata;
  struct am_store_response response;
  uint64_t now_us = am_clock_us ();
  int err = a->error;

  if (!err)
    err = e->adapter->response_parse (&response, a->status, a->header, a->body,
                                      a->body_len, apply_supplier, e);
  am_store_calls_add (&e->reader.calls, AM_STORE_CALL_SUPPLIERS,
                      am_store_outcome_of (err));
  am_http_client_reset (&e->suppliers_client);
  am_startup_lookup_done (&e->startup, e->suppliers.count, now_us);
  am_line_log_add (&e->log, AM_LINE_STATE, now_us,
                   "suppliers-found count=%zu error=%s", e->suppliers.count,
                   am_error_name (err));
  am_entry_pull_from_source (e, now_us);
}

void
am_entry_suppliers_look_up (struct am_entry *e)
{
  char path[AM_HTTP_PATH_SIZE];

  if (e->startup.lookup != AM_STARTUP_LOOKUP_DUE || !e->settings.store.port)
    return;
  e->adapter->list_path (path, sizeof path, AM_ITEM_SUPPLIERS, NULL, true);
  am_startup_lookup_begun (&e->startup);
  am_http_get (&e->suppliers_client, path, LOOKUP_TIMEOUT_MS, on_lookup, e);
}
