#include "core/placement/weight.h"

double
am_upstream_weight (const struct am_upstream *u)
{
  return u->weight ? u->weight / 100.0 : 1.0;
}
