#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "ctl/exchange.h"

static const char *
member_state (Amaranth__MemberState state)
{
  static const char *const names[]
      = { "alive", "suspect", "dead", "leaving", "left" };

  return (size_t)state < sizeof names / sizeof names[0] ? names[state] : "?";
}

static const char *
upstream_state (Amaranth__UpstreamState state)
{
  static const char *const names[] = { "active", "leaving", "retired" };

  return (size_t)state < sizeof names / sizeof names[0] ? names[state] : "?";
}

/* Notes the agents that failed.  Returns AM_OK if one answered, else the
   first error, reported.  */
static int
note_failures (struct ctl *c, const struct ctl_exchange *list, size_t n)
{
  json_t *failed = json_array ();
  size_t answers = 0;

  for (size_t i = 0; i < n; i++)
    if (list[i].error)
      {
        ctl_note (c, "%s: not reached: %s", list[i].name,
                  am_error_text (list[i].error));
        json_array_append_new (
            failed, json_pack ("{s:s, s:s}", "vm", list[i].name, "error",
                               am_error_name (list[i].error)));
      }
    else
      answers++;
  ctl_result (c, "not_reached", failed);
  if (answers > 0)
    return AM_OK;
  return ctl_fail (c, n ? list[0].error : AM_E_CONNECTION,
                   "no entry VM answered (asked %zu)", n);
}

/* ---- status ---- */

static void
show_vm (struct ctl *c, const struct ctl_exchange *e, json_t *list)
{
  const Amaranth__StatusReply *s = ctl_exchange_status (e);
  const Amaranth__Report *r = s ? s->forwarder : NULL;
  const char *state = s && s->self ? member_state (s->self->state) : "?";
  const char *forwarder = "not connected";

  if (!s)
    return;
  if (r)
    forwarder = r->life == AMARANTH__LIFE_STATE__LIFE_SERVING ? "serving"
                                                              : "stopping";
  ctl_say (c,
           "%-16s %-8s %-10s forwarder %s, %u requests, %zu of %zu records "
           "in force, store %s%s",
           e->name, s->self ? s->self->data_centre : "?", state, forwarder,
           r ? r->requests_in_progress : 0, s->n_in_force, s->n_records,
           am_error_name (s->store_error), s->reader ? ", reader" : "");
  json_array_append_new (
      list,
      json_pack ("{s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:s, s:b}", "vm",
                 e->name, "data_centre", s->self ? s->self->data_centre : "",
                 "state", state, "forwarder", forwarder, "requests",
                 (json_int_t)(r ? r->requests_in_progress : 0), "records",
                 (json_int_t)s->n_records, "in_force",
                 (json_int_t)s->n_in_force, "store",
                 am_error_name (s->store_error), "reader", s->reader));
}

struct load
{
  uint32_t busy;
  uint32_t flows;
  size_t avoided;
  bool ejected;
};

static void
add_load (struct load *l, const Amaranth__StatusReply *s, uint32_t service,
          uint32_t upstream)
{
  for (size_t i = 0; s->forwarder && i < s->forwarder->n_upstreams; i++)
    {
      const Amaranth__UpstreamLoad *u = s->forwarder->upstreams[i];

      if (u->service_id != service || u->upstream_id != upstream)
        continue;
      l->busy += u->own_busy;
      l->flows += u->own_flows;
      l->avoided += u->avoided != 0;
    }
  for (size_t i = 0; i < s->n_verdicts; i++)
    if (s->verdicts[i]->service_id == service
        && s->verdicts[i]->upstream_id == upstream)
      l->ejected |= s->verdicts[i]->ejected != 0;
}

static json_t *
show_upstream (struct ctl *c, const struct ctl_exchange *list, size_t n,
               const Amaranth__Service *service, const Amaranth__Upstream *u)
{
  struct load l = { 0 };

  for (size_t i = 0; i < n; i++)
    {
      const Amaranth__StatusReply *s = ctl_exchange_status (&list[i]);

      if (s)
        add_load (&l, s, service->id, u->id);
    }
  ctl_say (c, "  %-20s %-8s %-8s %u of %u slots, %u of %u flows%s", u->name,
           u->data_centre, upstream_state (u->state), l.busy, u->slots,
           l.flows, u->connections, l.ejected ? ", ejected" : "");
  if (l.avoided)
    ctl_say (c, "    avoided by %zu entry VMs", l.avoided);
  return json_pack ("{s:s, s:s, s:I, s:I, s:I, s:b}", "name", u->name, "state",
                    upstream_state (u->state), "busy", (json_int_t)l.busy,
                    "flows", (json_int_t)l.flows, "avoided_by",
                    (json_int_t)l.avoided, "ejected", l.ejected);
}

/* Services as the first entry VM that answered has them.  */
static void
show_services (struct ctl *c, const struct ctl_exchange *list, size_t n)
{
  const Amaranth__StatusReply *s = NULL;
  json_t *services = json_array ();

  for (size_t i = 0; i < n && !s; i++)
    s = ctl_exchange_status (&list[i]);
  for (size_t i = 0; s && i < s->n_services; i++)
    {
      const Amaranth__Service *service = s->services[i];
      json_t *upstreams = json_array ();

      ctl_say (c, "%s revision %" PRIu64 "%s", service->name,
               service->revision, service->retired ? " (retired)" : "");
      for (size_t j = 0; j < service->n_upstreams; j++)
        json_array_append_new (
            upstreams,
            show_upstream (c, list, n, service, service->upstreams[j]));
      json_array_append_new (
          services,
          json_pack ("{s:s, s:I, s:b, s:o}", "name", service->name, "revision",
                     (json_int_t)service->revision, "retired",
                     service->retired != 0, "upstreams", upstreams));
    }
  ctl_result (c, "services", services);
}

/* Members that are held for dead by the first entry VM that answered.  */
static void
show_gone (struct ctl *c, const struct ctl_exchange *list, size_t n)
{
  const Amaranth__StatusReply *s = NULL;
  json_t *gone = json_array ();

  for (size_t i = 0; i < n && !s; i++)
    s = ctl_exchange_status (&list[i]);
  for (size_t i = 0; s && i < s->n_members; i++)
    if (s->members[i]->state == AMARANTH__MEMBER_STATE__MEMBER_DEAD
        || s->members[i]->state == AMARANTH__MEMBER_STATE__MEMBER_LEFT)
      {
        const Amaranth__Member *m = s->members[i];

        ctl_say (c, "%-16s %-8s %s", m->name, m->data_centre,
                 member_state (m->state));
        json_array_append_new (gone,
                               json_pack ("{s:s, s:s}", "vm", m->name, "state",
                                          member_state (m->state)));
      }
  ctl_result (c, "gone", gone);
}

int
ctl_status (struct ctl *c)
{
  struct ctl_exchange *list;
  json_t *vms;
  size_t n;
  int err = ctl_ask_all (c, NULL, AMARANTH__ENVELOPE__BODY_STATUS_REPLY, &list,
                         &n);

  if (err)
    return err;
  vms = json_array ();
  for (size_t i = 0; i < n; i++)
    show_vm (c, &list[i], vms);
  ctl_result (c, "vms", vms);
  show_gone (c, list, n);
  show_services (c, list, n);
  err = note_failures (c, list, n);
  ctl_exchange_list_free (list, n);
  return err;
}

/* ---- explain, metrics ---- */

static size_t
show_lines (struct ctl *c, const struct ctl_exchange *e, json_t *lines)
{
  const Amaranth__Envelope *reply
      = ctl_exchange_reply (e, AMARANTH__ENVELOPE__BODY_EXPLAIN);
  size_t n = reply ? reply->explain->n_lines : 0;

  for (size_t i = 0; i < n; i++)
    {
      ctl_say (c, "%s: %s", e->name, reply->explain->lines[i]);
      json_array_append_new (lines,
                             json_pack ("{s:s, s:s}", "vm", e->name, "line",
                                        reply->explain->lines[i]));
    }
  return n;
}

int
ctl_explain (struct ctl *c)
{
  Amaranth__Explain body = AMARANTH__EXPLAIN__INIT;
  Amaranth__Envelope request = AMARANTH__ENVELOPE__INIT;
  struct ctl_exchange *list;
  json_t *lines;
  size_t found = 0;
  size_t n;
  char *end;
  int err;

  errno = 0;
  body.id = strtoull (c->arguments[0], &end, 10);
  if (c->arguments[0][0] < '0' || c->arguments[0][0] > '9' || *end || errno)
    return ctl_fail (c, AM_E_ARGUMENT, "'%s' is no decimal id",
                     c->arguments[0]);
  request.body_case = AMARANTH__ENVELOPE__BODY_EXPLAIN;
  request.explain = &body;
  err = ctl_ask_all (c, &request, AMARANTH__ENVELOPE__BODY_EXPLAIN, &list, &n);
  if (err)
    return err;
  lines = json_array ();
  for (size_t i = 0; i < n; i++)
    found += show_lines (c, &list[i], lines);
  ctl_result (c, "lines", lines);
  err = note_failures (c, list, n);
  if (!err && found == 0)
    err = ctl_fail (c, AM_E_NOT_FOUND, "no entry VM remembers %" PRIu64,
                    body.id);
  ctl_exchange_list_free (list, n);
  return err;
}

static void
show_metrics (struct ctl *c, const struct ctl_exchange *e, json_t *vms)
{
  const Amaranth__Envelope *reply
      = ctl_exchange_reply (e, AMARANTH__ENVELOPE__BODY_METRICS_REPLY);
  json_t *values;

  if (!reply)
    return;
  values = json_object ();
  for (size_t i = 0; i < reply->metrics_reply->n_metrics; i++)
    {
      const Amaranth__Metric *m = reply->metrics_reply->metrics[i];

      ctl_say (c, "%-16s %-40s %.15g", e->name, m->name, m->value);
      json_object_set_new (values, m->name, json_real (m->value));
    }
  json_object_set_new (vms, e->name, values);
}

int
ctl_metrics (struct ctl *c)
{
  Amaranth__MetricsRequest body = AMARANTH__METRICS_REQUEST__INIT;
  Amaranth__Envelope request = AMARANTH__ENVELOPE__INIT;
  struct ctl_exchange *list;
  json_t *vms;
  size_t n;
  int err;

  request.body_case = AMARANTH__ENVELOPE__BODY_METRICS_REQUEST;
  request.metrics_request = &body;
  err = ctl_ask_all (c, &request, AMARANTH__ENVELOPE__BODY_METRICS_REPLY,
                     &list, &n);
  if (err)
    return err;
  vms = json_object ();
  for (size_t i = 0; i < n; i++)
    show_metrics (c, &list[i], vms);
  ctl_result (c, "vms", vms);
  err = note_failures (c, list, n);
  ctl_exchange_list_free (list, n);
  return err;
}

/* ---- commands to the named agents ---- */

/* Fails if any of them did not take REQUEST.  */
static int
tell_named (struct ctl *c, const Amaranth__Envelope *request,
            Amaranth__Envelope__BodyCase wanted, bool close_is_answer)
{
  struct ctl_exchange list[CTL_AGENTS_MAX];
  int err = AM_OK;

  for (size_t i = 0; i < c->agent_count; i++)
    {
      ctl_exchange_init (&list[i], c->agents[i], request, wanted);
      list[i].close_is_answer = close_is_answer;
    }
  ctl_exchange_run (list, c->agent_count, c->key, CTL_AGENT_TIMEOUT_MS);
  for (size_t i = 0; i < c->agent_count; i++)
    {
      if (!list[i].error)
        ctl_say (c, "%s: done", list[i].name);
      else
        err = ctl_fail (c, list[i].error, "%s: not done: %s", list[i].name,
                        am_error_text (list[i].error));
      ctl_exchange_finish (&list[i]);
    }
  return err;
}

int
ctl_log_level (struct ctl *c)
{
  Amaranth__SetLogLevel body = AMARANTH__SET_LOG_LEVEL__INIT;
  Amaranth__Envelope request = AMARANTH__ENVELOPE__INIT;
  int level;

  if (am_log_level_parse (&level, c->arguments[0]))
    return ctl_fail (c, AM_E_ARGUMENT,
                     "'%s' is no level (error, warning, notice, info, debug)",
                     c->arguments[0]);
  body.level = c->arguments[0];
  request.body_case = AMARANTH__ENVELOPE__BODY_SET_LOG_LEVEL;
  request.set_log_level = &body;
  return tell_named (c, &request, AMARANTH__ENVELOPE__BODY_STATUS_REPLY,
                     false);
}

int
ctl_stop (struct ctl *c)
{
  Amaranth__StopRequest body = AMARANTH__STOP_REQUEST__INIT;
  Amaranth__Envelope request = AMARANTH__ENVELOPE__INIT;

  if (!c->agents_named)
    return ctl_fail (c, AM_E_ARGUMENT,
                     "stop needs --agent for each entry VM to stop");
  request.body_case = AMARANTH__ENVELOPE__BODY_STOP_REQUEST;
  request.stop_request = &body;
  return tell_named (c, &request, AMARANTH__ENVELOPE__BODY_STATUS_REPLY, true);
}
