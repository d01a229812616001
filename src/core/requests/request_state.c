#include "core/requests/request_state.h"

#define TO(symbol) (AM_REQUEST_##symbol + 1)
#define ON(symbol) AM_REQUEST_ON_##symbol

/* Next state plus one; 0 means no change.  */
static const unsigned char transitions[AM_REQUEST_STATES][AM_REQUEST_EVENTS] = {
  [AM_REQUEST_NONE] = {
    [ON (ACCEPT)] = TO (QUEUED),
    [ON (REFUSE)] = TO (NOT_RUN),
    [ON (CANCEL)] = TO (NOT_RUN),
    [ON (DEADLINE)] = TO (NOT_RUN),
  },
  [AM_REQUEST_QUEUED] = {
    [ON (REFUSE)] = TO (NOT_RUN),
    [ON (SEND)] = TO (SENT),
    [ON (DEADLINE)] = TO (NOT_RUN),
    [ON (CANCEL)] = TO (NOT_RUN),
  },
  [AM_REQUEST_SENT] = {
    [ON (ANSWER)] = TO (ANSWERED),
    [ON (SHED)] = TO (QUEUED),
    [ON (LOST)] = TO (UNKNOWN),
    [ON (RETRY)] = TO (QUEUED),
    [ON (DEADLINE)] = TO (UNKNOWN),
  },
  [AM_REQUEST_ANSWERED] = {
    [ON (FORGET)] = TO (FORGOTTEN),
  },
  [AM_REQUEST_NOT_RUN] = {
    [ON (FORGET)] = TO (FORGOTTEN),
  },
  [AM_REQUEST_UNKNOWN] = {
    [ON (FORGET)] = TO (FORGOTTEN),
  },
};

enum am_request_state
am_request_next (enum am_request_state state, enum am_request_event event,
                 bool may_have_run)
{
  unsigned char to = transitions[state][event];

  if (to == TO (NOT_RUN) && may_have_run)
    to = TO (UNKNOWN);
  return to ? (enum am_request_state) (to - 1) : state;
}

bool
am_request_is_final (enum am_request_state state)
{
  return state == AM_REQUEST_ANSWERED || state == AM_REQUEST_NOT_RUN
         || state == AM_REQUEST_UNKNOWN;
}

const char *
am_request_state_name (enum am_request_state state)
{
  static const char *const names[] = {
#define AM_REQUEST_STATE_NAME(symbol, name) name,
    AM_REQUEST_STATE_LIST (AM_REQUEST_STATE_NAME)
#undef AM_REQUEST_STATE_NAME
  };

  return names[state];
}
