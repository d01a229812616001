/* Vocabulary of the record schemas.  Internal to src/record.  */

#ifndef AM_RECORD_FIELDS_H
#define AM_RECORD_FIELDS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "record/record.h"

#define AM_SCHEMA_OLDEST 1
#define AM_SCHEMA_NEWEST 2
#define AM_KEYS_NAME "ticket-keys"

enum am_level
{
  AM_LEVEL_SERVICE,
  AM_LEVEL_KEYS,
  AM_LEVEL_LIVENESS,
  AM_LEVEL_UPSTREAM,
  AM_LEVEL_CLASS,
  AM_LEVEL_KEY,
};

/* Returns true if SCHEMA has the field NAME at LEVEL.  */
bool am_fields_known (enum am_level level, const char *name, uint32_t schema);

/* Returns the member by which elements of the list FIELD at LEVEL are told
   apart and sets *ELEMENT to their level; NULL if FIELD is no such list.  */
const char *am_fields_identity (enum am_level level, const char *field,
                                enum am_level *element);

/* Fills F and returns ERROR.  ALLOWED may be empty.  */
int am_fault_set (struct am_fault *f, int error, const char *field,
                  const char *allowed);

/* Writes PREFIX and NAME, joined by a dot if both are not empty, to BUF of
   SIZE bytes.  */
void am_fields_path (char *buf, size_t size, const char *prefix,
                     const char *name);

/* Reads one YAML document.  *ROOT is owned by the caller; *LINES maps the
   path of each value to its line and is owned by the caller.  Returns AM_OK,
   AM_E_FORMAT, AM_E_TOO_LARGE or AM_E_MEMORY.  */
int am_yaml_read (const char *text, size_t len, json_t **root, json_t **lines,
                  struct am_fault *f);

/* Sets R's typed members from R->root.  STRICT refuses unknown fields.  */
int am_fields_read (struct am_record *r, bool strict, struct am_fault *f);

#endif
