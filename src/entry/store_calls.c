#include "entry/store_calls.h"

#include <stdio.h>

#include "base/error.h"

#define LABELS_SIZE 80

static const char *const call_labels[] = {
#define CALL_LABEL(symbol, label) [symbol] = label,
  AM_STORE_CALL_LIST (CALL_LABEL)
#undef CALL_LABEL
};

static const char *const outcome_labels[] = {
#define OUTCOME_LABEL(symbol, label) [symbol] = label,
  AM_STORE_OUTCOME_LIST (OUTCOME_LABEL)
#undef OUTCOME_LABEL
};

enum am_store_outcome
am_store_outcome_of (int error)
{
  switch (error)
    {
    case AM_OK:
      return AM_STORE_OUTCOME_OK;
    case AM_E_EXPIRED:
      return AM_STORE_OUTCOME_EXPIRED;
    case AM_E_STORE:
      return AM_STORE_OUTCOME_REFUSED;
    case AM_E_TIMEOUT:
      return AM_STORE_OUTCOME_TIMEOUT;
    case AM_E_CONNECTION:
      return AM_STORE_OUTCOME_CONNECTION;
    default:
      return AM_STORE_OUTCOME_MALFORMED;
    }
}

void
am_store_calls_add (struct am_store_calls *c, enum am_store_call_type call,
                    enum am_store_outcome outcome)
{
  c->counts[call][outcome]++;
}

void
am_store_calls_render (const struct am_store_calls *c,
                       struct am_metrics_text *t)
{
  struct am_metric_info m = { .name = "store_calls",
                              .type = AM_METRIC_COUNTER,
                              .unit = "",
                              .help = "Calls to the store that have ended." };
  char labels[LABELS_SIZE];

  am_metrics_head (t, &m);
  for (int i = 0; i < AM_STORE_CALL_COUNT; i++)
    for (int j = 0; j < AM_STORE_OUTCOME_COUNT; j++)
      {
        snprintf (labels, sizeof labels, "kind=\"%s\",outcome=\"%s\"",
                  call_labels[i], outcome_labels[j]);
        am_metrics_value (t, &m, labels, (double)c->counts[i][j]);
      }
}
