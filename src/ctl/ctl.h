/* amaranthctl: what its commands share.  */

#ifndef AM_CTL_CTL_H
#define AM_CTL_CTL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "record/record.h"
#include "wire/frame.h"

#define CTL_AGENTS_MAX 64
#define CTL_STORE_TIMEOUT_MS 10000
#define CTL_TIMEOUT_MS 15000
#define CTL_TIMEOUT_MAX_MS 86400000

struct ctl
{
  char *store_url; /* owned; NULL: not named */
  uint32_t store_timeout_ms;
  struct am_address agents[CTL_AGENTS_MAX];
  size_t agent_count;
  bool agents_named; /* on the command line */
  char *key_file;    /* owned; NULL: not named */
  uint8_t key[AM_PEER_KEY_SIZE];
  uint32_t timeout_ms; /* of the wait until in force */
  bool no_wait;
  bool json;
  /* Of a new upstream.  */
  const char *address;
  const char *data_centre;
  uint32_t slots;
  uint32_t connections;
  char **arguments; /* after the name of the command */
  size_t argument_count;
  json_t *result; /* printed at the end with --json */
};

/* Reads the configuration FILE into what the command line left open.  On
   failure reports the fault and returns its error.  */
int ctl_config_read (struct ctl *c, const char *file);

/* Reads the peer key.  Reports and returns AM_E_ARGUMENT if none or no agent
   is named, or the error of the file.  */
int ctl_need_agents (struct ctl *c);

/* Reports and returns AM_E_ARGUMENT if no store is named.  */
int ctl_need_store (struct ctl *c);

/* Writes a line for people to standard output, unless --json is set.  */
void ctl_say (const struct ctl *c, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Writes a line about progress to standard error, unless --json is set.  */
void ctl_note (const struct ctl *c, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Reports a failure as one line on standard error and in the JSON result.
   Returns ERROR.  */
int ctl_fail (struct ctl *c, int error, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Same, for AM_E_MEMORY.  */
int ctl_no_memory (struct ctl *c);

/* Same, for a fault in FILE.  */
int ctl_fail_fault (struct ctl *c, const char *file, const struct am_fault *f);

/* Adds VALUE (taken over) to the JSON result.  */
void ctl_result (struct ctl *c, const char *name, json_t *value);

/* The commands.  Each returns AM_OK or the error that it reported.  */
int ctl_validate (struct ctl *c);
int ctl_diff (struct ctl *c);
int ctl_apply (struct ctl *c);
int ctl_get (struct ctl *c);
int ctl_list (struct ctl *c);
int ctl_retire (struct ctl *c);
int ctl_upstream (struct ctl *c);
int ctl_status (struct ctl *c);
int ctl_explain (struct ctl *c);
int ctl_history (struct ctl *c);
int ctl_keys (struct ctl *c);
int ctl_metrics (struct ctl *c);
int ctl_log_level (struct ctl *c);
int ctl_stop (struct ctl *c);

#endif
