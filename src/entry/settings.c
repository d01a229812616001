#include "entry/settings.h"

#include <cyaml/cyaml.h>
#include <limits.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "flow/fleet.h"
#include "io/yaml_file.h"
#include "record/fields.h"

#define STOP_DEFAULT_S 6
#define CROSSING_COST_MAX_MS 60000
/* The process ends this much before stop_s, at which the platform kills it. */
#define STOP_MARGIN_MS 500

/* The YAML file before conversion.  */
struct file_vm
{
  char *name;
  char *data_centre;
};

struct file_listen
{
  char *packets;
  char *readiness;
  char *peers;
  char *metrics;
};

struct file
{
  struct file_vm vm;
  struct file_listen listen;
  char *store;
  char **seeds;
  unsigned seeds_count;
  uint32_t stop_s;
  double link_mbps;
  char *warm_up_overage;
  char *warm_up_slack;
  uint32_t *crossing_cost_ms;
};

/* What a template begins a placeholder with.  One that it did not fill in
   states nothing, and nor does what JSON has for no value.  */
#define PLACEHOLDER "{{"
#define NO_VALUE "null"

/* A number that may be empty: templates have no way to leave a line out.  */
#define NUMBER(type, member)                                                 \
  CYAML_FIELD_STRING_PTR (#member, CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, \
                          type, member, 0, PATH_MAX)

#define TEXT(flags, type, member)                                      \
  CYAML_FIELD_STRING_PTR (#member, CYAML_FLAG_POINTER | (flags), type, \
                          member, 1, PATH_MAX)

static const cyaml_schema_field_t vm_fields[]
    = { TEXT (0, struct file_vm, name), TEXT (0, struct file_vm, data_centre),
        CYAML_FIELD_END };

static const cyaml_schema_field_t listen_fields[] = {
  TEXT (0, struct file_listen, packets),
  TEXT (0, struct file_listen, readiness), TEXT (0, struct file_listen, peers),
  TEXT (CYAML_FLAG_OPTIONAL, struct file_listen, metrics), CYAML_FIELD_END
};

static const cyaml_schema_value_t seed_value
    = { CYAML_VALUE_STRING (CYAML_FLAG_POINTER, char, 1, PATH_MAX) };

static const cyaml_schema_field_t root_fields[] = {
  CYAML_FIELD_MAPPING ("vm", CYAML_FLAG_DEFAULT, struct file, vm, vm_fields),
  CYAML_FIELD_MAPPING ("listen", CYAML_FLAG_DEFAULT, struct file, listen,
                       listen_fields),
  TEXT (CYAML_FLAG_OPTIONAL, struct file, store),
  CYAML_FIELD_SEQUENCE ("seeds", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                        struct file, seeds, &seed_value, 0,
                        AM_ENTRY_SEEDS_MAX),
  CYAML_FIELD_FLOAT ("link_mbps", CYAML_FLAG_OPTIONAL, struct file, link_mbps),
  CYAML_FIELD_UINT ("stop_s", CYAML_FLAG_OPTIONAL, struct file, stop_s),
  NUMBER (struct file, warm_up_overage),
  NUMBER (struct file, warm_up_slack),
  CYAML_FIELD_UINT_PTR ("crossing_cost_ms",
                        CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, struct file,
                        crossing_cost_ms),
  CYAML_FIELD_END
};

static const cyaml_schema_value_t root_value
    = { CYAML_VALUE_MAPPING (CYAML_FLAG_POINTER, struct file, root_fields) };

/* Parses TEXT into *A; if TEXT is NULL, *A stays as it is.  */
static int
read_address (struct am_address *a, const char *text, const char *field,
              struct am_fault *f)
{
  if (text && am_address_parse (a, text))
    return am_fault_set (f, AM_E_FIELD_VALUE, field, "A.B.C.D:PORT");
  return AM_OK;
}

static int
read_addresses (struct am_entry_settings *s, const struct file *file,
                struct am_fault *f)
{
  int err
      = read_address (&s->packets, file->listen.packets, "listen.packets", f);

  if (!err)
    err = read_address (&s->readiness, file->listen.readiness,
                        "listen.readiness", f);
  if (!err)
    err = read_address (&s->peers, file->listen.peers, "listen.peers", f);
  if (!err)
    err = read_address (&s->metrics, file->listen.metrics, "listen.metrics",
                        f);
  if (!err)
    err = read_address (&s->store, file->store, "store", f);
  for (unsigned i = 0; !err && i < file->seeds_count; i++)
    {
      err = read_address (&s->seeds[i], file->seeds[i], "seeds", f);
      s->seed_count = i + 1;
    }
  return err;
}

/* Returns true if TEXT, which may be NULL, states a number.  */
static bool
is_stated (const char *text)
{
  return text && *text && strcmp (text, NO_VALUE) != 0
         && strncmp (text, PLACEHOLDER, strlen (PLACEHOLDER)) != 0;
}

/* Sets *X to the number that TEXT states, if it states one.  Returns AM_OK, or
   AM_E_FIELD_VALUE if it is no finite number.  */
static int
read_number (double *x, const char *text)
{
  char *end;

  if (!is_stated (text))
    return AM_OK;
  *x = strtod (text, &end);
  return *end || !isfinite (*x) ? AM_E_FIELD_VALUE : AM_OK;
}

static int
read_warm_up (struct am_warm_up_bounds *b, const struct file *file,
              struct am_fault *f)
{
  if (read_number (&b->slack, file->warm_up_slack) || b->slack < 0)
    return am_fault_set (f, AM_E_FIELD_RANGE, "warm_up_slack",
                         "requests, 0 or more");
  b->stated = is_stated (file->warm_up_overage);
  if (read_number (&b->overage, file->warm_up_overage)
      || (b->stated && b->overage <= 0))
    return am_fault_set (f, AM_E_FIELD_RANGE, "warm_up_overage",
                         "factor, more than 0");
  return AM_OK;
}

static int
apply_file (struct am_entry_settings *s, const struct file *file,
            struct am_fault *f)
{
  uint32_t stop_s = file->stop_s ? file->stop_s : STOP_DEFAULT_S;

  if (strlen (file->vm.name) >= AM_FLEET_NAME_SIZE)
    return am_fault_set (f, AM_E_FIELD_RANGE, "vm.name", "up to 63 bytes");
  if (stop_s > UINT32_MAX / 1000)
    return am_fault_set (f, AM_E_FIELD_RANGE, "stop_s",
                         "seconds, 1 to 4294967");
  if (file->link_mbps < 0 || file->link_mbps > UINT32_MAX)
    return am_fault_set (f, AM_E_FIELD_RANGE, "link_mbps",
                         "megabits per second");
  s->link_mbps = (uint32_t)file->link_mbps;
  s->stop_ms = stop_s * 1000 - STOP_MARGIN_MS;
  if (file->crossing_cost_ms)
    s->crossing_cost_ms = *file->crossing_cost_ms;
  if ((file->crossing_cost_ms && !s->crossing_cost_ms)
      || s->crossing_cost_ms > CROSSING_COST_MAX_MS)
    return am_fault_set (f, AM_E_FIELD_RANGE, "crossing_cost_ms",
                         "milliseconds, 1 to 60000");
  if (read_warm_up (&s->warm_up, file, f))
    return f->error;
  return read_addresses (s, file, f);
}

int
am_entry_settings_load (struct am_entry_settings *s, const char *path,
                        struct am_fault *f)
{
  struct file *file;
  char *text;
  void *data;
  int err;

  memset (s, 0, sizeof *s);
  err = am_yaml_file_load (path, &root_value, &data, &text, f);
  if (err)
    return err;
  file = data;
  err = apply_file (s, file, f);
  if (!err)
    {
      s->name = strdup (file->vm.name);
      s->data_centre = strdup (file->vm.data_centre);
      if (!s->name || !s->data_centre)
        err = am_fault_set (f, AM_E_MEMORY, "vm", "");
    }
  if (err)
    am_entry_settings_finish (s);
  am_yaml_file_free (&root_value, data);
  free (text);
  return err;
}

void
am_entry_settings_finish (struct am_entry_settings *s)
{
  free (s->name);
  free (s->data_centre);
  s->name = NULL;
  s->data_centre = NULL;
}
