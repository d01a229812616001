#include "core/control_board.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#define LINE_SIZE 512
#define PACK_STACK 2048

static void
count_bytes (struct am_control *c, enum am_control_action_type type,
             size_t len)
{
  if (type == AM_CONTROL_SEND_GOSSIP)
    c->counters.sent_bytes_gossip += len;
  else if (type != AM_CONTROL_SEND_FORWARDER)
    c->counters.sent_bytes_peer += len;
}

void
am_control_emit (struct am_control *c, enum am_control_action_type type,
                 struct am_address to, uint64_t stream,
                 const Amaranth__Envelope *e)
{
  uint8_t stack[PACK_STACK];
  size_t len = amaranth__envelope__get_packed_size (e);
  uint8_t *buf = len <= sizeof stack ? stack : malloc (len);
  struct am_control_action a
      = { .type = type, .to = to, .stream = stream, .len = len };

  if (!buf)
    return;
  amaranth__envelope__pack (e, buf);
  a.data = buf;
  count_bytes (c, type, len);
  c->sink.emit (c->sink.userdata, &a);
  if (buf != stack)
    free (buf);
}

void
am_control_log (struct am_control *c, int level, const char *format, ...)
{
  char line[LINE_SIZE];
  struct am_control_action a = { .type = AM_CONTROL_LOG, .level = level };
  va_list ap;
  int n;

  va_start (ap, format);
  n = vsnprintf (line, sizeof line, format, ap);
  va_end (ap);
  if (n < 0)
    return;
  a.data = (const uint8_t *)line;
  a.len = (size_t)n < sizeof line ? (size_t)n : sizeof line - 1;
  c->sink.emit (c->sink.userdata, &a);
}

struct am_address
am_vm_gossip (const struct am_vm *v)
{
  struct am_address a = { v->ip, v->agent_port };

  return a;
}

struct am_address
am_vm_control (const struct am_vm *v)
{
  struct am_address a = { v->ip, v->control_port };

  return a;
}
