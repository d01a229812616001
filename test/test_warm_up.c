/* Limit of new flows at targets that warm up: many VMs over virtual time, each
   with what it knows of the others.  */

#include <stdio.h>

#include "flow/warm_up.h"
#include "flow_fixture.h"
#include "suite.h"

#define VMS 25
#define TARGETS 40
#define PER_S 10.0
#define OVERAGE 1.5
#define SLACK 5.0

/* In any second at one target, by the rule.  */
#define LIMIT (PER_S * OVERAGE + SLACK)

#define STEP_US 1000u
#define SECOND_US 1000000u
#define SENT_MAX 4096

struct vm
{
  struct flow_fixture fixture;
  struct am_fleet fleet;
  struct am_warm_up warm_up;
};

/* Times of the SYNs that one target took.  */
struct taken
{
  size_t count;
  uint64_t at_us[SENT_MAX];
};

static struct vm vms[VMS];
static struct taken taken[TARGETS + 1];
static struct am_rng rng;
static uint64_t now_us;
static uint16_t next_port;
static unsigned resets;

static void
state_rate (struct flow_fixture *f)
{
  struct am_service s = { .name = ORDERS, .warm_up_per_s = PER_S };
  struct am_configuration c = { .version = 2, .route_count = 1 };

  c.routes = calloc (1, sizeof *c.routes);
  c.routes[0].address = orders_address ();
  ck_assert_int_eq (am_route_add_share (&c.routes[0], ORDERS, 1), AM_OK);
  ck_assert_int_eq (am_configuration_add_service (&c, &s), AM_OK);
  ck_assert_int_eq (am_route_table_accept (&f->routes, &c), AM_OK);
}

/* Makes the first KNOWN VMs known to V.  */
static void
introduce (unsigned v, unsigned known)
{
  char name[16];

  for (unsigned i = 0; i < known; i++)
    {
      struct am_peer *p;

      snprintf (name, sizeof name, "vm-%u", i);
      p = am_fleet_get_or_add_peer (&vms[v].fleet, name, now_us);
      if (p)
        p->data_centre = NEAR;
    }
}

static void
begin (void)
{
  char name[16];

  now_us = START_US;
  next_port = 1;
  resets = 0;
  memset (taken, 0, sizeof taken);
  am_rng_init (&rng, 1);
  for (unsigned v = 0; v < VMS; v++)
    {
      snprintf (name, sizeof name, "vm-%u", v);
      flow_begin (&vms[v].fixture);
      state_rate (&vms[v].fixture);
      am_rng_init (&vms[v].fixture.path.rng, v);
      am_fleet_init (&vms[v].fleet, name, NEAR, 20, now_us);
      vms[v].warm_up = (struct am_warm_up){ .bounds = { true, OVERAGE, SLACK },
                                            .fleet = &vms[v].fleet,
                                            .routes = &vms[v].fixture.routes };
      vms[v].fixture.path.warm_up = &vms[v].warm_up;
    }
}

static void
end (void)
{
  for (unsigned v = 0; v < VMS; v++)
    {
      am_fleet_finish (&vms[v].fleet);
      flow_end (&vms[v].fixture);
    }
}

/* All VMs learn of the targets FIRST to LAST, cold for WARM_UP_MS.  */
static void
start_targets (uint64_t first, uint64_t last, uint32_t warm_up_ms)
{
  for (unsigned v = 0; v < VMS; v++)
    for (uint64_t id = first; id <= last; id++)
      {
        struct am_target_spec s = target_spec (id, NEAR);

        s.warm_up_ms = warm_up_ms;
        am_target_table_put (&vms[v].fixture.targets, &s, now_us, NULL);
      }
}

static void
record (const struct am_decision *d)
{
  struct taken *t;

  if (d->verdict == AM_VERDICT_RESET)
    resets++;
  if (d->verdict != AM_VERDICT_FORWARD)
    return;
  t = &taken[d->target->spec.id];
  ck_assert_uint_lt (t->count, SENT_MAX);
  t->at_us[t->count++] = now_us;
}

static void
arrive (unsigned v)
{
  struct flow_fixture *f = &vms[v].fixture;
  struct am_decision d;

  f->now_us = now_us;
  d = send_packet (f, syn (next_port++, 0));
  record (&d);
}

static void
dequeue (unsigned v)
{
  struct am_queued_syn w;
  struct am_decision d;

  while (am_path_dequeue (&vms[v].fixture.path, &w, &d, now_us))
    record (&d);
}

/* Flows arrive at random VMs, FLOWS_PER_S in all, for SECONDS.  */
static void
run (double flows_per_s, double seconds)
{
  uint64_t end_us = now_us + (uint64_t)(seconds * SECOND_US);

  for (; now_us < end_us; now_us += STEP_US)
    {
      if (am_rng_unit (&rng) < flows_per_s * STEP_US / SECOND_US)
        arrive (am_rng_below (&rng, VMS));
      for (unsigned v = 0; v < VMS; v++)
        dequeue (v);
    }
}

/* Returns the most SYNs that T took within one second.  */
static unsigned
most_in_a_second (const struct taken *t)
{
  unsigned most = 0;
  size_t first = 0;

  for (size_t i = 0; i < t->count; i++)
    {
      while (t->at_us[i] - t->at_us[first] >= SECOND_US)
        first++;
      if (i - first + 1 > most)
        most = (unsigned)(i - first + 1);
    }
  return most;
}

static unsigned
most_at_any (void)
{
  unsigned most = 0;

  for (unsigned i = 1; i <= TARGETS; i++)
    if (most_in_a_second (&taken[i]) > most)
      most = most_in_a_second (&taken[i]);
  return most;
}

static size_t
total (unsigned first, unsigned last)
{
  size_t n = 0;

  for (unsigned i = first; i <= last; i++)
    n += taken[i].count;
  return n;
}

/* Guards against cold targets that get more than they bear from all VMs
   together, as none knows what the others send, and against a service that
   stands still because all of its targets are cold.  */
START_TEST (test_all_targets_cold)
{
  for (unsigned v = 0; v < VMS; v++)
    introduce (v, VMS);
  now_us += AM_WARM_UP_HOLD_US;
  start_targets (1, TARGETS, 10000);
  run (600, 5);
  ck_assert_uint_le (most_at_any (), (unsigned)LIMIT);
  /* At least half of what the rate allows.  */
  ck_assert_uint_ge (total (1, TARGETS), (size_t)(TARGETS * PER_S * 5 / 2));
}
END_TEST

/* Guards against callers that wait until their attempt times out, when the
   limit leaves no room for them.  */
START_TEST (test_what_finds_no_room_is_reset_in_time)
{
  for (unsigned v = 0; v < VMS; v++)
    introduce (v, VMS);
  now_us += AM_WARM_UP_HOLD_US;
  start_targets (1, 1, 10000);
  run (100, 2);
  ck_assert_uint_le (most_at_any (), (unsigned)LIMIT);
  ck_assert_uint_ge (taken[1].count, (size_t)(PER_S * 2 / 2));
  ck_assert_uint_gt (resets, 50);
}
END_TEST

/* Guards against a SYN that is reset long before its attempt times out, as the
   latency objective of its route is short: the limit may let it pass soon.  */
START_TEST (test_wait_is_not_bound_by_the_objective)
{
  struct flow_fixture *f = &vms[0].fixture;

  /* A VM alone, whose second flow to the target has to wait for its
     interval.  */
  f->routes.active.routes[0].terms.objective_ms = 100;
  now_us += AM_WARM_UP_HOLD_US;
  start_targets (1, 1, 10000);
  arrive (0);
  arrive (0);
  ck_assert_uint_eq (taken[1].count, 1);
  for (uint64_t end_us = now_us + 400 * MS; now_us < end_us; now_us += STEP_US)
    dequeue (0);
  ck_assert_uint_eq (resets, 0);
  ck_assert_uint_eq (taken[1].count, 2);
}
END_TEST

/* Guards against SYNs that wait for cold targets while others are free.  */
START_TEST (test_warm_targets_take_the_rest)
{
  for (unsigned v = 0; v < VMS; v++)
    introduce (v, VMS);
  now_us += AM_WARM_UP_HOLD_US;
  start_targets (1, TARGETS / 2, 10000);
  start_targets (TARGETS / 2 + 1, TARGETS, 0);
  run (600, 3);
  for (unsigned i = 1; i <= TARGETS / 2; i++)
    ck_assert_uint_le (most_in_a_second (&taken[i]), (unsigned)LIMIT);
  ck_assert_uint_eq (resets, 0);
  ck_assert_uint_ge (total (1, TARGETS), 1700);
}
END_TEST

/* Guards against VMs that take themselves for the only ones when all have just
   started: each would send a cold target what it bears in all.  */
START_TEST (test_all_vms_start_at_once)
{
  start_targets (1, TARGETS, 10000);
  run (600, 1);
  ck_assert_uint_eq (total (1, TARGETS), 0);
}
END_TEST

/* Guards against a limit that is exceeded while VMs disagree on who admits:
   half of them do not know the half that has been added.  */
START_TEST (test_vms_that_disagree)
{
  for (unsigned v = 0; v < VMS; v++)
    introduce (v, v % 2 ? VMS : VMS / 2);
  now_us += AM_WARM_UP_HOLD_US;
  start_targets (1, TARGETS, 10000);
  run (2000, 5);
  ck_assert_uint_le (most_at_any (), (unsigned)LIMIT);
}
END_TEST

/* Guards against VMs that are cut off from their peers and take their place:
   a VM remembers those that it has not heard of lately.  */
START_TEST (test_cut_between_vms)
{
  for (unsigned v = 0; v < VMS; v++)
    introduce (v, VMS);
  now_us += AM_FLEET_PEER_EXPIRY_US / 2;
  for (unsigned v = 0; v < VMS; v++)
    am_fleet_expire (&vms[v].fleet, &vms[v].fixture.targets, now_us);
  start_targets (1, TARGETS, 10000);
  run (2000, 5);
  ck_assert_uint_le (most_at_any (), (unsigned)LIMIT);
}
END_TEST

/* Guards against a limit where none is asked for: no bound in the settings, or
   no rate in the configuration.  */
START_TEST (test_no_limit_is_stated)
{
  for (unsigned v = 0; v < VMS; v++)
    vms[v].warm_up.bounds.stated = false;
  start_targets (1, 1, 10000);
  run (100, 1);
  ck_assert_uint_ge (taken[1].count, 60);
  ck_assert_uint_eq (resets, 0);
}
END_TEST

/* Guards against plans beyond half of the limit, for any rate.  */
START_TEST (test_plan_keeps_half_of_the_limit)
{
  static const double rates[] = { 1, 2.5, 5, 10, 33, 250 };
  struct am_warm_up_bounds b = { true, OVERAGE, SLACK };

  for (size_t i = 0; i < sizeof rates / sizeof rates[0]; i++)
    {
      struct am_warm_up_plan p = am_warm_up_plan (&b, rates[i]);
      double rate = p.admitters * 1e6 / (double)p.interval_us;

      ck_assert_double_le (rate + p.admitters,
                           (rates[i] * OVERAGE + SLACK) / 2 + 1e-3);
      ck_assert_double_ge (rate, rates[i] / 2);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("warm_up");
  TCase *tc = tcase_create ("warm_up");

  tcase_set_timeout (tc, 60);
  tcase_add_checked_fixture (tc, begin, end);
  tcase_add_test (tc, test_all_targets_cold);
  tcase_add_test (tc, test_what_finds_no_room_is_reset_in_time);
  tcase_add_test (tc, test_wait_is_not_bound_by_the_objective);
  tcase_add_test (tc, test_warm_targets_take_the_rest);
  tcase_add_test (tc, test_all_vms_start_at_once);
  tcase_add_test (tc, test_vms_that_disagree);
  tcase_add_test (tc, test_cut_between_vms);
  tcase_add_test (tc, test_no_limit_is_stated);
  tcase_add_test (tc, test_plan_keeps_half_of_the_limit);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
