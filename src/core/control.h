/* Control engine of the agent: membership, configuration, its spread, store
   readers, health verdicts and the snapshot for the forwarder.

   A driver owns the sockets, the clock and the store client.  It calls
   am_control_event for every input and carries out the actions that reach
   the sink.  All calls come from one thread; none blocks.  The same events in
   the same order give the same actions, byte for byte.  */

#ifndef AM_CORE_CONTROL_H
#define AM_CORE_CONTROL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "base/metrics.h"
#include "wire/amaranth.pb-c.h"

/* Interval of AM_CONTROL_TICK in microseconds.  */
#define AM_CONTROL_TICK_US 100000u

enum am_control_event_type
{
  AM_CONTROL_GOSSIP,         /* datagram on the gossip port, frame removed */
  AM_CONTROL_STREAM,         /* message on a stream of a peer or operator */
  AM_CONTROL_FORWARDER_UP,   /* connected to the forwarder */
  AM_CONTROL_FORWARDER,      /* message from the forwarder */
  AM_CONTROL_FORWARDER_LOST, /* that connection ended */
  AM_CONTROL_STORE,          /* result of AM_CONTROL_READ_STORE */
  AM_CONTROL_SEEDS,          /* seed addresses, at start and when changed */
  AM_CONTROL_TICK,           /* every AM_CONTROL_TICK_US */
  AM_CONTROL_STOP,           /* begin the graceful stop */
  AM_CONTROL_OWNER,          /* result of AM_CONTROL_OWNER_CALL */
};

/* One record as the store holds it.  */
struct am_control_value
{
  const char *name; /* key below amaranth/records/ */
  const uint8_t *text;
  size_t len;
};

struct am_control_store
{
  int error; /* AM_OK, AM_E_NOT_FOUND or the failure */
  uint64_t index;
  bool index_only; /* result of a watch: no values */
  const struct am_control_value *values;
  size_t count;
};

/* Call for the key that names the owner of a service's ticketless requests:
   amaranth/owners/NAME.  */
struct am_control_owner_call
{
  uint32_t service_id;
  const char *name;
  int type;      /* enum am_lease_action_type, READ to DESTROY */
  uint64_t call; /* to be handed back */
  const char *session;
  const char *value; /* ACQUIRE, RELEASE */
  size_t len;
};

struct am_control_owner_result
{
  uint32_t service_id;
  int type;
  uint64_t call;
  int error;
  const char *session; /* CREATE */
  bool locked;         /* READ, and below */
  uint64_t lock_index;
  const uint8_t *value;
  size_t len;
};

struct am_control_event
{
  enum am_control_event_type type;
  uint64_t now_us;        /* monotonic; never decreases */
  struct am_address from; /* GOSSIP: source */
  uint64_t stream;        /* STREAM: the driver's number of the stream */
  const uint8_t *data;    /* packed Amaranth__Envelope */
  size_t len;
  const struct am_control_store *store; /* STORE */
  const struct am_address *seeds;       /* SEEDS: gossip ports */
  size_t seed_count;
  const struct am_control_owner_result *owner; /* OWNER */
};

enum am_control_action_type
{
  AM_CONTROL_SEND_GOSSIP,    /* datagram; the driver seals the frame */
  AM_CONTROL_SEND_PEER,      /* message on a TCP connection to TO, which the
                                driver opens if there is none */
  AM_CONTROL_SEND_STREAM,    /* answer on stream STREAM */
  AM_CONTROL_SEND_FORWARDER, /* message on the forwarder's connection */
  AM_CONTROL_READ_STORE,     /* read all records; if INDEX > 0, a watch that
                                gives the new index alone */
  AM_CONTROL_LOG,            /* decision line: text without a newline */
  AM_CONTROL_EXIT,           /* graceful stop is complete */
  AM_CONTROL_OWNER_CALL,     /* store call OWNER_CALL */
};

struct am_control_action
{
  enum am_control_action_type type;
  struct am_address to;
  uint64_t stream;
  uint64_t index;      /* READ_STORE */
  uint32_t wait_ms;    /* READ_STORE */
  int level;           /* LOG: enum am_log_level */
  const uint8_t *data; /* packed Amaranth__Envelope, or the line; valid during
                          the call only */
  size_t len;
  const struct am_control_owner_call *owner_call; /* OWNER_CALL */
};

/* Takes the actions out.  EMIT must not call back into the core.  */
struct am_control_sink
{
  void (*emit) (void *userdata, const struct am_control_action *a);
  void *userdata;
};

/* This entry VM, from its settings.  */
struct am_control_self
{
  uint32_t id; /* not 0 */
  const char *name;
  const char *data_centre;
  const char *region;
  uint32_t ip;
  uint16_t agent_port;   /* udp gossip */
  uint16_t control_port; /* tcp agent */
  uint16_t peer_port;    /* udp forwarder peer */
};

/* Announce to no one: the spread is left to the digests in probes.  */
#define AM_FANOUT_NONE UINT32_MAX

struct am_control_options
{
  struct am_control_self self;
  uint64_t incarnation; /* first one; greater than in the process before, for
                           example the time of day in milliseconds */
  uint64_t seed;        /* of the generator for choices and jitter */
  struct am_control_sink sink;
  /* For measurements of other ways of spreading; 0: the usual value.  */
  uint32_t fanout;  /* members that a new version is announced to */
  uint32_t readers; /* readers of the store in each data centre */
};

struct am_control;

/* Allocates an engine.  Returns AM_OK or AM_E_MEMORY.  */
int am_control_new (struct am_control **c, const struct am_control_options *o);
void am_control_free (struct am_control *c);

/* Handles one event.  Returns AM_OK, or the typed error for which the input
   was refused; a refused input changes no state but a counter.  */
int am_control_event (struct am_control *c, const struct am_control_event *e);

/* What a status shows.  */
struct am_control_view
{
  size_t members;       /* known, without this one */
  size_t members_alive; /* alive, suspect or leaving */
  size_t records;
  uint64_t config_digest;
  uint64_t acked_digest; /* configuration in force in the forwarder */
  bool reader;
  int store_error;
};

void am_control_look (const struct am_control *c, struct am_control_view *v);

/* Returns the revision of record NAME in this agent, or 0.  */
uint64_t am_control_revision (const struct am_control *c, const char *name);

/* Packs a StatusReply envelope into memory that the caller frees; *DATA is
   NULL if memory fails.  Returns AM_OK or AM_E_MEMORY.  */
int am_control_status (const struct am_control *c, uint8_t **data,
                       size_t *len);

/* Takes one metric; INFO is valid for the time of the process.  */
typedef void (*am_metric_each) (void *userdata,
                                const struct am_metric_info *info,
                                double value);

/* Calls EACH for every counter and gauge.  */
void am_control_metrics (const struct am_control *c, am_metric_each each,
                         void *userdata);

#endif
