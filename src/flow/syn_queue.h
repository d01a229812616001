/* Queue of SYNs that this VM holds back, and their order.

   SYNs wait for the first configuration after the start of this VM, and while
   callers want more than the targets can serve (see flow/admission.h).  One
   that was retransmitted gives way to first transmissions, which can still be
   answered in time: it waits until targets have free slots.  A SYN waits at
   most until its deadline, after which it could not be served in time.

   In which order SYNs leave is the choice of a policy.  */

#ifndef AM_FLOW_SYN_QUEUE_H
#define AM_FLOW_SYN_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "flow/packet.h"
#include "flow/route_table.h"

#define AM_SYN_QUEUE_MAX 512

/* Largest SYN datagram that can be queued, bytes.  */
#define AM_SYN_QUEUE_DATA_MAX 64

/* Callers are counted in this number of classes, by a hash of their address;
   those of one class share what one caller gets.  */
#define AM_SYN_QUEUE_CALLER_CLASSES 4096

/* Time in which what a caller has been served counts half.  */
#define AM_SYN_QUEUE_CALLER_HALF_US 1000000u

struct am_queued_syn
{
  struct am_packet packet;
  uint32_t service;     /* hash by am_hash_name; 0: not known yet */
  uint32_t priority;    /* of its route; 0 is the highest */
  uint32_t caller;      /* class of its caller */
  bool first_unseen;    /* its first transmission was not queued */
  uint64_t enqueued_us; /* of the first transmission queued */
  uint64_t deadline_us; /* leaves the queue at the latest */
  size_t len;
  uint8_t data[AM_SYN_QUEUE_DATA_MAX]; /* datagram as received */
};

struct am_syn_queue;

/* Order in which SYNs leave the queue.  */
struct am_syn_queue_policy
{
  const char *name;

  /* Returns true if A leaves Q before B.  */
  bool (*before) (const struct am_syn_queue *q, const struct am_queued_syn *a,
                  const struct am_queued_syn *b, uint64_t now_us);
};

/* First come, first served.  */
extern const struct am_syn_queue_policy am_syn_queue_first_come;

/* By priority, but a SYN gains a priority with each AM_SYN_QUEUE_AGEING_US
   that it waits.  */
#define AM_SYN_QUEUE_AGEING_US 100000u
extern const struct am_syn_queue_policy am_syn_queue_ageing;

/* By priority, then by deadline; a priority of which one in
   AM_SYN_QUEUE_FLOOR of the last SYNs was, or fewer, goes first.  */
#define AM_SYN_QUEUE_FLOOR 20
extern const struct am_syn_queue_policy am_syn_queue_floor;

/* By priority, then callers that were served less, then by deadline.  A caller
   that opens many flows at once so does not take the room of others.  */
extern const struct am_syn_queue_policy am_syn_queue_fair;

struct am_syn_queue
{
  const struct am_syn_queue_policy *policy;
  size_t count;
  struct am_queued_syn entries[AM_SYN_QUEUE_MAX]; /* unordered */
  bool has_displaced;
  struct am_queued_syn displaced; /* by a SYN that goes before it; leaves with
                                     the next am_syn_queue_take */
  double taken[AM_ROUTE_PRIORITY_COUNT]; /* SYNs that left, by priority; each
                                            worth less the more followed */
  uint16_t served[AM_SYN_QUEUE_CALLER_CLASSES]; /* SYNs that left, by class of
                                                   callers */
  uint64_t halved_us; /* when SERVED was last halved */
};

/* POLICY must outlive Q.  */
void am_syn_queue_init (struct am_syn_queue *q,
                        const struct am_syn_queue_policy *policy);

/* Queues the SYN P for SERVICE, of PRIORITY below AM_ROUTE_PRIORITY_COUNT,
   until DEADLINE_US at the latest. DATA is the datagram of P, LEN bytes, and
   is copied.  If a SYN of the same attempt is queued (same caller, destination
   and sequence number), P replaces it, and the earlier of the two deadlines
   applies.  If the queue is full, the SYN that would leave it last, if that is
   not P, is displaced: it is returned by the next am_syn_queue_take with its
   deadline set to now.  Times are microseconds of the monotonic clock. Returns
   AM_OK, or AM_E_QUEUE_FULL or AM_E_TOO_LARGE with the queue unchanged.  */
int am_syn_queue_add (struct am_syn_queue *q, const struct am_packet *p,
                      uint32_t service, uint32_t priority, const uint8_t *data,
                      size_t len, uint64_t now_us, uint64_t deadline_us);

/* Returns true if a SYN of the same attempt as P is queued.  */
bool am_syn_queue_holds (const struct am_syn_queue *q,
                         const struct am_packet *p);

/* Returns the number of SYNs of SERVICE that leave before one of PRIORITY of
   the caller of P with this deadline would.  */
size_t am_syn_queue_ahead (const struct am_syn_queue *q,
                           const struct am_packet *p, uint32_t service,
                           uint32_t priority, uint64_t now_us,
                           uint64_t deadline_us);

/* Returns true if W need not wait any longer.  */
typedef bool (*am_syn_queue_may_leave) (void *userdata,
                                        const struct am_queued_syn *w);

/* Moves one SYN from the queue to *W: one whose deadline has passed at NOW_US,
   otherwise the first one by the policy among those that may leave according
   to QUERY.  Calls QUERY with USERDATA at most once for each combination of
   service, priority and whether it is a first transmission, and for at most
   sixteen of these; any others wait.  Returns false, with *W unchanged, if no
   SYN qualifies.  */
bool am_syn_queue_take (struct am_syn_queue *q, uint64_t now_us,
                        am_syn_queue_may_leave query, void *userdata,
                        struct am_queued_syn *w);

#endif
