/* The other entry VMs, and which VMs read the store.

   Each VM sends digests.  In each data centre the AM_FLEET_READERS VMs of the
   best rank, those with the widest links, that are heard and in contact with
   the store read it; the others take changes from peers.  The rule needs no
   message of its own: a VM reads until it hears enough better readers, so a
   reader that dies, freezes or is cut off is replaced when its digests stop.
 */

#ifndef AM_FLOW_FLEET_H
#define AM_FLOW_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "base/list.h"
#include "flow/peer_load.h"

#define AM_FLEET_READERS 1
#define AM_FLEET_NAME_SIZE 64

/* A peer not heard for three digests counts as absent.  Readers send one in
   AM_FLEET_READER_INTERVAL_US at the latest, others less often in a large data
   centre.  */
#define AM_FLEET_READER_INTERVAL_US 250000u
#define AM_FLEET_MISSED_DIGESTS_MAX 3

/* A peer that was neither heard nor named for this time is forgotten.  */
#define AM_FLEET_PEER_EXPIRY_US 30000000u

struct am_peer
{
  struct am_list node; /* in am_fleet.peers */
  char name[AM_FLEET_NAME_SIZE];
  uint64_t name_hash;
  uint64_t rank;             /* the lowest ones read */
  uint32_t data_centre;      /* am_hash_name */
  struct am_address address; /* digests over UDP, changes over TCP */
  bool reads;                /* it is in contact with the store itself */
  uint64_t revision;         /* of its copy of the store */
  uint64_t horizon;          /* it can tell the changes after this */
  uint64_t heard_us;         /* last digest; 0: none */
  uint64_t interval_us;      /* to its next digest at the latest */
  uint64_t named_us;         /* last named by another peer */
  struct am_peer_load load;
};

struct am_fleet
{
  struct am_list peers;
  size_t count;
  char name[AM_FLEET_NAME_SIZE]; /* of this VM */
  uint32_t link_mbps;            /* of this VM */
  uint64_t rank;
  uint32_t data_centre;
};

/* LINK_MBPS is the width of this VM's link, megabits a second.  */
void am_fleet_init (struct am_fleet *f, const char *name, uint32_t data_centre,
                    uint32_t link_mbps);
void am_fleet_finish (struct am_fleet *f);

/* Returns the peer NAME, added if it is new.  NULL: it is this VM, the name is
   too long, or memory fails.  */
struct am_peer *am_fleet_get_or_add_peer (struct am_fleet *f, const char *name,
                                          uint64_t now_us);

/* Notes the width of the link of P.  */
void am_fleet_set_link (struct am_peer *p, uint32_t link_mbps);

/* Returns the number of peers in this data centre that are heard.  */
size_t am_fleet_count_local (const struct am_fleet *f, uint64_t now_us);

/* Returns true if P has missed fewer than AM_FLEET_MISSED_DIGESTS_MAX digests.
 */
bool am_fleet_peer_alive (const struct am_peer *p, uint64_t now_us);

/* Returns true if this VM is to read the store.  */
bool am_fleet_should_read (const struct am_fleet *f, uint64_t now_us);

/* Returns the peer, heard lately, with the highest revision above REVISION
   that can tell the changes since, or NULL.  Peers of this data centre go
   first.  A peer that has just listed the store can tell only the whole of it,
   too much for a small link when all peers ask at once: that is taken only if
   WHOLE.  */
struct am_peer *am_fleet_pull_source (const struct am_fleet *f,
                                      uint64_t revision, bool whole,
                                      uint64_t now_us);

/* Returns true if a peer that reads the store was heard lately with a copy no
   newer than REVISION: the copy is confirmed.  */
bool am_fleet_confirms_revision (const struct am_fleet *f, uint64_t revision,
                                 uint64_t now_us);

/* Takes back the load of silent peers from T and forgets those not heard of
   for AM_FLEET_PEER_EXPIRY_US.  */
void am_fleet_expire (struct am_fleet *f, struct am_target_table *t,
                      uint64_t now_us);

#endif
