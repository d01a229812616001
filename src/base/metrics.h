/* Metrics: descriptions, histograms and their text in the Prometheus
   exposition format, version 0.0.4.  */

#ifndef AM_BASE_METRICS_H
#define AM_BASE_METRICS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum am_metric_type
{
  AM_METRIC_COUNTER,
  AM_METRIC_GAUGE,
  AM_METRIC_HISTOGRAM,
};

struct am_metric_info
{
  const char *name; /* without prefix and unit: "packets_in" */
  enum am_metric_type type;
  const char *unit; /* "" or a base unit: "seconds", "bytes" */
  const char *help;
};

/* Text under construction.  An allocation failure sets FAILED and drops what
   follows.  */
struct am_metrics_text
{
  char *data; /* owned; NUL-terminated if LEN > 0 */
  size_t len;
  size_t size;
  bool failed;
};

void am_metrics_text_init (struct am_metrics_text *t);
void am_metrics_text_finish (struct am_metrics_text *t);

/* Appends HELP and TYPE of M.  Its values must follow at once.  */
void am_metrics_head (struct am_metrics_text *t,
                      const struct am_metric_info *m);

/* Appends one value of M.  LABELS is NULL or text such as "a=\"b\"".  */
void am_metrics_value (struct am_metrics_text *t,
                       const struct am_metric_info *m, const char *labels,
                       double value);

/* Durations in buckets that double from 1 microsecond; the last bound, 8.4 s,
   is above the default deadline of a request, 5 s.  */
#define AM_HISTOGRAM_BUCKETS 24

struct am_histogram
{
  uint64_t counts[AM_HISTOGRAM_BUCKETS + 1]; /* the last: above all bounds */
  uint64_t total;
  uint64_t sum_ns;
};

/* Counts one duration in nanoseconds.  */
void am_histogram_add (struct am_histogram *h, uint64_t ns);

/* Appends the histogram H of M, whose unit is seconds, under LABELS, which
   may be NULL.  */
void am_metrics_histogram (struct am_metrics_text *t,
                           const struct am_metric_info *m, const char *labels,
                           const struct am_histogram *h);

#endif
