/* YAML files of settings, read into structures by a libcyaml schema.  */

#ifndef AM_IO_YAML_FILE_H
#define AM_IO_YAML_FILE_H

#include <cyaml/cyaml.h>
#include <stddef.h>

#include "record/record.h"

/* Reads FILE, at most AM_RECORD_TEXT_MAX bytes of UTF-8 that are not empty.
   The caller frees *TEXT, which ends with a NUL after LEN bytes.  Returns
   AM_OK, AM_E_IO, AM_E_TOO_LARGE, AM_E_NOT_UTF8, AM_E_SHORT or
   AM_E_MEMORY.  */
int am_file_read (const char *file, char **text, size_t *len,
                  struct am_fault *f);

/* Reads FILE into *DATA by SCHEMA, a pointer to a mapping.  F gets the whole
   path of the field and its line.  The caller frees *DATA with
   am_yaml_file_free.  *TEXT is the text that was read, freed by the caller;
   on failure both are NULL.  Returns AM_OK, AM_E_FORMAT, AM_E_FIELD_* or
   those of am_file_read.  */
int am_yaml_file_load (const char *file, const cyaml_schema_value_t *schema,
                       void **data, char **text, struct am_fault *f);
void am_yaml_file_free (const cyaml_schema_value_t *schema, void *data);

/* Writes PATH to OUT, taken as relative to the folder of BASE_FILE unless it
   is absolute.  */
void am_file_relative (const char *base_file, const char *path, char *out,
                       size_t size);

#endif
