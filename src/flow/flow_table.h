/* Flows that this entry VM has seen recently.

   Packets are forwarded without this table.  It only supplies observations of
   the load and the liveness of targets.  Its size is bounded: when it is full,
   the least recently seen flow is evicted.

   Times are microseconds of the monotonic clock.  */

#ifndef AM_FLOW_FLOW_TABLE_H
#define AM_FLOW_FLOW_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "base/list.h"
#include "flow/packet.h"
#include "flow/target_table.h"

#define AM_FLOW_BUCKETS 4096

/* Maximum number of flows; they take about 6 MB.  */
#define AM_FLOW_MAX 65536

enum am_flow_state
{
  AM_FLOW_OPENING, /* SYN forwarded */
  AM_FLOW_OPEN,    /* the caller has acknowledged the target's SYN+ACK */
  AM_FLOW_CLOSING, /* the caller has sent its FIN */
};

struct am_flow
{
  struct am_list bucket; /* in am_flow_table.buckets */
  struct am_list node;   /* in am_flow_table.by_age */
  struct am_list recent; /* in am_flow_table.recent, if it is */
  struct am_address caller;
  struct am_address destination;
  struct am_target *target; /* its load includes this flow; may be NULL */
  enum am_flow_state state;
  bool busy;              /* a request is unanswered */
  uint8_t repeats;        /* times that its last data was retransmitted */
  uint8_t requests;       /* packets with new data, up to 255 */
  uint64_t repeated_us;   /* first of these; 0: none */
  uint32_t syn_seq;       /* sequence number of its SYN */
  uint32_t next_seq;      /* after the last byte of the caller's data */
  uint32_t ack;           /* highest acknowledgement sent by the caller */
  uint64_t forwarded_us;  /* last new SYN or request forwarded */
  uint64_t seen_us;       /* last packet of the caller */
  uint64_t recent_end_us; /* until then its SYN or request is recent; 0: it is
                             not */
};

struct am_flow_table
{
  struct am_list buckets[AM_FLOW_BUCKETS];
  struct am_list by_age; /* least recently seen first */
  struct am_list recent; /* flows whose SYN or request is recent, oldest
                            first */
  size_t count;
};

void am_flow_table_init (struct am_flow_table *t);

/* Frees all flows; their targets must still exist.  */
void am_flow_table_finish (struct am_flow_table *t);

/* Returns a hash of the caller and the destination of P: the same for every
   packet of a flow and on every entry VM.  */
uint64_t am_flow_hash (const struct am_packet *p);

/* Returns the flow of P, owned by the table, or NULL.  */
struct am_flow *am_flow_find (struct am_flow_table *t,
                              const struct am_packet *p);

/* Adds the flow of P, which must not be in the table yet, at TARGET in STATE.
   Evicts another flow if the table is full.  Returns the flow, owned by the
   table, or NULL if out of memory.  */
struct am_flow *am_flow_add (struct am_flow_table *t,
                             const struct am_packet *p,
                             struct am_target *target,
                             enum am_flow_state state, uint64_t now_us);

/* Change a field of F and the load counters of its target with it.  TARGET may
   be NULL.  A flow that is open, or no longer busy, is not recent.  */
void am_flow_set_target (struct am_flow *f, struct am_target *target);
void am_flow_set_state (struct am_flow *f, enum am_flow_state state);
void am_flow_set_busy (struct am_flow *f, bool busy);

/* The caller of F has sent a request, or a part of one, which counts as recent
   until RECENT_END_US unless it is answered before.  */
void am_flow_begin_request (struct am_flow_table *t, struct am_flow *f,
                            uint64_t recent_end_us);

/* The SYN or the request of F counts as recent until END_US, unless it is
   answered before.  */
void am_flow_set_recent (struct am_flow_table *t, struct am_flow *f,
                         uint64_t end_us);

/* Ends it for the flows whose time is over at NOW_US, oldest first, up to the
   first one whose time is not.  */
void am_flow_table_expire_recent (struct am_flow_table *t, uint64_t now_us);

/* Makes F the most recently seen flow, as of NOW_US.  */
void am_flow_touch (struct am_flow_table *t, struct am_flow *f,
                    uint64_t now_us);

/* Removes F from the table and from the load of its target, and frees it.  */
void am_flow_remove (struct am_flow_table *t, struct am_flow *f);

/* Removes the flows that were last seen IDLE_US or more before NOW_US.  */
void am_flow_table_expire (struct am_flow_table *t, uint64_t now_us,
                           uint64_t idle_us);

/* Sets the target of the flows at TARGET to NULL.  To be called before TARGET
   is freed; its load counters are left as they are.  */
void am_flow_table_detach_target (struct am_flow_table *t,
                                  const struct am_target *target);

#endif
