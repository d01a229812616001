#include "core/targets/address_validation.h"

#include "core/targets/probe_packet.h"

void
am_validation_renew (const struct am_board *b, struct am_upstream *u)
{
  u->validation.at_us = b->now_us;
  u->validation.revoked = false;
}

void
am_validation_revoke (struct am_board *b, struct am_address address)
{
  am_list_each (s, &b->services, struct am_service, node)
  {
    struct am_upstream *u = am_service_upstream_at (s, address);

    if (!u || u->validation.revoked)
      continue;
    u->validation.revoked = true;
    am_board_decision (
        b, 0, "event=address_reused service=%s upstream=%s revision=%llu",
        s->name, u->name, (unsigned long long)s->revision);
  }
}

/* Returns true if the last validation of U is younger than LIFETIME_US.  */
static bool
is_within (const struct am_board *b, const struct am_upstream *u,
           uint64_t lifetime_us)
{
  return b->now_us < u->validation.at_us + lifetime_us;
}

bool
am_validation_is_current (const struct am_board *b,
                          const struct am_upstream *u)
{
  return !u->validation.revoked && is_within (b, u, AM_VALIDATION_LIFETIME_US);
}

bool
am_validation_renewal_due (const struct am_board *b,
                           const struct am_upstream *u)
{
  return u->validation.revoked || !is_within (b, u, AM_VALIDATION_REFRESH_US);
}

bool
am_validation_check_or_probe (struct am_board *b, struct am_upstream *u)
{
  if (am_validation_is_current (b, u))
    return true;
  b->counters.unconfirmed++;
  if (b->now_us - u->validation.probed_us >= AM_VALIDATION_PROBE_INTERVAL_US)
    {
      u->validation.probed_us = b->now_us;
      am_probe_send (b, u);
    }
  return false;
}
