/* Tests the order in which the classes of an admission queue are served.  */

#include "base/error.h"
#include "core/placement/admission.h"
#include "core_board.h"

#define WAITING 200
#define HEAVY 0
#define LIGHT 1

struct fixture
{
  struct am_service service;
  struct am_request requests[2 * WAITING];
  size_t n;
};

static void
add (struct fixture *f, uint32_t class_id, uint64_t arrived_us)
{
  struct am_request *r = &f->requests[f->n++];

  am_list_init (&r->wait);
  r->service = &f->service;
  r->class_id = class_id;
  r->priority = class_id;
  r->weight = class_id == HEAVY ? 2 : 1;
  r->arrived_us = arrived_us;
  am_admission_push (&f->service, r, false);
}

static void
make (struct fixture *f)
{
  memset (f, 0, sizeof *f);
  ck_assert_int_eq (am_admission_prepare (&f->service), AM_OK);
}

/* Sends the next request and returns its class.  */
static uint32_t
send_next (struct fixture *f)
{
  struct am_request *r = am_admission_next (&f->service);

  ck_assert_ptr_nonnull (r);
  am_admission_remove (&f->service, r);
  am_admission_sent (&f->service, r);
  return r->class_id;
}

/* Guards against a light class that is served before the heavy one because its
   requests have waited longer: at an offered load of twice the capacity that
   cost 6 % of the weighted goodput.  */
START_TEST (test_heavy_class_first)
{
  struct fixture f;
  unsigned heavy = 0;

  make (&f);
  for (size_t i = 0; i < WAITING; i++)
    add (&f, LIGHT, i);
  for (size_t i = 0; i < WAITING; i++)
    add (&f, HEAVY, 10000000 + i);
  for (size_t i = 0; i < 85; i++)
    heavy += send_next (&f) == HEAVY;
  ck_assert_uint_eq (heavy, 80);
  am_admission_finish (&f.service);
}
END_TEST

/* Guards against starvation of a light class, and against a bypass count that
   rises while no request of the light class is waiting.  */
START_TEST (test_light_class_not_starved)
{
  struct fixture f;

  make (&f);
  for (size_t i = 0; i < WAITING; i++)
    add (&f, HEAVY, i);
  for (size_t i = 0; i < AM_PRIORITY_BYPASS_MAX + 4; i++)
    ck_assert_uint_eq (send_next (&f), HEAVY);
  add (&f, LIGHT, WAITING);
  for (size_t i = 0; i < AM_PRIORITY_BYPASS_MAX; i++)
    ck_assert_uint_eq (send_next (&f), HEAVY);
  ck_assert_uint_eq (send_next (&f), LIGHT);
  ck_assert_uint_eq (send_next (&f), HEAVY);
  am_admission_finish (&f.service);
}
END_TEST

int
main (void)
{
  const TTest *const tests[]
      = { test_heavy_class_first, test_light_class_not_starved };

  return RUN_TESTS ("admission", tests);
}
