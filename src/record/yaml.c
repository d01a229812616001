#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <yaml.h>

#include "base/error.h"
#include "record/fields.h"

#define DEPTH_MAX 8
#define PATH_SIZE 160

struct reader
{
  yaml_parser_t parser;
  json_t *lines;
  struct am_fault *fault;
};

static int read_value (struct reader *r, const char *path, unsigned depth,
                       json_t **out);

static int
fail (struct reader *r, int error, const char *path, unsigned line,
      const char *detail)
{
  am_fault_set (r->fault, error, path, detail);
  r->fault->line = line;
  return error;
}

static unsigned
line_of (const yaml_event_t *event)
{
  return (unsigned)event->start_mark.line + 1;
}

static int
next (struct reader *r, yaml_event_t *event)
{
  const char *problem;

  if (yaml_parser_parse (&r->parser, event))
    return AM_OK;
  if (r->parser.error == YAML_MEMORY_ERROR)
    return fail (r, AM_E_MEMORY, "", 0, "");
  problem = r->parser.problem ? r->parser.problem : "";
  return fail (r, AM_E_FORMAT, "", (unsigned)r->parser.problem_mark.line + 1,
               problem);
}

static json_t *
plain_scalar (const char *text)
{
  char *end;
  long long n;

  if (strcmp (text, "true") == 0)
    return json_true ();
  if (strcmp (text, "false") == 0)
    return json_false ();
  if (!*text || strcmp (text, "null") == 0 || strcmp (text, "~") == 0)
    return json_null ();
  errno = 0;
  n = strtoll (text, &end, 10);
  if (*end == '\0' && !errno && strchr ("+-0123456789", text[0]))
    return json_integer (n);
  return json_string (text);
}

static int
read_scalar (struct reader *r, const yaml_event_t *event, const char *path,
             json_t **out)
{
  const char *text = (const char *)event->data.scalar.value;

  if (strlen (text) != event->data.scalar.length)
    return fail (r, AM_E_FORMAT, path, line_of (event), "NUL byte");
  if (event->data.scalar.style == YAML_PLAIN_SCALAR_STYLE)
    *out = plain_scalar (text);
  else
    *out = json_string (text);
  return *out ? AM_OK : fail (r, AM_E_MEMORY, path, 0, "");
}

static int
read_sequence (struct reader *r, const char *path, unsigned depth,
               json_t **out)
{
  char element[PATH_SIZE];
  json_t *value;
  int err;

  *out = json_array ();
  if (!*out)
    return fail (r, AM_E_MEMORY, path, 0, "");
  for (;;)
    {
      snprintf (element, sizeof element, "%s[%zu]", path,
                json_array_size (*out));
      err = read_value (r, element, depth + 1, &value);
      if (err)
        return err;
      if (!value)
        return AM_OK;
      if (json_array_append_new (*out, value))
        return fail (r, AM_E_MEMORY, path, 0, "");
    }
}

/* Reads the next key of a mapping; an empty KEY is its end.  */
static int
read_key (struct reader *r, const char *path, char *key, size_t size)
{
  yaml_event_t event;
  int err = next (r, &event);

  if (err)
    return err;
  key[0] = '\0';
  if (event.type == YAML_SCALAR_EVENT)
    {
      size_t len = event.data.scalar.length;

      if (len == 0 || len >= size)
        err = fail (r, AM_E_FIELD_UNKNOWN, path, line_of (&event),
                    "empty or too long");
      else
        snprintf (key, size, "%s", (const char *)event.data.scalar.value);
    }
  else if (event.type != YAML_MAPPING_END_EVENT)
    err = fail (r, AM_E_FORMAT, path, line_of (&event), "key is no scalar");
  yaml_event_delete (&event);
  return err;
}

static int
read_mapping (struct reader *r, const char *path, unsigned depth, json_t **out)
{
  char key[sizeof r->fault->field];
  char member[PATH_SIZE];
  json_t *value;
  int err;

  *out = json_object ();
  if (!*out)
    return fail (r, AM_E_MEMORY, path, 0, "");
  for (;;)
    {
      unsigned line = (unsigned)r->parser.mark.line + 1;

      err = read_key (r, path, key, sizeof key);
      if (err || !key[0])
        return err;
      am_fields_path (member, sizeof member, path, key);
      if (json_object_get (*out, key))
        return fail (r, AM_E_FORMAT, member, line, "field appears twice");
      err = read_value (r, member, depth + 1, &value);
      if (err)
        return err;
      if (!value || json_object_set_new (*out, key, value))
        return fail (r, AM_E_MEMORY, member, 0, "");
    }
}

static int
read_event (struct reader *r, const yaml_event_t *event, const char *path,
            unsigned depth, json_t **out)
{
  switch (event->type)
    {
    case YAML_SCALAR_EVENT:
      return read_scalar (r, event, path, out);
    case YAML_SEQUENCE_START_EVENT:
      return read_sequence (r, path, depth, out);
    case YAML_MAPPING_START_EVENT:
      return read_mapping (r, path, depth, out);
    case YAML_SEQUENCE_END_EVENT:
      return AM_OK;
    case YAML_ALIAS_EVENT:
      return fail (r, AM_E_FORMAT, path, line_of (event),
                   "aliases are not supported");
    default:
      return fail (r, AM_E_FORMAT, path, line_of (event), "value is missing");
    }
}

/* Sets *OUT to the next value, or to NULL at the end of a sequence.  On
   failure *OUT is NULL.  */
static int
read_value (struct reader *r, const char *path, unsigned depth, json_t **out)
{
  yaml_event_t event;
  int err;

  *out = NULL;
  if (depth > DEPTH_MAX)
    return fail (r, AM_E_FORMAT, path, (unsigned)r->parser.mark.line + 1,
                 "nested too deeply");
  err = next (r, &event);
  if (err)
    return err;
  if (json_object_set_new (r->lines, path, json_integer (line_of (&event))))
    err = fail (r, AM_E_MEMORY, path, 0, "");
  else
    err = read_event (r, &event, path, depth, out);
  yaml_event_delete (&event);
  if (err)
    {
      json_decref (*out);
      *out = NULL;
    }
  return err;
}

static int
expect (struct reader *r, yaml_event_type_t type, const char *detail)
{
  yaml_event_t event;
  int err = next (r, &event);

  if (err)
    return err;
  if (event.type != type)
    err = fail (r, AM_E_FORMAT, "", line_of (&event), detail);
  yaml_event_delete (&event);
  return err;
}

static int
read_stream (struct reader *r, json_t **root)
{
  int err = expect (r, YAML_STREAM_START_EVENT, "no document");

  if (!err)
    err = expect (r, YAML_DOCUMENT_START_EVENT, "file is empty");
  if (!err)
    err = read_value (r, "", 0, root);
  if (!err)
    err = expect (r, YAML_DOCUMENT_END_EVENT, "end of document expected");
  if (!err)
    err = expect (r, YAML_STREAM_END_EVENT, "more than one document");
  return err;
}

int
am_yaml_read (const char *text, size_t len, json_t **root, json_t **lines,
              struct am_fault *f)
{
  struct reader r = { .fault = f };
  int err;

  *root = NULL;
  *lines = NULL;
  r.lines = json_object ();
  if (!r.lines || !yaml_parser_initialize (&r.parser))
    {
      json_decref (r.lines);
      return am_fault_set (f, AM_E_MEMORY, "", "");
    }
  yaml_parser_set_input_string (&r.parser, (const unsigned char *)text, len);
  err = read_stream (&r, root);
  yaml_parser_delete (&r.parser);
  if (err)
    {
      json_decref (*root);
      json_decref (r.lines);
      *root = NULL;
      return err;
    }
  *lines = r.lines;
  return AM_OK;
}
