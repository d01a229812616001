/* Forwarder: the data path of one entry VM.  Drives the decision core with
   sockets, timers and signals on one libuv loop.  */

#ifndef AM_FORWARDER_FORWARDER_H
#define AM_FORWARDER_FORWARDER_H

#include <uv.h>

#include "base/metrics.h"
#include "core/action_digest.h"
#include "core/dispatch.h"
#include "forwarder/decision_log.h"
#include "io/event_log.h"
#include "io/metrics_port.h"
#include "io/pool.h"
#include "io/settings.h"
#include "io/stream.h"
#include "io/udp_batch.h"
#include "io/udp_port.h"

#define AM_FORWARDER_EVENT_TYPES (AM_EVENT_DELTA + 1)

struct am_forwarder
{
  uv_loop_t loop;
  struct am_settings *settings; /* owned */
  const char *settings_file;
  uint8_t peer_key[AM_PEER_KEY_SIZE];
  struct am_log log;
  struct am_decision_log decisions;

  struct am_dispatch dispatch;
  struct am_address return_address;
  struct am_udp_port data;
  struct am_udp_batch data_out; /* what DATA is to send */
  struct am_udp_port peer;
  struct am_pool pool;
  struct am_listener control;
  struct am_list control_streams; /* of struct am_stream */
  struct am_metrics_port metrics;
  struct am_histogram durations[AM_FORWARDER_EVENT_TYPES];

  uv_timer_t tick;
  uv_timer_t second;
  uv_signal_t sigterm;
  uv_signal_t sighup;
  bool exiting;

  bool recording;
  struct am_event_log events;
  struct am_action_digest digest;
};

/* Sets F up with S and opens its ports; takes S over.  RECORD_FILE may be
   NULL.  On failure everything is freed.  Returns AM_OK, AM_E_IO, AM_E_EXISTS
   (a port is in use), AM_E_FORMAT, AM_E_PERMISSIONS or AM_E_MEMORY.  */
int am_forwarder_init (struct am_forwarder *f, struct am_settings *s,
                       const char *settings_file, const char *record_file);

/* Runs until the graceful stop is complete and frees everything.  */
void am_forwarder_run (struct am_forwarder *f);

/* Hands one event to the core and measures it.  Returns its result.  */
int am_forwarder_event (struct am_forwarder *f, struct am_event *e);

/* Begins the graceful stop.  Returns false if it has begun before.  */
bool am_forwarder_stop (struct am_forwarder *f);

#endif
