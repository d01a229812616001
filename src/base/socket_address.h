/* An address in the form of the socket calls.  Inline: the forwarder converts
   one for each packet.  */

#ifndef AM_BASE_SOCKET_ADDRESS_H
#define AM_BASE_SOCKET_ADDRESS_H

#include <netinet/in.h>

#include "base/address.h"

static inline struct sockaddr_in
am_address_to_socket (struct am_address a)
{
  struct sockaddr_in sa = { .sin_family = AF_INET,
                            .sin_port = htons (a.port),
                            .sin_addr = { htonl (a.ip) } };

  return sa;
}

static inline struct am_address
am_address_from_socket (const struct sockaddr_in *sa)
{
  return (struct am_address){ ntohl (sa->sin_addr.s_addr),
                              ntohs (sa->sin_port) };
}

#endif
