/* Decisions on SYNs: placed, made to wait, or turned away.

   Part of the packet path, whose state it uses; see flow/packet_path.h.  A new
   flow needs a route, room (flow/admission.h) and a target
   (flow/placement.h).  Without room its SYN waits (flow/syn_queue.h), unless
   it would wait in vain.  */

#ifndef AM_FLOW_NEW_FLOW_H
#define AM_FLOW_NEW_FLOW_H

#include "flow/packet_path.h"

/* Decide on the SYN PACKET, and on one that waits.  Arguments and results are
   those of am_path_process and am_path_dequeue.  */
struct am_decision am_new_flow_process (struct am_path *p,
                                        const struct am_packet *packet,
                                        const uint8_t *data, size_t len,
                                        uint64_t now_us);
bool am_new_flow_dequeue (struct am_path *p, struct am_queued_syn *w,
                          struct am_decision *d, uint64_t now_us);

#endif
