/* Loopback addresses of one test process, so that several copies of a test
   can run at the same time.  A block of addresses is taken by binding a port
   of it without address reuse; it stays taken until the process ends.  */

#ifndef AM_TEST_OWN_ADDRESS_H
#define AM_TEST_OWN_ADDRESS_H

#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"
#include "base/socket_address.h"

#define OWN_NETWORK UINT32_C (0x7f3c0000) /* 127.60.0.0 */
#define OWN_BLOCKS 4096u
#define OWN_BLOCK_SIZE 16u
#define OWN_LOCK_PORT 18570

static inline struct sockaddr_in
own_sockaddr (struct am_address a)
{
  struct sockaddr_in sa = am_address_to_socket (a);

  return sa;
}

static inline uint32_t
own_block_take (void)
{
  for (uint32_t i = 0; i < OWN_BLOCKS; i++)
    {
      uint32_t number = ((uint32_t)getpid () + i) % OWN_BLOCKS;
      uint32_t base = OWN_NETWORK + number * OWN_BLOCK_SIZE;
      struct sockaddr_in sa
          = own_sockaddr ((struct am_address){ base, OWN_LOCK_PORT });
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

      ck_assert_int_ge (fd, 0);
      if (bind (fd, (struct sockaddr *)&sa, sizeof sa) == 0)
        return base;
      close (fd);
    }
  ck_abort_msg ("every block of addresses is taken");
  return 0;
}

/* Returns address number HOST, 1 to 15, of the block of this process.  */
static inline uint32_t
own_ip (uint32_t host)
{
  static uint32_t base;

  ck_assert (host > 0 && host < OWN_BLOCK_SIZE);
  if (!base)
    base = own_block_take ();
  return base + host;
}

/* Writes TEXT to OUT with each "@N" replaced by own_ip (N) in text form.
   Returns OUT.  */
static inline const char *
own_text (char *out, size_t size, const char *text)
{
  size_t n = 0;

  while (*text)
    {
      ck_assert_uint_lt (n + INET_ADDRSTRLEN, size);
      if (*text == '@')
        {
          char *end;
          struct in_addr ip
              = { htonl (own_ip ((uint32_t)strtoul (text + 1, &end, 10))) };

          inet_ntop (AF_INET, &ip, out + n, INET_ADDRSTRLEN);
          n += strlen (out + n);
          text = end;
        }
      else
        out[n++] = *text++;
    }
  out[n] = '\0';
  return out;
}

#endif
