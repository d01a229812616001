#include <math.h>

#include "base/error.h"
#include "core_board.h"

#define SECOND 1000000u
#define N 4

struct fixture
{
  struct am_board board;
  struct am_service *service;
  struct am_upstream *upstreams[N];
};

static void
ignore (void *userdata, const struct am_action *a)
{
  (void)userdata;
  (void)a;
}

static void
make (struct fixture *f, Amaranth__Policy policy)
{
  struct board_options o = {
    .vms = 1, .upstreams = N, .slots = 2, .connections = 2000, .policy = policy
  };
  struct am_sink sink = { ignore, NULL };

  f->service = board_make (&f->board, 1, &o, &sink);
  f->board.now_us = 100 * SECOND;
  am_list_each (u, &f->service->upstreams, struct am_upstream, node)
  {
    f->upstreams[u->address.ip - 0x7f320001] = u;
  }
}

static int
pick (struct fixture *f, enum am_work work, struct am_upstream **u)
{
  return am_choice_pick (&f->board, f->service, work, NULL,
                         am_rng_next (&f->board.rng), u);
}

/* Opens COUNT flows and returns the fraction that upstream 0 got.  */
static double
share_of_first (struct fixture *f, int count)
{
  uint32_t before = f->upstreams[0]->use.flows;

  for (int i = 0; i < count; i++)
    {
      struct am_upstream *u;

      ck_assert_int_eq (pick (f, AM_WORK_FLOW, &u), AM_OK);
      u->use.flows++;
    }
  return (double)(f->upstreams[0]->use.flows - before) / count;
}

/* Guards against a policy that ignores weights: an upstream of weight 50 with
   three others of weight 100 gets a seventh of the flows.  */
START_TEST (test_weights)
{
  for (int p = 0; p <= AMARANTH__POLICY__POLICY_HASH; p++)
    {
      struct fixture f;

      make (&f, (Amaranth__Policy)p);
      f.upstreams[0]->weight = 50;
      ck_assert_double_eq_tol (share_of_first (&f, 3500), 1.0 / 7, 0.03);
      board_free (&f.board);
    }
}
END_TEST

/* Guards against new work for an upstream that is leaving, ejected or in
   back-off, and against AM_E_LIMIT and AM_E_NO_UPSTREAM being confused.  */
START_TEST (test_candidates)
{
  struct fixture f;
  struct am_upstream *u;

  make (&f, AMARANTH__POLICY__POLICY_LOCAL);
  f.upstreams[0]->state = AMARANTH__UPSTREAM_STATE__UPSTREAM_LEAVING;
  f.upstreams[1]->health.ejected = true;
  am_health_refused (&f.board, f.upstreams[2]);
  for (int i = 0; i < 2; i++)
    {
      ck_assert_int_eq (pick (&f, AM_WORK_REQUEST, &u), AM_OK);
      ck_assert_ptr_eq (u, f.upstreams[3]);
      u->use.busy++;
    }
  ck_assert_int_eq (pick (&f, AM_WORK_REQUEST, &u), AM_E_LIMIT);
  am_health_failed (&f.board, f.upstreams[3]);
  ck_assert_int_eq (pick (&f, AM_WORK_REQUEST, &u), AM_E_NO_UPSTREAM);
  f.board.now_us += SECOND;
  ck_assert_int_eq (pick (&f, AM_WORK_REQUEST, &u), AM_OK);
  ck_assert_ptr_eq (u, f.upstreams[2]);
  board_free (&f.board);
}
END_TEST

/* Guards against selection of an excluded upstream although there is another,
   and against an error when it is the only one.  */
START_TEST (test_exclude)
{
  struct fixture f;
  struct am_upstream *u;

  make (&f, AMARANTH__POLICY__POLICY_LOCAL);
  for (int i = 0; i < 20; i++)
    {
      am_choice_pick (&f.board, f.service, AM_WORK_FLOW, f.upstreams[1], 0,
                      &u);
      ck_assert_ptr_ne (u, f.upstreams[1]);
    }
  for (int i = 0; i < N; i++)
    f.upstreams[i]->health.ejected = i != 1;
  ck_assert_int_eq (am_choice_pick (&f.board, f.service, AM_WORK_FLOW,
                                    f.upstreams[1], 0, &u),
                    AM_OK);
  ck_assert_ptr_eq (u, f.upstreams[1]);
  board_free (&f.board);
}
END_TEST

/* Guards against a back-off that does not double from 50 ms to 2 s, or whose
   jitter exceeds a quarter.  */
START_TEST (test_back_off)
{
  struct fixture f;
  uint64_t base = 50000;

  make (&f, AMARANTH__POLICY__POLICY_LOCAL);
  for (int i = 0; i < 10; i++)
    {
      struct am_upstream_health *h = &f.upstreams[0]->health;
      uint64_t us;

      am_health_refused (&f.board, f.upstreams[0]);
      us = h->avoid_until_us - f.board.now_us;
      ck_assert_uint_ge (us, base * 3 / 4);
      ck_assert_uint_le (us, base * 5 / 4);
      am_health_refused (&f.board, f.upstreams[0]);
      ck_assert_uint_eq (h->avoid_until_us - f.board.now_us, us);
      f.board.now_us = h->avoid_until_us;
      base = base * 2 > 2000000 ? 2000000 : base * 2;
    }
  am_health_ok (&f.board, f.upstreams[0], 1000);
  ck_assert_uint_eq (f.upstreams[0]->health.backoff_us, 0);
  board_free (&f.board);
}
END_TEST

/* Guards against an upstream that gets its full share as soon as it joins.  */
START_TEST (test_slow_start)
{
  struct fixture f;
  struct am_upstream *u = NULL;
  int started = 0;

  make (&f, AMARANTH__POLICY__POLICY_LOCAL);
  f.upstreams[0]->joined_us = f.board.now_us;
  f.upstreams[0]->health.answer_us = 50000;
  ck_assert_double_eq_tol (am_slow_start_factor (&f.board, f.upstreams[0]),
                           0.1, 0.001);
  for (int i = 1; i < N; i++)
    f.upstreams[i]->use.flows = 500;
  ck_assert_double_le (share_of_first (&f, 100), 0.05);
  for (int i = 1; i < N; i++)
    f.upstreams[i]->use.busy = 2;
  for (int ms = 0; ms < 1000; ms += 10)
    {
      f.board.now_us += 10000;
      started += pick (&f, AM_WORK_REQUEST, &u) == AM_OK;
    }
  ck_assert_int_le (started, 4);
  f.board.now_us += 10 * SECOND;
  ck_assert_double_eq (am_slow_start_factor (&f.board, f.upstreams[0]), 1);
  board_free (&f.board);
}
END_TEST

/* Guards against too much trust in a false load report: own counts take
   precedence, so that it moves at most a hundredth of the connections.  */
START_TEST (test_false_report)
{
  struct fixture f;

  make (&f, AMARANTH__POLICY__POLICY_LOCAL);
  for (int i = 0; i < 100; i++)
    {
      f.upstreams[0]->report.load.connections = 60000;
      f.upstreams[0]->report.at_us = f.board.now_us;
      share_of_first (&f, 40);
    }
  ck_assert_uint_ge (f.upstreams[0]->use.flows, 1000 - 20);
  board_free (&f.board);
}
END_TEST

/* Guards against selections that differ between runs with the same events.  */
START_TEST (test_deterministic)
{
  for (int p = 0; p <= AMARANTH__POLICY__POLICY_HASH; p++)
    {
      struct fixture a;
      struct fixture c;

      make (&a, (Amaranth__Policy)p);
      make (&c, (Amaranth__Policy)p);
      for (int i = 0; i < 1000; i++)
        {
          struct am_upstream *x;
          struct am_upstream *y;

          ck_assert_int_eq (pick (&a, AM_WORK_FLOW, &x), AM_OK);
          ck_assert_int_eq (pick (&c, AM_WORK_FLOW, &y), AM_OK);
          ck_assert_uint_eq (x->id, y->id);
          x->use.flows++;
          y->use.flows++;
        }
      board_free (&a.board);
      board_free (&c.board);
    }
}
END_TEST

int
main (void)
{
  const TTest *const tests[]
      = { test_weights,    test_candidates,   test_exclude,      test_back_off,
          test_slow_start, test_false_report, test_deterministic };

  return RUN_TESTS ("choice", tests);
}
