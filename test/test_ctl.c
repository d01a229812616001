#include <fcntl.h>
#include <stdarg.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include "base/error.h"
#include "fake_platform.h"
#include "suite.h"

#define ARGUMENTS_MAX 24
#define TEXT_SIZE 65536

#define RECORD(name, ip, more, upstreams)                              \
  "schema: 2\nkind: service\nname: " name "\nregion: lv\naddress: " ip \
  ":80\n" more "upstreams:\n" upstreams
#define UPSTREAM(name, ip, more)                                          \
  "  - name: " name "\n    address: " ip ":9000\n    data_centre: lv-a\n" \
  "    slots: 2\n    connections: 2000\n" more
#define ARCHIVE_WITH(more)                   \
  RECORD ("archive", "127.70.4.1", more,     \
          UPSTREAM ("a-1", "127.70.5.1", "") \
              UPSTREAM ("a-2", "127.70.5.2", ""))
#define ARCHIVE ARCHIVE_WITH ("")

static const uint8_t key[AM_PEER_KEY_SIZE];
static char folder[64];
static char records[80];
static char config[80];
static char out[TEXT_SIZE];
static char err[TEXT_SIZE];
static struct fake_store store;
static struct fake_agent agents[AGENTS];

static void
write_file (const char *path, const char *text, size_t len)
{
  FILE *f = fopen (path, "w");

  ck_assert_ptr_nonnull (f);
  ck_assert_uint_eq (fwrite (text, 1, len, f), len);
  fclose (f);
}

static void
read_file (const char *path, char *to)
{
  FILE *f = fopen (path, "r");

  ck_assert_ptr_nonnull (f);
  to[fread (to, 1, TEXT_SIZE - 1, f)] = '\0';
  fclose (f);
}

static void
write_record (const char *file, const char *text)
{
  char path[128];

  snprintf (path, sizeof path, "%s/%s", records, file);
  write_file (path, text, strlen (text));
}

static void
write_config (void)
{
  char text[512];

  snprintf (text, sizeof text,
            "store: %s\npeer_key: peer.key\ntimeout_ms: 1500\n"
            "store_timeout_ms: 500\nagents:\n  - %s\n  - %s\n  - %s\n",
            store.url, agents[0].address_text, agents[1].address_text,
            agents[2].address_text);
  write_file (config, text, strlen (text));
}

/* Runs amaranthctl with the arguments up to NULL; returns its exit code and
   leaves what it wrote in OUT and ERR.  */
static int
run (const char *first, ...)
{
  char out_path[80];
  char err_path[80];
  const char *argv[ARGUMENTS_MAX] = { AM_BINARY_DIR "/amaranthctl" };
  size_t n = 1;
  int status;
  va_list ap;
  pid_t pid;

  va_start (ap, first);
  for (const char *a = first; a; a = va_arg (ap, const char *))
    argv[n++] = a;
  va_end (ap);
  snprintf (out_path, sizeof out_path, "%s/out", folder);
  snprintf (err_path, sizeof err_path, "%s/err", folder);
  pid = fork ();
  if (pid == 0)
    {
      dup2 (open (out_path, O_WRONLY | O_CREAT | O_TRUNC, 0600), 1);
      dup2 (open (err_path, O_WRONLY | O_CREAT | O_TRUNC, 0600), 2);
      execv (argv[0], (char *const *)argv);
      _exit (127);
    }
  ck_assert_int_eq (waitpid (pid, &status, 0), pid);
  ck_assert_msg (WIFEXITED (status), "ended by a signal");
  read_file (out_path, out);
  read_file (err_path, err);
  return WEXITSTATUS (status);
}

/* As run, with the configuration; checks the exit code.  */
#define expect(code, ...)                                                  \
  do                                                                       \
    {                                                                      \
      int code_ = run ("--config", config, __VA_ARGS__, NULL);             \
      ck_assert_msg (code_ == (code), "exit code %d, not %d: %s%s", code_, \
                     code, out, err);                                      \
    }                                                                      \
  while (0)

#define check_says(text, what) \
  ck_assert_msg (strstr (text, what), "no '%s' in: %s", what, text)

/* One clear line, and nothing was written.  */
static void
check_refused (const char *what)
{
  const char *end = strchr (err, '\n');

  ck_assert_msg (strncmp (err, "amaranthctl: ", 13) == 0, "says: %s", err);
  ck_assert_msg (end && end[1] == '\0', "not one line: %s", err);
  check_says (err, what);
  ck_assert_uint_eq (store.writes, 0);
}

static json_t *
stored (const char *name)
{
  char full[128];
  const struct fake_key *k;
  json_t *root;

  snprintf (full, sizeof full, AM_RECORD_PREFIX "%s", name);
  k = store_find (&store, full);
  ck_assert_ptr_nonnull (k);
  root = json_loadb (k->value, k->len, 0, NULL);
  ck_assert_ptr_nonnull (root);
  return root;
}

static json_int_t
stored_number (const char *name, const char *field)
{
  json_t *root = stored (name);
  json_int_t n = json_integer_value (json_object_get (root, field));

  json_decref (root);
  return n;
}

static void
check_upstream (const char *name, size_t i, const char *field,
                const char *value)
{
  json_t *root = stored (name);
  json_t *u = json_array_get (json_object_get (root, "upstreams"), i);

  ck_assert_str_eq (json_string_value (json_object_get (u, field)), value);
  json_decref (root);
}

static void
setup (void)
{
  static const char digits[]
      = "0000000000000000000000000000000000000000000000000000000000000000\n";
  char path[128];

  snprintf (folder, sizeof folder, "/tmp/amaranth-ctl-XXXXXX");
  ck_assert_ptr_nonnull (mkdtemp (folder));
  snprintf (records, sizeof records, "%s/records", folder);
  ck_assert_int_eq (mkdir (records, 0700), 0);
  snprintf (config, sizeof config, "%s/ctl.yaml", folder);
  snprintf (path, sizeof path, "%s/peer.key", folder);
  write_file (path, digits, strlen (digits));
  ck_assert_int_eq (chmod (path, 0600), 0);
  write_record ("archive.yaml", ARCHIVE);
  store_start (&store);
  fake_agents = agents;
  for (unsigned i = 0; i < AGENTS; i++)
    agent_start (&agents[i], i, key);
  write_config ();
}

static void
remove_file (const char *name)
{
  char path[128];

  snprintf (path, sizeof path, "%s/%s", folder, name);
  unlink (path);
}

static void
teardown (void)
{
  for (unsigned i = 0; i < AGENTS; i++)
    agent_stop (&agents[i]);
  store_stop (&store);
  remove_file ("records/archive.yaml");
  remove_file ("records/other.yaml");
  remove_file ("peer.key");
  remove_file ("ctl.yaml");
  remove_file ("out");
  remove_file ("err");
  rmdir (records);
  rmdir (folder);
}

/* ---- wrong input ---- */

static const struct
{
  const char *text; /* NULL: unreadable, a folder */
  const char *says;
} record_faults[] = {
  { "", "archive.yaml: input is cut short (file is empty)" },
  { "schema: 2\n", ":1: field kind: required field is missing" },
  { "- 1\n", ":1: input is malformed" },
  { "schema: [\n", "archive.yaml:2: input is malformed" },
  { "schema: x\n", ":1: field schema: field has the wrong type (1, 2)" },
  { "schema: 3\nkind: service\n", ":1: field schema: unsupported version" },
  { "schema: 2\nkind: \xff\n", ":2: text is not valid UTF-8" },
  { "schema: 2\nkind: service\nna", ":3: input is cut short" },
  { "schema: 2\nkind: thing\n", ":2: field kind: field has a value not "
                                "allowed (service, keys)" },
  { RECORD ("archive", "127.70.4.1", "binding: 4\n", " []\n"),
    ":6: field binding: field has the wrong type" },
  { RECORD ("archive", "127.70.4.1", "bindin: ticket\n", " []\n"),
    ":6: field bindin: unknown field" },
  { RECORD ("archive", "127.70.4.1", "",
            UPSTREAM ("a", "127.70.5.1", "    weight: 0\n")),
    ":12: field upstreams[0].weight: field is out of range (1 to 1000)" },
  { RECORD ("archive", "127.70.4.1", "",
            UPSTREAM ("a", "127.70.5.1", "") UPSTREAM ("a", "127.70.5.2", "")),
    ":12: field upstreams[1].name: already exists" },
  { RECORD ("archive", "127.70.5.1", "",
            "  - name: a\n    address: 127.70.5.1:80\n    data_centre: a\n"
            "    slots: 1\n    connections: 1\n"),
    ":8: field upstreams[0].address: address belongs to another service" },
};

/* Guards against a wrong record that is written, crashes the command, or is
   refused without saying where and why.  */
START_TEST (record_fault)
{
  static const char *const commands[] = { "validate", "diff", "apply" };
  char path[128];

  snprintf (path, sizeof path, "%s/archive.yaml", records);
  write_record ("archive.yaml", record_faults[_i].text);
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    {
      expect (AM_EXIT_DATA, commands[i], i ? records : path);
      check_refused (record_faults[_i].says);
    }
}
END_TEST

/* Guards against reading a file of any size, and against taking a missing or
   unreadable one for an empty set of records.  */
START_TEST (record_file)
{
  char path[128];
  char *large = malloc (AM_RECORD_TEXT_MAX + 1);

  snprintf (path, sizeof path, "%s/archive.yaml", records);
  memset (large, '#', AM_RECORD_TEXT_MAX + 1);
  write_file (path, large, AM_RECORD_TEXT_MAX + 1);
  free (large);
  expect (AM_EXIT_DATA, "apply", records);
  check_refused ("archive.yaml: input exceeds its size limit");
  unlink (path);
  expect (AM_EXIT_DATA, "apply", records);
  check_refused ("no *.yaml file");
  expect (AM_EXIT_DATA, "diff", "/nonexistent");
  check_refused ("/nonexistent: input or output failed");
  expect (AM_EXIT_DATA, "validate", records);
  check_refused ("Is a directory");
  ck_assert_int_eq (mkdir (path, 0700), 0);
  expect (AM_EXIT_DATA, "apply", records);
  check_refused ("Is a directory");
  rmdir (path);
}
END_TEST

/* Guards against two records that one entry VM could not tell apart.  */
START_TEST (record_set)
{
  write_record ("other.yaml", RECORD ("other", "127.70.4.2", "",
                                      UPSTREAM ("o", "127.70.5.2", "")));
  expect (AM_EXIT_DATA, "apply", records);
  check_refused ("other.yaml:8: field upstreams[0].address: address belongs "
                 "to another service (upstream a-2 of service archive)");
  write_record ("other.yaml", RECORD ("archive", "127.70.4.2", "", " []\n"));
  expect (AM_EXIT_DATA, "apply", records);
  check_refused ("field name: already exists");
}
END_TEST

static const struct
{
  const char *text;
  const char *says;
} config_faults[] = {
  { "", "ctl.yaml: input is cut short" },
  { "store: [\n", "ctl.yaml:2: input is malformed" },
  { "store: {}\n", "ctl.yaml:1: field store: field has the wrong type" },
  { "store: ftp://x\n", "ctl.yaml:1: field store: field has a value not" },
  { "timeout_ms: x\n", ":1: field timeout_ms: field has the wrong type" },
  { "timeout_ms: 99999999\n", ":1: field timeout_ms: field is out of range" },
  { "agents:\n  - here\n", ":2: field agents[0]: field has a value not" },
  { "agent: 1\n", ":1: field agent: unknown field" },
  { "store: \xc0\n", ":1: text is not valid UTF-8" },
  { "store: http://x", ":1: input is cut short" },
};

/* Guards against a wrong configuration that a command passes over.  */
START_TEST (config_fault)
{
  static const char *const commands[]
      = { "list", "status", "metrics", "stop" };

  write_file (config, config_faults[_i].text, strlen (config_faults[_i].text));
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    {
      expect (AM_EXIT_DATA, commands[i]);
      check_refused (config_faults[_i].says);
    }
  expect (AM_EXIT_DATA, "apply", records);
  expect (AM_EXIT_DATA, "get", "archive");
  expect (AM_EXIT_DATA, "retire", "archive");
  expect (AM_EXIT_DATA, "history", "archive");
  expect (AM_EXIT_DATA, "explain", "1");
  expect (AM_EXIT_DATA, "log-level", "info");
  expect (AM_EXIT_DATA, "keys", "init");
  expect (AM_EXIT_DATA, "upstream", "leave", "archive", "a-1");
  ck_assert_uint_eq (store.writes, 0);
}
END_TEST

static const char *const wrong_arguments[][6] = {
  { "validate" },
  { "diff" },
  { "diff", "a", "b" },
  { "apply" },
  { "get" },
  { "get", "a", "b" },
  { "list", "a" },
  { "retire" },
  { "upstream" },
  { "upstream", "join", "a" },
  { "upstream", "jump", "a", "b" },
  { "status", "a" },
  { "explain" },
  { "explain", "x" },
  { "explain", "99999999999999999999999" },
  { "history" },
  { "keys" },
  { "keys", "forge" },
  { "keys", "rotate", "--no-wait" },
  { "metrics", "a" },
  { "log-level" },
  { "log-level", "loud" },
  { "stop", "a" },
  { "stop" },
  { "unknown" },
  { "list", "--timeout", "0" },
  { "list", "--timeout", "x" },
  { "list", "--agent", "127.70.3.1" },
  { "list", "--store", "127.70.3.1" },
  { "list", "--unknown" },
};

/* Guards against a mistyped command that does something.  */
START_TEST (arguments)
{
  const char *const *a = wrong_arguments[_i];

  expect (AM_EXIT_USAGE, a[0], a[1], a[2], a[3], a[4], a[5]);
  ck_assert_uint_eq (store.writes, 0);
  for (unsigned i = 0; i < AGENTS; i++)
    ck_assert_uint_eq (agents[i].stops, 0);
}
END_TEST

/* Guards against commands that go on without what they need.  */
START_TEST (nothing_named)
{
  ck_assert_int_eq (run (NULL), AM_EXIT_USAGE);
  ck_assert_int_eq (run ("list", NULL), AM_EXIT_USAGE);
  ck_assert_int_eq (run ("status", NULL), AM_EXIT_USAGE);
  ck_assert_int_eq (run ("status", "--agent", agents[0].address_text, NULL),
                    AM_EXIT_USAGE);
  ck_assert_int_eq (run ("apply", records, "--store", store.url, NULL),
                    AM_EXIT_USAGE);
  check_refused ("no agent is named");
  ck_assert_int_eq (run ("--version", NULL), AM_EXIT_OK);
  ck_assert_int_eq (run ("--help", NULL), AM_EXIT_OK);
}
END_TEST

/* Guards against a wrong peer key that is used, or reported as something
   else.  */
START_TEST (peer_key)
{
  char path[128];

  snprintf (path, sizeof path, "%s/other.key", folder);
  expect (AM_EXIT_DATA, "status", "--peer-key", path);
  check_refused ("cannot be read");
  write_file (path, "abc\n", 4);
  ck_assert_int_eq (chmod (path, 0600), 0);
  expect (AM_EXIT_DATA, "status", "--peer-key", path);
  check_refused ("not a key");
  ck_assert_int_eq (chmod (path, 0644), 0);
  expect (AM_EXIT_DATA, "status", "--peer-key", path);
  check_refused ("may be read by others");
  write_file (
      path, "1111111111111111111111111111111111111111111111111111111111111111",
      64);
  ck_assert_int_eq (chmod (path, 0600), 0);
  expect (AM_EXIT_UNAVAILABLE, "status", "--peer-key", path);
  unlink (path);
}
END_TEST

/* Guards against a success, or another code, when the store is gone.  */
START_TEST (store_gone)
{
  static const char *const commands[][4]
      = { { "list" },
          { "get", "archive" },
          { "diff", records },
          { "apply", records },
          { "retire", "archive" },
          { "history", "archive" },
          { "keys", "init" },
          { "keys", "rotate" },
          { "keys", "prune" },
          { "upstream", "leave", "archive", "a-1" } };

  store.outage = _i != 0;
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    {
      expect (AM_EXIT_UNAVAILABLE, "--store",
              _i ? store.url : "http://127.70.2.9:8500", commands[i][0],
              commands[i][1], commands[i][2], commands[i][3]);
      check_refused ("store is unavailable");
    }
}
END_TEST

/* Guards against a success when no agent answers.  */
START_TEST (agents_gone)
{
  const char *gone = "127.70.3.9:7101";

  expect (AM_EXIT_UNAVAILABLE, "--agent", gone, "status");
  check_refused ("no agent answered");
  expect (AM_EXIT_UNAVAILABLE, "--agent", gone, "explain", "7");
  expect (AM_EXIT_UNAVAILABLE, "--agent", gone, "metrics");
  expect (AM_EXIT_UNAVAILABLE, "--agent", gone, "log-level", "info");
  expect (AM_EXIT_UNAVAILABLE, "--agent", gone, "stop");
  expect (AM_EXIT_UNAVAILABLE, "--agent", gone, "apply", records);
  check_says (err, "accepted, but no agent answered");
}
END_TEST

static const struct
{
  const char *text;
  size_t len; /* 0: of the text */
  const char *says;
} stored_faults[] = {
  { "", 0, "archive:1: input is malformed" },
  { "{\"schema\":2,", 0, "archive:1: input is malformed" },
  { "[]", 0, "archive: input is malformed" },
  { "{\"schema\":\"2\"}", 0, "archive: field schema: field has the wrong" },
  { "{\"schema\":9}", 0, "archive: field schema: unsupported version" },
  { "\"\xff\"", 0, "archive:1: text is not valid UTF-8" },
  { "a", AM_RECORD_TEXT_MAX + 1, "archive: input exceeds its size limit" },
  { "{\"schema\":2,\"kind\":\"service\",\"name\":\"x\",\"region\":\"r\","
    "\"address\":\"127.70.4.9:1\"}",
    0, "archive: field name: field has a value not allowed (archive)" },
};

/* Guards against a damaged or newer record in the store that is overwritten
   or that hides the others.  */
START_TEST (stored_fault)
{
  size_t len = stored_faults[_i].len;
  char *text = calloc (1, AM_RECORD_TEXT_MAX + 2);

  memset (text, 'a', len);
  if (!len)
    snprintf (text, AM_RECORD_TEXT_MAX, "%s", stored_faults[_i].text);
  store_put (&store, AM_RECORD_PREFIX "archive", text, strlen (text));
  free (text);
  expect (AM_EXIT_DATA, "get", "archive");
  check_refused (stored_faults[_i].says);
  expect (AM_EXIT_DATA, "apply", records);
  check_refused (stored_faults[_i].says);
  expect (AM_EXIT_DATA, "upstream", "leave", "archive", "a-1");
  check_refused (stored_faults[_i].says);
  expect (AM_EXIT_DATA, "retire", "archive");
  check_refused (stored_faults[_i].says);
  expect (AM_EXIT_OK, "list");
  check_says (out, stored_faults[_i].says);
}
END_TEST

/* Guards against inventing what does not exist.  */
START_TEST (unknown_names)
{
  expect (AM_EXIT_DATA, "get", "none");
  check_refused ("record 'none' does not exist");
  expect (AM_EXIT_DATA, "retire", "none");
  expect (AM_EXIT_DATA, "history", "none");
  expect (AM_EXIT_DATA, "keys", "rotate");
  expect (AM_EXIT_DATA, "keys", "prune");
  expect (AM_EXIT_DATA, "upstream", "leave", "none", "a-1");
  ck_assert_uint_eq (store.writes, 0);
  expect (AM_EXIT_OK, "list");
  check_says (out, "no records");
}
END_TEST

/* ---- writing ---- */

/* Guards against an apply that is not idempotent or does not wait.  */
START_TEST (apply_twice)
{
  expect (AM_EXIT_OK, "diff", records);
  ck_assert_uint_eq (store.writes, 0);
  expect (AM_EXIT_OK, "apply", records);
  check_says (out, "archive: created, revision 1");
  check_says (out, "in force on all 3 live entry VMs");
  expect (AM_EXIT_OK, "apply", records);
  check_says (out, "archive: unchanged, revision 1");
  ck_assert_uint_eq (store.writes, 1);
  expect (AM_EXIT_OK, "diff", records);
  check_says (out, "archive: unchanged");
  expect (AM_EXIT_OK, "get", "archive");
  check_says (out, "\"revision\": 1");
  expect (AM_EXIT_OK, "list", "--json");
  check_says (out, "\"active\":2");
}
END_TEST

/* Guards against a write that is lost or doubled because its answer, or the
   request itself, was lost.  */
START_TEST (lost)
{
  store.lose_answers = _i == 0;
  store.lose_requests = _i == 1 ? 2 : 0;
  expect (AM_EXIT_OK, "apply", records);
  check_says (err, _i ? "had not taken effect" : "had taken effect");
  check_says (out, "answer lost and read back");
  ck_assert_uint_eq (store.writes, 1);
  ck_assert_int_eq (stored_number ("archive", "revision"), 1);
}
END_TEST

static const char leaving[]
    = "{\"schema\":2,\"kind\":\"service\",\"name\":\"archive\","
      "\"region\":\"lv\",\"address\":\"127.70.4.1:80\",\"revision\":2,"
      "\"write_id\":\"other\",\"upstreams\":[{\"name\":\"a-1\","
      "\"address\":\"127.70.5.1:9000\",\"data_centre\":\"lv-a\",\"slots\":%d,"
      "\"connections\":2000},{\"name\":\"a-2\",\"address\":"
      "\"127.70.5.2:9000\",\"data_centre\":\"lv-a\",\"slots\":2,"
      "\"connections\":2000,\"state\":\"leaving\"}]}";

static void
race (int slots)
{
  char text[2048];

  snprintf (text, sizeof text, leaving, slots);
  pthread_mutex_lock (&store.lock);
  store.race = strdup (text);
  pthread_mutex_unlock (&store.lock);
}

/* Guards against one of two racing writers losing its change.  */
START_TEST (race_merged)
{
  expect (AM_EXIT_OK, "apply", records);
  race (2);
  write_record ("archive.yaml", ARCHIVE_WITH ("open_rate: 9\n"));
  expect (AM_EXIT_OK, "apply", records);
  check_says (out, "archive: changed, revision 3, merged");
  ck_assert_int_eq (stored_number ("archive", "open_rate"), 9);
  check_upstream ("archive", 1, "state", "leaving");
}
END_TEST

/* Guards against overwriting another operator's value, and against a conflict
   that does not name it.  */
START_TEST (race_conflict)
{
  expect (AM_EXIT_OK, "apply", records);
  race (7);
  write_record (
      "archive.yaml",
      RECORD ("archive", "127.70.4.1", "",
              "  - name: a-1\n    address: 127.70.5.1:9000\n"
              "    data_centre: lv-a\n    slots: 5\n"
              "    connections: 2000\n" UPSTREAM ("a-2", "127.70.5.2", "")));
  expect (AM_EXIT_TEMPFAIL, "apply", records);
  check_says (err, "upstreams[\"a-1\"].slots: record was changed by another "
                   "writer (revision 2 has 7)");
  ck_assert_uint_eq (store.writes, 1);
}
END_TEST

/* Guards against a file made from an older revision undoing a later
   change.  */
START_TEST (older_file)
{
  expect (AM_EXIT_OK, "apply", records);
  expect (AM_EXIT_OK, "upstream", "leave", "archive", "a-1");
  write_record ("archive.yaml", ARCHIVE_WITH ("open_rate: 9\nrevision: 1\n"));
  expect (AM_EXIT_OK, "apply", records);
  check_upstream ("archive", 0, "state", "leaving");
  ck_assert_int_eq (stored_number ("archive", "open_rate"), 9);
  write_record ("archive.yaml",
                RECORD ("archive", "127.70.4.1", "revision: 77\n", " []\n"));
  expect (AM_EXIT_TEMPFAIL, "apply", records);
  check_says (err, "revision 77 of archive is not in its history");
}
END_TEST

/* Guards against calling a change in force that an entry VM has not taken, or
   not naming that VM.  */
START_TEST (not_in_force)
{
  agents[1].deaf = true;
  expect (AM_EXIT_TEMPFAIL, "apply", records);
  check_says (err, "vm-2: archive at revision 0 of 1");
  check_says (err, "in force on 2 of 3");
  expect (AM_EXIT_OK, "apply", records, "--no-wait");
}
END_TEST

/* Guards against a store that was restored to an older state pulling the
   configuration back.  */
START_TEST (store_older)
{
  expect (AM_EXIT_OK, "apply", records);
  expect (AM_EXIT_OK, "upstream", "leave", "archive", "a-1");
  expect (AM_EXIT_OK, "upstream", "leave", "archive", "a-2");
  store_put (&store, AM_RECORD_PREFIX "archive", "{}", 2);
  store.count = 0;
  expect (AM_EXIT_OK, "upstream", "join", "archive", "a-2");
  check_says (err, "the store holds revision 0, agents have 3");
  ck_assert_int_eq (stored_number ("archive", "revision"), 4);
  check_upstream ("archive", 0, "state", "leaving");
}
END_TEST

/* Guards against upstreams that skip a state, lose their quarantine or come
   back as the same incarnation.  */
START_TEST (upstreams)
{
  expect (AM_EXIT_OK, "apply", records);
  expect (AM_EXIT_DATA, "upstream", "retire", "archive", "a-1");
  check_says (err, "let it leave first");
  expect (AM_EXIT_USAGE, "upstream", "join", "archive", "a-3");
  expect (AM_EXIT_OK, "upstream", "join", "archive", "a-3", "--address",
          "127.70.5.3:9000", "--data-centre", "lv-a");
  check_upstream ("archive", 2, "state", "active");
  expect (AM_EXIT_DATA, "upstream", "join", "archive", "a-4", "--address",
          "127.70.5.3:9000", "--data-centre", "lv-a");
  check_says (err, "address is used twice");
  expect (AM_EXIT_DATA, "apply", records);
  check_says (err,
              "upstreams[\"a-3\"]: not allowed in this state (is missing");
  expect (AM_EXIT_OK, "upstream", "leave", "archive", "a-3");
  expect (AM_EXIT_OK, "upstream", "retire", "archive", "a-3");
  expect (AM_EXIT_DATA, "apply", records);
  check_says (err, "must stay, retired, until its quarantine ends");
  write_record ("archive.yaml", RECORD ("other", "127.70.4.2", "",
                                        UPSTREAM ("o", "127.70.5.3", "")));
  expect (AM_EXIT_DATA, "apply", records);
  check_says (err, "address is in quarantine (upstream a-3 of service "
                   "archive)");
  expect (AM_EXIT_OK, "upstream", "join", "archive", "a-3");
  check_upstream ("archive", 2, "state", "active");
  expect (AM_EXIT_OK, "get", "archive");
  check_says (out, "\"incarnation\": 2");
}
END_TEST

/* Guards against a retired service that loses its quarantine or comes
   back.  */
START_TEST (retire)
{
  expect (AM_EXIT_OK, "apply", records);
  expect (AM_EXIT_OK, "retire", "archive");
  ck_assert_int_gt (stored_number ("archive", "retired_at"), 0);
  expect (AM_EXIT_OK, "retire", "archive");
  check_says (out, "archive: unchanged, revision 2");
  expect (AM_EXIT_DATA, "apply", records);
  check_says (err, "a retired service cannot come back");
  write_record ("archive.yaml", RECORD ("other", "127.70.4.1", "", " []\n"));
  expect (AM_EXIT_DATA, "apply", records);
  check_says (err, "address is in quarantine (address of service archive)");
}
END_TEST

/* Lets key I of the store be in state verify since 1970.  */
static void
age_key (size_t i)
{
  json_t *root = stored ("ticket-keys");
  json_t *k = json_array_get (json_object_get (root, "keys"), i);
  char *text;

  json_object_set_new (k, "verify_since", json_integer (1));
  text = json_dumps (root, 0);
  store_put (&store, AM_RECORD_PREFIX "ticket-keys", text, strlen (text));
  free (text);
  json_decref (root);
}

/* Guards against a new key that mints before every entry VM can verify it,
   against dropping a key that feeds still use, and against secrets in output
   or history.  */
START_TEST (keys)
{
  json_t *list;
  json_t *root;
  const struct fake_key *history;

  expect (AM_EXIT_OK, "keys", "init");
  expect (AM_EXIT_OK, "keys", "init");
  ck_assert_uint_eq (store.writes, 1);
  agents[1].deaf = true;
  expect (AM_EXIT_TEMPFAIL, "keys", "rotate");
  root = stored ("ticket-keys");
  list = json_object_get (root, "keys");
  ck_assert_str_eq (
      json_string_value (json_object_get (json_array_get (list, 1), "state")),
      "standby");
  json_decref (root);
  agents[1].deaf = false;
  expect (AM_EXIT_OK, "keys", "rotate");
  check_says (err, "going on with the standby key");
  expect (AM_EXIT_OK, "get", "ticket-keys");
  check_says (out, "(hidden)");
  check_says (out, "\"verify\"");
  root = stored ("ticket-keys");
  list = json_object_get (root, "keys");
  ck_assert_uint_eq (json_array_size (list), 2);
  history = store_find (&store, "amaranth/history/ticket-keys");
  ck_assert_ptr_null (
      strstr (history->value, json_string_value (json_object_get (
                                  json_array_get (list, 0), "secret"))));
  json_decref (root);
  expect (AM_EXIT_TEMPFAIL, "keys", "prune");
  check_says (err, "feeds may still use an old key");
  age_key (0);
  expect (AM_EXIT_OK, "keys", "prune");
  root = stored ("ticket-keys");
  ck_assert_uint_eq (json_array_size (json_object_get (root, "keys")), 1);
  json_decref (root);
}
END_TEST

/* Guards against a history without bound.  */
START_TEST (history)
{
  expect (AM_EXIT_OK, "apply", records);
  for (int i = 0; i < 11; i++)
    {
      expect (AM_EXIT_OK, "upstream", "leave", "archive", "a-1", "--no-wait");
      expect (AM_EXIT_OK, "upstream", "join", "archive", "a-1", "--no-wait");
    }
  expect (AM_EXIT_OK, "history", "archive");
  check_says (out, "revision 23, ");
  check_says (out, "revision 4, ");
  ck_assert_ptr_null (strstr (out, "revision 3, "));
}
END_TEST

/* Guards against commands to agents that do not reach them.  */
START_TEST (agent_commands)
{
  expect (AM_EXIT_OK, "status");
  check_says (out, "vm-3");
  expect (AM_EXIT_OK, "explain", "7");
  check_says (out, "vm-1: flow=7 upstream=u");
  expect (AM_EXIT_DATA, "explain", "8");
  check_says (err, "no entry VM remembers 8");
  expect (AM_EXIT_OK, "metrics", "--json");
  check_says (out, "\"vm-2\":{\"am_flows\":3.0}");
  expect (AM_EXIT_OK, "log-level", "debug");
  check_says (out, agents[1].address_text);
  expect (AM_EXIT_OK, "stop", "--agent", agents[1].address_text);
  ck_assert_uint_eq (agents[0].stops, 0);
  ck_assert_uint_eq (agents[1].stops, 1);
}
END_TEST

/* Guards against scripts that cannot tell success from failure.  */
START_TEST (json_output)
{
  json_t *root;

  expect (AM_EXIT_OK, "apply", records, "--json");
  root = json_loads (out, 0, NULL);
  ck_assert (json_is_true (json_object_get (root, "ok")));
  json_decref (root);
  expect (AM_EXIT_DATA, "get", "none", "--json");
  root = json_loads (out, 0, NULL);
  ck_assert (json_is_false (json_object_get (root, "ok")));
  ck_assert_str_eq (json_string_value (json_object_get (root, "error")),
                    "not_found");
  json_decref (root);
}
END_TEST

#define COUNT(table) ((int)(sizeof (table) / sizeof (table)[0]))

int
main (void)
{
  Suite *suite = suite_create ("ctl");
  TCase *tc = tcase_create ("ctl");

  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_set_timeout (tc, 60);
  tcase_add_loop_test (tc, record_fault, 0, COUNT (record_faults));
  tcase_add_test (tc, record_file);
  tcase_add_test (tc, record_set);
  tcase_add_loop_test (tc, config_fault, 0, COUNT (config_faults));
  tcase_add_loop_test (tc, arguments, 0, COUNT (wrong_arguments));
  tcase_add_test (tc, nothing_named);
  tcase_add_test (tc, peer_key);
  tcase_add_loop_test (tc, store_gone, 0, 2);
  tcase_add_test (tc, agents_gone);
  tcase_add_loop_test (tc, stored_fault, 0, COUNT (stored_faults));
  tcase_add_test (tc, unknown_names);
  tcase_add_test (tc, apply_twice);
  tcase_add_loop_test (tc, lost, 0, 2);
  tcase_add_test (tc, race_merged);
  tcase_add_test (tc, race_conflict);
  tcase_add_test (tc, older_file);
  tcase_add_test (tc, not_in_force);
  tcase_add_test (tc, store_older);
  tcase_add_test (tc, upstreams);
  tcase_add_test (tc, retire);
  tcase_add_test (tc, keys);
  tcase_add_test (tc, history);
  tcase_add_test (tc, agent_commands);
  tcase_add_test (tc, json_output);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
