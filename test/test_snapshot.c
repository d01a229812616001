#include "core_fixture.h"

#include "core/configuration/snapshot.h"
#include "core/configuration/snapshot_pack.h"

static struct net net;
static struct config config;

static void
begin (size_t upstreams)
{
  net_init (&net, 1);
  config_init (&config, AMARANTH__BINDING__BINDING_TICKET, upstreams, 3);
  net_apply_all (&net, &config);
}

static struct am_service *
service (void)
{
  return am_board_service (&net.nodes[0].board, 77);
}

/* Guards against a revert: an agent with an older or empty configuration must
   change nothing of what is in force.  */
START_TEST (test_never_reverts)
{
  struct config empty;

  begin (2);
  config.service.revision = 5;
  config.service.ping_misses = 9;
  net_apply_all (&net, &config);
  config.service.revision = 4;
  config.service.ping_misses = 2;
  config.service.n_upstreams = 0;
  net_apply_all (&net, &config);
  config_init (&empty, AMARANTH__BINDING__BINDING_TICKET, 0, 0);
  empty.snapshot.n_services = 0;
  empty.snapshot.n_keys = 0;
  net_apply_all (&net, &empty);
  ck_assert_uint_eq (service ()->revision, 5);
  ck_assert_uint_eq (service ()->ping_misses, 9);
  ck_assert_uint_eq (HASH_CNT (by_id, service ()->upstreams_by_id), 2);
  ck_assert_uint_eq (net.nodes[0].board.key_count, 1);
  ck_assert_uint_eq (service ()->home_count, 3);
  net_finish (&net);
}
END_TEST

/* Guards against lost counters and health on a change that does not concern
   the upstream, and against kept ones when another VM is behind it.  */
START_TEST (test_keeps_state_of_what_stays)
{
  struct am_upstream *u;

  begin (2);
  u = am_service_upstream (service (), 500);
  u->use.flows = 12;
  u->health.failures = 3;
  am_service_upstream (service (), 501)->use.flows = 7;
  config.service.revision = 2;
  config.service.n_upstreams = 3;
  config.upstream[1].incarnation = 2;
  net_apply_all (&net, &config);
  ck_assert_ptr_eq (am_service_upstream (service (), 500), u);
  ck_assert_uint_eq (u->use.flows, 12);
  ck_assert_uint_eq (u->health.failures, 3);
  ck_assert_uint_eq (am_service_upstream (service (), 501)->use.flows, 0);
  ck_assert_uint_eq (am_service_upstream (service (), 500)->joined_us, 0);
  ck_assert_uint_eq (am_service_upstream (service (), 502)->joined_us,
                     net.now_us);
  net_finish (&net);
}
END_TEST

/* Guards against a half-applied snapshot: one malformed field refuses it
   whole.  */
START_TEST (test_malformed_is_refused_whole)
{
  struct config *c = &config;
  struct am_event e = { .type = AM_EVENT_SNAPSHOT,
                        .data = (const uint8_t *)"\xff\xff\xff",
                        .len = 3 };

  begin (2);
  ck_assert_int_eq (net_event (&net, 0, &e), AM_E_FORMAT);
  for (int i = 0; i < 11; i++)
    {
      config_init (c, AMARANTH__BINDING__BINDING_TICKET, 3, 3);
      c->service.revision = 9;
      switch (i)
        {
        case 0:
          c->service.id = 0;
          break;
        case 1:
          c->service.port = 70000;
          break;
        case 2:
          c->upstream[2].id = c->upstream[1].id;
          break;
        case 3:
          c->upstream[2].ip = c->upstream[1].ip;
          break;
        case 4:
          c->upstream[2].state = 7;
          break;
        case 5:
          c->key[0].secret.len = 31;
          break;
        case 6:
          c->member[1].id = 1;
          break;
        case 7:
          c->member[1].peer_port = 65536;
          break;
        case 8:
          c->service.binding = AMARANTH__BINDING__BINDING_HASH;
          break;
        case 9:
          c->service.lending = 2;
          break;
        default:
          c->service.name = "";
          break;
        }
      ck_assert_int_lt (net_apply (&net, 0, c), 0);
      ck_assert_uint_eq (service ()->revision, 1);
      ck_assert_uint_eq (HASH_CNT (by_id, service ()->upstreams_by_id), 2);
    }
  ck_assert_uint_eq (net.nodes[0].board.counters.snapshots_refused, 12);
  ck_assert_uint_eq (net.nodes[0].board.counters.snapshots, 1);
  net_finish (&net);
}
END_TEST

/* Guards against a tombstone that is kept for ever, and against a live service
   that is dropped because an agent does not know it yet.  */
START_TEST (test_services_leave_only_when_retired)
{
  begin (1);
  config.snapshot.n_services = 0;
  net_apply_all (&net, &config);
  ck_assert_ptr_nonnull (service ());
  config.snapshot.n_services = 1;
  config.service.revision = 2;
  config.service.retired = true;
  net_apply_all (&net, &config);
  net_open (&net, 0, 5, AM_OPEN_FLOW);
  ck_assert_int_eq (net_reset_reason (&net), AM_E_SERVICE_UNKNOWN);
  config.snapshot.n_services = 0;
  net_apply_all (&net, &config);
  ck_assert_ptr_null (service ());
  net_finish (&net);
}
END_TEST

/* Guards against two services at one address when an outdated snapshot still
   gives it to the old one.  */
START_TEST (test_address_of_newer_service_stays)
{
  struct config old;

  begin (1);
  config.service.revision = 5;
  net_apply_all (&net, &config);
  config_init (&old, AMARANTH__BINDING__BINDING_TICKET, 1, 3);
  old.services[1] = &config.service;
  old.snapshot.n_services = 2;
  old.service.id = 78;
  config.service.revision = 4;
  config.service.port = 8002;
  net_apply_all (&net, &old);
  ck_assert_ptr_null (am_board_service (&net.nodes[0].board, 78));
  ck_assert_ptr_eq (am_board_service_at (&net.nodes[0].board, fixture_service),
                    service ());
  net_finish (&net);
}
END_TEST

/* Guards against credits and buckets that move because a restarted agent does
   not see all members yet, and against members kept for ever.  */
START_TEST (test_missing_members_are_kept_a_while)
{
  begin (1);
  config.snapshot.n_members = 1;
  net_apply_all (&net, &config);
  ck_assert_uint_eq (service ()->home_count, 3);
  net_run (&net, AM_MEMBER_KEEP_US - SECOND);
  ck_assert_uint_eq (service ()->home_count, 3);
  net_run (&net, 2 * SECOND);
  ck_assert_uint_eq (service ()->home_count, 1);
  net_finish (&net);
}
END_TEST

/* Guards against new work or shares for members that stop or are dead.  */
START_TEST (test_home_set_by_state)
{
  static const Amaranth__MemberState out[]
      = { AMARANTH__MEMBER_STATE__MEMBER_DEAD,
          AMARANTH__MEMBER_STATE__MEMBER_LEAVING,
          AMARANTH__MEMBER_STATE__MEMBER_LEFT };

  begin (1);
  config.member[2].state = AMARANTH__MEMBER_STATE__MEMBER_SUSPECT;
  net_apply_all (&net, &config);
  ck_assert_uint_eq (service ()->home_count, 3);
  ck_assert (service ()->home);
  for (size_t i = 0; i < 3; i++)
    {
      config.member[2].state = out[i];
      net_apply_all (&net, &config);
      ck_assert_uint_eq (service ()->home_count, 2);
    }
  config.member[0].state = AMARANTH__MEMBER_STATE__MEMBER_LEAVING;
  net_apply_all (&net, &config);
  ck_assert (!service ()->home);
  net_finish (&net);
}
END_TEST

/* Guards against a new agent that learns less than what is in force: packed
   and applied elsewhere, the snapshot gives the same again.  */
START_TEST (test_pack_in_force)
{
  struct am_event e = { .type = AM_EVENT_SNAPSHOT };
  uint8_t *first;
  uint8_t *second;
  size_t first_len;
  size_t second_len;

  begin (3);
  config.snapshot.digest = 4711;
  config.service.revision = 6;
  config.service.policy = AMARANTH__POLICY__POLICY_LOCAL;
  config.service.objective = AMARANTH__OBJECTIVE__OBJECTIVE_IMBALANCE;
  config.service.retry_budget = 25;
  config.service.lending = AMARANTH__LENDING__LENDING_OFF;
  config.upstream[1].state = AMARANTH__UPSTREAM_STATE__UPSTREAM_LEAVING;
  config.snapshot.n_keys = 2;
  net_apply_all (&net, &config);
  config.snapshot.n_services = 0;
  config.snapshot.n_keys = 0;
  net_apply_all (&net, &config);
  ck_assert_int_eq (am_snapshot_pack (&net.nodes[0].board, &first, &first_len),
                    AM_OK);
  net_finish (&net);
  net_init (&net, 1);
  ck_assert_int_eq (
      am_snapshot_pack (&net.nodes[0].board, &second, &second_len),
      AM_E_NOT_FOUND);
  e.data = first;
  e.len = first_len;
  ck_assert_int_eq (net_event (&net, 0, &e), AM_OK);
  ck_assert_int_eq (
      am_snapshot_pack (&net.nodes[0].board, &second, &second_len), AM_OK);
  ck_assert_uint_eq (first_len, second_len);
  ck_assert_mem_eq (first, second, first_len);
  ck_assert_uint_eq (service ()->revision, 6);
  ck_assert_uint_eq (net.nodes[0].board.key_count, 2);
  ck_assert_uint_eq (service ()->home_count, 3);
  ck_assert_uint_eq (service ()->retry_budget, 25);
  ck_assert_int_eq (service ()->lending, AMARANTH__LENDING__LENDING_OFF);
  free (first);
  free (second);
  net_finish (&net);
}
END_TEST

/* Guards against a verdict that outlives its reason.  */
START_TEST (test_verdicts)
{
  Amaranth__Verdict verdict = AMARANTH__VERDICT__INIT;
  Amaranth__Verdict *verdicts[] = { &verdict };

  begin (2);
  verdict.service_id = 77;
  verdict.upstream_id = 501;
  verdict.ejected = true;
  config.snapshot.verdicts = verdicts;
  config.snapshot.n_verdicts = 1;
  net.watched = "event=ejection ";
  net_apply_all (&net, &config);
  net_apply_all (&net, &config);
  ck_assert_uint_eq (net.lines, 1);
  ck_assert_ptr_nonnull (strstr (net.line, " ejected=1 "));
  ck_assert (am_service_upstream (service (), 501)->health.ejected);
  ck_assert (!am_service_upstream (service (), 500)->health.ejected);
  config.snapshot.n_verdicts = 0;
  net_apply_all (&net, &config);
  ck_assert_uint_eq (net.lines, 2);
  ck_assert_ptr_nonnull (strstr (net.line, " ejected=0 "));
  ck_assert (!am_service_upstream (service (), 501)->health.ejected);
  net_finish (&net);
}
END_TEST

/* Guards against a record that validation accepts and that makes every entry
   VM refuse its whole configuration: a record may have 16 classes.  */
START_TEST (test_most_classes)
{
  Amaranth__RequestClass classes[16];
  Amaranth__RequestClass *list[16];

  begin (1);
  for (size_t i = 0; i < 16; i++)
    {
      classes[i] = *config.classes[0];
      classes[i].id = (uint32_t)i;
      list[i] = &classes[i];
    }
  config.service.classes = list;
  config.service.n_classes = 16;
  config.service.revision = 2;
  ck_assert_int_eq (net_apply (&net, 0, &config), AM_OK);
  ck_assert_uint_eq (service ()->revision, 2);
  ck_assert_uint_eq (service ()->class_count, 16);
  net_finish (&net);
}
END_TEST

RUN_TESTS ("snapshot", test_never_reverts, test_keeps_state_of_what_stays,
           test_malformed_is_refused_whole,
           test_services_leave_only_when_retired,
           test_address_of_newer_service_stays,
           test_missing_members_are_kept_a_while, test_home_set_by_state,
           test_pack_in_force, test_verdicts, test_most_classes)
