/* Parts of the talk between VMs, one file each: digests.c tells peers how far
   this VM's copy of the store goes, digest_arrival.c takes what they tell,
   changes.c answers those that lack some of it, pull.c asks when this VM
   does.  */

#ifndef AM_ENTRY_PEERS_H
#define AM_ENTRY_PEERS_H

#include "entry/entry.h"
#include "wire/fleet.pb-c.h"

/* Path of the request for changes, with the revision that the asker has.  */
#define AM_ENTRY_CHANGES_PATH "/changes?after="

/* Bytes before a compressed answer: its length once uncompressed.  */
#define AM_ENTRY_CHANGES_HEADER_SIZE 4

/* members.c: the form of a member, and what one tells of a peer.
   am_entry_learn_member returns NULL for this VM or a malformed member.  */
void am_entry_fill_member (Fleet__Member *m, char *name, uint32_t data_centre,
                           struct am_address a);
struct am_peer *am_entry_learn_member (struct am_entry *e,
                                       const Fleet__Member *m,
                                       uint64_t now_us);

/* Shortest interval between two digests without news.  */
#define AM_ENTRY_DIGEST_INTERVAL_MIN_US 200000u

/* digest_arrival.c: opens the port; digests.c: sends digests at their
   interval.
   am_entry_digests_open returns AM_OK, AM_E_IO or AM_E_EXISTS.  */
int am_entry_digests_open (struct am_entry *e);
void am_entry_digests_tick (struct am_entry *e, uint64_t now_us);

/* changes.c: answers the requests of peers; handler of an HTTP server.  */
void am_entry_changes_handle (void *userdata, const char *path,
                              struct am_http_reply *reply);

/* pull.c: asks a peer that is ahead, or a seed while nothing is known.  */
void am_entry_pull (struct am_entry *e, uint64_t now_us);
void am_entry_pull_from_seed (struct am_entry *e, uint64_t now_us);

#endif
