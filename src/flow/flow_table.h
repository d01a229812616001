/* Flows that this entry VM has seen lately.

   Carrying a flow needs no state; the table only feeds what is known of the
   load and the life of targets.  It is bounded, and the flow that was seen
   longest ago gives way.  */

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

/* About 6 MB of flows.  */
#define AM_FLOW_MAX 65536

enum am_flow_state
{
  AM_FLOW_OPENING, /* SYN forwarded */
  AM_FLOW_OPEN,    /* the caller has answered the target's SYN+ACK */
  AM_FLOW_CLOSING, /* the caller has sent its FIN */
};

struct am_flow
{
  struct am_list bucket; /* in am_flow_table.buckets */
  struct am_list node;   /* in am_flow_table.by_age, oldest first */
  struct am_address caller;
  struct am_address route;
  struct am_target *target; /* whose load counts this flow; may be NULL */
  enum am_flow_state state;
  bool busy;         /* a request has no answer yet */
  uint32_t syn_seq;  /* of its SYN */
  uint32_t next_seq; /* after the last byte of the caller's data */
  uint32_t ack;      /* highest sent by the caller */
  uint64_t asked_us; /* SYN or request forwarded */
  uint64_t seen_us;  /* last packet of the caller */
};

struct am_flow_table
{
  struct am_list buckets[AM_FLOW_BUCKETS];
  struct am_list by_age;
  size_t count;
};

void am_flow_table_init (struct am_flow_table *t);
void am_flow_table_finish (struct am_flow_table *t);

/* Returns the same hash for each packet of the caller on one flow.  */
uint64_t am_flow_hash (const struct am_packet *p);

/* Returns the flow of P, or NULL.  */
struct am_flow *am_flow_find (struct am_flow_table *t,
                              const struct am_packet *p);

/* Adds the flow of P at TARGET, in STATE.  Returns NULL if memory fails.  */
struct am_flow *am_flow_add (struct am_flow_table *t,
                             const struct am_packet *p,
                             struct am_target *target,
                             enum am_flow_state state, uint64_t now_us);

/* Change the load of the flow's target together with the flow.  */
void am_flow_set_target (struct am_flow *f, struct am_target *target);
void am_flow_set_state (struct am_flow *f, enum am_flow_state state);
void am_flow_set_busy (struct am_flow *f, bool busy);

/* Marks F as seen at NOW_US.  */
void am_flow_touch (struct am_flow_table *t, struct am_flow *f,
                    uint64_t now_us);

void am_flow_remove (struct am_flow_table *t, struct am_flow *f);

/* Removes the flows not seen for IDLE_US.  */
void am_flow_table_expire (struct am_flow_table *t, uint64_t now_us,
                           uint64_t idle_us);

/* TARGET is about to be forgotten: its flows have no target.  */
void am_flow_table_detach_target (struct am_flow_table *t,
                                  const struct am_target *target);

#endif
