#include "core/targets/probe.h"

#include "base/error.h"
#include "base/hash.h"
#include "core/binding/forward.h"
#include "core/placement/choice.h"
#include "core/targets/address_validation.h"
#include "core/targets/probe_packet.h"

/* Returns true if this entry VM is among the first AM_PROBERS_PER_UPSTREAM
   home VMs in rendezvous order of U.  */
static bool
is_prober (const struct am_board *b, const struct am_upstream *u)
{
  const struct am_service *s = u->service;
  uint64_t own = am_hash_rendezvous (u->id, b->self.id);
  int better = 0;

  for (size_t i = 0; i < s->home_count; i++)
    if (s->home_set[i]->id != b->self.id
        && am_hash_rendezvous (u->id, s->home_set[i]->id) > own)
      better++;
  return better < AM_PROBERS_PER_UPSTREAM;
}

static void
send_probe (struct am_board *b, struct am_upstream *u)
{
  u->probe.sent_us = b->now_us;
  u->probe.next_us = b->now_us + AM_PROBE_INTERVAL_US;
  am_probe_send (b, u);
}

static void
probe_upstream (struct am_board *b, struct am_upstream *u)
{
  if (u->probe.sent_us && b->now_us - u->probe.sent_us >= AM_PROBE_TIMEOUT_US)
    {
      u->probe.sent_us = 0;
      am_health_failed (b, u);
      am_board_decision (
          b, 0, "event=probe_failed service=%s upstream=%s failures=%u",
          u->service->name, u->name, u->health.failures);
    }
  if (b->stopping && !am_validation_renewal_due (b, u))
    return;
  if (u->probe.next_us == 0)
    u->probe.next_us
        = b->now_us + am_rng_below (&b->rng, AM_PROBE_INTERVAL_US);
  else if (b->now_us >= u->probe.next_us
           && (is_prober (b, u) || am_validation_renewal_due (b, u)))
    send_probe (b, u);
}

void
am_probe_tick (struct am_board *b)
{
  am_list_each (s, &b->services, struct am_service, node)
  {
    if (!s->home || s->retired)
      continue;
    am_list_each (u, &s->upstreams, struct am_upstream, node)
    {
      if (u->state != AMARANTH__UPSTREAM_STATE__UPSTREAM_RETIRED)
        probe_upstream (b, u);
    }
  }
}

int
am_probe_reply (struct am_board *b, struct am_upstream *u, const uint8_t *data,
                size_t len)
{
  struct am_packet p;
  int err = am_packet_decode (&p, data, len);

  if (!err && p.type != AM_PACKET_REPORT)
    err = AM_E_FORMAT;
  if (!err)
    err = am_record_reported_load (b, u, p.body, p.body_len);
  if (err)
    return err;
  if (u->probe.sent_us)
    am_health_ok (b, u, b->now_us - u->probe.sent_us);
  u->probe.sent_us = 0;
  return AM_OK;
}
