/* Table of the targets known to this entry VM, both registered ones and those
   removed recently.

   A target is one incarnation of an upstream.  Its ticket, a 32-bit hash of
   its id alone, is carried in every packet of its flows, so that each entry
   VM finds the target of a flow without a flow table.  A removed target stays
   in the table for AM_TARGET_RETENTION_US: late packets are still sent to its
   id, which no other process at the same address accepts.

   All times are microseconds of the monotonic clock, unless said
   otherwise.  */

#ifndef AM_FLOW_TARGET_TABLE_H
#define AM_FLOW_TARGET_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "base/list.h"

/* Time for which a removed target is kept.  The platform requires that packets
   of a flow up to this age still find its target.  */
#define AM_TARGET_RETENTION_US 60000000u

/* A target whose registration cannot be used is removed after this time: a
   running one has written it again by then, also with heartbeats some seconds
   apart.  Callers that wait for one that has failed do not wait for this, see
   flow/liveness.h.  */
#define AM_TARGET_UNUSABLE_US 30000000u

#define AM_TARGET_BUCKETS 1024

enum am_target_state
{
  AM_TARGET_READY,
  AM_TARGET_DRAINING, /* keeps its flows, receives no new ones */
  AM_TARGET_REMOVED,  /* its registration ended */
};

/* A target as described by service discovery.  */
struct am_target_spec
{
  uint64_t id;           /* incarnation; prefixed to each forwarded packet */
  uint64_t registration; /* hash of the key of its registration */
  uint64_t started_ms;   /* wall clock, process start; 0: not reported */
  uint64_t seq;          /* rises with each state that this process reports */
  uint32_t service;      /* hash of its name by am_hash_name */
  uint32_t data_centre;  /* hash of its name by am_hash_name */
  struct am_address address;
  uint32_t slots;      /* requests that it serves at the same time */
  uint32_t warm_up_ms; /* remaining warm-up time */
  bool draining;
};

/* Load of a target, as observed in the packets of its flows.  */
struct am_target_load
{
  uint32_t opening;    /* SYN forwarded, no further packet from the caller */
  uint32_t open_flows; /* established and not finished */
  uint32_t busy;       /* flows with an unanswered request */
  uint32_t recent;     /* of the opening and busy ones, those whose SYN or
                          request is recent: a caller does not acknowledge the
                          last packet of a response, so a flow may seem busy
                          until its next request */
  uint32_t later;      /* of the recent ones, those on flows that have sent
                          data before; not reported */
};

struct am_target
{
  struct am_list by_ticket; /* in am_target_table.tickets */
  struct am_list by_id;     /* in am_target_table.ids */
  struct am_list node;      /* in am_target_table.targets */
  struct am_target_spec spec;
  uint32_t ticket;
  enum am_target_state state;
  bool ambiguous;             /* shares its ticket with an older target */
  uint64_t warm_up_end_us;    /* end of warm-up: it is slower until then */
  uint64_t warm_up_next_us;   /* while it warms up and its service has a limit:
                                 no new flow from this VM before this */
  uint64_t absent_since_us;   /* registration missing since; 0: present */
  uint64_t unusable_since_us; /* registration not usable since; 0: it is */
  uint64_t removed_us;        /* when its state became AM_TARGET_REMOVED */
  struct am_target_load load; /* from flows through this entry VM */
  struct am_target_load peers_load; /* from flows through its peers */
  /* Observations from flows, see flow/liveness.h.  */
  uint64_t last_progress_us;    /* last sign of a response; 0: none yet */
  uint64_t last_accepted_us;    /* last flow that opened; 0: none yet */
  uint64_t unanswered_since_us; /* first SYN sent, or packet unanswered, since
                                   the last progress; 0: none */
  uint64_t retry_us; /* while it is unresponsive: no new flow before this */
  uint64_t last_unanswered_us;       /* last unanswered packet, SYN or data */
  uint32_t unanswered_count;         /* such packets since last progress */
  uint64_t first_data_unanswered_us; /* first retransmission of the first data
                                        that was retransmitted again since the
                                        last progress */
  uint64_t last_data_unanswered_us;  /* last such data */
  uint32_t data_unanswered_count;    /* such packets since last progress */
  uint32_t reporting_peers;          /* peers that report it as unresponsive */
  uint32_t data_reporting_peers;     /* those that report unanswered data */
  uint64_t data_reported_since_us;   /* since when there is one of these */
  /* Used by am_placement_choose alone.  */
  double cost;
  struct am_target *next_candidate;
};

struct am_target_table
{
  struct am_list tickets[AM_TARGET_BUCKETS];
  struct am_list ids[AM_TARGET_BUCKETS];
  struct am_list targets;
  size_t count;         /* removed ones included */
  size_t ready_count;   /* in state AM_TARGET_READY */
  uint32_t data_centre; /* of this VM, set by am_path_init */
};

void am_target_table_init (struct am_target_table *t);

/* Frees all targets.  */
void am_target_table_finish (struct am_target_table *t);

/* Returns the ticket of the target ID, a hash of ID.  Never zero.  */
uint32_t am_target_ticket (uint64_t id);

/* Adds the target S->id or updates it to S, and marks it as present.  A
   changed started_ms resets its liveness observations.  On
   success *TARGET is set to the target, which the table owns; TARGET may be
   NULL.  Returns AM_OK, AM_E_MEMORY, or AM_E_EXISTS if another registration
   has this id and has not been removed.  */
int am_target_table_put (struct am_target_table *t,
                         const struct am_target_spec *s, uint64_t now_us,
                         struct am_target **target);

/* Records that REGISTRATION of ID is missing since NOW_US.  The target stays
   in use until am_target_table_sweep removes it.  No effect if ID is unknown,
   removed, already absent or has another registration.  */
void am_target_table_mark_absent (struct am_target_table *t, uint64_t id,
                                  uint64_t registration, uint64_t now_us);

/* Records that REGISTRATION of ID cannot be used: another writer has replaced
   it.  The target keeps its flows and receives no new ones; if it runs, it
   registers again, otherwise am_target_table_sweep removes it after
   AM_TARGET_UNUSABLE_US.  No effect as above.  */
void am_target_table_mark_unusable (struct am_target_table *t, uint64_t id,
                                    uint64_t registration, uint64_t now_us);

/* Returns true if S, which the store's copy has, is an earlier state of G than
   that which is known, or one that G has left since.  */
bool am_target_is_ahead_of (const struct am_target *g,
                            const struct am_target_spec *s);

/* Callbacks of am_target_table_sweep; each may be NULL.  REMOVED is called
   when a target has become AM_TARGET_REMOVED, EXPIRED before it is freed.  */
struct am_target_events
{
  void (*removed) (void *userdata, const struct am_target *target);
  void (*expired) (void *userdata, const struct am_target *target);
  void *userdata;
};

/* Sets absent targets, and those unusable for AM_TARGET_UNUSABLE_US, to
   AM_TARGET_REMOVED once NOW_US has reached GRACE_END_US; before that time
   absence is not conclusive.  Frees targets that were removed more than
   AM_TARGET_RETENTION_US ago.  */
void am_target_table_sweep (struct am_target_table *t, uint64_t now_us,
                            uint64_t grace_end_us,
                            const struct am_target_events *events);

/* Return the target, owned by the table, or NULL.  If several targets share
   TICKET, am_target_by_ticket prefers one of SERVICE (0: any), then the oldest
   one.  */
struct am_target *am_target_by_id (struct am_target_table *t, uint64_t id);
struct am_target *am_target_by_ticket (struct am_target_table *t,
                                       uint32_t ticket, uint32_t service);

#endif
