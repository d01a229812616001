#include "core_board.h"

#include "base/error.h"
#include "core/placement/subset.h"

#define MOST 448

static struct am_board board;

static void
ignore (void *userdata, const struct am_action *a)
{
  (void)userdata;
  (void)a;
}

static struct am_service *
make (uint32_t vm, uint32_t vms, uint32_t upstreams)
{
  static const struct am_sink sink = { ignore, NULL };
  struct board_options o = { .vms = vms,
                             .upstreams = upstreams,
                             .slots = 2,
                             .connections = 2000,
                             .seed = 1 };

  return board_make (&board, vm, &o, &sink);
}

static void
finish (void)
{
  am_requests_finish (&board);
  am_board_finish (&board);
}

/* Increments USERS, which has the order of the list, for each upstream of S
   that is in the subset.  Returns the size of the subset.  */
static uint32_t
count (struct am_service *s, uint32_t *users)
{
  uint32_t n = 0;
  size_t i = 0;

  am_list_each (u, &s->upstreams, struct am_upstream, node)
  {
    users[i++] += u->in_subset;
    n += u->in_subset;
  }
  return n;
}

/* Guards against upstreams that are used by more entry VMs than others, or by
   none, and against a subset of more than AM_CANDIDATES_MAX upstreams.  */
START_TEST (test_covers_evenly)
{
  static const uint32_t sizes[] = { 65, 71, 100, 128, 129, 200, 447, MOST };

  for (size_t k = 0; k < sizeof sizes / sizeof sizes[0]; k++)
    for (uint32_t vms = 1; vms <= AM_HOME_MAX; vms++)
      {
        uint32_t users[MOST] = { 0 };
        uint32_t least = MOST;
        uint32_t most = 0;

        if (sizes[k] > vms * AM_CANDIDATES_MAX)
          continue;
        for (uint32_t vm = 1; vm <= vms; vm++)
          {
            uint32_t n = count (make (vm, vms, sizes[k]), users);

            least = n < least ? n : least;
            most = n > most ? n : most;
            finish ();
          }
        ck_assert_uint_le (most, AM_CANDIDATES_MAX);
        ck_assert_uint_le (most - least, 1);
        ck_assert_uint_gt (users[0], 0);
        for (uint32_t i = 1; i < sizes[k]; i++)
          ck_assert_uint_eq (users[i], users[0]);
      }
}
END_TEST

/* Guards against selection outside the subset while it has candidates, and
   against refusal of work when the whole subset is ejected.  */
START_TEST (test_choice_within_subset)
{
  struct am_service *s = make (3, 7, 100);
  struct am_upstream *u;

  for (int i = 0; i < 500; i++)
    {
      ck_assert_int_eq (am_choice_pick (&board, s, AM_WORK_FLOW, NULL, 0, &u),
                        AM_OK);
      ck_assert (u->in_subset);
      u->use.flows++;
    }
  am_list_each (each, &s->upstreams, struct am_upstream, node)
  {
    each->health.ejected = each->in_subset;
  }
  ck_assert_int_eq (am_choice_pick (&board, s, AM_WORK_FLOW, NULL, 0, &u),
                    AM_OK);
  ck_assert (!u->in_subset);
  finish ();
}
END_TEST

int
main (void)
{
  const TTest *const tests[]
      = { test_covers_evenly, test_choice_within_subset };

  return RUN_TESTS ("subset", tests);
}
