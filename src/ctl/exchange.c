#include "ctl/exchange.h"

#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/error.h"
#include "base/socket_address.h"
#include "io/clock.h"

/* Bounds open sockets; 128 x 2 s covers 730 entry VMs within 12 s even if none
   answers.  */
#define AT_ONCE 128
#define READ_SIZE 65536
#define US_PER_MS 1000

uint64_t
ctl_now_ms (void)
{
  return am_clock_us () / US_PER_MS;
}

void
ctl_exchange_init (struct ctl_exchange *e, struct am_address address,
                   const Amaranth__Envelope *request,
                   Amaranth__Envelope__BodyCase wanted)
{
  memset (e, 0, sizeof *e);
  e->address = address;
  e->request = request;
  e->wanted = wanted;
  e->fd = -1;
  am_address_format (address, e->name);
}

void
ctl_exchange_finish (struct ctl_exchange *e)
{
  for (size_t i = 0; i < e->reply_count; i++)
    amaranth__envelope__free_unpacked (e->replies[i], NULL);
  free (e->replies);
  free (e->out);
  free (e->in);
  if (e->fd >= 0)
    close (e->fd);
  e->replies = NULL;
  e->reply_count = 0;
  e->out = NULL;
  e->in = NULL;
  e->fd = -1;
}

static void
end (struct ctl_exchange *e, int error)
{
  e->done = true;
  e->error = error;
  if (e->fd >= 0)
    close (e->fd);
  e->fd = -1;
}

static int
add_frame (struct ctl_exchange *e, const Amaranth__Envelope *message,
           const uint8_t *key)
{
  size_t len = amaranth__envelope__get_packed_size (message);
  uint8_t *grown
      = realloc (e->out, e->out_len + AM_FRAME_HEADER_SIZE + len + 1);
  uint8_t *frame;

  if (!grown)
    return AM_E_MEMORY;
  e->out = grown;
  frame = e->out + e->out_len;
  amaranth__envelope__pack (message, frame + AM_FRAME_HEADER_SIZE);
  am_frame_seal (key, frame + AM_FRAME_HEADER_SIZE, len, frame);
  e->out_len += AM_FRAME_HEADER_SIZE + len;
  return AM_OK;
}

static int
add_questions (struct ctl_exchange *e, const uint8_t *key)
{
  Amaranth__StatusRequest body = AMARANTH__STATUS_REQUEST__INIT;
  Amaranth__Envelope status = AMARANTH__ENVELOPE__INIT;
  int err = e->request ? add_frame (e, e->request, key) : AM_OK;

  if (err || e->wanted != AMARANTH__ENVELOPE__BODY_STATUS_REPLY)
    return err;
  status.body_case = AMARANTH__ENVELOPE__BODY_STATUS_REQUEST;
  status.status_request = &body;
  return add_frame (e, &status, key);
}

static void
begin (struct ctl_exchange *e, const uint8_t *key)
{
  struct sockaddr_in sa = am_address_to_socket (e->address);

  if (add_questions (e, key))
    {
      end (e, AM_E_MEMORY);
      return;
    }
  e->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (e->fd < 0
      || (connect (e->fd, (const struct sockaddr *)&sa, sizeof sa)
          && errno != EINPROGRESS))
    end (e, AM_E_CONNECTION);
}

static void
send_more (struct ctl_exchange *e)
{
  ssize_t n = send (e->fd, e->out + e->out_sent, e->out_len - e->out_sent,
                    MSG_NOSIGNAL);

  if (n >= 0)
    e->out_sent += (size_t)n;
  else if (errno != EAGAIN && errno != EINTR)
    end (e, AM_E_CONNECTION);
}

static int
keep_reply (struct ctl_exchange *e, Amaranth__Envelope *reply)
{
  Amaranth__Envelope **grown = realloc (
      e->replies, (e->reply_count + 1) * sizeof (Amaranth__Envelope *));

  if (!grown)
    {
      amaranth__envelope__free_unpacked (reply, NULL);
      return AM_E_MEMORY;
    }
  e->replies = grown;
  e->replies[e->reply_count++] = reply;
  return AM_OK;
}

static void
take_message (struct ctl_exchange *e, const uint8_t *data, size_t len)
{
  Amaranth__Envelope *reply = amaranth__envelope__unpack (NULL, len, data);
  int err;

  if (!reply)
    {
      end (e, AM_E_FORMAT);
      return;
    }
  err = keep_reply (e, reply);
  if (err)
    end (e, err);
  else if (reply->body_case == AMARANTH__ENVELOPE__BODY_FAILURE
           && reply->failure->error)
    end (e, reply->failure->error);
  else if (reply->body_case == e->wanted)
    end (e, AM_OK);
}

static void
take_frames (struct ctl_exchange *e, const uint8_t *key)
{
  size_t taken = 0;

  while (!e->done)
    {
      const uint8_t *message;
      size_t len;
      size_t used;
      int err = am_frame_open (key, e->in + taken, e->in_len - taken, &message,
                               &len, &used);

      if (err == AM_E_SHORT)
        break;
      if (err)
        {
          end (e, err);
          return;
        }
      take_message (e, message, len);
      taken += used;
    }
  memmove (e->in, e->in + taken, e->in_len - taken);
  e->in_len -= taken;
}

static void
receive_more (struct ctl_exchange *e, const uint8_t *key)
{
  ssize_t n;

  if (e->in_size - e->in_len < READ_SIZE)
    {
      uint8_t *grown = realloc (e->in, e->in_size + READ_SIZE);

      if (!grown)
        {
          end (e, AM_E_MEMORY);
          return;
        }
      e->in = grown;
      e->in_size += READ_SIZE;
    }
  n = recv (e->fd, e->in + e->in_len, e->in_size - e->in_len, 0);
  if (n > 0)
    {
      e->in_len += (size_t)n;
      take_frames (e, key);
    }
  else if (n == 0 && e->close_is_answer)
    end (e, AM_OK);
  else if (n == 0 || (errno != EAGAIN && errno != EINTR))
    end (e, AM_E_CONNECTION);
}

static void
serve (struct ctl_exchange *e, short events, const uint8_t *key)
{
  if (events & (POLLERR | POLLNVAL))
    {
      bool answered = e->close_is_answer && e->out_sent == e->out_len;

      end (e, answered ? AM_OK : AM_E_CONNECTION);
      return;
    }
  if (events & POLLOUT)
    send_more (e);
  if (!e->done && events & (POLLIN | POLLHUP))
    receive_more (e, key);
}

static size_t
fill_polls (const struct ctl_exchange *list, size_t n, struct pollfd *polls)
{
  size_t open = 0;

  for (size_t i = 0; i < n; i++)
    {
      polls[i].fd = list[i].done ? -1 : list[i].fd;
      polls[i].events = POLLIN;
      polls[i].revents = 0;
      if (list[i].out_sent < list[i].out_len)
        polls[i].events |= POLLOUT;
      open += !list[i].done;
    }
  return open;
}

static void
run_batch (struct ctl_exchange *list, size_t n, const uint8_t *key,
           uint32_t timeout_ms)
{
  uint64_t deadline = ctl_now_ms () + timeout_ms;
  struct pollfd polls[AT_ONCE];

  for (size_t i = 0; i < n; i++)
    begin (&list[i], key);
  while (fill_polls (list, n, polls) > 0)
    {
      uint64_t now = ctl_now_ms ();

      if (now >= deadline)
        break;
      if (poll (polls, n, (int)(deadline - now)) < 0 && errno != EINTR)
        break;
      for (size_t i = 0; i < n; i++)
        if (polls[i].fd >= 0 && polls[i].revents)
          serve (&list[i], polls[i].revents, key);
    }
  for (size_t i = 0; i < n; i++)
    if (!list[i].done)
      end (&list[i], AM_E_TIMEOUT);
}

void
ctl_exchange_run (struct ctl_exchange *list, size_t n, const uint8_t *key,
                  uint32_t timeout_ms)
{
  for (size_t i = 0; i < n; i += AT_ONCE)
    run_batch (list + i, n - i < AT_ONCE ? n - i : AT_ONCE, key, timeout_ms);
}

const Amaranth__Envelope *
ctl_exchange_reply (const struct ctl_exchange *e,
                    Amaranth__Envelope__BodyCase c)
{
  for (size_t i = 0; i < e->reply_count; i++)
    if (e->replies[i]->body_case == c)
      return e->replies[i];
  return NULL;
}

const Amaranth__StatusReply *
ctl_exchange_status (const struct ctl_exchange *e)
{
  const Amaranth__Envelope *reply
      = ctl_exchange_reply (e, AMARANTH__ENVELOPE__BODY_STATUS_REPLY);

  return reply ? reply->status_reply : NULL;
}

static bool
is_live (const Amaranth__Member *m)
{
  return m->state != AMARANTH__MEMBER_STATE__MEMBER_DEAD
         && m->state != AMARANTH__MEMBER_STATE__MEMBER_LEFT;
}

static int
add_vm (struct ctl_vm **vms, size_t *n, const Amaranth__Member *m)
{
  struct ctl_vm *grown;

  if (!m || !is_live (m))
    return AM_OK;
  for (size_t i = 0; i < *n; i++)
    if ((*vms)[i].id == m->id)
      return AM_OK;
  grown = realloc (*vms, (*n + 1) * sizeof **vms);
  if (!grown)
    return AM_E_MEMORY;
  *vms = grown;
  grown += (*n)++;
  memset (grown, 0, sizeof *grown);
  grown->id = m->id;
  snprintf (grown->name, sizeof grown->name, "%s", m->name);
  grown->agent.ip = m->ip;
  grown->agent.port = (uint16_t)m->control_port;
  return AM_OK;
}

static int
add_vms (struct ctl_vm **vms, size_t *n, const Amaranth__StatusReply *s)
{
  int err = add_vm (vms, n, s->self);

  for (size_t i = 0; i < s->n_members && !err; i++)
    err = add_vm (vms, n, s->members[i]);
  return err;
}

static int
compare_vms (const void *a, const void *b)
{
  const struct ctl_vm *x = a;
  const struct ctl_vm *y = b;

  return strcmp (x->name, y->name);
}

int
ctl_live_vms (const struct ctl *c, struct ctl_vm **vms, size_t *n)
{
  struct ctl_exchange list[CTL_AGENTS_MAX];
  int err = AM_OK;

  *vms = NULL;
  *n = 0;
  for (size_t i = 0; i < c->agent_count; i++)
    ctl_exchange_init (&list[i], c->agents[i], NULL,
                       AMARANTH__ENVELOPE__BODY_STATUS_REPLY);
  ctl_exchange_run (list, c->agent_count, c->key, CTL_AGENT_TIMEOUT_MS);
  for (size_t i = 0; i < c->agent_count; i++)
    {
      const Amaranth__StatusReply *s = ctl_exchange_status (&list[i]);

      if (s && !err)
        err = add_vms (vms, n, s);
      ctl_exchange_finish (&list[i]);
    }
  if (!err && *n == 0)
    err = AM_E_CONNECTION;
  if (err)
    {
      free (*vms);
      *vms = NULL;
      *n = 0;
      return err;
    }
  qsort (*vms, *n, sizeof **vms, compare_vms);
  return AM_OK;
}

int
ctl_ask_all (struct ctl *c, const Amaranth__Envelope *request,
             Amaranth__Envelope__BodyCase wanted, struct ctl_exchange **list,
             size_t *n)
{
  struct ctl_vm *vms;
  int err = ctl_live_vms (c, &vms, n);

  *list = NULL;
  if (err == AM_E_CONNECTION)
    return ctl_fail (c, err, "no agent answered (asked %zu)", c->agent_count);
  if (!err)
    *list = calloc (*n, sizeof **list);
  if (!*list)
    {
      free (vms);
      return ctl_no_memory (c);
    }
  for (size_t i = 0; i < *n; i++)
    {
      ctl_exchange_init (&(*list)[i], vms[i].agent, request, wanted);
      memcpy ((*list)[i].name, vms[i].name, sizeof vms[i].name);
    }
  free (vms);
  ctl_exchange_run (*list, *n, c->key, CTL_AGENT_TIMEOUT_MS);
  return AM_OK;
}

void
ctl_exchange_list_free (struct ctl_exchange *list, size_t n)
{
  for (size_t i = 0; i < n; i++)
    ctl_exchange_finish (&list[i]);
  free (list);
}
