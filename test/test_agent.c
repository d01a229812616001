/* The agent as a process: settings, sockets, signals.  */

#include <arpa/inet.h>
#include <signal.h>
#include <sodium.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "base/error.h"
#include "own_address.h"
#include "record_offer.h"
#include "suite.h"
#include "wire/frame.h"

#define AGENT AM_BINARY_DIR "/amaranth-agent"
#define AGENTS 3

/* The bound of the spread, and twice as much for a start.  */
#define SPREAD_MS 6000
#define START_MS 12000

static char folder[] = "/tmp/amaranth-agent-XXXXXX";
static pid_t agents[AGENTS];
static uint8_t key[AM_PEER_KEY_SIZE];

static void
wait_ms (long ms)
{
  struct timespec t = { ms / 1000, ms % 1000 * 1000000L };

  nanosleep (&t, NULL);
}

static void
write_file (const char *name, const char *text, mode_t mode)
{
  char path[128];
  FILE *out;

  snprintf (path, sizeof path, "%s/%s", folder, name);
  out = fopen (path, "w");
  ck_assert_ptr_nonnull (out);
  fputs (text, out);
  fclose (out);
  chmod (path, mode);
}

static void
write_settings (int vm, const char *seed, const char *level)
{
  char name[32];
  char text[1024];
  char expanded[1024];

  snprintf (name, sizeof name, "vm-%d.yaml", vm);
  snprintf (text, sizeof text,
            "vm: {id: %d, name: vm-%d, region: r, data_centre: dc, "
            "address: @%d}\n"
            "fabric: {return_address: @10:7900}\n"
            "store: {url: \"http://@11:8500\", timeout_ms: 500}\n"
            "peers: {key_file: peer.key, seeds: [\"%s\"]}\n"
            "log: {level: %s, decisions: true}\n",
            vm, vm, vm, seed, level);
  own_text (expanded, sizeof expanded, text);
  write_file (name, expanded, 0644);
}

static pid_t
start (int vm, const char *option)
{
  char path[128];
  char log[128];
  pid_t pid;

  snprintf (path, sizeof path, "%s/vm-%d.yaml", folder, vm);
  snprintf (log, sizeof log, "%s/log-%d", folder, vm);
  pid = fork ();
  if (pid == 0)
    {
      if (!freopen (log, "a", stderr))
        _exit (99);
      execl (AGENT, AGENT, "--settings", path, option, (char *)NULL);
      _exit (99);
    }
  return pid;
}

static int
exit_code (pid_t pid)
{
  int status = 0;

  ck_assert_int_eq (waitpid (pid, &status, 0), pid);
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

static void
setup (void)
{
  char hex[2 * AM_PEER_KEY_SIZE + 1];

  ck_assert_ptr_nonnull (mkdtemp (folder));
  randombytes_buf (key, sizeof key);
  sodium_bin2hex (hex, sizeof hex, key, sizeof key);
  write_file ("peer.key", hex, 0600);
  for (int i = 0; i < AGENTS; i++)
    write_settings (i + 1, "@1:7100", "info");
}

static void
teardown (void)
{
  char command[64];

  for (int i = 0; i < AGENTS; i++)
    if (agents[i])
      {
        kill (agents[i], SIGKILL);
        waitpid (agents[i], NULL, 0);
      }
  snprintf (command, sizeof command, "%s", folder);
  for (int i = 1; i <= AGENTS; i++)
    {
      char path[128];

      snprintf (path, sizeof path, "%s/vm-%d.yaml", command, i);
      unlink (path);
      snprintf (path, sizeof path, "%s/log-%d", command, i);
      unlink (path);
    }
  strcat (command, "/peer.key");
  unlink (command);
  rmdir (folder);
}

static int
connect_to (int vm)
{
  struct sockaddr_in sa
      = own_sockaddr ((struct am_address){ own_ip ((uint32_t)vm), 7101 });
  struct timeval limit = { 2, 0 };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&sa, sizeof sa) == 0)
    return fd;
  close (fd);
  return -1;
}

static void
send_envelope (int fd, const Amaranth__Envelope *e)
{
  uint8_t buf[4096];
  size_t len = amaranth__envelope__pack (e, buf + AM_FRAME_HEADER_SIZE);

  am_frame_seal (key, buf + AM_FRAME_HEADER_SIZE, len, buf);
  ck_assert_int_eq (write (fd, buf, AM_FRAME_HEADER_SIZE + len),
                    (ssize_t)(AM_FRAME_HEADER_SIZE + len));
}

static Amaranth__Envelope *
receive_envelope (int fd)
{
  static uint8_t buf[1 << 16];
  size_t used = 0;

  for (;;)
    {
      const uint8_t *payload;
      size_t len;
      size_t taken;
      ssize_t n = read (fd, buf + used, sizeof buf - used);

      if (n <= 0)
        return NULL;
      used += (size_t)n;
      if (am_frame_open (key, buf, used, &payload, &len, &taken) == AM_OK)
        return amaranth__envelope__unpack (NULL, len, payload);
    }
}

/* Returns the status of agent VM; NULL if it does not answer.  */
static Amaranth__Envelope *
status (int vm)
{
  Amaranth__StatusRequest r = AMARANTH__STATUS_REQUEST__INIT;
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;
  Amaranth__Envelope *answer;
  int fd = connect_to (vm);

  if (fd < 0)
    return NULL;
  e.body_case = AMARANTH__ENVELOPE__BODY_STATUS_REQUEST;
  e.status_request = &r;
  send_envelope (fd, &e);
  answer = receive_envelope (fd);
  close (fd);
  return answer;
}

/* Waits until every agent knows MEMBERS others and RECORDS records.  */
static bool
wait_for (size_t members, size_t records, int limit_ms)
{
  for (int waited = 0; waited < limit_ms; waited += 50)
    {
      int ready = 0;

      for (int vm = 1; vm <= AGENTS; vm++)
        {
          Amaranth__Envelope *e = status (vm);

          if (!e)
            continue;
          ready += e->status_reply->n_members == members
                   && e->status_reply->n_records == records;
          amaranth__envelope__free_unpacked (e, NULL);
        }
      if (ready == AGENTS)
        return true;
      wait_ms (50);
    }
  return false;
}

static void
hand_record (int vm)
{
  static const char text[]
      = "{\"schema\":2,\"kind\":\"service\",\"name\":\"dispatch\",\"region\":"
        "\"r\",\"address\":\"127.60.6.1:8001\",\"revision\":1,\"write_id\":"
        "\"00000000000000000000000000000001\",\"binding\":\"ticket\","
        "\"upstreams\":[{\"name\":\"d-1\",\"address\":\"127.60.6.2:9000\","
        "\"data_centre\":\"dc\",\"incarnation\":1,\"state\":\"active\","
        "\"slots\":2,\"connections\":2000}]}";
  struct record_offer o;
  int fd = connect_to (vm);

  record_offer_init (&o, "dispatch", 1, text);
  send_envelope (fd, &o.envelope);
  close (fd);
}

static void
send_noise (void)
{
  struct sockaddr_in sa
      = own_sockaddr ((struct am_address){ own_ip (1), 7100 });
  int fd = socket (AF_INET, SOCK_DGRAM, 0);
  uint8_t noise[200];

  for (int i = 0; i < 200; i++)
    {
      randombytes_buf (noise, sizeof noise);
      sendto (fd, noise, (size_t)i, 0, (struct sockaddr *)&sa, sizeof sa);
    }
  close (fd);
  fd = connect_to (1);
  ck_assert_int_eq (write (fd, noise, sizeof noise), sizeof noise);
  close (fd);
}

/* Guards against agents that do not meet over real sockets, that lose a record
   handed over without a store, that malformed input ends, or that do not stop
   when told.  */
START_TEST (three_agents)
{
  for (int i = 0; i < AGENTS; i++)
    agents[i] = start (i + 1, NULL);
  ck_assert (wait_for (AGENTS - 1, 0, START_MS));
  hand_record (2);
  ck_assert (wait_for (AGENTS - 1, 1, SPREAD_MS));
  send_noise ();
  write_settings (1, "@2:7100", "debug");
  kill (agents[0], SIGHUP);
  ck_assert (wait_for (AGENTS - 1, 1, SPREAD_MS));
  for (int i = 0; i < AGENTS; i++)
    kill (agents[i], SIGTERM);
  for (int i = 0; i < AGENTS; i++)
    {
      ck_assert_int_eq (exit_code (agents[i]), AM_EXIT_OK);
      agents[i] = 0;
    }
}
END_TEST

/* Guards against wrong settings that are taken, or refused with another exit
   status.  */
START_TEST (settings_are_checked)
{
  ck_assert_int_eq (exit_code (start (1, "--check-settings")), AM_EXIT_OK);
  ck_assert_int_eq (exit_code (start (1, "--no-such-option")), AM_EXIT_USAGE);
  ck_assert_int_eq (exit_code (start (9, "--check-settings")), AM_EXIT_DATA);
  write_settings (1, "not an address", "info");
  ck_assert_int_eq (exit_code (start (1, "--check-settings")), AM_EXIT_DATA);
  write_settings (1, "@1:7100", "info");
  write_file ("peer.key", "12", 0600);
  ck_assert_int_eq (exit_code (start (1, "--check-settings")), AM_EXIT_DATA);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("agent");
  TCase *t = tcase_create ("process");

  if (sodium_init () < 0)
    return EXIT_FAILURE;
  tcase_set_timeout (t, 60);
  tcase_add_checked_fixture (t, setup, teardown);
  tcase_add_test (t, three_agents);
  tcase_add_test (t, settings_are_checked);
  suite_add_tcase (s, t);
  return suite_run (s);
}
