#include "io/yaml_file.h"

#include <errno.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"

#define LOG_LINE_SIZE 512
#define PATH_SIZE 96

/* What libcyaml logged about a failure: one message, then the enclosing
   fields from the inside out.  */
struct report
{
  char message[LOG_LINE_SIZE];
  char path[PATH_SIZE];
  bool skip_innermost; /* it is a neighbour of the field meant */
};

static bool
starts (const char *text, const char *with)
{
  return strncmp (text, with, strlen (with)) == 0;
}

/* Puts NAME, of LEN bytes, in front of the path.  */
static void
prepend (struct report *r, const char *name, size_t len, bool index)
{
  char joined[LOG_LINE_SIZE + PATH_SIZE + 4];
  const char *dot = r->path[0] && r->path[0] != '[' ? "." : "";
  int n = (int)(len < LOG_LINE_SIZE ? len : LOG_LINE_SIZE);

  if (index)
    snprintf (joined, sizeof joined, "[%.*s]%s%s", n, name, dot, r->path);
  else
    snprintf (joined, sizeof joined, "%.*s%s%s", n, name, dot, r->path);
  joined[PATH_SIZE - 1] = '\0';
  memcpy (r->path, joined, PATH_SIZE);
}

static void
take_place (struct report *r, const char *line)
{
  const char *quote = strstr (line, "field '");
  const char *bracket = strstr (line, "entry [");

  if (r->skip_innermost)
    {
      r->skip_innermost = false;
      return;
    }
  if (quote)
    {
      quote += strlen ("field '");
      prepend (r, quote, strcspn (quote, "'"), false);
    }
  else if (bracket)
    {
      bracket += strlen ("entry [");
      prepend (r, bracket, strcspn (bracket, "]"), true);
    }
}

static void
take_message (struct report *r, const char *text)
{
  static const char missing[] = "Missing required mapping field: ";
  static const char unknown[] = "Unexpected key: ";
  const char *name;

  if (r->message[0])
    return;
  snprintf (r->message, sizeof r->message, "%s", text);
  if (starts (text, missing))
    name = text + strlen (missing);
  else if (starts (text, unknown))
    name = text + strlen (unknown);
  else
    return;
  prepend (r, name, strlen (name), false);
  r->skip_innermost = true;
}

static void
take_log (cyaml_log_t level, void *ctx, const char *format, va_list args)
{
  struct report *r = ctx;
  char line[LOG_LINE_SIZE];

  if (level < CYAML_LOG_ERROR)
    return;
  vsnprintf (line, sizeof line, format, args);
  line[strcspn (line, "\n")] = '\0';
  if (strstr (line, "(line: "))
    take_place (r, line);
  else if (!strstr (line, "Backtrace"))
    take_message (r, starts (line, "Load: ") ? line + 6 : line);
}

static cyaml_config_t
make_config (struct report *r)
{
  cyaml_config_t c = { .log_fn = take_log,
                       .log_ctx = r,
                       .mem_fn = cyaml_mem,
                       .log_level = CYAML_LOG_ERROR,
                       .flags = CYAML_CFG_NO_ALIAS };

  return c;
}

static int
map_error (cyaml_err_t err)
{
  switch (err)
    {
    case CYAML_OK:
      return AM_OK;
    case CYAML_ERR_OOM:
      return AM_E_MEMORY;
    case CYAML_ERR_INVALID_KEY:
      return AM_E_FIELD_UNKNOWN;
    case CYAML_ERR_MAPPING_FIELD_MISSING:
      return AM_E_FIELD_MISSING;
    case CYAML_ERR_INVALID_VALUE:
      return AM_E_FIELD_TYPE;
    case CYAML_ERR_STRING_LENGTH_MIN:
    case CYAML_ERR_STRING_LENGTH_MAX:
    case CYAML_ERR_SEQUENCE_ENTRIES_MIN:
    case CYAML_ERR_SEQUENCE_ENTRIES_MAX:
      return AM_E_FIELD_RANGE;
    default:
      return AM_E_FORMAT;
    }
}

static int
fail_io (struct am_fault *f)
{
  memset (f, 0, sizeof *f);
  f->error = AM_E_IO;
  snprintf (f->allowed, sizeof f->allowed, "%s", strerror (errno));
  return AM_E_IO;
}

static int
check_text (const char *text, size_t len, struct am_fault *f)
{
  if (len > 0)
    return am_text_check (text, len, f);
  memset (f, 0, sizeof *f);
  f->error = AM_E_SHORT;
  snprintf (f->allowed, sizeof f->allowed, "file is empty");
  return AM_E_SHORT;
}

int
am_file_read (const char *file, char **text, size_t *len, struct am_fault *f)
{
  FILE *in = fopen (file, "r");
  char *buf;
  int err;

  *text = NULL;
  *len = 0;
  if (!in)
    return fail_io (f);
  buf = calloc (1, AM_RECORD_TEXT_MAX + 2);
  if (buf)
    *len = fread (buf, 1, AM_RECORD_TEXT_MAX + 1, in);
  if (!buf)
    err = f->error = AM_E_MEMORY;
  else if (ferror (in))
    err = fail_io (f);
  else
    err = check_text (buf, *len, f);
  fclose (in);
  if (err)
    free (buf);
  else
    *text = buf;
  return err;
}

static int
load_text (const char *text, size_t len, const cyaml_schema_value_t *schema,
           void **data, struct am_fault *f)
{
  struct report r = { 0 };
  cyaml_config_t config = make_config (&r);
  int err = am_yaml_check (text, len, f);

  if (err)
    return err;
  err = map_error (cyaml_load_data ((const uint8_t *)text, len, &config,
                                    schema, data, NULL));
  if (!err && !*data)
    err = AM_E_FORMAT;
  if (!err)
    return AM_OK;
  memset (f, 0, sizeof *f);
  f->error = err;
  f->line = am_record_yaml_line (text, len, r.path);
  memcpy (f->field, r.path, sizeof r.path);
  if (err != AM_E_FIELD_UNKNOWN && err != AM_E_FIELD_MISSING)
    snprintf (f->allowed, sizeof f->allowed, "%.*s",
              (int)sizeof f->allowed - 1, r.message);
  return err;
}

int
am_yaml_file_load (const char *file, const cyaml_schema_value_t *schema,
                   void **data, char **text, struct am_fault *f)
{
  size_t len;
  int err = am_file_read (file, text, &len, f);

  *data = NULL;
  if (err)
    return err;
  err = load_text (*text, len, schema, data, f);
  if (err)
    {
      free (*text);
      *text = NULL;
      *data = NULL;
    }
  return err;
}

void
am_yaml_file_free (const cyaml_schema_value_t *schema, void *data)
{
  struct report unused = { 0 };
  cyaml_config_t config = make_config (&unused);

  if (data)
    cyaml_free (&config, schema, data, 0);
}

void
am_file_relative (const char *base_file, const char *path, char *out,
                  size_t size)
{
  const char *slash = strrchr (base_file, '/');

  if (path[0] == '/' || !slash)
    snprintf (out, size, "%s", path);
  else
    snprintf (out, size, "%.*s/%s", (int)(slash - base_file), base_file, path);
}
