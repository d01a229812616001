/* Queue of SYNs that this VM holds back.

   After an outage callers retransmit what they sent during it, which makes
   three to four times the usual load at once.  A first SYN can still be
   answered in time, a retransmission of an older SYN cannot.  Retransmissions
   therefore wait until targets have free slots, earliest deadline first, and
   at most until shortly before their attempt times out.  */

#ifndef AM_FLOW_SYN_QUEUE_H
#define AM_FLOW_SYN_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "flow/packet.h"

#define AM_SYN_QUEUE_MAX 512

/* Largest SYN datagram that can be queued, bytes.  */
#define AM_SYN_QUEUE_DATA_MAX 64

struct am_queued_syn
{
  struct am_packet packet;
  uint32_t service;     /* hash by am_hash_name; 0: not known yet */
  uint64_t enqueued_us; /* of the first transmission queued */
  uint64_t deadline_us; /* leaves the queue at the latest */
  size_t len;
  uint8_t data[AM_SYN_QUEUE_DATA_MAX]; /* datagram as received */
};

struct am_syn_queue
{
  size_t count;
  struct am_queued_syn entries[AM_SYN_QUEUE_MAX]; /* unordered */
};

void am_syn_queue_init (struct am_syn_queue *q);

/* Queues the SYN P for SERVICE until DEADLINE_US at the latest.  DATA is the
   datagram of P, LEN bytes, and is copied.  If a SYN of the same attempt is
   queued (same caller, destination and sequence number), P replaces it, and
   the earlier of the two deadlines applies.  Times are microseconds of the
   monotonic clock.  Returns AM_OK, or AM_E_QUEUE_FULL or AM_E_TOO_LARGE with
   the queue unchanged.  */
int am_syn_queue_add (struct am_syn_queue *q, const struct am_packet *p,
                      uint32_t service, const uint8_t *data, size_t len,
                      uint64_t now_us, uint64_t deadline_us);

/* Returns true if SERVICE has free slots.  */
typedef bool (*am_syn_queue_has_slots) (void *userdata, uint32_t service);

/* Moves one SYN from the queue to *W: the one with the earliest deadline among
   those whose deadline has passed at NOW_US or whose service has free slots
   according to QUERY.  Calls QUERY with USERDATA at most once per service, and
   for at most eight services; any others count as busy.  Returns
   false, with *W unchanged, if no SYN qualifies.  */
bool am_syn_queue_take (struct am_syn_queue *q, uint64_t now_us,
                        am_syn_queue_has_slots query, void *userdata,
                        struct am_queued_syn *w);

#endif
