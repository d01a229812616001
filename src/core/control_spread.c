#include "core/control_spread.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "core/control_config.h"
#include "core/control_members.h"
#include "core/control_readers.h"

/* A version counts as recent this long; the announcements and the probes of a
   fleet of 1,000 need about three seconds.  */
#define RECENT_US (30 * AM_SECOND_US)

/* A pull without an answer is tried at another peer after this time.  */
#define PULL_US AM_SECOND_US

/* A whole exchange waits until the fast spread of the last change is over.  */
#define SYNC_QUIET_US (3 * AM_SECOND_US)
#define SYNC_WAIT_MIN_US (2 * AM_SECOND_US)
#define SYNC_WAIT_MAX_US (128 * AM_SECOND_US)

/* Exchanges of the table with a member held dead: at once, then with a wait
   that doubles until none has been needed for the calm time.  Links that lose
   20 % gave false deaths every few seconds.  */
#define EXCHANGE_WAIT_US (2 * AM_SECOND_US)
#define EXCHANGE_CALM_US (128 * AM_SECOND_US)

/* A fresh agent asks another peer after JOIN_RETRY_US, and goes on without an
   answer after JOIN_LIMIT_US.  */
#define JOIN_RETRY_US AM_SECOND_US
#define JOIN_LIMIT_US (5 * AM_SECOND_US)

/* After a join the tables of members are exchanged again, because the first
   peer may have been as fresh as this one; the wait doubles while nothing is
   new, up to the limit, which ends the exchanges.  */
#define MEMBERS_WAIT_MIN_US (2 * AM_SECOND_US)
#define MEMBERS_WAIT_LIMIT_US (4 * AM_SECOND_US)

/* One part of an answer; a frame holds at most 4 MB.  */
#define PART_BYTES (1u << 20)
#define PART_RECORDS 1024

#define WANTED_MAX 4096
#define FANOUT_MAX 1024

void
am_spread_init (struct am_control *c)
{
  c->spread.sync_wait_us = SYNC_WAIT_MIN_US;
  c->spread.exchange_wait_us = EXCHANGE_WAIT_US;
  c->spread.started_us = c->now_us;
}

static void
free_wanted (struct am_control *c, struct am_wanted *w)
{
  HASH_DELETE (by_name, c->spread.wanted, w);
  free (w);
}

void
am_spread_finish (struct am_control *c)
{
  struct am_wanted *w;
  struct am_wanted *next;

  HASH_ITER (by_name, c->spread.wanted, w, next) { free_wanted (c, w); }
}

static void
describe_version (const struct am_config_entry *e, Amaranth__RecordVersion *v)
{
  amaranth__record_version__init (v);
  v->name = (char *)e->name;
  v->revision = e->revision;
  v->write_id = (char *)e->write_id;
}

/* ---- announcements ------------------------------------------------ */

static void
announce_to (struct am_control *c, struct am_address to,
             const struct am_config_entry *const *entries, size_t n)
{
  Amaranth__RecordVersion versions[AM_ANNOUNCE_MAX];
  Amaranth__RecordVersion *list[AM_ANNOUNCE_MAX];
  Amaranth__Announce a = AMARANTH__ANNOUNCE__INIT;
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;

  for (size_t i = 0; i < n; i++)
    {
      describe_version (entries[i], &versions[i]);
      list[i] = &versions[i];
    }
  a.versions = list;
  a.n_versions = n;
  a.config_digest = c->config.digest;
  a.store_index = am_readers_index (c);
  e.body_case = AMARANTH__ENVELOPE__BODY_ANNOUNCE;
  e.announce = &a;
  c->counters.announcements++;
  am_control_emit (c, AM_CONTROL_SEND_GOSSIP, to, 0, &e);
}

void
am_spread_announce (struct am_control *c,
                    const struct am_config_entry *const *entries, size_t n)
{
  struct am_vm *to[FANOUT_MAX];
  size_t count;

  if (n == 0 || n > AM_ANNOUNCE_MAX || c->fanout == AM_FANOUT_NONE)
    return;
  count = am_members_random (c, 0, to,
                             c->fanout < FANOUT_MAX ? c->fanout : FANOUT_MAX);
  for (size_t i = 0; i < count; i++)
    announce_to (c, am_vm_gossip (to[i]), entries, n);
}

static size_t
recent (const struct am_control *c, const struct am_config_entry **out)
{
  size_t n = 0;

  am_list_each (e, &c->config.recent, struct am_config_entry, recent)
  {
    if (n == AM_ANNOUNCE_MAX || c->now_us - e->changed_us > RECENT_US)
      break;
    out[n++] = e;
  }
  return n;
}

/* ---- pulls -------------------------------------------------------- */

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
  w->asked_us = c->now_us;
  c->counters.pulls++;
  am_control_emit (c, AM_CONTROL_SEND_PEER, to, 0, &e);
}

static bool
valid_version (const Amaranth__RecordVersion *v)
{
  size_t n = strlen (v->name);

  return n > 0 && n < AM_RECORD_NAME_SIZE && v->revision > 0
         && strlen (v->write_id) < AM_WRITE_ID_SIZE;
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

  if (!valid_version (version)
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
  const struct am_vm *v = am_members_at (c, from);

  if (!v)
    return;
  am_readers_heard (c, a->config_digest, a->store_index);
  for (size_t i = 0; i < a->n_versions; i++)
    want (c, v, a->versions[i]);
}

static void
repeat_pulls (struct am_control *c)
{
  struct am_wanted *w;
  struct am_wanted *next;

  HASH_ITER (by_name, c->spread.wanted, w, next)
  {
    struct am_address other = w->other;
    bool lacked = am_config_lacks (c, w->name, w->revision, w->write_id);

    if (lacked && c->now_us - w->asked_us < PULL_US)
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

/* ---- answers ------------------------------------------------------ */

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
  describe_version (e, &p->versions[p->n]);
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

static Amaranth__Member **
describe_members (struct am_control *c, size_t *n)
{
  size_t count = c->vms.count + 1;
  Amaranth__Member **list = malloc (
      count * (sizeof (Amaranth__Member *) + sizeof (Amaranth__Member)));
  Amaranth__Member *m;

  *n = 0;
  if (!list)
    return NULL;
  m = (Amaranth__Member *)(void *)(list + count);
  am_members_describe (&c->self, &m[0]);
  list[(*n)++] = &m[0];
  am_list_each (v, &c->vms.all, struct am_vm, node)
  {
    am_members_describe (v, &m[*n]);
    list[*n] = &m[*n];
    (*n)++;
  }
  return list;
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
    if (valid_version (r->have[i])
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
    err = am_members_update (c, r->members[i], AM_UPDATE_EXCHANGE);
  if (!err)
    {
      index = index_versions (r, &memory);
      push_newer (c, stream, p, index);
      l.records = p->list;
      l.n_records = p->n;
      l.want = lacked;
      l.n_want = list_lacked (c, r, lacked);
      if (r->join)
        l.members = describe_members (c, &l.n_members);
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

      if (!r->version || !valid_version (r->version))
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
    err = am_members_update (c, l->members[i], AM_UPDATE_EXCHANGE);
  if (err)
    return err;
  err = take_records (c, l);
  join_done (c, l);
  if (l->n_want)
    push_wanted (c, stream, l);
  return err;
}

/* ---- whole exchanges ---------------------------------------------- */

static void
request (struct am_control *c, struct am_address to, bool join)
{
  Amaranth__DigestRequest r = AMARANTH__DIGEST_REQUEST__INIT;
  Amaranth__Envelope env = AMARANTH__ENVELOPE__INIT;
  size_t n = c->config.count;
  Amaranth__RecordVersion *versions = calloc (n + 1, sizeof *versions);
  Amaranth__RecordVersion **list
      = calloc (n + 1, sizeof (Amaranth__RecordVersion *));
  struct am_config_entry *e;
  struct am_config_entry *next;

  if (versions && list)
    {
      HASH_ITER (by_name, c->config.by_name, e, next)
      {
        describe_version (e, &versions[r.n_have]);
        list[r.n_have] = &versions[r.n_have];
        r.n_have++;
      }
      r.have = list;
      r.join = join;
      if (join)
        r.members = describe_members (c, &r.n_members);
      env.body_case = AMARANTH__ENVELOPE__BODY_DIGEST_REQUEST;
      env.digest_request = &r;
      c->counters.syncs++;
      am_control_emit (c, AM_CONTROL_SEND_PEER, to, 0, &env);
      free (r.members);
    }
  free (versions);
  free (list);
}

void
am_spread_exchange (struct am_control *c, const struct am_vm *v)
{
  struct am_spread *s = &c->spread;

  if (c->now_us < s->next_exchange_us)
    return;
  if (c->now_us - s->next_exchange_us > EXCHANGE_CALM_US)
    s->exchange_wait_us = EXCHANGE_WAIT_US;
  s->next_exchange_us = c->now_us + s->exchange_wait_us;
  if (s->exchange_wait_us < EXCHANGE_CALM_US)
    s->exchange_wait_us *= 2;
  request (c, am_vm_control (v), true);
}

void
am_spread_compare (struct am_control *c, const struct am_vm *v,
                   const Amaranth__Gossip *g)
{
  const struct am_config_entry *entries[AM_ANNOUNCE_MAX];
  size_t n;

  am_readers_heard (c, g->config_digest, g->store_index);
  if (g->config_digest == c->config.digest)
    {
      c->spread.mismatch_id = 0;
      return;
    }
  n = recent (c, entries);
  if (n)
    announce_to (c, am_vm_gossip (v), entries, n);
  if (g->kind == AMARANTH__GOSSIP_KIND__GOSSIP_ACK)
    c->spread.mismatch_id = v->id;
}

static void
sync_tick (struct am_control *c)
{
  struct am_spread *s = &c->spread;
  const struct am_vm *v
      = s->mismatch_id ? am_members_find (c, s->mismatch_id) : NULL;

  if (!v || c->now_us < s->next_sync_us
      || c->now_us - c->config.changed_us < SYNC_QUIET_US)
    return;
  if (s->synced_digest == c->config.digest)
    s->sync_wait_us *= 2;
  else
    s->sync_wait_us = SYNC_WAIT_MIN_US;
  if (s->sync_wait_us > SYNC_WAIT_MAX_US)
    s->sync_wait_us = SYNC_WAIT_MAX_US;
  s->synced_digest = c->config.digest;
  s->next_sync_us = c->now_us + s->sync_wait_us;
  s->mismatch_id = 0;
  request (c, am_vm_control (v), false);
}

static void
join_tick (struct am_control *c)
{
  struct am_spread *s = &c->spread;
  struct am_vm *v;

  if (s->joined)
    return;
  if (c->now_us - s->started_us >= JOIN_LIMIT_US)
    {
      s->joined = true;
      c->link.dirty = true;
      am_control_log (c, AM_LOG_NOTICE,
                      "event=join_timeout members=%zu records=%zu",
                      c->vms.live, c->config.count);
      return;
    }
  if (c->now_us < s->next_join_us || am_members_random (c, 0, &v, 1) == 0)
    return;
  s->next_join_us = c->now_us + JOIN_RETRY_US;
  request (c, am_vm_control (v), true);
}

static void
members_tick (struct am_control *c)
{
  struct am_spread *s = &c->spread;
  struct am_vm *v;

  if (!s->joined || s->members_wait_us > MEMBERS_WAIT_LIMIT_US
      || c->now_us < s->next_members_us)
    return;
  if (s->members_wait_us == 0 || c->vms.count > s->members_before)
    s->members_wait_us = MEMBERS_WAIT_MIN_US;
  else
    s->members_wait_us *= 2;
  s->next_members_us = c->now_us + s->members_wait_us;
  if (s->members_before && am_members_random (c, 0, &v, 1))
    request (c, am_vm_control (v), true);
  s->members_before = c->vms.count;
}

void
am_spread_tick (struct am_control *c)
{
  join_tick (c);
  members_tick (c);
  sync_tick (c);
  repeat_pulls (c);
}
