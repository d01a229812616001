/* Membership of the entry VMs and election of those that read the store.

   Each VM sends digests to its peers, the other entry VMs.  In each data
   centre the store is read by the AM_FLEET_READERS VMs of the best rank, those
   with the most link bandwidth, that are alive and in sync with the store;
   the others fetch changes from peers.  The election needs no messages of its
   own: a VM reads until it hears digests of enough readers of better rank, so
   a reader that crashes, hangs or is partitioned is replaced when its digests
   stop.  Its peers take over one after the other in the order of their ranks:
   while the store is down for all, they would otherwise all call it.

   All times are microseconds of the caller's monotonic clock.  */

#ifndef AM_FLOW_FLEET_H
#define AM_FLOW_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "base/list.h"
#include "flow/peer_load.h"
#include "flow/revision.h"

#define AM_FLEET_READERS 1

/* Largest number of peers; any more are not added.  */
#define AM_FLEET_PEERS_MAX 4096
#define AM_FLEET_NAME_SIZE 64

/* Readers send a digest at least every AM_FLEET_READER_INTERVAL_US, other VMs
   less often in a large data centre.  A peer counts as alive until it has
   missed AM_FLEET_MISSED_DIGESTS_MAX digests in a row.  */
#define AM_FLEET_READER_INTERVAL_US 250000u
#define AM_FLEET_MISSED_DIGESTS_MAX 3

/* What a peer claims as a reader of the store counts for this time, however
   long the interval that it reports: a reader tells the seeds of other data
   centres only seldom which revision it has.  It is the time in which a peer
   that gets a reader's regular digests misses AM_FLEET_MISSED_DIGESTS_MAX of
   them.  */
#define AM_FLEET_CLAIM_US 1500000u

/* A VM that has just started is not elected before this time: the seeds may
   start after it, and it knows its peers only through them.  */
#define AM_FLEET_ELECTION_DELAY_US 1000000u

/* A VM gives each live peer of better rank this time to become a reader: a
   call to the store, and the digest that follows.  */
#define AM_FLEET_SUCCESSION_US 200000u

/* Longest time that it gives to all of them.  */
#define AM_FLEET_SUCCESSION_MAX_US 6000000u

/* A peer from which a pull failed is used again before this time only if there
   is no other.  */
#define AM_FLEET_PULL_RETRY_US 1000000u

/* A peer that has neither sent a digest nor been named by another peer for
   this time is removed.  */
#define AM_FLEET_PEER_EXPIRY_US 30000000u

struct am_peer
{
  struct am_list node; /* in am_fleet.peers */
  char name[AM_FLEET_NAME_SIZE];
  uint64_t name_hash;
  uint64_t rank;             /* lower is better */
  uint32_t data_centre;      /* hash by am_hash_name */
  struct am_address address; /* digests over UDP, changes over TCP */
  bool reads;                /* it reads the store and is in sync with it */
  am_revision revision;      /* up to which its replica is complete */
  am_revision compaction_revision; /* of its replica, see am_replica */
  uint64_t configuration;          /* version in force; 0: not told */
  uint32_t local_vms;   /* VMs of its data centre that it knows to live, itself
                           too; 0: not told */
  uint64_t heard_us;    /* last digest; 0: none */
  uint64_t interval_us; /* maximum time until its next digest */
  uint64_t named_us;    /* last named by another peer */
  uint64_t loads_us;    /* last report of its load; 0: none */
  bool introduced;      /* this VM has sent it a digest */
  uint64_t pull_failed_us; /* last pull from it that failed; 0: none */
  struct am_peer_load load;
};

struct am_fleet
{
  struct am_list peers;
  size_t count;
  char name[AM_FLEET_NAME_SIZE]; /* of this VM */
  uint64_t name_hash;            /* of this VM */
  uint32_t link_mbps;            /* of this VM */
  uint64_t rank;                 /* of this VM */
  uint32_t data_centre;          /* of this VM; hash by am_hash_name */
  uint64_t started_us;           /* of this VM */
  uint64_t readers_seen_us; /* when enough readers of better rank were last
                               alive; 0: never */
};

/* NAME, DATA_CENTRE (hash by am_hash_name) and LINK_MBPS, the link bandwidth
   in Mbit/s, are those of this VM.  A NAME that is too long is truncated.
   NOW_US is the time of the VM's start.  */
void am_fleet_init (struct am_fleet *f, const char *name, uint32_t data_centre,
                    uint32_t link_mbps, uint64_t now_us);
void am_fleet_finish (struct am_fleet *f);

/* Returns the peer NAME, owned by F, which is added if it is new.  Returns
   NULL if NAME is that of this VM or too long, if there are AM_FLEET_PEERS_MAX
   peers, or if memory is exhausted.  */
struct am_peer *am_fleet_get_or_add_peer (struct am_fleet *f, const char *name,
                                          uint64_t now_us);

/* Sets the link bandwidth of P, in Mbit/s, and with it the rank of P.  */
void am_peer_set_link_mbps (struct am_peer *p, uint32_t link_mbps);

/* Returns the number of live peers in this VM's data centre.  */
size_t am_fleet_count_local (const struct am_fleet *f, uint64_t now_us);

/* Returns a peer of this VM's data centre to which no digest was sent yet, and
   counts it as introduced; NULL if there is none.  It may not know this VM: if
   it reads the store, this VM would hear no reader and read, too.  */
struct am_peer *am_fleet_take_new_peer (struct am_fleet *f);

/* Returns true if ADDRESS is that of a peer to which this VM sends digests:
   all of its data centre, and all others if it READS the store.  */
bool am_fleet_sends_digests_to (const struct am_fleet *f,
                                struct am_address address, bool reads);

/* Returns the time since the latest load report of each live peer in this VM's
   data centre that has sent one, added up: that for which this VM does not
   know the flows that peers have opened.  */
uint64_t am_fleet_report_age_us (const struct am_fleet *f, uint64_t now_us);

/* Returns true if P has missed fewer than AM_FLEET_MISSED_DIGESTS_MAX
   digests.  False if none was ever received.  */
bool am_fleet_peer_alive (const struct am_peer *p, uint64_t now_us);

/* Returns true if this VM is elected to read the store.  READS is true if it
   does so already, with success: it goes on until a reader of better rank is
   alive.  To be called periodically, as it records when one was seen.  */
bool am_fleet_should_read (struct am_fleet *f, bool reads, uint64_t now_us);

/* Returns the live peer from which to pull changes after REVISION: that with
   the highest revision, peers without a failed pull first, then peers of this
   data centre.  Returns NULL if no
   live peer is ahead of REVISION.  A peer whose compaction_revision is after
   REVISION, such as one that has just listed the store, can send only all of
   its items; this is too much for a narrow link when all peers request them at
   once, so such peers are considered only if ALLOW_FULL.  */
struct am_peer *am_fleet_pull_source (const struct am_fleet *f,
                                      am_revision revision, bool allow_full,
                                      uint64_t now_us);

/* Returns a live peer that has a configuration of a version after VERSION in
   force although its replica is not ahead of REVISION, or NULL: the store was
   restored, and only the peer still has what was lost.  */
struct am_peer *am_fleet_configuration_source (const struct am_fleet *f,
                                               uint64_t version,
                                               am_revision revision,
                                               uint64_t now_us);

/* Returns a live peer of this VM's data centre that knows more than COUNT VMs
   there, the one that knows the most, or NULL.  */
struct am_peer *am_fleet_members_source (const struct am_fleet *f,
                                         size_t count, uint64_t now_us);

/* Records that a pull from the peer with this ADDRESS failed.  */
void am_fleet_pull_failed (struct am_fleet *f, struct am_address address,
                           uint64_t now_us);

/* Returns when a reader of the store last claimed a replica no newer than
   REVISION, and of the same era: a replica complete up to REVISION was up to
   date at that time. Returns 0 if there is no such claim that counts, or
   REVISION is 0.  */
uint64_t am_fleet_confirmed_us (const struct am_fleet *f, am_revision revision,
                                uint64_t now_us);

/* Returns the highest revision that a reader of the store claims, 0 if no
   claim counts.  */
am_revision am_fleet_claimed_revision (const struct am_fleet *f,
                                       uint64_t now_us);

/* Subtracts the load reported by peers that are not alive from the targets in
   T and removes the peers that have expired (AM_FLEET_PEER_EXPIRY_US).  Call
   it periodically.  */
void am_fleet_expire (struct am_fleet *f, struct am_target_table *t,
                      uint64_t now_us);

#endif
