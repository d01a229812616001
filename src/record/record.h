/* Records: the operators' declarations.

   A record is one JSON object in the platform's store under
   amaranth/records/NAME, and one YAML file in the operators' version
   control.  Schema versions 1 and 2 are both read and written; fields that a
   schema does not know are kept when they come from the store.  */

#ifndef AM_RECORD_RECORD_H
#define AM_RECORD_RECORD_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/amaranth.pb-c.h"

#define AM_RECORD_PREFIX "amaranth/records/"
#define AM_RECORD_NAME_SIZE 64
#define AM_WRITE_ID_SIZE 33
#define AM_RECORD_TEXT_MAX (512u << 10)

/* Time in which the address of a retired upstream or service belongs to no
   other service.  */
#define AM_RECORD_QUARANTINE_S 3600

enum am_record_kind
{
  AM_RECORD_SERVICE,
  AM_RECORD_KEYS, /* name "ticket-keys" */
};

/* Where and why a record or a settings file was refused.  */
struct am_fault
{
  int error;         /* enum am_error */
  unsigned line;     /* 1 is the first; 0: not known */
  char field[96];    /* path such as "upstreams[2].slots" */
  char allowed[160]; /* values allowed, or other detail */
};

struct am_record
{
  enum am_record_kind kind;
  char name[AM_RECORD_NAME_SIZE];
  uint32_t schema;
  uint64_t revision;               /* 0: not yet written */
  char write_id[AM_WRITE_ID_SIZE]; /* empty: not yet written */
  json_t *root;                    /* owned: every field, known or not */
  Amaranth__Service *service;      /* owned; AM_RECORD_SERVICE */
  Amaranth__Key **keys;            /* owned; AM_RECORD_KEYS */
  size_t key_count;
};

/* Reads a record from JSON (as the store holds it) or YAML (as operators
   write it; unknown fields of a known schema are refused, and so is a last
   line without its newline, as the file is then cut short).  On failure
   nothing has to be freed and F tells why.  Return AM_OK or any AM_E_FIELD_*,
   AM_E_FORMAT, AM_E_VERSION, AM_E_NOT_UTF8, AM_E_TOO_LARGE, AM_E_EXISTS (a
   name, id or address appears twice), AM_E_SHORT, AM_E_MEMORY.  */
int am_record_parse_json (struct am_record *r, const char *text, size_t len,
                          struct am_fault *f);
int am_record_parse_yaml (struct am_record *r, const char *text, size_t len,
                          struct am_fault *f);

/* Returns the line of FIELD, or of the nearest field that encloses it, in a
   YAML record; 0 if TEXT is no YAML.  */
unsigned am_record_yaml_line (const char *text, size_t len, const char *field);

void am_record_finish (struct am_record *r);

/* Returns the JSON text of R for the store, with its revision and write id,
   keys sorted; the caller frees it.  NULL: out of memory.  */
char *am_record_to_json (const struct am_record *r);

/* Checks N records against each other: names, ids, overlapping addresses,
   addresses bound to or in quarantine of another service.  Returns AM_OK,
   AM_E_EXISTS, AM_E_ADDRESS_IN_USE or AM_E_QUARANTINE.  */
int am_record_validate_set (const struct am_record *const *set, size_t n,
                            struct am_fault *f);

/* Same, at NOW (seconds since the epoch) instead of the present time.  */
int am_record_validate_set_at (const struct am_record *const *set, size_t n,
                               int64_t now, struct am_fault *f);

/* Checks that TEXT is UTF-8 of at most AM_RECORD_TEXT_MAX bytes.  Returns
   AM_OK, AM_E_TOO_LARGE or AM_E_NOT_UTF8 with the line in F.  */
int am_text_check (const char *text, size_t len, struct am_fault *f);

/* Checks that TEXT is one YAML document that ends with a newline, without
   repeated fields, aliases or deep nesting.  Returns AM_OK, AM_E_FORMAT,
   AM_E_SHORT or AM_E_MEMORY.  */
int am_yaml_check (const char *text, size_t len, struct am_fault *f);

/* Compares two versions of one record: negative if A is older than B, 0 if
   they are the same version, positive if newer.  By revision, then by write
   id.  */
int am_record_compare (uint64_t revision_a, const char *write_id_a,
                       uint64_t revision_b, const char *write_id_b);

/* Merges the change from BASE to MINE into THEIRS and gives MERGED, in the
   higher schema of the two.  Fields changed on both sides to different values
   are a conflict: AM_E_CONFLICT, with the field in F.  BASE may be NULL.
   Returns AM_OK, AM_E_CONFLICT or AM_E_MEMORY.  */
int am_record_merge (const struct am_record *base,
                     const struct am_record *mine,
                     const struct am_record *theirs, struct am_record *merged,
                     struct am_fault *f);

/* Writes one line "FILE:LINE: field FIELD: TEXT (allowed: ...)" to BUF.  */
void am_fault_format (const struct am_fault *f, const char *file, char *buf,
                      size_t size);

#endif
