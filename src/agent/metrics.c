#include <stdlib.h>
#include <sys/resource.h>

#include "agent.h"
#include "base/error.h"

#define METRICS_MAX 96

struct table
{
  Amaranth__Metric metrics[METRICS_MAX];
  Amaranth__Metric *list[METRICS_MAX];
  size_t count;
};

static void
add (void *userdata, const char *name, double value)
{
  struct table *t = userdata;
  Amaranth__Metric *m = &t->metrics[t->count];

  if (t->count == METRICS_MAX)
    return;
  amaranth__metric__init (m);
  m->name = (char *)name;
  m->value = value;
  t->list[t->count++] = m;
}

static double
seconds (struct timeval t)
{
  return (double)t.tv_sec + (double)t.tv_usec / 1e6;
}

int
am_agent_metrics (struct am_agent *a, uint8_t **data, size_t *len)
{
  struct table t = { 0 };
  struct rusage usage;
  Amaranth__MetricsReply reply = AMARANTH__METRICS_REPLY__INIT;
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;

  getrusage (RUSAGE_SELF, &usage);
  add (&t, "control_sent_bytes", (double)a->sent_bytes);
  add (&t, "control_received_bytes", (double)a->received_bytes);
  add (&t, "processor_seconds",
       seconds (usage.ru_utime) + seconds (usage.ru_stime));
  add (&t, "memory_max_bytes", (double)usage.ru_maxrss * 1024);
  add (&t, "gossip_send_drops", (double)a->gossip.send_drops);
  am_control_metrics (a->control, add, &t);
  reply.metrics = t.list;
  reply.n_metrics = t.count;
  e.body_case = AMARANTH__ENVELOPE__BODY_METRICS_REPLY;
  e.metrics_reply = &reply;
  *len = amaranth__envelope__get_packed_size (&e);
  *data = malloc (*len + 1);
  if (!*data)
    return AM_E_MEMORY;
  amaranth__envelope__pack (&e, *data);
  return AM_OK;
}
