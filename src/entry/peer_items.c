#include <string.h>

#include "base/error.h"
#include "entry/peers.h"

/* Items of the replica as VMs send them to each other.  */

void
am_entry_fill_item (Fleet__Item *m, const struct am_replica_item *item)
{
  fleet__item__init (m);
  m->key.data = (uint8_t *)item->key;
  m->key.len = item->key_len;
  m->value.data = item->value;
  m->value.len = item->value_len;
  m->revision = item->revision;
  m->removed = item->removed;
}

/* Copies the key of M to KEY.  Returns AM_OK, or AM_E_FORMAT if it is empty or
   too long.  */
static int
copy_key (const Fleet__Item *m, char key[AM_ENTRY_KEY_SIZE])
{
  if (!m->key.len || m->key.len >= AM_ENTRY_KEY_SIZE)
    return AM_E_FORMAT;
  memcpy (key, m->key.data, m->key.len);
  key[m->key.len] = '\0';
  return AM_OK;
}

int
am_entry_apply_item (struct am_entry *e, const Fleet__Item *m, bool listed)
{
  char key[AM_ENTRY_KEY_SIZE];
  struct am_store_item item = { .key = key,
                                .key_len = m->key.len,
                                .value = m->value.data,
                                .value_len = m->value.len,
                                .revision = m->revision };

  if (copy_key (m, key))
    return AM_E_FORMAT;
  if (m->removed)
    return am_replica_remove (&e->replica, key, m->key.len, m->revision);
  return listed ? am_entry_write_listed_item (e, &item)
                : am_entry_write_item (e, &item);
}

int
am_entry_apply_configuration (struct am_entry *e, const Fleet__Item *m)
{
  const struct am_replica_item *known;
  char key[AM_ENTRY_KEY_SIZE];

  if (copy_key (m, key))
    return AM_E_FORMAT;
  if (m->removed || e->adapter->item_kind (key) != AM_ITEM_CONFIGURATION
      || am_entry_configuration_version (e, m->value.data, m->value.len)
             <= e->routes.active.version)
    return AM_OK;
  known = am_replica_find_any (&e->replica, key);
  return am_replica_replace (&e->replica, key, m->key.len, m->value.data,
                             m->value.len,
                             known ? known->revision : m->revision);
}
