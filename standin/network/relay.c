/* Fault-injecting relay for UDP and TCP.  */

#include <argp.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/error.h"
#include "base/list.h"
#include "base/socket_address.h"
#include "caller/standin_wheel.h"
#include "common/standin_control.h"
#include "common/standin_program.h"
#include "io/program.h"
#include "io/udp_port.h"
#include "network/standin_relay.h"

#define LISTENS_MAX 8192
#define TICK_MS 1
#define TICK_US 1000u
#define BACKLOG 512
#define PIECE_SIZE 65536

/* A direction of a stream with this much waiting stops reading.  */
#define WAITING_MAX (1u << 20)

/* A peer that sent nothing for this long gives its socket back.  */
#define PEER_IDLE_US 60000000u
#define SWEEP_US 1000000u

struct relay;
struct listen;

/* One sender and the socket that stands for it towards the target.  */
struct peer
{
  struct am_list node; /* in relay.peers, longest idle first; or closed */
  struct listen *listen;
  struct am_address address;
  uint64_t key;
  struct am_udp_port port;
  uint64_t heard_us;
  UT_hash_handle hh;
};

struct listen
{
  struct relay *relay;
  struct am_address address;
  struct am_address target;
  struct am_udp_port port;
  uv_tcp_t tcp;
  struct peer *peers;
};

/* A datagram held back.  */
struct held
{
  struct standin_timer timer;
  struct relay *relay;
  struct listen *listen;
  struct am_address peer; /* the sender it came from or goes to */
  bool up;
  size_t len;
  uint8_t data[];
};

struct relay
{
  struct standin_program program;
  struct standin_control control;
  struct am_address control_address;
  struct standin_faults faults;
  struct standin_wheel wheel;
  uv_timer_t tick;
  bool tcp;
  uint64_t seed;
  struct listen *listens;
  size_t listen_count;
  struct am_list pairs;  /* struct pair.node */
  struct am_list peers;  /* struct peer.node */
  struct am_list closed; /* struct peer.node, freed at the next sweep */
  uint64_t next_sweep_us;
  uint64_t resets;
};

/* ---- datagrams -----------------------------------------------------------
 */

static void
pass (struct listen *l, struct am_address peer, bool up, const uint8_t *data,
      size_t len)
{
  uint64_t key = am_address_key (peer);
  struct peer *p;

  if (!up)
    {
      am_udp_send (&l->port, peer, data, len);
      return;
    }
  HASH_FIND (hh, l->peers, &key, sizeof key, p);
  if (p)
    am_udp_send (&p->port, l->target, data, len);
}

static void
fire (struct standin_timer *t, uint64_t now_us)
{
  struct held *h = am_container_of (t, struct held, timer);

  (void)now_us;
  pass (h->listen, h->peer, h->up, h->data, h->len);
  free (h);
}

static void
hold (struct listen *l, struct am_address peer, bool up, const uint8_t *data,
      size_t len, uint64_t delay_us)
{
  struct held *h = malloc (sizeof *h + len);

  if (!h)
    return;
  standin_timer_init (&h->timer, fire);
  h->relay = l->relay;
  h->listen = l;
  h->peer = peer;
  h->up = up;
  h->len = len;
  memcpy (h->data, data, len);
  standin_timer_set (&l->relay->wheel, &h->timer,
                     standin_now_us () + delay_us);
}

static void
relay_datagram (struct listen *l, struct am_address peer, bool up,
                const uint8_t *data, size_t len)
{
  struct standin_fate fate
      = standin_faults_decide (&l->relay->faults, up, data, len);

  for (unsigned i = 0; i < fate.copies; i++)
    if (fate.delay_us[i])
      hold (l, peer, up, data, len, fate.delay_us[i]);
    else
      pass (l, peer, up, data, len);
}

static void
on_target (void *userdata, struct am_address from, const uint8_t *data,
           size_t len)
{
  struct peer *p = userdata;

  if (am_address_equal (from, p->listen->target))
    relay_datagram (p->listen, p->address, false, data, len);
}

static struct peer *
find_peer (struct listen *l, struct am_address from)
{
  uint64_t key = am_address_key (from);
  struct am_address own = { l->address.ip, 0 };
  struct peer *p;

  HASH_FIND (hh, l->peers, &key, sizeof key, p);
  if (p)
    return p;
  p = calloc (1, sizeof *p);
  if (!p)
    return NULL;
  p->listen = l;
  p->address = from;
  p->key = key;
  if (am_udp_open (&p->port, &l->relay->program.loop, own, on_target, p)
      != AM_OK)
    {
      free (p);
      return NULL;
    }
  HASH_ADD (hh, l->peers, key, sizeof p->key, p);
  am_list_push_back (&l->relay->peers, &p->node);
  return p;
}

static void
on_peer (void *userdata, struct am_address from, const uint8_t *data,
         size_t len)
{
  struct listen *l = userdata;
  struct peer *p = find_peer (l, from);

  if (!p)
    return;
  p->heard_us = standin_now_us ();
  am_list_remove (&p->node);
  am_list_push_back (&l->relay->peers, &p->node);
  relay_datagram (l, from, true, data, len);
}

/* ---- streams
 * ---------------------------------------------------------------- */

/* A piece of a stream on its way.  */
struct piece
{
  struct am_list node;
  uint64_t due_us;
  size_t len;
  uint8_t data[];
};

struct pair;

/* One direction of a pair: from one socket to the other.  */
struct way
{
  struct pair *pair;
  bool up;
  uv_tcp_t *from;
  uv_tcp_t *to;
  struct am_list pieces;
  size_t waiting;
  bool paused;
  bool ended; /* the source has sent its last byte */
};

struct pair
{
  struct am_list node;
  struct relay *relay;
  uv_tcp_t sockets[2]; /* 0: accepted, 1: to the target */
  struct way ways[2];  /* 0: up, 1: down */
  uv_connect_t connect;
  bool connected;
  bool closing;
  int open; /* sockets that are not yet closed */
};

struct piece_write
{
  uv_write_t request;
  struct way *way;
  size_t len;
  uint8_t data[];
};

static void
on_socket_closed (uv_handle_t *handle)
{
  struct pair *p = handle->data;

  if (--p->open)
    return;
  for (int i = 0; i < 2; i++)
    am_list_each_safe (piece, next, &p->ways[i].pieces, struct piece, node)
        free (piece);
  am_list_remove (&p->node);
  free (p);
}

static void
close_pair (struct pair *p)
{
  if (p->closing)
    return;
  p->closing = true;
  for (int i = 0; i < 2; i++)
    uv_close ((uv_handle_t *)&p->sockets[i], on_socket_closed);
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  static char room[PIECE_SIZE];

  (void)handle;
  (void)suggested;
  *buf = uv_buf_init (room, sizeof room);
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  struct pair *p = stream->data;
  struct way *w = &p->ways[(uv_tcp_t *)stream == &p->sockets[1]];
  struct piece *piece;

  if (n == 0)
    return;
  if (n < 0)
    {
      if (n == UV_EOF)
        w->ended = true;
      else
        close_pair (p);
      return;
    }
  piece = malloc (sizeof *piece + (size_t)n);
  if (!piece)
    {
      close_pair (p);
      return;
    }
  piece->len = (size_t)n;
  piece->due_us = standin_now_us () + standin_faults_delay (&p->relay->faults);
  memcpy (piece->data, buf->base, (size_t)n);
  am_list_push_back (&w->pieces, &piece->node);
  w->waiting += (size_t)n;
  if (w->waiting > WAITING_MAX)
    {
      uv_read_stop (stream);
      w->paused = true;
    }
}

static void
on_written (uv_write_t *request, int status)
{
  struct piece_write *pw = request->data;
  struct way *w = pw->way;

  w->waiting -= pw->len;
  if (status < 0)
    close_pair (w->pair);
  else if (w->paused && w->waiting < WAITING_MAX / 2 && !w->pair->closing)
    {
      w->paused = false;
      uv_read_start ((uv_stream_t *)w->from, on_alloc, on_read);
    }
  free (pw);
}

static void
write_piece (struct way *w, struct piece *piece)
{
  struct piece_write *pw = malloc (sizeof *pw + piece->len);
  uv_buf_t buf;

  if (!pw)
    {
      close_pair (w->pair);
      return;
    }
  pw->way = w;
  pw->len = piece->len;
  pw->request.data = pw;
  memcpy (pw->data, piece->data, piece->len);
  buf = uv_buf_init ((char *)pw->data, (unsigned)pw->len);
  if (uv_write (&pw->request, (uv_stream_t *)w->to, &buf, 1, on_written) != 0)
    {
      free (pw);
      close_pair (w->pair);
    }
}

/* Writes what is due; a cut direction keeps its bytes.  */
static void
turn_way (struct way *w, uint64_t now_us)
{
  struct pair *p = w->pair;
  const struct standin_faults *f = &p->relay->faults;

  if (w->up ? f->cut_up : f->cut_down)
    return;
  am_list_each_safe (piece, next, &w->pieces, struct piece, node)
  {
    if (!p->connected || p->closing || piece->due_us > now_us)
      return;
    am_list_remove (&piece->node);
    write_piece (w, piece);
    free (piece);
  }
  if (w->ended && !w->waiting)
    close_pair (p);
}

static void
turn_pair (struct pair *p, uint64_t now_us)
{
  turn_way (&p->ways[0], now_us);
  if (!p->closing)
    turn_way (&p->ways[1], now_us);
}

static void
on_connected (uv_connect_t *request, int status)
{
  struct pair *p = request->data;

  if (p->closing)
    return;
  if (status < 0)
    {
      close_pair (p);
      return;
    }
  p->connected = true;
  uv_tcp_nodelay (&p->sockets[1], 1);
  uv_read_start ((uv_stream_t *)&p->sockets[1], on_alloc, on_read);
}

static struct pair *
new_pair (struct relay *r)
{
  struct pair *p = calloc (1, sizeof *p);

  if (!p)
    return NULL;
  p->relay = r;
  p->open = 2;
  am_list_push_back (&r->pairs, &p->node);
  for (int i = 0; i < 2; i++)
    {
      struct way *w = &p->ways[i];

      uv_tcp_init (&r->program.loop, &p->sockets[i]);
      p->sockets[i].data = p;
      w->pair = p;
      w->up = i == 0;
      w->from = &p->sockets[i];
      w->to = &p->sockets[!i];
      am_list_init (&w->pieces);
    }
  return p;
}

static void
on_connection (uv_stream_t *server, int status)
{
  struct listen *l = server->data;
  struct sockaddr_in sa = am_address_to_socket (l->target);
  struct pair *p = status < 0 ? NULL : new_pair (l->relay);

  if (!p)
    return;
  p->connect.data = p;
  if (uv_accept (server, (uv_stream_t *)&p->sockets[0]) != 0
      || uv_tcp_connect (&p->connect, &p->sockets[1], (struct sockaddr *)&sa,
                         on_connected)
             != 0)
    {
      close_pair (p);
      return;
    }
  uv_tcp_nodelay (&p->sockets[0], 1);
  uv_read_start ((uv_stream_t *)&p->sockets[0], on_alloc, on_read);
}

/* ---- loop and commands
 * ---------------------------------------------------------- */

static void
drop_idle (struct relay *r, uint64_t now_us)
{
  if (now_us < r->next_sweep_us)
    return;
  r->next_sweep_us = now_us + SWEEP_US;
  am_list_each_safe (p, next, &r->closed, struct peer, node)
  {
    am_list_remove (&p->node);
    free (p);
  }
  am_list_each_safe (p, next, &r->peers, struct peer, node)
  {
    if (now_us - p->heard_us < PEER_IDLE_US)
      return;
    am_list_remove (&p->node);
    HASH_DEL (p->listen->peers, p);
    am_udp_close (&p->port);
    am_list_push_back (&r->closed, &p->node);
  }
}

static void
on_tick (uv_timer_t *timer)
{
  struct relay *r = timer->data;
  uint64_t now = standin_now_us ();

  standin_wheel_turn (&r->wheel, now);
  am_list_each_safe (p, next, &r->pairs, struct pair, node) turn_pair (p, now);
  drop_idle (r, now);
}

static json_t *
on_command (void *userdata, char *const *words, int count)
{
  struct relay *r = userdata;

  if (strcmp (words[0], "reset") == 0)
    {
      am_list_each_safe (p, next, &r->pairs, struct pair, node)
      {
        close_pair (p);
        r->resets++;
      }
      return standin_control_ok ();
    }
  return standin_faults_command (&r->faults, words, count);
}

/* ---- options
 * ----------------------------------------------------------------------- */

const char *argp_program_version = "standin-relay " AM_VERSION;

enum option_key
{
  OPTION_PROTO = 256,
  OPTION_LOSS,
  OPTION_DUPLICATE,
  OPTION_REORDER,
  OPTION_DELAY,
  OPTION_JITTER,
  OPTION_SEED,
};

static const struct argp_option options[]
    = { { "listen", 'l', "IP:PORT=IP:PORT", 0,
          "Address and target; may be repeated", 0 },
        { "proto", OPTION_PROTO, "udp|tcp", 0, "What is relayed", 0 },
        { "loss", OPTION_LOSS, "P", 0, "Share of datagrams lost", 0 },
        { "duplicate", OPTION_DUPLICATE, "P", 0,
          "Share of datagrams sent twice", 0 },
        { "reorder", OPTION_REORDER, "P", 0,
          "Share of datagrams held back for others to overtake", 0 },
        { "delay-ms", OPTION_DELAY, "N", 0, "Delay each way", 0 },
        { "jitter-ms", OPTION_JITTER, "N", 0,
          "Greatest random addition to the delay", 0 },
        { "seed", OPTION_SEED, "N", 0, "Seed of all choices (1)", 0 },
        { "control", 'c', "IP:PORT", 0, "Control port", 0 },
        { 0 } };

struct options
{
  struct relay *relay;
  struct standin_faults faults;
};

static int
parse_value (int key, const char *text, struct options *o)
{
  struct relay *r = o->relay;
  struct listen *l = &r->listens[r->listen_count];

  switch (key)
    {
    case 'l':
      if (r->listen_count == LISTENS_MAX)
        return AM_E_LIMIT;
      r->listen_count++;
      return standin_parse_address_pair (&l->address, &l->target, text);
    case OPTION_PROTO:
      r->tcp = strcmp (text, "tcp") == 0;
      return r->tcp || strcmp (text, "udp") == 0 ? AM_OK : AM_E_FORMAT;
    case OPTION_LOSS:
      return standin_parse_share (&o->faults.loss, text);
    case OPTION_DUPLICATE:
      return standin_parse_share (&o->faults.duplicate, text);
    case OPTION_REORDER:
      return standin_parse_share (&o->faults.reorder, text);
    case OPTION_DELAY:
      return standin_parse_number (&o->faults.delay_ms, text, UINT32_MAX);
    case OPTION_JITTER:
      return standin_parse_number (&o->faults.jitter_ms, text, UINT32_MAX);
    case OPTION_SEED:
      return standin_parse_number (&r->seed, text, UINT64_MAX);
    case 'c':
      return am_address_parse (&r->control_address, text);
    default:
      return AM_E_NOT_FOUND;
    }
}

static error_t
parse_option (int key, char *text, struct argp_state *state)
{
  struct options *o = state->input;

  if (key == ARGP_KEY_END)
    {
      if (!o->relay->listen_count)
        argp_error (state, "--listen is missing");
      return 0;
    }
  if (!text)
    return ARGP_ERR_UNKNOWN;
  return standin_option_result (state, text, parse_value (key, text, o));
}

static int
listen_tcp (struct listen *l, uv_loop_t *loop)
{
  struct sockaddr_in sa = am_address_to_socket (l->address);

  uv_tcp_init (loop, &l->tcp);
  l->tcp.data = l;
  if (uv_tcp_bind (&l->tcp, (struct sockaddr *)&sa, 0) != 0
      || uv_listen ((uv_stream_t *)&l->tcp, BACKLOG, on_connection) != 0)
    return AM_E_EXISTS;
  return AM_OK;
}

static int
start (struct relay *r)
{
  uv_loop_t *loop = &r->program.loop;
  int err = standin_program_init (&r->program, NULL, NULL);

  if (err)
    return err;
  am_list_init (&r->pairs);
  am_list_init (&r->peers);
  am_list_init (&r->closed);
  standin_wheel_init (&r->wheel, TICK_US, standin_now_us ());
  for (size_t i = 0; i < r->listen_count; i++)
    {
      struct listen *l = &r->listens[i];

      l->relay = r;
      err = r->tcp ? listen_tcp (l, loop)
                   : am_udp_open (&l->port, loop, l->address, on_peer, l);
      if (err)
        return err;
    }
  uv_timer_init (loop, &r->tick);
  r->tick.data = r;
  uv_timer_start (&r->tick, on_tick, TICK_MS, TICK_MS);
  return standin_control_open (&r->control, loop, r->control_address,
                               on_command, r);
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option,
          NULL,    "Relay that loses, doubles, reorders, delays and cuts.",
          NULL,    NULL,
          NULL };
  static struct relay r;
  struct options o = { .relay = &r };
  int err;

  r.seed = 1;
  r.listens = calloc (LISTENS_MAX, sizeof *r.listens);
  if (!r.listens)
    return AM_EXIT_SOFTWARE;
  am_program_parse (&argp, argc, argv, &o);
  r.faults = o.faults;
  am_rng_init (&r.faults.rng, r.seed);
  err = start (&r);
  if (err)
    return standin_fail ("standin-relay", "listen", err, AM_EXIT_UNAVAILABLE);
  standin_program_run (&r.program);
  standin_faults_finish (&r.faults);
  return AM_EXIT_OK;
}
