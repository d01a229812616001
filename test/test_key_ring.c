#include "core_fixture.h"

#include "core/binding/key_ring.h"

static struct net net;
static struct config config;

static void
set_keys (size_t count, Amaranth__KeyState first, Amaranth__KeyState second)
{
  config.snapshot.n_keys = count;
  config.key[0].state = first;
  config.key[1].state = second;
  net_apply_all (&net, &config);
}

static void
begin (void)
{
  net_begin (&net, &config, 1, AMARANTH__BINDING__BINDING_TICKET, 1);
}

struct key_case
{
  size_t count;
  Amaranth__KeyState first;
  Amaranth__KeyState second;
  int expected;  /* result of a packet under the first key */
  bool renewed;  /* a PING returns a ticket under the second key */
  bool may_open; /* a new flow gets a ticket */
};

/* Guards against flows that break at a key rotation: the ticket's key in every
   state, with and without another active key, for every packet type of a
   flow.  */
START_TEST (test_key_states)
{
  static const struct key_case cases[] = {
    { 1, AMARANTH__KEY_STATE__KEY_STANDBY, 0, AM_OK, false, false },
    { 1, AMARANTH__KEY_STATE__KEY_ACTIVE, 0, AM_OK, false, true },
    { 1, AMARANTH__KEY_STATE__KEY_VERIFY, 0, AM_OK, false, false },
    { 2, AMARANTH__KEY_STATE__KEY_STANDBY, AMARANTH__KEY_STATE__KEY_ACTIVE,
      AM_OK, false, true },
    { 2, AMARANTH__KEY_STATE__KEY_ACTIVE, AMARANTH__KEY_STATE__KEY_STANDBY,
      AM_OK, false, true },
    { 2, AMARANTH__KEY_STATE__KEY_ACTIVE, AMARANTH__KEY_STATE__KEY_ACTIVE,
      AM_OK, false, true },
    { 2, AMARANTH__KEY_STATE__KEY_VERIFY, AMARANTH__KEY_STATE__KEY_ACTIVE,
      AM_OK, true, true },
    { 2, AMARANTH__KEY_STATE__KEY_VERIFY, AMARANTH__KEY_STATE__KEY_STANDBY,
      AM_OK, false, false },
  };
  static const uint8_t types[]
      = { AM_PACKET_DATA, AM_PACKET_PING, AM_PACKET_CLOSE };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    for (size_t j = 0; j < sizeof types; j++)
      {
        const struct key_case *c = &cases[i];
        bool renewed = c->renewed && types[j] == AM_PACKET_PING;
        uint8_t ticket[AM_TICKET_SIZE];

        begin ();
        net_open_flow (&net, 0, 5, ticket);
        set_keys (c->count, c->first, c->second);
        ck_assert_int_eq (net_flow_packet (&net, 0, types[j], 5, ticket, 0),
                          c->expected);
        ck_assert_ptr_nonnull (net_take (&net, AM_ACTION_UPSTREAM));
        ck_assert_uint_eq (net_count (&net, AM_ACTION_CALLER), renewed);
        net.kept_count = 0;
        net_open (&net, 0, 6, AM_OPEN_FLOW);
        net_answer (&net, 0, net_take (&net, AM_ACTION_UPSTREAM)->a.to,
                    AM_PACKET_OPENED, 6, 0);
        net_to_caller (&net, c->may_open ? AM_PACKET_OPENED : AM_PACKET_RESET);
        net_finish (&net);
      }
}
END_TEST

/* Guards against flows of several hours that break when their key is removed:
   then the renewed ticket must be accepted and the old one must not.  */
START_TEST (test_renewal_outlives_rotation)
{
  uint8_t old[AM_TICKET_SIZE];
  uint8_t renewed[AM_TICKET_SIZE];

  begin ();
  net_open_flow (&net, 0, 5, old);
  set_keys (2, AMARANTH__KEY_STATE__KEY_VERIFY,
            AMARANTH__KEY_STATE__KEY_ACTIVE);
  net_flow_packet (&net, 0, AM_PACKET_PING, 5, old, 0);
  memcpy (renewed, net_to_caller (&net, AM_PACKET_RENEWED).ticket,
          sizeof renewed);
  net.kept_count = 0;
  config.keys[0] = &config.key[1];
  set_keys (1, AMARANTH__KEY_STATE__KEY_STANDBY,
            AMARANTH__KEY_STATE__KEY_ACTIVE);
  ck_assert_int_eq (net_flow_packet (&net, 0, AM_PACKET_DATA, 5, renewed, 0),
                    AM_OK);
  ck_assert_ptr_nonnull (net_take (&net, AM_ACTION_UPSTREAM));
  ck_assert_int_eq (net_flow_packet (&net, 0, AM_PACKET_DATA, 5, old, 0),
                    AM_E_KEY_UNKNOWN);
  ck_assert_int_eq (net_reset_reason (&net), AM_E_KEY_UNKNOWN);
  net_finish (&net);
}
END_TEST

/* Guards against a cached ticket that is accepted for another caller or
   connection, after its key was removed, or under another secret of the same
   key id.  */
START_TEST (test_verified_before)
{
  uint8_t ticket[AM_TICKET_SIZE];
  struct am_ticket_scope scope = { fixture_caller.ip, fixture_service, 5 };
  struct am_ticket_scope other = scope;
  struct am_board *b = &net.nodes[0].board;
  struct am_ticket t;
  bool renew;

  begin ();
  net_open_flow (&net, 0, 5, ticket);
  for (int i = 0; i < 2; i++)
    ck_assert_int_eq (am_key_ring_verify (b, &t, &scope, 77, ticket, &renew),
                      AM_OK);
  ck_assert_uint_eq (t.upstream_id, 500);
  other.caller_ip++;
  ck_assert_int_eq (am_key_ring_verify (b, &t, &other, 77, ticket, &renew),
                    AM_E_AUTH);
  other = scope;
  other.connection_id++;
  ck_assert_int_eq (am_key_ring_verify (b, &t, &other, 77, ticket, &renew),
                    AM_E_AUTH);
  ck_assert_int_eq (am_key_ring_verify (b, &t, &scope, 78, ticket, &renew),
                    AM_E_TICKET);
  for (size_t i = 8; i < AM_TICKET_SIZE; i++)
    {
      ticket[i] ^= 1;
      ck_assert_int_lt (am_key_ring_verify (b, &t, &scope, 77, ticket, &renew),
                        0);
      ticket[i] ^= 1;
    }
  config.secrets[0][5] ^= 1;
  net_apply_all (&net, &config);
  ck_assert_int_eq (am_key_ring_verify (b, &t, &scope, 77, ticket, &renew),
                    AM_E_AUTH);
  net_finish (&net);
}
END_TEST

/* Guards against entry VMs that issue tickets under different keys while two
   are active.  */
START_TEST (test_two_active_keys)
{
  begin ();
  set_keys (2, AMARANTH__KEY_STATE__KEY_ACTIVE,
            AMARANTH__KEY_STATE__KEY_ACTIVE);
  ck_assert_uint_eq (am_key_ring_active (&net.nodes[0].board)->id, 2);
  config.keys[0] = &config.key[1];
  config.keys[1] = &config.key[0];
  net_apply_all (&net, &config);
  ck_assert_uint_eq (am_key_ring_active (&net.nodes[0].board)->id, 2);
  net_finish (&net);
}
END_TEST

RUN_TESTS ("key_ring", test_key_states, test_renewal_outlives_rotation,
           test_verified_before, test_two_active_keys)
