/* What the two programs of an entry VM share: their options and the loading
   of the settings file.  */

#ifndef AM_IO_ENTRY_PROGRAM_H
#define AM_IO_ENTRY_PROGRAM_H

#include <stdbool.h>
#include <stdint.h>

#include "io/settings.h"

struct argp;

struct am_entry_arguments
{
  const char *settings; /* --settings; never NULL after parsing */
  bool check;           /* --check-settings */
};

/* Parser of the shared options, for struct argp_child.  Its input is a struct
   am_entry_arguments.  */
extern const struct argp am_entry_argp;

/* Loads the settings and the peer key (AM_PEER_KEY_SIZE bytes) that A names.
   On success the caller frees *S with am_settings_free.  On failure one line
   with file, field and reason is on standard error, and *S is NULL.  Returns
   AM_EXIT_OK or AM_EXIT_DATA.  */
int am_entry_load (const struct am_entry_arguments *a, struct am_settings **s,
                   uint8_t *key);

#endif
