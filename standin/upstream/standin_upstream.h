/* Live targets of the upstream stand-in.

   standin_flow.c keeps the flows and their alerts, standin_run.c the
   requests, upstream.c the sockets, options and commands.  */

#ifndef AM_STANDIN_UPSTREAM_H
#define AM_STANDIN_UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>
#include <uv.h>

#include "base/list.h"
#include "base/rng.h"
#include "caller/standin_wheel.h"
#include "common/standin_datagram.h"
#include "common/standin_history.h"
#include "common/standin_program.h"
#include "io/stream.h"
#include "io/udp_port.h"
#include "upstream/standin_target.h"

#define STANDIN_TICK_MS 5
#define STANDIN_TICK_US 5000u

/* A flow that sent nothing for this long is forgotten.  */
#define STANDIN_FLOW_IDLE_US 30000000u

/* An alert without an echo is sent again after this time.  */
#define STANDIN_ALERT_RESEND_US 250000u

enum standin_report
{
  STANDIN_REPORT_HONEST,
  STANDIN_REPORT_LAG, /* value: milliseconds */
  STANDIN_REPORT_LIE, /* value: factor on busy and connections */
};

struct standin_report_mode
{
  enum standin_report kind;
  double value;
};

struct standin_work
{
  uint64_t service_ms;
  uint64_t alert_ms; /* 0: no alerts */
  uint64_t cold_ms;
  uint64_t answer_bytes;
  uint64_t queue; /* requests that may wait for a slot */
  double shed;    /* share refused */
  struct standin_report_mode report;
};

struct standin_flow_key
{
  uint64_t id;
  uint64_t caller;
};

struct standin_upstream;

struct standin_flow
{
  struct standin_timer timer;
  struct am_list idle; /* in standin_world.idle, longest first */
  UT_hash_handle hh;   /* in standin_upstream.flows */
  struct standin_upstream *upstream;
  struct standin_flow_key key;
  uint64_t id;
  struct am_address caller;
  struct am_address via; /* entry VM that sent the last packet */
  bool opaque;
  bool unacknowledged;
  uint32_t sequence; /* of the last alert */
  uint64_t alert_us; /* when the last alert was due */
  uint64_t next_us;  /* when the next alert is due */
  uint64_t heard_us;
};

struct standin_world;

struct standin_upstream
{
  struct standin_target spec;
  struct standin_world *world;
  struct am_udp_port udp;
  struct am_listener listener;
  bool up;
  uint64_t changed_us; /* when it was started or stopped */
  uint64_t frozen_until_us;
  bool drained;
  double shed;
  uint64_t slow_ms;
  struct standin_report_mode report;
  struct am_load reported; /* of a lagging report */
  uint64_t reported_us;

  struct standin_flow *flows;
  uint32_t flow_count;

  struct am_list streams; /* struct am_stream.node */
  struct am_list running; /* struct standin_job.node */
  struct am_list queued;
  struct am_list frozen; /* messages kept while frozen */
  uint32_t busy;
  uint32_t waiting;

  uint64_t opened;
  uint64_t ran;
  uint64_t refused;
  uint64_t wrong_service;
  uint32_t busy_max;
  uint32_t flows_max;
};

struct standin_world
{
  struct standin_program program;
  struct standin_history history;
  struct standin_work work;
  struct am_rng rng;
  struct standin_upstream *upstreams;
  size_t count;
  uv_timer_t tick;
  struct standin_wheel wheel; /* of flows */
  struct am_list idle;
};

/* Returns the load that U reports at NOW_US.  */
struct am_load standin_upstream_load (struct standin_upstream *u,
                                      uint64_t now_us);

/* Returns true while U is cold at NOW_US.  */
bool standin_upstream_cold (const struct standin_upstream *u, uint64_t now_us);

/* Handles the datagram at DATA, after its PROXY header H, that VIA sent.  */
void standin_flow_datagram (struct standin_upstream *u, struct am_address via,
                            const struct am_proxy_header *h,
                            const uint8_t *data, size_t len);

/* Sends the alerts that are due and forgets idle flows.  */
void standin_flow_tick (struct standin_world *w, uint64_t now_us);

/* Forgets a share of the flows of U; NOTE writes their end to the
   history.  */
void standin_flow_forget (struct standin_upstream *u, double share, bool note);

/* Handles one packet on stream S (NULL: it closed meanwhile).  */
void standin_run_packet (struct standin_upstream *u, struct am_stream *s,
                         const uint8_t *data, size_t len);

/* Stream S of U has ended.  */
void standin_run_stream_closed (struct standin_upstream *u,
                                struct am_stream *s);

/* Abandons every request of U.  */
void standin_run_abandon (struct standin_upstream *u);

#endif
