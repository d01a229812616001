#include "check/standin_check_parts.h"

#include <string.h>

#include "base/error.h"

static void
decide_flow (struct history *h, const struct history_flow *f)
{
  if (!f->service || f->opened_us < 0 || f->ended_us >= 0)
    return;
  if (f->stalled_us < 0
      || f->sent_us - f->stalled_us <= HISTORY_STALL_BOUND_US)
    return;
  h->figures.stalled++;
  history_violate (
      h, 1, f->place, nowhere,
      "flow %s of service %s received nothing for %lld ms while its "
      "upstream sent alerts",
      f->id, f->service->text,
      (long long)((f->sent_us - f->stalled_us) / 1000));
}

/* Promise 3: the answer received is the whole answer that was given.  */
static void
decide_answer (struct history *h, const struct history_request *r)
{
  if (!r->answered)
    return;
  const struct history_done *shorter = NULL;
  for (const struct history_done *d = r->done; d; d = d->next)
    {
      if (d->bytes == r->bytes && strcmp (d->digest, r->digest) == 0)
        return;
      if (r->bytes < d->bytes)
        shorter = d;
    }
  if (shorter)
    {
      h->figures.partial++;
      history_violate (h, 3, r->sent, r->ended,
                       "request %s received %lld of %lld bytes", r->id,
                       (long long)r->bytes, (long long)shorter->bytes);
      return;
    }
  h->figures.crossed++;
  history_violate (h, 3, r->sent, r->ended,
                   r->done
                       ? "request %s received an answer with another digest"
                       : "request %s received an answer that no upstream gave",
                   r->id);
}

/* Returns the planned stop that R was in progress during, or NULL.  */
static const struct history_stop *
stop_during (const struct history *h, const struct history_request *r)
{
  for (size_t i = 0; i < h->stop_count; i++)
    if (r->sent_us <= h->stops[i].to_us && r->ended_us >= h->stops[i].from_us)
      return &h->stops[i];
  return NULL;
}

/* Promise 7.  An unplanned failure while the request was in progress excuses
   it.  */
static void
decide_cut (struct history *h, const struct history_request *r)
{
  if (!r->unknown && !r->gave_up)
    return;
  if (history_fault_between (h, r->sent_us, r->ended_us))
    {
      h->figures.unknown_unplanned++;
      return;
    }
  const struct history_stop *s = stop_during (h, r);
  if (!s)
    return;
  h->figures.cut_by_stop++;
  history_violate (
      h, 7, s->place, r->ended,
      "request %s ended as %s (%s) during the planned stop of vm %s", r->id,
      r->unknown ? "UNKNOWN" : "given up",
      r->reason ? r->reason->text : "no result", s->vm->id);
}

static void
decide_request (struct history *h, const struct history_request *r)
{
  if (!r->service)
    {
      history_violate (h, 3, r->runs ? r->ran : r->ended, nowhere,
                       "request %s was never sent by a caller", r->id);
      return;
    }
  if (r->not_run && r->runs)
    {
      h->figures.false_not_run++;
      history_violate (h, 4, r->ran, r->ended,
                       "request %s ran and was told NOT-RUN", r->id);
    }
  if (r->ended_us < 0)
    h->figures.no_result++;
  if (r->one_time && r->runs && !r->answered)
    h->figures.lost_orders++;
  decide_answer (h, r);
  decide_cut (h, r);
}

static void
decide_view (struct history *h, const struct history_vm *v,
             struct history_view *w)
{
  const struct history_record *r = w->record;
  history_reach (h, v, w, h->end_us);
  for (size_t i = w->reached; i < r->config_count; i++)
    {
      int64_t took = h->end_us - history_due_since (v, &r->configs[i]);
      if (r->configs[i].revision <= w->revision || v->down)
        continue;
      if (took > HISTORY_CONFIG_BOUND_US)
        history_late_config (h, v, r, &r->configs[i], took);
    }
}

static void
decide_vm (struct history *h, struct history_vm *v)
{
  for (struct history_record *r = h->records; r; r = r->hh.next)
    {
      struct history_view *w = history_view_of (h, v, r);
      if (w)
        decide_view (h, v, w);
    }
}

int
history_decide (struct history *h)
{
  for (struct history_flow *f = h->flows; f; f = f->hh.next)
    decide_flow (h, f);
  for (struct history_request *r = h->requests; r; r = r->hh.next)
    decide_request (h, r);
  for (struct history_vm *v = h->vms; v; v = v->hh.next)
    decide_vm (h, v);
  for (size_t i = 0; i < h->stop_count; i++)
    if (h->stops[i].to_us == INT64_MAX)
      history_violate (h, 7, h->stops[i].place, nowhere,
                       "planned stop of vm %s did not end",
                       h->stops[i].vm->id);
  return h->out_of_memory ? AM_E_MEMORY : AM_OK;
}

bool
history_holds (const struct history *h)
{
  for (int i = 0; i < HISTORY_PROMISES; i++)
    if (h->promises[i].violations)
      return false;
  return true;
}
