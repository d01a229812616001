/* State of amaranth-entry without ports, timers and connections.  */

#ifndef AM_TEST_ENTRY_FIXTURE_H
#define AM_TEST_ENTRY_FIXTURE_H

#include <fcntl.h>
#include <stdlib.h>
#include <unistd.h>

#include "base/hash.h"
#include "entry/peers.h"
#include "platform.h"

#define ENTRY_START_US 60000000u

static inline void
entry_ignore_answer (void *userdata, const struct am_http_answer *a)
{
  (void)userdata;
  (void)a;
}

/* Returns the state of a VM of the data centre "here".  */
static inline struct am_entry *
entry_new (void)
{
  static char name[] = "self";
  static char data_centre[] = "here";
  struct am_entry *e = calloc (1, sizeof *e);

  if (!e)
    abort ();
  e->adapter = &am_platform;
  e->settings.name = name;
  e->settings.data_centre = data_centre;
  e->settings.peers = (struct am_address){ 0x7f000001, 7101 };
  am_line_log_init (&e->log, open ("/dev/null", O_WRONLY));
  am_replica_init (&e->replica, am_entry_item_changed, e);
  am_target_table_init (&e->targets);
  am_route_table_init (&e->routes);
  am_evacuations_init (&e->evacuations);
  am_remote_loads_init (&e->remote_loads);
  am_path_init (&e->path, &e->targets, &e->routes, am_hash_name ("here"), 1);
  e->path.evacuations = &e->evacuations;
  am_store_sync_init (&e->sync, ENTRY_START_US);
  am_replica_lag_init (&e->lag);
  am_fleet_init (&e->fleet, name, am_hash_name ("here"), 20, ENTRY_START_US);
  /* A request in progress: no other one is begun.  */
  e->pull_client.done = entry_ignore_answer;
  return e;
}

static inline void
entry_free (struct am_entry *e)
{
  am_fleet_finish (&e->fleet);
  am_path_finish (&e->path);
  am_evacuations_finish (&e->evacuations);
  am_remote_loads_finish (&e->remote_loads);
  am_route_table_finish (&e->routes);
  am_target_table_finish (&e->targets);
  am_replica_finish (&e->replica);
  free (e->whole.data);
  close (e->log.fd);
  free (e);
}

#endif
