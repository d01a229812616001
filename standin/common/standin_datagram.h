/* Datagrams with a PROXY header and the text messages of feeds.

   A feed's message is one line of text: a letter and its fields, separated
   by blanks, padded with dots.  In ticket services it is the body of DATA; in
   opaque services it is the payload, and there the letters for open, ping
   and close are used as well.  Letters towards the upstream are capital,
   their replies small.  */

#ifndef AM_STANDIN_DATAGRAM_H
#define AM_STANDIN_DATAGRAM_H

#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "io/udp_port.h"
#include "wire/packet.h"
#include "wire/proxy_header.h"

#define STANDIN_DATAGRAM_MAX 1600
#define STANDIN_MESSAGE_MAX 1200
#define STANDIN_NAME_SIZE 64

enum standin_letter
{
  STANDIN_OPEN = 'O',    /* opaque: open; reply 'o' */
  STANDIN_PING = 'P',    /* opaque: ping; reply 'p' */
  STANDIN_CLOSE = 'C',   /* opaque: close */
  STANDIN_DATA = 'D',    /* payload up, numbered */
  STANDIN_ACK = 'A',     /* echo of an alert's number */
  STANDIN_OPENED = 'o',  /* opaque */
  STANDIN_PONG = 'p',    /* opaque */
  STANDIN_ALERT = 'a',   /* alert down */
  STANDIN_REFUSED = 'r', /* opaque: no such flow, or refused; sequence is
                            the error with its sign changed */
};

struct standin_message
{
  char letter;
  uint64_t flow;
  uint32_t sequence;
  uint64_t time_us; /* when an alert was due */
  char upstream[STANDIN_NAME_SIZE];
  char service[STANDIN_NAME_SIZE];
};

/* Writes M, padded to PAD bytes, to BUF of STANDIN_MESSAGE_MAX bytes; returns
   its length.  */
size_t standin_message_encode (const struct standin_message *m, size_t pad,
                               uint8_t *buf);

/* Reads M.  Returns AM_OK or AM_E_FORMAT.  */
int standin_message_decode (struct standin_message *m, const uint8_t *buf,
                            size_t len);

/* Sends LEN bytes at DATA, after the PROXY header of SOURCE and DESTINATION,
   to TO.  Returns AM_OK, AM_E_IO or AM_E_TOO_LARGE.  */
int standin_send_proxied (struct am_udp_port *p, struct am_address to,
                          struct am_address source,
                          struct am_address destination, const uint8_t *data,
                          size_t len);

/* Returns the connection id of the packet after the PROXY header at DATA, or
   for an opaque payload a key of the caller's address.  UP: the datagram
   goes towards the upstream.  Zero: no PROXY header.  */
uint64_t standin_flow_of (const uint8_t *data, size_t len, int up);

#endif
