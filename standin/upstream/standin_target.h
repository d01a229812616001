/* Targets of the upstream stand-in, read from the operators' records.  */

#ifndef AM_STANDIN_TARGET_H
#define AM_STANDIN_TARGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "record/record.h"

#define STANDIN_TARGET_NAME_SIZE 64

struct standin_target
{
  char name[STANDIN_TARGET_NAME_SIZE];
  char service[STANDIN_TARGET_NAME_SIZE];
  struct am_address address;
  struct am_address service_address;
  uint32_t incarnation;
  uint32_t slots;
  uint32_t connections;
  bool leaving;
};

/* Reads the service record FILE (YAML, schema 1 or 2) and adds its upstreams,
   but retired ones, to the array *TARGETS of *COUNT, which the caller frees.
   On failure F tells why.  Returns AM_OK, AM_E_IO, AM_E_MEMORY,
   AM_E_FIELD_VALUE (not a service) or an error of am_record_parse_yaml.  */
int standin_targets_read (struct standin_target **targets, size_t *count,
                          const char *file, struct am_fault *f);

#endif
