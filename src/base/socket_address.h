/* An address in the form of the socket calls.  */

#ifndef AM_BASE_SOCKET_ADDRESS_H
#define AM_BASE_SOCKET_ADDRESS_H

#include <netinet/in.h>

#include "base/address.h"

struct sockaddr_in am_address_to_socket (struct am_address a);
struct am_address am_address_from_socket (const struct sockaddr_in *sa);

#endif
