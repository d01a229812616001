#include "forwarder/decision_log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"

#define KIND_PREFIX "event="
#define SECOND_US 1000000u
#define REQUEST_SIZE 40

int
am_decision_log_init (struct am_decision_log *d, struct am_log *log,
                      bool write)
{
  memset (d, 0, sizeof *d);
  d->log = log;
  d->write = write;
  d->ring = calloc (AM_DECISION_RING_SIZE, sizeof *d->ring);
  return d->ring ? AM_OK : AM_E_MEMORY;
}

void
am_decision_log_finish (struct am_decision_log *d)
{
  free (d->ring);
  d->ring = NULL;
}

static struct am_decision_kind *
find_kind (struct am_decision_log *d, const char *text)
{
  char name[AM_DECISION_KIND_SIZE];
  const char *from = strncmp (text, KIND_PREFIX, strlen (KIND_PREFIX)) == 0
                         ? text + strlen (KIND_PREFIX)
                         : text;
  struct am_decision_kind *k;

  snprintf (name, sizeof name, "%.*s", (int)strcspn (from, " "), from);
  for (size_t i = 0; i < d->kind_count; i++)
    if (strcmp (d->kinds[i].name, name) == 0)
      return &d->kinds[i];
  if (d->kind_count == AM_DECISION_KINDS_MAX)
    return &d->kinds[AM_DECISION_KINDS_MAX - 1];
  k = &d->kinds[d->kind_count++];
  memcpy (k->name, name, sizeof name);
  k->limiter.limit = AM_DECISION_RATE;
  return k;
}

static void
report_held_back (struct am_decision_log *d, const char *kind, uint32_t lines)
{
  if (lines)
    am_log_line (d->log, AM_LOG_INFO, "event=held_back kind=%s lines=%u", kind,
                 lines);
}

void
am_decision_log_add (struct am_decision_log *d, uint64_t now_us, uint64_t tag,
                     const char *text, size_t len)
{
  struct am_decision_line *line = &d->ring[d->next];
  struct am_decision_kind *kind;
  uint32_t held_back;
  bool allowed;

  line->tag = tag;
  snprintf (line->text, sizeof line->text, "%.*s", (int)len, text);
  d->next = (d->next + 1) % AM_DECISION_RING_SIZE;
  if (d->count < AM_DECISION_RING_SIZE)
    d->count++;
  if (!d->write || d->log->level < AM_LOG_INFO)
    return;
  kind = find_kind (d, line->text);
  allowed = am_log_allow (&kind->limiter, now_us, &held_back);
  report_held_back (d, kind->name, held_back);
  if (allowed)
    am_log_line (d->log, AM_LOG_INFO, "%s", line->text);
}

void
am_decision_log_tick (struct am_decision_log *d, uint64_t now_us)
{
  for (size_t i = 0; i < d->kind_count; i++)
    {
      struct am_log_limiter *l = &d->kinds[i].limiter;

      if (now_us - l->window_start_us < SECOND_US)
        continue;
      report_held_back (d, d->kinds[i].name, l->held_back);
      l->held_back = 0;
    }
}

static bool
is_about (const struct am_decision_line *l, uint64_t id, const char *request)
{
  const char *at = strstr (l->text, request);
  char end = at ? at[strlen (request)] : 'x';

  return l->tag == id || end == ' ' || end == '\0';
}

size_t
am_decision_log_find (const struct am_decision_log *d, uint64_t id,
                      const char **lines, size_t max)
{
  size_t first = d->count < AM_DECISION_RING_SIZE ? 0 : d->next;
  char request[REQUEST_SIZE];
  size_t n = 0;

  snprintf (request, sizeof request, " request=%llu", (unsigned long long)id);
  for (size_t i = 0; i < d->count && n < max; i++)
    {
      const struct am_decision_line *l
          = &d->ring[(first + i) % AM_DECISION_RING_SIZE];

      if (is_about (l, id, request))
        lines[n++] = l->text;
    }
  return n;
}
