/* Blackboard of the forwarder: the state that its controllers share.

   Plain structures.  Each group of fields names the controller that writes
   it; every other controller only reads it.  Nothing here knows a socket, a
   clock or a random source: the driver hands in the time and a seeded
   generator, and takes actions out through a sink.  The same events in the
   same order give the same actions, byte for byte.  */

#ifndef AM_CORE_BOARD_H
#define AM_CORE_BOARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#include "base/address.h"
#include "base/list.h"
#include "base/metrics.h"
#include "base/rng.h"
#include "wire/amaranth.pb-c.h"
#include "wire/packet.h"
#include "wire/peer.h"
#include "wire/ticket.h"

#define AM_NAME_SIZE 64

/* As many as a record may have: more classes there than here would make every
   entry VM refuse the whole snapshot.  */
#define AM_CLASSES_MAX 16

/* Number of entry VMs in the home set of a service.  */
#define AM_HOME_MAX 7

struct am_service;
struct am_requests;
struct am_lending;
struct am_flow_setups;
struct am_ticket_cache;
struct am_ticketless;

/* ---- actions ------------------------------------------------------ */

enum am_action_type
{
  AM_ACTION_CALLER,   /* datagram to the fabric's return address */
  AM_ACTION_UPSTREAM, /* datagram to an upstream's address */
  AM_ACTION_STREAM,   /* packet on the TCP connection to an upstream; the
                         driver opens it if there is none */
  AM_ACTION_PEER,     /* datagram to a peer forwarder's peer port */
  AM_ACTION_LOG,      /* decision line: data is text without a newline */
  AM_ACTION_EXIT,     /* graceful stop is complete */
  AM_ACTION_CONTROL,  /* packed Amaranth__Envelope to the agent */
};

struct am_action
{
  enum am_action_type type;
  struct am_address to; /* PEER, UPSTREAM and STREAM */
  uint32_t service_id;  /* UPSTREAM and STREAM */
  uint32_t upstream_id; /* UPSTREAM and STREAM */
  uint64_t tag;         /* LOG: connection id it is about; STREAM: serial */
  const uint8_t *data;  /* valid during the call only */
  size_t len;
};

/* Takes the actions out.  EMIT must not call back into the core.  */
struct am_sink
{
  void (*emit) (void *userdata, const struct am_action *a);
  void *userdata;
};

/* ---- upstreams and services --------------------------------------- */

/* Passive health, by this forwarder's own evidence.  Owner: health.  */
struct am_upstream_health
{
  uint32_t failures;       /* consecutive */
  uint64_t avoid_until_us; /* no new work before this time */
  uint64_t backoff_us;     /* present back-off after a refusal */
  uint64_t answer_us;      /* smoothed time to answer, 0: none yet */
  bool ejected;            /* verdict of the agents (owner: snapshot) */
  bool was_ejected;        /* before the present snapshot (owner: snapshot) */
};

/* Work of this forwarder at the upstream.  Owner: request (busy) and the
   flow bindings (flows, opening).  */
struct am_upstream_use
{
  uint32_t busy;    /* requests sent and not yet answered */
  uint32_t flows;   /* flows that this forwarder opened */
  uint32_t opening; /* flows asked for and not yet accepted */
};

/* Share of the upstream's limits that this forwarder may use.  Owner:
   quota.  */
struct am_upstream_quota
{
  uint32_t slots;       /* own share of the slots */
  uint32_t borrowed;    /* slots borrowed from peers */
  uint32_t lent;        /* own slots lent to peers */
  uint32_t connections; /* own share of the connections */
  double share;         /* part of own requests that it should get, 0 to 1 */
};

/* Last load that the upstream reported, by any packet.  Owner: dispatch. */
struct am_upstream_report
{
  struct am_load load;
  uint64_t at_us; /* 0: none yet */
};

/* Active probing.  Owner: probe.  */
struct am_upstream_probe
{
  uint64_t next_us; /* when the next probe is due; 0: not yet planned */
  uint64_t sent_us; /* time of the unanswered probe; 0: none */
};

/* Proof that the address is the upstream's.  Owner: address validation.  */
struct am_upstream_validation
{
  uint64_t at_us;     /* time of the last proof */
  uint64_t probed_us; /* time of the last PROBE for one */
  bool revoked;       /* another service answered there since */
};

struct am_upstream
{
  /* Owner: snapshot.  */
  struct am_list node;       /* in am_service.upstreams, by id */
  UT_hash_handle by_id;      /* in am_service.upstreams_by_id */
  UT_hash_handle by_address; /* in am_service.upstreams_by_address */
  uint64_t address_key;      /* am_address_key of ADDRESS */
  struct am_service *service;
  uint32_t id;
  char name[AM_NAME_SIZE];
  struct am_address address;
  char data_centre[AM_NAME_SIZE];
  uint32_t incarnation;
  Amaranth__UpstreamState state;
  uint32_t slots;
  uint32_t connections;
  uint32_t weight;    /* percent of a normal target */
  uint64_t joined_us; /* when this forwarder first saw it active */
  bool present;       /* scratch mark while a snapshot is applied */

  struct am_upstream_health health;
  struct am_upstream_use use;
  struct am_upstream_quota quota;
  struct am_upstream_report report;
  struct am_upstream_probe probe;
  struct am_upstream_validation validation;
  bool in_subset;        /* owner: subset */
  uint64_t chosen_order; /* owner: choice; order of last use */
  uint64_t
      slow_start_next_us; /* owner: choice; next request while in slow start */
};

/* Class of requests of a service.  Owner: snapshot.  */
struct am_class
{
  uint32_t id;
  char name[AM_NAME_SIZE];
  bool one_time;
  uint32_t weight;
  uint32_t priority;
  uint32_t deadline_ms;
  uint32_t queue_limit;
};

struct am_binding_ops;
struct am_choice_ops;

struct am_service
{
  /* Owner: snapshot.  */
  struct am_list node; /* in am_board.services */
  UT_hash_handle by_id;
  UT_hash_handle by_address;
  uint32_t id;
  uint64_t address_key; /* am_address_key of ADDRESS */
  char name[AM_NAME_SIZE];
  char region[AM_NAME_SIZE];
  uint64_t revision;
  struct am_address address;
  Amaranth__Objective objective;
  bool retired;
  uint32_t ping_interval_ms;
  uint32_t ping_misses;
  uint32_t slow_start_ms;
  uint32_t open_rate;    /* OPEN a second and caller address */
  uint32_t retry_budget; /* percent of successes; 0: default */
  Amaranth__Lending lending;
  struct am_list upstreams;
  struct am_upstream *upstreams_by_id;
  struct am_upstream *upstreams_by_address;
  struct am_class classes[AM_CLASSES_MAX];
  size_t class_count;
  const struct am_binding_ops *binding;
  const struct am_choice_ops *choice;
  bool offered; /* in force as the last snapshot has it */
  bool touched; /* scratch mark while a delta is applied */
  bool home;    /* this entry VM is in the home set */
  struct am_member *home_set[AM_HOME_MAX]; /* in rendezvous order */
  size_t home_count;

  void *binding_state;        /* owner: the binding */
  struct am_queue *queue;     /* owner: admission */
  uint64_t next_chosen_order; /* owner: choice; mark of the last one chosen */
  double retry_tokens;        /* owner: retry budget */

  /* Home set that the credits are split over, by id.  Owner: quota.  */
  uint32_t credit_home[AM_HOME_MAX];
  size_t credit_home_count;
  uint32_t credit_next[AM_HOME_MAX]; /* set that replaces it */
  size_t credit_next_count;
  uint64_t credit_due_us; /* when; 0: nothing pending */
};

/* ---- entry VMs and keys ------------------------------------------- */

struct am_member
{
  /* Owner: snapshot.  */
  struct am_list node; /* in am_board.members, by id */
  UT_hash_handle by_id;
  uint32_t id;
  char name[AM_NAME_SIZE];
  char data_centre[AM_NAME_SIZE];
  char region[AM_NAME_SIZE];
  struct am_address peer; /* peer port of its forwarder */
  Amaranth__MemberState state;
  uint64_t boot_id; /* of its forwarder; 0: unknown */
  bool present;
  uint64_t missing_since_us; /* absent from the snapshots since; 0: present */
};

struct am_key
{
  uint32_t id;
  uint8_t secret[AM_TICKET_KEY_SIZE];
  Amaranth__KeyState state;
};

#define AM_KEYS_MAX 8

/* This entry VM, from its settings.  Constant.  */
struct am_self
{
  uint32_t id;
  char name[AM_NAME_SIZE];
  char data_centre[AM_NAME_SIZE];
  char region[AM_NAME_SIZE];
  uint64_t boot_id; /* random, one per process */
};

/* Counters of the forwarder.  X (field, help).  */
#define AM_COUNTER_LIST(X)                                        \
  X (packets_in, "datagrams from the fabric")                     \
  X (packets_upstream, "datagrams from upstreams")                \
  X (packets_peer, "datagrams from peer forwarders")              \
  X (malformed, "inputs refused as malformed")                    \
  X (opens, "flows opened")                                       \
  X (opens_refused, "flow opens refused")                         \
  X (opens_limited, "opens refused by the bound per caller")      \
  X (tickets_minted, "request tickets issued")                    \
  X (tickets_refused, "tickets refused")                          \
  X (tickets_renewed, "flow tickets renewed under a new key")     \
  X (resets, "resets sent to callers")                            \
  X (silent, "flows reported silent")                             \
  X (forwarded, "packets passed to a peer")                       \
  X (unconfirmed, "packets held for want of proof")               \
  X (requests, "requests accepted")                               \
  X (answers, "requests answered")                                \
  X (not_run, "requests told NOT-RUN")                            \
  X (unknown, "requests told UNKNOWN")                            \
  X (retransmissions, "repeated requests recognised")             \
  X (moved, "requests moved to another upstream after a refusal") \
  X (retries, "repeatable requests run again")                    \
  X (retries_denied, "retries denied by the budget")              \
  X (shed, "refusals by upstreams")                               \
  X (borrowed, "slots borrowed")                                  \
  X (lent, "slots lent")                                          \
  X (tracked_introduced, "flows introduced to their owner")       \
  X (tracked_exceptions, "flows pinned away from the default")    \
  X (snapshots, "snapshots applied")                              \
  X (snapshots_refused, "snapshots refused")                      \
  X (deltas, "deltas of snapshots applied")                       \
  X (deltas_refused, "deltas of snapshots refused")

struct am_counters
{
#define AM_COUNTER_FIELD(name, help) uint64_t name;
  AM_COUNTER_LIST (AM_COUNTER_FIELD)
#undef AM_COUNTER_FIELD
};

struct am_board
{
  /* Owner: dispatch.  */
  struct am_self self;
  uint64_t now_us;  /* time of the present event, monotonic */
  uint64_t wall_ms; /* the same on the wall clock; 0: unknown */
  struct am_rng rng;
  struct am_sink sink;
  const uint8_t *peer_key; /* AM_PEER_KEY_SIZE bytes, not owned */
  bool via_peer;    /* the present datagram came through the peer port */
  uint32_t peer_id; /* and who sent it there */
  bool log_decisions;
  struct am_counters counters;
  struct am_histogram queue_wait; /* owner: request */

  /* Owner: snapshot.  */
  uint64_t snapshot_digest;
  uint64_t delta_base; /* digest that a delta may build on; 0: none */
  struct am_list services;
  struct am_service *services_by_id;
  struct am_service *services_by_address;
  struct am_list members;
  struct am_member *members_by_id;
  uint64_t members_since_us; /* first snapshot with other members; 0: none */
  struct am_key keys[AM_KEYS_MAX];
  size_t key_count;
  struct am_ticket_cache *tickets; /* verified; owner: key ring */

  uint64_t credit_next_us; /* owner: quota; first due split, 0: none */
  double copy_tokens;      /* owner: tracked copy; bytes it may send */
  uint64_t copy_at_us;     /* of the tokens; 0: none sent yet */

  /* Owner: lifecycle.  */
  bool stopping;
  uint64_t stopping_since_us;

  struct am_requests *requests; /* owner: request */
  struct am_lending *lending;   /* owner: quota */
  struct am_flow_setups *opens; /* owner: flow setup */
  struct am_ticketless *owned;  /* owner: ticketless; by service id */
};

/* Sets up an empty board.  */
void am_board_init (struct am_board *b, const struct am_self *self,
                    uint64_t seed, const struct am_sink *sink);

/* Frees services, upstreams and members.  */
void am_board_finish (struct am_board *b);

/* Return the entry or NULL.  */
struct am_service *am_board_service (struct am_board *b, uint32_t id);
struct am_service *am_board_service_at (struct am_board *b,
                                        struct am_address address);
struct am_upstream *am_service_upstream (struct am_service *s, uint32_t id);
struct am_member *am_board_member (struct am_board *b, uint32_t id);

/* Fills HOME with the home set of S in rendezvous order: alive or suspect
   members of the service's region.  Returns their number.  A leaving member is
   not in it.  */
size_t am_home_set (const struct am_board *b, const struct am_service *s,
                    struct am_member *home[AM_HOME_MAX]);

/* Returns true if the change of M, already made, may alter the home set of S
   or what it holds of M.  */
bool am_home_set_concerns (const struct am_service *s,
                           const struct am_member *m);

/* Emits one action.  */
void am_board_emit (struct am_board *b, const struct am_action *a);

/* Emits the decision line of FORMAT about connection CONNECTION_ID, if such
   lines are on.  */
void am_board_decision (struct am_board *b, uint64_t connection_id,
                        const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Sends packet P to CALLER as a reply from SERVICE.  */
void am_board_send_caller (struct am_board *b, struct am_address service,
                           struct am_address caller,
                           const struct am_packet *p);

/* Sends BODY to the peer port of member M, sealed under the peer key.  A body
   above AM_PEER_BODY_MAX is dropped.  */
void am_board_send_peer (struct am_board *b, const struct am_member *m,
                         enum am_peer_type type, uint32_t service_id,
                         const uint8_t *body, size_t len);

/* Returns the upstream of S at ADDRESS or NULL.  */
struct am_upstream *am_service_upstream_at (struct am_service *s,
                                            struct am_address address);

/* Sends packet P of CALLER to upstream U as a datagram.  */
void am_board_send_upstream (struct am_board *b, const struct am_upstream *u,
                             struct am_address caller,
                             const struct am_packet *p);

#endif
