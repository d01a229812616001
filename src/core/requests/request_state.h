/* States of a request at its issuer, as one table (docs/design.md, section
   4.4).  */

#ifndef AM_CORE_REQUEST_STATE_H
#define AM_CORE_REQUEST_STATE_H

#include <stdbool.h>

/* X (symbol, name)  */
#define AM_REQUEST_STATE_LIST(X)                             \
  X (NONE, "none")           /* serial not used */           \
  X (QUEUED, "queued")       /* no payload has left */       \
  X (SENT, "sent")           /* handed to one upstream */    \
  X (ANSWERED, "answered")   /* whole answer is held */      \
  X (NOT_RUN, "not-run")     /* told to the caller; final */ \
  X (UNKNOWN, "unknown")     /* told to the caller; final */ \
  X (FORGOTTEN, "forgotten") /* only its serial's bit is left */

enum am_request_state
{
#define AM_REQUEST_STATE_ENUM(symbol, name) AM_REQUEST_##symbol,
  AM_REQUEST_STATE_LIST (AM_REQUEST_STATE_ENUM)
#undef AM_REQUEST_STATE_ENUM
      AM_REQUEST_STATES
};

enum am_request_event
{
  AM_REQUEST_ON_ACCEPT, /* first REQUEST, admitted */
  AM_REQUEST_ON_REFUSE, /* first REQUEST or CANCEL, not admitted; or the
                           service ends */
  AM_REQUEST_ON_SEND,   /* handed to an upstream */
  AM_REQUEST_ON_ANSWER, /* whole answer of the upstream */
  AM_REQUEST_ON_SHED,   /* upstream refused, or its connection was never
                           opened: it did not run */
  AM_REQUEST_ON_LOST,   /* connection lost, or the upstream cannot tell
                           whether it ran */
  AM_REQUEST_ON_RETRY,  /* the same, of a repeatable request within the
                           budget */
  AM_REQUEST_ON_DEADLINE,
  AM_REQUEST_ON_CANCEL,
  AM_REQUEST_ON_FORGET, /* retention has passed or memory is short */
  AM_REQUEST_EVENTS
};

/* Returns the state that follows STATE on EVENT; STATE itself if the event
   changes nothing there.  MAY_HAVE_RUN: an upstream had the request and was
   lost; such a request (repeatable, queued again) ends as UNKNOWN where
   another would be NOT-RUN.  */
enum am_request_state am_request_next (enum am_request_state state,
                                       enum am_request_event event,
                                       bool may_have_run);

/* Returns true for a state that has told the caller its outcome.  */
bool am_request_is_final (enum am_request_state state);

const char *am_request_state_name (enum am_request_state state);

#endif
