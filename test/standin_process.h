/* Starts stand-ins as processes and speaks to them over loopback, for the
   tests of stand-ins.  "@N" in an address or argument stands for address N of
   this process (own_address.h).  */

#ifndef AM_TEST_STANDIN_PROCESS_H
#define AM_TEST_STANDIN_PROCESS_H

#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/error.h"
#include "own_address.h"

#define PROCESS_ARGUMENTS_MAX 48

/* A stand-in that has not answered after this time is taken as failed.  */
#define PROCESS_WAIT_MS 5000

/* How long a test listens for a packet that must not come.  */
#define PROCESS_SILENCE_MS 300

static inline struct am_address
process_address (const char *text)
{
  char expanded[64];
  struct am_address a;

  own_text (expanded, sizeof expanded, text);
  ck_assert_int_eq (am_address_parse (&a, expanded), AM_OK);
  return a;
}

static inline struct sockaddr_in
process_sockaddr (const char *text)
{
  return own_sockaddr (process_address (text));
}

/* Starts standin/NAME with the arguments of the line ARGUMENTS.  */
static inline pid_t
process_start (const char *name, const char *arguments)
{
  char path[512];
  char line[1024];
  char *argv[PROCESS_ARGUMENTS_MAX] = { path };
  char *rest = line;
  int n = 1;
  pid_t pid;

  own_text (line, sizeof line, arguments);
  snprintf (path, sizeof path, "%s/standin/%s", AM_BINARY_DIR, name);
  for (char *word; (word = strtok_r (rest, " ", &rest)) != NULL;)
    if (n < PROCESS_ARGUMENTS_MAX - 1)
      argv[n++] = word;
  pid = fork ();
  ck_assert_int_ge (pid, 0);
  if (pid == 0)
    {
      execv (path, argv);
      _exit (127);
    }
  return pid;
}

/* Ends a process by SIGTERM; its exit status must be 0.  */
static inline void
process_stop (pid_t pid)
{
  int status = 0;

  kill (pid, SIGTERM);
  ck_assert_int_eq (waitpid (pid, &status, 0), pid);
  ck_assert (WIFEXITED (status));
  ck_assert_int_eq (WEXITSTATUS (status), 0);
}

static inline int
udp_bind (const char *address)
{
  struct sockaddr_in sa = process_sockaddr (address);
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

  ck_assert_int_ge (fd, 0);
  ck_assert_int_eq (bind (fd, (struct sockaddr *)&sa, sizeof sa), 0);
  return fd;
}

static inline void
udp_send (int fd, const char *to, const void *data, size_t len)
{
  struct sockaddr_in sa = process_sockaddr (to);

  ck_assert_int_eq (
      sendto (fd, data, len, 0, (struct sockaddr *)&sa, sizeof sa),
      (ssize_t)len);
}

/* Receives one datagram; returns its length, or -1 after WAIT_MS.  FROM may
   be NULL.  */
static inline ssize_t
udp_receive (int fd, void *buf, size_t size, int wait_ms,
             struct am_address *from)
{
  struct pollfd p = { .fd = fd, .events = POLLIN };
  struct sockaddr_in sa = { 0 };
  socklen_t sa_len = sizeof sa;
  ssize_t n;

  if (poll (&p, 1, wait_ms) <= 0)
    return -1;
  n = recvfrom (fd, buf, size, 0, (struct sockaddr *)&sa, &sa_len);
  if (from)
    {
      from->ip = ntohl (sa.sin_addr.s_addr);
      from->port = ntohs (sa.sin_port);
    }
  return n;
}

/* Sends COMMAND to the control port ADDRESS until it answers; returns the
   answer, which is valid until the next call.  */
static inline const char *
process_command (const char *address, const char *command)
{
  static char answer[65536];
  char text[256];
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  ssize_t n = -1;

  own_text (text, sizeof text, command);
  for (int waited = 0; n < 0 && waited < PROCESS_WAIT_MS; waited += 50)
    {
      struct sockaddr_in sa = process_sockaddr (address);

      sendto (fd, text, strlen (text), 0, (struct sockaddr *)&sa, sizeof sa);
      n = udp_receive (fd, answer, sizeof answer - 1, 50, NULL);
    }
  close (fd);
  ck_assert_msg (n >= 0, "no answer to '%s' at %s", text, address);
  answer[n] = '\0';
  return answer;
}

/* Connects to ADDRESS, waiting until somebody listens.  */
static inline int
tcp_connect (const char *address)
{
  struct sockaddr_in sa = process_sockaddr (address);

  for (int waited = 0; waited < PROCESS_WAIT_MS; waited += 20)
    {
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

      ck_assert_int_ge (fd, 0);
      if (connect (fd, (struct sockaddr *)&sa, sizeof sa) == 0)
        return fd;
      close (fd);
      usleep (20000);
    }
  ck_abort_msg ("nobody listens at %s", address);
  return -1;
}

#endif
