#include "base/socket_address.h"

struct sockaddr_in
am_address_to_socket (struct am_address a)
{
  struct sockaddr_in sa = { .sin_family = AF_INET,
                            .sin_port = htons (a.port),
                            .sin_addr = { htonl (a.ip) } };

  return sa;
}

struct am_address
am_address_from_socket (const struct sockaddr_in *sa)
{
  return (struct am_address){ ntohl (sa->sin_addr.s_addr),
                              ntohs (sa->sin_port) };
}
