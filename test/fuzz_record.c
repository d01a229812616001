/* Fuzz target: any text read as a record, as JSON and as YAML, and merged
   with itself.  A record that is taken must survive its store text.  */

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "record/record.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
round_trip (const struct am_record *r)
{
  struct am_record again;
  struct am_record merged;
  struct am_fault f;
  char *text = am_record_to_json (r);

  if (!text || am_record_parse_json (&again, text, strlen (text), &f) != AM_OK)
    abort ();
  if (am_record_merge (r, r, &again, &merged, &f) != AM_OK
      || !json_equal (merged.root, again.root))
    abort ();
  am_record_finish (&merged);
  am_record_finish (&again);
  free (text);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct am_record r;
  struct am_fault f;
  char line[256];

  if (am_record_parse_json (&r, (const char *)data, size, &f) == AM_OK)
    {
      round_trip (&r);
      am_record_finish (&r);
    }
  else
    am_fault_format (&f, "input", line, sizeof line);
  if (am_record_parse_yaml (&r, (const char *)data, size, &f) == AM_OK)
    {
      round_trip (&r);
      am_record_finish (&r);
    }
  return 0;
}
