#include "core/targets/probe_packet.h"

#include "core/binding/forward.h"

static const struct am_address probe_source = { 0, 0 };

bool
am_probe_is_source (struct am_address caller)
{
  return am_address_equal (caller, probe_source);
}

void
am_probe_send (struct am_board *b, const struct am_upstream *u)
{
  struct am_packet p = { .type = AM_PACKET_PROBE };

  am_board_send_upstream (b, u, probe_source, &p);
}
