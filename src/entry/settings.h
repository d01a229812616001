/* Settings of the program amaranth-entry, a YAML file.  */

#ifndef AM_ENTRY_SETTINGS_H
#define AM_ENTRY_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "record/record.h"

#define AM_ENTRY_SEEDS_MAX 64

struct am_entry_settings
{
  char *name;                  /* of this VM */
  char *data_centre;           /* of this VM */
  int log_level;               /* AM_LOG_* */
  struct am_address packets;   /* of callers, UDP */
  struct am_address readiness; /* of the routers' check, TCP */
  struct am_address peers;     /* of digests, UDP, and changes, TCP */
  struct am_address metrics;   /* port 0: none */
  struct am_address store;     /* port 0: none */
  struct am_address seeds[AM_ENTRY_SEEDS_MAX]; /* of other VMs' peers port */
  size_t seed_count;
  uint32_t link_mbps; /* width of this VM's link, megabits a second; 0: not
                         told */
  uint32_t stop_ms;   /* longest time from SIGTERM to the end */
};

/* Reads FILE into S.  On failure F tells why and nothing has to be freed.
   Returns AM_OK, AM_E_FIELD_* or the errors of am_yaml_file_load.  */
int am_entry_settings_load (struct am_entry_settings *s, const char *file,
                            struct am_fault *f);
void am_entry_settings_finish (struct am_entry_settings *s);

#endif
