/* Dissemination of record versions between agents.

   A new version is announced at once to AM_ANNOUNCE_FANOUT random members by
   datagram; a member that lacks it pulls it over TCP and announces it in turn.
   Every gossip message contains the digest of the whole configuration.  If two
   digests differ, the recent versions are announced to that member; if they
   still differ, the full lists of versions are exchanged, with an interval
   that doubles while exchanges yield nothing.  */

#ifndef AM_CORE_CONTROL_SPREAD_H
#define AM_CORE_CONTROL_SPREAD_H

#include "core/control_board.h"

void am_spread_init (struct am_control *c);
void am_spread_finish (struct am_control *c);

/* Versions in one announcement: fits AM_GOSSIP_MAX with the longest names.  */
#define AM_ANNOUNCE_MAX 8

/* Announces N new versions.  More than AM_ANNOUNCE_MAX at once come from a
   join or from a read of the store after an outage; they are not announced but
   left to the exchange of digests, which takes fewer bytes.  */
void am_spread_announce (struct am_control *c,
                         const struct am_config_entry *const *entries,
                         size_t n);

/* Handle messages of peers and operators.  FROM is the gossip address of the
   sender (ANNOUNCE by datagram); STREAM its stream.  */
void am_spread_announced (struct am_control *c, struct am_address from,
                          const Amaranth__Announce *a);
int am_spread_digest_request (struct am_control *c, uint64_t stream,
                              const Amaranth__DigestRequest *r);
int am_spread_records (struct am_control *c, uint64_t stream,
                       const Amaranth__RecordList *l);

/* Compares the digest in G, from live member V, with that of this VM.  */
void am_spread_compare (struct am_control *c, const struct am_vm *v,
                        const Amaranth__Gossip *g);

/* Exchanges records and the member table with V, unless the last exchange was
   very recent.  */
void am_spread_exchange (struct am_control *c, const struct am_vm *v);

/* Joins the fleet, repeats unanswered pulls and starts exchanges.  */
void am_spread_tick (struct am_control *c);

#endif
