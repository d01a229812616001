#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/error.h"
#include "base/log.h"
#include "io/settings.h"
#include "suite.h"

static const char sample[] = "vm:\n"
                             "  id: 1\n"
                             "  name: lv-a-1\n"
                             "  region: lv\n"
                             "  data_centre: lv-a\n"
                             "  address: 127.70.0.1\n"
                             "fabric:\n"
                             "  return_address: 127.70.1.1:7900\n"
                             "store:\n"
                             "  url: http://127.70.1.2:8500\n"
                             "peers:\n"
                             "  key_file: peer.key\n"
                             "  seeds:\n"
                             "    - 127.70.0.2:7100\n"
                             "log:\n"
                             "  level: notice\n"
                             "  decisions: false\n";

static char folder[32];
static char path[64];
static struct am_settings *settings;
static struct am_fault fault;

static void
write_file (const char *text, size_t len)
{
  FILE *out = fopen (path, "w");

  ck_assert_ptr_nonnull (out);
  ck_assert_uint_eq (fwrite (text, 1, len, out), len);
  fclose (out);
}

static void
setup (void)
{
  snprintf (folder, sizeof folder, "/tmp/amaranth-settings-XXXXXX");
  ck_assert_ptr_nonnull (mkdtemp (folder));
  snprintf (path, sizeof path, "%s/vm.yaml", folder);
}

static void
teardown (void)
{
  am_settings_free (settings);
  settings = NULL;
  unlink (path);
  rmdir (folder);
}

/* Replaces FROM by TO in the sample and loads it.  */
static int
load_changed (const char *from, const char *to)
{
  char text[sizeof sample + 1024];
  const char *at = strstr (sample, from);

  ck_assert_ptr_nonnull (at);
  snprintf (text, sizeof text, "%.*s%s%s", (int)(at - sample), sample, to,
            at + strlen (from));
  write_file (text, strlen (text));
  return am_settings_load (&settings, path, &fault);
}

/* Guards against defaults that differ from the documented ones.  */
START_TEST (defaults)
{
  write_file (sample, strlen (sample));
  ck_assert_int_eq (am_settings_load (&settings, path, &fault), AM_OK);
  ck_assert_uint_eq (settings->ports.data, 7000);
  ck_assert_uint_eq (settings->ports.agent_metrics, 7103);
  ck_assert_uint_eq (settings->store.timeout_ms, 10000);
  ck_assert_int_eq (am_settings_log_level (settings), AM_LOG_NOTICE);
  ck_assert (!am_settings_log_decisions (settings));
  ck_assert_uint_eq (am_settings_address (settings, 7).ip, 0x7f460001);
}
END_TEST

static const struct
{
  const char *from;
  const char *to;
  int error;
  unsigned line;
  const char *field;
} faults[] = {
  { "id: 1", "id: x", AM_E_FIELD_TYPE, 2, "vm.id" },
  { "id: 1", "id: 0", AM_E_FIELD_RANGE, 2, "vm.id" },
  { "id: 1", "id: [1]", AM_E_FIELD_TYPE, 2, "vm.id" },
  { "  name:", "  nam:", AM_E_FIELD_UNKNOWN, 3, "vm.nam" },
  { "  address: 127.70.0.1\n", "", AM_E_FIELD_MISSING, 2, "vm.address" },
  { "127.70.0.1\n", "localhost\n", AM_E_FIELD_VALUE, 6, "vm.address" },
  { ":7900", "", AM_E_FIELD_VALUE, 8, "fabric.return_address" },
  { "http", "ftp", AM_E_FIELD_VALUE, 10, "store.url" },
  { "peers:", "ports:\n  data: 70000\npeers:", AM_E_FIELD_TYPE, 12,
    "ports.data" },
  { ".2:7100", ".2:99999", AM_E_FIELD_VALUE, 14, "peers.seeds[0]" },
  { "notice", "loud", AM_E_FIELD_VALUE, 16, "log.level" },
  { "false", "perhaps", AM_E_FIELD_TYPE, 17, "log.decisions" },
  { "log:", "vm:", AM_E_FORMAT, 15, "vm" },
  { "store:\n  url: http://127.70.1.2:8500\n", "", AM_E_FIELD_MISSING, 1,
    "store" },
  { "level: notice", "level: *a", AM_E_FORMAT, 16, "log.level" },
  { "level: notice", "level: \xc3\x28", AM_E_NOT_UTF8, 16, "" },
  { "  decisions: false\n", "  decis", AM_E_SHORT, 17, "" },
};

/* Guards against a fault that names another line or field, or none.  */
START_TEST (named)
{
  int err = load_changed (faults[_i].from, faults[_i].to);

  ck_assert_int_eq (err, faults[_i].error);
  ck_assert_int_eq (fault.error, faults[_i].error);
  ck_assert_ptr_null (settings);
  ck_assert_uint_eq (fault.line, faults[_i].line);
  ck_assert_str_eq (fault.field, faults[_i].field);
}
END_TEST

/* Guards against a crash or a silent default for a file that holds
   nothing.  */
START_TEST (empty)
{
  write_file ("", 0);
  ck_assert_int_eq (am_settings_load (&settings, path, &fault), AM_E_SHORT);
  write_file ("\n", 1);
  ck_assert_int_eq (am_settings_load (&settings, path, &fault), AM_E_FORMAT);
  write_file ("# only this\n", 12);
  ck_assert_int_eq (am_settings_load (&settings, path, &fault), AM_E_FORMAT);
}
END_TEST

/* Guards against reading a file of any size into memory.  */
START_TEST (too_large)
{
  char *text = malloc (AM_RECORD_TEXT_MAX + 1);

  ck_assert_ptr_nonnull (text);
  memset (text, '#', AM_RECORD_TEXT_MAX + 1);
  write_file (text, AM_RECORD_TEXT_MAX + 1);
  free (text);
  ck_assert_int_eq (am_settings_load (&settings, path, &fault),
                    AM_E_TOO_LARGE);
}
END_TEST

/* Guards against a missing file or a folder passing as empty settings.  */
START_TEST (unreadable)
{
  ck_assert_int_eq (am_settings_load (&settings, path, &fault), AM_E_IO);
  ck_assert_str_eq (fault.allowed, "No such file or directory");
  ck_assert_int_eq (am_settings_load (&settings, folder, &fault), AM_E_IO);
}
END_TEST

/* Guards against a peer key that others can read, or that is cut short or too
   long.  */
START_TEST (peer_key)
{
  uint8_t key[AM_PEER_KEY_SIZE];
  char text[70];

  memset (text, 'a', sizeof text);
  text[64] = '\n';
  ck_assert_int_eq (am_peer_key_read (path, key), AM_E_IO);
  write_file (text, 65);
  ck_assert_int_eq (chmod (path, 0640), 0);
  ck_assert_int_eq (am_peer_key_read (path, key), AM_E_PERMISSIONS);
  ck_assert_int_eq (chmod (path, 0600), 0);
  ck_assert_int_eq (am_peer_key_read (path, key), AM_OK);
  ck_assert_uint_eq (key[31], 0xaa);
  write_file (text, 63);
  ck_assert_int_eq (am_peer_key_read (path, key), AM_E_FORMAT);
  text[64] = 'a';
  write_file (text, 66);
  ck_assert_int_eq (am_peer_key_read (path, key), AM_E_FORMAT);
  text[5] = 'x';
  write_file (text, 64);
  ck_assert_int_eq (am_peer_key_read (path, key), AM_E_FORMAT);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("settings");
  TCase *tc = tcase_create ("settings");

  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, defaults);
  tcase_add_loop_test (tc, named, 0, (int)(sizeof faults / sizeof faults[0]));
  tcase_add_test (tc, empty);
  tcase_add_test (tc, too_large);
  tcase_add_test (tc, unreadable);
  tcase_add_test (tc, peer_key);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
