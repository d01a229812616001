/* Settings of one entry VM: one YAML file for its forwarder and agent.  */

#ifndef AM_IO_SETTINGS_H
#define AM_IO_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/address.h"
#include "record/record.h"
#include "wire/frame.h"

struct am_settings_vm
{
  uint32_t id; /* unique among the entry VMs; not 0 */
  char *name;
  char *region;
  char *data_centre;
  char *address; /* IPv4 */
};

/* Ports on the entry VM's address.  Defaults in brackets.  */
struct am_settings_ports
{
  uint16_t data;              /* [7000] udp, forwarder */
  uint16_t peer;              /* [7001] udp, forwarder */
  uint16_t control;           /* [7002] tcp, forwarder */
  uint16_t forwarder_metrics; /* [7003] tcp, forwarder */
  uint16_t gossip;            /* [7100] udp, agent */
  uint16_t agent;             /* [7101] tcp, agent */
  uint16_t agent_metrics;     /* [7103] tcp, agent */
};

struct am_settings_fabric
{
  char *return_address; /* "IP:PORT": where datagrams for callers go */
};

struct am_settings_store
{
  char *url;
  uint32_t timeout_ms; /* [10000] */
};

struct am_settings_peers
{
  char **seeds; /* "IP:PORT" of gossip ports */
  unsigned seeds_count;
  char *key_file; /* 64 hexadecimal digits; relative to the settings file */
};

struct am_settings_log
{
  char *level;     /* [info] */
  bool *decisions; /* [true] a line for each decision */
};

struct am_settings
{
  struct am_settings_vm vm;
  struct am_settings_ports ports;
  struct am_settings_fabric fabric;
  struct am_settings_store store;
  struct am_settings_peers peers;
  struct am_settings_log log;
};

/* Reads and checks FILE as a whole.  On success the caller frees *S with
   am_settings_free.  On failure *S is NULL and F tells line, field and
   reason.  Returns AM_OK, AM_E_IO, AM_E_FORMAT, AM_E_FIELD_*, AM_E_NOT_UTF8,
   AM_E_TOO_LARGE, AM_E_SHORT or AM_E_MEMORY.  */
int am_settings_load (struct am_settings **s, const char *file,
                      struct am_fault *f);
void am_settings_free (struct am_settings *s);

/* Reads the peer key that S names, relative to SETTINGS_FILE, into KEY
   (AM_PEER_KEY_SIZE bytes).  Returns AM_OK, AM_E_IO, AM_E_FORMAT, or
   AM_E_PERMISSIONS if others may read the file.  */
int am_settings_peer_key (const struct am_settings *s,
                          const char *settings_file, uint8_t *key);

/* Same, from the file PATH.  */
int am_peer_key_read (const char *path, uint8_t *key);

/* Returns the log level, or info if the settings name none.  */
int am_settings_log_level (const struct am_settings *s);

/* Returns true if decision lines are wanted.  */
bool am_settings_log_decisions (const struct am_settings *s);

/* Returns the address of one of our ports.  */
struct am_address am_settings_address (const struct am_settings *s,
                                       uint16_t port);

#endif
