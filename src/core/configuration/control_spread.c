#include "core/configuration/control_spread.h"

#include "core/configuration/control_spread_parts.h"

void
am_spread_init (struct am_control *c)
{
  am_spread_exchange_init (c);
}

void
am_spread_finish (struct am_control *c)
{
  am_spread_pull_finish (c);
}

void
am_spread_tick (struct am_control *c)
{
  am_spread_exchange_tick (c);
  am_spread_pull_tick (c);
}
