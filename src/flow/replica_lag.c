#include "flow/replica_lag.h"

void
am_replica_lag_init (struct am_replica_lag *l)
{
  *l = (struct am_replica_lag){ 0 };
}

void
am_replica_lag_update (struct am_replica_lag *l, am_revision revision,
                       am_revision claimed, uint64_t now_us)
{
  if (l->revision && revision < l->revision && claimed > revision)
    return;
  l->revision = claimed > revision ? claimed : 0;
  l->claimed_us = now_us;
}

bool
am_replica_lags (const struct am_replica_lag *l, uint64_t now_us)
{
  return l->revision && now_us - l->claimed_us >= AM_REPLICA_LAG_US;
}
