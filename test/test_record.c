#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "record/record.h"
#include "suite.h"

#define TEXT_SIZE 65536

static struct am_record record;
static struct am_fault fault;
static char text[TEXT_SIZE];

static void
teardown (void)
{
  am_record_finish (&record);
}

static int
parse_yaml (const char *yaml)
{
  am_record_finish (&record);
  return am_record_parse_yaml (&record, yaml, strlen (yaml), &fault);
}

static int
parse_json (const char *json)
{
  am_record_finish (&record);
  return am_record_parse_json (&record, json, strlen (json), &fault);
}

static void
read_example (const char *name)
{
  char path[512];
  FILE *in;

  snprintf (path, sizeof path, AM_SOURCE_DIR "/examples/%s", name);
  in = fopen (path, "r");
  ck_assert_ptr_nonnull (in);
  text[fread (text, 1, sizeof text - 1, in)] = '\0';
  fclose (in);
}

static const char *const examples[]
    = { "stiklsetas/records/dispatch.yaml", "stiklsetas/records/archive.yaml",
        "kortrijkse/records/booking.yaml", "kortrijkse/records/invoice.yaml" };

/* Guards against sample records that are refused, or that change on their way
   through the store.  */
START_TEST (samples)
{
  struct am_record again;
  char *first;
  char *second;

  read_example (examples[_i]);
  ck_assert_int_eq (parse_yaml (text), AM_OK);
  record.revision = 7;
  snprintf (record.write_id, sizeof record.write_id, "abc");
  first = am_record_to_json (&record);
  ck_assert_int_eq (
      am_record_parse_json (&again, first, strlen (first), &fault), AM_OK);
  ck_assert_uint_eq (again.revision, 7);
  ck_assert_uint_eq (again.service->revision, 7);
  ck_assert_str_eq (again.write_id, "abc");
  second = am_record_to_json (&again);
  ck_assert_str_eq (first, second);
  free (first);
  free (second);
  am_record_finish (&again);
}
END_TEST

#define HEAD(schema)                                        \
  "schema: " schema "\nkind: service\nname: s\nregion: r\n" \
  "address: 127.70.0.1:80\n"

/* Guards against defaults that differ from docs/design.md.  */
START_TEST (defaults)
{
  const Amaranth__Service *s;

  ck_assert_int_eq (
      parse_yaml (HEAD ("2") "classes:\n  - {id: 3, name: c, kind: one_time}\n"
                             "upstreams:\n  - {name: u, address: "
                             "'127.70.0.2:9', data_centre: d, slots: 2, "
                             "connections: 3}\n"),
      AM_OK);
  s = record.service;
  ck_assert_uint_eq (s->id, am_hash_name ("s"));
  ck_assert_uint_eq (s->ip, 0x7f460001);
  ck_assert_uint_eq (s->port, 80);
  ck_assert_int_eq (s->binding, AMARANTH__BINDING__BINDING_TICKET);
  ck_assert_int_eq (s->policy, AMARANTH__POLICY__POLICY_LOCAL);
  ck_assert_uint_eq (s->ping_interval_ms, 1000);
  ck_assert_uint_eq (s->ping_misses, 3);
  ck_assert_uint_eq (s->slow_start_ms, 10000);
  ck_assert_uint_eq (s->open_rate, 200);
  ck_assert_uint_eq (s->retry_budget, 10);
  ck_assert_int_eq (s->lending, AMARANTH__LENDING__LENDING_ON);
  ck_assert_uint_eq (s->classes[0]->id, 3);
  ck_assert_uint_eq (s->classes[0]->weight, 1);
  ck_assert_uint_eq (s->classes[0]->queue_limit, 64);
  ck_assert_uint_eq (s->upstreams[0]->id, am_hash_name ("u"));
  ck_assert_uint_eq (s->upstreams[0]->incarnation, 1);
  ck_assert_uint_eq (s->upstreams[0]->weight, 100);
  ck_assert_int_eq (s->upstreams[0]->state,
                    AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE);
}
END_TEST

/* Guards against limits of a record that are read but not passed on.  */
START_TEST (limits)
{
  ck_assert_int_eq (parse_yaml (HEAD ("2") "retry_budget: 25\nlending: off\n"),
                    AM_OK);
  ck_assert_uint_eq (record.service->retry_budget, 25);
  ck_assert_int_eq (record.service->lending, AMARANTH__LENDING__LENDING_OFF);
}
END_TEST

/* Guards against a schema 1 record meaning something else than before.  */
START_TEST (schema_1)
{
  ck_assert_int_eq (
      parse_yaml (HEAD ("1") "request: one_time\ndeadline_ms: 700\n"), AM_OK);
  ck_assert_uint_eq (record.service->n_classes, 1);
  ck_assert_uint_eq (record.service->classes[0]->id, 0);
  ck_assert_int_eq (record.service->classes[0]->kind,
                    AMARANTH__REQUEST_KIND__ONE_TIME);
  ck_assert_uint_eq (record.service->classes[0]->deadline_ms, 700);
  ck_assert_uint_eq (record.service->open_rate, 200);
}
END_TEST

#define SECRET \
  "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
#define KEYS "schema: 2\nkind: keys\nname: ticket-keys\nkeys:\n"
#define ONE_KEY(id, state) \
  "  - {id: " id ", state: " state ", secret: '" SECRET "'}\n"

/* Guards against keys read wrongly.  */
START_TEST (ticket_keys)
{
  ck_assert_int_eq (
      parse_yaml (KEYS ONE_KEY ("1", "verify") ONE_KEY ("2", "active")),
      AM_OK);
  ck_assert_uint_eq (record.key_count, 2);
  ck_assert_uint_eq (record.keys[0]->secret.len, 32);
  ck_assert_uint_eq (record.keys[0]->secret.data[31], 0x1f);
  ck_assert_int_eq (record.keys[1]->state, AMARANTH__KEY_STATE__KEY_ACTIVE);
}
END_TEST

#define UP(name, ip, more)                                        \
  "  - name: " name "\n    address: " ip "\n    data_centre: d\n" \
  "    slots: 2\n    connections: 3\n" more
#define UPSTREAMS HEAD ("2") "upstreams:\n"
#define CLASSES HEAD ("2") "classes:\n"

static const struct
{
  const char *yaml;
  int error;
  unsigned line;
  const char *field;
} faults[] = {
  { "kind: service\n", AM_E_FIELD_MISSING, 1, "schema" },
  { "schema: 0\n", AM_E_VERSION, 1, "schema" },
  { "schema: 2.5\n", AM_E_FIELD_TYPE, 1, "schema" },
  { "schema: 2\nkind: service\nname: 'a b'\n", AM_E_FIELD_VALUE, 3, "name" },
  { "schema: 2\nkind: service\nname: ticket-keys\n", AM_E_FIELD_VALUE, 3,
    "name" },
  { HEAD ("2") "name: t\n", AM_E_FORMAT, 6, "name" },
  { HEAD ("2") "request: repeatable\n", AM_E_FIELD_UNKNOWN, 6, "request" },
  { HEAD ("1"), AM_E_FIELD_MISSING, 1, "request" },
  { HEAD ("1") "request: repeatable\nopen_rate: 1\n", AM_E_FIELD_UNKNOWN, 7,
    "open_rate" },
  { HEAD ("1") "request: repeatable\ndeadline_ms: 0\n", AM_E_FIELD_RANGE, 7,
    "deadline_ms" },
  { HEAD ("2") "open_rate: 0\n", AM_E_FIELD_RANGE, 6, "open_rate" },
  { HEAD ("2") "retry_budget: 0\n", AM_E_FIELD_RANGE, 6, "retry_budget" },
  { HEAD ("2") "retry_budget: 0.1\n", AM_E_FIELD_TYPE, 6, "retry_budget" },
  { HEAD ("2") "lending: perhaps\n", AM_E_FIELD_VALUE, 6, "lending" },
  { HEAD ("1") "request: repeatable\nlending: off\n", AM_E_FIELD_UNKNOWN, 7,
    "lending" },
  { HEAD ("2") "open_rate: '5'\n", AM_E_FIELD_TYPE, 6, "open_rate" },
  { HEAD ("2") "open_rate: 99999999999999999999\n", AM_E_FIELD_TYPE, 6,
    "open_rate" },
  { HEAD ("2") "slow_start_ms: -1\n", AM_E_FIELD_RANGE, 6, "slow_start_ms" },
  { HEAD ("2") "retired: yes please\n", AM_E_FIELD_TYPE, 6, "retired" },
  { HEAD ("2") "liveness:\n  misses: 0\n", AM_E_FIELD_RANGE, 7,
    "liveness.misses" },
  { HEAD ("2") "liveness: 3\n", AM_E_FIELD_TYPE, 6, "liveness" },
  { HEAD ("2") "upstreams: 3\n", AM_E_FIELD_TYPE, 6, "upstreams" },
  { HEAD ("2") "upstreams:\n  - 3\n", AM_E_FIELD_TYPE, 7, "upstreams[0]" },
  { UPSTREAMS UP ("u", "127.70.0.2", ""), AM_E_FIELD_VALUE, 8,
    "upstreams[0].address" },
  { UPSTREAMS UP ("u", "127.70.0.2:0", ""), AM_E_FIELD_VALUE, 8,
    "upstreams[0].address" },
  { UPSTREAMS UP ("u", "127.70.0.2:9", "    state: gone\n"), AM_E_FIELD_VALUE,
    12, "upstreams[0].state" },
  { UPSTREAMS UP ("u", "127.70.0.2:9", "    incarnation: 0\n"),
    AM_E_FIELD_RANGE, 12, "upstreams[0].incarnation" },
  { UPSTREAMS UP ("u", "127.70.0.2:9", "") UP ("v", "127.70.0.2:9", ""),
    AM_E_EXISTS, 13, "upstreams[1].address" },
  { UPSTREAMS "  - name: u\n    address: 127.70.0.2:9\n    data_centre: d\n"
              "    slots: 2\n",
    AM_E_FIELD_MISSING, 7, "upstreams[0].connections" },
  { CLASSES "  - {id: 0, name: a, kind: repeatable}\n"
            "  - {id: 0, name: b, kind: repeatable}\n",
    AM_E_EXISTS, 8, "classes[1].id" },
  { CLASSES "  - {id: 0, name: a, kind: repeatable}\n"
            "  - {id: 1, name: a, kind: repeatable}\n",
    AM_E_EXISTS, 8, "classes[1].name" },
  { CLASSES "  - {id: 0, name: a, kind: twice}\n", AM_E_FIELD_VALUE, 7,
    "classes[0].kind" },
  { CLASSES "  - {id: 0, name: a, kind: repeatable, queue_limit: 0}\n",
    AM_E_FIELD_RANGE, 7, "classes[0].queue_limit" },
  { HEAD ("2") "binding: hash\nclasses:\n"
               "  - {id: 0, name: a, kind: one_time}\n",
    AM_E_FIELD_VALUE, 8, "classes[0].kind" },
  { HEAD ("2") "classes: &a []\nupstreams: *a\n", AM_E_FORMAT, 7,
    "upstreams" },
  { HEAD ("2") "classes: [[[[[[[[[[[]]]]]]]]]]]\n", AM_E_FORMAT, 6,
    "classes[0][0][0][0][0][0][0][0]" },
  { HEAD ("2") "---\nb: 1\n", AM_E_FORMAT, 6, "" },
  { KEYS ONE_KEY ("1", "verify"), AM_E_FIELD_VALUE, 5, "keys" },
  { KEYS ONE_KEY ("1", "active") ONE_KEY ("2", "active"), AM_E_FIELD_VALUE, 5,
    "keys" },
  { KEYS ONE_KEY ("1", "active") ONE_KEY ("1", "verify"), AM_E_EXISTS, 6,
    "keys[1].id" },
  { KEYS ONE_KEY ("0", "active"), AM_E_FIELD_RANGE, 5, "keys[0].id" },
  { KEYS "  - {id: 1, state: active, secret: '00'}\n", AM_E_FIELD_VALUE, 5,
    "keys[0].secret" },
  { "schema: 2\nkind: keys\nname: other\n", AM_E_FIELD_VALUE, 3, "name" },
  { "schema: 2\nkind: service\nname: s", AM_E_SHORT, 3, "" },
  { "", AM_E_FORMAT, 1, "" },
  { "schema: 2\nname: \xed\xa0\x80\n", AM_E_NOT_UTF8, 2, "" },
  { "schema: 2\nname: \xc0\xaf\n", AM_E_NOT_UTF8, 2, "" },
};

/* Guards against a fault that passes, or that names another line or field.  */
START_TEST (named)
{
  ck_assert_int_eq (parse_yaml (faults[_i].yaml), faults[_i].error);
  ck_assert_int_eq (fault.error, faults[_i].error);
  ck_assert_uint_eq (fault.line, faults[_i].line);
  ck_assert_str_eq (fault.field, faults[_i].field);
  ck_assert_ptr_null (record.root);
}
END_TEST

#define JSON_HEAD                                                       \
  "{\"schema\":2,\"kind\":\"service\",\"name\":\"s\",\"region\":\"r\"," \
  "\"address\":\"127.70.0.1:80\""

/* Guards against fields of a later schema dropped by a reader of this
   one.  */
START_TEST (unknown_kept)
{
  char *json;

  ck_assert_int_eq (parse_json (JSON_HEAD ",\"future\":[1,{\"a\":null}]}"),
                    AM_OK);
  json = am_record_to_json (&record);
  ck_assert_ptr_nonnull (strstr (json, "\"future\":[1,{\"a\":null}]"));
  free (json);
}
END_TEST

/* Guards against malformed store text that is taken or crashes.  */
START_TEST (json_faults)
{
  char *large;

  ck_assert_int_eq (parse_json (JSON_HEAD), AM_E_FORMAT);
  ck_assert_int_eq (parse_json (JSON_HEAD ",\"name\":\"t\"}"), AM_E_FORMAT);
  ck_assert_int_eq (parse_json ("[]"), AM_E_FORMAT);
  ck_assert_int_eq (parse_json (JSON_HEAD ",\"revision\":-1}"),
                    AM_E_FIELD_RANGE);
  ck_assert_int_eq (parse_json (JSON_HEAD ",\"revision\":\"1\"}"),
                    AM_E_FIELD_TYPE);
  ck_assert_int_eq (
      parse_json (JSON_HEAD
                  ",\"write_id\":\"123456789012345678901234567890123\"}"),
      AM_E_FIELD_RANGE);
  ck_assert_int_eq (parse_json ("{\"schema\":3}"), AM_E_VERSION);
  ck_assert_int_eq (parse_json ("{\"a\":\"\xff\"}"), AM_E_NOT_UTF8);
  large = calloc (1, AM_RECORD_TEXT_MAX + 1);
  ck_assert_int_eq (
      am_record_parse_json (&record, large, AM_RECORD_TEXT_MAX + 1, &fault),
      AM_E_TOO_LARGE);
  free (large);
}
END_TEST

/* Guards against a record of which each beginning is taken for the whole:
   a text cut at any byte is refused or lacks whole lines.  */
START_TEST (cut_short)
{
  size_t len;

  read_example (examples[0]);
  len = strlen (text);
  for (size_t n = 0; n < len; n++)
    {
      int err = am_record_parse_yaml (&record, text, n, &fault);

      if (n == 0 || text[n - 1] != '\n')
        ck_assert_int_ne (err, AM_OK);
      am_record_finish (&record);
    }
}
END_TEST

/* Guards against a fault line that overruns or is not one line.  */
START_TEST (fault_line)
{
  struct am_fault f = { AM_E_FIELD_RANGE, 3, "slots", "1 to 9" };
  char line[128];
  char small[8];

  am_fault_format (&f, "a.yaml", line, sizeof line);
  ck_assert_str_eq (line,
                    "a.yaml:3: field slots: field is out of range (1 to 9)");
  am_fault_format (&f, "a.yaml", small, sizeof small);
  ck_assert_str_eq (small, "a.yaml:");
  memset (&f, 0, sizeof f);
  f.error = AM_E_IO;
  am_fault_format (&f, "a.yaml", line, sizeof line);
  ck_assert_str_eq (line, "a.yaml: input or output failed");
}
END_TEST

#define COUNT(table) ((int)(sizeof (table) / sizeof (table)[0]))

int
main (void)
{
  Suite *suite = suite_create ("record");
  TCase *tc = tcase_create ("record");

  tcase_add_checked_fixture (tc, NULL, teardown);
  tcase_set_timeout (tc, 60);
  tcase_add_loop_test (tc, samples, 0, COUNT (examples));
  tcase_add_test (tc, defaults);
  tcase_add_test (tc, limits);
  tcase_add_test (tc, schema_1);
  tcase_add_test (tc, ticket_keys);
  tcase_add_loop_test (tc, named, 0, COUNT (faults));
  tcase_add_test (tc, unknown_kept);
  tcase_add_test (tc, json_faults);
  tcase_add_test (tc, cut_short);
  tcase_add_test (tc, fault_line);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
