/* Transfer of the deduplication table to the successor on a planned stop.

   The owner has finished its requests and withdrawn its grant, so the table no
   longer changes.  It is sent in numbered parts to the first other home VM,
   which acknowledges each part.  Cached answers are not transferred: a
   retransmission of an answered request then gets UNKNOWN.

   Messages, with sizes in bytes:

     TABLE: kind (1), epoch (8), index (2), total (2), remaining grace time in
            ms (4), then for each id: connection id (8), ip (4), outcome (1),
            error (4)
     ACK:   kind (1), epoch (8), index (2)  */

#ifndef AM_CORE_HANDOVER_H
#define AM_CORE_HANDOVER_H

#include "core/board.h"

struct am_ticketless;

/* Ids in one part, and parts of one table.  */
#define AM_HANDOVER_IDS_PER_PART 80u
#define AM_HANDOVER_PARTS_MAX 256u

/* Kinds of AM_PEER_OWNER messages; the first byte of the body.  */
enum am_owner_message
{
  AM_OWNER_MESSAGE_ANNOUNCE = 1, /* kind (1), epoch (8), id of the owner (4) */
  AM_OWNER_MESSAGE_TABLE = 2,
  AM_OWNER_MESSAGE_ACK = 3,
};

/* Progress of one transfer: the parts that were acknowledged (sender) or
   imported (receiver).  */
struct am_handover
{
  uint64_t epoch; /* 0: no transfer */
  uint32_t peer_id;
  uint64_t since_us; /* start */
  uint64_t sent_us;  /* when parts were last sent */
  uint16_t total;    /* parts of the table */
  uint16_t count;    /* parts seen */
  bool seen[AM_HANDOVER_PARTS_MAX];
};

/* Begins the transfer of the table of O.  Returns false if there is no
   successor or the table has too many parts.  */
bool am_handover_begin (struct am_board *b, struct am_ticketless *o);

/* Retransmits parts that are not acknowledged.  Returns false while the
   transfer is in progress.  When it has ended, *TO is the member that received
   the complete table, or 0 after a time-out.  */
bool am_handover_poll (struct am_board *b, struct am_ticketless *o,
                       uint32_t *to);

/* Handle TABLE and ACK from SENDER_ID.  Return AM_OK, AM_E_FORMAT, or
   AM_E_LIMIT or AM_E_MEMORY, after which the part is not acknowledged.  */
int am_handover_receive_part (struct am_board *b, struct am_ticketless *o,
                              uint32_t sender_id, const uint8_t *body,
                              size_t len);
int am_handover_receive_ack (struct am_ticketless *o, uint32_t sender_id,
                             const uint8_t *body, size_t len);

#endif
