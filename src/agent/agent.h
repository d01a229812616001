/* Agent of one entry VM: the sockets, clock and store client around the
   control engine (core/control.h).  */

#ifndef AM_AGENT_AGENT_H
#define AM_AGENT_AGENT_H

#include <uv.h>

#include "base/list.h"
#include "base/log.h"
#include "core/control.h"
#include "io/metrics_port.h"
#include "io/settings.h"
#include "io/store_client.h"
#include "io/stream.h"
#include "io/udp_port.h"

/* A stream with a number that the engine uses for answers.  */
struct am_agent_stream
{
  struct am_list node;
  uint64_t number;
  struct am_stream *stream;
  struct am_address to; /* outgoing; ip 0: incoming */
  uint64_t used_us;     /* last message */
  bool explains;        /* waits for an Explain of the forwarder */
  uint64_t explain_id;  /* about this id */
};

/* Entry VMs of the platform's list that are kept as seeds.  */
#define AM_LISTED_MAX 16

struct am_agent
{
  uv_loop_t loop;
  uv_timer_t tick;
  uv_timer_t reconnect;
  uv_signal_t signals[3];
  const char *settings_file;
  struct am_settings *settings;
  uint8_t peer_key[AM_PEER_KEY_SIZE];
  struct am_log log;
  struct am_control *control;
  struct am_udp_port gossip;
  struct am_listener listener;
  struct am_metrics_port metrics;
  struct am_list streams; /* struct am_agent_stream */
  uint64_t stream_numbers;
  struct am_stream *forwarder; /* NULL: not connected */
  bool forwarder_up;
  struct am_store_client *store;

  /* Gossip ports from the platform's list of entry VMs.  */
  struct am_address listed[AM_LISTED_MAX];
  size_t listed_count;
  uint64_t list_next_us;

  struct am_list owner_calls; /* that wait for the store */
  bool stopping;
  uint64_t sent_bytes; /* with frame headers; gossip, peers, forwarder */
  uint64_t received_bytes;
};

/* Sets up A by the settings in FILE.  On failure the reason is logged and
   nothing has to be freed.  Returns an exit code of enum am_exit.  */
int am_agent_init (struct am_agent *a, const char *file,
                   struct am_settings *settings, const uint8_t *peer_key);

/* Runs until the graceful stop is complete, then frees everything.  */
void am_agent_run (struct am_agent *a);

/* ---- parts, used by each other ------------------------------------ */

/* Hands an event to the engine; sets its time.  */
void am_agent_event (struct am_agent *a, struct am_control_event *e);

/* Carries out an action of the engine (its sink).  */
void am_agent_action (void *userdata, const struct am_control_action *action);

/* Store calls for the owners of requests.  */
void am_agent_owner_call (struct am_agent *a,
                          const struct am_control_owner_call *call);
void am_agent_end_owner_calls (struct am_agent *a);

/* Streams of peers and operators.  */
int am_agent_listen (struct am_agent *a);
void am_agent_send_stream (struct am_agent *a, uint64_t number,
                           const uint8_t *data, size_t len);
void am_agent_send_peer (struct am_agent *a, struct am_address to,
                         const uint8_t *data, size_t len);
void am_agent_expire_streams (struct am_agent *a, uint64_t now_us);
void am_agent_close_streams (struct am_agent *a);

/* Hands the forwarder's Explain answer about ID to the operators that asked
   for it.  */
void am_agent_explained (struct am_agent *a, uint64_t id, const uint8_t *data,
                         size_t len);

/* The forwarder's control port.  */
void am_agent_connect_forwarder (struct am_agent *a);
void am_agent_send_forwarder (struct am_agent *a, const uint8_t *data,
                              size_t len);

/* Packs a MetricsReply; the caller frees *DATA.  Returns AM_OK or
   AM_E_MEMORY.  */
int am_agent_metrics (struct am_agent *a, uint8_t **data, size_t *len);

/* Renders the same metrics for the metrics port; USERDATA is the agent.  */
void am_agent_metrics_text (void *userdata, struct am_metrics_text *t);

#endif
