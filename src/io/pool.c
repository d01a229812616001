#include "io/pool.h"

#include <stdlib.h>
#include <string.h>

#include "wire/packet.h"

/* Position of the type in a packet header.  */
#define TYPE_OFFSET 3

void
am_pool_init (struct am_pool *p, uv_loop_t *loop,
              const struct am_pool_callbacks *callbacks, void *userdata)
{
  memset (p, 0, sizeof *p);
  p->loop = loop;
  p->callbacks = *callbacks;
  p->userdata = userdata;
  am_list_init (&p->used);
  am_list_init (&p->lost);
}

/* Takes C out of every index; its stream, if any, no longer belongs to it.  */
static void
detach (struct am_pool *p, struct am_pool_connection *c)
{
  struct am_pool_connection *found;

  HASH_FIND (by_key, p->by_key, &c->key, sizeof c->key, found);
  if (found == c)
    HASH_DELETE (by_key, p->by_key, c);
  if (c->stream)
    {
      HASH_DELETE (by_stream, p->by_stream, c);
      c->stream = NULL;
    }
  am_list_remove (&c->node);
}

static void
drop (struct am_pool *p, struct am_pool_connection *c)
{
  struct am_stream *stream = c->stream;

  detach (p, c);
  p->count--;
  free (c);
  if (stream)
    am_stream_close (stream);
}

void
am_pool_finish (struct am_pool *p)
{
  am_list_each_safe (c, next, &p->used, struct am_pool_connection, node)
  {
    drop (p, c);
  }
  am_list_each_safe (c, next, &p->lost, struct am_pool_connection, node)
  {
    drop (p, c);
  }
}

static struct am_pool_connection *
find_stream (struct am_pool *p, struct am_stream *s)
{
  struct am_pool_connection *c;

  HASH_FIND (by_stream, p->by_stream, &s, sizeof (void *), c);
  return c;
}

/* A report of load alone does not end a request.  */
static bool
ends_request (const uint8_t *data, size_t len)
{
  return len > TYPE_OFFSET
         && (data[TYPE_OFFSET] == AM_PACKET_ANSWER
             || data[TYPE_OFFSET] == AM_PACKET_OUTCOME);
}

static void
on_message (void *userdata, struct am_stream *s, const uint8_t *data,
            size_t len)
{
  struct am_pool *p = userdata;
  struct am_pool_connection *c = find_stream (p, s);

  if (!c)
    return;
  if (c->under_way && ends_request (data, len))
    c->under_way--;
  if (!p->callbacks.packet (p->userdata, c->key, data, len))
    am_stream_close (s);
}

/* Packets leave only when the connection is established.  */
static bool
is_unopened (const struct am_pool_connection *c)
{
  return !c->unsure && !(c->stream && c->stream->established);
}

/* Frees C, which is in no index, and tells the user why it ended.  */
static void
report (struct am_pool *p, struct am_pool_connection *c)
{
  struct am_pool_key key = c->key;
  bool unopened = c->unopened;

  p->count--;
  free (c);
  if (unopened)
    p->callbacks.unopened (p->userdata, key);
  else
    p->callbacks.lost (p->userdata, key);
}

static void
on_closed (void *userdata, struct am_stream *s, int error)
{
  struct am_pool *p = userdata;
  struct am_pool_connection *c = find_stream (p, s);

  (void)error;
  if (!c)
    return;
  c->unopened = is_unopened (c);
  detach (p, c);
  report (p, c);
}

static const struct am_stream_callbacks stream_callbacks
    = { .message = on_message, .closed = on_closed };

static void
mark_lost (struct am_pool *p, struct am_pool_connection *c)
{
  struct am_stream *stream = c->stream;

  c->unopened = is_unopened (c);
  detach (p, c);
  am_list_push_back (&p->lost, &c->node);
  if (stream)
    am_stream_close (stream);
}

/* Closes the connection used longest ago that has no request under way.  */
static bool
make_room (struct am_pool *p)
{
  if (p->count < AM_POOL_CONNECTIONS_MAX)
    return true;
  am_list_each (c, &p->used, struct am_pool_connection, node)
  {
    if (c->under_way == 0)
      {
        drop (p, c);
        return true;
      }
  }
  return false;
}

static struct am_pool_connection *
connect_to (struct am_pool *p, struct am_pool_key key,
            struct am_address address, uint64_t now_us, bool unsure)
{
  bool room = make_room (p);
  struct am_pool_connection *c = calloc (1, sizeof *c);

  if (!c)
    return NULL;
  am_list_init (&c->node);
  c->key = key;
  c->address = address;
  c->begun_us = now_us;
  c->unsure = unsure;
  p->count++;
  if (room)
    c->stream = am_stream_connect (p->loop, address, &am_stream_packets, NULL,
                                   &stream_callbacks, p);
  if (!c->stream)
    {
      c->unopened = is_unopened (c);
      am_list_push_back (&p->lost, &c->node);
      return NULL;
    }
  am_list_push_back (&p->used, &c->node);
  HASH_ADD (by_key, p->by_key, key, sizeof c->key, c);
  HASH_ADD (by_stream, p->by_stream, stream, sizeof (void *), c);
  return c;
}

static bool
is_lost (const struct am_pool *p, struct am_pool_key key)
{
  am_list_each (c, &p->lost, struct am_pool_connection, node)
  {
    if (memcmp (&c->key, &key, sizeof key) == 0)
      return true;
  }
  return false;
}

void
am_pool_send (struct am_pool *p, struct am_pool_key key,
              struct am_address address, uint64_t now_us, const uint8_t *data,
              size_t len)
{
  struct am_pool_connection *c;
  bool unsure = false;

  HASH_FIND (by_key, p->by_key, &key, sizeof key, c);
  if ((c && c->stream->closing) || is_lost (p, key))
    return;
  if (c && !am_address_equal (c->address, address))
    {
      unsure = c->unsure || c->under_way > 0;
      drop (p, c);
      c = NULL;
    }
  if (!c)
    c = connect_to (p, key, address, now_us, unsure);
  if (!c)
    return;
  c->used_us = now_us;
  am_list_remove (&c->node);
  am_list_push_back (&p->used, &c->node);
  if (am_stream_send (c->stream, data, len))
    mark_lost (p, c);
  else if (len > TYPE_OFFSET && data[TYPE_OFFSET] == AM_PACKET_REQUEST)
    c->under_way++;
}

static void
report_lost (struct am_pool *p)
{
  struct am_list waiting;
  struct am_list *n;

  am_list_init (&waiting);
  while ((n = am_list_pop_front (&p->lost)) != NULL)
    am_list_push_back (&waiting, n);
  while ((n = am_list_pop_front (&waiting)) != NULL)
    {
      struct am_pool_connection *c
          = am_container_of (n, struct am_pool_connection, node);

      report (p, c);
    }
}

/* The closed callback reports the connection later.  */
static void
give_up_unopened (struct am_pool *p, uint64_t now_us)
{
  am_list_each (c, &p->used, struct am_pool_connection, node)
  {
    if (!c->stream->established && !c->stream->closing
        && now_us - c->begun_us >= AM_POOL_CONNECT_US)
      am_stream_close (c->stream);
  }
}

void
am_pool_tick (struct am_pool *p, uint64_t now_us)
{
  report_lost (p);
  give_up_unopened (p, now_us);
  am_list_each_safe (c, next, &p->used, struct am_pool_connection, node)
  {
    if (now_us - c->used_us < AM_POOL_IDLE_US)
      break;
    if (c->under_way == 0)
      drop (p, c);
  }
}
