/* Queue of SYNs.  */

#include "flow/syn_queue.h"
#include "flow_fixture.h"
#include "suite.h"

static struct am_syn_queue q;
static const uint8_t bytes[AM_SYN_QUEUE_DATA_MAX + 1] = "packet";

static void
begin (void)
{
  am_syn_queue_init (&q, &am_syn_queue_fair);
}

/* Bit set of the services that have free slots.  */
static uint32_t free_services;

static bool
is_free (void *userdata, const struct am_queued_syn *w)
{
  (void)userdata;
  return free_services >> w->service & 1;
}

static bool
take (uint64_t now_us, uint32_t free, struct am_queued_syn *w)
{
  free_services = free;
  return am_syn_queue_take (&q, now_us, is_free, NULL, w);
}

static int
add (uint16_t port, uint32_t retransmission, uint64_t deadline_us)
{
  struct am_packet p = syn (port, retransmission);

  return am_syn_queue_add (&q, &p, 1 + port % 2, 0, bytes, 32, 0, deadline_us);
}

/* Guards against an attempt that times out because those with a later deadline
   are taken first.  */
START_TEST (test_earliest_deadline_goes_first)
{
  struct am_queued_syn w;

  add (1, 0, 300);
  add (2, 0, 100);
  add (3, 0, 200);
  ck_assert (take (0, 6, &w));
  ck_assert_uint_eq (w.packet.caller.port, 2);
  ck_assert (take (0, 6, &w));
  ck_assert_uint_eq (w.packet.caller.port, 3);
}
END_TEST

/* Guards against a SYN that waits forever while targets are busy, and one that
   is taken before its deadline.  */
START_TEST (test_deadline_ends_wait)
{
  struct am_queued_syn w;

  add (1, 0, 300);
  ck_assert (!take (299, 0, &w));
  ck_assert (take (300, 0, &w));
  ck_assert (!take (300, 6, &w));
}
END_TEST

/* Guards against one attempt that opens two flows because two transmissions of
   its SYN were queued.  */
START_TEST (test_retransmissions_share_one_entry)
{
  struct am_queued_syn w;

  add (1, 1, 300);
  add (1, 2, 500);
  ck_assert_uint_eq (q.count, 1);
  ck_assert (take (300, 0, &w));
  ck_assert_uint_eq (w.packet.ack, 2);
}
END_TEST

/* Guards against a SYN that waits although its service has free slots, because
   another service is busy.  */
START_TEST (test_services_are_independent)
{
  struct am_queued_syn w;

  add (1, 0, 100);
  add (2, 0, 200);
  add (3, 0, 300);
  ck_assert (take (0, 1u << 1, &w));
  ck_assert_uint_eq (w.packet.caller.port, 2);
  ck_assert (!take (0, 1u << 1, &w));
  ck_assert (take (0, 1u << 2, &w));
  ck_assert_uint_eq (w.packet.caller.port, 1);
}
END_TEST

/* Guards against memory use that grows with the number of callers.  */
START_TEST (test_queue_is_bounded)
{
  struct am_packet p = syn (1, 0);

  for (uint16_t port = 1; port <= AM_SYN_QUEUE_MAX; port++)
    ck_assert_int_eq (add (port, 0, 1), AM_OK);
  ck_assert_int_eq (add (AM_SYN_QUEUE_MAX + 1, 0, 1), AM_E_QUEUE_FULL);
  ck_assert_int_eq (
      am_syn_queue_add (&q, &p, 1, 0, bytes, AM_SYN_QUEUE_DATA_MAX + 1, 0, 1),
      AM_E_TOO_LARGE);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("syn_queue");
  TCase *tc = tcase_create ("syn_queue");

  tcase_add_checked_fixture (tc, begin, NULL);
  tcase_add_test (tc, test_earliest_deadline_goes_first);
  tcase_add_test (tc, test_deadline_ends_wait);
  tcase_add_test (tc, test_retransmissions_share_one_entry);
  tcase_add_test (tc, test_services_are_independent);
  tcase_add_test (tc, test_queue_is_bounded);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
