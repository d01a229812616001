/* How many requests this VM may have in progress, by service and data centre.

   If callers want more than the targets can serve, each target fills its queue
   and sheds the rest, and whichever packet arrives first decides who is
   served.  Reports of other VMs are too old to prevent this: in the time
   between two of them each VM could fill all targets by itself.  Its own
   requests in progress a VM knows exactly.  So each VM keeps these within its
   share of what the targets bear.  New flows that exceed the share wait in
   this VM (see flow/syn_queue.h), where the order in which they are served can
   be chosen.

   The share of the own data centre is an equal part for each VM there, as the
   routers spread flows evenly.  It allows more requests than the targets have
   slots, so that all slots are in use although the VMs' loads differ.  A part
   of it is reserved for routes of better priority, by their part of the new
   flows: these need not wait for the requests of others.

   Other data centres are open to a VM as far as their own callers leave room:
   their reports count only these.  What is left is divided among the VMs of
   the data centres that are loaded themselves, so that they do not overload it
   together, and flows do not swing back and forth on old reports.  A data
   centre whose callers fill it is closed to others.  */

#ifndef AM_FLOW_ADMISSION_H
#define AM_FLOW_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "flow/candidate.h"

/* Requests in progress per slot up to which a data centre is open.  Some of
   them are on their way between caller and target.  */
#define AM_ADMISSION_PER_SLOT 3.75

/* A data centre whose own callers have this many requests in progress per slot
   is closed to others: it is about to be full.  */
#define AM_ADMISSION_CLOSED_PER_SLOT 2.0

/* A data centre with fewer requests in progress per slot sends none to
   others.  */
#define AM_ADMISSION_SENDER_PER_SLOT 1.0

/* Part of the room that is reserved for flows of better priority, if there are
   any: at least and at most.  */
#define AM_ADMISSION_RESERVED_MIN 0.15
#define AM_ADMISSION_RESERVED_MAX 0.25

/* Part of the new flows of a service up to which better ones count as none. */
#define AM_ADMISSION_BETTER_MIN 0.01

/* Data centres that are told apart, the own one always among them.  The others
   have no room, and get a flow only if no data centre is open.  */
#define AM_ADMISSION_DATA_CENTRES_MAX 32

/* Room of one data centre for the flows of a service.  */
struct am_room
{
  uint32_t data_centre;
  double slots;  /* of the usable targets that accept the flow */
  double own;    /* requests in progress there, by flows through this VM */
  double load;   /* requests in progress per slot, as far as known, without
                    OWN in another data centre */
  bool reported; /* LOAD is that of a report of another data centre */
  double limit;  /* requests that this VM may have in progress there */
  bool open;     /* the flow may be placed there */
};

struct am_admission
{
  size_t count;
  struct am_room rooms[AM_ADMISSION_DATA_CENTRES_MAX];
  bool complete; /* each usable target is in one of the rooms */
};

/* Sets *A to the room for the flow of P.  */
void am_admission_measure (struct am_admission *a,
                           const struct am_target_table *t,
                           const struct am_placement *p);

/* Returns the room of DATA_CENTRE, or NULL if it has none.  */
const struct am_room *am_admission_room (const struct am_admission *a,
                                         uint32_t data_centre);

/* Returns true if a data centre is open to the flow, or none has a usable
   target: there is no room to wait for then.  */
bool am_admission_admits (const struct am_admission *a);

/* Return the requests that this VM has in progress in all, and those that it
   may have.  */
double am_admission_requests (const struct am_admission *a);
double am_admission_limit (const struct am_admission *a);

#endif
