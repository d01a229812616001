#include "check/standin_check.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"

/* One file and its next event.  */
struct input
{
  const char *name;
  FILE *file;
  char *line;
  size_t size;
  json_t *event; /* NULL: at the end */
  int64_t t;
  struct history_place place;
};

static int
fault (struct history_fault *f, const struct input *in, const char *what)
{
  char text[160];
  snprintf (text, sizeof text, "%s", what);
  snprintf (f->text, sizeof f->text, "%.80s:%u: %s", in->name, in->place.line,
            text);
  return AM_E_FORMAT;
}

/* Returns true if nothing follows in IN.  */
static bool
at_end (struct input *in)
{
  int c = getc (in->file);
  if (c != EOF)
    ungetc (c, in->file);
  return c == EOF;
}

static int
take_line (struct input *in, size_t len, bool allow_cut,
           struct history_fault *f)
{
  json_error_t error;
  bool cut = len == 0 || in->line[len - 1] != '\n';
  json_t *event = json_loadb (in->line, len, JSON_REJECT_DUPLICATES, &error);
  if (cut || !json_is_object (event))
    {
      json_decref (event);
      if (allow_cut && at_end (in))
        return AM_OK;
      return fault (f, in, cut ? "last line is cut" : "not a JSON object");
    }
  int64_t t = (int64_t)json_integer_value (json_object_get (event, "t"));
  if (in->t - t > HISTORY_DISORDER_US)
    {
      json_decref (event);
      return fault (f, in, "time goes back");
    }
  in->event = event;
  in->t = t;
  return AM_OK;
}

/* Reads the next event of IN.  */
static int
advance (struct input *in, bool allow_cut, struct history_fault *f)
{
  json_decref (in->event);
  in->event = NULL;
  ssize_t len = getline (&in->line, &in->size, in->file);
  if (len < 0 && ferror (in->file))
    {
      fault (f, in, strerror (errno));
      return AM_E_IO;
    }
  if (len < 0)
    return AM_OK;
  in->place.line++;
  return take_line (in, (size_t)len, allow_cut, f);
}

static int
open_input (struct input *in, const char *name, uint32_t index, bool allow_cut,
            struct history_fault *f)
{
  in->name = name;
  in->place.file = index;
  in->t = INT64_MIN / 2;
  in->file = fopen (name, "r");
  if (!in->file)
    {
      fault (f, in, strerror (errno));
      return AM_E_IO;
    }
  int rc = advance (in, allow_cut, f);
  if (!rc && !in->event)
    {
      fault (f, in, "history is empty");
      return AM_E_SHORT;
    }
  return rc;
}

static struct input *
earliest (struct input *in, size_t count)
{
  struct input *first = NULL;
  for (size_t i = 0; i < count; i++)
    if (in[i].event && (!first || in[i].t < first->t))
      first = &in[i];
  return first;
}

static int
merge (struct history *h, struct input *in, size_t count, bool allow_cut,
       struct history_fault *f)
{
  struct input *next;
  while ((next = earliest (in, count)))
    {
      struct history_fault inner = { "" };
      int rc = history_add (h, next->place, next->event, &inner);
      if (rc)
        {
          fault (f, next, inner.text);
          return rc;
        }
      rc = advance (next, allow_cut, f);
      if (rc)
        return rc;
    }
  return AM_OK;
}

/* A history in which nothing happened proves nothing.  */
static int
check_relevant (const struct history *h, struct history_fault *f)
{
  const struct history_figures *g = &h->figures;
  if (g->flows_opened || g->requests || h->promises[8 - 1].checked)
    return AM_OK;
  snprintf (f->text, sizeof f->text,
            "no flow, request or configuration in force in any history");
  return AM_E_SHORT;
}

int
history_read (struct history *h, size_t count, bool allow_cut,
              struct history_fault *f)
{
  struct input *in = calloc (count, sizeof *in);
  if (!in)
    return AM_E_MEMORY;
  int rc = AM_OK;
  for (size_t i = 0; i < count && !rc; i++)
    rc = open_input (&in[i], h->files[i], (uint32_t)i, allow_cut, f);
  if (!rc)
    rc = merge (h, in, count, allow_cut, f);
  if (!rc)
    rc = check_relevant (h, f);
  for (size_t i = 0; i < count; i++)
    {
      json_decref (in[i].event);
      free (in[i].line);
      if (in[i].file)
        fclose (in[i].file);
    }
  free (in);
  return rc;
}
