/* Interposer that separates processes as a network partition does, for tests
   of programs that are started with it in LD_PRELOAD.

   AM_CUT_FILE names a file of lines "A B": addresses that begin with A cannot
   exchange anything with those that begin with B, in either direction.
   AM_CUT_SELF is the address of the process.  The file is read again when it
   changes.  A datagram across the cut is dropped on both sides; a TCP
   connection across it fails with ETIMEDOUT.

   AM_CUT_LOSS is the share (0 to 1) of the datagrams sent that are lost; TCP
   is not affected.  */

#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define RULES_MAX 512
#define PREFIX_SIZE 24

/* How often the file's time is looked at, in nanoseconds.  */
#define LOOK_NS 20000000

struct rules
{
  char others[RULES_MAX][PREFIX_SIZE];
  int count;
  struct timespec modified;
  long long looked_ns;
};

static struct rules rules;

static bool
begins (const char *text, const char *prefix)
{
  return strncmp (text, prefix, strlen (prefix)) == 0;
}

static void
read_rules (const char *file, const char *self)
{
  char a[PREFIX_SIZE], b[PREFIX_SIZE];
  rules.count = 0;
  FILE *f = fopen (file, "r");
  if (!f)
    return;
  while (rules.count < RULES_MAX && fscanf (f, "%23s %23s", a, b) == 2)
    {
      const char *other = begins (self, a) ? b : begins (self, b) ? a : NULL;
      if (other)
        memcpy (rules.others[rules.count++], other, PREFIX_SIZE);
    }
  fclose (f);
}

static void
refresh_rules (void)
{
  const char *file = getenv ("AM_CUT_FILE");
  const char *self = getenv ("AM_CUT_SELF");
  struct timespec now;
  struct stat s;
  if (!file || !self)
    return;
  clock_gettime (CLOCK_MONOTONIC, &now);
  long long ns = now.tv_sec * 1000000000LL + now.tv_nsec;
  if (ns - rules.looked_ns < LOOK_NS)
    return;
  rules.looked_ns = ns;
  if (stat (file, &s) != 0)
    return;
  if (s.st_mtim.tv_sec == rules.modified.tv_sec
      && s.st_mtim.tv_nsec == rules.modified.tv_nsec)
    return;
  rules.modified = s.st_mtim;
  read_rules (file, self);
}

/* Returns true if A lies behind the cut.  */
static bool
is_cut (const void *a, socklen_t len)
{
  const struct sockaddr_in *in = a;
  char text[INET_ADDRSTRLEN + 1];
  if (!a || len < sizeof *in || in->sin_family != AF_INET)
    return false;
  refresh_rules ();
  if (rules.count == 0)
    return false;
  inet_ntop (AF_INET, &in->sin_addr, text, INET_ADDRSTRLEN);
  size_t end = strlen (text);
  text[end] = '.';
  text[end + 1] = '\0';
  for (int i = 0; i < rules.count; i++)
    if (begins (text, rules.others[i]))
      return true;
  return false;
}

static bool
peer_is_cut (int fd)
{
  struct sockaddr_in a = { 0 };
  socklen_t len = sizeof a;
  if (rules.count == 0)
    refresh_rules ();
  if (rules.count == 0 || getpeername (fd, (struct sockaddr *)&a, &len) != 0)
    return false;
  return is_cut (&a, len);
}

static int
time_out (void)
{
  errno = ETIMEDOUT;
  return -1;
}

/* Returns true if the datagram that is sent next is lost.  */
static bool
is_lost (const void *to)
{
  static double loss = -1;
  static unsigned seed;
  const char *text = getenv ("AM_CUT_LOSS");
  if (loss < 0)
    {
      loss = text ? strtod (text, NULL) : 0;
      seed = (unsigned)getpid ();
    }
  return to && loss > 0 && rand_r (&seed) < loss * RAND_MAX;
}

#define REAL(type, name, ...)                       \
  typedef type (*name##_call) (__VA_ARGS__);        \
  static name##_call real_##name (void)             \
  {                                                 \
    static name##_call call;                        \
    if (!call)                                      \
      *(void **)(&call) = dlsym (RTLD_NEXT, #name); \
    return call;                                    \
  }

REAL (ssize_t, sendmsg, int, const struct msghdr *, int)
REAL (int, sendmmsg, int, struct mmsghdr *, unsigned, int)
REAL (ssize_t, sendto, int, const void *, size_t, int, const struct sockaddr *,
      socklen_t)
REAL (ssize_t, recvmsg, int, struct msghdr *, int)
REAL (int, recvmmsg, int, struct mmsghdr *, unsigned, int, struct timespec *)
REAL (int, connect, int, const struct sockaddr *, socklen_t)
REAL (ssize_t, write, int, const void *, size_t)
REAL (ssize_t, writev, int, const struct iovec *, int)
REAL (ssize_t, read, int, void *, size_t)

static size_t
size_of (const struct msghdr *m)
{
  size_t n = 0;
  for (size_t i = 0; i < m->msg_iovlen; i++)
    n += m->msg_iov[i].iov_len;
  return n;
}

ssize_t
sendmsg (int fd, const struct msghdr *m, int flags)
{
  if (is_cut (m->msg_name, m->msg_namelen) || is_lost (m->msg_name))
    return (ssize_t)size_of (m);
  if (!m->msg_name && peer_is_cut (fd))
    return time_out ();
  return real_sendmsg () (fd, m, flags);
}

int
sendmmsg (int fd, struct mmsghdr *m, unsigned n, int flags)
{
  if (n
      && (is_cut (m[0].msg_hdr.msg_name, m[0].msg_hdr.msg_namelen)
          || is_lost (m[0].msg_hdr.msg_name)))
    {
      m[0].msg_len = (unsigned)size_of (&m[0].msg_hdr);
      return 1;
    }
  unsigned pass = 1;
  /* One at a time, so that each datagram is drawn once.  */
  if (getenv ("AM_CUT_LOSS"))
    n = n ? 1 : 0;
  while (pass < n
         && !is_cut (m[pass].msg_hdr.msg_name, m[pass].msg_hdr.msg_namelen))
    pass++;
  return real_sendmmsg () (fd, m, n ? pass : 0, flags);
}

ssize_t
sendto (int fd, const void *buf, size_t len, int flags,
        const struct sockaddr *to, socklen_t to_len)
{
  if (is_cut (to, to_len) || is_lost (to))
    return (ssize_t)len;
  return real_sendto () (fd, buf, len, flags, to, to_len);
}

ssize_t
recvmsg (int fd, struct msghdr *m, int flags)
{
  socklen_t room = m->msg_namelen;
  for (;;)
    {
      m->msg_namelen = room;
      ssize_t n = real_recvmsg () (fd, m, flags);
      if (n < 0 || !is_cut (m->msg_name, m->msg_namelen))
        return n;
    }
}

int
recvmmsg (int fd, struct mmsghdr *m, unsigned n, int flags,
          struct timespec *timeout)
{
  int got = real_recvmmsg () (fd, m, n, flags, timeout);
  for (int i = 0; i < got; i++)
    if (is_cut (m[i].msg_hdr.msg_name, m[i].msg_hdr.msg_namelen))
      m[i].msg_len = 0;
  return got;
}

int
connect (int fd, const struct sockaddr *to, socklen_t len)
{
  if (is_cut (to, len))
    return time_out ();
  return real_connect () (fd, to, len);
}

ssize_t
write (int fd, const void *buf, size_t len)
{
  if (peer_is_cut (fd))
    return time_out ();
  return real_write () (fd, buf, len);
}

ssize_t
writev (int fd, const struct iovec *v, int n)
{
  if (peer_is_cut (fd))
    return time_out ();
  return real_writev () (fd, v, n);
}

ssize_t
read (int fd, void *buf, size_t len)
{
  if (peer_is_cut (fd))
    return time_out ();
  return real_read () (fd, buf, len);
}
