/* Settings of the program amaranth-entry, a YAML file.  */

#ifndef AM_ENTRY_SETTINGS_H
#define AM_ENTRY_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "flow/warm_up.h"
#include "record/record.h"

#define AM_ENTRY_SEEDS_MAX 64

struct am_entry_settings
{
  char *name;                  /* of this VM; owned */
  char *data_centre;           /* of this VM; owned */
  int log_level;               /* AM_LOG_*; not used yet */
  struct am_address packets;   /* packets of callers, UDP */
  struct am_address readiness; /* the routers' readiness check, HTTP */
  struct am_address peers;     /* digests over UDP, changes over HTTP */
  struct am_address metrics;   /* HTTP; port 0: none */
  struct am_address store;     /* HTTP; port 0: none */
  struct am_address seeds[AM_ENTRY_SEEDS_MAX]; /* digest addresses of VMs to
                                                  contact at the start */
  size_t seed_count;
  uint32_t link_mbps; /* bandwidth of this VM's link, megabits per second; 0:
                         not given */
  struct am_warm_up_bounds warm_up;
  uint32_t crossing_cost_ms; /* what a flow to another data centre costs, as
                                time that a caller would rather wait; 0: not
                                stated */
  uint32_t stop_ms; /* longest time from SIGTERM to the end of the process,
                       milliseconds */
};

/* Reads FILE into *S.  On failure *F describes the fault and nothing has to be
   freed.  Returns AM_OK, AM_E_FIELD_*, AM_E_MEMORY or the errors of
   am_yaml_file_load.  */
int am_entry_settings_load (struct am_entry_settings *s, const char *file,
                            struct am_fault *f);

/* Frees the strings of *S.  */
void am_entry_settings_finish (struct am_entry_settings *s);

#endif
