/* Configuration: records by name, the newest version of each.

   The highest revision wins; of equal revisions the one with the greater write
   id.  An active version is never replaced by an older one.  A retired record
   is kept as a tombstone.  */

#ifndef AM_CORE_CONTROL_CONFIG_H
#define AM_CORE_CONTROL_CONFIG_H

#include "core/control_board.h"

enum am_config_source
{
  AM_CONFIG_STORE,
  AM_CONFIG_PEER, /* another agent or an operator */
};

void am_config_init (struct am_control *c);
void am_config_finish (struct am_control *c);

struct am_config_entry *am_config_find (const struct am_control *c,
                                        const char *name);

/* Offers one record version.  Returns AM_OK if it was accepted or is the
   present one; AM_E_REVISION (from a peer) or AM_E_STORE_OLD (from the store)
   if it is older; AM_E_FORMAT if its name differs from NAME; AM_E_MEMORY; or
   the error for which the record was rejected as invalid.  *NEWER (may be
   NULL) is set if the configuration changed.  */
int am_config_offer (struct am_control *c, const char *name,
                     const uint8_t *text, size_t len,
                     enum am_config_source source, bool *newer);

/* Returns true if the version is newer than the present one and was not
   rejected before.  */
bool am_config_lacks (const struct am_control *c, const char *name,
                      uint64_t revision, const char *write_id);

/* The store has returned all of its records.  Reports the ones that it no
   longer contains.  */
void am_config_check_missing (struct am_control *c,
                              const struct am_control_store *s);

/* The forwarder has activated the configuration of snapshot NUMBER.  */
void am_config_acknowledge (struct am_control *c, uint64_t number);

#endif
