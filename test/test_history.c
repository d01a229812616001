#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/error.h"
#include "check/standin_check.h"

/* Shorthands for one line each.  T is in milliseconds.  */
#define LINE(t, who, ev, rest) \
  "{\"t\":" #t "000,\"who\":\"" who "\",\"ev\":\"" ev "\"," rest "}\n"
#define CALLER(t, ev, rest) LINE (t, "caller", ev, rest)
#define UPSTREAM(t, ev, rest) \
  LINE (t, "upstream", ev, "\"upstream\":\"d-1\",\"service\":\"d\"," rest)
#define OPERATOR(t, ev, rest) LINE (t, "operator", ev, rest)
#define FLOW(t, id)                                           \
  CALLER (t, "open", "\"flow\":\"" id "\",\"service\":\"d\"") \
  UPSTREAM (t, "flow_open", "\"flow\":\"" id "\"")            \
  CALLER (t, "opened", "\"flow\":\"" id "\",\"service\":\"d\"")
#define REQUEST(t, id)                                        \
  CALLER (t, "request",                                       \
          "\"req\":\"" id "\",\"service\":\"d\",\"class\":0," \
          "\"kind\":\"one_time\",\"deadline_ms\":5000")
#define RUN(t, id) \
  UPSTREAM (t, "run", "\"req\":\"" id "\",\"kind\":\"one_time\"")
#define DONE(t, id, digest) \
  UPSTREAM (t, "done",      \
            "\"req\":\"" id "\",\"bytes\":9,\"digest\":\"" digest "\"")
#define ANSWER(t, id, bytes, digest, ran)                                \
  CALLER (t, "answer",                                                   \
          "\"req\":\"" id "\",\"bytes\":" #bytes ",\"digest\":\"" digest \
          "\",\"upstream\":\"d-1\",\"ran_req\":\"" ran "\"")
#define OUTCOME(t, id, outcome)                       \
  CALLER (t, "outcome",                               \
          "\"req\":\"" id "\",\"outcome\":\"" outcome \
          "\",\"reason\":\"connection\"")
#define ALERT(t, id, upstream, service)                            \
  CALLER (t, "alert",                                              \
          "\"flow\":\"" id "\",\"seq\":1,\"upstream\":\"" upstream \
          "\",\"service\":\"" service "\",\"latency_us\":900")
#define ALERT_SENT(t, id) \
  UPSTREAM (t, "alert_sent", "\"flow\":\"" id "\",\"seq\":1")
#define BROKEN(t, id, reason) \
  CALLER (t, "broken", "\"flow\":\"" id "\",\"reason\":\"" reason "\"")
#define LEAVING(t) \
  OPERATOR (t, "leaving", "\"upstream\":\"d-1\",\"service\":\"d\"")
#define CONFIG(t, revision) \
  OPERATOR (t, "config", "\"record\":\"d\",\"revision\":" #revision)
#define IN_FORCE(t, revision, vm) \
  OPERATOR (t, "in_force",        \
            "\"record\":\"d\",\"revision\":" #revision ",\"vm\":\"" vm "\"")
#define VM(t, ev) OPERATOR (t, ev, "\"vm\":\"a-1\"")
#define GOOD_REQUEST(t, id) \
  REQUEST (t, id) RUN (t, id) DONE (t, id, "x") ANSWER (t, id, 9, "x", id)

struct scene
{
  const char *failure; /* that the history shows */
  int promise;         /* that must be violated; 0: none */
  const char *figure;  /* that must have VALUE, or NULL */
  double value;
  const char *text;
};

static char path[64];

static void
write_history (const char *text, size_t len)
{
  snprintf (path, sizeof path, "/tmp/test_history.XXXXXX");
  int fd = mkstemp (path);
  ck_assert_int_ge (fd, 0);
  ck_assert_int_eq (write (fd, text, len), (ssize_t)len);
  close (fd);
}

static int
read_history (struct history *h, const char *const *files, size_t count,
              bool allow_cut, struct history_fault *f)
{
  history_init (h, files);
  int rc = history_read (h, count, allow_cut, f);
  return rc ? rc : history_decide (h);
}

static int
read_text (struct history *h, const char *text, bool allow_cut,
           struct history_fault *f)
{
  static const char *files[1] = { path };
  write_history (text, strlen (text));
  int rc = read_history (h, files, 1, allow_cut, f);
  unlink (path);
  return rc;
}

/* Each of these breaks exactly one promise.  */
static const struct scene broken_scenes[] = {
  { "feed broken without a cause", 1, "broken", 1,
    FLOW (1, "7") BROKEN (2, "7", "unknown flow") },
  { "feed broken by a planned stop", 1, "broken", 1,
    FLOW (1, "7") VM (2, "planned_stop") BROKEN (3, "7", "reset")
        VM (4, "stopped") },
  { "feed broken by the death of an entry VM", 1, "broken", 1,
    FLOW (1, "7") VM (2, "kill") BROKEN (3, "7", "reset") },
  { "flow re-opened without the end of the old one being told", 1, "broken", 1,
    FLOW (1, "7") CALLER (3, "reopen",
                          "\"flow\":\"8\",\"old\":\"7\",\"reason\":\"x\"") },
  { "healthy flow cut, opened after the path lost others", 1, "broken", 1,
    OPERATOR (1, "fault", "\"what\":\"silence\"") FLOW (2, "7")
        BROKEN (3, "7", "silent") },
  { "upstream left, was stopped and cut its flow", 1, "broken", 1,
    FLOW (1, "7") LEAVING (2) UPSTREAM (3, "stop", "\"incarnation\":1")
        BROKEN (4, "7", "unknown flow") },
  { "feed silent for good, unnoticed", 1, "stalled", 1,
    FLOW (1, "7") ALERT (2, "7", "d-1", "d") ALERT_SENT (3, "7")
        ALERT_SENT (9000, "7") ALERT_SENT (18000, "7") },
  { "upstream saw another service", 2, "wrong_service", 1,
    FLOW (1, "7") UPSTREAM (2, "wrong_service", "\"got\":\"a\"") },
  { "flow delivered to another service", 2, "wrong_service", 1,
    CALLER (1, "open", "\"flow\":\"7\",\"service\":\"a\"")
        UPSTREAM (2, "flow_open", "\"flow\":\"7\"")
            CALLER (3, "opened", "\"flow\":\"7\",\"service\":\"a\"") },
  { "data delivered to another service", 2, "wrong_service", 1,
    CALLER (1, "open", "\"flow\":\"7\",\"service\":\"a\"")
        CALLER (3, "opened", "\"flow\":\"7\",\"service\":\"a\"")
            UPSTREAM (4, "flow_data", "\"flow\":\"7\",\"seq\":1") },
  { "alert of another service", 2, "wrong_service", 1,
    FLOW (1, "7") ALERT (2, "7", "d-1", "a") },
  { "request delivered to another service", 2, "wrong_service", 1,
    CALLER (1, "request",
            "\"req\":\"c-1\",\"service\":\"a\",\"class\":0,"
            "\"kind\":\"one_time\"") RUN (2, "c-1") DONE (3, "c-1", "x")
        ANSWER (4, "c-1", 9, "x", "c-1") },
  { "answer of another request", 3, "crossed", 1,
    GOOD_REQUEST (1, "c-2") REQUEST (2, "c-1") RUN (2, "c-1")
        DONE (3, "c-1", "x") ANSWER (4, "c-1", 9, "x", "c-2") },
  { "answer with another digest", 3, "crossed", 1,
    REQUEST (1, "c-1") RUN (2, "c-1") DONE (3, "c-1", "x")
        ANSWER (4, "c-1", 9, "y", "c-1") },
  { "partial answer", 3, "partial", 1,
    REQUEST (1, "c-1") RUN (2, "c-1") DONE (3, "c-1", "x")
        ANSWER (4, "c-1", 8, "y", "c-1") },
  { "answer that no upstream gave", 3, "crossed", 1,
    REQUEST (1, "c-1") ANSWER (4, "c-1", 9, "x", "c-1") },
  { "two answers", 3, "several_results", 1,
    GOOD_REQUEST (1, "c-1") ANSWER (5, "c-1", 9, "x", "c-1") },
  { "answer after the final outcome UNKNOWN", 3, "several_results", 1,
    REQUEST (1, "c-1") RUN (2, "c-1") OUTCOME (3, "c-1", "UNKNOWN")
        DONE (4, "c-1", "x") ANSWER (5, "c-1", 9, "x", "c-1") },
  { "execution of a request that no caller sent", 3, "runs", 2,
    GOOD_REQUEST (1, "c-1") RUN (2, "c-9") },
  { "alert of an upstream that does not hold the flow", 3, "crossed", 1,
    FLOW (1, "7") ALERT (2, "7", "d-2", "d") },
  { "NOT-RUN for a request that ran", 4, "false_not_run", 1,
    REQUEST (1, "c-1") RUN (2, "c-1") OUTCOME (3, "c-1", "NOT-RUN") },
  { "NOT-RUN for a request that runs later", 4, "false_not_run", 1,
    REQUEST (1, "c-1") OUTCOME (3, "c-1", "NOT-RUN") RUN (9000, "c-1") },
  { "one-time request run twice", 5, "doubled", 1,
    REQUEST (1, "c-1") RUN (2, "c-1") RUN (3, "c-1") DONE (4, "c-1", "x")
        ANSWER (5, "c-1", 9, "x", "c-1") },
  { "request after leaving", 6, "work_after_leaving", 1,
    LEAVING (1) GOOD_REQUEST (3500, "c-1") },
  { "flow after leaving", 6, "leaving_delay_max_ms", 3002,
    LEAVING (1) FLOW (3003, "7") },
  { "request cut by a planned stop", 7, "cut_by_stop", 1,
    REQUEST (1, "c-1") VM (2, "planned_stop") RUN (3, "c-1")
        OUTCOME (4, "c-1", "UNKNOWN") VM (5, "stopped") },
  { "request given up during a planned stop", 7, "cut_by_stop", 1,
    REQUEST (1, "c-1") VM (2, "planned_stop") VM (3, "stopped")
        CALLER (9000, "gave_up", "\"req\":\"c-1\"") },
  { "planned stop that hangs", 7, "planned_stops", 1,
    GOOD_REQUEST (1, "c-1") VM (2, "planned_stop") },
  { "planned stop that ends in a crash", 7, "planned_stops", 1,
    GOOD_REQUEST (1, "c-1") VM (2, "planned_stop")
        OPERATOR (3, "stopped", "\"vm\":\"a-1\",\"status\":-11") },
  { "configuration reverted", 8, "reverted", 1,
    CONFIG (1, 2) IN_FORCE (2, 2, "a-1") IN_FORCE (3, 1, "a-1") },
  { "configuration reverted by a restart", 8, "reverted", 1,
    CONFIG (1, 2) IN_FORCE (2, 2, "a-1") VM (3, "planned_stop")
        VM (4, "stopped") VM (5, "started") IN_FORCE (6, 1, "a-1") },
  { "configuration in force too late", 8, "spread_max_ms", 6001,
    CONFIG (1, 2) IN_FORCE (2, 1, "a-1") IN_FORCE (6002, 2, "a-1") },
  { "configuration never in force on one VM", 8, "config_late", 1,
    CONFIG (1, 2) IN_FORCE (2, 2, "a-1") IN_FORCE (3, 1, "a-2")
        IN_FORCE (6002, 2, "a-1") },
  { "configuration missing on a VM that started", 8, "config_late", 1,
    CONFIG (1, 2) IN_FORCE (2, 2, "a-1")
        OPERATOR (3, "started", "\"vm\":\"a-2\"") IN_FORCE (6004, 2, "a-1") },
  { "two writers accepted with one revision", 8, "accepted_twice", 1,
    CONFIG (1, 2) CONFIG (2, 2) IN_FORCE (3, 2, "a-1") },
};

/* Guards against a checker that passes a broken history or blames another
   promise.  */
START_TEST (rejects_broken_history)
{
  const struct scene *s = &broken_scenes[_i];
  struct history h;
  struct history_fault f = { "" };
  int rc = read_text (&h, s->text, false, &f);
  ck_assert_msg (rc == AM_OK, "%s: %s", s->failure, f.text);
  for (int i = 1; i <= HISTORY_PROMISES; i++)
    ck_assert_msg ((h.promises[i - 1].violations > 0) == (i == s->promise),
                   "%s: promise %d has %llu violations", s->failure, i,
                   (unsigned long long)h.promises[i - 1].violations);
  const char *named = h.promises[s->promise - 1].named[0];
  ck_assert_ptr_nonnull (named);
  ck_assert_msg (strstr (named, path), "%s: no line named: %s", s->failure,
                 named);
  json_t *report = history_report (&h);
  const json_t *g = json_object_get (report, "figures");
  ck_assert_msg (json_number_value (json_object_get (g, s->figure))
                     == s->value,
                 "%s: %s is not %g", s->failure, s->figure, s->value);
  ck_assert (!json_boolean_value (json_object_get (report, "pass")));
  json_decref (report);
  history_finish (&h);
}
END_TEST

static const struct scene correct_scenes[] = {
  { "feed closed by its caller", 0, "flows_closed", 1,
    FLOW (1, "7") ALERT_SENT (2, "7") ALERT (3, "7", "d-1", "d")
        CALLER (4, "close", "\"flow\":\"7\"") },
  { "flow that the path lost is re-opened", 0, "silent_reopen_max_ms", 3998,
    FLOW (1, "7") OPERATOR (2, "fault", "\"what\":\"silence\"")
        BROKEN (3500, "7", "silent")
            CALLER (3500, "reopen",
                    "\"flow\":\"8\",\"old\":\"7\",\"reason\":\"silent\"")
                CALLER (4000, "opened", "\"flow\":\"8\",\"service\":\"d\"") },
  { "flow of an upstream that crashed", 0, "broken_excused", 1,
    FLOW (1, "7") UPSTREAM (3, "stop", "\"incarnation\":1")
        BROKEN (4, "7", "unknown flow") },
  { "two entry VMs open one flow", 0, "flows", 1,
    FLOW (1, "7") LINE (1, "upstream", "flow_open",
                        "\"upstream\":\"d-2\",\"service\":\"d\","
                        "\"flow\":\"7\"") ALERT (2, "7", "d-2", "d") },
  { "answered request", 0, "answered", 1, GOOD_REQUEST (1, "c-1") },
  { "repeatable request that ran twice", 0, "runs", 2,
    CALLER (1, "request",
            "\"req\":\"c-1\",\"service\":\"d\",\"class\":0,"
            "\"kind\":\"repeatable\"")
        UPSTREAM (2, "run", "\"req\":\"c-1\",\"kind\":\"repeatable\"")
            UPSTREAM (3, "run", "\"req\":\"c-1\",\"kind\":\"repeatable\"")
                DONE (4, "c-1", "y") DONE (5, "c-1", "x")
                    ANSWER (6, "c-1", 9, "y", "c-1") },
  { "NOT-RUN that did not run", 0, "not_run", 1,
    REQUEST (1, "c-1") OUTCOME (2, "c-1", "NOT-RUN") },
  { "UNKNOWN outside a planned stop", 0, "lost_orders", 1,
    REQUEST (1, "c-1") RUN (2, "c-1") OUTCOME (3, "c-1", "UNKNOWN") },
  { "UNKNOWN by a kill during a planned stop of another VM", 0,
    "unknown_unplanned", 1,
    REQUEST (1, "c-1") VM (2, "planned_stop")
        OPERATOR (3, "kill", "\"vm\":\"b-1\"") OUTCOME (4, "c-1", "UNKNOWN")
            VM (5, "stopped") },
  { "new work just within the bound", 0, "leaving_delay_max_ms", 2999,
    LEAVING (1) FLOW (3000, "7") },
  { "upstream that joined again", 0, "leaving_delay_max_ms", 0,
    LEAVING (1)
        OPERATOR (2, "joining", "\"upstream\":\"d-1\",\"service\":\"d\"")
            FLOW (9000, "7") },
  { "configuration in force in time", 0, "spread_max_ms", 6000,
    CONFIG (1, 2) IN_FORCE (2, 1, "a-1") IN_FORCE (6001, 2, "a-1") },
  { "configuration seen before the writer hears of it", 0, "spread_max_ms", 0,
    IN_FORCE (1, 2, "a-1") CONFIG (2, 2) IN_FORCE (9000, 2, "a-1") },
  { "configuration on a VM that was down", 0, "spread_max_ms", 1000,
    IN_FORCE (1, 1, "a-1") VM (2, "kill") CONFIG (3, 2) VM (20000, "started")
        IN_FORCE (21000, 2, "a-1") },
  { "configuration on a VM that is still down", 0, "config_late", 0,
    IN_FORCE (1, 1, "a-1") VM (2, "kill") CONFIG (3, 2) IN_FORCE (4, 2, "a-2")
        IN_FORCE (20000, 2, "a-2") },
};

/* Guards against a checker that calls a correct run broken.  */
START_TEST (accepts_correct_history)
{
  const struct scene *s = &correct_scenes[_i];
  struct history h;
  struct history_fault f = { "" };
  int rc = read_text (&h, s->text, false, &f);
  ck_assert_msg (rc == AM_OK, "%s: %s", s->failure, f.text);
  for (int i = 0; i < HISTORY_PROMISES; i++)
    ck_assert_msg (h.promises[i].violations == 0, "%s: %s", s->failure,
                   h.promises[i].named[0]);
  json_t *report = history_report (&h);
  const json_t *g = json_object_get (report, "figures");
  ck_assert_msg (json_number_value (json_object_get (g, s->figure))
                     == s->value,
                 "%s: %s is not %g", s->failure, s->figure, s->value);
  json_decref (report);
  history_finish (&h);
}
END_TEST

struct input
{
  const char *fault;
  int rc;     /* without allow-cut */
  int rc_cut; /* with it */
  const char *text;
};

static const struct input inputs[] = {
  { "empty", AM_E_SHORT, AM_E_SHORT, "" },
  { "nothing relevant", AM_E_SHORT, AM_E_SHORT,
    UPSTREAM (1, "start", "\"incarnation\":1") },
  { "flows that nobody opened", AM_E_SHORT, AM_E_SHORT,
    CALLER (1, "open", "\"flow\":\"7\",\"service\":\"d\"") },
  { "last line cut", AM_E_FORMAT, AM_OK,
    GOOD_REQUEST (1, "c-1") "{\"t\":5000,\"who\":\"cal" },
  { "whole last line without its end", AM_E_FORMAT, AM_OK,
    GOOD_REQUEST (1, "c-1") "{\"t\":5000}" },
  { "line cut in the middle", AM_E_FORMAT, AM_E_FORMAT,
    "{\"t\":5000,\"who\":\"cal\n" GOOD_REQUEST (6, "c-1") },
  { "not an object", AM_E_FORMAT, AM_E_FORMAT,
    "[]\n" GOOD_REQUEST (6, "c-1") },
  { "unknown event", AM_E_FORMAT, AM_E_FORMAT,
    GOOD_REQUEST (1, "c-1") CALLER (2, "vanished", "\"flow\":\"7\"") },
  { "event of another writer", AM_E_FORMAT, AM_E_FORMAT,
    GOOD_REQUEST (1, "c-1")
        LINE (2, "upstream", "open", "\"flow\":\"7\",\"service\":\"d\"") },
  { "missing field", AM_E_FORMAT, AM_E_FORMAT,
    GOOD_REQUEST (1, "c-1") CALLER (2, "broken", "\"flow\":\"7\"") },
  { "wrong type", AM_E_FORMAT, AM_E_FORMAT,
    GOOD_REQUEST (1, "c-1") BROKEN (2, "7", "x")
        CALLER (3, "close", "\"flow\":7") },
  { "no time", AM_E_FORMAT, AM_E_FORMAT,
    "{\"who\":\"caller\",\"ev\":\"close\",\"flow\":\"7\"}\n" },
  { "unknown outcome", AM_E_FORMAT, AM_E_FORMAT,
    REQUEST (1, "c-1") OUTCOME (2, "c-1", "MAYBE") },
  { "time goes back", AM_E_FORMAT, AM_E_FORMAT,
    GOOD_REQUEST (5000, "c-1") GOOD_REQUEST (1, "c-2") },
};

/* Guards against malformed or empty input that is taken as a pass.  */
START_TEST (refuses_malformed_input)
{
  const struct input *in = &inputs[_i];
  for (int cut = 0; cut < 2; cut++)
    {
      struct history h;
      struct history_fault f = { "" };
      int rc = read_text (&h, in->text, cut, &f);
      int expected = cut ? in->rc_cut : in->rc;
      ck_assert_msg (rc == expected, "%s: %d (%s)", in->fault, rc, f.text);
      ck_assert (rc == AM_OK || f.text[0]);
      history_finish (&h);
    }
}
END_TEST

/* Guards against a merge that takes the files one after the other: the mark
   in one file must come before the work in the other.  */
START_TEST (merges_files_by_time)
{
  char first[sizeof path];
  static const char work[] = GOOD_REQUEST (3500, "c-1");
  static const char mark[] = LEAVING (1);
  write_history (work, strlen (work));
  memcpy (first, path, sizeof first);
  write_history (mark, strlen (mark));
  const char *files[2] = { first, path };
  struct history h;
  struct history_fault f = { "" };
  ck_assert_int_eq (read_history (&h, files, 2, false, &f), AM_OK);
  ck_assert_uint_eq (h.promises[5].violations, 1);
  ck_assert_ptr_nonnull (strstr (h.promises[5].named[0], first));
  history_finish (&h);
  unlink (first);
  unlink (path);
}
END_TEST

/* Guards against unbounded output: many violations, the first few named.  */
START_TEST (names_only_the_first)
{
  static const char once[] = UPSTREAM (2, "wrong_service", "\"got\":\"a\"");
  char text[32768];
  int n = snprintf (text, sizeof text, "%s", FLOW (1, "7"));
  for (int i = 0; i < 100; i++)
    n += snprintf (text + n, sizeof text - (size_t)n, "%s", once);
  struct history h;
  struct history_fault f = { "" };
  ck_assert_int_eq (read_text (&h, text, false, &f), AM_OK);
  ck_assert_uint_eq (h.promises[1].violations, 100);
  ck_assert_ptr_nonnull (h.promises[1].named[HISTORY_NAMED_MAX - 1]);
  history_finish (&h);
}
END_TEST

#define COUNT(table) ((int)(sizeof (table) / sizeof *(table)))

int
main (void)
{
  Suite *s = suite_create ("history");
  TCase *c = tcase_create ("history");
  tcase_add_loop_test (c, rejects_broken_history, 0, COUNT (broken_scenes));
  tcase_add_loop_test (c, accepts_correct_history, 0, COUNT (correct_scenes));
  tcase_add_loop_test (c, refuses_malformed_input, 0, COUNT (inputs));
  tcase_add_test (c, merges_files_by_time);
  tcase_add_test (c, names_only_the_first);
  suite_add_tcase (s, c);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_ENV);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
