#include "check/standin_check.h"

/* Short names of the promises of docs/design.md, section 1.2.  */
static const char *const promise_names[HISTORY_PROMISES] = {
  "feeds_survive_planned_changes",
  "no_wrong_service",
  "whole_own_answer",
  "not_run_is_true",
  "one_time_at_most_once",
  "no_new_work_after_leaving",
  "planned_stop_cuts_nothing",
  "configuration_in_force_and_never_reverts",
};

static json_t *
report_promise (const struct history_promise *p, int index)
{
  json_t *named = json_array ();
  for (int i = 0; i < HISTORY_NAMED_MAX && p->named[i]; i++)
    json_array_append_new (named, json_string (p->named[i]));
  return json_pack ("{s:i, s:s, s:b, s:I, s:I, s:o}", "promise", index + 1,
                    "name", promise_names[index], "pass", p->violations == 0,
                    "checked", (json_int_t)p->checked, "violations",
                    (json_int_t)p->violations, "named", named);
}

static void
set_count (json_t *o, const char *name, uint64_t n)
{
  json_object_set_new (o, name, json_integer ((json_int_t)n));
}

/* Adds a time as milliseconds.  */
static void
set_ms (json_t *o, const char *name, int64_t us)
{
  json_object_set_new (o, name, json_real ((double)us / 1000));
}

static void
report_flows (json_t *o, const struct history_figures *g)
{
  set_count (o, "lines", g->lines);
  set_count (o, "flows", g->flows);
  set_count (o, "flows_opened", g->flows_opened);
  set_count (o, "flows_closed", g->flows_closed);
  set_count (o, "broken", g->broken);
  set_count (o, "broken_excused", g->broken_excused);
  set_count (o, "reopened", g->reopened);
  set_count (o, "stalled", g->stalled);
  set_ms (o, "reopen_max_ms", g->reopen_max_us);
  set_ms (o, "silent_reopen_max_ms", g->silent_reopen_max_us);
  set_count (o, "alerts_sent", g->alerts_sent);
  set_count (o, "alerts", g->alerts);
  set_ms (o, "alert_latency_max_ms", g->alert_latency_max_us);
}

static void
report_requests (json_t *o, const struct history_figures *g)
{
  set_count (o, "requests", g->requests);
  set_count (o, "answered", g->answered);
  set_count (o, "not_run", g->not_run);
  set_count (o, "unknown", g->unknown);
  set_count (o, "unknown_unplanned", g->unknown_unplanned);
  set_count (o, "gave_up", g->gave_up);
  set_count (o, "no_result", g->no_result);
  set_count (o, "runs", g->runs);
  set_count (o, "refused", g->refused);
  set_count (o, "over_limit", g->over_limit);
  set_count (o, "doubled", g->doubled);
  set_count (o, "false_not_run", g->false_not_run);
  set_count (o, "crossed", g->crossed);
  set_count (o, "partial", g->partial);
  set_count (o, "several_results", g->several_results);
  set_count (o, "lost_orders", g->lost_orders);
  set_count (o, "wrong_service", g->wrong_service);
}

static void
report_changes (json_t *o, const struct history_figures *g)
{
  set_count (o, "work_after_leaving", g->work_after_leaving);
  set_ms (o, "leaving_delay_max_ms", g->leaving_delay_max_us);
  set_count (o, "planned_stops", g->stops);
  set_count (o, "kills", g->kills);
  set_count (o, "cut_by_stop", g->cut_by_stop);
  set_count (o, "configs", g->configs);
  set_count (o, "reverted", g->reverted);
  set_count (o, "accepted_twice", g->accepted_twice);
  set_count (o, "config_late", g->config_late);
  set_ms (o, "spread_max_ms", g->spread_max_us);
  int64_t n = (int64_t)g->spread_count;
  set_ms (o, "spread_mean_ms", n ? g->spread_sum_us / n : 0);
}

json_t *
history_report (const struct history *h)
{
  json_t *promises = json_array ();
  for (int i = 0; i < HISTORY_PROMISES; i++)
    json_array_append_new (promises, report_promise (&h->promises[i], i));
  json_t *figures = json_object ();
  report_flows (figures, &h->figures);
  report_requests (figures, &h->figures);
  report_changes (figures, &h->figures);
  return json_pack ("{s:b, s:o, s:o}", "pass", history_holds (h), "promises",
                    promises, "figures", figures);
}
