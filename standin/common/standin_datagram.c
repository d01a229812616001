#include "common/standin_datagram.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"

/* Sets the keys of callers' addresses apart from connection ids.  */
#define ADDRESS_KEY_MARK 0xa000000000000000u

size_t
standin_message_encode (const struct standin_message *m, size_t pad,
                        uint8_t *buf)
{
  int len = snprintf ((char *)buf, STANDIN_MESSAGE_MAX,
                      "%c %" PRIu64 " %" PRIu32 " %" PRIu64 " %s %s\n",
                      m->letter, m->flow, m->sequence, m->time_us,
                      *m->upstream ? m->upstream : "-",
                      *m->service ? m->service : "-");
  size_t used = (size_t)len;

  if (pad > STANDIN_MESSAGE_MAX)
    pad = STANDIN_MESSAGE_MAX;
  if (used < pad)
    memset (buf + used, '.', pad - used);
  return used < pad ? pad : used;
}

int
standin_message_decode (struct standin_message *m, const uint8_t *buf,
                        size_t len)
{
  char line[256];
  const uint8_t *end = memchr (buf, '\n', len);

  if (!end || (size_t)(end - buf) >= sizeof line)
    return AM_E_FORMAT;
  memcpy (line, buf, (size_t)(end - buf));
  line[end - buf] = '\0';
  if (sscanf (line, "%c %" SCNu64 " %" SCNu32 " %" SCNu64 " %63s %63s",
              &m->letter, &m->flow, &m->sequence, &m->time_us, m->upstream,
              m->service)
      != 6)
    return AM_E_FORMAT;
  return AM_OK;
}

int
standin_send_proxied (struct am_udp_port *p, struct am_address to,
                      struct am_address source, struct am_address destination,
                      const uint8_t *data, size_t len)
{
  struct am_proxy_header h = { source, destination };
  uint8_t buf[STANDIN_DATAGRAM_MAX];

  if (len > sizeof buf - AM_PROXY_HEADER_SIZE)
    return AM_E_TOO_LARGE;
  am_proxy_encode (&h, buf);
  memcpy (buf + AM_PROXY_HEADER_SIZE, data, len);
  return am_udp_send (p, to, buf, len + AM_PROXY_HEADER_SIZE);
}

uint64_t
standin_flow_of (const uint8_t *data, size_t len, int up)
{
  struct am_proxy_header h;
  struct am_packet p;
  size_t used;

  if (am_proxy_decode (&h, data, len, &used) != AM_OK)
    return 0;
  if (am_packet_decode (&p, data + used, len - used) == AM_OK)
    return p.connection_id;
  return am_address_key (up ? h.source : h.destination) | ADDRESS_KEY_MARK;
}
