/* State machine of a request at the forwarder that issued its ticket
   (docs/design.md, section 4.4).  */

#ifndef AM_CORE_REQUEST_STATE_H
#define AM_CORE_REQUEST_STATE_H

#include <stdbool.h>

/* X (symbol, name).  The final states are ANSWERED, NOT_RUN and UNKNOWN.  */
#define AM_REQUEST_STATE_LIST(X)                            \
  X (NONE, "none")           /* just added to the table */  \
  X (QUEUED, "queued")       /* payload not sent */         \
  X (SENT, "sent")           /* sent to one upstream */     \
  X (ANSWERED, "answered")   /* complete answer received */ \
  X (NOT_RUN, "not-run")     /* reported to the caller */   \
  X (UNKNOWN, "unknown")     /* reported to the caller */   \
  X (FORGOTTEN, "forgotten") /* removed from the table */

enum am_request_state
{
#define AM_REQUEST_STATE_ENUM(symbol, name) AM_REQUEST_##symbol,
  AM_REQUEST_STATE_LIST (AM_REQUEST_STATE_ENUM)
#undef AM_REQUEST_STATE_ENUM
      AM_REQUEST_STATES
};

enum am_request_event
{
  AM_REQUEST_ON_ACCEPT,   /* first REQUEST, admitted */
  AM_REQUEST_ON_REFUSE,   /* refused by this forwarder: not admitted, no longer
                             expected to meet its deadline, refused by too many
                             upstreams, or its service was removed */
  AM_REQUEST_ON_SEND,     /* sent to an upstream */
  AM_REQUEST_ON_ANSWER,   /* complete answer from the upstream */
  AM_REQUEST_ON_SHED,     /* refused by the upstream, or the connection to it
                             could not be opened: the request did not run */
  AM_REQUEST_ON_LOST,     /* connection lost, or the upstream does not know
                             whether the request ran */
  AM_REQUEST_ON_RETRY,    /* as AM_REQUEST_ON_LOST, for a repeatable request
                             within the retry budget */
  AM_REQUEST_ON_DEADLINE, /* deadline passed, or the OwnerGrant under which the
                             request was admitted is no longer valid */
  AM_REQUEST_ON_CANCEL,
  AM_REQUEST_ON_FORGET, /* removed from the table: retention time over or
                           memory limit reached */
  AM_REQUEST_EVENTS
};

/* Returns the state that follows STATE on EVENT, or STATE if the event has no
   effect in it.  MAY_HAVE_RUN: the request was sent to an upstream whose
   connection was lost, and queued again as a repeatable one; it ends as
   UNKNOWN where another would end as NOT-RUN.  */
enum am_request_state am_request_next (enum am_request_state state,
                                       enum am_request_event event,
                                       bool may_have_run);

/* Returns true for a state whose outcome has been reported to the caller.  */
bool am_request_is_final (enum am_request_state state);

/* Returns the name of STATE in log lines, a static string.  */
const char *am_request_state_name (enum am_request_state state);

#endif
