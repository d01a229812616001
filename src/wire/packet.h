/* Packet between callers, forwarders and upstreams of a service that binds
   flows by ticket.

   Fixed header of AM_PACKET_HEADER_SIZE bytes, big endian, then the ticket
   (0 or AM_TICKET_SIZE bytes), then the body:

     offset size field
     0      2    magic 0xA7C0
     2      1    version 1
     3      1    type
     4      8    connection id, chosen by the caller
     12     4    sequence
     16     2    ticket length
     18     2    body length

   In a datagram the packet follows a PROXY header.  On the TCP connection
   between a forwarder and an upstream each packet follows its length (4
   bytes, see am_stream_split); there the body may be up to
   AM_ANSWER_SIZE_MAX and the body length field is the low 16 bits only, the
   frame's length being the authority.  */

#ifndef AM_WIRE_PACKET_H
#define AM_WIRE_PACKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define AM_PACKET_MAGIC 0xa7c0
#define AM_PACKET_VERSION 1
#define AM_PACKET_HEADER_SIZE 20
#define AM_TICKET_SIZE 64

/* Largest packet in a datagram: with the PROXY header and IP and UDP headers
   it stays below a 1,500-byte MTU.  */
#define AM_PACKET_SIZE_MAX 1400

/* An answer is cut into segments for the caller.  */
#define AM_SEGMENT_SIZE 1100
#define AM_SEGMENTS_MAX 64
#define AM_ANSWER_SIZE_MAX (AM_SEGMENT_SIZE * AM_SEGMENTS_MAX)

/* Largest payload of a request.  */
#define AM_REQUEST_SIZE_MAX 1100

enum am_packet_type
{
  /* caller to entry VM, entry VM to upstream: open a flow, or ask for a
     request ticket.  Body: struct am_open_body.  */
  AM_PACKET_OPEN = 1,
  /* upstream to entry VM: accepted, body: load.  Entry VM to caller: the
     ticket; no body.  */
  AM_PACKET_OPENED = 2,
  /* both directions: payload of a flow */
  AM_PACKET_DATA = 3,
  /* caller to entry VM to upstream: end of a flow; no body */
  AM_PACKET_CLOSE = 4,
  /* towards the caller: the flow or open is refused or has ended, body:
     struct am_reason_body.  From an upstream: refusal, with its load.  */
  AM_PACKET_RESET = 5,
  /* caller to upstream, body: 1 byte, number of unanswered earlier pings */
  AM_PACKET_PING = 6,
  /* upstream to caller, body: load */
  AM_PACKET_PONG = 7,
  /* entry VM to caller: a new ticket for the same flow; no body */
  AM_PACKET_RENEWED = 8,
  /* caller to entry VM, body: struct am_request_body and payload.  Entry VM
     to upstream (TCP): struct am_run_body and payload.  */
  AM_PACKET_REQUEST = 9,
  /* upstream to entry VM (TCP), body: load and the whole answer.  Entry VM
     to caller, body: struct am_segment_body and payload.  */
  AM_PACKET_ANSWER = 10,
  /* towards the caller, body: struct am_outcome_body.  From an upstream
     (TCP), body: load, then an outcome of NOT-RUN: it did not run.  */
  AM_PACKET_OUTCOME = 11,
  /* caller to entry VM, entry VM to upstream (TCP): cancel; no body */
  AM_PACKET_CANCEL = 12,
  /* entry VM to upstream: ask for its load; no body */
  AM_PACKET_PROBE = 13,
  /* upstream to entry VM, body: load */
  AM_PACKET_REPORT = 14,
};

enum am_outcome
{
  AM_OUTCOME_NOT_RUN = 1,
  AM_OUTCOME_UNKNOWN = 2,
};

/* Kind of an OPEN; in AM_OPEN_REQUEST the class is that of the record.  */
enum am_open_kind
{
  AM_OPEN_FLOW = 0,
  AM_OPEN_REQUEST = 1,
};

struct am_packet
{
  uint8_t type; /* enum am_packet_type */
  uint64_t connection_id;
  uint32_t sequence;
  const uint8_t *ticket; /* NULL or AM_TICKET_SIZE bytes, not owned */
  const uint8_t *body;   /* not owned */
  size_t body_len;
};

#define AM_OPEN_BODY_SIZE 2
struct am_open_body
{
  uint8_t kind; /* enum am_open_kind */
  uint8_t request_class;
};

#define AM_LOAD_SIZE 8
struct am_load
{
  uint16_t busy;        /* slots in use */
  uint16_t queued;      /* requests waiting for a slot */
  uint16_t connections; /* open flows */
  uint16_t flags;       /* AM_LOAD_* */
};
#define AM_LOAD_DRAINING 1u
#define AM_LOAD_COLD 2u

#define AM_REASON_BODY_SIZE 4
struct am_reason_body
{
  int32_t error; /* enum am_error */
};

#define AM_OUTCOME_BODY_SIZE 5
struct am_outcome_body
{
  uint8_t outcome; /* enum am_outcome */
  int32_t error;   /* enum am_error: the reason */
};

#define AM_REQUEST_BODY_SIZE 12
struct am_request_body
{
  uint32_t deadline_ms; /* from the first sending; 0: the class's deadline */
  uint64_t received;    /* bitmap of the segments the caller has */
};

/* Sequence of a REQUEST without a ticket: the class id in the low 8 bits and
   above it the age of the request, which is the time since its first sending
   in ms, rounded up, plus 1; 0: not stated.  */
#define AM_REQUEST_AGE_MAX_MS 0xfffffeu

/* Returns the sequence; an age above AM_REQUEST_AGE_MAX_MS becomes that.  */
uint32_t am_request_sequence (uint8_t class_id, uint64_t age_us);

/* Returns false if SEQUENCE states no age, else sets *AGE_MS.  */
bool am_request_age (uint32_t *age_ms, uint32_t sequence);

#define AM_RUN_BODY_SIZE 17
struct am_run_body
{
  uint32_t remaining_ms; /* until the deadline, at the time of sending */
  uint32_t service_id;
  uint8_t request_class;
  uint64_t not_after_ms; /* wall clock; a later start is refused; 0: none */
};

#define AM_SEGMENT_BODY_SIZE 6
struct am_segment_body
{
  uint8_t index;
  uint8_t count; /* 1 to AM_SEGMENTS_MAX */
  uint32_t total_len;
};

/* Decodes a packet of LEN bytes at BUF into P, which points into BUF.
   Returns AM_OK, AM_E_SHORT, AM_E_FORMAT, AM_E_VERSION or AM_E_TOO_LARGE
   (larger than AM_PACKET_SIZE_MAX).  */
int am_packet_decode (struct am_packet *p, const uint8_t *buf, size_t len);

/* As am_packet_decode for a packet on a TCP connection, of up to
   AM_STREAM_PACKET_MAX bytes.  */
int am_packet_decode_stream (struct am_packet *p, const uint8_t *buf,
                             size_t len);
#define AM_STREAM_PACKET_MAX \
  (AM_PACKET_HEADER_SIZE + AM_TICKET_SIZE + AM_LOAD_SIZE + AM_ANSWER_SIZE_MAX)

/* Encodes P to BUF of SIZE bytes and sets *LEN.  Returns AM_OK or
   AM_E_TOO_LARGE if BUF is too small.  */
int am_packet_encode (const struct am_packet *p, uint8_t *buf, size_t size,
                      size_t *len);

/* Encode or decode one body.  The decoders return AM_OK, AM_E_SHORT, or
   AM_E_FORMAT for a value outside its range.  */
void am_open_body_encode (const struct am_open_body *b, uint8_t *buf);
int am_open_body_decode (struct am_open_body *b, const uint8_t *buf,
                         size_t len);
void am_load_encode (const struct am_load *l, uint8_t *buf);
int am_load_decode (struct am_load *l, const uint8_t *buf, size_t len);
void am_reason_body_encode (const struct am_reason_body *b, uint8_t *buf);
int am_reason_body_decode (struct am_reason_body *b, const uint8_t *buf,
                           size_t len);
void am_outcome_body_encode (const struct am_outcome_body *b, uint8_t *buf);
int am_outcome_body_decode (struct am_outcome_body *b, const uint8_t *buf,
                            size_t len);
void am_request_body_encode (const struct am_request_body *b, uint8_t *buf);
int am_request_body_decode (struct am_request_body *b, const uint8_t *buf,
                            size_t len);
void am_run_body_encode (const struct am_run_body *b, uint8_t *buf);
int am_run_body_decode (struct am_run_body *b, const uint8_t *buf, size_t len);
void am_segment_body_encode (const struct am_segment_body *b, uint8_t *buf);
int am_segment_body_decode (struct am_segment_body *b, const uint8_t *buf,
                            size_t len);

/* Length prefix of a packet on a TCP connection, in bytes.  */
#define AM_STREAM_PREFIX_SIZE 4

/* Looks for one whole length-prefixed packet in the LEN bytes at BUF.  Sets
   *PACKET and *PACKET_LEN and, in *USED, how many bytes it took with its
   prefix.  Returns AM_OK, AM_E_SHORT if more bytes are needed, or
   AM_E_TOO_LARGE if the length exceeds AM_STREAM_PACKET_MAX.  */
int am_stream_split (const uint8_t *buf, size_t len, const uint8_t **packet,
                     size_t *packet_len, size_t *used);

#endif
