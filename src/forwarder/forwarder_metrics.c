#include "forwarder/forwarder_metrics.h"

#include <stdio.h>

#include "core/placement/flow_setup.h"
#include "core/requests/request.h"
#include "forwarder/forwarder.h"

#define LABELS_SIZE 256

static const struct am_metric_info durations
    = { "decision", AM_METRIC_HISTOGRAM, "seconds",
        "time to handle one event in the core" };

static const struct am_metric_info queue_wait
    = { "queue_wait", AM_METRIC_HISTOGRAM, "seconds",
        "time from the arrival of a request, or from its return to the queue, "
        "to its sending" };

static void
put_counters (struct am_metrics_text *t, const struct am_counters *c)
{
  const struct
  {
    struct am_metric_info info;
    uint64_t value;
  } all[] = {
#define COUNTER_INFO(name, help) \
  { { #name, AM_METRIC_COUNTER, "", help }, c->name },
    AM_COUNTER_LIST (COUNTER_INFO)
#undef COUNTER_INFO
  };

  for (size_t i = 0; i < sizeof all / sizeof all[0]; i++)
    {
      am_metrics_head (t, &all[i].info);
      am_metrics_value (t, &all[i].info, NULL, (double)all[i].value);
    }
}

static void
put_gauge (struct am_metrics_text *t, const char *name, const char *help,
           double value)
{
  struct am_metric_info info = { name, AM_METRIC_GAUGE, "", help };

  am_metrics_head (t, &info);
  am_metrics_value (t, &info, NULL, value);
}

static void
put_durations (struct am_metrics_text *t, const struct am_forwarder *f)
{
  static const char *const labels[AM_FORWARDER_EVENT_TYPES]
      = { "event=\"caller\"", "event=\"upstream\"",    "event=\"peer\"",
          "event=\"stream\"", "event=\"stream_lost\"", "event=\"snapshot\"",
          "event=\"tick\"",   "event=\"stop\"",        "event=\"grant\"",
          "event=\"delta\"" };

  am_metrics_head (t, &durations);
  for (size_t i = 0; i < AM_FORWARDER_EVENT_TYPES; i++)
    am_metrics_histogram (t, &durations, labels[i], &f->durations[i]);
}

struct upstream_gauge
{
  struct am_metric_info info;
  double (*value) (const struct am_board *b, const struct am_upstream *u);
};

static double
get_busy (const struct am_board *b, const struct am_upstream *u)
{
  (void)b;
  return u->use.busy;
}

static double
get_flows (const struct am_board *b, const struct am_upstream *u)
{
  (void)b;
  return u->use.flows;
}

static double
get_avoided (const struct am_board *b, const struct am_upstream *u)
{
  return u->health.ejected || u->health.avoid_until_us > b->now_us;
}

static void
put_upstreams (struct am_metrics_text *t, const struct am_board *b)
{
  static const struct upstream_gauge all[]
      = { { { "upstream_busy", AM_METRIC_GAUGE, "",
              "requests of this forwarder under way" },
            get_busy },
          { { "upstream_flows", AM_METRIC_GAUGE, "",
              "open flows issued by this forwarder" },
            get_flows },
          { { "upstream_avoided", AM_METRIC_GAUGE, "",
              "1 if new work is kept away from the upstream" },
            get_avoided } };
  char labels[LABELS_SIZE];

  for (size_t i = 0; i < sizeof all / sizeof all[0]; i++)
    {
      am_metrics_head (t, &all[i].info);
      am_list_each (s, &b->services, struct am_service, node)
      {
        am_list_each (u, &s->upstreams, struct am_upstream, node)
        {
          snprintf (labels, sizeof labels, "service=\"%s\",upstream=\"%s\"",
                    s->name, u->name);
          am_metrics_value (t, &all[i].info, labels, all[i].value (b, u));
        }
      }
    }
}

void
am_forwarder_metrics (void *userdata, struct am_metrics_text *t)
{
  const struct am_forwarder *f = userdata;
  const struct am_board *b = &f->dispatch.board;

  put_counters (t, &b->counters);
  put_gauge (t, "stopping", "1 during the graceful stop", b->stopping);
  put_gauge (t, "requests_in_progress", "requests queued or sent",
             (double)am_requests_in_progress (b));
  put_gauge (t, "opens_pending", "flow opens waiting for an upstream",
             (double)am_flow_setup_pending (b));
  put_gauge (t, "upstream_connections", "TCP connections to upstreams",
             (double)f->pool.count);
  put_gauge (t, "datagrams_dropped", "datagrams that the socket did not take",
             (double)(f->data.send_drops + f->peer.send_drops));
  put_upstreams (t, b);
  put_durations (t, f);
  am_metrics_head (t, &queue_wait);
  am_metrics_histogram (t, &queue_wait, NULL, &b->queue_wait);
}
