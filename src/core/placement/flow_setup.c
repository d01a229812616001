#include "core/placement/flow_setup.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "core/binding/flow_count.h"
#include "core/binding/forward.h"
#include "core/binding/key_ring.h"
#include "core/placement/choice.h"
#include "core/placement/open_rate.h"

/* Identifies a flow: connection id, then service id and caller address.  */
struct key
{
  uint64_t words[2];
};

struct flow_setup
{
  struct am_list node; /* in pending or opened, oldest first */
  UT_hash_handle hh;
  struct key key;
  uint64_t connection_id;
  struct am_address caller;
  struct am_service *service;
  struct am_upstream *upstream; /* NULL: removed since */
  uint64_t started_us;
  uint64_t since_us; /* start of the current attempt, or time of opening */
  uint32_t attempts;
  bool opened;
  uint8_t ticket[AM_TICKET_SIZE];
};

struct am_flow_setups
{
  struct flow_setup *table;
  struct am_list pending;
  struct am_list opened;
  size_t pending_count;
  struct am_open_rate rate;
  uint64_t serial;
};

int
am_flow_setup_init (struct am_board *b)
{
  struct am_flow_setups *o = calloc (1, sizeof *o);

  if (!o)
    return AM_E_MEMORY;
  am_list_init (&o->pending);
  am_list_init (&o->opened);
  am_open_rate_init (&o->rate);
  b->opens = o;
  return AM_OK;
}

/* Clears the upstream of O; if O is pending, it no longer counts there.  */
static void
release_upstream (struct flow_setup *o)
{
  if (o->upstream && !o->opened && o->upstream->use.opening)
    o->upstream->use.opening--;
  o->upstream = NULL;
}

static void
remove_entry (struct am_flow_setups *t, struct flow_setup *o)
{
  if (!o->opened)
    t->pending_count--;
  release_upstream (o);
  am_list_remove (&o->node);
  HASH_DEL (t->table, o);
  free (o);
}

void
am_flow_setup_finish (struct am_board *b)
{
  struct am_flow_setups *t = b->opens;

  if (!t)
    return;
  am_list_each_safe (o, next, &t->pending, struct flow_setup, node)
  {
    remove_entry (t, o);
  }
  am_list_each_safe (o, next, &t->opened, struct flow_setup, node)
  {
    remove_entry (t, o);
  }
  am_open_rate_finish (&t->rate);
  free (t);
  b->opens = NULL;
}

int
am_flow_setup_admit (struct am_board *b, const struct am_service *s,
                     struct am_address caller)
{
  int err = am_open_rate_take (&b->opens->rate, s, caller.ip, b->now_us);

  if (err)
    b->counters.opens_limited++;
  return err;
}

/* ---- replies to the caller ---------------------------------------- */

static void
refuse (struct am_board *b, struct am_service *s, struct am_address caller,
        uint64_t connection_id, int error)
{
  b->counters.opens_refused++;
  am_board_decision (
      b, connection_id,
      "event=open_refused flow=%llu service=%s reason=%s revision=%llu",
      (unsigned long long)connection_id, s->name, am_error_name (error),
      (unsigned long long)s->revision);
  am_send_reset (b, s, caller, connection_id, error);
}

static void
send_ticket (struct am_board *b, const struct flow_setup *o)
{
  struct am_packet p = { .type = AM_PACKET_OPENED,
                         .connection_id = o->connection_id,
                         .ticket = o->ticket };

  am_board_send_caller (b, o->service->address, o->caller, &p);
}

/* ---- attempts at upstreams ---------------------------------------- */

static uint64_t
flow_key (const struct flow_setup *o)
{
  return am_hash_bytes (&o->key, sizeof o->key, 0);
}

static void
send_open (struct am_board *b, const struct flow_setup *o)
{
  uint8_t body[AM_OPEN_BODY_SIZE];
  struct am_open_body open = { .kind = AM_OPEN_FLOW };
  struct am_packet p = { .type = AM_PACKET_OPEN,
                         .connection_id = o->connection_id,
                         .body = body,
                         .body_len = sizeof body };

  am_open_body_encode (&open, body);
  am_board_send_upstream (b, o->upstream, o->caller, &p);
}

/* Selects an upstream other than EXCLUDE if possible and sends it the OPEN.
   Returns AM_OK, AM_E_NO_UPSTREAM or AM_E_LIMIT.  */
static int
start_attempt (struct am_board *b, struct flow_setup *o,
               const struct am_upstream *exclude)
{
  struct am_upstream *u = NULL;
  int err = am_choice_pick (b, o->service, AM_WORK_FLOW, exclude, flow_key (o),
                            &u);

  if (err)
    return err;
  o->upstream = u;
  u->use.opening++;
  o->attempts++;
  o->since_us = b->now_us;
  am_list_remove (&o->node);
  am_list_push_back (&b->opens->pending, &o->node);
  am_board_decision (
      b, o->connection_id,
      "event=open flow=%llu service=%s upstream=%s policy=%s attempt=%u "
      "revision=%llu",
      (unsigned long long)o->connection_id, o->service->name, u->name,
      o->service->choice->name, o->attempts,
      (unsigned long long)o->service->revision);
  send_open (b, o);
  return AM_OK;
}

/* Ends the attempt of O, which failed with ERROR, and starts another one.  If
   none is left or no upstream is available, refuses the OPEN.  */
static void
retry_elsewhere (struct am_board *b, struct flow_setup *o, int error)
{
  const struct am_upstream *exclude = o->upstream;
  int err = o->attempts < AM_OPEN_ATTEMPTS_MAX ? AM_OK : error;

  release_upstream (o);
  if (!err)
    err = start_attempt (b, o, exclude);
  if (!err)
    return;
  refuse (b, o->service, o->caller, o->connection_id, err);
  remove_entry (b->opens, o);
}

/* ---- events ------------------------------------------------------- */

static struct key
make_key (const struct am_service *s, struct am_address caller,
          uint64_t connection_id)
{
  struct key key = { { connection_id, (uint64_t)s->id << 32 | caller.ip } };

  return key;
}

static struct flow_setup *
find (const struct am_flow_setups *t, const struct am_service *s,
      struct am_address caller, uint64_t connection_id)
{
  struct key key = make_key (s, caller, connection_id);
  struct flow_setup *o;

  HASH_FIND (hh, t->table, &key, sizeof key, o);
  return o;
}

static struct flow_setup *
add (struct am_board *b, struct am_service *s, struct am_address caller,
     uint64_t connection_id)
{
  struct am_flow_setups *t = b->opens;
  struct flow_setup *o;

  if (HASH_COUNT (t->table) >= AM_FLOW_SETUPS_MAX)
    return NULL;
  o = calloc (1, sizeof *o);
  if (!o)
    return NULL;
  o->key = make_key (s, caller, connection_id);
  o->connection_id = connection_id;
  o->caller = caller;
  o->service = s;
  o->started_us = b->now_us;
  am_list_push_back (&t->pending, &o->node);
  t->pending_count++;
  HASH_ADD (hh, t->table, key, sizeof o->key, o);
  return o;
}

int
am_flow_setup_open (struct am_board *b, struct am_service *s,
                    struct am_address caller, uint64_t connection_id)
{
  struct flow_setup *o = find (b->opens, s, caller, connection_id);
  int err;

  if (o)
    {
      if (o->opened)
        send_ticket (b, o);
      return AM_OK;
    }
  err = am_flow_setup_admit (b, s, caller);
  if (!err)
    {
      o = add (b, s, caller, connection_id);
      err = o ? start_attempt (b, o, NULL) : AM_E_LIMIT;
    }
  if (!err)
    return AM_OK;
  refuse (b, s, caller, connection_id, err);
  if (o)
    remove_entry (b->opens, o);
  return err;
}

static int
mint (struct am_board *b, struct flow_setup *o)
{
  struct am_ticket t = { .kind = AM_OPEN_FLOW,
                         .service_id = o->service->id,
                         .upstream_id = o->upstream->id,
                         .upstream_incarnation = o->upstream->incarnation,
                         .issuer_id = b->self.id,
                         .issuer_boot_id = b->self.boot_id,
                         .serial = ++b->opens->serial,
                         .issued_ms = b->now_us / 1000 };
  struct am_ticket_scope scope = { .caller_ip = o->caller.ip,
                                   .service = o->service->address,
                                   .connection_id = o->connection_id };
  int err = am_key_ring_mint (b, &t, &scope, o->ticket);

  if (!err)
    am_flow_count_add (b, o->service, o->upstream, t.serial);
  return err;
}

static void
close_at (struct am_board *b, const struct am_upstream *u,
          struct am_address caller, uint64_t connection_id)
{
  struct am_packet p
      = { .type = AM_PACKET_CLOSE, .connection_id = connection_id };

  am_board_send_upstream (b, u, caller, &p);
}

static void
complete (struct am_board *b, struct flow_setup *o)
{
  struct am_flow_setups *t = b->opens;
  struct am_upstream *u = o->upstream;
  int err = mint (b, o);

  if (err)
    {
      close_at (b, u, o->caller, o->connection_id);
      refuse (b, o->service, o->caller, o->connection_id, err);
      remove_entry (t, o);
      return;
    }
  am_health_ok (b, u, b->now_us - o->since_us);
  if (u->use.opening)
    u->use.opening--;
  o->opened = true;
  o->since_us = b->now_us;
  t->pending_count--;
  am_list_remove (&o->node);
  am_list_push_back (&t->opened, &o->node);
  b->counters.opens++;
  am_board_decision (
      b, o->connection_id,
      "event=opened flow=%llu service=%s upstream=%s after_us=%llu "
      "revision=%llu",
      (unsigned long long)o->connection_id, o->service->name, u->name,
      (unsigned long long)(b->now_us - o->started_us),
      (unsigned long long)o->service->revision);
  send_ticket (b, o);
}

bool
am_flow_setup_accepted (struct am_board *b, struct am_upstream *u,
                        struct am_address caller, uint64_t connection_id)
{
  struct flow_setup *o = find (b->opens, u->service, caller, connection_id);

  if (!o)
    return false;
  if (o->upstream != u)
    {
      close_at (b, u, caller, connection_id);
      return true;
    }
  if (!o->opened)
    complete (b, o);
  return true;
}

bool
am_flow_setup_refused (struct am_board *b, struct am_upstream *u,
                       struct am_address caller, uint64_t connection_id,
                       int error)
{
  struct flow_setup *o = find (b->opens, u->service, caller, connection_id);

  if (!o || o->opened)
    return false;
  if (o->upstream != u)
    return true;
  am_health_refused (b, u);
  retry_elsewhere (b, o, error);
  return true;
}

void
am_flow_setup_upstream_removed (struct am_board *b, struct am_upstream *u)
{
  struct am_flow_setups *t = b->opens;

  am_list_each (o, &t->opened, struct flow_setup, node)
  {
    if (o->upstream == u)
      o->upstream = NULL;
  }
  am_list_each_safe (o, next, &t->pending, struct flow_setup, node)
  {
    if (o->upstream == u)
      {
        refuse (b, o->service, o->caller, o->connection_id,
                AM_E_UPSTREAM_UNKNOWN);
        remove_entry (t, o);
      }
  }
}

void
am_flow_setup_service_removed (struct am_board *b, struct am_service *s)
{
  struct am_flow_setups *t = b->opens;

  am_list_each_safe (o, next, &t->opened, struct flow_setup, node)
  {
    if (o->service == s)
      remove_entry (t, o);
  }
  am_list_each_safe (o, next, &t->pending, struct flow_setup, node)
  {
    if (o->service == s)
      remove_entry (t, o);
  }
}

void
am_flow_setup_tick (struct am_board *b)
{
  struct am_flow_setups *t = b->opens;

  am_list_each_safe (o, next, &t->pending, struct flow_setup, node)
  {
    if (b->now_us - o->since_us < AM_OPEN_ATTEMPT_TIMEOUT_US)
      break;
    am_health_failed (b, o->upstream);
    retry_elsewhere (b, o, AM_E_TIMEOUT);
  }
  am_list_each_safe (o, next, &t->opened, struct flow_setup, node)
  {
    if (b->now_us - o->since_us < AM_OPEN_RETENTION_US)
      break;
    remove_entry (t, o);
  }
}

size_t
am_flow_setup_pending (const struct am_board *b)
{
  return b->opens->pending_count;
}
