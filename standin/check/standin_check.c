#include "check/standin_check_parts.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"

/* One event while it is taken.  */
struct event
{
  struct history *h;
  const json_t *json;
  struct history_place place;
  int64_t t;
};

struct kind
{
  const char *who;
  const char *name;
  const char *strings;  /* required fields, separated by spaces */
  const char *integers; /* the same */
  void (*take) (struct event *e);
};

/* ---- fields -------------------------------------------------------- */

static const char *
text_of (const struct event *e, const char *field)
{
  const char *s = json_string_value (json_object_get (e->json, field));
  return s ? s : "";
}

static int64_t
integer_of (const struct event *e, const char *field)
{
  return (int64_t)json_integer_value (json_object_get (e->json, field));
}

static bool
has_field (const struct event *e, const char *field)
{
  return json_object_get (e->json, field) != NULL;
}

/* ---- callers ------------------------------------------------------- */

static void
caller_open (struct event *e)
{
  struct history *h = e->h;
  struct history_flow *f = history_flow_of (h, text_of (e, "flow"));
  if (!f)
    return;
  if (!f->service)
    h->figures.flows++;
  f->service = history_name_of (h, text_of (e, "service"));
  f->open_us = e->t;
  f->place = e->place;
}

static void
caller_opened (struct event *e)
{
  struct history *h = e->h;
  struct history_flow *f = history_flow_of (h, text_of (e, "flow"));
  if (!f)
    return;
  history_checked (h, 1);
  if (f->opened_us < 0)
    h->figures.flows_opened++;
  f->opened_us = e->t;
  if (!f->replaces || f->replaces->ended_us < 0)
    return;
  int64_t took = e->t - f->replaces->ended_us;
  if (took > h->figures.reopen_max_us)
    h->figures.reopen_max_us = took;
  int64_t cause = f->replaces->cause_us;
  if (cause >= 0 && e->t - cause > h->figures.silent_reopen_max_us)
    h->figures.silent_reopen_max_us = e->t - cause;
}

static void
caller_sent (struct event *e)
{
  (void)e;
}

static void
caller_alert (struct event *e)
{
  struct history *h = e->h;
  struct history_flow *f = history_flow_of (h, text_of (e, "flow"));
  const struct history_name *service
      = history_name_of (h, text_of (e, "service"));
  const struct history_name *upstream
      = history_name_of (h, text_of (e, "upstream"));
  if (!f || !service || !upstream)
    return;
  h->figures.alerts++;
  history_checked (h, 2);
  int64_t latency = integer_of (e, "latency_us");
  if (latency > h->figures.alert_latency_max_us)
    h->figures.alert_latency_max_us = latency;
  f->alert_us = e->t;
  f->stalled_us = -1;
  f->upstream = upstream;
  if (f->service && f->service != service)
    {
      h->figures.wrong_service++;
      history_violate (h, 2, f->place, e->place,
                       "flow %s of service %s received an alert of service %s",
                       f->id, f->service->text, service->text);
    }
  if (f->holders && !history_holds_flow (f, upstream))
    {
      h->figures.crossed++;
      history_violate (
          h, 3, f->place, e->place,
          "flow %s received an alert of upstream %s that does not hold "
          "it",
          f->id, upstream->text);
    }
}

/* Returns the time of the failure that excuses the end of F, or -1.  Planned
   changes and the death of an entry VM excuse nothing.  */
static int64_t
cause_of_break (struct history *h, const struct history_flow *f, int64_t t)
{
  if (h->silence_us >= 0 && f->open_us <= h->silence_us)
    return h->silence_us;
  for (const struct history_holder *x = f->holders; x; x = x->next)
    {
      struct history_upstream *u = history_upstream_of (
          h, f->service ? f->service->text : "", x->upstream->text);
      if (u && u->crashed_us >= f->open_us && u->crashed_us <= t)
        return u->crashed_us;
    }
  return -1;
}

static void
break_flow (struct event *e, struct history_flow *f)
{
  struct history *h = e->h;
  if (f->broken)
    return;
  f->broken = true;
  f->ended_us = e->t;
  f->cause_us = cause_of_break (h, f, e->t);
  if (f->opened_us < 0)
    return;
  h->figures.broken++;
  if (f->cause_us >= 0)
    h->figures.broken_excused++;
  else
    history_violate (
        h, 1, f->place, e->place, "flow %s of service %s broke: %s", f->id,
        f->service ? f->service->text : "?", text_of (e, "reason"));
}

static void
caller_broken (struct event *e)
{
  struct history_flow *f = history_flow_of (e->h, text_of (e, "flow"));
  if (f)
    break_flow (e, f);
}

static void
caller_reopen (struct event *e)
{
  struct history *h = e->h;
  struct history_flow *old = history_flow_of (h, text_of (e, "old"));
  struct history_flow *f = history_flow_of (h, text_of (e, "flow"));
  if (!old || !f)
    return;
  h->figures.reopened++;
  break_flow (e, old);
  f->replaces = old;
  if (!f->service)
    {
      h->figures.flows++;
      f->service = old->service;
      f->open_us = e->t;
      f->place = e->place;
    }
}

static void
caller_close (struct event *e)
{
  struct history_flow *f = history_flow_of (e->h, text_of (e, "flow"));
  if (!f || f->ended_us >= 0)
    return;
  f->ended_us = e->t;
  e->h->figures.flows_closed++;
}

static void
caller_request (struct event *e)
{
  struct history *h = e->h;
  struct history_request *r = history_request_of (h, text_of (e, "req"));
  if (!r)
    return;
  if (r->service)
    history_violate (h, 3, r->sent, e->place, "request %s has a name in use",
                     r->id);
  h->figures.requests++;
  r->service = history_name_of (h, text_of (e, "service"));
  r->one_time = strcmp (text_of (e, "kind"), "one_time") == 0;
  r->sent_us = e->t;
  r->sent = e->place;
}

static void
end_request (struct event *e, struct history_request *r)
{
  r->results++;
  if (r->ended_us >= 0)
    {
      e->h->figures.several_results++;
      history_violate (e->h, 3, r->ended, e->place,
                       "request %s got more than one result", r->id);
      return;
    }
  r->ended_us = e->t;
  r->ended = e->place;
}

static void
caller_answer (struct event *e)
{
  struct history *h = e->h;
  struct history_request *r = history_request_of (h, text_of (e, "req"));
  if (!r)
    return;
  end_request (e, r);
  history_checked (h, 3);
  h->figures.answered += r->results == 1;
  r->answered = true;
  r->bytes = integer_of (e, "bytes");
  free (r->digest);
  r->digest = strdup (text_of (e, "digest"));
  if (!r->digest)
    h->out_of_memory = true;
  if (strcmp (text_of (e, "ran_req"), r->id) != 0)
    {
      h->figures.crossed++;
      history_violate (h, 3, r->sent, e->place,
                       "request %s received the answer of request %s", r->id,
                       text_of (e, "ran_req"));
    }
}

static void
caller_outcome (struct event *e)
{
  struct history *h = e->h;
  struct history_request *r = history_request_of (h, text_of (e, "req"));
  if (!r)
    return;
  end_request (e, r);
  r->reason = history_name_of (h, text_of (e, "reason"));
  if (strcmp (text_of (e, "outcome"), "NOT-RUN") == 0)
    {
      r->not_run = true;
      h->figures.not_run++;
      history_checked (h, 4);
    }
  else
    {
      r->unknown = true;
      h->figures.unknown++;
    }
}

static void
caller_gave_up (struct event *e)
{
  struct history_request *r = history_request_of (e->h, text_of (e, "req"));
  if (!r)
    return;
  e->h->figures.gave_up++;
  r->gave_up = true;
  end_request (e, r);
}

/* ---- upstreams ----------------------------------------------------- */

static void
upstream_start (struct event *e)
{
  (void)e;
}

/* An upstream that stops without having been marked as leaving failed.  */
static void
upstream_stop (struct event *e)
{
  struct history *h = e->h;
  struct history_upstream *u = history_upstream_of (h, text_of (e, "service"),
                                                    text_of (e, "upstream"));
  if (!u || u->leaving_us >= 0)
    return;
  u->crashed_us = e->t;
  history_add_fault (h, e->t);
}

/* New work at an upstream: promise 6.  */
static void
new_work (struct event *e, const char *what, const char *id)
{
  struct history *h = e->h;
  struct history_upstream *u = history_upstream_of (h, text_of (e, "service"),
                                                    text_of (e, "upstream"));
  if (!u || u->leaving_us < 0)
    return;
  int64_t delay = e->t - u->leaving_us;
  if (delay > h->figures.leaving_delay_max_us)
    h->figures.leaving_delay_max_us = delay;
  if (delay <= HISTORY_LEAVING_BOUND_US)
    return;
  h->figures.work_after_leaving++;
  history_violate (
      h, 6, e->place, nowhere,
      "upstream %s received %s %s %lld ms after it was marked leaving", u->id,
      what, id, (long long)(delay / 1000));
}

/* The service of the caller's flow or request against the upstream's.  */
static void
check_service (struct event *e, const struct history_name *service,
               struct history_place place, const char *id)
{
  struct history *h = e->h;
  history_checked (h, 2);
  if (!service || strcmp (service->text, text_of (e, "service")) == 0)
    return;
  h->figures.wrong_service++;
  history_violate (h, 2, place, e->place,
                   "%s of service %s reached service %s", id, service->text,
                   text_of (e, "service"));
}

static void
upstream_flow_open (struct event *e)
{
  struct history *h = e->h;
  struct history_flow *f = history_flow_of (h, text_of (e, "flow"));
  const struct history_name *upstream
      = history_name_of (h, text_of (e, "upstream"));
  if (!f || !upstream)
    return;
  new_work (e, "flow", f->id);
  check_service (e, f->service, f->place, f->id);
  if (history_holds_flow (f, upstream))
    return;
  struct history_holder *x = calloc (1, sizeof *x);
  if (!x)
    {
      h->out_of_memory = true;
      return;
    }
  x->upstream = upstream;
  x->next = f->holders;
  f->holders = x;
}

static void
upstream_flow_close (struct event *e)
{
  (void)e;
}

static void
upstream_flow_data (struct event *e)
{
  struct history_flow *f = history_flow_of (e->h, text_of (e, "flow"));
  if (f)
    check_service (e, f->service, f->place, f->id);
}

static void
upstream_alert_sent (struct event *e)
{
  struct history *h = e->h;
  struct history_flow *f = history_flow_of (h, text_of (e, "flow"));
  if (!f)
    return;
  h->figures.alerts_sent++;
  f->sent_us = e->t;
  if (f->stalled_us < 0)
    f->stalled_us = e->t;
}

static void
upstream_run (struct event *e)
{
  struct history *h = e->h;
  struct history_request *r = history_request_of (h, text_of (e, "req"));
  if (!r)
    return;
  h->figures.runs++;
  new_work (e, "request", r->id);
  check_service (e, r->service, r->sent, r->id);
  if (strcmp (text_of (e, "kind"), "one_time") == 0 || r->one_time)
    history_checked (h, 5);
  r->runs++;
  if (r->runs == 1)
    r->ran = e->place;
  if (r->runs < 2)
    return;
  if (!r->one_time && strcmp (text_of (e, "kind"), "one_time") != 0)
    return;
  if (r->runs == 2)
    h->figures.doubled++;
  history_violate (h, 5, r->ran, e->place, "one-time request %s ran %u times",
                   r->id, r->runs);
}

static void
upstream_done (struct event *e)
{
  struct history *h = e->h;
  struct history_request *r = history_request_of (h, text_of (e, "req"));
  if (!r)
    return;
  struct history_done *d = history_allocate (
      h, offsetof (struct history_done, digest), text_of (e, "digest"));
  if (!d)
    return;
  d->bytes = integer_of (e, "bytes");
  d->next = r->done;
  r->done = d;
}

static void
upstream_refused (struct event *e)
{
  e->h->figures.refused++;
}

static void
upstream_wrong_service (struct event *e)
{
  e->h->figures.wrong_service++;
  history_violate (e->h, 2, e->place, nowhere,
                   "upstream %s of service %s received a packet for %s",
                   text_of (e, "upstream"), text_of (e, "service"),
                   text_of (e, "got"));
}

static void
upstream_over_limit (struct event *e)
{
  e->h->figures.over_limit++;
}

/* ---- operators ----------------------------------------------------- */

static void
operator_leaving (struct event *e)
{
  struct history_upstream *u = history_upstream_of (
      e->h, text_of (e, "service"), text_of (e, "upstream"));
  if (!u)
    return;
  history_checked (e->h, 6);
  u->leaving_us = e->t;
}

static void
operator_joining (struct event *e)
{
  struct history_upstream *u = history_upstream_of (
      e->h, text_of (e, "service"), text_of (e, "upstream"));
  if (u)
    u->leaving_us = -1;
}

static void
operator_config (struct event *e)
{
  struct history *h = e->h;
  struct history_record *r = history_record_of (h, text_of (e, "record"));
  if (!r)
    return;
  h->figures.configs++;
  uint64_t revision = (uint64_t)integer_of (e, "revision");
  for (size_t i = 0; i < r->config_count; i++)
    if (r->configs[i].revision == revision)
      {
        h->figures.accepted_twice++;
        history_violate (h, 8, r->configs[i].place, e->place,
                         "revision %llu of record %s was accepted twice",
                         (unsigned long long)revision, r->id);
        return;
      }
  if (!history_grow (h, (void **)&r->configs, r->config_count,
                     sizeof *r->configs))
    return;
  r->configs[r->config_count++] = (struct history_config){
    .revision = revision, .t_us = e->t, .place = e->place
  };
  for (struct history_vm *v = h->vms; v; v = v->hh.next)
    for (struct history_view *w = v->views; w; w = w->next)
      if (w->record == r)
        history_reach (h, v, w, e->t);
}

static void
operator_in_force (struct event *e)
{
  struct history *h = e->h;
  struct history_vm *v = history_vm_of (h, text_of (e, "vm"));
  struct history_record *r = history_record_of (h, text_of (e, "record"));
  if (!v || !r)
    return;
  struct history_view *w = history_view_of (h, v, r);
  if (!w)
    return;
  history_checked (h, 8);
  uint64_t revision = (uint64_t)integer_of (e, "revision");
  if (revision < w->revision)
    {
      h->figures.reverted++;
      history_violate (
          h, 8, w->place, e->place,
          "record %s reverted from revision %llu to %llu on vm %s", r->id,
          (unsigned long long)w->revision, (unsigned long long)revision,
          v->id);
      return;
    }
  if (revision > w->revision)
    w->place = e->place;
  w->revision = revision;
  history_reach (h, v, w, e->t);
}

static void
vm_down (struct history_vm *v)
{
  v->down = true;
}

static void
vm_up (struct event *e)
{
  struct history_vm *v = history_vm_of (e->h, text_of (e, "vm"));
  if (!v)
    return;
  v->down = false;
  v->up_us = e->t;
}

static void
operator_planned_stop (struct event *e)
{
  struct history *h = e->h;
  struct history_vm *v = history_vm_of (h, text_of (e, "vm"));
  if (!v)
    return;
  history_checked (h, 7);
  h->figures.stops++;
  vm_down (v);
  if (!history_grow (h, (void **)&h->stops, h->stop_count, sizeof *h->stops))
    return;
  h->stops[h->stop_count++] = (struct history_stop){
    .from_us = e->t, .to_us = INT64_MAX, .vm = v, .place = e->place
  };
}

static void
operator_stopped (struct event *e)
{
  struct history *h = e->h;
  struct history_vm *v = history_vm_of (h, text_of (e, "vm"));
  for (size_t i = h->stop_count; i-- > 0;)
    if (h->stops[i].vm == v && h->stops[i].to_us == INT64_MAX)
      {
        h->stops[i].to_us = e->t;
        if (has_field (e, "status") && integer_of (e, "status") != 0)
          history_violate (h, 7, h->stops[i].place, e->place,
                           "planned stop of vm %s ended with status %lld",
                           v->id, (long long)integer_of (e, "status"));
        return;
      }
}

static void
operator_kill (struct event *e)
{
  struct history *h = e->h;
  struct history_vm *v = history_vm_of (h, text_of (e, "vm"));
  if (!v)
    return;
  h->figures.kills++;
  vm_down (v);
  history_add_fault (h, e->t);
}

/* Failure that the experiment caused on purpose.  */
static void
operator_fault (struct event *e)
{
  struct history *h = e->h;
  history_add_fault (h, e->t);
  const char *what = text_of (e, "what");
  if (strcmp (what, "silence") == 0)
    h->silence_us = e->t;
  if (has_field (e, "upstream"))
    {
      struct history_upstream *u = history_upstream_of (
          h, text_of (e, "service"), text_of (e, "upstream"));
      if (u)
        u->crashed_us = e->t;
    }
  if (has_field (e, "vm"))
    {
      struct history_vm *v = history_vm_of (h, text_of (e, "vm"));
      if (v)
        vm_down (v);
    }
}

/* ---- events -------------------------------------------------------- */

static const struct kind kinds[] = {
  { "caller", "open", "flow service", "", caller_open },
  { "caller", "opened", "flow service", "", caller_opened },
  { "caller", "sent", "flow", "seq", caller_sent },
  { "caller", "alert", "flow service upstream", "seq", caller_alert },
  { "caller", "broken", "flow reason", "", caller_broken },
  { "caller", "reopen", "flow old", "", caller_reopen },
  { "caller", "close", "flow", "", caller_close },
  { "caller", "request", "req service kind", "", caller_request },
  { "caller", "answer", "req digest ran_req", "bytes", caller_answer },
  { "caller", "outcome", "req outcome reason", "", caller_outcome },
  { "caller", "gave_up", "req", "", caller_gave_up },
  { "upstream", "start", "upstream service", "", upstream_start },
  { "upstream", "stop", "upstream service", "", upstream_stop },
  { "upstream", "flow_open", "upstream service flow", "", upstream_flow_open },
  { "upstream", "flow_close", "upstream service flow", "",
    upstream_flow_close },
  { "upstream", "flow_data", "upstream service flow", "seq",
    upstream_flow_data },
  { "upstream", "alert_sent", "upstream service flow", "seq",
    upstream_alert_sent },
  { "upstream", "run", "upstream service req kind", "", upstream_run },
  { "upstream", "done", "upstream service req digest", "bytes",
    upstream_done },
  { "upstream", "refused", "upstream service reason", "", upstream_refused },
  { "upstream", "wrong_service", "upstream service got", "",
    upstream_wrong_service },
  { "upstream", "over_limit", "upstream service what", "",
    upstream_over_limit },
  { "operator", "leaving", "upstream service", "", operator_leaving },
  { "operator", "joining", "upstream service", "", operator_joining },
  { "operator", "config", "record", "revision", operator_config },
  { "operator", "in_force", "record vm", "revision", operator_in_force },
  { "operator", "planned_stop", "vm", "", operator_planned_stop },
  { "operator", "stopped", "vm", "", operator_stopped },
  { "operator", "started", "vm", "", vm_up },
  { "operator", "kill", "vm", "", operator_kill },
  { "operator", "fault", "what", "", operator_fault },
  { "operator", "repaired", "vm", "", vm_up },
};

static const struct kind *
kind_of (const char *who, const char *name)
{
  for (size_t i = 0; i < sizeof kinds / sizeof *kinds; i++)
    if (strcmp (kinds[i].who, who) == 0 && strcmp (kinds[i].name, name) == 0)
      return &kinds[i];
  return NULL;
}

/* Checks that each field named in LIST is there and of the right type.  */
static int
check_fields (const json_t *event, const char *list, bool integer,
              struct history_fault *f)
{
  while (*list)
    {
      char field[32];
      size_t n = strcspn (list, " ");
      snprintf (field, sizeof field, "%.*s", (int)n, list);
      const json_t *v = json_object_get (event, field);
      if (integer ? !json_is_integer (v) : !json_is_string (v))
        {
          snprintf (f->text, sizeof f->text, "field '%s' is %s", field,
                    v ? "of the wrong type" : "missing");
          return AM_E_FORMAT;
        }
      list += n + (list[n] == ' ');
    }
  return AM_OK;
}

static int
check_outcome (const json_t *event, const struct kind *k,
               struct history_fault *f)
{
  if (k->take != caller_outcome)
    return AM_OK;
  const char *o = json_string_value (json_object_get (event, "outcome"));
  if (strcmp (o, "NOT-RUN") == 0 || strcmp (o, "UNKNOWN") == 0)
    return AM_OK;
  snprintf (f->text, sizeof f->text, "outcome '%.64s' is not known", o);
  return AM_E_FORMAT;
}

int
history_add (struct history *h, struct history_place place,
             const json_t *event, struct history_fault *f)
{
  int rc = check_fields (event, "who ev", false, f);
  if (!rc)
    rc = check_fields (event, "t", true, f);
  if (rc)
    return rc;
  const char *who = json_string_value (json_object_get (event, "who"));
  const char *name = json_string_value (json_object_get (event, "ev"));
  const struct kind *k = kind_of (who, name);
  if (!k)
    {
      snprintf (f->text, sizeof f->text, "event '%.64s' of '%.64s' unknown",
                name, who);
      return AM_E_FORMAT;
    }
  rc = check_fields (event, k->strings, false, f);
  if (!rc)
    rc = check_fields (event, k->integers, true, f);
  if (!rc)
    rc = check_outcome (event, k, f);
  if (rc)
    return rc;
  struct event e = { .h = h, .json = event, .place = place };
  e.t = integer_of (&e, "t");
  if (e.t > h->end_us)
    h->end_us = e.t;
  h->figures.lines++;
  k->take (&e);
  return h->out_of_memory ? AM_E_MEMORY : AM_OK;
}
