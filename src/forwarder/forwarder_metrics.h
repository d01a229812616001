/* Metrics of the forwarder.  */

#ifndef AM_FORWARDER_FORWARDER_METRICS_H
#define AM_FORWARDER_FORWARDER_METRICS_H

#include "base/metrics.h"

/* Appends every metric of USERDATA, a struct am_forwarder, to T.  */
void am_forwarder_metrics (void *userdata, struct am_metrics_text *t);

#endif
