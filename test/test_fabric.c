#include <stdlib.h>

#include "standin_process.h"
#include "suite.h"
#include "wire/proxy_header.h"

#define RETURN "@1:7900"
#define CONTROL "@1:7901"
#define SERVICE "@2:8001"
#define FORWARDER_1 "@3:7000"
#define FORWARDER_2 "@4:7000"
#define CALLER "@5:4000"
#define ARGUMENTS                                                \
  "--return " RETURN " --control " CONTROL " --service " SERVICE \
  " --forwarder " FORWARDER_1 " --forwarder " FORWARDER_2
#define PACKETS 200

static pid_t fabric;
static int forwarders[2];
static int caller;

static void
start (void)
{
  forwarders[0] = udp_bind (FORWARDER_1);
  forwarders[1] = udp_bind (FORWARDER_2);
  caller = udp_bind (CALLER);
  fabric = process_start ("standin-fabric", ARGUMENTS);
  process_command (CONTROL, "stats");
}

static void
stop (void)
{
  process_stop (fabric);
}

/* Sends PACKETS datagrams and counts which forwarder gets them.  */
static void
spray (int counts[2])
{
  uint8_t buf[64];

  for (int i = 0; i < PACKETS; i++)
    udp_send (caller, SERVICE, "x", 1);
  for (int i = 0; i < 2; i++)
    {
      counts[i] = 0;
      while (udp_receive (forwarders[i], buf, sizeof buf, PROCESS_SILENCE_MS,
                          NULL)
             > 0)
        counts[i]++;
    }
}

/* A wrong PROXY header, or a reply that does not come from the service's
   address, would break every flow.  */
START_TEST (test_packet_and_reply)
{
  struct am_proxy_header h;
  struct am_proxy_header back;
  struct am_address from;
  uint8_t buf[64];
  size_t used;
  ssize_t n;

  process_command (CONTROL, "forwarder remove " FORWARDER_2);
  udp_send (caller, SERVICE, "hello", 5);
  n = udp_receive (forwarders[0], buf, sizeof buf, PROCESS_WAIT_MS, NULL);
  ck_assert_int_eq (n, AM_PROXY_HEADER_SIZE + 5);
  ck_assert_int_eq (am_proxy_decode (&h, buf, (size_t)n, &used), AM_OK);
  ck_assert (am_address_equal (h.source, process_address (CALLER)));
  ck_assert (am_address_equal (h.destination, process_address (SERVICE)));
  back.source = h.destination;
  back.destination = h.source;
  am_proxy_encode (&back, buf);
  udp_send (forwarders[0], RETURN, buf, (size_t)n);
  ck_assert_int_eq (
      udp_receive (caller, buf, sizeof buf, PROCESS_WAIT_MS, &from), 5);
  ck_assert_mem_eq (buf, "hello", 5);
  ck_assert (am_address_equal (from, process_address (SERVICE)));
}
END_TEST

/* A spray that leaves a forwarder out, or goes on to a removed one, would
   change what the experiments measure.  */
START_TEST (test_spray_follows_the_forwarders)
{
  int counts[2];

  spray (counts);
  ck_assert_int_eq (counts[0] + counts[1], PACKETS);
  ck_assert_int_gt (counts[0], PACKETS / 4);
  ck_assert_int_gt (counts[1], PACKETS / 4);
  process_command (CONTROL, "forwarder remove " FORWARDER_1);
  spray (counts);
  ck_assert_int_eq (counts[0], 0);
  ck_assert_int_eq (counts[1], PACKETS);
  process_command (CONTROL, "forwarder add " FORWARDER_1);
  spray (counts);
  ck_assert_int_gt (counts[0], PACKETS / 4);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fabric");
  TCase *tc = tcase_create ("fabric");

  tcase_set_timeout (tc, 30);
  tcase_add_checked_fixture (tc, start, stop);
  tcase_add_test (tc, test_packet_and_reply);
  tcase_add_test (tc, test_spray_follows_the_forwarders);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
