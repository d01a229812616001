/* HTTP port that serves the metrics of a process at /metrics.  */

#ifndef AM_IO_METRICS_PORT_H
#define AM_IO_METRICS_PORT_H

#include <uv.h>

#include "base/address.h"
#include "base/metrics.h"

/* Appends every metric to T.  Runs on the loop's thread.  */
typedef void (*am_metrics_render) (void *userdata, struct am_metrics_text *t);

struct MHD_Daemon;

struct am_metrics_port
{
  struct MHD_Daemon *daemon;
  uv_poll_t poll;
  uv_timer_t timer;
  am_metrics_render render;
  void *userdata;
};

/* Listens on ADDRESS.  Returns AM_OK or AM_E_IO.  */
int am_metrics_port_open (struct am_metrics_port *p, uv_loop_t *loop,
                          struct am_address address, am_metrics_render render,
                          void *userdata);

/* Closes P; its memory may be reused once the loop has run again.  No effect
   on a port that is not open.  */
void am_metrics_port_close (struct am_metrics_port *p);

#endif
