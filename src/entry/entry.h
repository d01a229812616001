/* The program amaranth-entry: the blackboard of one entry VM.

   Each field has one owner, named beside it; the others read.  Decisions are
   in src/flow, translation in the adapter; this folder moves bytes.  */

#ifndef AM_ENTRY_ENTRY_H
#define AM_ENTRY_ENTRY_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "entry/adapter.h"
#include "entry/line_log.h"
#include "entry/settings.h"
#include "entry/store_calls.h"
#include "flow/contact.h"
#include "flow/fleet.h"
#include "flow/packet_path.h"
#include "flow/readiness.h"
#include "flow/replica.h"
#include "io/udp_batch.h"
#include "net/http_client.h"
#include "net/http_server.h"

/* X (field, name, help)  */
#define AM_ENTRY_COUNTERS(X)                                                \
  X (packets, "packets_in", "packets of callers")                           \
  X (malformed, "packets_malformed", "packets that could not be read")      \
  X (resets, "resets", "resets sent to callers")                            \
  X (drops, "packets_dropped", "packets dropped by decision")               \
  X (pulls, "pulls", "changes asked of peers")                              \
  X (pull_failures, "pull_failures", "pulls without a usable answer")       \
  X (digests_in, "digests_in", "digests of peers")                          \
  X (digests_bad, "digests_malformed", "digests that could not be read")    \
  X (bad_items, "items_unusable", "entries of the store that name nothing") \
  X (wakes, "wakes", "times that this VM stood still")

struct am_entry_counters
{
#define AM_ENTRY_COUNTER_FIELD(field, name, help) uint64_t field;
  AM_ENTRY_COUNTERS (AM_ENTRY_COUNTER_FIELD)
#undef AM_ENTRY_COUNTER_FIELD
  uint64_t reasons[AM_REASON_COUNT]; /* packets by decision */
};

/* Reading of the store.  */
struct am_entry_reader
{
  struct am_http_client client;
  bool listing;
  enum am_item_kind list_kind;    /* that is being listed */
  uint64_t list_revision;         /* of the first page; 0: none yet */
  uint64_t list_us;               /* begin of the listing */
  char *list_after;               /* owned: last key of the page before */
  uint64_t retry_us;              /* no call before this */
  uint32_t failures;              /* in a row */
  uint64_t call_us;               /* begin of the call in progress */
  struct am_histogram list_times; /* of listings that were answered */
  struct am_store_calls calls;
  enum am_store_call call; /* in progress */
  uint64_t ok_us;          /* last usable answer; 0: none */
  bool works;              /* the last call was answered */
};

struct am_entry
{
  uv_loop_t *loop;
  const struct am_adapter *adapter;
  const char *settings_file;
  struct am_entry_settings settings; /* program.c */
  struct am_line_log log;
  struct am_entry_counters counters;

  struct am_replica replica;      /* reader.c and peers.c */
  struct am_target_table targets; /* items.c */
  struct am_route_table routes;   /* items.c */
  uint64_t configured_us;         /* items.c: when the version came */
  struct am_path path;            /* packets.c */
  struct am_contact contact;      /* entry.c */
  struct am_readiness readiness;  /* entry.c */
  struct am_fleet fleet;          /* peers.c */
  struct am_entry_reader reader;  /* reader.c */

  struct am_udp_port packets;
  struct am_udp_batch packets_out;
  struct am_histogram decide_times;     /* of packets that open a flow */
  struct am_histogram target_list_ages; /* when such a packet was decided */
  bool carrying; /* packets are read; before that they wait in the socket */

  struct am_udp_port digests;
  struct am_http_server changes; /* for peers */
  struct am_http_client pull;
  size_t next_seed;       /* that is asked while nothing is known */
  uint64_t digest_us;     /* last digest sent */
  uint64_t told_findings; /* path.findings at that time */
  uint64_t seeds_us;      /* last digest sent to the seeds */

  struct am_http_server ready;
  struct am_http_server metrics;
  bool metrics_open;

  uv_timer_t tick;
  uint64_t tick_us; /* last tick */
  uint64_t boot_us; /* clock that counts suspended time, at that tick */
  uint64_t started_us;
  uint64_t last_packet_us;
  uint64_t stop_us; /* SIGTERM; 0: none */
  uv_signal_t terminate;
  uv_signal_t hang_up;
};

/* entry.c: set up and free the whole program on LOOP.  am_entry_init returns
   AM_OK, AM_E_IO or AM_E_EXISTS; after a failure the process must end.  */
int am_entry_init (struct am_entry *e, uv_loop_t *loop,
                   const struct am_adapter *adapter,
                   const char *settings_file);

/* packets.c: carry packets, from the moment when something is known of where
   they belong.  open returns AM_OK, AM_E_IO or AM_E_EXISTS.  */
int am_entry_packets_open (struct am_entry *e);
void am_entry_packets_poll (struct am_entry *e, uint64_t now_us);
/* Resets the flows of callers that wait for a lost target.  */
void am_entry_packets_reset_orphaned (struct am_entry *e, uint64_t now_us);

/* items.c: an item of the replica has changed.  */
void am_entry_item_changed (void *userdata,
                            const struct am_replica_item *item);

/* items.c: takes as gone the targets whose absence is certain.  */
void am_entry_items_tick (struct am_entry *e, uint64_t now_us);

/* reader.c: read the store if it is this VM's turn.  wake drops the calls in
   progress: their connections may be dead.  stop_listing ends a listing whose
   items come from a peer, all at once.  */
void am_entry_reader_init (struct am_entry *e);
void am_entry_reader_tick (struct am_entry *e, uint64_t now_us);
void am_entry_reader_resume (struct am_entry *e);
void am_entry_reader_stop_listing (struct am_entry *e);

/* peers.c: digests, pulls and their answers.  */
int am_entry_peers_open (struct am_entry *e);
void am_entry_peers_tick (struct am_entry *e, uint64_t now_us);
void am_entry_peers_resume (struct am_entry *e);
/* Sends a digest at once to all whom it concerns: the copy of the store has
   advanced.  */
void am_entry_digests_send (struct am_entry *e, uint64_t now_us);

/* status.c: answers of the readiness and metrics ports.  */
void am_entry_status_handle (void *userdata, const char *path,
                             struct am_http_reply *reply);
bool am_entry_is_ready (const struct am_entry *e, uint64_t now_us);

#endif
