#include "core/configuration/control_spread.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "core/configuration/control_config.h"
#include "core/configuration/control_spread_parts.h"
#include "core/membership/control_members.h"

/* One part of an answer; a frame holds at most 4 MB.  */
#define PART_BYTES (1u << 20)
#define PART_RECORDS 1024

struct part
{
  Amaranth__Record records[PART_RECORDS];
  Amaranth__RecordVersion versions[PART_RECORDS];
  Amaranth__Record *list[PART_RECORDS];
  size_t n;
  size_t bytes;
};

static void
part_add (struct part *p, const struct am_config_entry *e)
{
  Amaranth__Record *r = &p->records[p->n];

  amaranth__record__init (r);
  am_spread_version_describe (e, &p->versions[p->n]);
  r->version = &p->versions[p->n];
  r->text.data = e->text;
  r->text.len = e->len;
  p->list[p->n++] = r;
  p->bytes += e->len;
}

static void
send_list (struct am_control *c, uint64_t stream, Amaranth__RecordList *l)
{
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;
  struct am_address none = { 0 };

  e.body_case = AMARANTH__ENVELOPE__BODY_RECORD_LIST;
  e.record_list = l;
  am_control_emit (c, AM_CONTROL_SEND_STREAM, none, stream, &e);
}

static void
send_part (struct am_control *c, uint64_t stream, struct part *p)
{
  Amaranth__RecordList l = AMARANTH__RECORD_LIST__INIT;

  l.records = p->list;
  l.n_records = p->n;
  l.more = true;
  send_list (c, stream, &l);
  p->n = 0;
  p->bytes = 0;
}

static void
part_push (struct am_control *c, uint64_t stream, struct part *p,
           const struct am_config_entry *e)
{
  if (p->n == PART_RECORDS || (p->n && p->bytes + e->len > PART_BYTES))
    send_part (c, stream, p);
  part_add (p, e);
}

/* Answers WANT with the records that are held.  */
static int
push_wanted (struct am_control *c, uint64_t stream,
             const Amaranth__RecordList *l)
{
  struct part *p = calloc (1, sizeof *p);
  Amaranth__RecordList out = AMARANTH__RECORD_LIST__INIT;

  if (!p)
    return AM_E_MEMORY;
  for (size_t i = 0; i < l->n_want; i++)
    {
      const struct am_config_entry *e = am_config_find (c, l->want[i]->name);

      if (e)
        part_push (c, stream, p, e);
    }
  out.records = p->list;
  out.n_records = p->n;
  if (p->n)
    send_list (c, stream, &out);
  free (p);
  return AM_OK;
}

struct known
{
  UT_hash_handle hh;
  const Amaranth__RecordVersion *version;
};

/* Indexes the versions of R by name.  */
static struct known *
index_versions (const Amaranth__DigestRequest *r, struct known **memory)
{
  struct known *index = NULL;
  struct known *all = calloc (r->n_have + 1, sizeof *all);

  *memory = all;
  for (size_t i = 0; all && i < r->n_have; i++)
    {
      const char *name = r->have[i]->name;

      all[i].version = r->have[i];
      HASH_ADD_KEYPTR (hh, index, name, strlen (name), &all[i]);
    }
  return index;
}

static void
push_newer (struct am_control *c, uint64_t stream, struct part *p,
            struct known *index)
{
  struct am_config_entry *e;
  struct am_config_entry *next;

  HASH_ITER (by_name, c->config.by_name, e, next)
  {
    struct known *k;

    HASH_FIND (hh, index, e->name, strlen (e->name), k);
    if (!k
        || am_record_compare (e->revision, e->write_id, k->version->revision,
                              k->version->write_id)
               > 0)
      part_push (c, stream, p, e);
  }
}

static size_t
list_lacked (struct am_control *c, const Amaranth__DigestRequest *r,
             Amaranth__RecordVersion **out)
{
  size_t n = 0;

  for (size_t i = 0; i < r->n_have; i++)
    if (am_spread_version_valid (r->have[i])
        && am_config_lacks (c, r->have[i]->name, r->have[i]->revision,
                            r->have[i]->write_id))
      out[n++] = r->have[i];
  return n;
}

int
am_spread_digest_request (struct am_control *c, uint64_t stream,
                          const Amaranth__DigestRequest *r)
{
  Amaranth__RecordList l = AMARANTH__RECORD_LIST__INIT;
  struct part *p = calloc (1, sizeof *p);
  Amaranth__RecordVersion **lacked
      = calloc (r->n_have + 1, sizeof (Amaranth__RecordVersion *));
  struct known *memory = NULL;
  struct known *index = NULL;
  int err = p && lacked ? AM_OK : AM_E_MEMORY;

  for (size_t i = 0; i < r->n_members && !err; i++)
    err = am_members_update (c, r->members[i], AM_UPDATE_TABLE_EXCHANGE);
  if (!err)
    {
      index = index_versions (r, &memory);
      push_newer (c, stream, p, index);
      l.records = p->list;
      l.n_records = p->n;
      l.want = lacked;
      l.n_want = list_lacked (c, r, lacked);
      if (r->join)
        l.members = am_spread_members_list (c, &l.n_members);
      send_list (c, stream, &l);
      HASH_CLEAR (hh, index);
    }
  free (l.members);
  free (memory);
  free (lacked);
  free (p);
  return err;
}

static int
take_records (struct am_control *c, const Amaranth__RecordList *l)
{
  const struct am_config_entry *fresh[AM_ANNOUNCE_MAX + 1];
  size_t n = 0;
  int err = AM_OK;

  for (size_t i = 0; i < l->n_records; i++)
    {
      const Amaranth__Record *r = l->records[i];
      bool newer;
      int e;

      if (!r->version || !am_spread_version_valid (r->version))
        return AM_E_FORMAT;
      e = am_config_offer (c, r->version->name, r->text.data, r->text.len,
                           AM_CONFIG_PEER, &newer);
      if (newer && n <= AM_ANNOUNCE_MAX)
        fresh[n++] = am_config_find (c, r->version->name);
      if (e && e != AM_E_REVISION)
        err = e;
    }
  am_spread_announce (c, fresh, n);
  return err;
}

/* The answer to a join is complete.  */
static void
join_done (struct am_control *c, const Amaranth__RecordList *l)
{
  if (c->spread.joined || l->more || l->n_members == 0)
    return;
  c->spread.joined = true;
  c->link.dirty = true;
  am_control_log (c, AM_LOG_INFO, "event=joined members=%zu records=%zu",
                  c->vms.live, c->config.count);
}

int
am_spread_records (struct am_control *c, uint64_t stream,
                   const Amaranth__RecordList *l)
{
  int err = AM_OK;

  for (size_t i = 0; i < l->n_members && !err; i++)
    err = am_members_update (c, l->members[i], AM_UPDATE_TABLE_EXCHANGE);
  if (err)
    return err;
  err = take_records (c, l);
  join_done (c, l);
  if (l->n_want)
    push_wanted (c, stream, l);
  return err;
}
