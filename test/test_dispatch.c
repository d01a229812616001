#include "core_fixture.h"

#include "core/action_digest.h"
#include "core/targets/probe.h"

static struct net net;
static struct config config;

static void
begin (size_t nodes, Amaranth__Binding binding, size_t upstreams)
{
  net_begin (&net, &config, nodes, binding, upstreams);
}

/* Guards against a refused input that changes state or answers a stranger:
   every malformed datagram only counts.  */
START_TEST (test_malformed_inputs)
{
  static const enum am_event_type types[]
      = { AM_EVENT_CALLER, AM_EVENT_UPSTREAM, AM_EVENT_PEER, AM_EVENT_STREAM };
  uint8_t data[64] = { 0x0d, 0x0a, 0x0d, 0x0a };

  begin (1, AMARANTH__BINDING__BINDING_TICKET, 1);
  for (size_t i = 0; i < sizeof types / sizeof types[0]; i++)
    for (size_t len = 0; len <= sizeof data; len++)
      {
        struct am_event e = { .type = types[i],
                              .service_id = 77,
                              .upstream_id = 500,
                              .data = data,
                              .len = len };

        ck_assert_int_lt (net_event (&net, 0, &e), 0);
      }
  ck_assert_uint_eq (net.kept_count, 0);
  ck_assert_uint_eq (net.nodes[0].board.counters.malformed, 4 * 65);
  net_finish (&net);
}
END_TEST

/* Guards against answers to unknown services or from unknown upstreams, and
   against an entry VM without configuration that resets callers' flows.  */
START_TEST (test_unknown_ends)
{
  struct am_address nowhere = { 0x7f280905, 1 };
  struct am_address upstream = { 0x7f280701, 9000 };
  uint8_t byte = 0;

  net_init (&net, 1);
  ck_assert_int_eq (net_open (&net, 0, 5, AM_OPEN_FLOW), AM_E_SERVICE_UNKNOWN);
  config_init (&config, AMARANTH__BINDING__BINDING_TICKET, 1, 1);
  net_apply_all (&net, &config);
  ck_assert_int_eq (net_datagram (&net, 0, AM_EVENT_CALLER, upstream,
                                  fixture_caller, nowhere, &byte, 1),
                    AM_E_SERVICE_UNKNOWN);
  ck_assert_int_eq (net_datagram (&net, 0, AM_EVENT_UPSTREAM, nowhere,
                                  fixture_service, fixture_caller, &byte, 1),
                    AM_E_UPSTREAM_UNKNOWN);
  ck_assert_uint_eq (net.kept_count, 0);
  net_finish (&net);
}
END_TEST

/* Guards against replies taken for callers' packets on the shared port.  */
START_TEST (test_classify)
{
  struct am_proxy_header reply = { fixture_service, fixture_caller };
  struct am_proxy_header call = { fixture_caller, fixture_service };
  struct am_address upstream = { 0x7f280701, 9000 };
  struct am_address fabric = { 0x7f280801, 7900 };
  uint8_t buf[AM_PROXY_HEADER_SIZE];
  struct am_dispatch *d = &net.nodes[0];

  begin (1, AMARANTH__BINDING__BINDING_TICKET, 1);
  am_proxy_encode (&reply, buf);
  ck_assert_int_eq (am_dispatch_classify (d, upstream, buf, sizeof buf),
                    AM_EVENT_UPSTREAM);
  ck_assert_int_eq (am_dispatch_classify (d, fabric, buf, sizeof buf),
                    AM_EVENT_CALLER);
  am_proxy_encode (&call, buf);
  ck_assert_int_eq (am_dispatch_classify (d, upstream, buf, sizeof buf),
                    AM_EVENT_CALLER);
  ck_assert_int_eq (am_dispatch_classify (d, upstream, buf, 5),
                    AM_EVENT_CALLER);
  net_finish (&net);
}
END_TEST

/* Guards against probes by every home VM or by none, against replies that are
   not taken, and against a probe that is never counted as failed.  */
START_TEST (test_probes)
{
  struct am_address none = { 0, 0 };
  struct am_load load = { .busy = 2, .connections = 9 };
  uint8_t body[AM_LOAD_SIZE];
  uint8_t buf[64];
  struct am_packet p
      = { .type = AM_PACKET_REPORT, .body = body, .body_len = sizeof body };
  struct kept_action *k;
  struct am_upstream *u;
  size_t len;

  begin (2, AMARANTH__BINDING__BINDING_TRACKED, 1);
  net.keep_probes = true;
  net_run (&net, 2 * AM_PROBE_INTERVAL_US);
  ck_assert_uint_ge (net_count (&net, AM_ACTION_UPSTREAM), 2);
  ck_assert_uint_le (net_count (&net, AM_ACTION_UPSTREAM), 4);
  k = net_take (&net, AM_ACTION_UPSTREAM);
  u = am_service_upstream (am_board_service (&net.nodes[k->node].board, 77),
                           500);
  net_run (&net, AM_PROBE_INTERVAL_US);
  ck_assert_uint_gt (u->health.failures, 0);
  am_load_encode (&load, body);
  ck_assert_int_eq (am_packet_encode (&p, buf, sizeof buf, &len), AM_OK);
  ck_assert_int_eq (net_datagram (&net, k->node, AM_EVENT_UPSTREAM, k->a.to,
                                  fixture_service, none, buf, len),
                    AM_OK);
  ck_assert_uint_eq (u->report.load.connections, 9);
  ck_assert_uint_eq (u->report.at_us, net.now_us);
  ck_assert_uint_eq (net_count (&net, AM_ACTION_CALLER), 0);
  net_finish (&net);
}
END_TEST

/* Guards against the baseline's packets going to inactive upstreams.  */
START_TEST (test_hash_binding)
{
  struct am_address fabric = { 0x7f280801, 7900 };
  struct kept_action *k;

  begin (1, AMARANTH__BINDING__BINDING_HASH, 3);
  config.service.revision = 2;
  config.upstream[1].state = AMARANTH__UPSTREAM_STATE__UPSTREAM_LEAVING;
  net_apply_all (&net, &config);
  for (uint16_t i = 0; i < 50; i++)
    {
      struct am_address caller = { 0x7f280601, i };

      net_datagram (&net, 0, AM_EVENT_CALLER, fabric, caller, fixture_service,
                    (const uint8_t *)"x", 1);
      k = net_take (&net, AM_ACTION_UPSTREAM);
      ck_assert_ptr_nonnull (k);
      ck_assert_uint_ne (k->a.upstream_id, 501);
      net_datagram (&net, 0, AM_EVENT_UPSTREAM, k->a.to, fixture_service,
                    caller, (const uint8_t *)"y", 1);
      ck_assert_ptr_nonnull (net_take (&net, AM_ACTION_CALLER));
    }
  net_finish (&net);
}
END_TEST

struct scripted_run
{
  struct am_action_digest digest;
};

static void
count_action (void *userdata, const struct am_action *a)
{
  struct scripted_run *r = userdata;

  am_action_digest_add (&r->digest, a);
}

/* Feeds a fixed script of events, with packets of every type.  */
static struct am_action_digest
run_script (void)
{
  struct scripted_run r = { { 0, 0 } };
  uint8_t body[16] = { 0 };

  begin (1, AMARANTH__BINDING__BINDING_TICKET, 4);
  net.nodes[0].board.sink.emit = count_action;
  net.nodes[0].board.sink.userdata = &r;
  for (uint64_t i = 0; i < 400; i++)
    {
      struct am_packet p = { .type = (uint8_t)(1 + i % 14),
                             .connection_id = i / 28,
                             .body = body,
                             .body_len = i % sizeof body };
      struct am_address upstream = { 0x7f280701 + i % 4, 9000 };

      (void)net_from_caller (&net, 0, &p);
      (void)net_from_upstream (&net, 0, upstream, &p);
      net_run (&net, AM_TICK_US);
    }
  net_finish (&net);
  return r.digest;
}

/* Guards against decisions that depend on anything but the events: memory,
   clock or chance not handed in.  */
START_TEST (test_same_events_same_actions)
{
  struct am_action_digest first = run_script ();
  struct am_action_digest second = run_script ();

  ck_assert_uint_gt (first.actions, 100);
  ck_assert_uint_eq (first.actions, second.actions);
  ck_assert_uint_eq (first.value, second.value);
}
END_TEST

RUN_TESTS ("dispatch", test_malformed_inputs, test_unknown_ends, test_classify,
           test_probes, test_hash_binding, test_same_events_same_actions)
