#include "core/configuration/control_spread.h"

#include <stdlib.h>
#include <string.h>

#include "core/configuration/control_config.h"
#include "core/configuration/control_spread_parts.h"
#include "core/configuration/control_store_index.h"
#include "core/membership/control_members.h"

/* A pull without an answer is tried at another peer after this time.  */
#define PULL_US AM_SECOND_US

#define WANTED_MAX 4096

static void
free_wanted (struct am_control *c, struct am_wanted *w)
{
  /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): false, by uthash */
  HASH_DELETE (by_name, c->spread.wanted, w);
  free (w);
}

void
am_spread_pull_finish (struct am_control *c)
{
  struct am_wanted *w;
  struct am_wanted *next;

  HASH_ITER (by_name, c->spread.wanted, w, next) { free_wanted (c, w); }
}

static void
ask (struct am_control *c, struct am_address to, struct am_wanted *w)
{
  Amaranth__RecordVersion v = AMARANTH__RECORD_VERSION__INIT;
  Amaranth__RecordVersion *list[] = { &v };
  Amaranth__RecordList l = AMARANTH__RECORD_LIST__INIT;
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;

  v.name = w->name;
  v.revision = w->revision;
  v.write_id = w->write_id;
  l.want = list;
  l.n_want = 1;
  e.body_case = AMARANTH__ENVELOPE__BODY_RECORD_LIST;
  e.record_list = &l;
  w->requested_us = c->now_us;
  c->counters.pulls++;
  am_control_emit (c, AM_CONTROL_SEND_PEER, to, 0, &e);
}

static struct am_wanted *
wanted_for (struct am_control *c, const char *name)
{
  struct am_wanted *w;

  HASH_FIND (by_name, c->spread.wanted, name, strlen (name), w);
  if (w || HASH_CNT (by_name, c->spread.wanted) >= WANTED_MAX)
    return w;
  w = calloc (1, sizeof *w);
  if (!w)
    return NULL;
  am_copy_text (w->name, sizeof w->name, name);
  HASH_ADD_KEYPTR (by_name, c->spread.wanted, w->name, strlen (w->name), w);
  return w;
}

static void
want (struct am_control *c, const struct am_vm *v,
      const Amaranth__RecordVersion *version)
{
  struct am_wanted *w;
  int order;

  if (!am_spread_version_valid (version)
      || !am_config_lacks (c, version->name, version->revision,
                           version->write_id))
    return;
  w = wanted_for (c, version->name);
  if (!w)
    return;
  order = am_record_compare (version->revision, version->write_id, w->revision,
                             w->write_id);
  if (order <= 0)
    {
      if (order == 0)
        w->other = am_vm_control (v);
      return;
    }
  w->revision = version->revision;
  am_copy_text (w->write_id, sizeof w->write_id, version->write_id);
  w->other.ip = 0;
  ask (c, am_vm_control (v), w);
}

void
am_spread_announced (struct am_control *c, struct am_address from,
                     const Amaranth__Announce *a)
{
  const struct am_vm *v = am_members_find_by_address (c, from);

  if (!v)
    return;
  am_store_index_heard (c, a->config_digest, a->store_index);
  for (size_t i = 0; i < a->n_versions; i++)
    want (c, v, a->versions[i]);
}

void
am_spread_pull_tick (struct am_control *c)
{
  struct am_wanted *w;
  struct am_wanted *next;

  HASH_ITER (by_name, c->spread.wanted, w, next)
  {
    struct am_address other = w->other;
    bool lacked = am_config_lacks (c, w->name, w->revision, w->write_id);

    if (lacked && c->now_us - w->requested_us < PULL_US)
      continue;
    if (!lacked || other.ip == 0)
      free_wanted (c, w);
    else
      {
        w->other.ip = 0;
        ask (c, other, w);
      }
  }
}
