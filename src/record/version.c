#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "record/record.h"

int
am_record_compare (uint64_t revision_a, const char *write_id_a,
                   uint64_t revision_b, const char *write_id_b)
{
  if (revision_a != revision_b)
    return revision_a < revision_b ? -1 : 1;
  return strcmp (write_id_a, write_id_b);
}

void
am_fault_format (const struct am_fault *f, const char *file, char *buf,
                 size_t size)
{
  int n;

  if (f->line)
    n = snprintf (buf, size, "%s:%u: ", file, f->line);
  else
    n = snprintf (buf, size, "%s: ", file);

  if (n < 0 || (size_t)n >= size)
    return;
  if (f->field[0])
    n += snprintf (buf + n, size - (size_t)n, "field %s: ", f->field);
  if (n < 0 || (size_t)n >= size)
    return;
  n += snprintf (buf + n, size - (size_t)n, "%s", am_error_text (f->error));
  if (n < 0 || (size_t)n >= size)
    return;
  if (f->allowed[0])
    snprintf (buf + n, size - (size_t)n, " (%s)", f->allowed);
}
