/* Tracked binding: flows of opaque callers (docs/notes/tracked.md).

   This header is shared by the files of the binding only:

   tracked_table    buckets and flows
   tracked_copy     copies of flows to the next owner
   tracked_batch    their encoding
   tracked_owner    decisions of a bucket's owner, introductions
   tracked_binding  path of a packet  */

#ifndef AM_CORE_TRACKED_H
#define AM_CORE_TRACKED_H

#include "core/board.h"

#define AM_TRACKED_BUCKETS 4096

/* A flow without packets for this time is forgotten.  */
#define AM_TRACKED_IDLE_US 300000000u

/* Each entry VM passes a packet of a flow through the owner again after this
   time, so that the owner does not forget a flow whose packets go straight
   from the others.  */
#define AM_TRACKED_REFRESH_US 100000000u

/* The first packets of a flow at an entry VM go through the owner.  More than
   one, because a lost introduction also loses the owner's correction.  */
#define AM_TRACKED_INTRODUCTIONS 2

/* Flows of one service at one entry VM; the one idle longest is forgotten for
   a new one.  */
#define AM_TRACKED_FLOWS_MAX 262144

/* How long a new owner asks the former one about flows it does not know.  */
#define AM_TRACKED_OWNER_QUERY_US 3000000u

/* A backup has the exceptions of the owner after this time: a second failure
   is noticed within 5 s of the first, and 10,000 exceptions are copied in 1 s.
 */
#define AM_TRACKED_BACKUP_SYNC_US 10000000u

/* How long a flow is kept at an upstream that is not known here: the bound for
   a configuration to be in force everywhere is 6 s.  */
#define AM_TRACKED_UNRESOLVED_US 10000000u

/* A flow is reported silent after this many packets and this time without any
   packet back.  */
#define AM_TRACKED_UNRESPONSIVE_PACKETS 5
#define AM_TRACKED_UNRESPONSIVE_US 5000000u

/* Bytes of one batch; a batch is one datagram to one peer.  */
#define AM_TRACKED_BATCH_SIZE 1200

/* Batches of a service sent and not acknowledged.  */
#define AM_TRACKED_WINDOW_MAX 8

/* Bytes of copies a second, over all services, and those that may be sent at
   once after a pause: in any minute 6 KB a second on average, the bound for
   control traffic.  Only the copies of a planned stop go beyond.  */
#define AM_TRACKED_COPY_RATE 3000.0
#define AM_TRACKED_COPY_BURST (60 * AM_TRACKED_COPY_RATE)

#define AM_TRACKED_RETRANSMIT_US 300000u
#define AM_TRACKED_RETRANSMITS_MAX 5

/* A stop does not wait longer for acknowledgements of the hand-over.  */
#define AM_TRACKED_HANDOVER_MAX_US 10000000u

enum am_tracked_message
{
  AM_TRACKED_INTRODUCE = 1, /* a caller's packet for the owner */
  AM_TRACKED_BIND = 2,      /* owner: the flow is elsewhere than you assume */
  AM_TRACKED_CLEAR = 3,     /* owner: the bucket has no exception */
  AM_TRACKED_COPY = 4,      /* batch of flows for the next owner */
  AM_TRACKED_COPY_ACK = 5,
  AM_TRACKED_HINTS = 6, /* as COPY, of an entry VM that never was the owner */
};

struct am_tracked_bucket
{
  uint32_t default_id; /* upstream; 0: none is active */
  uint32_t owner_id;   /* member; 0: none is known, act as owner */
  uint32_t backup_id;  /* member; 0: none */
  uint32_t former_id;  /* member to ask while the owner warms up */
  uint32_t epoch;      /* raised when default or owner changes */
  uint32_t exceptions; /* at the owner: flows not at the default */
  uint64_t owner_since_us;
  uint64_t backup_since_us;
  uint64_t owner_boot_id; /* 0: unknown */
  bool owner_restarted;   /* found by the present recomputation */
  bool orphaned;          /* as well: the new owner has no copies */
  bool asks;              /* owner without copies: asks the others */
  bool changed;           /* not the owner: every packet goes through it */
};

struct am_tracked_flow
{
  struct am_list node;      /* in by_age, longest idle first */
  struct am_list copy_node; /* in copy.queue while a copy is due */
  UT_hash_handle hh;
  uint64_t key; /* am_address_key of the caller */
  uint32_t bucket;
  uint32_t upstream_id;
  uint32_t incarnation;
  uint32_t epoch; /* of the bucket when it was introduced */
  uint32_t introductions;
  bool owned;     /* this entry VM decided for it as the owner */
  bool exception; /* counted in the bucket's exceptions */
  bool hint;      /* to be copied as a hint */
  bool guess;     /* the default, at which nobody confirmed the flow */
  bool silent;    /* reported */
  uint32_t unanswered;
  uint64_t unanswered_since_us;
  uint64_t added_us;
  uint64_t introduced_us;
  uint64_t unplaced_since_us; /* upstream is not known here; 0: it is */
  uint64_t seen_us;
};

struct am_tracked_batch
{
  uint32_t sequence; /* 0: free */
  uint32_t to_id;
  uint64_t sent_us;
  uint32_t resends;
  size_t count; /* flows */
  size_t len;
  uint8_t body[AM_TRACKED_BATCH_SIZE];
};

struct am_tracked
{
  struct am_tracked_bucket buckets[AM_TRACKED_BUCKETS];
  struct am_tracked_flow *flows;
  struct am_list by_age;
  uint64_t inputs_digest; /* of the members and upstreams last computed for */
  struct am_list copy_queue;
  struct am_tracked_batch batches[AM_TRACKED_WINDOW_MAX];
  uint32_t copy_sequence;
  bool handing_over;
};

/* ---- tracked_table ------------------------------------------------ */

uint32_t am_tracked_bucket_of (const struct am_service *s,
                               struct am_address caller);

/* Returns true if this entry VM decides for the flows of K.  */
bool am_tracked_is_owner (const struct am_board *b,
                          const struct am_tracked_bucket *k);

struct am_tracked_flow *am_tracked_find (struct am_tracked *t,
                                         struct am_address caller);

/* Adds a flow, or returns NULL if memory is out.  */
struct am_tracked_flow *am_tracked_add (struct am_board *b,
                                        struct am_service *s,
                                        struct am_address caller);
void am_tracked_remove (struct am_tracked *t, struct am_tracked_flow *f);
void am_tracked_touch (struct am_board *b, struct am_tracked *t,
                       struct am_tracked_flow *f);

/* Returns the upstream with ID and INCARNATION if it may have flows.  */
struct am_upstream *am_tracked_find_upstream (struct am_service *s,
                                              uint32_t id,
                                              uint32_t incarnation);

/* Returns true if an upstream with ID and INCARNATION is not known here and
   may be newer than the configuration in force here.  */
bool am_tracked_is_newer (struct am_service *s, uint32_t id,
                          uint32_t incarnation);

/* Binds F to the upstream with ID and INCARNATION, known here or not, and
   keeps the bucket's count of exceptions.  */
void am_tracked_assign (struct am_board *b, struct am_service *s,
                        struct am_tracked_flow *f, uint32_t id,
                        uint32_t incarnation);

/* Returns the upstream of F, or NULL if it is not known here.  */
struct am_upstream *am_tracked_flow_upstream (struct am_service *s,
                                              const struct am_tracked_flow *f);

/* Returns true if F is to be kept although its upstream is not known here.  */
bool am_tracked_is_unresolved (const struct am_board *b, struct am_service *s,
                               const struct am_tracked_flow *f);

/* Returns true if nothing is known of F here but the default of its bucket,
   with which it was introduced to an owner that may have been gone.  */
bool am_tracked_is_provisional (const struct am_board *b,
                                const struct am_tracked_flow *f);

/* Recomputes defaults, owners, backups and exceptions.  */
void am_tracked_recompute (struct am_board *b, struct am_service *s);

/* Plans a copy of F to the member that will need it.  */
void am_tracked_queue_copy (struct am_tracked *t, struct am_tracked_flow *f);

/* Forgets idle flows and reports silent ones.  */
void am_tracked_expire (struct am_board *b, struct am_service *s);

/* ---- tracked_copy ------------------------------------------------- */

/* Sends due batches; starts the hand-over of a stopping forwarder.  */
void am_tracked_copy_tick (struct am_board *b, struct am_service *s);

/* Handle AM_TRACKED_COPY or AM_TRACKED_HINTS, and AM_TRACKED_COPY_ACK.  Return
   AM_OK, AM_E_SHORT or AM_E_FORMAT.  */
int am_tracked_copy_receive (struct am_board *b, struct am_service *s,
                             uint32_t sender_id, const uint8_t *body,
                             size_t len);
int am_tracked_copy_receive_ack (struct am_tracked *t, const uint8_t *body,
                                 size_t len);

/* Returns true if nothing waits to be copied or acknowledged.  */
bool am_tracked_copy_done (const struct am_tracked *t);

#endif
