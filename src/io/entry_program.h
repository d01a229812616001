/* Loading of the settings that the forwarder and the agent share.  */

#ifndef AM_IO_ENTRY_PROGRAM_H
#define AM_IO_ENTRY_PROGRAM_H

#include <stdint.h>

#include "io/entry_options.h"
#include "io/settings.h"

/* Loads the settings and the peer key (AM_PEER_KEY_SIZE bytes) that A names.
   On success the caller frees *S with am_settings_free.  On failure one line
   with file, field and reason is on standard error, and *S is NULL.  Returns
   AM_EXIT_OK or AM_EXIT_DATA.  */
int am_entry_load (const struct am_entry_arguments *a, struct am_settings **s,
                   uint8_t *key);

#endif
