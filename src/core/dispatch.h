/* Dispatch: hands each event to the controllers of the forwarder.

   A driver owns the sockets and the clock.  It calls am_dispatch_event for
   every input and carries out the actions that reach the sink.  All calls
   come from one thread; none blocks.  */

#ifndef AM_CORE_DISPATCH_H
#define AM_CORE_DISPATCH_H

#include "core/board.h"

enum am_event_type
{
  AM_EVENT_CALLER,          /* datagram from the fabric, PROXY header first */
  AM_EVENT_UPSTREAM,        /* datagram from an upstream, PROXY header first */
  AM_EVENT_PEER,            /* datagram on the peer port */
  AM_EVENT_STREAM,          /* one packet from an upstream's TCP connection */
  AM_EVENT_STREAM_LOST,     /* that connection failed or closed */
  AM_EVENT_SNAPSHOT,        /* packed Amaranth__Snapshot */
  AM_EVENT_TICK,            /* every AM_TICK_US */
  AM_EVENT_STOP,            /* begin the graceful stop */
  AM_EVENT_GRANT,           /* packed Amaranth__OwnerGrant */
  AM_EVENT_STREAM_UNOPENED, /* that connection could not be opened, and
                               nothing handed over for it has left; a driver
                               that cannot tell reports STREAM_LOST */
  AM_EVENT_DELTA,           /* packed Amaranth__SnapshotDelta */
};

/* Interval of AM_EVENT_TICK in microseconds.  */
#define AM_TICK_US 10000u

struct am_event
{
  enum am_event_type type;
  uint64_t now_us;        /* monotonic; never decreases */
  uint64_t wall_ms;       /* wall clock, read before NOW_US; 0: unknown */
  struct am_address from; /* source address of a datagram */
  uint32_t service_id;    /* STREAM* */
  uint32_t upstream_id;   /* STREAM* */
  const uint8_t *data;
  size_t len;
};

struct am_dispatch_options
{
  struct am_self self;
  uint64_t seed;           /* of the generator for choices and jitter */
  const uint8_t *peer_key; /* AM_PEER_KEY_SIZE bytes */
  bool log_decisions;
  struct am_sink sink;
};

struct am_dispatch
{
  struct am_board board;
  uint8_t peer_key[32];
  bool exit_emitted; /* owner: lifecycle */
  uint64_t next_slow_tick_us;
};

/* Sets up D.  Returns AM_OK or AM_E_MEMORY.  */
int am_dispatch_init (struct am_dispatch *d,
                      const struct am_dispatch_options *o);

/* Frees all state of D.  */
void am_dispatch_finish (struct am_dispatch *d);

/* Handles one event.  Returns AM_OK, or the typed error for which the input
   was refused; a refused input changes no state but a counter.  */
int am_dispatch_event (struct am_dispatch *d, const struct am_event *e);

/* Returns AM_EVENT_UPSTREAM if the datagram of LEN bytes at DATA is a reply:
   its PROXY header names a service as the source and FROM is an upstream of
   that service.  Otherwise AM_EVENT_CALLER.  For a driver that receives both
   on one port.  */
enum am_event_type am_dispatch_classify (struct am_dispatch *d,
                                         struct am_address from,
                                         const uint8_t *data, size_t len);

/* Fills R (initialised, empty) with loads, life state and counters.  The
   arrays belong to the caller, who frees them with am_dispatch_report_free.
   Returns AM_OK or AM_E_MEMORY.  */
int am_dispatch_report (struct am_dispatch *d, Amaranth__Report *r);
void am_dispatch_report_free (Amaranth__Report *r);

#endif
