#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "agent.h"
#include "base/error.h"

#define METRICS_MAX 96
#define NAME_SIZE 64
#define BYTES_PER_KB 1024
#define US_PER_SECOND 1e6

struct table
{
  Amaranth__Metric metrics[METRICS_MAX];
  Amaranth__Metric *list[METRICS_MAX];
  char names[METRICS_MAX][NAME_SIZE];
  size_t count;
};

static double
seconds (struct timeval t)
{
  return (double)t.tv_sec + (double)t.tv_usec / US_PER_SECOND;
}

static void
each_metric (const struct am_agent *a, am_metric_each each, void *userdata)
{
  static const struct am_metric_info all[]
      = { { "control_sent", AM_METRIC_COUNTER, "bytes",
            "bytes sent to agents, forwarder and operators" },
          { "control_received", AM_METRIC_COUNTER, "bytes",
            "bytes received from agents, forwarder and operators" },
          { "processor", AM_METRIC_COUNTER, "seconds",
            "processor time used, user and system" },
          { "memory_max", AM_METRIC_GAUGE, "bytes",
            "largest resident memory so far" },
          { "gossip_send_drops", AM_METRIC_COUNTER, "",
            "gossip datagrams that the socket did not take" } };
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  each (userdata, &all[0], (double)a->sent_bytes);
  each (userdata, &all[1], (double)a->received_bytes);
  each (userdata, &all[2],
        seconds (usage.ru_utime) + seconds (usage.ru_stime));
  each (userdata, &all[3], (double)usage.ru_maxrss * BYTES_PER_KB);
  each (userdata, &all[4], (double)a->gossip.send_drops);
  am_control_metrics (a->control, each, userdata);
}

static void
add (void *userdata, const struct am_metric_info *info, double value)
{
  struct table *t = userdata;
  Amaranth__Metric *m = &t->metrics[t->count];

  if (t->count == METRICS_MAX)
    return;
  amaranth__metric__init (m);
  m->name = t->names[t->count];
  snprintf (m->name, NAME_SIZE, "%s%s%s", info->name, info->unit[0] ? "_" : "",
            info->unit);
  m->value = value;
  t->list[t->count++] = m;
}

int
am_agent_metrics (struct am_agent *a, uint8_t **data, size_t *len)
{
  struct table t = { 0 };
  Amaranth__MetricsReply reply = AMARANTH__METRICS_REPLY__INIT;
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;

  each_metric (a, add, &t);
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

static void
put (void *userdata, const struct am_metric_info *info, double value)
{
  struct am_metrics_text *t = userdata;

  am_metrics_head (t, info);
  am_metrics_value (t, info, NULL, value);
}

void
am_agent_metrics_text (void *userdata, struct am_metrics_text *t)
{
  each_metric (userdata, put, t);
}
