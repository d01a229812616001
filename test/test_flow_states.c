/* Every packet type in every state of a flow, on the entry VM that opens the
   flow.  */

#include "core_fixture.h"

static struct net net;
static struct config config;

enum state
{
  STATE_NONE,    /* OPEN never sent */
  STATE_OPENING, /* OPEN forwarded, no answer from the upstream yet */
  STATE_OPENED,  /* ticket issued */
  STATE_CLOSED,  /* closed by the caller; ticket still valid */
  STATES
};

/* Expected effect of a packet: number of datagrams to each side, and the type
   of the one to the caller.  */
struct effect
{
  uint8_t type;
  size_t to_upstream;
  size_t to_caller;
  uint8_t caller_type;
};

#define NOTHING 0, 0, 0
#define REFUSED 0, 1, AM_PACKET_RESET
#define TO_UPSTREAM 1, 0, 0

static uint8_t ticket[AM_TICKET_SIZE];
static struct am_address upstream;

static void
enter (enum state state)
{
  net_begin (&net, &config, 1, AMARANTH__BINDING__BINDING_TICKET, 1);
  memset (ticket, 0, sizeof ticket);
  upstream = (struct am_address){ config.upstream[0].ip, 9000 };
  if (state == STATE_OPENING)
    net_open (&net, 0, 5, AM_OPEN_FLOW);
  if (state >= STATE_OPENED)
    net_open_flow (&net, 0, 5, ticket);
  if (state == STATE_CLOSED)
    net_flow_packet (&net, 0, AM_PACKET_CLOSE, 5, ticket, 0);
  net.kept_count = 0;
}

static void
check_effect (const struct effect *e)
{
  ck_assert_uint_eq (net_count (&net, AM_ACTION_UPSTREAM), e->to_upstream);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_CALLER), e->to_caller);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_STREAM), 0);
  if (e->to_caller)
    net_to_caller (&net, e->caller_type);
  net_finish (&net);
}

/* Guards against a caller's packet that has an effect not allowed in the state
   of the flow.  In particular, apart from OPEN only packets with a valid
   ticket are forwarded to an upstream.  */
START_TEST (test_caller_packets)
{
  static const struct effect effects[STATES][14] = {
    { { AM_PACKET_OPEN, TO_UPSTREAM },
      { AM_PACKET_DATA, REFUSED },
      { AM_PACKET_CLOSE, REFUSED },
      { AM_PACKET_PING, REFUSED },
      { AM_PACKET_REQUEST, REFUSED },
      { AM_PACKET_CANCEL, REFUSED } },
    { { AM_PACKET_OPEN, NOTHING },
      { AM_PACKET_DATA, REFUSED },
      { AM_PACKET_CLOSE, REFUSED },
      { AM_PACKET_PING, REFUSED },
      { AM_PACKET_REQUEST, REFUSED },
      { AM_PACKET_CANCEL, REFUSED } },
    { { AM_PACKET_OPEN, 0, 1, AM_PACKET_OPENED },
      { AM_PACKET_DATA, TO_UPSTREAM },
      { AM_PACKET_CLOSE, TO_UPSTREAM },
      { AM_PACKET_PING, TO_UPSTREAM },
      { AM_PACKET_REQUEST, REFUSED },
      { AM_PACKET_CANCEL, REFUSED } },
    { { AM_PACKET_OPEN, 0, 1, AM_PACKET_OPENED },
      { AM_PACKET_DATA, TO_UPSTREAM },
      { AM_PACKET_CLOSE, TO_UPSTREAM },
      { AM_PACKET_PING, TO_UPSTREAM },
      { AM_PACKET_REQUEST, REFUSED },
      { AM_PACKET_CANCEL, REFUSED } },
  };

  for (int state = 0; state < STATES; state++)
    for (uint8_t type = AM_PACKET_OPEN; type <= AM_PACKET_REPORT; type++)
      {
        struct effect none = { type, NOTHING };
        const struct effect *e = &none;
        uint8_t body[AM_OPEN_BODY_SIZE] = { 0 };
        struct am_packet p = { .type = type,
                               .connection_id = 5,
                               .ticket = ticket,
                               .body = body,
                               .body_len = sizeof body };

        for (size_t i = 0; i < 14; i++)
          if (effects[state][i].type == type)
            e = &effects[state][i];
        enter ((enum state)state);
        if (type == AM_PACKET_OPEN || state < STATE_OPENED)
          p.ticket = NULL;
        (void)net_from_caller (&net, 0, &p);
        check_effect (e);
      }
}
END_TEST

/* Guards against an upstream's packet that opens, ends or otherwise affects a
   flow in a state in which it must not.  */
START_TEST (test_upstream_packets)
{
  for (int state = 0; state < STATES; state++)
    for (uint8_t type = AM_PACKET_OPEN; type <= AM_PACKET_REPORT; type++)
      {
        struct effect e = { type, NOTHING };

        if (type == AM_PACKET_DATA || type == AM_PACKET_CLOSE
            || type == AM_PACKET_PONG || type == AM_PACKET_RESET)
          {
            e.to_caller = 1;
            e.caller_type = type;
          }
        if (type == AM_PACKET_OPENED && state == STATE_OPENING)
          {
            e.to_caller = 1;
            e.caller_type = AM_PACKET_OPENED;
          }
        enter ((enum state)state);
        (void)net_answer (&net, 0, upstream, type, 5, 0);
        if (type == AM_PACKET_RESET && state == STATE_OPENING)
          {
            /* The only upstream refused: retried or reset.  */
            e.to_upstream = net_count (&net, AM_ACTION_UPSTREAM);
            e.to_caller = e.to_upstream ? 0 : 1;
          }
        check_effect (&e);
      }
}
END_TEST

RUN_TESTS ("flow_states", test_caller_packets, test_upstream_packets)
