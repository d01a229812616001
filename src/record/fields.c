#include "record/fields.h"

#include <stdio.h>
#include <string.h>

#define IN_1 (1u << 1)
#define IN_2 (1u << 2)
#define IN_BOTH (IN_1 | IN_2)

struct field
{
  enum am_level level;
  const char *name;
  unsigned schemas;
};

static const struct field fields[] = {
  { AM_LEVEL_SERVICE, "schema", IN_BOTH },
  { AM_LEVEL_SERVICE, "kind", IN_BOTH },
  { AM_LEVEL_SERVICE, "name", IN_BOTH },
  { AM_LEVEL_SERVICE, "revision", IN_BOTH },
  { AM_LEVEL_SERVICE, "write_id", IN_BOTH },
  { AM_LEVEL_SERVICE, "retired", IN_BOTH },
  { AM_LEVEL_SERVICE, "retired_at", IN_BOTH },
  { AM_LEVEL_SERVICE, "region", IN_BOTH },
  { AM_LEVEL_SERVICE, "address", IN_BOTH },
  { AM_LEVEL_SERVICE, "upstreams", IN_BOTH },
  { AM_LEVEL_SERVICE, "request", IN_1 },
  { AM_LEVEL_SERVICE, "deadline_ms", IN_1 },
  { AM_LEVEL_SERVICE, "binding", IN_2 },
  { AM_LEVEL_SERVICE, "objective", IN_2 },
  { AM_LEVEL_SERVICE, "policy", IN_2 },
  { AM_LEVEL_SERVICE, "liveness", IN_2 },
  { AM_LEVEL_SERVICE, "slow_start_ms", IN_2 },
  { AM_LEVEL_SERVICE, "open_rate", IN_2 },
  { AM_LEVEL_SERVICE, "retry_budget", IN_2 },
  { AM_LEVEL_SERVICE, "lending", IN_2 },
  { AM_LEVEL_SERVICE, "classes", IN_2 },
  { AM_LEVEL_KEYS, "schema", IN_BOTH },
  { AM_LEVEL_KEYS, "kind", IN_BOTH },
  { AM_LEVEL_KEYS, "name", IN_BOTH },
  { AM_LEVEL_KEYS, "revision", IN_BOTH },
  { AM_LEVEL_KEYS, "write_id", IN_BOTH },
  { AM_LEVEL_KEYS, "keys", IN_BOTH },
  { AM_LEVEL_LIVENESS, "ping_interval_ms", IN_2 },
  { AM_LEVEL_LIVENESS, "misses", IN_2 },
  { AM_LEVEL_UPSTREAM, "name", IN_BOTH },
  { AM_LEVEL_UPSTREAM, "address", IN_BOTH },
  { AM_LEVEL_UPSTREAM, "data_centre", IN_BOTH },
  { AM_LEVEL_UPSTREAM, "incarnation", IN_BOTH },
  { AM_LEVEL_UPSTREAM, "state", IN_BOTH },
  { AM_LEVEL_UPSTREAM, "retired_at", IN_BOTH },
  { AM_LEVEL_UPSTREAM, "slots", IN_BOTH },
  { AM_LEVEL_UPSTREAM, "connections", IN_BOTH },
  { AM_LEVEL_UPSTREAM, "weight", IN_2 },
  { AM_LEVEL_CLASS, "id", IN_BOTH },
  { AM_LEVEL_CLASS, "kind", IN_BOTH },
  { AM_LEVEL_CLASS, "deadline_ms", IN_BOTH },
  { AM_LEVEL_CLASS, "name", IN_2 },
  { AM_LEVEL_CLASS, "weight", IN_2 },
  { AM_LEVEL_CLASS, "priority", IN_2 },
  { AM_LEVEL_CLASS, "queue_limit", IN_2 },
  { AM_LEVEL_KEY, "id", IN_BOTH },
  { AM_LEVEL_KEY, "secret", IN_BOTH },
  { AM_LEVEL_KEY, "state", IN_BOTH },
  { AM_LEVEL_KEY, "verify_since", IN_BOTH },
};

static const struct
{
  enum am_level level;
  const char *field;
  const char *identity;
  enum am_level element;
} lists[] = {
  { AM_LEVEL_SERVICE, "upstreams", "name", AM_LEVEL_UPSTREAM },
  { AM_LEVEL_SERVICE, "classes", "id", AM_LEVEL_CLASS },
  { AM_LEVEL_KEYS, "keys", "id", AM_LEVEL_KEY },
};

bool
am_fields_known (enum am_level level, const char *name, uint32_t schema)
{
  for (size_t i = 0; i < sizeof fields / sizeof fields[0]; i++)
    if (fields[i].level == level && strcmp (fields[i].name, name) == 0)
      return (fields[i].schemas & 1u << schema) != 0;
  return false;
}

const char *
am_fields_identity (enum am_level level, const char *field,
                    enum am_level *element)
{
  for (size_t i = 0; i < sizeof lists / sizeof lists[0]; i++)
    if (lists[i].level == level && strcmp (lists[i].field, field) == 0)
      {
        *element = lists[i].element;
        return lists[i].identity;
      }
  return NULL;
}

int
am_fault_set (struct am_fault *f, int error, const char *field,
              const char *allowed)
{
  char copy[sizeof f->field];

  snprintf (copy, sizeof copy, "%s", field);
  memset (f, 0, sizeof *f);
  f->error = error;
  memcpy (f->field, copy, sizeof copy);
  snprintf (f->allowed, sizeof f->allowed, "%s", allowed);
  return error;
}

void
am_fields_path (char *buf, size_t size, const char *prefix, const char *name)
{
  snprintf (buf, size, "%s%s%s", prefix, prefix[0] && name[0] ? "." : "",
            name);
}
