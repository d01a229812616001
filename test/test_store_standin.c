#include <stdlib.h>

#include "standin_process.h"
#include "store/standin_kv.h"
#include "suite.h"

#define STORE "@1:8500"
#define SECOND 1000000u

/* ---- key-value state -------------------------------------------------- */

static const struct standin_condition any = { 0 };

static struct standin_condition
cas (uint64_t index)
{
  struct standin_condition c = { .has_cas = true, .cas = index };

  return c;
}

static int
put (struct standin_kv *kv, const char *key, const char *value,
     const struct standin_condition *c)
{
  return standin_kv_write (kv, key, (const uint8_t *)value, strlen (value), c);
}

static size_t
keys_below (struct standin_kv *kv, const char *prefix)
{
  json_t *list = standin_kv_read (kv, prefix, false);
  size_t n = json_array_size (list);

  json_decref (list);
  return n;
}

/* A compare-and-swap that lets a second writer through would hide lost
   updates of operators.  */
START_TEST (test_compare_and_swap)
{
  struct standin_kv kv;
  struct standin_condition absent = cas (0);
  struct standin_condition second;

  standin_kv_init (&kv);
  ck_assert_int_eq (put (&kv, "a/b", "1", &absent), AM_OK);
  ck_assert_int_eq (put (&kv, "a/b", "2", &absent), AM_E_CONFLICT);
  second = cas (standin_kv_index (&kv, "a/"));
  ck_assert_int_eq (put (&kv, "a/b", "2", &second), AM_OK);
  ck_assert_int_eq (put (&kv, "a/b", "3", &second), AM_E_CONFLICT);
  standin_kv_finish (&kv);
}
END_TEST

/* Guards against an answer to a watch that grows with the number of records:
   with a separator the names end at it.  */
START_TEST (test_names_up_to_a_separator)
{
  struct standin_kv kv;
  json_t *list;

  standin_kv_init (&kv);
  put (&kv, "a/r/x", "1", &any);
  put (&kv, "a/r/y", "1", &any);
  put (&kv, "a/s", "1", &any);
  list = standin_kv_names (&kv, "a/r", "/");
  ck_assert_uint_eq (json_array_size (list), 1);
  ck_assert_str_eq (json_string_value (json_array_get (list, 0)), "a/r/");
  json_decref (list);
  list = standin_kv_names (&kv, "a/", "/");
  ck_assert_uint_eq (json_array_size (list), 2);
  json_decref (list);
  list = standin_kv_names (&kv, "a/", NULL);
  ck_assert_uint_eq (json_array_size (list), 3);
  json_decref (list);
  standin_kv_finish (&kv);
}
END_TEST

/* A deletion that does not raise the index would leave watches asleep, and
   a key must be writable as absent after it.  */
START_TEST (test_delete_raises_the_index)
{
  struct standin_kv kv;
  struct standin_condition absent = cas (0);
  uint64_t index;

  standin_kv_init (&kv);
  put (&kv, "a/b", "1", &any);
  index = standin_kv_index (&kv, "a/");
  ck_assert_int_eq (standin_kv_delete (&kv, "a/b", false, &any), AM_OK);
  ck_assert_uint_gt (standin_kv_index (&kv, "a/"), index);
  ck_assert_uint_eq (keys_below (&kv, "a/"), 0);
  ck_assert_int_eq (put (&kv, "a/b", "1", &absent), AM_OK);
  standin_kv_finish (&kv);
}
END_TEST

/* A lock that outlives its session, or passes to a second session before it
   ends, would not be the platform's lease.  */
START_TEST (test_lease_ends_with_its_session)
{
  struct standin_kv kv;
  struct standin_condition first = { 0 };
  struct standin_condition second = { 0 };

  standin_kv_init (&kv);
  first.acquire = standin_kv_session (&kv, SECOND, 0);
  second.acquire = standin_kv_session (&kv, 10 * SECOND, 0);
  ck_assert_int_eq (put (&kv, "lock", "1", &first), AM_OK);
  ck_assert_int_eq (put (&kv, "lock", "2", &second), AM_E_CONFLICT);
  ck_assert (standin_kv_renew (&kv, first.acquire, SECOND / 2));
  ck_assert (!standin_kv_expire (&kv, SECOND));
  ck_assert (standin_kv_expire (&kv, 2 * SECOND));
  ck_assert_int_eq (put (&kv, "lock", "2", &second), AM_OK);
  standin_kv_finish (&kv);
}
END_TEST

/* ---- the process ---------------------------------------------------------
 */

static pid_t store;

static void
start_store (void)
{
  store = process_start ("standin-store", "--listen " STORE);
  close (tcp_connect (STORE));
}

static void
stop_store (void)
{
  process_stop (store);
}

static int
http_send (const char *method, const char *path, const char *body)
{
  char request[2048];
  int len = snprintf (request, sizeof request,
                      "%s %s HTTP/1.1\r\nHost: store\r\n"
                      "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
                      method, path, strlen (body), body);
  int fd = tcp_connect (STORE);

  ck_assert_int_eq (send (fd, request, (size_t)len, 0), len);
  return fd;
}

/* Reads the whole answer; returns its status, 0 if there was none.  */
static int
http_read (int fd, char *buf, size_t size)
{
  size_t used = 0;
  ssize_t n;

  while ((n = recv (fd, buf + used, size - used - 1, 0)) > 0)
    used += (size_t)n;
  close (fd);
  buf[used] = '\0';
  return used > 12 ? atoi (buf + 9) : 0;
}

static int
http (const char *method, const char *path, const char *body, char *buf,
      size_t size)
{
  return http_read (http_send (method, path, body), buf, size);
}

static bool
is_silent (int fd)
{
  struct pollfd p = { .fd = fd, .events = POLLIN };

  return poll (&p, 1, PROCESS_SILENCE_MS) == 0;
}

/* A lost answer must leave its write in force, a lost request must not: the
   writer has to tell the two apart by reading back.  */
START_TEST (test_lost_answer_and_lost_request)
{
  char buf[4096];

  http ("PUT", "/standin/fault", "{\"lose_answers\":1}", buf, sizeof buf);
  ck_assert_int_eq (http ("PUT", "/v1/kv/r/a?cas=0", "x", buf, sizeof buf), 0);
  ck_assert_int_eq (http ("GET", "/v1/kv/r/a", "", buf, sizeof buf), 200);
  http ("PUT", "/standin/fault", "{\"lose_requests\":1}", buf, sizeof buf);
  ck_assert_int_eq (http ("PUT", "/v1/kv/r/b?cas=0", "x", buf, sizeof buf), 0);
  ck_assert_int_eq (http ("GET", "/v1/kv/r/b", "", buf, sizeof buf), 404);
  ck_assert_int_eq (http ("PUT", "/v1/kv/r/b?cas=0", "x", buf, sizeof buf),
                    200);
}
END_TEST

/* A watch that answers before a change, or sleeps through one, would make
   spread times meaningless.  */
START_TEST (test_watch_wakes_at_a_change)
{
  char buf[4096];
  int fd;

  http ("PUT", "/v1/kv/r/a", "1", buf, sizeof buf);
  fd = http_send ("GET", "/v1/kv/r/?recurse&index=2&wait=20s", "");
  ck_assert (is_silent (fd));
  http ("PUT", "/v1/kv/other", "1", buf, sizeof buf);
  ck_assert (is_silent (fd));
  http ("GET", "/standin/counts", "", buf, sizeof buf);
  ck_assert_ptr_nonnull (strstr (buf, "\"waiting\":1"));
  http ("PUT", "/v1/kv/r/a", "2", buf, sizeof buf);
  ck_assert_int_eq (http_read (fd, buf, sizeof buf), 200);
  ck_assert_ptr_nonnull (strstr (buf, "X-Consul-Index: 4"));
}
END_TEST

/* A restored older state must show old values and an old index, and wake
   watches, or agents would never see a store older than its past.  */
START_TEST (test_older_state_comes_back)
{
  char buf[4096];
  int fd;

  http ("PUT", "/v1/kv/r/a", "1", buf, sizeof buf);
  http ("PUT", "/standin/fault", "{\"snapshot\":\"s\"}", buf, sizeof buf);
  http ("PUT", "/v1/kv/r/a", "2", buf, sizeof buf);
  http ("PUT", "/v1/kv/r/b", "2", buf, sizeof buf);
  fd = http_send ("GET", "/v1/kv/r/?recurse&index=4&wait=20s", "");
  ck_assert (is_silent (fd));
  http ("PUT", "/standin/fault", "{\"restore\":\"s\"}", buf, sizeof buf);
  ck_assert_int_eq (http_read (fd, buf, sizeof buf), 200);
  ck_assert_ptr_nonnull (strstr (buf, "X-Consul-Index: 2"));
  ck_assert_ptr_nonnull (strstr (buf, "\"MQ==\""));
  ck_assert_ptr_null (strstr (buf, "r/b"));
}
END_TEST

/* In an outage no call may get an answer, and its end must be noticed.  */
START_TEST (test_outage_ends)
{
  char buf[4096];

  http ("PUT", "/standin/fault", "{\"outage_ms\":60000}", buf, sizeof buf);
  ck_assert_int_eq (http ("GET", "/v1/kv/r/a", "", buf, sizeof buf), 0);
  http ("PUT", "/standin/fault", "{\"outage_ms\":0}", buf, sizeof buf);
  ck_assert_int_eq (http ("GET", "/v1/kv/r/a", "", buf, sizeof buf), 404);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("store_standin");
  TCase *state = tcase_create ("state");
  TCase *process = tcase_create ("process");

  tcase_add_test (state, test_compare_and_swap);
  tcase_add_test (state, test_delete_raises_the_index);
  tcase_add_test (state, test_names_up_to_a_separator);
  tcase_add_test (state, test_lease_ends_with_its_session);
  tcase_add_checked_fixture (process, start_store, stop_store);
  tcase_set_timeout (process, 30);
  tcase_add_test (process, test_lost_answer_and_lost_request);
  tcase_add_test (process, test_watch_wakes_at_a_change);
  tcase_add_test (process, test_older_state_comes_back);
  tcase_add_test (process, test_outage_ends);
  suite_add_tcase (suite, state);
  suite_add_tcase (suite, process);
  return suite_run (suite);
}
