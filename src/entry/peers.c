#include "entry/peers.h"

#include "base/error.h"

int
am_entry_peers_open (struct am_entry *e)
{
  int err;

  am_http_client_init (&e->pull_client, e->loop, e->settings.peers);
  err = am_entry_digests_open (e);
  if (!err)
    err = am_http_server_open (&e->changes_server, e->loop, e->settings.peers,
                               am_entry_changes_handle, e);
  return err;
}

void
am_entry_peers_tick (struct am_entry *e, uint64_t now_us)
{
  am_fleet_expire (&e->fleet, &e->targets, now_us);
  am_remote_loads_expire (&e->remote_loads, now_us);
  am_entry_digests_tick (e, now_us);
  am_entry_pull_from_source (e, now_us);
  am_entry_pull_members (e, now_us);
  am_entry_pull (e, now_us);
}

void
am_entry_peers_resume (struct am_entry *e)
{
  am_http_client_reset (&e->pull_client);
}
