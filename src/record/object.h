/* One object of a record's JSON tree: typed access to its fields.  Internal to
   src/record.

   Every function that returns an int returns AM_OK, or the error after it has
   filled the fault with the path of the field and what is allowed there:
   AM_E_FIELD_MISSING, AM_E_FIELD_TYPE, AM_E_FIELD_RANGE, AM_E_FIELD_VALUE,
   AM_E_FIELD_UNKNOWN or AM_E_MEMORY.  */

#ifndef AM_RECORD_OBJECT_H
#define AM_RECORD_OBJECT_H

#include "record/fields.h"

#define AM_OBJECT_PATH_SIZE 160

struct am_object
{
  const json_t *json; /* not owned; NULL: every field is absent */
  enum am_level level;
  uint32_t schema;
  bool strict; /* refuses unknown fields */
  char path[AM_OBJECT_PATH_SIZE];
  struct am_fault *fault; /* not owned */
};

/* Allowed values of a number, and its default.  */
struct am_range
{
  json_int_t min;
  json_int_t max;
  json_int_t standard; /* or AM_REQUIRED */
};

#define AM_REQUIRED (-1)

/* Reports ERROR at field NAME of O and returns it.  ALLOWED may be empty.  */
int am_object_fail (const struct am_object *o, int error, const char *name,
                    const char *allowed);

/* Refuses what is no object and, if O is strict, unknown fields.  */
int am_object_check_known (const struct am_object *o);

int am_object_integer (const struct am_object *o, const char *name,
                       struct am_range range, json_int_t *out);
int am_object_uint (const struct am_object *o, const char *name,
                    struct am_range range, uint32_t *out);

/* A required text.  *OUT belongs to the JSON tree.  */
int am_object_string (const struct am_object *o, const char *name,
                      const char *allowed, const char **out);

/* A required name; the caller frees *OUT.  */
int am_object_name (const struct am_object *o, const char *name, char **out);

/* The required field "address".  */
int am_object_address (const struct am_object *o, uint32_t *ip,
                       uint32_t *port);

/* Sets *OUT to the index of the value in WORDS, a list such as "a, b, c".
   STANDARD below zero: the field is required.  */
int am_object_word (const struct am_object *o, const char *name,
                    const char *words, int standard, int *out);

/* Sets *N to the length of the list NAME, 0 if it is absent.  */
int am_object_list (const struct am_object *o, const char *name, size_t max,
                    size_t *n);

/* Sets E to element I of the list LIST of PARENT; its fields are those of
   LEVEL.  */
void am_object_element (struct am_object *e, const struct am_object *parent,
                        const char *list, size_t i, enum am_level level);

/* Read a whole service, or all ticket keys, into R.  */
int am_read_service (struct am_record *r, const struct am_object *o);
int am_read_keys (struct am_record *r, const struct am_object *o);

#endif
