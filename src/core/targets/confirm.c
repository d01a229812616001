#include "core/targets/confirm.h"

#include "core/targets/probe_packet.h"

void
am_confirm_seen (const struct am_board *b, struct am_upstream *u)
{
  u->confirm.at_us = b->now_us;
  u->confirm.denied = false;
}

void
am_confirm_denied (struct am_board *b, struct am_address address)
{
  am_list_each (s, &b->services, struct am_service, node)
  {
    struct am_upstream *u = am_service_upstream_at (s, address);

    if (!u || u->confirm.denied)
      continue;
    u->confirm.denied = true;
    am_board_decision (
        b, 0, "event=address_reused service=%s upstream=%s revision=%llu",
        s->name, u->name, (unsigned long long)s->revision);
  }
}

static bool
is_within (const struct am_board *b, const struct am_upstream *u,
           uint64_t life_us)
{
  return b->now_us < u->confirm.at_us + life_us;
}

bool
am_confirm_holds (const struct am_board *b, const struct am_upstream *u)
{
  return !u->confirm.denied && is_within (b, u, AM_CONFIRM_LIFE_US);
}

bool
am_confirm_due (const struct am_board *b, const struct am_upstream *u)
{
  return u->confirm.denied || !is_within (b, u, AM_CONFIRM_REFRESH_US);
}

bool
am_confirm_check (struct am_board *b, struct am_upstream *u)
{
  if (am_confirm_holds (b, u))
    return true;
  b->counters.unconfirmed++;
  if (b->now_us - u->confirm.asked_us >= AM_CONFIRM_ASK_US)
    {
      u->confirm.asked_us = b->now_us;
      am_probe_ask (b, u);
    }
  return false;
}
