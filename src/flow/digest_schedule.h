/* When this VM sends digests, to whom, and whether they carry its load.

   Digests go to all VMs of the data centre, so their rate decides what control
   costs as the fleet grows.  Three uses need different rates:

   - Load reports are the largest part.  Their interval grows with the fleet,
     so that each VM receives about the same number per second at any size.
     Target selection allows for their age (see flow/placement.h), but a
     target that fails some of its requests is noticed by those that pile up
     there, the sooner the better.
   - A VM that reads the store confirms with short digests that the replicas of
     its peers are up to date.  Changes come with them.
   - VMs of other data centres need a reader's revision only, in case their own
     readers lose the store, and seeds need to know that this VM exists.

   All times are microseconds of the monotonic clock.  */

#ifndef AM_FLOW_DIGEST_SCHEDULE_H
#define AM_FLOW_DIGEST_SCHEDULE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Interval of load reports for each peer in the data centre, and the range of
   the whole interval.  */
#define AM_DIGEST_LOAD_PER_PEER_US 20000u
#define AM_DIGEST_LOAD_MIN_US 200000u
#define AM_DIGEST_LOAD_MAX_US 5000000u

/* A target that is detected as unresponsive, or responsive again, is reported
   at once, but not sooner than this after the last digest.  */
#define AM_DIGEST_LIVENESS_US 50000u

/* Interval of a reader's digests to VMs of other data centres.  */
#define AM_DIGEST_REMOTE_US 500000u

/* Shortest and longest interval of digests to the seeds, which grows with the
   time since the start.  Until a peer is known, every digest goes to them.  A
   seed forgets a VM after AM_FLEET_PEER_EXPIRY_US.  */
#define AM_DIGEST_SEEDS_MIN_US 1000000u
#define AM_DIGEST_SEEDS_MAX_US 10000000u

struct am_digest_schedule
{
  uint64_t started_us;       /* this VM */
  uint64_t local_us;         /* last digest to the peers of this data centre */
  uint64_t promised_us;      /* time until the next that it named */
  uint64_t loads_us;         /* last digest with the load */
  uint64_t reported_changes; /* am_digest_inputs.liveness_changes in that */
  uint64_t remote_us;        /* last digest to other data centres */
  uint64_t seeds_us;         /* last digest to the seeds */
};

struct am_digest_inputs
{
  size_t peers;              /* live peers in the data centre */
  bool reads;                /* this VM reads the store */
  uint64_t liveness_changes; /* am_path.liveness_changes */
};

/* What to send now.  */
struct am_digest_plan
{
  bool local;  /* to the peers of this data centre */
  bool loads;  /* with the load */
  bool remote; /* to the peers of other data centres */
  bool seeds;
};

void am_digest_schedule_init (struct am_digest_schedule *s, uint64_t now_us);

/* Returns the longest time until the next digest to peers of this data centre,
   and to the seeds.  */
uint64_t am_digest_local_interval_us (const struct am_digest_inputs *in);
uint64_t am_digest_seeds_interval_us (const struct am_digest_schedule *s,
                                      uint64_t now_us);

/* Returns what is due.  If ADVANCED, this VM's replica has just advanced,
   which is told to the peers of this data centre at once.  */
struct am_digest_plan
am_digest_schedule_due (const struct am_digest_schedule *s,
                        const struct am_digest_inputs *in, bool advanced,
                        uint64_t now_us);

/* Records that the digests of PLAN were sent.  */
void am_digest_schedule_sent (struct am_digest_schedule *s,
                              const struct am_digest_plan *plan,
                              const struct am_digest_inputs *in,
                              uint64_t now_us);

#endif
