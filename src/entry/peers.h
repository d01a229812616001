/* Exchange of state between entry VMs, one file for each part: digest_send.c
   reports the revision of this VM's replica to the peers, digest_receive.c
   handles the digests of peers, pull.c requests the changes that this VM
   lacks, changes_server.c answers such requests of peers.  */

#ifndef AM_ENTRY_PEERS_H
#define AM_ENTRY_PEERS_H

#include "entry/entry.h"
#include "wire/fleet.pb-c.h"

/* Path of a request for changes; the requester appends the revision of its
   replica.  */
#define AM_ENTRY_CHANGES_PATH "/changes?after="

/* Appended to that path by a requester to which only a recent replica is of
   use.  */
#define AM_ENTRY_CHANGES_RECENT "&recent=1"

/* Path of a request for the members that a VM knows, without changes.  */
#define AM_ENTRY_MEMBERS_PATH "/members"

/* A response is one or more Changes messages, to be merged: the items, then
   the members.  Each is compressed and follows its
   uncompressed length, 32 bits.  */
#define AM_ENTRY_CHANGES_HEADER_SIZE 4

/* members.c.  A member, as the wire message is called, is the name, the data
   centre and the address of an entry VM.  am_entry_fill_member sets *M; NAME
   is not copied.  am_entry_add_or_refresh_member adds the peer that M
   describes; for a known peer it records that it was named and, unless the
   peer is alive, updates it from M.  It returns NULL if M is malformed or
   describes this VM, or if memory is exhausted.  */
void am_entry_fill_member (Fleet__Member *m, char *name, uint32_t data_centre,
                           struct am_address a);
struct am_peer *am_entry_add_or_refresh_member (struct am_entry *e,
                                                const Fleet__Member *m,
                                                uint64_t now_us);

/* peer_items.c.  am_entry_fill_item sets *M to ITEM, which it refers to.
   am_entry_apply_item applies an item of a peer to the replica, LISTED if it
   is one of all that the peer has rather than a change, and returns AM_OK,
   AM_E_FORMAT or AM_E_MEMORY.  */
void am_entry_fill_item (Fleet__Item *m, const struct am_replica_item *item);
int am_entry_apply_item (struct am_entry *e, const Fleet__Item *m,
                         bool listed);

/* peer_items.c: takes M, an item of a peer, if it is a configuration of a
   later version than the one in force, whatever its revision.  Returns AM_OK,
   AM_E_FORMAT or AM_E_MEMORY.  */
int am_entry_apply_configuration (struct am_entry *e, const Fleet__Item *m);

/* am_entry_digests_open (digest_receive.c) opens the port for digests and
   returns AM_OK, AM_E_IO or AM_E_EXISTS.  am_entry_digests_tick
   (digest_send.c) sends the digests that are due.
   am_entry_digest_handle (digest_receive.c) handles the datagram of LEN bytes
   that came FROM a peer; USERDATA is the struct am_entry.  */
int am_entry_digests_open (struct am_entry *e);
void am_entry_digest_handle (void *userdata, struct am_address from,
                             const uint8_t *data, size_t len);
void am_entry_digests_tick (struct am_entry *e, uint64_t now_us);

/* changes_server.c: answers a request of a peer for changes; handler of an
   HTTP server.  USERDATA is the struct am_entry.  */
void am_entry_changes_handle (void *userdata, const char *path,
                              struct am_http_reply *reply);

/* pull.c.  am_entry_changes_apply applies the body of a response to a request
   for changes, of LEN bytes.  Returns AM_OK, AM_E_FORMAT or AM_E_MEMORY; items
   before a malformed one are applied.

   am_entry_pull requests changes from a peer with a higher revision;
   am_entry_pull_from_source requests all items from a supplier or a seed while
   the replica is empty.  am_entry_pull_members asks one for the members of the
   fleet while no peer of this data centre is alive, and a peer that knows more
   of them while there is one.  None has an effect while
   a request is in progress.  */
int am_entry_changes_apply (struct am_entry *e, const uint8_t *body,
                            size_t len, uint64_t now_us);
void am_entry_pull (struct am_entry *e, uint64_t now_us);
void am_entry_pull_from_source (struct am_entry *e, uint64_t now_us);
void am_entry_pull_members (struct am_entry *e, uint64_t now_us);

#endif
