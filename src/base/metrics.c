#include "base/metrics.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PREFIX "amaranth_"
#define TEXT_START 4096
#define FIRST_BOUND_NS 1000u
#define NANOSECONDS 1e9

void
am_metrics_text_init (struct am_metrics_text *t)
{
  memset (t, 0, sizeof *t);
}

void
am_metrics_text_finish (struct am_metrics_text *t)
{
  free (t->data);
  memset (t, 0, sizeof *t);
}

static bool
reserve (struct am_metrics_text *t, size_t more)
{
  size_t size = t->size ? t->size : TEXT_START;
  char *grown;

  while (size < t->len + more)
    size *= 2;
  if (size == t->size)
    return true;
  grown = realloc (t->data, size);
  if (!grown)
    return false;
  t->data = grown;
  t->size = size;
  return true;
}

__attribute__ ((format (printf, 2, 3))) static void
append (struct am_metrics_text *t, const char *format, ...)
{
  va_list ap;
  int n;

  va_start (ap, format);
  n = vsnprintf (NULL, 0, format, ap);
  va_end (ap);
  if (t->failed || n < 0 || !reserve (t, (size_t)n + 1))
    {
      t->failed = true;
      return;
    }
  va_start (ap, format);
  vsnprintf (t->data + t->len, (size_t)n + 1, format, ap);
  va_end (ap);
  t->len += (size_t)n;
}

static void
append_name (struct am_metrics_text *t, const struct am_metric_info *m)
{
  append (t, PREFIX "%s", m->name);
  if (m->unit[0])
    append (t, "_%s", m->unit);
  if (m->type == AM_METRIC_COUNTER)
    append (t, "_total");
}

void
am_metrics_head (struct am_metrics_text *t, const struct am_metric_info *m)
{
  static const char *const types[] = { "counter", "gauge", "histogram" };

  append (t, "# HELP ");
  append_name (t, m);
  append (t, " %s\n# TYPE ", m->help);
  append_name (t, m);
  append (t, " %s\n", types[m->type]);
}

void
am_metrics_value (struct am_metrics_text *t, const struct am_metric_info *m,
                  const char *labels, double value)
{
  append_name (t, m);
  if (labels)
    append (t, "{%s}", labels);
  append (t, " %.17g\n", value);
}

void
am_histogram_add (struct am_histogram *h, uint64_t ns)
{
  uint64_t bound = FIRST_BOUND_NS;
  int i = 0;

  while (i < AM_HISTOGRAM_BUCKETS && ns > bound)
    {
      bound *= 2;
      i++;
    }
  h->counts[i]++;
  h->total++;
  h->sum_ns += ns;
}

void
am_metrics_histogram (struct am_metrics_text *t,
                      const struct am_metric_info *m, const char *labels,
                      const struct am_histogram *h)
{
  uint64_t bound = FIRST_BOUND_NS;
  uint64_t below = 0;
  const char *comma = labels ? "," : "";

  if (!labels)
    labels = "";
  for (int i = 0; i < AM_HISTOGRAM_BUCKETS; i++)
    {
      below += h->counts[i];
      append_name (t, m);
      append (t, "_bucket{%s%sle=\"%g\"} %" PRIu64 "\n", labels, comma,
              (double)bound / NANOSECONDS, below);
      bound *= 2;
    }
  append_name (t, m);
  append (t, "_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n", labels, comma,
          h->total);
  append_name (t, m);
  append (t, "_sum{%s} %.9g\n", labels, (double)h->sum_ns / NANOSECONDS);
  append_name (t, m);
  append (t, "_count{%s} %" PRIu64 "\n", labels, h->total);
}
