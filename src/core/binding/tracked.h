/* Tracked binding: for callers whose packets the load balancer does not
   interpret; the entry VMs keep the flow state (docs/notes/tracked.md).

   Callers are hashed into buckets.  A bucket has a default upstream, an owner,
   which is the entry VM that binds the bucket's flows to upstreams, and a
   backup, which is the next owner if the owner fails.  Only exceptions
   (flows at another upstream than the default) need to be copied to the
   backup.

   An introduction is a caller's packet that another entry VM forwards to the
   owner (core/binding/tracked_owner.h).  A hint is the upstream that an entry
   VM which is not the owner last used for a flow; it is used only if the owner
   has no record of the flow or a provisional one.

   This header is shared by the files of the tracked binding only:

   tracked_table    buckets and flows
   tracked_copy     copying of flows to the backup or the new owner
   tracked_batch    encoding of these copies
   tracked_owner    binding by the owner, introductions
   tracked_binding  packets from callers, upstreams and peers  */

#ifndef AM_CORE_TRACKED_H
#define AM_CORE_TRACKED_H

#include "core/board.h"

#define AM_TRACKED_BUCKETS 4096

/* A flow without packets for this time is removed.  */
#define AM_TRACKED_IDLE_US 300000000u

/* Each entry VM sends a packet of a flow through the owner again after this
   time, so that the flow does not time out at the owner while the other entry
   VMs send its packets directly to the upstream.  */
#define AM_TRACKED_REFRESH_US 100000000u

/* Number of packets of a new flow that an entry VM sends through the owner.
   More than one, because if the introduction is lost, the owner does not
   correct the sender either.  */
#define AM_TRACKED_INTRODUCTIONS 2

/* Maximum number of flows of one service at one entry VM; a new flow then
   replaces the one that has been idle longest.  */
#define AM_TRACKED_FLOWS_MAX 262144

/* How long a new owner sends queries about flows that it does not know to the
   former owner.  */
#define AM_TRACKED_OWNER_QUERY_US 3000000u

/* A backup has all exceptions of the owner after this time: a second failure
   is detected within 5 s of the first, and 10,000 exceptions are copied in
   1 s.  */
#define AM_TRACKED_BACKUP_SYNC_US 10000000u

/* How long a flow is kept whose upstream is not in the active configuration of
   this entry VM: a configuration is active on every entry VM within 6 s.  */
#define AM_TRACKED_UNRESOLVED_US 10000000u

/* A flow is reported as unresponsive after this many packets and this time
   without a packet from its upstream.  */
#define AM_TRACKED_UNRESPONSIVE_PACKETS 5
#define AM_TRACKED_UNRESPONSIVE_US 5000000u

/* Maximum size of a batch in bytes; a batch is one datagram to one peer.  */
#define AM_TRACKED_BATCH_SIZE 1200

/* Maximum number of unacknowledged batches of a service.  */
#define AM_TRACKED_WINDOW_MAX 8

/* Token bucket for copies, over all services: rate in bytes a second and burst
   in bytes.  Together they allow 6 KB a second on average over any minute,
   which is the limit for control traffic.  Only the hand-over of a planned
   stop may exceed it.  */
#define AM_TRACKED_COPY_RATE 3000.0
#define AM_TRACKED_COPY_BURST (60 * AM_TRACKED_COPY_RATE)

#define AM_TRACKED_RETRANSMIT_US 300000u
#define AM_TRACKED_RETRANSMITS_MAX 5

/* A stopping forwarder waits no longer than this for the acknowledgements of
   its hand-over.  */
#define AM_TRACKED_HANDOVER_MAX_US 10000000u

enum am_tracked_message
{
  AM_TRACKED_INTRODUCE = 1, /* a caller's packet, forwarded to the owner */
  AM_TRACKED_BIND = 2,      /* from the owner: upstream of a flow */
  AM_TRACKED_CLEAR = 3,     /* from the owner: a bucket has no exceptions */
  AM_TRACKED_COPY = 4,      /* batch of flows for the backup or new owner */
  AM_TRACKED_COPY_ACK = 5,
  AM_TRACKED_HINTS = 6, /* as COPY, from an entry VM that was not the owner */
};

struct am_tracked_bucket
{
  uint32_t default_id; /* upstream; 0: none is active */
  uint32_t owner_id;   /* member; 0: none is known, act as owner */
  uint32_t backup_id;  /* member; 0: none */
  uint32_t former_id;  /* member that a new owner queries; 0: none */
  uint32_t epoch;      /* incremented when default or owner changes */
  uint32_t exceptions; /* at the owner: flows not at the default */
  uint64_t owner_since_us;
  uint64_t backup_since_us;
  uint64_t owner_boot_id; /* 0: unknown */
  bool owner_restarted;   /* detected by the current recomputation */
  bool copies_missing;    /* likewise; the new owner lacks the copies */
  bool queries_peers;     /* this owner has no copies, queries all home VMs */
  bool changed; /* owner or default changed; every packet goes through
                   the owner until CLEAR */
};

struct am_tracked_flow
{
  struct am_list node;      /* in by_idle_time, longest idle first */
  struct am_list copy_node; /* in copy_queue while a copy is to be sent */
  UT_hash_handle hh;
  uint64_t key; /* am_address_key of the caller */
  uint32_t bucket;
  uint32_t upstream_id;
  uint32_t incarnation; /* of the upstream */
  uint32_t epoch;       /* of the bucket at the last introduction */
  uint32_t introductions;
  bool owned;       /* bound by this entry VM as the owner */
  bool exception;   /* counted in the bucket's exceptions */
  bool hint;        /* to be copied as a hint */
  bool provisional; /* bound to the default, not confirmed */
  bool reported_unresponsive;
  uint32_t unanswered; /* packets sent since the last one received */
  uint64_t unanswered_since_us;
  uint64_t added_us;
  uint64_t introduced_us;
  uint64_t unresolved_since_us; /* 0: the upstream is known here */
  uint64_t seen_us;             /* last packet, introduction or copy */
};

struct am_tracked_batch
{
  uint32_t sequence; /* 0: unused */
  uint32_t to_id;    /* member */
  uint64_t sent_us;
  uint32_t retransmits;
  size_t count; /* flows */
  size_t len;
  uint8_t body[AM_TRACKED_BATCH_SIZE];
};

struct am_tracked
{
  struct am_tracked_bucket buckets[AM_TRACKED_BUCKETS];
  struct am_tracked_flow *flows;
  struct am_list by_idle_time;
  uint64_t inputs_digest; /* hash of the members and upstreams at the last
                             recomputation; 0: none yet */
  struct am_list copy_queue;
  struct am_tracked_batch batches[AM_TRACKED_WINDOW_MAX];
  uint32_t copy_sequence;
  bool handing_over;
};

/* ---- tracked_table ------------------------------------------------ */

/* Returns the index of the bucket of CALLER.  */
uint32_t am_tracked_bucket_of (const struct am_service *s,
                               struct am_address caller);

/* Returns true if this entry VM is the owner of K, or no owner is known.  */
bool am_tracked_is_owner (const struct am_board *b,
                          const struct am_tracked_bucket *k);

/* Returns the flow of CALLER or NULL.  */
struct am_tracked_flow *am_tracked_find (struct am_tracked *t,
                                         struct am_address caller);

/* Adds a flow, which must not exist yet, and returns it, or NULL if memory is
   exhausted.  At AM_TRACKED_FLOWS_MAX flows, the one that has been idle
   longest is removed.  The flow is owned by the table.  */
struct am_tracked_flow *am_tracked_add (struct am_board *b,
                                        struct am_service *s,
                                        struct am_address caller);

/* Removes F and frees it.  */
void am_tracked_remove (struct am_tracked *t, struct am_tracked_flow *f);

/* Restarts the idle time of F.  */
void am_tracked_touch (struct am_board *b, struct am_tracked *t,
                       struct am_tracked_flow *f);

/* Returns the upstream with ID and INCARNATION, or NULL if the active
   configuration lacks it or has it in state retired.  */
struct am_upstream *am_tracked_find_upstream (struct am_service *s,
                                              uint32_t id,
                                              uint32_t incarnation);

/* Returns true if the upstream with ID and INCARNATION may be newer than the
   active configuration of this entry VM, which lacks it or has a lower
   incarnation of it.  ID 0 (no upstream) is not.  */
bool am_tracked_is_newer (struct am_service *s, uint32_t id,
                          uint32_t incarnation);

/* Binds F to the upstream with ID and INCARNATION, whether known here or not,
   and updates the bucket's count of exceptions.  Queues a copy of a new
   exception.  */
void am_tracked_bind (struct am_board *b, struct am_service *s,
                      struct am_tracked_flow *f, uint32_t id,
                      uint32_t incarnation);

/* Returns the upstream of F, or NULL if it is not known here.  */
struct am_upstream *am_tracked_flow_upstream (struct am_service *s,
                                              const struct am_tracked_flow *f);

/* Returns true if F is to be kept although its upstream is not known here: the
   upstream may be newer than the active configuration, for at most
   AM_TRACKED_UNRESOLVED_US.  */
bool am_tracked_is_unresolved (const struct am_board *b, struct am_service *s,
                               const struct am_tracked_flow *f);

/* Returns true if the binding of F is only the default that this entry VM
   assumed when it introduced F to the owner, which may have failed since, and
   F is newer than AM_TRACKED_BACKUP_SYNC_US.  */
bool am_tracked_is_provisional (const struct am_board *b,
                                const struct am_tracked_flow *f);

/* Recomputes defaults, owners, backups and exceptions if members or upstreams
   have changed, and queues the copies that this makes necessary.  */
void am_tracked_recompute (struct am_board *b, struct am_service *s);

/* Queues a copy of F, to the backup if this entry VM is the owner of the
   bucket, else to the owner.  */
void am_tracked_queue_copy (struct am_tracked *t, struct am_tracked_flow *f);

/* Removes idle flows and reports unresponsive ones in decision lines.  */
void am_tracked_expire (struct am_board *b, struct am_service *s);

/* ---- tracked_copy ------------------------------------------------- */

/* Sends new batches and retransmits unacknowledged ones.  In a stopping
   forwarder, starts the hand-over of all flows that it owns.  */
void am_tracked_copy_tick (struct am_board *b, struct am_service *s);

/* Handles AM_TRACKED_COPY or AM_TRACKED_HINTS, and acknowledges it.  Returns
   AM_OK, AM_E_SHORT or AM_E_FORMAT.  */
int am_tracked_copy_receive (struct am_board *b, struct am_service *s,
                             uint32_t sender_id, const uint8_t *body,
                             size_t len);

/* Handles AM_TRACKED_COPY_ACK.  Returns AM_OK or AM_E_FORMAT.  */
int am_tracked_copy_receive_ack (struct am_tracked *t, const uint8_t *body,
                                 size_t len);

/* Returns true if all copies have been sent and acknowledged or given up.  */
bool am_tracked_copy_done (const struct am_tracked *t);

#endif
