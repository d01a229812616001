/* Internal interface of the files that implement control_spread.h.

   control_spread_announce.c announces versions, control_spread_pull.c requests
   those that this agent lacks, control_spread_answer.c sends and receives
   records, control_spread_exchange.c compares full tables, and
   control_spread_version.c describes the present versions.  */

#ifndef AM_CORE_CONTROL_SPREAD_PARTS_H
#define AM_CORE_CONTROL_SPREAD_PARTS_H

#include "core/control_board.h"

/* Fills V with the version of E; the strings are those of E.  */
void am_spread_version_describe (const struct am_config_entry *e,
                                 Amaranth__RecordVersion *v);

/* Returns true if V can name a version of a record.  */
bool am_spread_version_valid (const Amaranth__RecordVersion *v);

/* Returns this VM and all members in one block that the caller frees, and
   their number in N; NULL if memory is exhausted.  */
Amaranth__Member **am_spread_members_list (struct am_control *c, size_t *n);

void am_spread_pull_finish (struct am_control *c);

/* Repeats pulls that were not answered.  */
void am_spread_pull_tick (struct am_control *c);

void am_spread_exchange_init (struct am_control *c);

/* Joins, and starts the exchanges that are due.  */
void am_spread_exchange_tick (struct am_control *c);

#endif
