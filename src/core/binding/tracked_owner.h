/* Owner of a bucket of tracked flows: what it does with introductions, and how
   they are written.  Shared by the files of the binding only.  */

#ifndef AM_CORE_TRACKED_OWNER_H
#define AM_CORE_TRACKED_OWNER_H

#include "core/binding/tracked.h"

/* The sender's bucket changed: it waits for AM_TRACKED_CLEAR.  */
#define AM_TRACKED_FLAG_CHANGED 1u
/* A new owner asks the former one.  */
#define AM_TRACKED_FLAG_QUERY 2u
/* The former owner does not know the flow either.  */
#define AM_TRACKED_FLAG_QUERY_REPLY 4u
/* The owner does not know the flow's upstream yet: the sender delivers.  */
#define AM_TRACKED_FLAG_DELIVER 8u
/* With AM_TRACKED_FLAG_QUERY: whoever does not know the flow passes it to the
   next entry VM; the guess is the owner that asks.  */
#define AM_TRACKED_FLAG_QUERY_ALL 16u
/* The hint is only what the sender guessed for another owner.  */
#define AM_TRACKED_FLAG_PROVISIONAL 32u

struct am_tracked_introduction
{
  uint8_t flags;
  struct am_address caller;
  uint32_t hint_id;
  uint32_t hint_incarnation;
  uint32_t guess_id;
  const uint8_t *data;
  size_t len;
};

struct am_address am_tracked_get_address (const uint8_t *p);

/* Sends IN to TO.  Returns AM_OK or AM_E_TOO_LARGE.  */
int am_tracked_send_introduction (struct am_board *b,
                                  const struct am_service *s,
                                  const struct am_member *to,
                                  const struct am_tracked_introduction *in);

/* Reads the LEN bytes at BODY, into which IN points after.  Returns AM_OK or
   AM_E_SHORT.  */
int am_tracked_parse_introduction (struct am_tracked_introduction *in,
                                   const uint8_t *body, size_t len);

/* Sends a packet of F to U, if U has a proof of its address.  */
void am_tracked_deliver (struct am_board *b, struct am_tracked *t,
                         struct am_tracked_flow *f, struct am_upstream *u,
                         const uint8_t *data, size_t len);

/* Decides about the flow of IN and delivers its packet.  SENDER is NULL if the
   packet came to this entry VM.  Returns AM_OK or AM_E_NO_UPSTREAM,
   AM_E_UPSTREAM_UNKNOWN or AM_E_TOO_LARGE.  */
int am_tracked_serve_as_owner (struct am_board *b, struct am_service *s,
                               const struct am_member *sender,
                               const struct am_tracked_introduction *in);

/* Answers an owner that asks about a flow it does not know.  Returns AM_OK,
   AM_E_NOT_FOUND if the owner is not known, or AM_E_TOO_LARGE.  */
int am_tracked_answer_query (struct am_board *b, struct am_service *s,
                             const struct am_member *sender,
                             const struct am_tracked_introduction *in);

#endif
