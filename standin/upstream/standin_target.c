#include "upstream/standin_target.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "record/record.h"

/* Reads the whole of FILE; the caller frees *TEXT.  */
static int
read_file (char **text, size_t *len, const char *file)
{
  FILE *in = fopen (file, "re");

  if (!in)
    return AM_E_IO;
  *text = malloc (AM_RECORD_TEXT_MAX);
  *len = *text ? fread (*text, 1, AM_RECORD_TEXT_MAX, in) : 0;
  fclose (in);
  return *text ? AM_OK : AM_E_MEMORY;
}

static void
set_target (struct standin_target *t, const Amaranth__Service *s,
            const Amaranth__Upstream *u)
{
  memset (t, 0, sizeof *t);
  snprintf (t->name, sizeof t->name, "%s", u->name);
  snprintf (t->service, sizeof t->service, "%s", s->name);
  t->address = (struct am_address){ u->ip, (uint16_t)u->port };
  t->service_address = (struct am_address){ s->ip, (uint16_t)s->port };
  t->incarnation = u->incarnation;
  t->slots = u->slots;
  t->connections = u->connections;
  t->leaving = u->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_LEAVING;
}

static int
add_targets (struct standin_target **targets, size_t *count,
             const Amaranth__Service *s)
{
  struct standin_target *grown
      = realloc (*targets, (*count + s->n_upstreams + 1) * sizeof *grown);

  if (!grown)
    return AM_E_MEMORY;
  *targets = grown;
  for (size_t i = 0; i < s->n_upstreams; i++)
    if (s->upstreams[i]->state != AMARANTH__UPSTREAM_STATE__UPSTREAM_RETIRED)
      set_target (&grown[(*count)++], s, s->upstreams[i]);
  return AM_OK;
}

int
standin_targets_read (struct standin_target **targets, size_t *count,
                      const char *file, struct am_fault *f)
{
  struct am_record r;
  char *text = NULL;
  size_t len = 0;
  int err = read_file (&text, &len, file);

  memset (f, 0, sizeof *f);
  f->error = err;
  if (err)
    return err;
  err = am_record_parse_yaml (&r, text, len, f);
  free (text);
  if (err)
    return err;
  err = r.service ? add_targets (targets, count, r.service) : AM_E_FIELD_VALUE;
  f->error = err;
  am_record_finish (&r);
  return err;
}
