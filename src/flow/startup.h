/* Source from which a VM that has just started obtains its replica.

   When all VMs of a fleet start together, their listings saturate the link of
   the store, and each VM waits for all others.  A peer supplies the same
   items, compressed to a tenth, as soon as it has them.  So a VM asks the
   seeds of its settings from its start.  If a listing would take long on its
   own link, it also looks up the suppliers that the store names (see
   flow/suppliers.h), which is one small call, and asks these first.  It lists
   the store after the time that a listing takes on its link: the VMs with wide
   links list at once, and have the items when those with narrow links would
   begin.  A source whose host does not answer, as after a loss of power, is
   not waited for, and once none has answered the store is listed.  One that
   answers without a replica, as it starts too or serves others, is asked
   again.  Whichever answer is complete first is used.

   All times are microseconds of the monotonic clock.  */

#ifndef AM_FLOW_STARTUP_H
#define AM_FLOW_STARTUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Size of a listing, bytes: that of a thousand targets.  */
#define AM_STARTUP_LISTING_BYTES 250000u

/* Longest time that a VM waits for a source before it lists the store.  */
#define AM_STARTUP_WAIT_MAX_US 60000u

/* A host that runs opens a connection, or refuses it, within this time.  */
#define AM_STARTUP_CONNECT_US 10000u

/* Pause between two requests to sources, once each has been asked.  It doubles
   with each AM_STARTUP_RETRY_COUNT requests that failed, up to the maximum: a
   VM that has just started has its replica within some tens of milliseconds,
   but if the store is down, none may have one for long.  */
#define AM_STARTUP_RETRY_MIN_US 10000u
#define AM_STARTUP_RETRY_MAX_US 640000u
#define AM_STARTUP_RETRY_COUNT 4

/* Look-up of the suppliers in the store.  */
enum am_startup_lookup
{
  AM_STARTUP_LOOKUP_DUE,
  AM_STARTUP_LOOKUP_BEGUN,
  AM_STARTUP_LOOKUP_DONE, /* also if none is needed */
};

struct am_startup
{
  enum am_startup_lookup lookup;
  uint64_t list_us;    /* when the store is listed at the latest */
  uint64_t asked_us;   /* latest request to a source; 0: none yet */
  uint32_t seeds;      /* number of seeds */
  uint32_t sources;    /* VMs that may be asked: suppliers and seeds */
  uint32_t failures;   /* requests to them that failed */
  uint32_t unanswered; /* those of them that got no answer */
  uint64_t retry_us;   /* no request to a source before this */
};

/* SEEDS is the number of seeds, LINK_MBPS the bandwidth of this VM's link in
   Mbit/s, 0 if it is not known.  */
void am_startup_init (struct am_startup *s, size_t seeds, uint32_t link_mbps,
                      uint64_t now_us);

/* Records that the look-up of the suppliers has begun, or that it has ended,
   also in vain, with this number of SUPPLIERS.  */
void am_startup_lookup_begun (struct am_startup *s);
void am_startup_lookup_done (struct am_startup *s, size_t suppliers,
                             uint64_t now_us);

/* Returns true if the VM, whose replica is empty, is to ask a source.  */
bool am_startup_asks_source (const struct am_startup *s, uint64_t now_us);

/* Records that a source is asked for its replica.  */
void am_startup_source_asked (struct am_startup *s, uint64_t now_us);

/* Returns true if the VM is to give up the request to the source asked last,
   whose connection is not open yet.  */
bool am_startup_abandons_source (const struct am_startup *s, uint64_t now_us);

/* Records that a source did not supply a replica.  ANSWERED is true if it
   runs.  */
void am_startup_source_failed (struct am_startup *s, bool answered,
                               uint64_t now_us);

/* Returns true if the VM, whose replica is empty, is to list the store.  */
bool am_startup_lists_store (const struct am_startup *s, uint64_t now_us);

/* Returns true if only a recent replica is accepted of a source: until each
   has failed to supply one.  An old replica is better than none.  */
bool am_startup_requires_recent (const struct am_startup *s);

#endif
