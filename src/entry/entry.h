/* State of the program amaranth-entry, one process per entry VM.

   The program forwards packets of callers to targets.  It keeps a replica of
   the platform's store, read from the store itself or from peers (the other
   entry VMs).  Decisions are made in src/flow and formats converted by the
   adapter; this folder does the I/O on one libuv loop.

   A comment beside a field of struct am_entry names the source files that
   change it; the others only read it.  Times are microseconds of the monotonic
   clock (am_clock_us) unless noted otherwise.  */

#ifndef AM_ENTRY_ENTRY_H
#define AM_ENTRY_ENTRY_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "entry/adapter.h"
#include "entry/line_log.h"
#include "entry/settings.h"
#include "entry/store_calls.h"
#include "flow/store_sync.h"
#include "flow/digest_schedule.h"
#include "flow/evacuation.h"
#include "flow/fleet.h"
#include "flow/packet_path.h"
#include "flow/readiness.h"
#include "flow/remote_load.h"
#include "flow/replica.h"
#include "flow/replica_lag.h"
#include "flow/shutdown.h"
#include "flow/startup.h"
#include "flow/suppliers.h"
#include "flow/transfer_budget.h"
#include "io/udp_batch.h"
#include "net/http_client.h"
#include "net/http_server.h"

/* X (field, metric name, help text)  */
#define AM_ENTRY_COUNTERS(X)                                            \
  X (packets, "packets_in", "packets of callers")                       \
  X (packets_malformed, "packets_malformed",                            \
     "packets that could not be read")                                  \
  X (resets, "resets", "resets sent to callers")                        \
  X (packets_dropped, "packets_dropped", "packets dropped by decision") \
  X (pulls, "pulls", "changes asked of peers")                          \
  X (pull_failures, "pull_failures", "pulls without a usable answer")   \
  X (digests_in, "digests_in", "digests of peers")                      \
  X (digests_malformed, "digests_malformed",                            \
     "digests that could not be read")                                  \
  X (digest_bytes_in, "digest_bytes_in", "bytes of digests of peers")   \
  X (digest_bytes_out, "digest_bytes_out", "bytes of digests sent")     \
  X (items_unusable, "items_unusable",                                  \
     "entries of the store that name nothing")                          \
  X (suspensions, "wakes", "times that this VM stood still")            \
  X (restores, "store_restores",                                        \
     "times that the store came back from an older copy")

struct am_entry_counters
{
#define AM_ENTRY_COUNTER_FIELD(field, name, help) uint64_t field;
  AM_ENTRY_COUNTERS (AM_ENTRY_COUNTER_FIELD)
#undef AM_ENTRY_COUNTER_FIELD
  uint64_t reasons[AM_REASON_COUNT]; /* packets by reason of the decision */
};

/* Longest value that is kept of an item other than the configuration, bytes.
   A longer one describes no target; it is kept as an empty value, as what
   another writer leaves must not fill the responses to peers.  */
#define AM_ENTRY_VALUE_MAX 16384u

/* Room for a key of the store and a NUL.  */
#define AM_ENTRY_KEY_SIZE 201

/* State of the calls to the store.  */
struct am_entry_reader
{
  struct am_http_client client;
  bool listing;                   /* a listing is in progress */
  bool list_stale;                /* its pages may be some seconds old */
  size_t list_step;               /* of the kinds that are listed in turn */
  am_revision list_revision;      /* lowest of its pages; 0: none yet */
  uint64_t list_begin_us;         /* when the listing began */
  char *list_after;               /* owned: last key of the previous page */
  am_revision watch_after;        /* revision that the watch call began at */
  uint64_t retry_us;              /* no call before this */
  uint32_t failures;              /* consecutive */
  uint64_t call_begin_us;         /* when the latest list call began */
  struct am_histogram list_times; /* of list calls that succeeded */
  struct am_store_calls calls;
  enum am_store_call_type call; /* in progress */
  uint64_t last_success_us;     /* last successful call; 0: none */
  bool active; /* this VM reads the store and its last call succeeded */
};

/* All items of the replica as sent to peers, kept for the next request.  */
struct am_whole_replica
{
  am_revision revision; /* of the replica; 0: none kept */
  uint8_t *data;        /* owned */
  size_t len;
};

/* Tells versions of the settings file apart.  */
struct am_settings_stamp
{
  uint64_t inode;
  uint64_t size;       /* bytes */
  int64_t modified_s;  /* wall clock */
  int64_t modified_ns; /* the rest of a second */
};

struct am_entry
{
  uv_loop_t *loop;
  const struct am_adapter *adapter;
  const char *settings_file;
  struct am_settings_stamp settings_stamp; /* reload.c: of the version read */
  uint64_t settings_checked_us;            /* reload.c */
  struct am_entry_settings settings;       /* program.c and reload.c */
  struct am_line_log log;
  struct am_entry_counters counters;

  struct am_replica replica;      /* reader.c and pull.c */
  uint64_t advanced_us;           /* restore.c: last advance of the replica */
  uint64_t relist_us;             /* restore.c and reader.c: this VM, if it
                                     reads the store, lists it again then; 0:
                                     no need */
  struct am_target_table targets; /* items.c; loads: digest_receive.c, peers.c
                                     and packets.c */
  struct am_route_table routes;   /* items.c */
  struct am_evacuations evacuations; /* items.c */
  uint64_t configuration_us;         /* items.c: when the active configuration
                                        was activated; 0: none yet */
  struct am_path path;               /* packets.c and entry.c */
  struct am_store_sync sync;         /* entry.c and reader.c */
  struct am_replica_lag lag;         /* entry.c */
  bool lagging;                  /* entry.c: it lags, as of the last tick */
  struct am_readiness readiness; /* entry.c */
  struct am_fleet fleet;         /* peers.c, members.c, digest_receive.c */
  struct am_warm_up warm_up;     /* entry.c; bounds: reload.c */
  struct am_remote_loads remote_loads; /* digest_receive.c and peers.c */
  struct am_entry_reader reader;       /* reader.c */

  struct am_udp_port packets_port;
  struct am_udp_batch packet_batch;     /* packets to be sent */
  struct am_histogram decide_times;     /* of SYNs */
  struct am_histogram target_list_ages; /* at each SYN */
  bool forwarding; /* packets are read; until then they stay in the socket's
                      receive buffer */

  struct am_udp_port digests_port;
  struct am_http_server changes_server; /* requests of peers */
  struct am_http_client pull_client;
  size_t next_source; /* index of the next supplier or seed to ask; pull.c and
                         suppliers.c */
  struct am_suppliers suppliers;             /* suppliers.c */
  struct am_http_client suppliers_client;    /* for their record */
  struct am_startup startup;                 /* entry.c and pull.c */
  struct am_transfer_budget transfer_budget; /* changes_server.c */
  struct am_whole_replica whole;             /* changes_server.c */
  struct am_digest_schedule digest_schedule; /* digest_send.c */
  am_revision changes_revision; /* up to which changes were sent in digests */
  uint64_t behind_us; /* since when a peer is known to be ahead; 0: none is */
  uint64_t pull_delay_us;      /* random share of the delay of the next pull */
  uint64_t members_missing_us; /* since when a peer knows VMs that this VM does
                                  not; 0: none does */
  uint64_t members_asked_us; /* last pull for the members that a source knows;
                             0: none yet */

  struct am_http_server readiness_server;
  struct am_http_server metrics_server;
  bool metrics_open;

  uv_timer_t tick;
  uint64_t tick_us; /* last tick */
  uint64_t boot_us; /* am_clock_boot_us at that tick, which unlike the
                       monotonic clock counts time of suspension */
  uint64_t started_us;
  uint64_t last_packet_us;
  struct am_shutdown shutdown; /* begun by SIGTERM */
  uv_signal_t sigterm;
  uv_signal_t sighup;
};

/* entry.c: sets up *E, zero except for its settings, on LOOP, opens its ports
   and starts its timer.  ADAPTER and SETTINGS_FILE must outlive E.  Returns
   AM_OK, AM_E_IO or AM_E_EXISTS (a port is in use); after a failure the
   process must end.  */
int am_entry_init (struct am_entry *e, uv_loop_t *loop,
                   const struct am_adapter *adapter,
                   const char *settings_file);

/* reload.c: remembers the version of the settings file that was read.  */
void am_entry_reload_init (struct am_entry *e);

/* reload.c: reads the settings file again and applies what can change while
   the program runs: seeds, store and stop time.  A file with a fault changes
   nothing.  am_entry_reload_tick, to be called periodically, does so if the
   file has changed.  */
void am_entry_reload (struct am_entry *e, uint64_t now_us);
void am_entry_reload_tick (struct am_entry *e, uint64_t now_us);

/* restore.c, for a store that comes back from an older copy.

   am_entry_replica_advanced is to be called after each step that may have
   advanced the replica from BEFORE: it notes when that enters a new era.

   am_entry_write_listed_item writes ITEM of a listing to the replica, unless
   the replica has a later state of it from before the store was restored.
   Returns AM_OK or AM_E_MEMORY.

   am_entry_check_era returns AM_OK if what the store said with REVISION may be
   used, AM_E_STORE_OLD if it is of an earlier era than the replica, and
   AM_E_EXPIRED if it is not of the era of EXPECTED (0: any).  */
void am_entry_replica_advanced (struct am_entry *e, am_revision before,
                                uint64_t now_us);
int am_entry_write_listed_item (struct am_entry *e,
                                const struct am_store_item *item);
int am_entry_check_era (const struct am_entry *e, am_revision expected,
                        am_revision revision);

/* packets.c: opens the port for packets of callers; reading starts later, by
   am_entry_packets_poll.  Returns AM_OK, AM_E_IO or AM_E_EXISTS.  */
int am_entry_packets_open (struct am_entry *e);

/* Executes the decisions on queued SYNs that are due.  Starts to read packets
   once a target is ready, or 1 s after the start of the program.  */
void am_entry_packets_poll (struct am_entry *e, uint64_t now_us);

/* Sends a reset to the caller of each orphaned flow: its target was removed or
   has failed, and the caller still waits for an answer.  */
void am_entry_packets_reset_orphaned (struct am_entry *e, uint64_t now_us);

/* items.c: returns a hash of KEY, LEN bytes, that tells the registrations of a
   target apart.  */
uint64_t am_entry_registration (const char *key, size_t len);

/* items.c: returns the version of the configuration that the LEN bytes VALUE
   describe, 0 if they describe none.  */
uint64_t am_entry_configuration_version (const struct am_entry *e,
                                         const uint8_t *value, size_t len);

/* items.c: writes ITEM, which was not removed, to the replica; a value longer
   than AM_ENTRY_VALUE_MAX becomes empty.  Returns AM_OK or AM_E_MEMORY.  */
int am_entry_write_item (struct am_entry *e, const struct am_store_item *item);

/* items.c: updates the target and route tables from ITEM of the replica, which
   has changed.  USERDATA is the struct am_entry.  */
void am_entry_item_changed (void *userdata,
                            const struct am_replica_item *item);

/* items.c: removes targets whose registration is missing, once the replica is
   authoritative (am_store_sync_authoritative).  */
void am_entry_items_tick (struct am_entry *e, uint64_t now_us);

/* reader.c: reads the store if this VM is a reader.  tick begins the next call
   if none is in progress.  resume, for a process that was suspended, cancels
   the call and the listing in progress, as their connection may have failed.
   stop_listing cancels a listing in progress because a peer is about to supply
   all items.  */
void am_entry_reader_init (struct am_entry *e);
void am_entry_reader_tick (struct am_entry *e, uint64_t now_us);
void am_entry_reader_resume (struct am_entry *e);
void am_entry_reader_stop_listing (struct am_entry *e);

/* peers.c: exchange of digests and changes with peers.  open opens the ports
   and returns AM_OK, AM_E_IO or AM_E_EXISTS.  resume, for a process that was
   suspended, cancels the pull in progress.  */
int am_entry_peers_open (struct am_entry *e);
void am_entry_peers_tick (struct am_entry *e, uint64_t now_us);
void am_entry_peers_resume (struct am_entry *e);

/* suppliers.c.  open prepares the state and the connection to the store.  tick
   writes the suppliers of this data centre into the store, if this VM reads it
   and they have changed.  read takes the suppliers from the LEN bytes VALUE of
   an item, and its VMs as peers; for those of this VM's data centre they are
   the next sources to be asked.  Returns AM_OK or AM_E_FORMAT.  */
void am_entry_suppliers_open (struct am_entry *e);
void am_entry_suppliers_tick (struct am_entry *e, uint64_t now_us);
int am_entry_suppliers_read (struct am_entry *e, const uint8_t *value,
                             size_t len, uint64_t now_us);

/* suppliers_lookup.c: looks up the suppliers in the store if this VM has just
   started and is to do so, and then asks one of them for all items.  */
void am_entry_suppliers_look_up (struct am_entry *e);

/* digest_send.c: sends a digest immediately to the peers of this data centre.
   To be called when the replica has advanced.  */
void am_entry_digests_send_advance (struct am_entry *e, uint64_t now_us);

/* status.c: handler of the readiness and metrics ports.  USERDATA is the
   struct am_entry.  */
void am_entry_status_handle (void *userdata, const char *path,
                             struct am_http_reply *reply);

/* status.c: returns true if the platform's routers may send callers to this
   VM.  */
bool am_entry_is_ready (const struct am_entry *e, uint64_t now_us);

#endif
