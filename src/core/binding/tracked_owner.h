/* Owner of a bucket of tracked flows: how it handles introductions, and their
   encoding.  Shared by the files of the tracked binding only.

   An introduction is a caller's packet that an entry VM forwards to the owner
   of the flow's bucket, with the upstream that the sender uses or would use
   for the flow.  An owner without a record of the flow may first send the
   introduction to other entry VMs as a query.  */

#ifndef AM_CORE_TRACKED_OWNER_H
#define AM_CORE_TRACKED_OWNER_H

#include "core/binding/tracked.h"

/* Owner or default of the bucket changed at the sender, which introduces every
   packet until it receives AM_TRACKED_CLEAR.  */
#define AM_TRACKED_FLAG_CHANGED 1u
/* Query of a new owner to the former one.  */
#define AM_TRACKED_FLAG_QUERY 2u
/* Reply to a query.  The hint is the upstream of the flow, or, if no entry VM
   that was queried knows the flow, the hint of the query.  */
#define AM_TRACKED_FLAG_QUERY_REPLY 4u
/* The owner does not know the flow's upstream yet; the sender of the
   introduction is to deliver the packet.  */
#define AM_TRACKED_FLAG_DELIVER 8u
/* With AM_TRACKED_FLAG_QUERY: an entry VM without a record of the flow
   forwards the query to the next home VM; assumed_id is then the member that
   sent it as owner and receives the reply.  */
#define AM_TRACKED_FLAG_QUERY_ALL 16u
/* The hint is only the default that the sender assumed when it introduced the
   flow to another owner.  */
#define AM_TRACKED_FLAG_PROVISIONAL 32u

struct am_tracked_introduction
{
  uint8_t flags;
  struct am_address caller;
  uint32_t hint_id; /* upstream last used by the sender; 0: none */
  uint32_t hint_incarnation;
  uint32_t assumed_id; /* default that the sender uses without a reply;
                          a member in a query to all home VMs */
  const uint8_t *data; /* the packet; not owned */
  size_t len;
};

/* Decodes an address of 6 bytes: IP and port.  */
struct am_address am_tracked_get_address (const uint8_t *p);

/* Sends IN to TO.  Returns AM_OK or AM_E_TOO_LARGE.  */
int am_tracked_send_introduction (struct am_board *b,
                                  const struct am_service *s,
                                  const struct am_member *to,
                                  const struct am_tracked_introduction *in);

/* Decodes the LEN bytes at BODY into IN, which points into BODY afterwards.
   Returns AM_OK or AM_E_SHORT.  */
int am_tracked_parse_introduction (struct am_tracked_introduction *in,
                                   const uint8_t *body, size_t len);

/* Sends a packet of F to U if the address of U is validated, else drops it. */
void am_tracked_deliver (struct am_board *b, struct am_tracked *t,
                         struct am_tracked_flow *f, struct am_upstream *u,
                         const uint8_t *data, size_t len);

/* Binds the flow of IN if necessary and delivers its packet, or sends a query
   first.  SENDER is NULL if this entry VM received the packet from the caller.
   Returns AM_OK, AM_E_NO_UPSTREAM, AM_E_UPSTREAM_UNKNOWN or AM_E_TOO_LARGE. */
int am_tracked_serve_as_owner (struct am_board *b, struct am_service *s,
                               const struct am_member *sender,
                               const struct am_tracked_introduction *in);

/* Replies to the query IN of an owner without a record of the flow, or
   forwards it to the next home VM.  SENDER sent the query to this entry VM.
   Returns AM_OK, AM_E_NOT_FOUND if the owner is not known, or AM_E_TOO_LARGE.
 */
int am_tracked_answer_query (struct am_board *b, struct am_service *s,
                             const struct am_member *sender,
                             const struct am_tracked_introduction *in);

#endif
