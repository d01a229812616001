/* Packets that open flows and wait in this VM.

   The load pattern it answers: after an outage callers send again what they
   sent meanwhile, three and four times the usual load at once.  What comes
   first-hand can still be answered in time, a copy of an older SYN cannot.  So
   copies wait until targets have free slots, those whose attempt ends first
   going first, and no longer than until shortly before the attempt ends.  */

#ifndef AM_FLOW_OPEN_QUEUE_H
#define AM_FLOW_OPEN_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "flow/packet.h"

#define AM_OPEN_QUEUE_MAX 512

/* Largest packet that opens a flow, bytes.  */
#define AM_OPEN_QUEUE_DATA_MAX 64

struct am_queued_syn
{
  struct am_packet packet;
  uint32_t service; /* am_hash_name; 0: not known yet */
  uint64_t since_us;
  uint64_t until_us; /* it goes on at the latest */
  size_t len;
  uint8_t data[AM_OPEN_QUEUE_DATA_MAX]; /* as it came */
};

struct am_open_queue
{
  size_t count;
  struct am_queued_syn waiting[AM_OPEN_QUEUE_MAX];
};

void am_open_queue_init (struct am_open_queue *q);

/* Adds P of SERVICE, whose bytes are DATA, to wait until UNTIL_US at most.  A
   later copy of a SYN that waits takes its place and keeps the earlier end.
   Returns AM_OK, or AM_E_QUEUE_FULL or AM_E_TOO_LARGE with nothing added.  */
int am_open_queue_add (struct am_open_queue *q, const struct am_packet *p,
                       uint32_t service, const uint8_t *data, size_t len,
                       uint64_t now_us, uint64_t until_us);

/* Returns true if SERVICE has free slots.  */
typedef bool (*am_open_queue_has_slots) (void *userdata, uint32_t service);

/* Takes the packet that goes on at NOW_US into W: of those whose wait has
   ended or whose service is FREE, the one whose wait ends first.  Returns
   false if there is none.  FREE is called once for each run of one service. */
bool am_open_queue_take (struct am_open_queue *q, uint64_t now_us,
                         am_open_queue_has_slots free, void *userdata,
                         struct am_queued_syn *w);

#endif
