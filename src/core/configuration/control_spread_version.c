#include "core/configuration/control_spread.h"

#include <stdlib.h>
#include <string.h>

#include "core/configuration/control_spread_parts.h"
#include "core/membership/control_members.h"

void
am_spread_version_describe (const struct am_config_entry *e,
                            Amaranth__RecordVersion *v)
{
  amaranth__record_version__init (v);
  v->name = (char *)e->name;
  v->revision = e->revision;
  v->write_id = (char *)e->write_id;
}

bool
am_spread_version_valid (const Amaranth__RecordVersion *v)
{
  size_t n = strlen (v->name);

  return n > 0 && n < AM_RECORD_NAME_SIZE && v->revision > 0
         && strlen (v->write_id) < AM_WRITE_ID_SIZE;
}

Amaranth__Member **
am_spread_members_list (struct am_control *c, size_t *n)
{
  size_t count = c->vms.count + 1;
  Amaranth__Member **list = malloc (
      count * (sizeof (Amaranth__Member *) + sizeof (Amaranth__Member)));
  Amaranth__Member *m;

  *n = 0;
  if (!list)
    return NULL;
  m = (Amaranth__Member *)(void *)(list + count);
  am_members_fill_message (&c->self, &m[0]);
  list[(*n)++] = &m[0];
  am_list_each (v, &c->vms.all, struct am_vm, node)
  {
    am_members_fill_message (v, &m[*n]);
    list[*n] = &m[*n];
    (*n)++;
  }
  return list;
}
