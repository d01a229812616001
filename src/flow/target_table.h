/* The targets that this entry VM knows, alive and recently gone.

   A target is one incarnation of an upstream.  Its ticket, 32 bits computed
   from its id alone, travels in every packet of its flows, so each entry VM
   finds the target of a flow without a flow table.  A target that has gone
   stays known for AM_TARGET_RETENTION_US: late packets still go to its id,
   which no other process at the address accepts.

   All times are microseconds of the caller's monotonic clock.  */

#ifndef AM_FLOW_TARGET_TABLE_H
#define AM_FLOW_TARGET_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "base/list.h"

/* A flow may be this old before the platform allows to forget it.  */
#define AM_TARGET_RETENTION_US 60000000u

#define AM_TARGET_BUCKETS 1024

enum am_target_state
{
  AM_TARGET_READY,
  AM_TARGET_DRAINING, /* keeps its flows, takes no new ones */
  AM_TARGET_REMOVED,  /* its registration ended */
};

/* What discovery says of a target.  */
struct am_target_spec
{
  uint64_t id;          /* incarnation; written before each packet */
  uint64_t started_ms;  /* wall clock of its start; 0: not told */
  uint32_t service;     /* am_hash_name of the service */
  uint32_t data_centre; /* am_hash_name of the data centre */
  struct am_address address;
  uint32_t slots;
  uint32_t warm_up_ms; /* time for which it stays slow */
  bool draining;
};

/* Load of a target as seen in the packets of flows.  */
struct am_target_load
{
  uint32_t opening;    /* SYN forwarded, no further packet of the caller */
  uint32_t open_flows; /* opened and not finished */
  uint32_t busy;       /* flows whose request has no answer yet */
};

struct am_target
{
  struct am_list by_ticket; /* in am_target_table.tickets */
  struct am_list by_id;     /* in am_target_table.ids */
  struct am_list node;      /* in am_target_table.targets */
  struct am_target_spec spec;
  uint32_t ticket;
  enum am_target_state state;
  bool ambiguous;             /* shares its ticket with a target of lower id */
  uint64_t warm_up_end_us;    /* end of its warm-up */
  uint64_t absent_since_us;   /* registration missing since; 0: present */
  uint64_t removed_us;        /* when it was taken as gone */
  struct am_target_load load; /* by this entry VM's flows */
  struct am_target_load peers_load; /* by those of its peers */
  /* Evidence of the flows, see flow/liveness.h.  */
  uint64_t last_progress_us; /* last sign of life; 0: none yet */
  uint64_t silent_us;        /* first SYN without an answer since; 0: none */
  uint64_t retry_us;         /* no new flow before this while it is silent */
  uint64_t
      first_failure_us; /* unanswered packet after the last sign of life */
  uint64_t failure_us;  /* last unanswered packet */
  uint32_t failures;    /* unanswered packets since the last sign of life */
  uint32_t silent_at;   /* peers that hear nothing from it either */
};

struct am_target_table
{
  struct am_list tickets[AM_TARGET_BUCKETS];
  struct am_list ids[AM_TARGET_BUCKETS];
  struct am_list targets;
  size_t count;
  size_t ready_count;
  uint32_t data_centre; /* of this VM, am_hash_name; set by the driver */
};

void am_target_table_init (struct am_target_table *t);
void am_target_table_finish (struct am_target_table *t);

/* Returns the ticket of the target ID.  Never zero.  */
uint32_t am_target_ticket (uint64_t id);

/* Sets the target S->id to S; it is present from now on.  *TARGET is set on
   success and may be NULL.  Returns AM_OK or AM_E_MEMORY.  */
int am_target_table_put (struct am_target_table *t,
                         const struct am_target_spec *s, uint64_t now_us,
                         struct am_target **target);

/* The registration of ID is missing since NOW_US.  The target is as before
   until am_target_table_sweep takes it as gone.  */
void am_target_table_mark_absent (struct am_target_table *t, uint64_t id,
                                  uint64_t now_us);

/* What the owner of a table is told by am_target_table_sweep; a function may
   be NULL.  */
struct am_target_events
{
  void (*gone) (void *userdata, const struct am_target *target);
  void (*forgotten) (void *userdata, const struct am_target *target);
  void *userdata;
};

/* Takes as gone the targets that are absent, unless GRACE_END_US, before
   which absence proves nothing, lies ahead; forgets those that went
   AM_TARGET_RETENTION_US ago.  A forgotten target is freed after the call.  */
void am_target_table_sweep (struct am_target_table *t, uint64_t now_us,
                            uint64_t grace_end_us,
                            const struct am_target_events *events);

/* Return the target or NULL.  by_ticket prefers, of targets that share the
   ticket, one of SERVICE (0: any).  */
struct am_target *am_target_by_id (struct am_target_table *t, uint64_t id);
struct am_target *am_target_by_ticket (struct am_target_table *t,
                                       uint32_t ticket, uint32_t service);

#endif
