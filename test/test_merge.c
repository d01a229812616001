#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "record/record.h"
#include "suite.h"

#define HEAD_1                                                       \
  "{\"schema\":1,\"kind\":\"service\",\"name\":\"archive\","         \
  "\"region\":\"lv\",\"address\":\"127.70.0.1:80\",\"revision\":%d," \
  "\"write_id\":\"%s\",\"request\":\"repeatable\","
#define HEAD_2                                                       \
  "{\"schema\":2,\"kind\":\"service\",\"name\":\"archive\","         \
  "\"region\":\"lv\",\"address\":\"127.70.0.1:80\",\"revision\":%d," \
  "\"write_id\":\"%s\","
#define UPSTREAM(name, ip, more)                        \
  "{\"name\":\"" name "\",\"address\":\"" ip ":9000\"," \
  "\"data_centre\":\"a\",\"slots\":2,\"connections\":2000" more "}"

static struct am_record base;
static struct am_record mine;
static struct am_record theirs;
static struct am_record merged;
static struct am_fault fault;

static void
parse (struct am_record *r, const char *format, int revision,
       const char *write_id)
{
  char text[4096];
  char line[512];
  int err;

  snprintf (text, sizeof text, format, revision, write_id);
  err = am_record_parse_json (r, text, strlen (text), &fault);
  am_fault_format (&fault, "text", line, sizeof line);
  ck_assert_msg (err == AM_OK, "%s", line);
}

static const json_t *
element (const struct am_record *r, const char *list, size_t i)
{
  return json_array_get (json_object_get (r->root, list), i);
}

static json_int_t
number (const json_t *object, const char *field)
{
  return json_integer_value (json_object_get (object, field));
}

static void
teardown (void)
{
  am_record_finish (&base);
  am_record_finish (&mine);
  am_record_finish (&theirs);
  am_record_finish (&merged);
}

/* Guards against one of two racing changes to different fields being lost.  */
START_TEST (different_fields)
{
  parse (&base, HEAD_2 "\"upstreams\":[" UPSTREAM ("u", "127.70.1.1", "") "]}",
         1, "a");
  parse (&mine,
         HEAD_2 "\"open_rate\":7,\"upstreams\":[" UPSTREAM (
             "u", "127.70.1.1", ",\"weight\":50") "]}",
         1, "a");
  parse (
      &theirs,
      HEAD_2 "\"policy\":\"random\",\"upstreams\":[" UPSTREAM (
          "u", "127.70.1.1",
          ",\"state\":\"leaving\"") "," UPSTREAM ("v", "127.70.1.2", "") "]}",
      2, "b");
  ck_assert_int_eq (am_record_merge (&base, &mine, &theirs, &merged, &fault),
                    AM_OK);
  ck_assert_uint_eq (merged.revision, 2);
  ck_assert_str_eq (merged.write_id, "b");
  ck_assert_uint_eq (merged.service->open_rate, 7);
  ck_assert_int_eq (merged.service->policy, AMARANTH__POLICY__POLICY_RANDOM);
  ck_assert_uint_eq (merged.service->n_upstreams, 2);
  ck_assert_uint_eq (merged.service->upstreams[0]->weight, 50);
  ck_assert_int_eq (merged.service->upstreams[0]->state,
                    AMARANTH__UPSTREAM_STATE__UPSTREAM_LEAVING);
}
END_TEST

/* Guards against a conflict that silently takes one side, or does not say
   which field and which revision.  */
START_TEST (same_field)
{
  parse (&base, HEAD_2 "\"upstreams\":[" UPSTREAM ("u", "127.70.1.1", "") "]}",
         4, "a");
  parse (&mine,
         HEAD_2
         "\"upstreams\":[" UPSTREAM ("u", "127.70.1.1", ",\"weight\":50") "]}",
         4, "a");
  parse (&theirs,
         HEAD_2
         "\"upstreams\":[" UPSTREAM ("u", "127.70.1.1", ",\"weight\":60") "]}",
         5, "b");
  ck_assert_int_eq (am_record_merge (&base, &mine, &theirs, &merged, &fault),
                    AM_E_CONFLICT);
  ck_assert_str_eq (fault.field, "upstreams[\"u\"].weight");
  ck_assert_str_eq (fault.allowed, "revision 5 has 60");
}
END_TEST

/* Guards against a writer of schema 1 dropping what only schema 2, or only a
   later schema, knows.  */
START_TEST (older_writer)
{
  const char *stored = HEAD_2
      "\"open_rate\":9,\"future\":{\"x\":1},\"classes\":["
      "{\"id\":0,\"name\":\"order\",\"kind\":\"repeatable\","
      "\"deadline_ms\":100,\"weight\":2},"
      "{\"id\":1,\"name\":\"bulk\",\"kind\":\"repeatable\"}],"
      "\"upstreams\":[" UPSTREAM ("u", "127.70.1.1",
                                  ",\"weight\":50,\"rack\":\"r1\"") "]}";

  parse (&base, stored, 3, "a");
  parse (&theirs, stored, 3, "a");
  parse (&mine,
         HEAD_1 "\"deadline_ms\":900,\"upstreams\":[" UPSTREAM (
             "u", "127.70.1.1", ",\"state\":\"leaving\"") "]}",
         3, "a");
  ck_assert_int_eq (am_record_merge (&base, &mine, &theirs, &merged, &fault),
                    AM_OK);
  ck_assert_uint_eq (merged.schema, 2);
  ck_assert_uint_eq (merged.service->open_rate, 9);
  ck_assert_uint_eq (merged.service->n_classes, 2);
  ck_assert_uint_eq (merged.service->classes[0]->deadline_ms, 900);
  ck_assert_uint_eq (merged.service->classes[0]->weight, 2);
  ck_assert_str_eq (merged.service->classes[0]->name, "order");
  ck_assert_uint_eq (merged.service->upstreams[0]->weight, 50);
  ck_assert_int_eq (merged.service->upstreams[0]->state,
                    AMARANTH__UPSTREAM_STATE__UPSTREAM_LEAVING);
  ck_assert_str_eq (json_string_value (json_object_get (
                        element (&merged, "upstreams", 0), "rack")),
                    "r1");
  ck_assert_int_eq (number (json_object_get (merged.root, "future"), "x"), 1);
}
END_TEST

/* Guards against losing the change of a schema 1 operator when another one
   moved the record to schema 2 in the meantime.  */
START_TEST (upgraded_meanwhile)
{
  parse (&base,
         HEAD_1 "\"deadline_ms\":100,\"upstreams\":[" UPSTREAM (
             "u", "127.70.1.1", "") "]}",
         1, "a");
  parse (&mine,
         HEAD_1 "\"deadline_ms\":200,\"upstreams\":[" UPSTREAM (
             "u", "127.70.1.1", "") "," UPSTREAM ("v", "127.70.1.2", "") "]}",
         1, "a");
  parse (&theirs,
         HEAD_2
         "\"classes\":[{\"id\":0,\"name\":\"fetch\","
         "\"kind\":\"repeatable\",\"deadline_ms\":100,\"weight\":3}],"
         "\"upstreams\":[" UPSTREAM ("u", "127.70.1.1", ",\"weight\":10") "]}",
         2, "b");
  ck_assert_int_eq (am_record_merge (&base, &mine, &theirs, &merged, &fault),
                    AM_OK);
  ck_assert_uint_eq (merged.schema, 2);
  ck_assert_uint_eq (merged.service->classes[0]->deadline_ms, 200);
  ck_assert_uint_eq (merged.service->classes[0]->weight, 3);
  ck_assert_str_eq (merged.service->classes[0]->name, "fetch");
  ck_assert_uint_eq (merged.service->n_upstreams, 2);
  ck_assert_uint_eq (merged.service->upstreams[0]->weight, 10);
  ck_assert_ptr_null (json_object_get (merged.root, "request"));
}
END_TEST

/* Guards against a removal undone or overruling a change of the other
   side.  */
START_TEST (removal)
{
  const char *one
      = HEAD_2 "\"upstreams\":[" UPSTREAM ("u", "127.70.1.1", "") "]}";
  const char *two = HEAD_2 "\"upstreams\":[" UPSTREAM (
      "u", "127.70.1.1", "") "," UPSTREAM ("v", "127.70.1.2", "") "]}";
  const char *changed = HEAD_2
      "\"upstreams\":[" UPSTREAM ("u", "127.70.1.1", "") "," UPSTREAM (
          "v", "127.70.1.2", ",\"weight\":9") "]}";

  parse (&base, two, 1, "a");
  parse (&mine, one, 1, "a");
  parse (&theirs, two, 1, "a");
  ck_assert_int_eq (am_record_merge (&base, &mine, &theirs, &merged, &fault),
                    AM_OK);
  ck_assert_uint_eq (merged.service->n_upstreams, 1);
  am_record_finish (&merged);
  am_record_finish (&theirs);
  parse (&theirs, changed, 2, "b");
  ck_assert_int_eq (am_record_merge (&base, &mine, &theirs, &merged, &fault),
                    AM_E_CONFLICT);
  ck_assert_str_eq (fault.field, "upstreams[\"v\"]");
}
END_TEST

/* Guards against a merge whose result is no valid record.  */
START_TEST (invalid_result)
{
  const char *class = "\"classes\":[{\"id\":0,\"name\":\"o\",\"kind\":\"one_"
                      "time\"}],";
  char text[1024];

  parse (&base, HEAD_2 "\"upstreams\":[]}", 1, "a");
  parse (&mine, HEAD_2 "\"binding\":\"hash\",\"upstreams\":[]}", 1, "a");
  snprintf (text, sizeof text, "%s%s%s", HEAD_2, class, "\"upstreams\":[]}");
  parse (&theirs, text, 2, "b");
  ck_assert_int_eq (am_record_merge (&base, &mine, &theirs, &merged, &fault),
                    AM_E_CONFLICT);
  ck_assert_str_eq (fault.field, "classes[0].kind");
  ck_assert_ptr_null (merged.root);
}
END_TEST

/* Guards against two first writes of one record overwriting each other.  */
START_TEST (no_base)
{
  parse (&mine, HEAD_2 "\"open_rate\":5,\"upstreams\":[]}", 0, "");
  parse (&theirs, HEAD_2 "\"open_rate\":6,\"upstreams\":[]}", 1, "b");
  ck_assert_int_eq (am_record_merge (NULL, &mine, &theirs, &merged, &fault),
                    AM_E_CONFLICT);
  ck_assert_str_eq (fault.field, "open_rate");
}
END_TEST

/* Guards against a version order that differs between processes.  */
START_TEST (compare)
{
  ck_assert_int_lt (am_record_compare (1, "b", 2, "a"), 0);
  ck_assert_int_gt (am_record_compare (2, "b", 2, "a"), 0);
  ck_assert_int_eq (am_record_compare (2, "a", 2, "a"), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("merge");
  TCase *tc = tcase_create ("merge");

  tcase_add_checked_fixture (tc, NULL, teardown);
  tcase_add_test (tc, different_fields);
  tcase_add_test (tc, same_field);
  tcase_add_test (tc, older_writer);
  tcase_add_test (tc, upgraded_meanwhile);
  tcase_add_test (tc, removal);
  tcase_add_test (tc, invalid_result);
  tcase_add_test (tc, no_base);
  tcase_add_test (tc, compare);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
