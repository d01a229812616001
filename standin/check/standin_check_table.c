#include "check/standin_check_parts.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
history_violate (struct history *h, int promise, struct history_place a,
                 struct history_place b, const char *format, ...)
{
  struct history_promise *p = &h->promises[promise - 1];
  if (p->violations++ >= HISTORY_NAMED_MAX)
    return;
  char what[256];
  va_list ap;
  va_start (ap, format);
  vsnprintf (what, sizeof what, format, ap);
  va_end (ap);
  char *text = NULL;
  int n;
  if (b.line)
    n = asprintf (&text, "%s (%s:%u, %s:%u)", what, h->files[a.file], a.line,
                  h->files[b.file], b.line);
  else if (a.line)
    n = asprintf (&text, "%s (%s:%u)", what, h->files[a.file], a.line);
  else
    n = asprintf (&text, "%s", what);
  if (n < 0)
    {
      h->out_of_memory = true;
      return;
    }
  p->named[p->violations - 1] = text;
}

void
history_checked (struct history *h, int promise)
{
  h->promises[promise - 1].checked++;
}

void *
history_allocate (struct history *h, size_t size, const char *id)
{
  size_t len = strlen (id) + 1;
  char *p = calloc (1, size + len);
  if (!p)
    {
      h->out_of_memory = true;
      return NULL;
    }
  memcpy (p + size, id, len);
  return p;
}

const struct history_name *
history_name_of (struct history *h, const char *text)
{
  struct history_name *n;
  HASH_FIND_STR (h->names, text, n);
  if (n)
    return n;
  n = history_allocate (h, offsetof (struct history_name, text), text);
  if (n)
    HASH_ADD_KEYPTR (hh, h->names, n->text, strlen (n->text), n);
  return n;
}

struct history_flow *
history_flow_of (struct history *h, const char *id)
{
  struct history_flow *f;
  HASH_FIND_STR (h->flows, id, f);
  if (f)
    return f;
  f = history_allocate (h, offsetof (struct history_flow, id), id);
  if (!f)
    return NULL;
  f->opened_us = f->ended_us = -1;
  f->sent_us = f->alert_us = -1;
  f->stalled_us = f->cause_us = -1;
  HASH_ADD_KEYPTR (hh, h->flows, f->id, strlen (f->id), f);
  return f;
}

struct history_request *
history_request_of (struct history *h, const char *id)
{
  struct history_request *r;
  HASH_FIND_STR (h->requests, id, r);
  if (r)
    return r;
  r = history_allocate (h, offsetof (struct history_request, id), id);
  if (!r)
    return NULL;
  r->ended_us = -1;
  HASH_ADD_KEYPTR (hh, h->requests, r->id, strlen (r->id), r);
  return r;
}

struct history_upstream *
history_upstream_of (struct history *h, const char *service,
                     const char *upstream)
{
  char id[256];
  snprintf (id, sizeof id, "%s/%s", service, upstream);
  struct history_upstream *u;
  HASH_FIND_STR (h->upstreams, id, u);
  if (u)
    return u;
  u = history_allocate (h, offsetof (struct history_upstream, id), id);
  if (!u)
    return NULL;
  u->leaving_us = u->crashed_us = -1;
  HASH_ADD_KEYPTR (hh, h->upstreams, u->id, strlen (u->id), u);
  return u;
}

struct history_vm *
history_vm_of (struct history *h, const char *id)
{
  struct history_vm *v;
  HASH_FIND_STR (h->vms, id, v);
  if (v)
    return v;
  v = history_allocate (h, offsetof (struct history_vm, id), id);
  if (!v)
    return NULL;
  v->up_us = INT64_MIN / 2;
  HASH_ADD_KEYPTR (hh, h->vms, v->id, strlen (v->id), v);
  return v;
}

struct history_record *
history_record_of (struct history *h, const char *id)
{
  struct history_record *r;
  HASH_FIND_STR (h->records, id, r);
  if (r)
    return r;
  r = history_allocate (h, offsetof (struct history_record, id), id);
  if (r)
    HASH_ADD_KEYPTR (hh, h->records, r->id, strlen (r->id), r);
  return r;
}

bool
history_grow (struct history *h, void **p, size_t count, size_t size)
{
  if (count & (count - 1))
    return true;
  size_t room = count ? 2 * count : 1;
  void *q = reallocarray (*p, room, size);
  if (!q)
    {
      h->out_of_memory = true;
      return false;
    }
  *p = q;
  return true;
}

void
history_add_fault (struct history *h, int64_t t)
{
  if (!history_grow (h, (void **)&h->faults, h->fault_count,
                     sizeof *h->faults))
    return;
  h->faults[h->fault_count++] = t;
}

bool
history_fault_between (const struct history *h, int64_t from, int64_t to)
{
  for (size_t i = 0; i < h->fault_count; i++)
    if (h->faults[i] >= from && h->faults[i] <= to)
      return true;
  return false;
}

bool
history_holds_flow (const struct history_flow *f,
                    const struct history_name *upstream)
{
  for (const struct history_holder *x = f->holders; x; x = x->next)
    if (x->upstream == upstream)
      return true;
  return false;
}

struct history_view *
history_view_of (struct history *h, struct history_vm *v,
                 struct history_record *r)
{
  for (struct history_view *w = v->views; w; w = w->next)
    if (w->record == r)
      return w;
  struct history_view *w = calloc (1, sizeof *w);
  if (!w)
    {
      h->out_of_memory = true;
      return NULL;
    }
  w->record = r;
  w->next = v->views;
  v->views = w;
  return w;
}

void
history_late_config (struct history *h, const struct history_vm *v,
                     const struct history_record *r,
                     const struct history_config *c, int64_t took)
{
  h->figures.config_late++;
  history_violate (
      h, 8, c->place, nowhere,
      "revision %llu of record %s not in force on vm %s after %lld ms",
      (unsigned long long)c->revision, r->id, v->id, (long long)(took / 1000));
}

int64_t
history_due_since (const struct history_vm *v, const struct history_config *c)
{
  return c->t_us > v->up_us ? c->t_us : v->up_us;
}

void
history_reach (struct history *h, const struct history_vm *v,
               struct history_view *w, int64_t t)
{
  const struct history_record *r = w->record;
  while (w->reached < r->config_count
         && r->configs[w->reached].revision <= w->revision)
    {
      const struct history_config *c = &r->configs[w->reached++];
      int64_t took = t - history_due_since (v, c);
      if (took < 0)
        took = 0;
      h->figures.spread_sum_us += took;
      h->figures.spread_count++;
      if (took > h->figures.spread_max_us)
        h->figures.spread_max_us = took;
      if (took > HISTORY_CONFIG_BOUND_US)
        history_late_config (h, v, r, c, took);
    }
}

void
history_init (struct history *h, const char *const *files)
{
  memset (h, 0, sizeof *h);
  h->files = files;
  h->silence_us = -1;
}

#define FREE_TABLE(type, head, ...) \
  do                                \
    {                               \
      struct type *x = head, *next; \
      HASH_CLEAR (hh, head);        \
      for (; x; x = next)           \
        {                           \
          next = x->hh.next;        \
          __VA_ARGS__;              \
          free (x);                 \
        }                           \
    }                               \
  while (0)

#define FREE_LIST(type, head)           \
  do                                    \
    {                                   \
      struct type *item = head, *after; \
      for (; item; item = after)        \
        {                               \
          after = item->next;           \
          free (item);                  \
        }                               \
    }                                   \
  while (0)

void
history_finish (struct history *h)
{
  FREE_TABLE (history_flow, h->flows, FREE_LIST (history_holder, x->holders));
  FREE_TABLE (history_request, h->requests, free (x->digest);
              FREE_LIST (history_done, x->done));
  FREE_TABLE (history_vm, h->vms, FREE_LIST (history_view, x->views));
  FREE_TABLE (history_record, h->records, free (x->configs));
  FREE_TABLE (history_upstream, h->upstreams, (void)0);
  FREE_TABLE (history_name, h->names, (void)0);
  for (int i = 0; i < HISTORY_PROMISES; i++)
    for (int j = 0; j < HISTORY_NAMED_MAX; j++)
      free (h->promises[i].named[j]);
  free (h->stops);
  free (h->faults);
}
