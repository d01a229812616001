/* standin-blast: measures datagrams a second through a forwarder or relay.
   It takes the places of the fabric (sender and return address) and of the
   upstream, with a bounded number of datagrams under way.  */

#include <argp.h>
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/error.h"
#include "common/standin_program.h"
#include "io/program.h"
#include "wire/packet.h"
#include "wire/proxy_header.h"

#define DATAGRAM_MAX 2048
#define BATCH 32
#define FLOWS_MAX 4096
#define POLL_MS 20
#define US_PER_SECOND 1000000u

/* Without any arrival for this long, what is under way counts as lost.  */
#define LOST_US 100000u

/* Time for opening the flows.  */
#define OPEN_US 20000000u

/* Receive and send buffers; the system's default drops a full window.  */
#define SOCKET_BUFFER (4 << 20)

enum mode
{
  MODE_OPAQUE, /* PROXY header and payload, to the upstream */
  MODE_DATA,   /* DATA of open flows, to the upstream */
  MODE_OPEN,   /* OPEN to the upstream, OPENED back */
};

struct options
{
  enum mode mode;
  struct am_address target;  /* forwarder or relay */
  struct am_address back;    /* fabric's return address */
  struct am_address sink;    /* upstream */
  struct am_address service; /* destination in the PROXY header */
  struct am_address caller;  /* source in it */
  uint64_t flows;
  uint64_t count; /* 0: by time */
  uint64_t seconds;
  uint64_t window;
  uint64_t payload;
};

struct flow
{
  uint64_t id;
  bool open;
  uint8_t ticket[AM_TICKET_SIZE];
};

struct blast
{
  struct options o;
  int back;
  int sink;
  struct flow flows[FLOWS_MAX];
  size_t open;
  uint64_t next;
  uint64_t sent;
  uint64_t received;
  uint64_t lost;
  uint64_t refused;
  uint64_t last_us;
  uint8_t out[BATCH][DATAGRAM_MAX];
  uint8_t in[BATCH][DATAGRAM_MAX];
};

static struct sockaddr_in
to_system (struct am_address a)
{
  struct sockaddr_in s = { .sin_family = AF_INET };
  s.sin_addr.s_addr = htonl (a.ip);
  s.sin_port = htons (a.port);
  return s;
}

static int
bind_port (struct am_address a)
{
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  struct sockaddr_in s = to_system (a);
  int size = SOCKET_BUFFER;
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
  if (bind (fd, (struct sockaddr *)&s, sizeof s) == 0)
    return fd;
  close (fd);
  return -1;
}

/* ---- sending -------------------------------------------------------- */

/* Writes one datagram from the caller; returns its length.  */
static size_t
write_datagram (const struct blast *b, const struct am_packet *p, uint8_t *buf)
{
  struct am_proxy_header h
      = { .source = b->o.caller, .destination = b->o.service };
  size_t len = 0;
  am_proxy_encode (&h, buf);
  if (am_packet_encode (p, buf + AM_PROXY_HEADER_SIZE,
                        DATAGRAM_MAX - AM_PROXY_HEADER_SIZE, &len))
    return 0;
  return AM_PROXY_HEADER_SIZE + len;
}

static size_t
write_open (struct blast *b, uint64_t id, uint8_t *buf)
{
  uint8_t body[AM_OPEN_BODY_SIZE];
  struct am_open_body o = { .kind = AM_OPEN_FLOW };
  am_open_body_encode (&o, body);
  struct am_packet p = { .type = AM_PACKET_OPEN,
                         .connection_id = id,
                         .body = body,
                         .body_len = sizeof body };
  return write_datagram (b, &p, buf);
}

static size_t
write_data (struct blast *b, uint64_t n, uint8_t *buf)
{
  static const uint8_t payload[AM_PACKET_SIZE_MAX];
  struct flow *f = &b->flows[n % b->o.flows];
  struct am_packet p = { .type = AM_PACKET_DATA,
                         .connection_id = f->id,
                         .sequence = (uint32_t)n,
                         .body = payload,
                         .body_len = b->o.payload };
  if (b->o.mode == MODE_DATA)
    p.ticket = f->ticket;
  return write_datagram (b, &p, buf);
}

/* Sends up to N datagrams, by the mode, and returns how many left.  */
static size_t
send_batch (struct blast *b, size_t n)
{
  struct mmsghdr m[BATCH];
  struct iovec v[BATCH];
  struct sockaddr_in to = to_system (b->o.target);
  memset (m, 0, sizeof m);
  for (size_t i = 0; i < n; i++)
    {
      uint64_t number = b->next + i;
      v[i].iov_base = b->out[i];
      v[i].iov_len = b->o.mode == MODE_OPEN
                         ? write_open (b, number + 1, b->out[i])
                         : write_data (b, number, b->out[i]);
      m[i].msg_hdr = (struct msghdr){ .msg_name = &to,
                                      .msg_namelen = sizeof to,
                                      .msg_iov = &v[i],
                                      .msg_iovlen = 1 };
    }
  int done = sendmmsg (b->back, m, (unsigned)n, 0);
  if (done < 0)
    return 0;
  b->next += (uint64_t)done;
  return (size_t)done;
}

/* ---- receiving ------------------------------------------------------ */

/* Answers OPEN and PROBE in the upstream's place.  */
static void
answer (struct blast *b, const struct am_proxy_header *to,
        const struct am_packet *p, uint8_t type,
        const struct sockaddr_in *from)
{
  uint8_t buf[DATAGRAM_MAX];
  uint8_t load[AM_LOAD_SIZE];
  struct am_load l = { .connections = 1 };
  struct am_proxy_header h
      = { .source = to->destination, .destination = to->source };
  am_load_encode (&l, load);
  struct am_packet out = { .type = type,
                           .connection_id = p->connection_id,
                           .body = load,
                           .body_len = sizeof load };
  size_t len = 0;
  am_proxy_encode (&h, buf);
  if (am_packet_encode (&out, buf + AM_PROXY_HEADER_SIZE,
                        sizeof buf - AM_PROXY_HEADER_SIZE, &len))
    return;
  sendto (b->sink, buf, AM_PROXY_HEADER_SIZE + len, 0,
          (const struct sockaddr *)from, sizeof *from);
}

static void
at_sink (struct blast *b, const uint8_t *buf, size_t len,
         const struct sockaddr_in *from)
{
  struct am_proxy_header h;
  struct am_packet p;
  size_t used;
  if (am_proxy_decode (&h, buf, len, &used)
      || am_packet_decode (&p, buf + used, len - used))
    return;
  if (p.type == AM_PACKET_DATA)
    b->received++;
  else if (p.type == AM_PACKET_OPEN)
    answer (b, &h, &p, AM_PACKET_OPENED, from);
  else if (p.type == AM_PACKET_PROBE)
    answer (b, &h, &p, AM_PACKET_REPORT, from);
}

/* Ends a flow, so that the upstream's limit is not reached.  */
static void
close_flow (struct blast *b, uint64_t id, const uint8_t *ticket)
{
  uint8_t buf[DATAGRAM_MAX];
  struct sockaddr_in to = to_system (b->o.target);
  struct am_packet p
      = { .type = AM_PACKET_CLOSE, .connection_id = id, .ticket = ticket };
  size_t len = write_datagram (b, &p, buf);
  sendto (b->back, buf, len, 0, (struct sockaddr *)&to, sizeof to);
}

static void
at_back (struct blast *b, const uint8_t *buf, size_t len)
{
  struct am_proxy_header h;
  struct am_packet p;
  size_t used;
  if (am_proxy_decode (&h, buf, len, &used)
      || am_packet_decode (&p, buf + used, len - used))
    return;
  if (p.type == AM_PACKET_RESET)
    b->refused++;
  if (p.type != AM_PACKET_OPENED || !p.ticket)
    return;
  if (b->o.mode == MODE_OPEN)
    {
      b->received++;
      close_flow (b, p.connection_id, p.ticket);
      return;
    }
  struct flow *f = &b->flows[(p.connection_id - 1) % FLOWS_MAX];
  if (f->open)
    return;
  f->open = true;
  f->id = p.connection_id;
  memcpy (f->ticket, p.ticket, AM_TICKET_SIZE);
  b->open++;
}

static bool
receive_batch (struct blast *b, int fd)
{
  struct mmsghdr m[BATCH];
  struct iovec v[BATCH];
  struct sockaddr_in from[BATCH];
  memset (m, 0, sizeof m);
  for (size_t i = 0; i < BATCH; i++)
    {
      v[i] = (struct iovec){ b->in[i], DATAGRAM_MAX };
      m[i].msg_hdr = (struct msghdr){ .msg_name = &from[i],
                                      .msg_namelen = sizeof from[i],
                                      .msg_iov = &v[i],
                                      .msg_iovlen = 1 };
    }
  int n = recvmmsg (fd, m, BATCH, 0, NULL);
  for (int i = 0; i < n; i++)
    if (fd == b->sink)
      at_sink (b, b->in[i], m[i].msg_len, &from[i]);
    else
      at_back (b, b->in[i], m[i].msg_len);
  return n > 0;
}

static void
receive_all (struct blast *b)
{
  while (receive_batch (b, b->sink))
    ;
  while (receive_batch (b, b->back))
    ;
}

static void
wait_input (struct blast *b)
{
  struct pollfd p[2] = { { .fd = b->back, .events = POLLIN },
                         { .fd = b->sink, .events = POLLIN } };
  poll (p, 2, POLL_MS);
}

/* ---- run ------------------------------------------------------------ */

/* Opens the flows that MODE_DATA sends on.  Returns false if they are not
   open within 20 s.  */
static bool
open_flows (struct blast *b)
{
  uint64_t end = standin_now_us () + OPEN_US;
  struct sockaddr_in to = to_system (b->o.target);
  while (b->open < b->o.flows && standin_now_us () < end)
    {
      for (uint64_t i = 0; i < b->o.flows; i++)
        if (!b->flows[i].open)
          {
            size_t len = write_open (b, i + 1, b->out[0]);
            sendto (b->back, b->out[0], len, 0, (struct sockaddr *)&to,
                    sizeof to);
            if (i % BATCH == 0)
              receive_all (b);
          }
      wait_input (b);
      receive_all (b);
    }
  return b->open == b->o.flows;
}

static bool
goes_on (const struct blast *b, uint64_t begin)
{
  if (b->o.count)
    return b->received + b->lost < b->o.count;
  return standin_now_us () - begin < b->o.seconds * US_PER_SECOND;
}

/* Gives up what has been under way for too long.  */
static void
count_lost (struct blast *b, uint64_t seen)
{
  uint64_t now = standin_now_us ();
  if (b->received != seen)
    b->last_us = now;
  if (now - b->last_us < LOST_US)
    return;
  b->lost = b->sent - b->received;
  b->last_us = now;
}

static void
blast (struct blast *b, uint64_t begin)
{
  b->last_us = begin;
  while (goes_on (b, begin))
    {
      uint64_t seen = b->received;
      uint64_t under_way = b->sent - b->received - b->lost;
      uint64_t room = under_way < b->o.window ? b->o.window - under_way : 0;
      if (b->o.count && room > b->o.count - b->sent)
        room = b->o.count - b->sent;
      if (room > BATCH)
        room = BATCH;
      if (room)
        b->sent += send_batch (b, room);
      else
        wait_input (b);
      receive_all (b);
      count_lost (b, seen);
    }
}

static int
run (struct blast *b)
{
  b->back = bind_port (b->o.back);
  b->sink = bind_port (b->o.sink);
  if (b->back < 0 || b->sink < 0)
    return standin_fail ("standin-blast", strerror (errno), AM_E_IO,
                         AM_EXIT_UNAVAILABLE);
  if (b->o.mode == MODE_DATA && !open_flows (b))
    return standin_fail ("standin-blast", "opening flows", AM_E_TIMEOUT,
                         AM_EXIT_TEMPFAIL);
  uint64_t begin = standin_now_us ();
  blast (b, begin);
  double seconds = (double)(standin_now_us () - begin) / US_PER_SECOND;
  printf ("{\"sent\":%llu,\"received\":%llu,\"lost\":%llu,\"refused\":%llu,"
          "\"seconds\":%.3f,\"per_second\":%.0f}\n",
          (unsigned long long)b->sent, (unsigned long long)b->received,
          (unsigned long long)b->lost, (unsigned long long)b->refused, seconds,
          (double)b->received / seconds);
  for (uint64_t i = 0; i < b->open; i++)
    close_flow (b, b->flows[i].id, b->flows[i].ticket);
  close (b->back);
  close (b->sink);
  return b->received ? AM_EXIT_OK : AM_EXIT_UNAVAILABLE;
}

/* ---- options --------------------------------------------------------- */

static const struct argp_option option_table[] = {
  { "mode", 'm', "opaque|data|open", 0, "What to send [opaque]", 0 },
  { "target", 't', "IP:PORT", 0, "Forwarder or relay", 0 },
  { "return", 'r', "IP:PORT", 0, "The fabric's return address", 0 },
  { "sink", 'u', "IP:PORT", 0, "The upstream's address", 0 },
  { "service", 's', "IP:PORT", 0, "Service address", 0 },
  { "caller", 'c', "IP:PORT", 0, "The caller's address", 0 },
  { "flows", 'f', "N", 0, "Flows to send on [256]", 0 },
  { "count", 'n', "N", 0, "Datagrams to send instead of a time", 0 },
  { "seconds", 'd', "N", 0, "Time to send [3]", 0 },
  { "window", 'w', "N", 0, "Datagrams under way [256]", 0 },
  { "payload-bytes", 'p', "N", 0, "Payload [64]", 0 },
  { 0 },
};

static int
parse_mode (enum mode *m, const char *text)
{
  static const char *const names[] = { "opaque", "data", "open" };
  for (int i = 0; i < 3; i++)
    if (strcmp (names[i], text) == 0)
      {
        *m = (enum mode)i;
        return AM_OK;
      }
  return AM_E_FORMAT;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct options *o = state->input;
  int rc = AM_OK;
  switch (key)
    {
    case 'm':
      rc = parse_mode (&o->mode, arg);
      break;
    case 't':
      rc = am_address_parse (&o->target, arg);
      break;
    case 'r':
      rc = am_address_parse (&o->back, arg);
      break;
    case 'u':
      rc = am_address_parse (&o->sink, arg);
      break;
    case 's':
      rc = am_address_parse (&o->service, arg);
      break;
    case 'c':
      rc = am_address_parse (&o->caller, arg);
      break;
    case 'f':
      rc = standin_parse_number (&o->flows, arg, FLOWS_MAX);
      break;
    case 'n':
      rc = standin_parse_number (&o->count, arg, UINT32_MAX);
      break;
    case 'd':
      rc = standin_parse_number (&o->seconds, arg, 600);
      break;
    case 'w':
      rc = standin_parse_number (&o->window, arg, 65536);
      break;
    case 'p':
      rc = standin_parse_number (&o->payload, arg, 1200);
      break;
    case ARGP_KEY_END:
      if (!o->target.port || !o->back.port || !o->sink.port || !o->flows
          || !o->window)
        argp_error (state, "target, return and sink are required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return standin_option_result (state, arg, rc);
}

static const struct argp parser = {
  .options = option_table,
  .parser = parse_option,
  .doc = "Measure datagrams a second through a forwarder or relay.",
};

const char *argp_program_version = "standin-blast " AM_VERSION;

int
main (int argc, char **argv)
{
  struct blast *b = calloc (1, sizeof *b);
  if (!b)
    return AM_EXIT_SOFTWARE;
  b->o = (struct options){ .flows = 256,
                           .seconds = 3,
                           .window = 256,
                           .payload = 64,
                           .caller = { 0x7f000001, 4000 },
                           .service = { 0x7f000001, 4001 } };
  int status = AM_EXIT_USAGE;
  if (am_program_parse (&parser, argc, argv, &b->o) == 0)
    status = run (b);
  free (b);
  return status;
}
