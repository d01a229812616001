#include <stdio.h>
#include <string.h>

#include "base/metrics.h"
#include "entry/entry.h"
#include "io/clock.h"

#define METRICS_PATH "/metrics"
#define OK 200
#define NOT_FOUND 404
#define UNAVAILABLE 503

bool
am_entry_is_ready (const struct am_entry *e, uint64_t now_us)
{
  return am_readiness_ready (&e->readiness, e->routes.active.route_count > 0,
                             e->targets.ready_count > 0, now_us);
}

static void
add_value (struct am_metrics_text *t, const char *name,
           enum am_metric_type type, const char *help, double value)
{
  struct am_metric_info m
      = { .name = name, .type = type, .unit = "", .help = help };

  am_metrics_head (t, &m);
  am_metrics_value (t, &m, NULL, value);
}

static void
add_decisions (const struct am_entry *e, struct am_metrics_text *t)
{
  struct am_metric_info m = { .name = "decisions",
                              .type = AM_METRIC_COUNTER,
                              .unit = "",
                              .help = "Packets by what decided them." };
  char label[64];

  am_metrics_head (t, &m);
  for (int i = 0; i < AM_REASON_COUNT; i++)
    {
      snprintf (label, sizeof label, "reason=\"%s\"",
                am_reason_name ((enum am_reason)i));
      am_metrics_value (t, &m, label, (double)e->counters.reasons[i]);
    }
}

static void
add_by_priority (struct am_metrics_text *t, const char *name, const char *help,
                 enum am_metric_type type,
                 const uint64_t values[AM_ROUTE_PRIORITY_COUNT])
{
  struct am_metric_info m
      = { .name = name, .type = type, .unit = "", .help = help };
  char label[32];

  am_metrics_head (t, &m);
  for (unsigned i = 0; i < AM_ROUTE_PRIORITY_COUNT; i++)
    {
      snprintf (label, sizeof label, "priority=\"%u\"", i);
      am_metrics_value (t, &m, label, (double)values[i]);
    }
}

/* What waits for room, by the priority of its route.  */
static void
add_admission (const struct am_entry *e, struct am_metrics_text *t)
{
  uint64_t waiting[AM_ROUTE_PRIORITY_COUNT] = { 0 };
  const struct am_syn_queue *q = &e->path.queue;

  for (size_t i = 0; i < q->count; i++)
    waiting[q->entries[i].priority]++;
  add_by_priority (t, "waiting", "SYNs in the queue.", AM_METRIC_GAUGE,
                   waiting);
  add_by_priority (t, "waited", "SYNs that had to wait for room.",
                   AM_METRIC_COUNTER, e->path.waited);
  add_by_priority (t, "rejected", "SYNs reset for lack of room.",
                   AM_METRIC_COUNTER, e->path.rejected);
}

static void
add_histogram (struct am_metrics_text *t, const char *name, const char *help,
               const struct am_histogram *times)
{
  struct am_metric_info m = {
    .name = name, .type = AM_METRIC_HISTOGRAM, .unit = "seconds", .help = help
  };

  am_metrics_head (t, &m);
  am_metrics_histogram (t, &m, NULL, times);
}

static void
render (const struct am_entry *e, struct am_metrics_text *t)
{
  uint64_t now_us = am_clock_us ();

#define ADD_COUNTER(field, name, help) \
  add_value (t, name, AM_METRIC_COUNTER, help, (double)e->counters.field);
  AM_ENTRY_COUNTERS (ADD_COUNTER)
#undef ADD_COUNTER
  add_decisions (e, t);
  add_admission (e, t);
  add_histogram (t, "open",
                 "From a SYN handed on to the caller's next packet.",
                 &e->path.open_times);
  add_histogram (t, "wait", "Time of SYNs in the queue.", &e->path.wait_times);
  add_histogram (t, "decide", "From reading a SYN to its decision.",
                 &e->decide_times);
  add_histogram (t, "target_list_age",
                 "Time since the list of targets was confirmed, at each SYN.",
                 &e->target_list_ages);
  add_histogram (t, "store_list", "Calls that listed the store, if answered.",
                 &e->reader.list_times);
  am_store_calls_render (&e->reader.calls, t);
  add_value (t, "ready", AM_METRIC_GAUGE, "Whether callers may be sent here.",
             am_entry_is_ready (e, now_us));
  add_value (t, "store_contact", AM_METRIC_GAUGE,
             "Whether the copy of the store is kept up to date.",
             e->sync.in_sync);
  add_value (t, "store_age_ms", AM_METRIC_GAUGE,
             "Time since the copy of the store was confirmed.",
             (double)am_store_sync_age (&e->sync, now_us) / 1e3);
  add_value (t, "store_era", AM_METRIC_GAUGE,
             "Times that the store says it was restored.",
             am_revision_era (e->replica.revision));
  add_value (t, "configuration_version", AM_METRIC_GAUGE,
             "Version of the configuration in force.",
             (double)e->routes.active.version);
  if (e->configuration_us)
    add_value (t, "configuration_age_ms", AM_METRIC_GAUGE,
               "Time since the configuration in force came.",
               (double)(now_us - e->configuration_us) / 1e3);
  add_value (t, "targets_ready", AM_METRIC_GAUGE,
             "Targets that take new flows.", (double)e->targets.ready_count);
  add_value (t, "evacuations", AM_METRIC_GAUGE,
             "Data centres that are evacuated.", (double)e->evacuations.count);
  add_value (t, "flows", AM_METRIC_GAUGE, "Flows seen lately.",
             (double)e->path.flows.count);
  add_value (t, "peers", AM_METRIC_GAUGE, "Other VMs known.",
             (double)e->fleet.count);
  add_value (t, "lines_lost", AM_METRIC_COUNTER,
             "Log lines for which there was no room.", (double)e->log.lost);
}

void
am_entry_status_handle (void *userdata, const char *path,
                        struct am_http_reply *reply)
{
  struct am_entry *e = userdata;
  struct am_metrics_text t;

  if (strcmp (path, e->adapter->ready_path) == 0)
    {
      reply->status = am_entry_is_ready (e, am_clock_us ()) ? OK : UNAVAILABLE;
      return;
    }
  reply->status = NOT_FOUND;
  if (strcmp (path, METRICS_PATH) != 0)
    return;
  am_metrics_text_init (&t);
  render (e, &t);
  reply->status = t.failed ? UNAVAILABLE : OK;
  reply->body = (uint8_t *)t.data;
  reply->body_len = t.len;
}
