#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zlib.h>

#include "base/error.h"
#include "base/hash.h"
#include "entry/entry.h"
#include "io/clock.h"
#include "wire/bytes.h"
#include "wire/fleet.pb-c.h"

/* Digests over UDP tell peers how far this VM's copy of the store goes and
   what load its flows are; a peer that is behind pulls the changes over HTTP
   from a connection of their own.  */

#define DIGEST_US 200000u
/* With many peers in the data centre digests come less often, so that their
   number does not grow with its square.  */
#define DIGEST_PEER_US 8000u
/* Silent seeds are told of this VM at this interval.  */
#define SEEDS_US 1000000u

/* The store has this long to answer before a seed is asked as well.  */
#define SEED_PULL_US 600000u

#define WHOLE_PULL_US 700000u

#define CHANGES_PATH "/changes?after="
/* Bytes before a compressed answer: its length once uncompressed.  */
#define CHANGES_HEAD 4
#define PULL_TIMEOUT_MS 800
#define PATH_SIZE 64
#define DATAGRAM_MAX 1400

/* ---- digests ------------------------------------------------------ */

static void
fill_member (Fleet__Member *m, char *name, uint32_t data_centre,
             struct am_address a)
{
  fleet__member__init (m);
  m->name = name;
  m->data_centre = data_centre;
  m->ip = a.ip;
  m->port = a.port;
}

/* The parts of a digest that point to each other.  */
struct digest
{
  Fleet__Digest message;
  Fleet__Member sender;
  Fleet__Load loads[AM_PEER_LOAD_MAX];
  Fleet__Load *load_list[AM_PEER_LOAD_MAX];
};

static void
fill_loads (struct am_entry *e, struct digest *d, uint64_t now_us)
{
  struct am_load_report reports[AM_PEER_LOAD_MAX];
  size_t n = am_peer_load_collect (&e->targets, reports, now_us);

  for (size_t i = 0; i < n; i++)
    {
      fleet__load__init (&d->loads[i]);
      d->loads[i].ticket = reports[i].ticket;
      d->loads[i].opening = reports[i].load.opening;
      d->loads[i].open_flows = reports[i].load.open_flows;
      d->loads[i].busy = reports[i].load.busy;
      d->loads[i].silent = reports[i].silent;
      d->load_list[i] = &d->loads[i];
    }
  d->message.loads = d->load_list;
  d->message.n_loads = n;
}

static void
fill_digest (struct am_entry *e, struct digest *d, uint64_t now_us)
{
  fleet__digest__init (&d->message);
  fill_member (&d->sender, e->settings.name, e->fleet.data_centre,
               e->settings.peers);
  d->message.sender = &d->sender;
  d->message.revision = e->replica.revision;
  d->message.horizon = e->replica.horizon;
  d->message.link_mbps = e->fleet.link_mbps;
  d->message.reads = e->reader.works;
  fill_loads (e, d, now_us);
}

/* Load concerns the peers of the data centre, which choose among the same
   targets; others hear of revisions only, and only from readers.  */
static void
send_digests (struct am_entry *e, uint64_t now_us)
{
  struct digest d;
  uint8_t near[DATAGRAM_MAX];
  uint8_t far[DATAGRAM_MAX];
  size_t near_len;
  size_t far_len;

  fill_digest (e, &d, now_us);
  if (fleet__digest__get_packed_size (&d.message) > sizeof near)
    return;
  near_len = fleet__digest__pack (&d.message, near);
  d.message.n_loads = 0;
  far_len = fleet__digest__pack (&d.message, far);
  e->digest_us = now_us;
  am_list_each (p, &e->fleet.peers, struct am_peer, node)
  {
    if (p->data_centre == e->fleet.data_centre)
      am_udp_send (&e->digests, p->address, near, near_len);
    else if (e->reader.works)
      am_udp_send (&e->digests, p->address, far, far_len);
  }
  if (now_us - e->seeds_us < SEEDS_US)
    return;
  e->seeds_us = now_us;
  for (size_t i = 0; i < e->settings.seed_count; i++)
    if (!am_address_equal (e->settings.seeds[i], e->settings.peers))
      am_udp_send (&e->digests, e->settings.seeds[i], far, far_len);
}

static struct am_peer *
learn_member (struct am_entry *e, const Fleet__Member *m, uint64_t now_us)
{
  struct am_peer *p;

  if (!m || !m->name[0] || !m->ip || !m->port || m->port > UINT16_MAX)
    return NULL;
  p = am_fleet_peer (&e->fleet, m->name, now_us);
  if (!p)
    return NULL;
  p->known_us = now_us;
  /* A digest tells a peer's address better than what others remember.  */
  if (!am_fleet_hears (p, now_us))
    {
      p->address.ip = m->ip;
      p->address.port = (uint16_t)m->port;
      p->data_centre = m->data_centre;
    }
  return p;
}

static void
take_loads (struct am_entry *e, struct am_peer *p, const Fleet__Digest *d)
{
  struct am_load_report reports[AM_PEER_LOAD_MAX];
  size_t n = d->n_loads < AM_PEER_LOAD_MAX ? d->n_loads : AM_PEER_LOAD_MAX;

  for (size_t i = 0; i < n; i++)
    {
      reports[i].ticket = d->loads[i]->ticket;
      reports[i].load.opening = d->loads[i]->opening;
      reports[i].load.open_flows = d->loads[i]->open_flows;
      reports[i].load.busy = d->loads[i]->busy;
      reports[i].silent = d->loads[i]->silent;
    }
  am_peer_load_set (&p->load, &e->targets, reports, n);
}

static void pull (struct am_entry *e, uint64_t now_us);

static void
on_digest (void *userdata, struct am_address from, const uint8_t *data,
           size_t len)
{
  struct am_entry *e = userdata;
  Fleet__Digest *d = fleet__digest__unpack (NULL, len, data);
  uint64_t now_us = am_clock_us ();
  struct am_peer *p = d ? learn_member (e, d->sender, now_us) : NULL;

  (void)from;
  e->counters.digests_in++;
  if (!d)
    e->counters.digests_bad++;
  if (p)
    {
      if (!am_fleet_hears (p, now_us))
        am_line_log_add (&e->log, AM_LINE_STATE, now_us,
                         "peer-regained name=%s revision=%" PRIu64, p->name,
                         d->revision);
      p->address.ip = d->sender->ip;
      p->address.port = (uint16_t)d->sender->port;
      p->data_centre = d->sender->data_centre;
      p->heard_us = now_us;
      p->revision = d->revision;
      p->horizon = d->horizon;
      am_fleet_set_link (p, d->link_mbps);
      p->reads = d->reads;
      take_loads (e, p, d);
      pull (e, now_us);
    }
  if (d)
    fleet__digest__free_unpacked (d, NULL);
}

/* ---- changes ------------------------------------------------------ */

/* Writes to C what a peer complete up to AFTER lacks.  The caller frees
   C->items and C->members with their elements by free_changes.  */
static int
fill_changes (struct am_entry *e, Fleet__Changes *c, uint64_t after)
{
  size_t count = 0;

  fleet__changes__init (c);
  c->revision = e->replica.revision;
  c->whole = !am_replica_reaches (&e->replica, after);
  if (c->whole)
    after = 0;
  am_list_each (i, &e->replica.by_revision, struct am_replica_item, node) count
      += i->revision > after;
  c->items = calloc (count + 1, sizeof (void *));
  c->members = calloc (e->fleet.count + 1, sizeof (void *));
  if (!c->items || !c->members)
    return AM_E_MEMORY;
  am_list_each (i, &e->replica.by_revision, struct am_replica_item, node)
  {
    Fleet__Item *item;

    if (i->revision <= after || (c->whole && i->removed))
      continue;
    item = malloc (sizeof *item);
    if (!item)
      return AM_E_MEMORY;
    fleet__item__init (item);
    item->key.data = (uint8_t *)i->key;
    item->key.len = i->key_len;
    item->value.data = i->value;
    item->value.len = i->value_len;
    item->revision = i->revision;
    item->removed = i->removed;
    c->items[c->n_items++] = item;
  }
  am_list_each (p, &e->fleet.peers, struct am_peer, node)
  {
    Fleet__Member *m = malloc (sizeof *m);

    if (!m)
      return AM_E_MEMORY;
    fill_member (m, p->name, p->data_centre, p->address);
    c->members[c->n_members++] = m;
  }
  return AM_OK;
}

static void
free_changes (Fleet__Changes *c)
{
  for (size_t i = 0; i < c->n_items; i++)
    free (c->items[i]);
  for (size_t i = 0; i < c->n_members; i++)
    free (c->members[i]);
  free (c->items);
  free (c->members);
}

/* Answers with C, compressed: a large configuration shrinks to a tenth, and a
   reader sends it to every peer of its data centre at once.  */
static void
pack_changes (const Fleet__Changes *c, struct am_http_reply *reply)
{
  size_t len = fleet__changes__get_packed_size (c);
  uLongf packed_len = compressBound (len);
  uint8_t *plain = malloc (len + 1);

  reply->body = malloc (CHANGES_HEAD + packed_len);
  if (plain && reply->body)
    {
      fleet__changes__pack (c, plain);
      am_put_u32 (reply->body, (uint32_t)len);
      if (compress2 (reply->body + CHANGES_HEAD, &packed_len, plain, len,
                     Z_BEST_SPEED)
          == Z_OK)
        {
          reply->status = 200;
          reply->body_len = CHANGES_HEAD + packed_len;
        }
    }
  free (plain);
}

/* Returns the message in the LEN bytes of BODY, freed by the caller, or NULL
   if they hold none.  */
static Fleet__Changes *
unpack_changes (const uint8_t *body, size_t len)
{
  Fleet__Changes *c = NULL;
  uLongf plain_len;
  uint8_t *plain;

  if (len < CHANGES_HEAD || am_get_u32 (body) > AM_HTTP_BODY_MAX)
    return NULL;
  plain_len = am_get_u32 (body);
  plain = malloc (plain_len + 1);
  if (plain
      && uncompress (plain, &plain_len, body + CHANGES_HEAD,
                     len - CHANGES_HEAD)
             == Z_OK)
    c = fleet__changes__unpack (NULL, plain_len, plain);
  free (plain);
  return c;
}

static void
on_changes_request (void *userdata, const char *path,
                    struct am_http_reply *reply)
{
  struct am_entry *e = userdata;
  Fleet__Changes c;

  reply->status = 404;
  if (strncmp (path, CHANGES_PATH, strlen (CHANGES_PATH)) != 0)
    return;
  reply->status = 503;
  if (!e->replica.revision)
    return;
  if (!fill_changes (e, &c, strtoull (path + strlen (CHANGES_PATH), NULL, 10)))
    pack_changes (&c, reply);
  free_changes (&c);
}

/* Takes an item of a peer's answer into the replica.  */
static int
take_item (struct am_entry *e, const Fleet__Item *i)
{
  const char *key = (const char *)i->key.data;

  if (!i->key.len)
    return AM_E_FORMAT;
  if (i->removed)
    return am_replica_remove (&e->replica, key, i->key.len, i->revision);
  return am_replica_write (&e->replica, key, i->key.len, i->value.data,
                           i->value.len, i->revision);
}

static int
take_changes (struct am_entry *e, const Fleet__Changes *c, uint64_t now_us)
{
  int err = AM_OK;

  for (size_t i = 0; i < c->n_members; i++)
    learn_member (e, c->members[i], now_us);
  /* A copy that is older than this VM's tells nothing of it.  */
  if (c->revision <= e->replica.revision)
    return AM_OK;
  if (c->whole && e->reader.listing)
    return AM_OK;
  if (c->whole)
    am_replica_list_begin (&e->replica);
  for (size_t i = 0; i < c->n_items && !err; i++)
    err = take_item (e, c->items[i]);
  if (err)
    return err;
  if (c->whole)
    am_replica_list_end (&e->replica, c->revision);
  else
    am_replica_advance (&e->replica, c->revision);
  return AM_OK;
}

static void
on_pulled (void *userdata, const struct am_http_answer *a)
{
  struct am_entry *e = userdata;
  uint64_t now_us = am_clock_us ();
  uint64_t before = e->replica.revision;
  Fleet__Changes *c = NULL;
  int err = a->error;

  if (!err && a->status != 200)
    err = AM_E_NOT_FOUND;
  if (!err)
    {
      c = unpack_changes (a->body, a->body_len);
      err = c ? take_changes (e, c, now_us) : AM_E_FORMAT;
    }
  if (c)
    fleet__changes__free_unpacked (c, NULL);
  am_http_client_reset (&e->pull);
  if (err)
    {
      e->counters.pull_failures++;
      am_line_log_add (&e->log, AM_LINE_STATE, now_us,
                       "pull-failed error=%s revision=%" PRIu64,
                       am_error_name (err), before);
      return;
    }
  if (e->replica.revision > before)
    am_line_log_add (&e->log, AM_LINE_BELIEF, now_us,
                     "pulled revision=%" PRIu64 " before=%" PRIu64,
                     e->replica.revision, before);
  pull (e, now_us);
}

static void
pull_from (struct am_entry *e, struct am_address peer)
{
  char path[PATH_SIZE];

  snprintf (path, sizeof path, CHANGES_PATH "%" PRIu64, e->replica.revision);
  am_http_client_init (&e->pull, e->loop, peer);
  e->counters.pulls++;
  am_http_get (&e->pull, path, PULL_TIMEOUT_MS, on_pulled, e);
}

/* Pulls from a peer that is ahead.  The whole copy of a peer is taken only
   while nothing else has confirmed this VM's for WHOLE_PULL_US.  */
static void
pull (struct am_entry *e, uint64_t now_us)
{
  bool whole = now_us - e->contact.fresh_us > WHOLE_PULL_US;
  struct am_peer *p;

  if (am_http_client_busy (&e->pull) || !e->replica.revision)
    return;
  p = am_fleet_ahead (&e->fleet, e->replica.revision, whole, now_us);
  if (p)
    pull_from (e, p->address);
}

/* While nothing is known each seed is asked in turn: the store may not answer
   a VM that has just started.  It is asked first, as both answers together
   would fill the link of a small VM.  */
static void
pull_from_seed (struct am_entry *e, uint64_t now_us)
{
  struct am_address seed;

  if (e->replica.revision || am_http_client_busy (&e->pull)
      || !e->settings.seed_count
      || (!e->reader.failures && now_us - e->started_us < SEED_PULL_US))
    return;
  seed = e->settings.seeds[e->next_seed++ % e->settings.seed_count];
  if (!am_address_equal (seed, e->settings.peers))
    pull_from (e, seed);
}

/* ---- driver ------------------------------------------------------- */

int
am_entry_peers_open (struct am_entry *e)
{
  int err;

  am_http_client_init (&e->pull, e->loop, e->settings.peers);
  err = am_udp_open (&e->digests, e->loop, e->settings.peers, on_digest, e);
  if (!err)
    err = am_http_server_open (&e->changes, e->loop, e->settings.peers,
                               on_changes_request, e);
  return err;
}

void
am_entry_peers_announce (struct am_entry *e, uint64_t now_us)
{
  send_digests (e, now_us);
}

void
am_entry_peers_tick (struct am_entry *e, uint64_t now_us)
{
  uint64_t interval = DIGEST_US;

  if (e->fleet.count * DIGEST_PEER_US > interval)
    interval = e->fleet.count * DIGEST_PEER_US;
  if (interval > AM_FLEET_SILENCE_US / 3)
    interval = AM_FLEET_SILENCE_US / 3;
  am_fleet_tick (&e->fleet, &e->targets, now_us);
  if (now_us - e->digest_us >= interval)
    send_digests (e, now_us);
  pull_from_seed (e, now_us);
  pull (e, now_us);
}

void
am_entry_peers_wake (struct am_entry *e)
{
  am_http_client_reset (&e->pull);
}
