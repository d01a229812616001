/* Control port of the forwarder: its agent's connection.

   The agent sends Snapshot, SnapshotDelta, StatusRequest, SetLogLevel,
   Explain, MetricsRequest and StopRequest.  The forwarder sends Report each
   second and at once after a snapshot or delta.  When an agent connects, and
   as the answer to StatusRequest, it sends the Snapshot last applied, if there
   is one, and a Report; Explain and MetricsReply answer the request of the
   same kind; a refused message is answered with Failure.  */

#ifndef AM_FORWARDER_CONTROL_H
#define AM_FORWARDER_CONTROL_H

#include "forwarder/forwarder.h"

/* Returns AM_OK, AM_E_IO or AM_E_EXISTS.  */
int am_control_open (struct am_forwarder *f);
void am_control_close (struct am_forwarder *f);

/* Sends a Report to every connected agent.  */
void am_control_report (struct am_forwarder *f);

/* Sends a packed Envelope to every agent that is connected.  */
void am_control_send (struct am_forwarder *f, const uint8_t *data, size_t len);

#endif
