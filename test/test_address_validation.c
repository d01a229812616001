#include "core_fixture.h"

#include "core/targets/address_validation.h"

static struct net net;
static struct config config;
static uint8_t ticket[AM_TICKET_SIZE];

static void
begin (size_t nodes, Amaranth__Binding binding)
{
  net_begin (&net, &config, nodes, binding, 1);
}

static struct am_address
target (void)
{
  struct am_address a = { config.upstream[0].ip, 9000 };

  return a;
}

/* Returns the number of packets of callers sent to the upstream since the last
   call.  */
static size_t
sent (void)
{
  size_t n = net_count (&net, AM_ACTION_UPSTREAM);

  net.kept_count = 0;
  return n;
}

/* Guards against an entry VM with an outdated configuration that sends packets
   to an address which another service may use by now: once the validation has
   expired, no packet of an open flow or a new one is sent there.  One reply of
   the upstream validates the address again.  */
START_TEST (test_validation_expires)
{
  begin (1, AMARANTH__BINDING__BINDING_TICKET);
  net_open_flow (&net, 0, 1, ticket);
  net_run (&net, AM_VALIDATION_LIFETIME_US - SECOND);
  net_flow_packet (&net, 0, AM_PACKET_DATA, 1, ticket, 0);
  ck_assert_uint_eq (sent (), 1);
  net_run (&net, SECOND);
  ck_assert_int_eq (net_flow_packet (&net, 0, AM_PACKET_DATA, 1, ticket, 0),
                    AM_E_TIMEOUT);
  net_flow_packet (&net, 0, AM_PACKET_CLOSE, 1, ticket, 0);
  ck_assert_int_eq (net_open (&net, 0, 2, AM_OPEN_FLOW), AM_E_NO_UPSTREAM);
  ck_assert_uint_eq (sent (), 0);
  ck_assert_int_eq (net_report (&net, 0, target (), fixture_service), AM_OK);
  net_flow_packet (&net, 0, AM_PACKET_DATA, 1, ticket, 0);
  ck_assert_uint_eq (sent (), 1);
  net_finish (&net);
}
END_TEST

/* Guards against a validation that stays current after a reply which shows
   that the address belongs to another service.  */
START_TEST (test_other_service_replies)
{
  struct am_address other = { fixture_service.ip + 1, 8002 };

  begin (1, AMARANTH__BINDING__BINDING_TICKET);
  net_open_flow (&net, 0, 1, ticket);
  ck_assert_int_eq (net_report (&net, 0, target (), other),
                    AM_E_SERVICE_UNKNOWN);
  net_flow_packet (&net, 0, AM_PACKET_DATA, 1, ticket, 0);
  ck_assert_uint_eq (sent (), 0);
  net_report (&net, 0, target (), fixture_service);
  net_flow_packet (&net, 0, AM_PACKET_DATA, 1, ticket, 0);
  ck_assert_uint_eq (sent (), 1);
  net_finish (&net);
}
END_TEST

/* Guards against an entry VM that breaks a flow because it has not validated
   the address itself: it forwards the packets to a peer that has.  */
START_TEST (test_peer_delivers)
{
  struct kept_action *k;

  begin (2, AMARANTH__BINDING__BINDING_TICKET);
  net_open_flow (&net, 1, 1, ticket);
  net_run (&net, AM_VALIDATION_LIFETIME_US);
  net_report (&net, 1, target (), fixture_service);
  net.kept_count = 0;
  net_flow_packet (&net, 0, AM_PACKET_DATA, 1, ticket, 0);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_UPSTREAM), 0);
  net_pump (&net);
  k = net_take (&net, AM_ACTION_UPSTREAM);
  ck_assert_ptr_nonnull (k);
  ck_assert_uint_eq (k->node, 1);
  net_finish (&net);
}
END_TEST

/* Guards against expiry of the validation of an idle upstream: probes renew it
   in time, and a packet to an address that is not validated causes a probe at
   once, but only one for several packets.  */
START_TEST (test_probes_renew)
{
  begin (1, AMARANTH__BINDING__BINDING_TICKET);
  net_open_flow (&net, 0, 1, ticket);
  net.keep_probes = true;
  for (int i = 0; i < 60; i++)
    {
      net_run (&net, SECOND);
      if (net_take (&net, AM_ACTION_UPSTREAM))
        net_report (&net, 0, target (), fixture_service);
      net.kept_count = 0;
    }
  net_flow_packet (&net, 0, AM_PACKET_DATA, 1, ticket, 0);
  ck_assert_uint_eq (sent (), 1);
  net.now_us += AM_VALIDATION_LIFETIME_US;
  for (int i = 0; i < 3; i++)
    net_flow_packet (&net, 0, AM_PACKET_DATA, 1, ticket, 0);
  ck_assert_uint_eq (sent (), 1);
  net_finish (&net);
}
END_TEST

/* Guards against the fault of test_validation_expires with the tracked and the
   hash binding.  */
START_TEST (test_opaque)
{
  static const Amaranth__Binding bindings[]
      = { AMARANTH__BINDING__BINDING_TRACKED,
          AMARANTH__BINDING__BINDING_HASH };

  for (size_t i = 0; i < 2; i++)
    for (int expired = 0; expired < 2; expired++)
      {
        begin (1, bindings[i]);
        net.now_us += expired ? AM_VALIDATION_LIFETIME_US : 0;
        net_datagram (&net, 0, AM_EVENT_CALLER, target (), fixture_caller,
                      fixture_service, (const uint8_t *)"data", 4);
        ck_assert_uint_eq (sent (), expired ? 0 : 1);
        net_finish (&net);
      }
}
END_TEST

RUN_TESTS ("address_validation", test_validation_expires,
           test_other_service_replies, test_peer_delivers, test_probes_renew,
           test_opaque)
