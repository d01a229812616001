/* Hand-over of remembered ids to the successor on a planned stop.

   The owner has finished its requests and withdrawn its grant; its table does
   not change any more.  It goes in numbered parts to the first other home VM,
   which acknowledges each.  Cached answers do not go along: a copy of an
   answered request is then UNKNOWN.

     TABLE: kind (1), epoch (8), index (2), total (2), rest of the grace in ms
            (4), then for each id: connection id (8), ip (4), outcome (1),
            error (4)
     ACK:   kind (1), epoch (8), index (2)  */

#ifndef AM_CORE_OWNED_TABLE_H
#define AM_CORE_OWNED_TABLE_H

#include "core/board.h"

struct am_ticketless;

#define AM_HANDOVER_IDS_PER_PART 80u
#define AM_HANDOVER_PARTS_MAX 256u

enum am_owner_message
{
  AM_OWNER_MESSAGE_ANNOUNCE = 1, /* kind (1), epoch (8), id of the owner (4) */
  AM_OWNER_MESSAGE_TABLE = 2,
  AM_OWNER_MESSAGE_ACK = 3,
};

/* Parts of one table that have been acknowledged or taken.  */
struct am_handover
{
  uint64_t epoch; /* 0: none */
  uint32_t peer_id;
  uint64_t since_us;
  uint64_t sent_us;
  uint16_t total;
  uint16_t count;
  bool seen[AM_HANDOVER_PARTS_MAX];
};

/* Begins the hand-over of O.  Returns false if there is no successor.  */
bool am_handover_begin (struct am_board *b, struct am_ticketless *o);

/* Sends parts again.  Returns false while the hand-over goes on; then *TO is
   the member that has the whole table, or 0.  */
bool am_handover_poll (struct am_board *b, struct am_ticketless *o,
                       uint32_t *to);

/* Handle TABLE and ACK.  Return AM_OK, AM_E_FORMAT, or AM_E_LIMIT or
   AM_E_MEMORY: the part is not taken.  */
int am_handover_receive_part (struct am_board *b, struct am_ticketless *o,
                              uint32_t sender_id, const uint8_t *body,
                              size_t len);
int am_handover_receive_ack (struct am_ticketless *o, uint32_t sender_id,
                             const uint8_t *body, size_t len);

#endif
