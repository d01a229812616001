#include "base/address.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"

int
am_address_parse (struct am_address *a, const char *text)
{
  char host[INET_ADDRSTRLEN];
  const char *colon = strchr (text, ':');
  struct in_addr in;
  char *end;
  long port;

  if (!colon || (size_t)(colon - text) >= sizeof host)
    return AM_E_FORMAT;
  memcpy (host, text, (size_t)(colon - text));
  host[colon - text] = '\0';
  if (inet_pton (AF_INET, host, &in) != 1)
    return AM_E_FORMAT;
  if (colon[1] < '0' || colon[1] > '9')
    return AM_E_FORMAT;
  port = strtol (colon + 1, &end, 10);
  if (*end != '\0' || port < 0 || port > UINT16_MAX)
    return AM_E_FORMAT;
  a->ip = ntohl (in.s_addr);
  a->port = (uint16_t)port;
  return AM_OK;
}

char *
am_address_format (struct am_address a, char *buf)
{
  snprintf (buf, AM_ADDRESS_TEXT_SIZE, "%u.%u.%u.%u:%u", a.ip >> 24,
            a.ip >> 16 & 0xff, a.ip >> 8 & 0xff, a.ip & 0xff, a.port);
  return buf;
}
