/* Callers of the caller stand-in.

   standin_feed.c keeps the flows, standin_load.c the requests, caller.c the
   sockets, options and the summary.  */

#ifndef AM_STANDIN_CALLER_H
#define AM_STANDIN_CALLER_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "base/rng.h"
#include "caller/standin_wheel.h"
#include "common/standin_datagram.h"
#include "common/standin_history.h"
#include "common/standin_program.h"
#include "io/udp_port.h"
#include "wire/packet.h"

#define STANDIN_CALLER_TICK_US 5000u

/* Callers' addresses of one process: an entry VM bounds OPEN by address.  */
#define STANDIN_SOURCES 16

#define STANDIN_SERVICES_MAX 8
#define STANDIN_LOADS_MAX 16

/* Reasons of refused and ended work that are counted apart.  */
#define STANDIN_REASONS 64

struct standin_caller;

/* A growing list of measured values.  */
struct standin_values
{
  uint32_t *values;
  size_t count;
  size_t size;
};

struct standin_caller_service
{
  struct standin_caller *caller;
  char name[STANDIN_NAME_SIZE];
  struct am_address address;
  bool opaque;
  uint32_t flows_wanted;
  uint32_t flows_started;
};

struct standin_feed_counts
{
  uint64_t opened;
  uint64_t refused;
  uint64_t broken;
  uint64_t reopened;
  uint64_t closed;
  uint64_t alerts;
  uint64_t alerts_repeated;
  uint64_t alerts_missed;
  uint64_t renewed;
  uint64_t duplicate_tickets;
  uint64_t max_gap_us;
  uint64_t reasons[STANDIN_REASONS]; /* of broken, by -error */
  struct standin_values open_us;
  struct standin_values alert_us;
  struct standin_values reopen_us;
};

/* One kind of requests.  */
struct standin_load
{
  struct standin_caller_service *service;
  uint8_t request_class;
  bool one_time;
  double per_second;    /* open load */
  uint32_t concurrency; /* closed load, if not 0 */
  uint64_t next_us;
  uint32_t in_progress;
};

struct standin_request_counts
{
  uint64_t sent;
  uint64_t answered;
  uint64_t not_run;
  uint64_t unknown;
  uint64_t gave_up;
  uint64_t reopened;
  uint64_t cancelled;
  uint64_t retransmitted;
  uint64_t crossed;                  /* answers that name another request */
  uint64_t reasons[STANDIN_REASONS]; /* of NOT-RUN and UNKNOWN, by -error */
  struct standin_values latency_us;
};

struct standin_caller_options
{
  struct am_address base;
  uint64_t open_rate;     /* flows a second */
  uint64_t seconds;       /* 0: until SIGTERM or all requests are done */
  uint64_t request_count; /* 0: no bound */
  uint64_t ping_ms;
  uint64_t payload_bytes;
  uint64_t retransmit_ms;
  uint64_t deadline_ms;
  double cancel; /* share of requests */
};

struct standin_feed;
struct standin_request;

struct standin_caller
{
  struct standin_program program;
  struct standin_history history;
  struct standin_caller_options options;
  struct am_rng rng;
  struct am_udp_port sources[STANDIN_SOURCES];
  struct standin_caller_service services[STANDIN_SERVICES_MAX];
  size_t service_count;
  struct standin_load loads[STANDIN_LOADS_MAX];
  size_t load_count;
  uv_timer_t tick;
  struct standin_wheel wheel;
  uint64_t started_us;
  uint64_t stopping_us; /* 0: not yet */

  struct standin_feed *feeds; /* by connection id */
  struct am_list finished;    /* closed feeds, until the process ends */
  double open_tokens;
  uint64_t open_at_us;
  struct standin_feed_counts feed_counts;

  struct standin_request *requests; /* by connection id */
  uint64_t request_number;
  struct standin_request_counts request_counts;
};

/* Adds one value; a failed allocation loses it.  */
void standin_values_add (struct standin_values *v, uint64_t value);

/* Returns {"count", "p50", "p95", "p99", "max"} and sorts V.  */
json_t *standin_values_summary (struct standin_values *v);

/* Encodes and sends P from PORT to S.  */
void standin_caller_send (struct am_udp_port *port,
                          const struct standin_caller_service *s,
                          const struct am_packet *p);

/* Returns a connection id that no feed or request uses.  */
uint64_t standin_caller_id (struct standin_caller *c);

/* Opens the flows that are due at NOW_US.  */
void standin_feeds_start (struct standin_caller *c, uint64_t now_us);

/* Handles packet P of service S; returns false if no feed has its id.  */
bool standin_feeds_packet (struct standin_caller *c,
                           const struct am_packet *p);

/* Closes every flow.  */
void standin_feeds_stop (struct standin_caller *c);

/* Returns the part of the summary about flows.  */
json_t *standin_feeds_summary (struct standin_caller *c);

/* Sends the requests that are due at NOW_US.  */
void standin_loads_start (struct standin_caller *c, uint64_t now_us);

/* Handles packet P; returns false if no request has its id.  */
bool standin_loads_packet (struct standin_caller *c,
                           const struct am_packet *p);

/* Returns true if no request is in progress.  */
bool standin_loads_idle (const struct standin_caller *c);

/* Returns the part of the summary about requests.  */
json_t *standin_loads_summary (struct standin_caller *c);

/* Adds to O the counts of REASONS that are not zero, by name.  */
void standin_reasons_summary (json_t *o, const uint64_t *reasons);

#endif
