/* Blackboard of the agent's control engine.

   Each group of fields names the controller that writes it; every other
   controller only reads it or asks the owner to change it.  */

#ifndef AM_CORE_CONTROL_BOARD_H
#define AM_CORE_CONTROL_BOARD_H

#include <string.h>
#include <uthash.h>

#include "base/list.h"
#include "base/rng.h"
#include "core/configuration/snapshot_diff.h"
#include "core/control.h"
#include "record/record.h"

struct am_service_lease;

#define AM_SEEDS_MAX 64

/* Members that an urgent update goes to at once.  */
#define AM_FANOUT 4

/* Members that a new version is announced to at once.  With k of them a share
   of e^-k of the fleet hears nothing and waits up to a second for a probe:
   with 4 that is 3.6 of 200 members, so nearly every change had such a wait;
   with 8 it is 0.07, and 0.24 of 730.  */
#define AM_ANNOUNCE_FANOUT 8

/* Size of a gossip datagram without its frame header; with it, 1,200.  */
#define AM_GOSSIP_MAX 1180

#define AM_SECOND_US UINT64_C (1000000)

/* Counters of the agent.  X (field, help).  */
#define AM_CONTROL_COUNTER_LIST(X)                                    \
  X (malformed, "inputs refused as malformed")                        \
  X (probes, "members probed")                                        \
  X (pings_repeated, "pings sent again for want of an answer")        \
  X (probes_indirect, "probes that needed other members")             \
  X (probes_failed, "probes without any answer")                      \
  X (refutations, "own suspicions refuted")                           \
  X (member_changes, "changes of a member's state or boot id")        \
  X (members_forgotten, "dead members forgotten")                     \
  X (records_accepted, "record versions accepted")                    \
  X (records_refused, "record versions refused as invalid")           \
  X (records_older, "record versions refused as older")               \
  X (records_equal_revision, "versions of one revision that differ")  \
  X (store_older, "records that the store holds in an older version") \
  X (announcements, "announcements sent")                             \
  X (pulls, "records asked for from a peer")                          \
  X (syncs, "exchanges of the whole digest begun")                    \
  X (store_reads, "reads and watches of the store begun")             \
  X (store_failures, "reads and watches that failed")                 \
  X (owner_calls, "store calls for owners of requests")               \
  X (snapshots, "whole snapshots sent to the forwarder")              \
  X (deltas, "deltas of snapshots sent to the forwarder")             \
  X (deltas_refused, "deltas that the forwarder did not take")        \
  X (snapshots_held, "snapshots held back as older or empty")         \
  X (ejections, "upstreams ejected for all")                          \
  X (ejections_limited, "ejections refused by the limit")             \
  X (sent_bytes_gossip, "bytes of gossip sent, without headers")      \
  X (sent_bytes_peer, "bytes sent to peers over TCP")                 \
  X (received_bytes_gossip, "bytes of gossip received")               \
  X (received_bytes_stream, "bytes received from peers and operators")

struct am_control_counters
{
#define AM_CONTROL_COUNTER_FIELD(name, help) uint64_t name;
  AM_CONTROL_COUNTER_LIST (AM_CONTROL_COUNTER_FIELD)
#undef AM_CONTROL_COUNTER_FIELD
};

/* ---- members ------------------------------------------------------ */

struct am_vm
{
  struct am_list node;  /* in am_vms.all */
  struct am_list queue; /* in am_vms.queue while TRANSMITS > 0 */
  UT_hash_handle by_id;
  uint32_t id;
  char *name;
  char *data_centre;
  char *region;
  uint32_t ip;
  uint16_t agent_port;
  uint16_t control_port;
  uint16_t peer_port;
  uint64_t incarnation;
  Amaranth__MemberState state;
  uint64_t boot_id;
  uint64_t config_digest;    /* in force in its forwarder */
  uint64_t since_us;         /* of the present state */
  uint64_t suspect_until_us; /* 0: not suspected */
  uint32_t transmits;        /* how often the entry is still sent */
};

/* Owner: members (entries) and swim (order).  */
struct am_vms
{
  struct am_list all;
  struct am_list queue; /* to be sent, the most urgent first */
  struct am_vm *by_id;
  size_t count;
  size_t live;          /* not dead and not left */
  struct am_vm **order; /* of probing */
  size_t order_size;
  size_t order_next;
};

/* Owner: swim.  */
struct am_probe
{
  uint32_t target_id; /* 0: none */
  uint32_t sequence;
  uint64_t started_us;
  bool acked;
  bool again;     /* the same member did not answer the probe before */
  uint32_t pings; /* sent */
  uint32_t asked; /* how often helpers were asked */
};

#define AM_RELAYS_MAX 32

/* A probe made for another member.  Owner: swim.  */
struct am_relay
{
  uint32_t sequence; /* of our PING; 0: unused */
  uint32_t target_id;
  uint32_t requester_sequence;
  struct am_address requester;
};

/* ---- records ------------------------------------------------------ */

struct am_config_entry
{
  UT_hash_handle by_name;
  struct am_list recent; /* in am_config.recent, newest first */
  char name[AM_RECORD_NAME_SIZE];
  uint64_t revision;
  char write_id[AM_WRITE_ID_SIZE];
  enum am_record_kind kind;
  uint8_t *text;
  size_t len;
  Amaranth__Service *service;
  Amaranth__Key **keys;
  size_t key_count;
  uint64_t changed_us;
  uint64_t in_force_revision; /* acknowledged by the forwarder */
  char in_force_write_id[AM_WRITE_ID_SIZE];
  uint64_t snapshot;       /* number of the first snapshot with this version */
  uint64_t floor_reported; /* index of the store's last older answer */
};

/* A version that a peer announced and this agent lacks.  Owner: spread.  */
struct am_wanted
{
  UT_hash_handle by_name;
  char name[AM_RECORD_NAME_SIZE];
  uint64_t revision;
  char write_id[AM_WRITE_ID_SIZE];
  uint64_t requested_us;
  struct am_address other; /* a second peer that has it; ip 0: none */
};

/* A version refused as invalid; it is not asked for again.  */
struct am_refused
{
  char name[AM_RECORD_NAME_SIZE];
  uint64_t revision;
  char write_id[AM_WRITE_ID_SIZE];
};

#define AM_REFUSED_MAX 32

/* Owner: config.  */
struct am_config
{
  struct am_config_entry *by_name;
  struct am_list recent;
  size_t count;
  uint64_t digest; /* sum over the versions; 0: no record */
  uint64_t changed_us;
  struct am_refused refused[AM_REFUSED_MAX];
  size_t refused_next;
};

/* Owner: spread.  */
struct am_spread
{
  struct am_wanted *wanted;
  bool joined; /* a peer has answered, or none does */
  uint64_t started_us;
  uint64_t next_join_us;
  uint64_t next_exchange_us;
  uint64_t exchange_wait_us; /* doubles while exchanges follow each other */
  uint64_t next_members_us;  /* of the exchanges that follow a join */
  uint64_t members_wait_us;
  size_t members_before;
  uint32_t mismatch_id; /* member whose digest differed; 0: none */
  uint64_t next_sync_us;
  uint64_t sync_wait_us;  /* doubles while an exchange brings nothing */
  uint64_t synced_digest; /* own digest at the last exchange */
};

/* The index at which the store held the configuration DIGEST.  */
struct am_store_point
{
  uint64_t digest;
  uint64_t index; /* 0: not known */
};

/* Owner: readers.  */
struct am_readers
{
  bool reader;
  bool busy;   /* a read or watch is under way */
  bool reread; /* a watch saw a change: read all records */
  uint64_t index;
  uint64_t next_us;
  uint64_t backoff_us;
  int error;
  bool answered;               /* the store has answered once */
  struct am_store_point known; /* of this agent's present configuration */
  struct am_store_point hint;  /* of one that it may have soon */
};

/* ---- health ------------------------------------------------------- */

struct am_evidence_key
{
  uint32_t service_id;
  uint32_t upstream_id;
  uint32_t observer_id;
};

struct am_evidence
{
  UT_hash_handle by_key;
  struct am_list queue; /* in am_verdicts.queue while TRANSMITS > 0 */
  struct am_evidence_key key;
  bool failing;
  uint64_t serial;
  uint64_t at_us;
  uint32_t transmits;
};

struct am_verdict
{
  uint32_t service_id;
  uint32_t upstream_id;
};

/* Owner: verdicts.  */
struct am_verdicts
{
  struct am_evidence *by_key;
  struct am_list queue;
  struct am_verdict *ejected; /* sorted */
  size_t ejected_count;
  bool stale; /* evidence or upstreams changed */
  uint64_t next_us;
  uint64_t serial;
};

/* ---- forwarder ---------------------------------------------------- */

#define AM_SENT_MAX 16

struct am_sent_snapshot
{
  uint64_t digest; /* of the content */
  uint64_t config_digest;
  uint64_t number;
};

/* Owner: delta.  */
struct am_delta_state
{
  struct am_snapshot_marks base; /* of the snapshot sent last */
  struct am_snapshot_marks next; /* of the one under construction */
  bool pending;     /* the last one went as a delta, not acknowledged yet */
  bool unsupported; /* the forwarder does not know deltas */
};

/* Owner: forwarder link.  */
struct am_link
{
  bool up;
  bool reported;    /* a Report has come on this connection */
  uint64_t down_us; /* since when it is down */
  uint64_t boot_id;
  Amaranth__LifeState life;
  uint64_t digest;       /* of the snapshot in force */
  uint64_t acked_config; /* configuration in force */
  uint8_t *report;       /* last Report, packed */
  size_t report_len;
  bool dirty; /* the next snapshot differs */
  uint64_t last_sent_us;
  uint64_t last_digest;
  uint64_t numbers;
  struct am_sent_snapshot sent[AM_SENT_MAX];
  Amaranth__Snapshot *earlier_snapshot; /* what the forwarder served with when
                               it connected, while some of it is newer than
                               the records; owned */
  struct am_delta_state delta;
};

struct am_control
{
  /* Owner: control.  */
  struct am_control_sink sink;
  struct am_rng rng;
  uint64_t now_us;
  struct am_control_counters counters;
  uint64_t stopping_us; /* 0: not stopping */
  uint64_t left_us;     /* when the last word was sent */
  struct am_address seeds[AM_SEEDS_MAX];
  size_t seed_count;
  size_t seed_next; /* index of the next seed to ping, modulo seed_count;
                       owner: swim */
  uint32_t fanout;
  uint32_t reader_count;

  /* Owner: members.  */
  struct am_vm self;
  struct am_vms vms;

  /* Owner: swim.  */
  struct am_probe probe;
  struct am_relay relays[AM_RELAYS_MAX];
  size_t relay_next;
  uint32_t sequence;
  uint64_t next_probe_us;
  uint64_t next_outsider_us;
  uint32_t probe_late;    /* AM_PROBE_LATE_SCALE: no answer to a first PING */
  bool urgent;            /* queue has something for the next flush */
  uint64_t update_tokens; /* bytes */
  uint64_t update_filled_us;

  struct am_config config;
  struct am_spread spread;
  struct am_readers readers;
  struct am_verdicts verdicts;
  struct am_link link;
  struct am_service_lease *owners; /* owner: service leases; by service id */
};

/* Copies the string FROM to the array TO of SIZE bytes, cut if longer.  */
static inline void
am_copy_text (char *to, size_t size, const char *from)
{
  size_t len = strnlen (from, size - 1);

  memcpy (to, from, len);
  to[len] = '\0';
}

/* Packs E and emits it as an action of TYPE.  Memory failure drops it, as a
   lost datagram would be.  */
void am_control_emit (struct am_control *c, enum am_control_action_type type,
                      struct am_address to, uint64_t stream,
                      const Amaranth__Envelope *e);

/* Emits a decision line.  */
void am_control_log (struct am_control *c, int level, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Returns the gossip or TCP address of V.  */
struct am_address am_vm_gossip (const struct am_vm *v);
struct am_address am_vm_control (const struct am_vm *v);

#endif
