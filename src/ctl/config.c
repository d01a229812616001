#include <limits.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "ctl/ctl.h"
#include "io/settings.h"
#include "io/yaml_file.h"

#define LINE_SIZE 1024

struct config
{
  char *store;
  char **agents;
  unsigned agents_count;
  char *peer_key;
  uint32_t timeout_ms;
  uint32_t store_timeout_ms;
};

static const cyaml_schema_value_t agent_value
    = { CYAML_VALUE_STRING (CYAML_FLAG_POINTER, char, 1, PATH_MAX) };

static const cyaml_schema_field_t fields[] = {
  CYAML_FIELD_STRING_PTR ("store", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                          struct config, store, 1, PATH_MAX),
  CYAML_FIELD_SEQUENCE ("agents", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                        struct config, agents, &agent_value, 0,
                        CTL_AGENTS_MAX),
  CYAML_FIELD_STRING_PTR ("peer_key", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                          struct config, peer_key, 1, PATH_MAX),
  CYAML_FIELD_UINT ("timeout_ms", CYAML_FLAG_OPTIONAL, struct config,
                    timeout_ms),
  CYAML_FIELD_UINT ("store_timeout_ms", CYAML_FLAG_OPTIONAL, struct config,
                    store_timeout_ms),
  CYAML_FIELD_END
};

static const cyaml_schema_value_t root
    = { CYAML_VALUE_MAPPING (CYAML_FLAG_POINTER, struct config, fields) };

static int
refuse (struct am_fault *f, int error, const char *field, const char *allowed)
{
  f->error = error;
  snprintf (f->field, sizeof f->field, "%s", field);
  snprintf (f->allowed, sizeof f->allowed, "%s", allowed);
  return error;
}

static int
check (const struct config *config, struct am_fault *f)
{
  if (config->store && strncmp (config->store, "http://", 7) != 0
      && strncmp (config->store, "https://", 8) != 0)
    return refuse (f, AM_E_FIELD_VALUE, "store", "http:// or https:// URL");
  if (config->timeout_ms > CTL_TIMEOUT_MAX_MS)
    return refuse (f, AM_E_FIELD_RANGE, "timeout_ms", "1 to 86400000");
  if (config->store_timeout_ms > CTL_TIMEOUT_MAX_MS)
    return refuse (f, AM_E_FIELD_RANGE, "store_timeout_ms", "1 to 86400000");
  for (unsigned i = 0; i < config->agents_count; i++)
    {
      struct am_address a;
      char field[32];

      snprintf (field, sizeof field, "agents[%u]", i);
      if (am_address_parse (&a, config->agents[i]))
        return refuse (f, AM_E_FIELD_VALUE, field, "A.B.C.D:PORT");
    }
  return AM_OK;
}

/* The command line comes before the file.  */
static int
take (struct ctl *c, const char *file, const struct config *config)
{
  char path[PATH_MAX];

  for (unsigned i = 0; i < config->agents_count && !c->agents_named; i++)
    am_address_parse (&c->agents[c->agent_count++], config->agents[i]);
  if (!c->timeout_ms)
    c->timeout_ms = config->timeout_ms;
  if (config->store_timeout_ms)
    c->store_timeout_ms = config->store_timeout_ms;
  if (config->store && !c->store_url)
    {
      c->store_url = strdup (config->store);
      if (!c->store_url)
        return AM_E_MEMORY;
    }
  if (config->peer_key && !c->key_file)
    {
      am_file_relative (file, config->peer_key, path, sizeof path);
      c->key_file = strdup (path);
      if (!c->key_file)
        return AM_E_MEMORY;
    }
  return AM_OK;
}

int
ctl_config_read (struct ctl *c, const char *file)
{
  struct am_fault f;
  void *data;
  char *text;
  int err = am_yaml_file_load (file, &root, &data, &text, &f);

  if (err)
    return ctl_fail_fault (c, file, &f);
  err = check (data, &f);
  if (err)
    {
      f.line = am_record_yaml_line (text, strlen (text), f.field);
      ctl_fail_fault (c, file, &f);
    }
  else
    err = take (c, file, data);
  am_yaml_file_free (&root, data);
  free (text);
  return err;
}

int
ctl_need_agents (struct ctl *c)
{
  int err;

  if (c->agent_count == 0)
    return ctl_fail (c, AM_E_ARGUMENT,
                     "no agent is named; use --agent or --config");
  if (!c->key_file)
    return ctl_fail (c, AM_E_ARGUMENT,
                     "no peer key is named; use --peer-key or --config");
  err = am_peer_key_read (c->key_file, c->key);
  if (err == AM_E_FORMAT)
    return ctl_fail (c, err, "%s: not a key of 64 hexadecimal digits",
                     c->key_file);
  if (err == AM_E_IO)
    return ctl_fail (c, err, "%s: peer key cannot be read", c->key_file);
  return err ? ctl_fail (c, err, "%s: %s", c->key_file, am_error_text (err))
             : AM_OK;
}

int
ctl_need_store (struct ctl *c)
{
  if (c->store_url)
    return AM_OK;
  return ctl_fail (c, AM_E_ARGUMENT,
                   "no store is named; use --store or --config");
}

void
ctl_say (const struct ctl *c, const char *format, ...)
{
  va_list ap;

  if (c->json)
    return;
  va_start (ap, format);
  vprintf (format, ap);
  va_end (ap);
  putchar ('\n');
}

void
ctl_note (const struct ctl *c, const char *format, ...)
{
  va_list ap;

  if (c->json)
    return;
  va_start (ap, format);
  vfprintf (stderr, format, ap);
  va_end (ap);
  fputc ('\n', stderr);
}

int
ctl_fail (struct ctl *c, int error, const char *format, ...)
{
  char line[LINE_SIZE];
  va_list ap;

  va_start (ap, format);
  vsnprintf (line, sizeof line, format, ap);
  va_end (ap);
  fprintf (stderr, "amaranthctl: %s\n", line);
  if (!json_object_get (c->result, "error"))
    {
      ctl_result (c, "error", json_string (am_error_name (error)));
      ctl_result (c, "message", json_string (line));
    }
  return error;
}

int
ctl_no_memory (struct ctl *c)
{
  return ctl_fail (c, AM_E_MEMORY, "%s", am_error_text (AM_E_MEMORY));
}

int
ctl_fail_fault (struct ctl *c, const char *file, const struct am_fault *f)
{
  char line[LINE_SIZE];

  am_fault_format (f, file, line, sizeof line);
  return ctl_fail (c, f->error, "%s", line);
}

void
ctl_result (struct ctl *c, const char *name, json_t *value)
{
  json_object_set_new (c->result, name, value);
}
